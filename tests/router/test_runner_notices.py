"""Tests that routers respect the drains and backoffs that runners announce in responses.

Runs real routers with stand-in runners; what arrives is recorded at the runners.
"""

import time

import pytest
from platform_deployment import PlatformDeployment

from .notice_plays import DRAIN_S, SteadyCallers, broken_backoffs, late_requests

ROUTERS = 6
RUNNERS = 6
CALLS_PER_S = 80
BACKOFF_S = 3.0
LAPSE_S = 1.0
REFUSED_WITHIN_S = 0.2
ALERT_SHARE = 0.9
"""Served share below which operators are alerted."""


@pytest.fixture
def deployment():
    with PlatformDeployment(ROUTERS, model_runners=RUNNERS, plain_runners=RUNNERS) as it:
        yield it


def some_of_each_kind(deployment, count):
    """Return so many of the busiest model runners, and of the busiest plain ones."""
    by_arrivals = sorted(deployment.runners, key=lambda runner: -len(runner.arrivals))
    model = [runner for runner in by_arrivals if runner.model is not None]
    plain = [runner for runner in by_arrivals if runner.model is None]
    return model[:count] + plain[:count]


def let_entries_lapse(deployment, runners):
    """Remove the entries of runners for a time, as happens while the store is away."""
    for runner in runners:
        deployment.store.remove("servers", runner.instance)
    until = time.monotonic() + LAPSE_S
    deployment.wait(lambda: time.monotonic() > until)
    for runner in runners:
        deployment.list_runner(runner)


# Guards against requests to a runner that is about to stop while its entry still says ready.
def test_runners_whose_responses_announce_a_drain_receive_no_requests(deployment):
    callers = SteadyCallers(deployment, CALLS_PER_S)
    callers.run_for(1.5)
    draining = some_of_each_kind(deployment, 2)
    began_at = time.monotonic()
    for runner in draining:
        runner.announces_drain = True
    callers.run_for(DRAIN_S + 4.0)
    callers.stop()
    assert late_requests(callers, deployment.runners) == []
    assert callers.served_share(began_at) == 1.0


# Guards against announced drains that are forgotten when the entry is missing for a moment.
def test_an_announced_drain_outlasts_a_lapsed_entry(deployment):
    callers = SteadyCallers(deployment, CALLS_PER_S)
    callers.run_for(1.0)
    draining = some_of_each_kind(deployment, 2)
    for runner in draining:
        runner.announces_drain = True
    callers.run_for(DRAIN_S)
    let_entries_lapse(deployment, draining)
    callers.run_for(3.0)
    callers.stop()
    assert late_requests(callers, deployment.runners) == []


# Guards against a drain of one start of a runner that is attributed to its next start.
def test_restarted_runners_receive_requests_after_announced_drains(deployment):
    callers = SteadyCallers(deployment, CALLS_PER_S, ["/slip/x", "/pay/x"])
    callers.run_for(1.0)
    plain = [runner for runner in deployment.runners if runner.model is None]
    for runner in plain:
        runner.announces_drain = True
    callers.run_for(DRAIN_S)
    for runner in plain:
        runner.start_new_instance()
        deployment.list_runner(runner)
    callers.run_for(1.0)
    served_from = time.monotonic()
    callers.run_for(2.0)
    callers.stop()
    assert callers.served_share(served_from) == 1.0
    assert late_requests(callers, deployment.runners) == []


# Guards against requests to a runner that has asked to be sent none for some seconds.
def test_runners_receive_no_requests_within_the_backoff_that_they_request(deployment):
    callers = SteadyCallers(deployment, CALLS_PER_S)
    callers.run_for(1.5)
    refusing = some_of_each_kind(deployment, 2)
    began_at = time.monotonic()
    for runner in refusing:
        runner.retry_after = str(BACKOFF_S)
    callers.run_for(2 * BACKOFF_S + 1.0)
    callers.stop()
    assert broken_backoffs(callers, deployment.runners) == []
    assert callers.served_share(began_at) >= 0.98


# Guards against backoffs that are forgotten when the entry is missing for a moment.
def test_a_backoff_outlasts_a_lapsed_entry(deployment):
    callers = SteadyCallers(deployment, CALLS_PER_S)
    callers.run_for(1.0)
    refusing = some_of_each_kind(deployment, 2)
    for runner in refusing:
        runner.retry_after = str(BACKOFF_S)
    callers.run_for(0.7)
    let_entries_lapse(deployment, refusing)
    callers.run_for(2.0)
    callers.stop()
    assert broken_backoffs(callers, deployment.runners) == []


# Guards against a backoff of a runner's new start that is attributed to its former one.
def test_a_backoff_of_a_restarted_runner_outlasts_its_late_entry(deployment):
    callers = SteadyCallers(deployment, CALLS_PER_S)
    callers.run_for(1.5)
    restarted = some_of_each_kind(deployment, 2)
    for runner in restarted:
        runner.start_new_instance()
        runner.retry_after = str(BACKOFF_S)
    callers.run_for(0.7)
    for runner in restarted:
        runner.retry_after = None
        deployment.list_runner(runner)
    callers.run_for(2.0)
    callers.stop()
    assert broken_backoffs(callers, deployment.runners) == []


# Guards against requests that are tried at every runner although all have requested a backoff.
def test_requests_are_refused_at_once_while_all_runners_back_off(deployment):
    callers = SteadyCallers(deployment, CALLS_PER_S)
    callers.run_for(1.5)
    began_at = time.monotonic()
    for runner in deployment.runners:
        runner.retry_after = str(BACKOFF_S)
    callers.run_for(2.5)
    ended_at = time.monotonic()
    for runner in deployment.runners:
        runner.retry_after = None
    callers.run_for(BACKOFF_S + 2.0)
    callers.stop()
    assert broken_backoffs(callers, deployment.runners) == []
    refused = [item for item in callers.refusals if began_at + 0.5 <= item[0] < ended_at]
    assert len(refused) > CALLS_PER_S
    assert max(taken_s for _, taken_s, _ in refused) < REFUSED_WITHIN_S
    assert all(retry_after > 0.0 for _, _, retry_after in refused)
    assert callers.served_share(ended_at + BACKOFF_S + 0.5) >= 0.98


# Guards against requests that routers refuse although runners that accept them are free.
def test_requests_are_served_while_most_runners_refuse_without_a_readable_backoff(deployment):
    callers = SteadyCallers(deployment, CALLS_PER_S)
    callers.run_for(1.5)
    for runner in some_of_each_kind(deployment, 4):
        runner.retry_after = "soon"
    callers.run_for(1.0)
    known_from = time.monotonic()
    callers.run_for(6.0)
    callers.stop()
    assert callers.served_share(known_from) >= ALERT_SHARE
