"""Tests that callers are served while some routers are partitioned from all runners.

Runs real routers that reach stand-in runners through relays of their own; callers, the store and
the other routers still reach the partitioned ones.
"""

import time

import pytest
from platform_deployment import LINKED_ROUTER, PlatformDeployment

from .partition_callers import UNSAFE_KINDS, DirectoryCallers, summary

ROUTERS = 7
CALLERS = 16
PAUSE_S = 0.15
NOTICED_WITHIN_S = 3.0
"""Time from the start of a partition until the bound holds, in seconds."""

CUT_S = 11.0
BEFORE_S = 3.0
AFTER_S = 4.0
RECOVERED_WITHIN_S = 3.0

REFUSALS = (429, 503)


def stall(link):
    link.stall()


def reset(link):
    link.cut()


def refuse(link):
    link.refuse()


def spare_open(link):
    link.refuse_new()


@pytest.fixture
def deployment():
    with PlatformDeployment(
        routers=ROUTERS,
        model_runners=4,
        plain_runners=2,
        program=LINKED_ROUTER,
        has_links=True,
    ) as it:
        yield it


def wait_until(deployment, at):
    left_s = max(0.0, at - time.monotonic())
    deployment.wait(lambda: time.monotonic() >= at, limit_s=left_s + 5.0)


def play(deployment, count, partition, is_sticky=False):
    """Partition ``count`` routers from all runners for a while.

    Returns:
        all attempts, the partitioned routers, and the begin and the end of the partition.
    """
    callers = DirectoryCallers(deployment, CALLERS, PAUSE_S, is_sticky)
    wait_until(deployment, time.monotonic() + BEFORE_S)
    partitioned = deployment.routers[:count]
    began_at = time.monotonic()
    for router in partitioned:
        for link in router.links.values():
            partition(link)
    wait_until(deployment, began_at + CUT_S)
    for router in partitioned:
        for link in router.links.values():
            link.restore()
    ended_at = time.monotonic()
    wait_until(deployment, ended_at + AFTER_S)
    callers.stop()
    return callers.attempts, {router.front for router in partitioned}, began_at, ended_at


def assert_served_at_first_attempt(attempts, partitioned, began_at, ended_at):
    """Partitioned routers serve two thirds as often as others, or fail few attempts."""
    during = [a for a in attempts if began_at + NOTICED_WITHIN_S <= a.sent_at < ended_at]
    there = [a for a in during if a.router in partitioned]
    elsewhere = [a for a in during if a.router not in partitioned]
    failed = sum(a.status != 200 for a in there)
    text = f"there {summary(there)}, elsewhere {summary(elsewhere)}"
    print(text)
    share_there = 1.0 - failed / len(there) if there else 1.0
    share_elsewhere = sum(a.status == 200 for a in elsewhere) / max(1, len(elsewhere))
    assert share_elsewhere > 0.9, text
    is_served = share_there >= share_elsewhere * 2 / 3
    assert is_served or failed <= 10 + len(during) / 50, text


def assert_outcomes_are_true(deployment, attempts):
    """Unsafe requests run at most once, and not at all if they were refused."""
    runs = {}
    for runner in deployment.runners:
        for run in runner.runs:
            runs[run.request_id] = runs.get(run.request_id, 0) + 1
    for attempt in attempts:
        if attempt.kind in UNSAFE_KINDS:
            count = runs.get(attempt.request_id, 0)
            assert count <= 1, attempt
            assert not (count and attempt.status in REFUSALS), attempt
        if attempt.status == 200 and attempt.kind in ("pay", "slip"):
            assert attempt.body == b"answer to " + attempt.request_id.encode()
        if attempt.status == 200 and attempt.kind in ("ask", "once"):
            assert attempt.body.count(b"id: ") == deployment.runners[0].events, attempt


def assert_served_again(attempts, ended_at):
    after = [a for a in attempts if a.sent_at >= ended_at + RECOVERED_WITHIN_S]
    assert sum(a.status == 200 for a in after) >= 0.95 * len(after), summary(after)


# Guards against callers that fail at routers that have lost their connection to all runners.
@pytest.mark.parametrize(
    ("count", "partition"),
    [
        pytest.param(4, stall, id="4 of 7, no packet passes"),
        pytest.param(4, reset, id="4 of 7, connections are reset"),
        pytest.param(4, refuse, id="4 of 7, connections are refused"),
        pytest.param(4, spare_open, id="4 of 7, open connections live on"),
        pytest.param(6, stall, id="6 of 7, no packet passes"),
    ],
)
def test_callers_are_served_by_routers_partitioned_from_all_runners(deployment, count, partition):
    attempts, partitioned, began_at, ended_at = play(deployment, count, partition)
    assert_served_at_first_attempt(attempts, partitioned, began_at, ended_at)
    assert_outcomes_are_true(deployment, attempts)
    assert_served_again(attempts, ended_at)


# Guards against a mend by the directory alone: these callers keep the router they found first.
@pytest.mark.parametrize("partition", [stall, reset], ids=["no packet passes", "reset"])
def test_callers_that_stay_are_served_by_partitioned_routers(deployment, partition):
    attempts, partitioned, began_at, ended_at = play(deployment, 4, partition, is_sticky=True)
    assert_served_at_first_attempt(attempts, partitioned, began_at, ended_at)
    assert_outcomes_are_true(deployment, attempts)
    assert_served_again(attempts, ended_at)
