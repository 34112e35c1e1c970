"""A signal ends the demo, and every process that it has started ends with it."""

import os
import signal
import subprocess
import sys
from pathlib import Path

import pytest
from deployment import wait_until

DEMO = Path(__file__).parent.parent / "scripts" / "demo.py"
STOPPED_STATUS = 130


def commands_of_session(session):
    """Return the command lines of the processes of a session that have not ended."""
    found = []
    for process in Path("/proc").glob("[0-9]*"):
        try:
            if os.getsid(int(process.name)) == session:
                found.append((process / "cmdline").read_bytes().decode())
        except (ProcessLookupError, FileNotFoundError):
            continue
    return [command for command in found if command]


@pytest.mark.parametrize(
    ("last_started", "signals"),
    [("machines", [signal.SIGTERM]), ("agent", [signal.SIGINT, signal.SIGINT])],
)
def test_a_signal_ends_the_demo_and_all_it_started(last_started, signals):
    demo = subprocess.Popen(
        [sys.executable, str(DEMO)],
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
        start_new_session=True,
    )

    def has_started():
        return any(f"\0{last_started}\0" in command for command in commands_of_session(demo.pid))

    try:
        wait_until(has_started, last_started, 60.0)
        for number in signals:
            # A terminal sends Ctrl-C to the whole group; others send a signal to one process.
            (os.killpg if number == signal.SIGINT else os.kill)(demo.pid, number)
        complaints = demo.communicate(timeout=60)[1].decode()
        assert (demo.returncode, complaints) == (STOPPED_STATUS, "")
        assert commands_of_session(demo.pid) == []
    finally:
        if commands_of_session(demo.pid):
            os.killpg(demo.pid, signal.SIGKILL)
