"""Starts a router with one of its guards taken out, for tests of the soak's checkers.

    UNGUARDED=live unguarded_router.py

The names are those of GUARDS.
"""

import _signal
import os
import runpy
import signal
import sys
from pathlib import Path

ENTRY = Path(__file__).resolve().parent.parent.parent / "deploy" / "router.py"

sys.path.insert(0, str(ENTRY.parent.parent / "src"))


def name_everybody():
    """Count every router ever heard of as alive."""
    from martenrun.router.router_table import RouterTable

    RouterTable.live = lambda self, now: [known.record for known in self._known.values()]
    RouterTable.forget_dead = lambda self, now: None


def send_to_leaving_runners():
    """Take in neither that a runner leaves nor that its entry is gone."""
    from martenrun.router.knowledge import RunnerDirectory

    def put(self, runner):
        if not runner.is_draining:
            self.runners[runner.instance] = runner

    RunnerDirectory.put = put
    RunnerDirectory.remove = lambda self, instance: None


def keep_unreadable_entries():
    """Go on using a runner whose entry can no longer be read, or is gone."""
    from martenrun.router.knowledge import RunnerDirectory

    RunnerDirectory.remove = lambda self, name: None


def tell_no_starts_apart():
    """Take a runner that starts again under its id for the one before."""
    from martenrun.platform import contents

    contents.life_key = lambda name, _born_ms: name


def serve_no_new_connection():
    """Leave callers' new connections unserved after the first seconds."""
    import time

    from martenrun.net.server import Server

    accepted, began_at, held = Server._accepted, time.monotonic(), []

    def accept(self, sock):
        is_front = self._maximum_connections != 1_000
        if is_front and time.monotonic() - began_at > 3.0:
            held.append(sock)
        else:
            accepted(self, sock)

    Server._accepted = accept


def work_on_for_callers_that_left():
    """Do not notice that a caller has left."""
    from martenrun.router.forwarding import Forwarding

    Forwarding._on_gone = lambda self: None


def end_at_a_hang_up():
    """Let SIGHUP end the process, as it does by default; who started it may have it ignored."""
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    signal.signal = _keep_default_of_hang_up(signal.signal)
    _signal.signal = _keep_default_of_hang_up(_signal.signal)


def _keep_default_of_hang_up(register):
    return lambda number, handler: None if number == signal.SIGHUP else register(number, handler)


def hold_nothing_back():
    """Send whatever comes to runners, however many have ended under it."""
    from martenrun.router.crash_table import CrashTable

    CrashTable.blocked_for_s = lambda self, fingerprint, now: 0.0


def grant_whatever_is_asked():
    """Let tenants use as much as they ask for."""
    from martenrun.router.quotas.account import Account, QuotaDecision

    Account.request = lambda self, grant, units, now: QuotaDecision(True)


def ignore_runner_limits():
    """Ignore the rate limits that runners advertise."""
    from martenrun.router.runner_limits import RunnerLimits

    RunnerLimits.limit = lambda self, instance: None


GUARDS = {
    "directory": name_everybody,
    "leaving": send_to_leaving_runners,
    "entries": keep_unreadable_entries,
    "served again": tell_no_starts_apart,
    "connections": serve_no_new_connection,
    "left": work_on_for_callers_that_left,
    "own end": end_at_a_hang_up,
    "deadly": hold_nothing_back,
    "rates": grant_whatever_is_asked,
    "limits": ignore_runner_limits,
}
"""What takes each guard out, by the checker that must then find a violation."""

if __name__ == "__main__":
    GUARDS[os.environ["UNGUARDED"]]()
    runpy.run_path(str(ENTRY), run_name="__main__")
