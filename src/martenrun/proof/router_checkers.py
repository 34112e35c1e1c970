"""Checkers of what callers and runners saw of routers under faults; pure, one per promise.

Times are seconds of one steady clock, that of the process that drives the run.
"""

import collections
from collections.abc import Iterable, Sequence

import attrs


@attrs.frozen
class CallRecord:
    """One request as its caller saw it; ``status`` None if the answer broke or never came."""

    request_id: str
    kind: str
    key: str
    sent_at: float
    status: int | None
    body: bytes


@attrs.frozen
class RunRecord:
    """One run as a runner saw it."""

    request_id: str
    instance: str
    at: float
    tenant: str | None


@attrs.frozen
class OrderRecord:
    """One order as a runner took it."""

    instance: str
    holder: str
    token: int
    at: float


@attrs.frozen
class Revocation:
    """A key that the operator took away, and when the store had taken that."""

    key: str
    at: float


@attrs.frozen
class Departure:
    """A runner whose entry said that it leaves, and when the store had taken that."""

    instance: str
    at: float


@attrs.frozen
class RouterHistory:
    """What one run of the soak left behind.

    ``unquiet`` are spans (from, to) in which the store or routers were in trouble.
    """

    calls: Sequence[CallRecord]
    runs: Sequence[RunRecord]
    orders: Sequence[OrderRecord]
    revocations: Sequence[Revocation]
    departures: Sequence[Departure]
    unquiet: Sequence[tuple[float, float]]
    events_of_stream: int


SAFE_KINDS = frozenset({"slip", "ask"})
"""Kinds of request that may run more than once."""

REFUSALS = frozenset({408, 421, 429, 503})
"""Statuses that promise that a request has not run."""


def runs_at_most_once(history: RouterHistory) -> list[str]:
    """Requests that must not repeat ran once at the most."""
    kinds = {call.request_id: call.kind for call in history.calls}
    counts = collections.Counter(run.request_id for run in history.runs)
    return [
        f"{request_id} ran {count} times"
        for request_id, count in counts.items()
        if count > 1 and kinds.get(request_id) not in SAFE_KINDS
    ]


def refused_never_ran(history: RouterHistory) -> list[str]:
    """What was refused as not run did not run, nor did it run later."""
    ran = {run.request_id for run in history.runs}
    return [
        f"{call.request_id} got {call.status} and ran"
        for call in history.calls
        if call.status in REFUSALS and call.kind not in SAFE_KINDS and call.request_id in ran
    ]


def answers_are_ones_own(history: RouterHistory) -> list[str]:
    """A success carries the whole answer to that very request."""
    found = []
    for call in history.calls:
        if call.status != 200:
            continue
        if call.kind in ("ask", "once"):
            ids = [int(line[4:]) for line in call.body.split(b"\n") if line.startswith(b"id: ")]
            is_whole = ids == list(range(1, history.events_of_stream + 1))
        else:
            is_whole = call.body == b"answer to " + call.request_id.encode()
        if not is_whole:
            found.append(f"{call.request_id} got {call.body[:80]!r}")
    return found


def nothing_unasked_ran(history: RouterHistory) -> list[str]:
    """Runners ran only what callers sent, under the tenant of the key."""
    asked = {call.request_id for call in history.calls}
    return [
        f"{run.request_id} ran under {run.tenant}"
        for run in history.runs
        if run.request_id not in asked or run.tenant != "growers"
    ]


def revoked_keys_stop(history: RouterHistory, bound_s: float) -> list[str]:
    """No request sent later than the bound after its key was taken away runs."""
    ran = {run.request_id for run in history.runs}
    return [
        f"{call.request_id} ran {call.sent_at - gone.at:.2f} s after its key was taken away"
        for gone in history.revocations
        for call in history.calls
        if call.key == gone.key and call.sent_at > gone.at + bound_s and call.request_id in ran
    ]


def leaving_runners_rest(history: RouterHistory, bound_s: float, quiet_s: float) -> list[str]:
    """A leaving runner gets nothing later than the bound, where nothing was in trouble lately."""
    found = []
    for gone in history.departures:
        for run in history.runs:
            if run.instance != gone.instance or run.at <= gone.at + bound_s:
                continue
            if not _was_unquiet(history.unquiet, gone.at - quiet_s, run.at):
                found.append(
                    f"{run.request_id} ran at {run.instance} {run.at - gone.at:.2f} s late"
                )
    return found


def _was_unquiet(spans: Iterable[tuple[float, float]], begin: float, end: float) -> bool:
    return any(start < end and stop > begin for start, stop in spans)


def orders_have_one_holder(history: RouterHistory) -> list[str]:
    """No two holders use one fencing token, and a runner's tokens never fall."""
    found = []
    holders: dict[int, str] = {}
    newest: dict[str, int] = {}
    for order in sorted(history.orders, key=lambda item: item.at):
        if holders.setdefault(order.token, order.holder) != order.holder:
            found.append(f"token {order.token} of {holders[order.token]} and {order.holder}")
        if order.token < newest.get(order.instance, 0):
            found.append(f"token {order.token} after {newest[order.instance]}")
        newest[order.instance] = max(order.token, newest.get(order.instance, 0))
    return found


def check_all(history: RouterHistory, revoke_s: float, drain_s: float, quiet_s: float) -> list[str]:
    """Return every violation, each with the promise that it breaks."""
    results = {
        "at most once": runs_at_most_once(history),
        "refused": refused_never_ran(history),
        "own answer": answers_are_ones_own(history),
        "unasked": nothing_unasked_ran(history),
        "revoked": revoked_keys_stop(history, revoke_s),
        "leaving": leaving_runners_rest(history, drain_s, quiet_s),
        "one holder": orders_have_one_holder(history),
    }
    return [f"{promise}: {text}" for promise, texts in results.items() for text in texts]
