"""Checks of requests and parts of prompts that end the runners which run them."""

from collections.abc import Sequence

from martenrun.proof.router_records import CallRecord, PromiseBounds, RouterHistory, RunRecord

LATE_ARRIVALS = 3
"""Arrivals of a deadly request that are allowed once all routers must know of it."""

DEADLY_AFTER = 3
"""Ends of runners under a request after which they must know."""


def deadly_requests_rest(history: RouterHistory, bounds: PromiseBounds) -> list[str]:
    """A request under which three runners ended reaches few more, by routers in touch."""
    runs = [(run.deadly, run) for run in history.runs if run.deadly]
    return _late_arrivals(history, bounds, runs, DEADLY_AFTER)


DEADLY_PART_AFTER = 5
"""Ends of runners under requests with one part after which they must know of the part."""


def deadly_parts_rest(history: RouterHistory, bounds: PromiseBounds) -> list[str]:
    """Requests with a part of a prompt that ended five runners reach few more."""
    runs = [(run.deadly_part, run) for run in history.runs if run.deadly_part]
    return _late_arrivals(history, bounds, runs, DEADLY_PART_AFTER)


LEAST_COUNTED = 20
"""Requests from which a share of served ones is judged."""

LOST_SHARE = 0.5
"""Least served share beside deadly parts, of the share outside of trouble."""


def sound_requests_are_served_beside_deadly_parts(
    history: RouterHistory, bounds: PromiseBounds
) -> list[str]:
    """Sound requests of the same caller and first part are served while deadly parts come."""
    parts = {run.request_id: run.deadly_part for run in history.runs if run.deadly_part}
    if not parts:
        return []
    known_from = 0.0
    for part in set(parts.values()):
        ends = sorted(item.at for item in history.crashes if parts.get(item.request_id) == part)
        if ends:
            fifth_at = ends[:DEADLY_PART_AFTER][-1]
            known_from = max(known_from, fifth_at + 2 * bounds.contact_s)
    first_at = min(run.at for run in history.runs if run.deadly_part)
    calls = [call for call in history.calls if _is_sound_and_in_touch(history, bounds, call)]
    before = [call.status == 200 for call in calls if call.sent_at < first_at]
    beside = [call.status == 200 for call in calls if call.sent_at > known_from > 0]
    if min(len(before), len(beside)) < LEAST_COUNTED:
        return []
    share, usual = sum(beside) / len(beside), sum(before) / len(before)
    if share >= LOST_SHARE * usual:
        return []
    return [f"{share:.2f} of {len(beside)} served beside deadly parts, {usual:.2f} before"]


def _is_sound_and_in_touch(history: RouterHistory, bounds: PromiseBounds, call: CallRecord) -> bool:
    is_counted = call.kind in ("ask", "once") and call.left_at is None
    if not is_counted or call.request_id.endswith("d"):
        return False
    places = (call.router, None, *{run.instance for run in history.runs})
    begin = call.sent_at - bounds.contact_s
    is_new = any(life.router == call.router and life.started_at > begin for life in history.lives)
    return not is_new and not history.was_in_trouble(places, begin, call.sent_at)


def _late_arrivals(
    history: RouterHistory,
    bounds: PromiseBounds,
    runs: Sequence[tuple[str, RunRecord]],
    after: int,
) -> list[str]:
    """Return what still arrives too often after so many crashes by the same cause."""
    found = []
    causes = {run.request_id: cause for cause, run in runs}
    for body in sorted(set(causes.values())):
        ends = sorted(item.at for item in history.crashes if causes.get(item.request_id) == body)
        if len(ends) < after:
            continue
        known_from = ends[after - 1] + bounds.contact_s
        late = [run for cause, run in runs if cause == body and run.at > known_from]
        in_touch = [run for run in late if _is_from_one_in_touch(history, run, bounds.contact_s)]
        if len(in_touch) > LATE_ARRIVALS:
            times = ", ".join(f"{run.at - known_from:.1f}" for run in in_touch[:8])
            found.append(f"{body}: {len(in_touch)} arrivals too late, by {times} s")
    return found


def _is_from_one_in_touch(history: RouterHistory, run: RunRecord, contact_s: float) -> bool:
    call = next((call for call in history.calls if call.request_id == run.request_id), None)
    if call is None:
        return False
    begin = run.at - contact_s
    is_new = any(life.router == call.router and life.started_at > begin for life in history.lives)
    return not is_new and not history.was_in_trouble((call.router, None), begin, run.at)
