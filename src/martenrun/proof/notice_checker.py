"""Checks that routers respect what runners announce in responses: a drain, or a backoff."""

import collections
from collections.abc import Iterable

from martenrun.proof.router_records import NoticeArrival, PromiseBounds, RouterHistory, Trouble

IN_FLIGHT_S = 0.5
"""Time after a refusal in which requests may arrive that were sent before it, in seconds."""

ALLOWED_ARRIVALS = 2
"""Requests of a router that may reach a runner after that time and within the backoff."""

RunnerStart = tuple[str, int]
"""Instance and start time of a runner."""


def announced_drains_are_respected(history: RouterHistory, bounds: PromiseBounds) -> list[str]:
    """A router that has returned a response with the announcement sends its runner no more.

    Counted are requests that callers sent later than the bound after that.  Only a restart or a
    suspension of the router since then excuses it.
    """
    sent_at = {call.request_id: call.sent_at for call in history.calls}
    noticed = _drains_by_router(history)
    found = []
    for arrival in history.notice_arrivals:
        since = noticed.get((arrival.router, _start(arrival)))
        sent = sent_at.get(arrival.request_id)
        if since is None or sent is None or sent <= since + bounds.drain_s:
            continue
        if not _was_restarted(history, arrival.router, since, arrival.at):
            found.append(
                f"{arrival.request_id} reached {arrival.instance} by {arrival.router} "
                f"{sent - since:.2f} s after the router had returned its announcement"
            )
    return found


def requested_backoffs_are_respected(history: RouterHistory) -> list[str]:
    """Hardly any request of a router reaches a runner within the backoff that it requested.

    A restart, a suspension or a partition of the router excuses it, and a harmed link by which the
    refusal may not have reached the router.
    """
    arrivals: dict[tuple[str, RunnerStart], list[NoticeArrival]] = collections.defaultdict(list)
    for arrival in sorted(history.notice_arrivals, key=lambda item: item.at):
        arrivals[arrival.router, _start(arrival)].append(arrival)
    found = []
    for (router, (instance, _)), of_router in arrivals.items():
        for refusal in of_router:
            is_lost = _overlaps(history.harmed_links, instance, refusal.at, refusal.at)
            if refusal.backoff_s is None or is_lost:
                continue
            begin, end = refusal.at + IN_FLIGHT_S, refusal.at + refusal.backoff_s
            count = sum(begin < item.at < end for item in of_router)
            if count > ALLOWED_ARRIVALS and not _was_cut_off(history, router, refusal.at, end):
                found.append(
                    f"{instance} requested a backoff of {refusal.backoff_s} s from {router} at "
                    f"{refusal.at:.3f} and received {count} requests"
                )
    return found


def _drains_by_router(history: RouterHistory) -> dict[tuple[str, RunnerStart], float]:
    """Return when each router first returned a response with each announcement."""
    by_request: dict[str, list[NoticeArrival]] = collections.defaultdict(list)
    for arrival in history.notice_arrivals:
        if arrival.announces_drain:
            by_request[arrival.request_id].append(arrival)
    noticed: dict[tuple[str, RunnerStart], float] = {}
    for call in history.calls:
        if call.drain_noticed_at is None or call.request_id not in by_request:
            continue
        # The response that the caller received is that of the last runner.
        last = max(by_request[call.request_id], key=lambda item: item.at)
        key = call.router, _start(last)
        noticed[key] = min(call.drain_noticed_at, noticed.get(key, call.drain_noticed_at))
    return noticed


def _start(arrival: NoticeArrival) -> RunnerStart:
    return arrival.instance, arrival.born_ms


def _was_restarted(history: RouterHistory, router: str, begin: float, end: float) -> bool:
    has_restarted = any(
        life.router == router and begin < life.started_at <= end for life in history.lives
    )
    return has_restarted or _overlaps(history.suspensions, router, begin, end)


def _was_cut_off(history: RouterHistory, router: str, begin: float, end: float) -> bool:
    partitions = (Trouble(item.router, item.begin, item.end) for item in history.partitions)
    return _was_restarted(history, router, begin, end) or _overlaps(partitions, router, begin, end)


def _overlaps(spans: Iterable[Trouble], place: str, begin: float, end: float) -> bool:
    return any(span.place == place and span.begin <= end and span.end >= begin for span in spans)
