"""Runners that name a limit get no more than it allows from all routers together.

Real routers before stand-in runners; arrivals are counted at the runners, refused ones included.
"""

import bisect
import itertools
import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
import urllib3
from platform_deployment import PlatformDeployment

ROUTERS = 8
MODEL_RUNNERS = 4
WINDOW_S = 4.0
KNOWN_WITHIN_S = 3.0
"""Time from the first answer that names a limit until the bound holds."""

MEASURED_S = 10.0
LIMIT_PER_S = 1.0
ALLOWED = 1.5 * LIMIT_PER_S * WINDOW_S + 5
CALLS_PER_S = 60

REFUSED_WITHIN_S = 0.5


class Callers:
    """Callers that come at a steady rate, each to any router."""

    def __init__(self, deployment, per_s):
        self._deployment = deployment
        self._rng = random.Random(11)
        self._numbers = itertools.count()
        self._ends = threading.Event()
        self._pool = ThreadPoolExecutor(64)
        self.answers = []
        self._thread = threading.Thread(target=self._come, args=(per_s,), daemon=True)
        self._thread.start()

    def _come(self, per_s):
        while not self._ends.wait(1.0 / per_s):
            self._pool.submit(self._call, next(self._numbers))

    def _call(self, number):
        router = self._rng.choice(self._deployment.routers)
        began = time.monotonic()
        try:
            answer = self._deployment.ask("/once/x", f"limit-{began}-{number}", router)
            status, retry_after = answer.status, answer.headers.get("Retry-After")
        except (urllib3.exceptions.HTTPError, OSError):
            status, retry_after = 0, None
        self.answers.append((began, status, time.monotonic() - began, retry_after))

    def stop(self):
        self._ends.set()
        self._thread.join()
        self._pool.shutdown()


def arrival_times(runner, since):
    """Return when requests reached a runner, from KNOWN_WITHIN_S after it first named a limit."""
    times = sorted(arrival.at for arrival in runner.arrivals)
    return [at for at in times if at >= since + KNOWN_WITHIN_S]


def first_named(runner):
    return min(arrival.at for arrival in runner.arrivals if arrival.limit is not None)


def most_in_window(times):
    """Return the most arrivals within any window."""
    return max(
        (bisect.bisect_right(times, at + WINDOW_S) - n for n, at in enumerate(times)), default=0
    )


@pytest.fixture
def deployment():
    with PlatformDeployment(routers=ROUTERS, model_runners=MODEL_RUNNERS, plain_runners=0) as it:
        yield it


def play_limited(deployment, limited):
    """Let callers come while some runners name a limit; return their calls of that time."""
    callers = Callers(deployment, CALLS_PER_S)
    deployment.wait(lambda: len(callers.answers) >= CALLS_PER_S)
    for runner in limited:
        runner.limit = str(LIMIT_PER_S)
    named_at = time.monotonic()
    lasts_s = KNOWN_WITHIN_S + MEASURED_S
    deployment.wait(lambda: time.monotonic() > named_at + lasts_s, limit_s=lasts_s + 5)
    callers.stop()
    return [answer for answer in callers.answers if answer[0] >= named_at + KNOWN_WITHIN_S]


def assert_limit_holds(runner):
    since = first_named(runner)
    assert most_in_window(arrival_times(runner, since)) <= ALLOWED, runner.instance


def test_a_limited_runner_gets_no_more_than_it_allows_while_others_serve(deployment):
    """Guards against runners being overrun by routers that each see a small part of the load."""
    limited, *others = [runner for runner in deployment.runners if runner.model is not None]
    calls = play_limited(deployment, [limited])
    assert_limit_holds(limited)
    assert len(arrival_times(limited, first_named(limited))) >= 0.8 * LIMIT_PER_S * MEASURED_S
    assert [status for _, status, *_ in calls if status != 200] == []
    assert all(runner.arrivals for runner in others)


def test_calls_that_limited_runners_cannot_take_are_refused_at_once(deployment):
    """Guards against all runners of a service being overrun where no other can serve."""
    limited = [runner for runner in deployment.runners if runner.model is not None]
    calls = play_limited(deployment, limited)
    for runner in limited:
        assert_limit_holds(runner)
    allowed = LIMIT_PER_S * MEASURED_S * len(limited)
    assert sum(status == 200 for _, status, *_ in calls) >= 0.8 * allowed
    refused = [(taken_s, after) for _, status, taken_s, after in calls if status == 503]
    assert len(refused) + sum(status == 200 for _, status, *_ in calls) == len(calls)
    assert sorted(taken_s for taken_s, _ in refused)[len(refused) // 2] < REFUSED_WITHIN_S / 4
    assert all(0 < float(after) <= 2 * WINDOW_S for _, after in refused)
    assert len({after for _, after in refused}) > len(refused) / 10
