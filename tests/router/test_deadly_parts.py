"""Tests that a part of a prompt that crashes runners stops reaching them, and sound requests do.

Guards against one part of otherwise different prompts that crashed runner after runner: 26 crashes
of six runners, 21 requests sent later than 3 s after the fifth.  No two of the requests were alike,
and crash records were kept for whole requests only.  Real routers run with stand-in runners.
"""

import time

import pytest
from platform_deployment import PlatformDeployment

from martenrun.platform.standins.runner_records import CrashPoint

from .part_callers import (
    ARRIVALS_ALLOWED,
    CONTACT_S,
    FIRST_PART,
    SHARED_PARTS,
    PartCallers,
    crash_times,
    late_arrivals,
)

CRASHING = "dead01"
DOWN_S = 2.0
RUN_S = 0.05
OBSERVED_S = 4.0
"""How long requests are observed after the crashes should have stopped, in seconds."""

SERVED_SHARE = 0.9


@pytest.fixture
def deployment():
    with PlatformDeployment(routers=4, model_runners=5, plain_runners=0) as running:
        yield running


def let_crash(
    deployment,
    *parts,
    keeps_id=False,
    point=CrashPoint.BEFORE_HEAD,
    by_reset=True,
    framed=True,
    front_lead_s=0.0,
):
    deployment.let_crash(lambda _body: False, DOWN_S, keeps_id)
    for runner in deployment.runners:
        runner.crashing_parts = frozenset(parts)
        runner.crash_delay_s = RUN_S
        runner.crash_point = point
        runner.crashes_by_reset = by_reset
        runner.front_lead_s = front_lead_s
        runner.ends_by_connection = lambda _request_id: not framed


def play(deployment, callers, *parts):
    """Run callers until the crashes should long have stopped; return when they should have."""
    deployment.wait(lambda: all(len(crash_times(deployment, part)) >= 3 for part in parts))

    def blocked_from():
        return max(crash_times(deployment, part)[:5][-1] for part in parts) + 2 * CONTACT_S

    deployment.wait(lambda: time.monotonic() > blocked_from() + OBSERVED_S, 40.0)
    deployment.wait(lambda: callers.sent_since("sound", blocked_from()) >= 20)
    callers.stop()
    return blocked_from()


def check(deployment, callers, blocked_from, *parts):
    late = {part: late_arrivals(deployment, part) for part in parts}
    assert all(len(each) <= ARRIVALS_ALLOWED for each in late.values()), late
    with_first = callers.served_share(blocked_from, lambda parts: parts[0] == FIRST_PART)
    others = callers.served_share(blocked_from, lambda parts: parts[0] != FIRST_PART)
    assert with_first[0] >= SERVED_SHARE and others[0] >= SERVED_SHARE, (with_first, others)


@pytest.mark.parametrize("path", ["/ask/x", "/once/x"])
@pytest.mark.parametrize("keeps_id", [False, True], ids=["another id", "the same id"])
def test_part_that_crashes_runners_reaches_few_of_them(deployment, path, keeps_id):
    let_crash(deployment, CRASHING, keeps_id=keeps_id)
    callers = PartCallers(deployment, 1, lambda: (FIRST_PART, CRASHING), path=path)
    blocked_from = play(deployment, callers, CRASHING)
    check(deployment, callers, blocked_from, CRASHING)


def test_first_part_that_crashes_runners_reaches_few_of_them(deployment):
    let_crash(deployment, CRASHING)
    callers = PartCallers(deployment, 2, lambda: (CRASHING, SHARED_PARTS[0]))
    blocked_from = play(deployment, callers, CRASHING)
    check(deployment, callers, blocked_from, CRASHING)


def test_three_parts_that_crash_runners_reach_few_of_them(deployment):
    crashing = ("dead01", "dead02", "dead03")
    let_crash(deployment, *crashing)
    numbers = iter(range(1_000))
    callers = PartCallers(
        deployment, 3, lambda: (FIRST_PART, crashing[next(numbers) % 3]), rate=6.0
    )
    blocked_from = play(deployment, callers, *crashing)
    check(deployment, callers, blocked_from, *crashing)


# Guards against crashes of runners whose closed connections looked like complete responses.
@pytest.mark.parametrize(
    "point", [CrashPoint.AFTER_HEAD, CrashPoint.AFTER_EVENT], ids=["after head", "after event"]
)
def test_crash_that_looks_like_the_end_of_a_response_counts(deployment, point):
    let_crash(deployment, CRASHING, point=point, by_reset=False, framed=False)
    callers = PartCallers(deployment, 4, lambda: (FIRST_PART, CRASHING))
    blocked_from = play(deployment, callers, CRASHING)
    check(deployment, callers, blocked_from, CRASHING)
    complete = [each for each in callers.responses["crashing"] if each.status == 200]
    assert not complete


# Guards against crashes of runners that close responses first, report, and end a moment later.
@pytest.mark.parametrize("front_lead_s", [0.01, 0.05])
def test_crash_that_follows_a_report_counts(deployment, front_lead_s):
    let_crash(
        deployment,
        CRASHING,
        point=CrashPoint.AFTER_EVENT,
        by_reset=False,
        framed=False,
        front_lead_s=front_lead_s,
    )
    callers = PartCallers(deployment, 7, lambda: (FIRST_PART, CRASHING))
    blocked_from = play(deployment, callers, CRASHING)
    check(deployment, callers, blocked_from, CRASHING)
    assert all(each.status != 200 for each in callers.responses["crashing"])


# Guards against sound prompts held back for a part that was only ever met beside a crashing one.
def test_part_met_only_beside_a_crashing_one_is_served_without_it(deployment):
    companion = "c0ffee"
    begun = []

    def sound():
        return (FIRST_PART, companion) if begun else callers.sound_parts()

    let_crash(deployment, CRASHING)
    callers = PartCallers(deployment, 5, lambda: (FIRST_PART, companion, CRASHING), sound=sound)
    deployment.wait(lambda: len(crash_times(deployment, CRASHING)) >= 3)
    began_at = time.monotonic()
    deployment.wait(lambda: time.monotonic() > began_at + 2 * CONTACT_S)
    begun.append(True)
    begun_at = time.monotonic()
    deployment.wait(lambda: time.monotonic() > begun_at + OBSERVED_S)
    callers.stop()
    assert len(late_arrivals(deployment, CRASHING)) <= ARRIVALS_ALLOWED
    share, count = callers.served_share(begun_at, lambda parts: companion in parts)
    assert count >= 20 and share >= SERVED_SHARE


# Guards against crash records of parts that a restart of all routers loses.
def test_routers_that_all_restart_know_a_crashing_part(deployment):
    let_crash(deployment, CRASHING)
    callers = PartCallers(deployment, 6, lambda: (FIRST_PART, CRASHING))
    play_end = time.monotonic() + 10.0
    deployment.wait(lambda: time.monotonic() > play_end)
    before = len(crash_times(deployment, CRASHING))
    for router in deployment.routers:
        router.process.kill()
        router.process.wait()
        deployment.start(router)
    deployment.wait(lambda: all(deployment.is_ready(r) for r in deployment.routers))
    restarted_at = time.monotonic()
    deployment.wait(lambda: time.monotonic() > restarted_at + OBSERVED_S)
    callers.stop()
    assert len(late_arrivals(deployment, CRASHING)) <= ARRIVALS_ALLOWED
    assert len(crash_times(deployment, CRASHING)) <= before + 1
