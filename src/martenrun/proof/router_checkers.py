"""Checkers of what callers and runners saw of routers under faults; pure, one per promise.

Times are seconds of one steady clock, that of the process that drives the run.
"""

import bisect
import collections
import math

from martenrun.proof.crash_checker import (
    deadly_parts_rest,
    deadly_requests_rest,
    sound_requests_are_served_beside_deadly_parts,
)
from martenrun.proof.limit_checker import runner_limits_are_respected
from martenrun.proof.notice_checker import (
    announced_drains_are_respected,
    requested_backoffs_are_respected,
)
from martenrun.proof.partition_checker import partitioned_routers_serve
from martenrun.proof.router_records import (
    GREEDY_KIND,
    Departure,
    PromiseBounds,
    RouterHistory,
    RouterLife,
)
from martenrun.proof.stream_checker import (
    events_are_consecutive,
    resumed_streams_continue,
    streams_keep_their_software,
)

SAFE_KINDS = frozenset({"slip", "ask"})
"""Kinds of request that may run more than once."""

FIRST_TENANT = "growers"
GREEDY_TENANT = "greedy"
"""Who holds the keys of the callers, and of those that ask for more than their rate."""

STREAM_KINDS = frozenset({"ask", "once", GREEDY_KIND})
"""Kinds of request that are answered by a stream."""

LEAST_TRIES = 7
"""Connections that must have been tried in vain before a router is said to take none."""

LEAST_CALLS = 20
SERVED_SHARE = 0.5
"""Of so many requests at least this share must be served once all trouble is over."""

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
        if call.kind in STREAM_KINDS:
            ids = [int(line[4:]) for line in call.body.split(b"\n") if line.startswith(b"id: ")]
            is_whole = ids == list(range(1, history.events_of_stream + 1))
        else:
            is_whole = call.body == b"answer to " + call.request_id.encode()
        if not is_whole:
            found.append(f"{call.request_id} got {call.body[:80]!r}")
    return found


def nothing_unasked_ran(history: RouterHistory) -> list[str]:
    """Runners ran only what callers sent, under the tenant of the key."""
    tenants = {
        call.request_id: GREEDY_TENANT if call.kind == GREEDY_KIND else FIRST_TENANT
        for call in history.calls
    }
    return [
        f"{run.request_id!r} ran under {run.tenant} at {run.instance}: {run.target}"
        for run in history.runs
        if run.tenant is None or run.tenant != tenants.get(run.request_id)
    ]


def revoked_keys_stop(history: RouterHistory, bounds: PromiseBounds) -> list[str]:
    """No request sent later than the bound after its key was taken away runs."""
    ran = {run.request_id for run in history.runs}
    return [
        f"{call.request_id} ran {call.sent_at - gone.at:.2f} s after its key was taken away"
        for gone in history.revocations
        for call in history.calls
        if call.key == gone.key
        and gone.at + bounds.revoke_s < call.sent_at < gone.until
        and call.request_id in ran
    ]


def leaving_runners_rest(history: RouterHistory, bounds: PromiseBounds) -> list[str]:
    """A leaving runner gets nothing later than the bound from a router without trouble lately."""
    found = []
    routers = {call.request_id: call.router for call in history.calls}
    spans: dict[str, list[Departure]] = {}
    for gone in history.departures:
        spans.setdefault(gone.instance, []).append(gone)
    for run in history.runs:
        for gone in spans.get(run.instance, ()):
            if not gone.at + bounds.drain_s < run.at < gone.until:
                continue
            router = routers.get(run.request_id, "")
            places = (None, router, run.instance)
            if not history.was_in_trouble(places, gone.at - bounds.quiet_s, run.at):
                late_s = run.at - gone.at
                found.append(
                    f"{run.request_id} ran at {run.instance} {late_s:.2f} s late by {router}"
                )
    return found


def departed_routers_are_not_named(history: RouterHistory, bounds: PromiseBounds) -> list[str]:
    """No directory names a router that has ended, or is leaving, for longer than the bound.

    Nor one that never was.  Only those who have been well for a while are held to it.
    """
    found = []
    lives: dict[str, list[RouterLife]] = {}
    for life in history.lives:
        lives.setdefault(life.router, []).append(life)
    for answer in history.directory:
        well_from = answer.asked_at - bounds.quiet_s
        if history.was_in_trouble((answer.router,), well_from, answer.asked_at):
            continue
        for address in answer.addresses:
            last = max(
                (life for life in lives.get(address, ()) if life.started_at <= answer.asked_at),
                key=lambda life: life.started_at,
                default=None,
            )
            if last is None:
                found.append(f"{answer.router} named {address}, which never was")
                continue
            gone_s = answer.asked_at - min(last.leaving_at, last.ended_at)
            if gone_s > bounds.named_s:
                found.append(f"{answer.router} named {address} {gone_s:.2f} s after it left")
    return found


def ready_routers_take_connections(history: RouterHistory, bounds: PromiseBounds) -> list[str]:
    """A router that says that it is ready takes a new connection within the bound."""
    found = []
    since: dict[str, float] = {}
    counts: collections.Counter[str] = collections.Counter()
    for item in sorted(history.tries, key=lambda item: item.at):
        if item.was_taken or not item.is_ready:
            since.pop(item.router, None)
            counts[item.router] = 0
            continue
        began_at = since.setdefault(item.router, item.at)
        counts[item.router] += 1
        if item.at - began_at <= bounds.contact_s or counts[item.router] < LEAST_TRIES:
            continue
        if not history.was_in_trouble((item.router,), began_at, item.at):
            found.append(f"{item.router} took no connection for {item.at - began_at:.2f} s")
            since.pop(item.router)
            counts[item.router] = 0
    return found


def routers_recover(history: RouterHistory, bounds: PromiseBounds) -> list[str]:
    """Once all trouble is over and some time has gone by, each router that runs is ready."""
    if not history.tries:
        return []
    end = max(item.at for item in history.tries)
    running = {life.router for life in history.lives if life.ended_at == math.inf}
    last = {item.router: item for item in history.tries if item.at > end - bounds.contact_s}
    return [
        f"{router} is not ready at the end"
        for router in sorted(running)
        if router in last and not (last[router].is_ready and last[router].was_taken)
    ]


def callers_are_served_again(history: RouterHistory, bounds: PromiseBounds) -> list[str]:
    """Once all trouble is over and some time has gone by, most requests are served."""
    if not history.tries:
        return []
    begin = max(item.at for item in history.tries) - bounds.contact_s
    last = [
        call
        for call in history.calls
        if call.sent_at > begin and call.left_at is None and call.kind != GREEDY_KIND
    ]
    served = sum(call.status == 200 for call in last)
    if len(last) < LEAST_CALLS or served >= SERVED_SHARE * len(last):
        return []
    return [f"{served} of the last {len(last)} requests were served"]


def left_requests_do_not_run(history: RouterHistory, bounds: PromiseBounds) -> list[str]:
    """What its caller has left neither begins to run later than the bound nor goes on for it.

    Streams only go on: nobody hears of a close before it writes.  A router that sent it to the
    runner for another one and was suspended is not held to it either.
    """
    found = []
    calls = {call.request_id: call for call in history.calls if call.left_at is not None}
    for run in history.runs:
        call = calls.get(run.request_id)
        if call is None or call.left_at is None:
            continue
        limit = call.left_at + bounds.closed_s
        if run.at > limit:
            late_s, what = run.at - call.left_at, "began"
        elif run.ended_at is not None and run.ended_at > limit:
            late_s, what = run.ended_at - call.left_at, "went on"
        else:
            continue
        places = (call.router, run.instance)
        since = call.left_at - bounds.closed_s
        if not (
            history.was_in_trouble(places, since, limit)
            or _was_suspended(history, run.sent_by, since, limit)
        ):
            found.append(f"{run.request_id} {what} {late_s:.2f} s after its caller left")
    return found


def _was_suspended(history: RouterHistory, router: str, begin: float, end: float) -> bool:
    return any(
        span.place == router and span.begin < end and span.end > begin
        for span in history.suspensions
    )


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


def tenants_keep_within_rates(history: RouterHistory, bounds: PromiseBounds) -> list[str]:
    """No more of a tenant reaches runners in any window than its limit allows, in touch or not."""
    found = []
    for rate in bounds.rates:
        times = sorted(run.at for run in history.runs if run.tenant == rate.tenant)
        for first, begin in enumerate(times):
            count = bisect.bisect_right(times, begin + rate.window_s) - first
            if count * rate.request_units > rate.most_units:
                units = count * rate.request_units
                found.append(f"{rate.tenant}: {units} units within {rate.window_s} s of {begin}")
                break
    return found


def greedy_tenants_are_served(history: RouterHistory, bounds: PromiseBounds) -> list[str]:
    """Who asks for more than its rate still gets what the rate allows, once trouble is over."""
    found = []
    for rate in bounds.rates:
        times = [run.at for run in history.runs if run.tenant == rate.tenant]
        if not times:
            found.append(f"{rate.tenant}: never served")
    return found


def check_all(history: RouterHistory, bounds: PromiseBounds) -> list[str]:
    """Return every violation, each with the promise that it breaks."""
    results = {
        "at most once": runs_at_most_once(history),
        "refused": refused_never_ran(history),
        "own answer": answers_are_ones_own(history),
        "unasked": nothing_unasked_ran(history),
        "revoked": revoked_keys_stop(history, bounds),
        "leaving": leaving_runners_rest(history, bounds),
        "directory": departed_routers_are_not_named(history, bounds),
        "connections": ready_routers_take_connections(history, bounds),
        "recover": routers_recover(history, bounds),
        "served again": callers_are_served_again(history, bounds),
        "left": left_requests_do_not_run(history, bounds),
        "one holder": orders_have_one_holder(history),
        "deadly": deadly_requests_rest(history, bounds),
        "deadly parts": deadly_parts_rest(history, bounds),
        "lost": sound_requests_are_served_beside_deadly_parts(history, bounds),
        "rates": tenants_keep_within_rates(history, bounds),
        "limits": runner_limits_are_respected(history, bounds),
        "drains": announced_drains_are_respected(history, bounds),
        "backoffs": requested_backoffs_are_respected(history),
        "partitions": partitioned_routers_serve(history, bounds),
        "software": streams_keep_their_software(history.streams),
        "resumed events": events_are_consecutive(history.streams),
        "resumed": resumed_streams_continue(history, bounds),
        "rates used": greedy_tenants_are_served(history, bounds),
    }
    return [f"{promise}: {text}" for promise, texts in results.items() for text in texts]
