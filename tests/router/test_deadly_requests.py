"""Tests that a request that crashes every runner serving it stops reaching runners.

Guards against one request body that crashed runner after runner: 26 crashes of six runners within
68 s, and nine more arrivals after the third crash, each answered with 502.  The same body was sent
again under new request ids at other routers, and the limits on repeats apply to one request id.
Real routers run with stand-in runners; arrivals of the body are counted over all routers, and over
a restart of all of them.
"""

import itertools
import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
import urllib3
from click.testing import CliRunner
from platform_deployment import PlatformDeployment

from martenrun.cli.main import main

CRASHING = b"a body that crashes who runs it"
DOWN_S = 2.0
BLOCKED_WITHIN_S = 3.0
ARRIVALS_LEFT = 3
"""Arrivals allowed later than BLOCKED_WITHIN_S after the third crash."""

CRASHING_PAUSE_S = 0.25

LATE_ATTEMPTS = 15
"""Number of further attempts with the crash-causing request, about four seconds."""

INNOCENT_CALLERS = 4


class Callers:
    """One caller with the crash-causing body and some with other bodies, at random routers."""

    def __init__(self, deployment, seed):
        self._deployment = deployment
        self._rng = random.Random(seed)
        self._numbers = itertools.count()
        self._stopped = threading.Event()
        self.statuses = {"deadly": [], "innocent": []}
        self._pool = ThreadPoolExecutor(INNOCENT_CALLERS + 1)
        self._pool.submit(self._call_repeatedly, "deadly", CRASHING_PAUSE_S)
        for _ in range(INNOCENT_CALLERS):
            self._pool.submit(self._call_repeatedly, "innocent", 0.02)

    def _call_repeatedly(self, kind, pause_s):
        while not self._stopped.wait(pause_s):
            number = next(self._numbers)
            body = CRASHING if kind == "deadly" else b"body %d" % number
            router = self._rng.choice(self._deployment.routers)
            at = time.monotonic()
            try:
                response = self._deployment.ask("/once/x", f"{kind}-{number}", router, body=body)
                self.statuses[kind].append((at, response.status))
            except (urllib3.exceptions.HTTPError, OSError):
                self.statuses[kind].append((at, 0))

    def stop(self):
        self._stopped.set()
        self._pool.shutdown()


def third_crash_at(deployment):
    crashes = sorted(c.at for r in deployment.runners for c in r.crashes if c.request_id)
    return crashes[2] if len(crashes) > 2 else None


def late_arrivals(deployment):
    """Return when the crash-causing body arrived after all routers should have blocked it."""
    third_at = third_crash_at(deployment)
    assert third_at is not None, "fewer than three runners crashed"
    arrivals = [run.at for r in deployment.runners for run in r.runs if run.body == CRASHING]
    return [at - third_at for at in sorted(arrivals) if at > third_at + BLOCKED_WITHIN_S]


def wait_for_responses(deployment, callers, after, count):
    """Wait for responses to crash-causing requests that were sent after a time."""

    def has_enough():
        return sum(at > after for at, _ in list(callers.statuses["deadly"])) >= count

    deployment.wait(has_enough)


def served_share(callers, since):
    statuses = [status for at, status in callers.statuses["innocent"] if at > since]
    return sum(status == 200 for status in statuses) / len(statuses)


@pytest.mark.parametrize("keeps_id", [False, True], ids=["another id", "the same id"])
def test_a_deadly_request_reaches_few_runners_of_all_routers(keeps_id):
    with PlatformDeployment(routers=4, model_runners=4) as deployment:
        deployment.let_crash(lambda body: body == CRASHING, DOWN_S, keeps_id)
        callers = Callers(deployment, 1)
        deployment.wait(lambda: third_crash_at(deployment) is not None)
        blocked_from = third_crash_at(deployment) + BLOCKED_WITHIN_S
        wait_for_responses(deployment, callers, blocked_from, LATE_ATTEMPTS)
        callers.stop()
    assert len(late_arrivals(deployment)) <= ARRIVALS_LEFT
    # The crashed runners are back by then, so that innocent callers are served again.
    assert served_share(callers, third_crash_at(deployment) + BLOCKED_WITHIN_S) > 0.99


def test_routers_that_all_start_anew_know_a_deadly_request():
    with PlatformDeployment(routers=4, model_runners=4) as deployment:
        deployment.let_crash(lambda body: body == CRASHING, DOWN_S)
        callers = Callers(deployment, 2)
        deployment.wait(lambda: third_crash_at(deployment) is not None)
        blocked_from = third_crash_at(deployment) + BLOCKED_WITHIN_S
        wait_for_responses(deployment, callers, blocked_from, 1)
        for router in deployment.routers:
            router.process.kill()
            router.process.wait()
            deployment.start(router)
        deployment.wait(lambda: all(deployment.is_ready(r) for r in deployment.routers))
        wait_for_responses(deployment, callers, time.monotonic(), LATE_ATTEMPTS)
        callers.stop()
    assert len(late_arrivals(deployment)) <= ARRIVALS_LEFT


# Guards against lost evidence: the only router that saw a disconnect stopped within seconds, before
# the crash was proved.
def test_stopping_router_reports_a_crash_before_it_exits():
    with PlatformDeployment(2, 1, 1, has_relays=True) as deployment:
        stopping, staying = deployment.routers
        runner = deployment.runners[0]
        relay = deployment.relays[runner.instance]
        runner.crashes_on = lambda body: body == CRASHING
        # New connections are accepted and closed at once for a while, then refused.
        runner.on_crash = lambda _runner: relay.cut()
        ordered_at = time.monotonic()
        deployment.stop(stopping)
        deployment.wait(lambda: time.monotonic() > ordered_at + 2.5)
        assert deployment.ask("/once/x", "d-1", stopping, body=CRASHING).status == 502
        deployment.wait(lambda: time.monotonic() > ordered_at + 3.7)
        relay.refuse()
        assert stopping.process.wait(timeout=10) == 0
        address = staying.url("internal", "").removeprefix("http://")
        listed = CliRunner().invoke(main, ["blame", address]).output
        assert "1 start" in listed
