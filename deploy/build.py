"""Builds the runtime of routers under ``target/``: libraries and an interpreter launcher.

The launcher ignores SIGHUP from its start on.  Where it cannot be compiled, a link to
the plain interpreter replaces it, which SIGHUP terminates during about its first 10 ms.
"""

import shlex
import subprocess
import sys
import sysconfig
from pathlib import Path

DEPLOY = Path(__file__).resolve().parent
TARGET = DEPLOY.parent / "target"
REQUIREMENTS = DEPLOY / "requirements.txt"
SOURCE = DEPLOY / "interpreter.c"


def is_newer(product: Path, source: Path) -> bool:
    """Return whether a build product exists and is newer than its source."""
    return product.exists() and product.stat().st_mtime > source.stat().st_mtime


def install_libraries(folder: Path) -> None:
    """Install the pinned libraries; raises CalledProcessError if pip fails."""
    pip = [sys.executable, "-m", "pip", "install", "-q", "--disable-pip-version-check", "-U"]
    subprocess.run([*pip, "--target", str(folder), "-r", str(REQUIREMENTS)], check=True)


def runs_this_version(program: Path) -> bool:
    """Return whether a program runs the same Python version as this one."""
    code = "import sys; print(sys.version)"
    try:
        done = subprocess.run([str(program), "-S", "-c", code], capture_output=True, text=True)
    except OSError:
        return False
    return done.stdout.strip() == sys.version


def build_interpreter(program: Path, compiler: str | None = None) -> bool:
    """Compile the interpreter launcher; return whether it runs.

    Args:
        compiler: a C compiler; None selects the one that built Python.
    """
    library = Path(*(str(sysconfig.get_config_var(name)) for name in ("LIBDIR", "INSTSONAME")))
    compiler = compiler or shlex.split(sysconfig.get_config_var("CC") or "cc")[0]
    options = ["-O2", "-Wall", f'-DLIBPYTHON="{library}"']
    command = [compiler, *options, "-o", str(program), str(SOURCE), "-ldl"]
    program.unlink(missing_ok=True)
    try:
        subprocess.run(command, check=True)
    except (OSError, subprocess.CalledProcessError) as exc:
        print(f"{program} was not built: {exc}", file=sys.stderr)
        return False
    return runs_this_version(program)


def link_interpreter(program: Path) -> None:
    """Link the plain interpreter in place of the launcher."""
    print(
        "SIGHUP terminates routers in their first 10 ms: install a C compiler and libpython",
        file=sys.stderr,
    )
    program.unlink(missing_ok=True)
    program.symlink_to(Path(sys.executable).resolve())


def make_interpreter(program: Path, compiler: str | None = None) -> None:
    """Build the interpreter launcher unless it is up to date for this source and interpreter."""
    program.parent.mkdir(exist_ok=True)
    if is_newer(program, SOURCE) and runs_this_version(program):
        return
    if not build_interpreter(program, compiler):
        link_interpreter(program)


def main() -> None:
    """Build the products that are missing or older than their source."""
    make_interpreter(TARGET / "python")
    if "--interpreter-only" not in sys.argv[1:] and not is_newer(TARGET / "deps", REQUIREMENTS):
        install_libraries(TARGET / "deps")


if __name__ == "__main__":
    main()
