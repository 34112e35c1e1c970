"""Tests that a fleet of routers enforces the rate limits that runners advertise.

Runs real routers with stand-in runners.  Arrivals are counted at the runners, including requests
that a runner refused.
"""

import bisect
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

ROUTERS = 8
MODEL_RUNNERS = 4
WINDOW_S = 4.0
KNOWN_WITHIN_S = 3.0
"""Time from the first response that advertises a limit until the bound holds, in seconds."""

MEASURED_S = 10.0
LIMIT_PER_S = 1.0
ALLOWED = 1.5 * LIMIT_PER_S * WINDOW_S + 5
CALLS_PER_S = 60

REFUSED_WITHIN_S = 0.5


class Callers:
    """Sends calls at a steady rate, each to a random router."""

    def __init__(self, deployment, per_s):
        self._deployment = deployment
        self._rng = random.Random(11)
        self._numbers = itertools.count()
        self._stopped = threading.Event()
        self._pool = ThreadPoolExecutor(64)
        self.results = []
        self._thread = threading.Thread(target=self._send_calls, args=(per_s,), daemon=True)
        self._thread.start()

    def _send_calls(self, per_s):
        while not self._stopped.wait(1.0 / per_s):
            self._pool.submit(self._call, next(self._numbers))

    def _call(self, number):
        router = self._rng.choice(self._deployment.routers)
        began = time.monotonic()
        try:
            response = self._deployment.ask("/once/x", f"limit-{began}-{number}", router)
            status, retry_after = response.status, response.headers.get("Retry-After")
        except (urllib3.exceptions.HTTPError, OSError):
            status, retry_after = 0, None
        self.results.append((began, status, time.monotonic() - began, retry_after))

    def stop(self):
        self._stopped.set()
        self._thread.join()
        self._pool.shutdown()


def arrival_times(runner, since):
    """Return the times of arrivals at a runner, from ``KNOWN_WITHIN_S`` after ``since``."""
    times = sorted(arrival.at for arrival in runner.arrivals)
    return [at for at in times if at >= since + KNOWN_WITHIN_S]


def first_advertised_at(runner):
    return min(arrival.at for arrival in runner.arrivals if arrival.limit is not None)


def most_in_window(times):
    """Return the maximum number of arrivals in any window."""
    return max(
        (bisect.bisect_right(times, at + WINDOW_S) - n for n, at in enumerate(times)), default=0
    )


@pytest.fixture
def deployment():
    with PlatformDeployment(routers=ROUTERS, model_runners=MODEL_RUNNERS, plain_runners=0) as it:
        yield it


def run_with_limited_runners(deployment, count):
    """Send calls while the ``count`` busiest runners advertise a limit.

    Returns:
        those runners, and the calls made while the bound holds.
    """
    callers = Callers(deployment, CALLS_PER_S)
    deployment.wait(lambda: len(callers.results) >= CALLS_PER_S)
    by_arrivals = sorted(deployment.runners, key=lambda runner: -len(runner.arrivals))
    limited = by_arrivals[:count]
    for runner in limited:
        runner.limit = str(LIMIT_PER_S)
    advertised_at = time.monotonic()
    lasts_s = KNOWN_WITHIN_S + MEASURED_S
    deployment.wait(lambda: time.monotonic() > advertised_at + lasts_s, limit_s=lasts_s + 5)
    callers.stop()
    since = advertised_at + KNOWN_WITHIN_S
    return limited, [result for result in callers.results if result[0] >= since]


def assert_limit_holds(runner):
    since = first_advertised_at(runner)
    assert most_in_window(arrival_times(runner, since)) <= ALLOWED, runner.instance


def test_a_limited_runner_gets_no_more_than_it_allows_while_others_serve(deployment):
    """Guards against overload by routers that each see a small share of the load."""
    (limited,), calls = run_with_limited_runners(deployment, 1)
    assert_limit_holds(limited)
    assert (
        len(arrival_times(limited, first_advertised_at(limited))) >= 0.8 * LIMIT_PER_S * MEASURED_S
    )
    assert [status for _, status, *_ in calls if status != 200] == []
    assert all(runner.arrivals for runner in deployment.runners if runner is not limited)


def test_calls_that_limited_runners_cannot_take_are_refused_at_once(deployment):
    """Guards against overload when every runner of a service is rate-limited."""
    limited, calls = run_with_limited_runners(deployment, MODEL_RUNNERS)
    addresses = [r.url("internal", "").removeprefix("http://") for r in deployment.routers]
    listed = CliRunner().invoke(main, ["quotas", *addresses]).output
    for runner in limited:
        assert_limit_holds(runner)
        assert f"runner {runner.instance}" in listed
    allowed = LIMIT_PER_S * MEASURED_S * len(limited)
    assert sum(status == 200 for _, status, *_ in calls) >= 0.8 * allowed
    refused = [(taken_s, after) for _, status, taken_s, after in calls if status == 503]
    assert len(refused) + sum(status == 200 for _, status, *_ in calls) == len(calls)
    assert sorted(taken_s for taken_s, _ in refused)[len(refused) // 2] < REFUSED_WITHIN_S / 4
    assert all(0 < float(after) <= 2 * WINDOW_S for _, after in refused)
    assert len({after for _, after in refused}) > len(refused) / 10
