"""Plays of odd entries, which another writer leaves among those of the runners.

Runs real routers with stand-ins.  After the odd entry is written, a runner joins, the one that it
replaces leaves, and a router is killed and started again.
"""

import signal
import socket
import time

import msgspec
import pytest
from platform_deployment import PlatformDeployment

from martenrun.platform.standins.runner import RunnerStandin

from .notice_plays import SteadyCallers

ROUTERS = 4
NAME = "i-0odd"

READY_S = 2.0
"""Bound on the time until a router that starts is ready: that of a configuration to apply."""

NESTED = b"[" * 3_000 + b"]" * 3_000
TWO_TO_64 = b"18446744073709551616"
DIGITS = b"9" * 5_000

ODD_ENTRIES = {
    "nested": {"spec.models": NESTED},
    "nested-unknown": {"spec.unknown": NESTED},
    "nested-metadata": {"metadata.unknown": NESTED},
    "call_seq": {"spec.call_seq": TWO_TO_64},
    "cold_left_ms": {"spec.cold_left_ms": TWO_TO_64},
    "born": {"spec.born": TWO_TO_64},
    "model-version": {"spec.models": b'[{"name":"m","version":%s}]' % TWO_TO_64},
    "model-names": {"spec.models": b"[%s]" % TWO_TO_64},
    "unknown-number": {"spec.unknown": TWO_TO_64},
    "digits": {"spec.unknown": DIGITS},
    "port-0": {"spec.address": b'"127.0.0.1:0"'},
    "port-65536": {"spec.address": b'"127.0.0.1:65536"'},
    "port-99999": {"spec.address": b'"127.0.0.1:99999"'},
    "octet": {"spec.address": b'"256.1.1.1:80"'},
    "name": {"spec.address": b'"runner.example:80"'},
    "huge-text": {"spec.zone": b'"%s"' % (b"x" * 200_000)},
    "weights": {"weights": TWO_TO_64},
    "weights-nested": {"weights": NESTED},
}


def write_odd(deployment, changes, entry):
    """Write an entry, or target weights, with odd bytes in some fields."""
    metadata, spec = {}, dict(entry)
    for path, value in changes.items():
        part, _, field = path.partition(".")
        if part == "weights":
            weights = b'{"model":"m0","version":%s}' % value
            deployment.store.put("versions", "m0", msgspec.Raw(weights))
            return
        (metadata if part == "metadata" else spec)[field] = msgspec.Raw(value)
    deployment.store.put("servers", NAME, spec, metadata)


@pytest.fixture
def unused_address():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        yield f"127.0.0.1:{sock.getsockname()[1]}"


# Guards against one entry that makes routers deaf to all later changes of the list.
@pytest.mark.parametrize("changes", ODD_ENTRIES.values(), ids=ODD_ENTRIES)
def test_runners_join_and_leave_and_routers_restart_beside_an_odd_entry(changes, unused_address):
    with PlatformDeployment(ROUTERS, model_runners=2, plain_runners=1) as deployment:
        old = deployment.runners[-1]
        callers = SteadyCallers(deployment, 60, paths=("/slip/x", "/pay/x"))
        try:
            callers.run_for(0.5)
            began_at = time.monotonic()
            write_odd(deployment, changes, {**old.entry(), "address": unused_address})
            callers.run_for(0.5)
            new = RunnerStandin("ledger", None)
            deployment.runners.append(new)
            deployment.list_runner(new)
            deployment.wait(lambda: new.runs)
            old.is_draining = True
            deployment.list_runner(old)
            callers.run_for(2.0)
            deployment.store.remove("servers", old.instance)
            runs_of_old = len(old.runs)
            callers.run_for(1.0)
            ended, killed_at = list(callers.calls), time.monotonic()
            assert len(old.runs) == runs_of_old

            restarted = deployment.routers[1]
            deployment.stop(restarted, signal.SIGKILL)
            restarted.process.wait()
            started_at = time.monotonic()
            deployment.start(restarted)
            deployment.wait(lambda: deployment.is_ready(restarted))
            ready_s = time.monotonic() - started_at
            for router in deployment.routers:
                deployment.wait(lambda r=router: len(deployment.addresses(r)) == ROUTERS)
            back_at = time.monotonic()
            callers.run_for(1.0)
        finally:
            callers.stop()
        # A call that is at the killed router when it is killed may stay without a response.
        elsewhere = [call for call in callers.calls if call.router != restarted.front]
        checked = [call for call in {*ended, *elsewhere} if call.sent_at >= began_at]
        checked += [call for call in callers.calls if call.sent_at >= back_at]
        assert [
            (call.router, call.status, call.sent_at - killed_at)
            for call in checked
            if call.status != 200
        ] == []
        assert ready_s < READY_S
        logs = [router.log.read_text() for router in deployment.routers]
        assert [line for log in logs for line in log.splitlines() if "loop_call" in line] == []
