"""Starts a router with one of its safeguards removed, for tests of the soak's checkers.

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
sys.path.insert(0, str(ENTRY.parent.parent / "scripts"))


def treat_all_routers_as_alive():
    """Treat every router ever seen as alive."""
    from martenrun.router.router_table import RouterTable

    RouterTable.live = lambda self, now: [known.record for known in self._known.values()]
    RouterTable.forget_dead = lambda self, now: None


def ignore_draining_and_removed_runners():
    """Ignore draining and removed runners."""
    from martenrun.router.store.state import RunnerDirectory

    def put(self, runner):
        if not runner.is_draining:
            self.runners[runner.instance] = runner

    RunnerDirectory.put = put
    RunnerDirectory.remove = lambda self, instance: None


def keep_undecodable_runners():
    """Keep using runners whose entry is undecodable or removed."""
    from martenrun.router.store.state import RunnerDirectory

    RunnerDirectory.remove = lambda self, name: None


def ignore_runner_instances():
    """Treat a runner that restarts under its id as the previous instance."""
    from martenrun.platform import specs

    specs.instance_key = lambda name, _born_ms: name


def stop_serving_new_connections():
    """Stop serving new connections of callers after the first seconds."""
    import time

    from martenrun.net.server import Server

    accepted, began_at, held = Server._on_accept, time.monotonic(), []

    def accept(self, sock):
        is_front = self._maximum_connections > 500
        if is_front and time.monotonic() - began_at > 3.0:
            held.append(sock)
        else:
            accepted(self, sock)

    Server._on_accept = accept


def ignore_caller_disconnects():
    """Ignore callers that disconnect."""
    from martenrun.router.forwarding import RequestForwarder

    RequestForwarder._on_caller_disconnected = lambda self: None


def terminate_on_sighup():
    """Let SIGHUP terminate the process, also if the parent process ignores it."""
    signal.signal(signal.SIGHUP, signal.SIG_DFL)
    signal.signal = _keep_default_of_sighup(signal.signal)
    _signal.signal = _keep_default_of_sighup(_signal.signal)


def _keep_default_of_sighup(register):
    return lambda number, handler: None if number == signal.SIGHUP else register(number, handler)


def block_no_requests():
    """Send requests to runners however many have crashed while serving them."""
    from martenrun.router.crashes.table import CrashTable

    CrashTable.blocked_for_s = lambda self, fingerprint, now: 0.0


def record_whole_requests_only():
    """Attribute crashes to whole requests, not to parts of their prompts."""
    from martenrun.router.crashes import features, request_check

    features.part_keys = request_check.part_keys = lambda call: ()


def trust_closed_responses():
    """Take responses that end with their connection for complete."""
    from martenrun.router.crashes.request_check import RequestCrashCheck

    def check_end(self, attempt, on_checked):
        self.record_completion(True)
        on_checked(False)

    RequestCrashCheck.check_end = check_end


def grant_all_requests():
    """Grant tenants everything that they request."""
    from martenrun.router.quotas.account import Account, QuotaDecision

    Account.request = lambda self, grant, units, now: QuotaDecision(True)


def ignore_runner_limits():
    """Ignore the rate limits that runners advertise."""
    from martenrun.router.runner_limits import RunnerLimits

    RunnerLimits.limit = lambda self, instance: None


def keep_requests_while_partitioned():
    """Try unreachable runners only, and stay in the directory."""
    from martenrun.router.partition_monitor import PartitionMonitor
    from martenrun.router.peer_route import PeerRoute

    PeerRoute.next_peer = lambda self, keeps_software=False: None
    PartitionMonitor.update_record = lambda self, own: None
    PartitionMonitor._has_better_peer = lambda self: False


def ignore_software_versions():
    """Send streams that have begun to runners of any software version."""
    from martenrun.router import placement

    placement._with_software = lambda query, states: list(states)


def ignore_announced_drains():
    """Ignore drains that responses announce."""
    from martenrun.router.runner_pool import RunnerPool

    RunnerPool.record_draining = lambda self, state, source: None


def ignore_requested_backoffs():
    """Ignore the backoffs that refusing runners request, and how often they refuse in a row."""
    from martenrun.router.runner_state import RunnerState

    RunnerState.record_backoff = lambda self, until: None
    RunnerState.is_refusing = lambda self, now: False


def ignore_store_eras():
    """Compare revisions of the store as if it never returned from an older copy."""
    from martenrun.router.store.client import StoreClient

    StoreClient._accept = lambda self, response, call, sent_in: response


GUARDS = {
    "revoked": ignore_store_eras,
    "drains": ignore_announced_drains,
    "backoffs": ignore_requested_backoffs,
    "software": ignore_software_versions,
    "directory": treat_all_routers_as_alive,
    "leaving": ignore_draining_and_removed_runners,
    "entries": keep_undecodable_runners,
    "served again": ignore_runner_instances,
    "connections": stop_serving_new_connections,
    "left": ignore_caller_disconnects,
    "own end": terminate_on_sighup,
    "deadly": block_no_requests,
    "deadly parts": record_whole_requests_only,
    "closed ends": trust_closed_responses,
    "rates": grant_all_requests,
    "limits": ignore_runner_limits,
    "partitions": keep_requests_while_partitioned,
}
"""Functions that remove a safeguard, by the checker that must then find a violation."""

if __name__ == "__main__":
    from linked_router import LINKS_SUFFIX, Links, follow_links

    follow_links(Links(Path(os.environ["MARTENRUN_SETTINGS"]).with_suffix(LINKS_SUFFIX)))
    GUARDS[os.environ["UNGUARDED"]]()
    runpy.run_path(str(ENTRY), run_name="__main__")
