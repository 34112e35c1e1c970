"""Tests that a fleet of routers does not overwhelm runners that crash when they reject too much.

Runs real routers with stand-in runners of 4 slots and 200 ms, which serve 120 requests a second
together.  A runner that advertises that it is brittle crashes if it turns away more requests within
a second than it says, and returns after some seconds.
"""

import itertools
import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
import urllib3
from platform_deployment import PlatformDeployment

ROUTERS = 6
RUNNERS = 6
SLOTS = 4
WORK_S = 0.2
TOLERANCE = 3
AWAY_S = 3.0
QUEUE_BEFORE = 12
BEFORE_S = 2.0
NOTICED_WITHIN_S = 3.0
"""Time from the first response that advertises brittleness until fewer requests may wait."""

BRITTLE_S = 12.0
ALLOWED_FALLS = 2 + RUNNERS / 10


class Callers:
    """Sends calls at a steady rate, each to a random router."""

    def __init__(self, deployment, per_s):
        self._deployment = deployment
        self._rng = random.Random(7)
        self._numbers = itertools.count()
        self._stopped = threading.Event()
        self._pool = ThreadPoolExecutor(120)
        self.results = []
        self._thread = threading.Thread(target=self._send_calls, args=(per_s,), daemon=True)
        self._thread.start()

    def _send_calls(self, per_s):
        next_at = time.monotonic()
        while not self._stopped.wait(max(0.0, next_at - time.monotonic())):
            next_at += 1.0 / per_s
            self._pool.submit(self._call, next(self._numbers))

    def _call(self, number):
        router = self._rng.choice(self._deployment.routers)
        began_at = time.monotonic()
        kind = "/slip/x" if number % 2 else "/pay/x"
        try:
            response = self._deployment.ask(kind, f"b-{began_at}-{number}", router)
            status = response.status
        except (urllib3.exceptions.HTTPError, OSError):
            status = 0
        self.results.append((began_at, status, time.monotonic() - began_at))

    def stop(self):
        self._stopped.set()
        self._thread.join()
        self._pool.shutdown()


@pytest.fixture
def deployment():
    with PlatformDeployment(routers=ROUTERS, model_runners=0, plain_runners=RUNNERS) as it:
        for runner in it.runners:
            runner.slots, runner.work_s, runner.queue = SLOTS, WORK_S, QUEUE_BEFORE
            it.list_runner(runner)
        it.let_plain_runners_return(AWAY_S)
        yield it


def wait_s(deployment, seconds):
    ends_at = time.monotonic() + seconds
    deployment.wait(lambda: time.monotonic() >= ends_at, limit_s=seconds + 5.0)


def play(deployment, per_s):
    """Let all runners be brittle for a while under a load.

    Returns:
        the number of crashes, and the share of calls served, from the notice on.
    """
    callers = Callers(deployment, per_s)
    wait_s(deployment, BEFORE_S)
    for runner in deployment.runners:
        runner.brittleness = str(TOLERANCE)
    wait_s(deployment, NOTICED_WITHIN_S)
    noticed_at = time.monotonic()
    for runner in deployment.runners:
        runner.queue = 0
    wait_s(deployment, BRITTLE_S)
    for runner in deployment.runners:
        runner.brittleness, runner.queue = None, QUEUE_BEFORE
    callers.stop()
    counted = [status for began_at, status, _ in callers.results if began_at >= noticed_at]
    falls = sum(len(runner.crashes) for runner in deployment.runners)
    served = sum(status == 200 for status in counted) / len(counted)
    print(f"{per_s} a second: {falls} falls, {served:.2f} of {len(counted)} served")
    return falls, served


# Guards against runners that fall one after the other, each under the load of those before it.
@pytest.mark.parametrize("per_s", [80, 150])
def test_brittle_runners_do_not_fall_under_a_steady_load(deployment, per_s):
    falls, served = play(deployment, per_s)
    assert falls <= ALLOWED_FALLS
    assert served >= 0.5 * min(1.0, 120 / per_s)
