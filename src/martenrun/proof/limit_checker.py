"""Checks that all routers together respect the rate limits that runners advertise."""

import bisect
import collections

from martenrun.proof.router_records import LimitArrival, LimitBound, PromiseBounds, RouterHistory


def runner_limits_are_respected(history: RouterHistory, bounds: PromiseBounds) -> list[str]:
    """Return a violation for each runner start and limit with too many requests in a window.

    A request counts only if its router has passed on an answer with the limit at least
    ``reaction_s`` before and had no recent trouble.
    """
    bound = bounds.limit
    if bound is None:
        return []
    by_start = collections.defaultdict(list)
    for arrival in sorted(history.limit_arrivals, key=lambda item: item.at):
        by_start[arrival.instance, arrival.born_ms, arrival.requests_per_s].append(arrival)
    violations = []
    for (instance, _, requests_per_s), arrivals in by_start.items():
        times = _counted_times(history, arrivals, bound)
        allowed = bound.rate_factor * requests_per_s * bound.window_s + bound.extra_requests
        for first, begin in enumerate(times):
            count = bisect.bisect_right(times, begin + bound.window_s) - first
            if count > allowed:
                violations.append(
                    f"{instance} advertised {requests_per_s} requests/s and received {count} "
                    f"requests within {bound.window_s} s of {begin:.3f}, {allowed:.1f} allowed"
                )
                break
    return violations


def _counted_times(
    history: RouterHistory, arrivals: list[LimitArrival], bound: LimitBound
) -> list[float]:
    """Return the arrival times of the requests that count, for one runner start and limit."""
    routers = {call.request_id: call.router for call in history.calls}
    applies_from = arrivals[0].at + bound.propagation_s
    first_limited_at: dict[str, float] = {}
    times = []
    for arrival in arrivals:
        router = routers.get(arrival.request_id, "")
        since = first_limited_at.setdefault(router, arrival.at)
        must_comply = arrival.at >= max(applies_from, since + bound.reaction_s)
        if must_comply and not _had_recent_trouble(
            history, router, arrival.at, bound.propagation_s
        ):
            times.append(arrival.at)
    return times


def _had_recent_trouble(history: RouterHistory, router: str, at: float, recent_s: float) -> bool:
    """Whether a router was started, cut off or suspended within the last ``recent_s`` seconds."""
    return any(
        trouble.begin < at and trouble.end > at - recent_s
        for trouble in history.troubles
        if trouble.place == router
    ) or any(life.router == router and life.started_at > at - recent_s for life in history.lives)
