"""Signals sent to a router at any time during its startup."""

import signal
import subprocess
import sys
import sysconfig
import threading
from pathlib import Path

from platform_deployment import PlatformDeployment
from router_run import router_command

ROOT = Path(__file__).resolve().parent.parent.parent
DELAYS_MS = range(0, 60, 2)
STARTS_PER_DELAY = 2
GRACE_S = 8.0


def start_router(settings):
    """Start a router with the deployment's command and the default action for every signal."""
    return subprocess.Popen(
        router_command(),
        cwd=ROOT,
        env={
            "PYTHONPATH": sysconfig.get_path("purelib"),
            "MARTENRUN_SETTINGS": str(settings),
        },
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )


def is_terminated_by(number, delay_ms, settings):
    """Return whether a signal sent some time after the start terminates the process."""
    process = start_router(settings)
    threading.Event().wait(delay_ms / 1000)
    process.send_signal(number)
    return process.wait(timeout=30) == -number


# Guards against routers terminated by a reload signal before their program's first line.
def test_a_hang_up_at_no_moment_of_a_start_ends_a_router(tmp_path):
    # Without a settings file a router that is not terminated by the signal exits by itself.
    settings = tmp_path / "missing.toml"
    terminated = {
        delay_ms: sum(
            is_terminated_by(signal.SIGHUP, delay_ms, settings) for _ in range(STARTS_PER_DELAY)
        )
        for delay_ms in DELAYS_MS
    }
    assert not any(terminated.values()), (
        f"terminated, of {STARTS_PER_DELAY}, by delay in ms: {terminated}"
    )


FIRST_IMPORT = """
import _signal, builtins, sys

ignored = _signal.SIG_IGN
_signal.signal(_signal.SIGHUP, _signal.SIG_DFL)

def check(name, *_arguments):
    if name == "_signal":
        return _signal
    sys.exit(0 if _signal.getsignal(_signal.SIGHUP) == ignored else 1)

code = compile(open(sys.argv[1]).read(), sys.argv[1], "exec")
builtins.__import__ = check
exec(code, {"__name__": "__main__"})
sys.exit(2)
"""
"""Runs a program up to its first import, except of ``_signal``; exits 0 if SIGHUP is ignored."""


# Guards against routers terminated by a reload signal while they import their modules.
def test_a_router_ignores_sighup_before_its_first_import():
    command = [sys.executable, "-S", "-c", FIRST_IMPORT, str(ROOT / "deploy" / "router.py")]
    assert subprocess.run(command, check=False, timeout=30).returncode == 0


# Guards against losing a stop requested during startup: the router would serve until it is killed.
def test_a_stop_during_startup_stops_a_router_within_the_grace_period():
    with PlatformDeployment(routers=10) as running:
        for router in running.routers:
            running.stop(router, signal.SIGKILL)
            router.process.wait(timeout=10)
        for number, router in enumerate(running.routers):
            running.start(router)
            threading.Event().wait(0.04 * number)
            running.stop(router)
        exit_codes = {router.process.wait(timeout=GRACE_S) for router in running.routers}
    assert exit_codes <= {0, -signal.SIGTERM}
