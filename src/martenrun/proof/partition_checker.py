"""Checks that callers are served by routers that are partitioned from all runners."""

from collections.abc import Sequence

from martenrun.proof.router_records import (
    GREEDY_KIND,
    CallRecord,
    Partition,
    PromiseBounds,
    RouterHistory,
)

LEAST_SERVED_SHARE = 2 / 3
"""Least share of calls served at partitioned routers, relative to the others."""

ALLOWED_FAILURES = 10
ALLOWED_FAILURE_SHARE = 1 / 50
"""Calls that may fail at a partitioned router: a number, and a share of all calls of the time."""


def partitioned_routers_serve(history: RouterHistory, bounds: PromiseBounds) -> list[str]:
    """Return a violation for each partition in which a router serves far less than the others.

    Calls count from ``contact_s`` after its begin.  A router that was in trouble or was started
    meanwhile is not held to it.
    """
    found = []
    for partition in history.partitions:
        begin = partition.begin + bounds.contact_s
        if begin >= partition.end or _was_disturbed(history, partition):
            continue
        calls = [
            call
            for call in history.calls
            if begin <= call.sent_at < partition.end
            and call.left_at is None
            and call.kind != GREEDY_KIND
        ]
        there = [call for call in calls if call.router == partition.router]
        elsewhere = [call for call in calls if not _is_partitioned(history, call)]
        failed = sum(call.status != 200 for call in there)
        is_served = _served_share(there) >= LEAST_SERVED_SHARE * _served_share(elsewhere)
        if not is_served and failed > ALLOWED_FAILURES + ALLOWED_FAILURE_SHARE * len(calls):
            served = sum(call.status == 200 for call in elsewhere)
            found.append(
                f"{partition.router} served {len(there) - failed} of {len(there)} calls from "
                f"{begin:.2f} on, others {served} of {len(elsewhere)}"
            )
    return found


def _served_share(calls: Sequence[CallRecord]) -> float:
    return sum(call.status == 200 for call in calls) / len(calls) if calls else 0.0


def _is_partitioned(history: RouterHistory, call: CallRecord) -> bool:
    return any(
        partition.router == call.router and partition.begin <= call.sent_at < partition.end
        for partition in history.partitions
    )


def _was_disturbed(history: RouterHistory, partition: Partition) -> bool:
    return any(
        trouble.place == partition.router
        and trouble.begin < partition.end
        and trouble.end > partition.begin
        for trouble in history.troubles
    ) or any(
        life.router == partition.router and partition.begin < life.started_at < partition.end
        for life in history.lives
    )
