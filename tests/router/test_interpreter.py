"""The interpreter launcher of routers, and its replacement where it cannot be compiled."""

import importlib.util
import signal
import subprocess
import sys
import sysconfig

import pytest
from router_run import ROOT, router_command

GET_ACTION = "import _signal; print(int(_signal.getsignal(_signal.SIGHUP)))"


def load_build():
    spec = importlib.util.spec_from_file_location("build", ROOT / "deploy" / "build.py")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def run_code(launcher, code):
    environment = {"PYTHONPATH": sysconfig.get_path("purelib")}
    command = [str(launcher), "-S", "-c", code]
    done = subprocess.run(command, env=environment, capture_output=True, text=True, timeout=30)
    assert done.returncode == 0, done.stderr
    return done.stdout.strip()


# Guards against routers terminated by a reload signal while the interpreter starts.
def test_the_launcher_starts_with_the_reload_signal_ignored():
    assert run_code(router_command()[0], GET_ACTION) == str(int(signal.SIG_IGN))


def test_the_launcher_loads_extension_modules():
    assert run_code(router_command()[0], "import httptools, msgspec; print('loaded')") == "loaded"


@pytest.mark.parametrize("compiler", ["/no/such/compiler", "false"])
def test_a_link_replaces_the_launcher_where_nothing_can_be_compiled(compiler, tmp_path, capfd):
    launcher = tmp_path / "target" / "python"
    load_build().make_interpreter(launcher, compiler)
    assert launcher.is_symlink()
    assert run_code(launcher, "import sys; print(sys.version)") == sys.version
    assert "install a C compiler" in capfd.readouterr().err


def test_a_launcher_of_another_interpreter_is_rebuilt(tmp_path):
    build, launcher = load_build(), tmp_path / "target" / "python"
    build.make_interpreter(launcher)
    assert not launcher.is_symlink()
    launcher.write_text("#!/bin/sh\necho 2.7\n")
    build.make_interpreter(launcher)
    assert run_code(launcher, "import sys; print(sys.version)") == sys.version


def test_an_up_to_date_launcher_is_not_rebuilt(tmp_path):
    build, launcher = load_build(), tmp_path / "target" / "python"
    build.make_interpreter(launcher)
    built_at = launcher.stat().st_mtime_ns
    build.make_interpreter(launcher)
    assert launcher.stat().st_mtime_ns == built_at
