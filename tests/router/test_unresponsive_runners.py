"""Tests of the shared detection of unresponsive runners.

The load is that of 195 routers and 59 runners, a quarter of which are unresponsive for 14 s.  Each
runner is sent 3.5 prompts per second, about one a minute by each router.
"""

import random

from martenrun.router.peer_messages import UnresponsiveRunnerUpdate
from martenrun.router.reachability import Reachability
from martenrun.router.runner_state import UNRESPONSIVE_AFTER_S, RunnerState
from martenrun.router.unresponsive_reports import (
    JITTER_SHARE,
    MAXIMUM_SKIP_S,
    MINIMUM_SKIP_S,
    REPORT_VALIDITY_S,
    UnresponsiveReports,
)
from martenrun.router.unresponsive_runners import newly_unresponsive, record_unresponsive

from .builders import runner

ROUTERS = 195
UNRESPONSIVE_S = 14.0
PROMPTS_PER_S = 3.5


def test_reports_of_a_single_router_cause_no_suspicion():
    reports = UnresponsiveReports()
    for step in range(10):
        reports.record("a", 1.0 + step)
    assert not reports.is_suspected(10.0)
    reports.record("b", 10.1)
    assert reports.is_suspected(10.2)


def test_reports_expire_and_are_cleared_by_data():
    reports = UnresponsiveReports()
    reports.record("a", 1.0)
    reports.record("b", 1.1 + REPORT_VALIDITY_S)
    assert not reports.is_suspected(1.2 + REPORT_VALIDITY_S)
    reports.record("c", 1.3 + REPORT_VALIDITY_S)
    assert reports.is_suspected(1.4 + REPORT_VALIDITY_S)
    reports.clear()
    assert not reports.is_suspected(1.4 + REPORT_VALIDITY_S)


def test_skip_time_grows_up_to_its_maximum():
    reports = UnresponsiveReports(random.Random(1))
    now, pauses = 0.0, []
    for _ in range(6):
        reports.record("a", now)
        reports.record("b", now)
        skipped_s = next(
            step / 10 for step in range(200) if not reports.is_suspected(now + step / 10)
        )
        pauses.append(skipped_s)
        now += skipped_s
    assert pauses[0] <= MINIMUM_SKIP_S * (1 + JITTER_SHARE) + 0.1
    assert pauses[-1] <= MAXIMUM_SKIP_S * (1 + JITTER_SHARE) + 0.1
    assert pauses[-1] >= MAXIMUM_SKIP_S


def lost_prompts(is_shared, seed):
    """Return the number of prompts sent to one runner while it is unresponsive."""
    rng = random.Random(seed)
    reports = [UnresponsiveReports(random.Random(n)) for n in range(ROUTERS)]
    now, lost, pending = 0.0, 0, []
    while now < UNRESPONSIVE_S:
        now += rng.expovariate(PROMPTS_PER_S)
        for item in [item for item in pending if item[0] <= now]:
            pending.remove(item)
            for number, known in enumerate(reports):
                if is_shared or number == item[1]:
                    known.record(f"r{item[1]}", item[0])
        sender = rng.randrange(ROUTERS)
        if not reports[sender].is_suspected(now):
            lost += 1
            pending.append((now + UNRESPONSIVE_AFTER_S, sender))
    return lost


def test_shared_reports_reduce_prompts_lost_to_an_unresponsive_runner():
    separate = sum(lost_prompts(False, seed) for seed in range(20)) / 20
    shared = sum(lost_prompts(True, seed) for seed in range(20)) / 20
    assert separate > 0.9 * UNRESPONSIVE_S * PROMPTS_PER_S
    assert shared < 0.45 * UNRESPONSIVE_S * PROMPTS_PER_S


class FewRunners:
    """The request services that the detection uses, with some runners."""

    def __init__(self, count):
        self.pool = self
        self.states = [RunnerState(runner(f"i-{n}")) for n in range(count)]
        self.reachability = Reachability(lambda _service: self.states)

    def all_states(self):
        return self.states

    def state(self, instance):
        return next((s for s in self.states if s.runner.instance == instance), None)


def test_unresponsive_runner_is_reported_only_with_data_from_others():
    services = FewRunners(2)
    unresponsive, other = services.states
    unresponsive.record_sent(1.0)
    assert newly_unresponsive(services, 1.0 + UNRESPONSIVE_AFTER_S / 2) == []
    assert newly_unresponsive(services, 1.1 + UNRESPONSIVE_AFTER_S) == []
    other.record_data(1.05 + UNRESPONSIVE_AFTER_S)
    assert newly_unresponsive(services, 1.1 + UNRESPONSIVE_AFTER_S) == ["i-0"]
    assert newly_unresponsive(services, 1.2 + UNRESPONSIVE_AFTER_S) == []
    record_unresponsive(services, UnresponsiveRunnerUpdate("a", "i-0"), 2.0)
    record_unresponsive(services, UnresponsiveRunnerUpdate("b", "i-0"), 2.0)
    assert unresponsive.is_avoided(2.1) and not other.is_avoided(2.1)
    unresponsive.record_data(2.2)
    assert not unresponsive.is_avoided(2.3)


def test_stalled_connection_attempt_is_reported():
    services = FewRunners(2)
    unreachable, other = services.states
    unreachable.connecting_since = 1.0
    other.record_data(1.5)
    assert newly_unresponsive(services, 1.6) == ["i-0"]
    assert newly_unresponsive(services, 9.0) == []


# Guards against reports of sound runners by a router that has just lost its connection to all.
def test_data_from_before_the_silence_was_conclusive_causes_no_report():
    services = FewRunners(2)
    unresponsive, other = services.states
    unresponsive.record_sent(1.0)
    other.record_data(1.1)
    for step in range(20):
        assert newly_unresponsive(services, 1.5 + step / 4) == []
    unresponsive.record_finished()
    unresponsive.connecting_since = 8.0
    other.record_data(8.1)
    assert newly_unresponsive(services, 8.6) == []


# Guards against reports of sound runners when the first one responds after a partition.
def test_connections_that_failed_during_a_partition_cause_no_report_after_it():
    services = FewRunners(3)
    first, second, third = services.states
    for state in (first, second):
        state.connecting_since = 1.0
        services.reachability.record_failure("s", state.runner.instance, 1.4)
    assert newly_unresponsive(services, 1.5) == []
    third.record_data(4.0)
    services.reachability.record_response("s", opened_at=3.9, now=4.0)
    assert newly_unresponsive(services, 4.1) == []


# Guards against the same by routers with too few requests to notice the partition.
def test_a_stalled_connection_attempt_expires():
    services = FewRunners(2)
    unreachable, other = services.states
    unreachable.connecting_since = 1.0
    assert newly_unresponsive(services, 1.6) == []
    assert newly_unresponsive(services, 6.0) == []
    other.record_data(6.1)
    assert newly_unresponsive(services, 6.2) == []


# Guards against a router that is cut off from one service and judges its runners by another's.
def test_data_of_another_service_causes_no_report():
    services = FewRunners(2)
    unresponsive, other = services.states
    other.runner = runner("i-1", service="other")
    unresponsive.record_sent(1.0)
    other.record_data(2.0)
    assert newly_unresponsive(services, 2.1) == []


def test_loading_runner_is_not_reported():
    services = FewRunners(2)
    unresponsive, other = services.states
    unresponsive.record_sent(1.0)
    other.record_data(1.5)
    unresponsive.loading_until = 5.0
    assert newly_unresponsive(services, 3.0) == []
