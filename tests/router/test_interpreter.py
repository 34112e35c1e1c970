"""The interpreter launcher of routers, and its replacement where it cannot be compiled."""

import importlib.util
import signal
import subprocess
import sys
import sysconfig

import pytest
from platform_deployment import ROOT, router_command

GET_ACTION = "import _signal; print(int(_signal.getsignal(_signal.SIGHUP)))"


def load_build():
    spec = importlib.util.spec_from_file_location("build", ROOT / "deploy" / "build.py")
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def run_code(program, code):
    environment = {"PYTHONPATH": sysconfig.get_path("purelib")}
    command = [str(program), "-S", "-c", code]
    done = subprocess.run(command, env=environment, capture_output=True, text=True, timeout=30)
    assert done.returncode == 0, done.stderr
    return done.stdout.strip()


# Guards against routers terminated by a reload signal while the interpreter starts.
def test_the_interpreter_starts_with_the_reload_signal_ignored():
    assert run_code(router_command()[0], GET_ACTION) == str(int(signal.SIG_IGN))


def test_the_interpreter_loads_extension_modules():
    assert run_code(router_command()[0], "import httptools, msgspec; print('loaded')") == "loaded"


@pytest.mark.parametrize("compiler", ["/no/such/compiler", "false"])
def test_a_link_takes_its_place_where_nothing_can_be_compiled(compiler, tmp_path, capfd):
    program = tmp_path / "target" / "python"
    load_build().make_interpreter(program, compiler)
    assert program.is_symlink()
    assert run_code(program, "import sys; print(sys.version)") == sys.version
    assert "install a C compiler" in capfd.readouterr().err


def test_a_program_of_another_interpreter_is_built_again(tmp_path):
    build, program = load_build(), tmp_path / "target" / "python"
    build.make_interpreter(program)
    assert not program.is_symlink()
    program.write_text("#!/bin/sh\necho 2.7\n")
    build.make_interpreter(program)
    assert run_code(program, "import sys; print(sys.version)") == sys.version


def test_a_program_that_is_up_to_date_is_left_alone(tmp_path):
    build, program = load_build(), tmp_path / "target" / "python"
    build.make_interpreter(program)
    built_at = program.stat().st_mtime_ns
    build.make_interpreter(program)
    assert program.stat().st_mtime_ns == built_at
