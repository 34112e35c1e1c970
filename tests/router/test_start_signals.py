"""Signals that reach a router at any moment of its start."""

import shlex
import signal
import subprocess
import sys
import sysconfig
import threading
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent.parent
DELAYS_MS = range(0, 60, 2)
STARTS_PER_DELAY = 2


def start_router(settings):
    """Start a router by its deployment's command, with the default action for every signal."""
    roles = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())["roles"]
    program, *arguments = shlex.split(roles["router"]["run"])
    assert program == "python3"
    return subprocess.Popen(
        [sys.executable, *arguments],
        cwd=ROOT,
        env={
            "PYTHONPATH": sysconfig.get_path("purelib"),
            "MARTENRUN_SETTINGS": str(settings),
        },
        stdout=subprocess.DEVNULL,
        stderr=subprocess.DEVNULL,
    )


def ended_by(number, delay_ms, settings):
    """Whether a signal that is sent some time after a start ends the process by its default."""
    process = start_router(settings)
    threading.Event().wait(delay_ms / 1000)
    process.send_signal(number)
    return process.wait(timeout=30) == -number


# Guards against routers ended by a reload signal before their program's first line.
def test_a_hang_up_at_no_moment_of_a_start_ends_a_router(tmp_path):
    # Without a settings file a router that is not ended by the signal exits by itself.
    settings = tmp_path / "missing.toml"
    ended = {
        delay_ms: sum(ended_by(signal.SIGHUP, delay_ms, settings) for _ in range(STARTS_PER_DELAY))
        for delay_ms in DELAYS_MS
    }
    assert not any(ended.values()), f"ended, of {STARTS_PER_DELAY}, by delay in ms: {ended}"
