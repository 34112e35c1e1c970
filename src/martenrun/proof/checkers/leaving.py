"""A back end that is leaving gets no new work after a few seconds."""

from math import inf

from martenrun.proof.checkers.disturbance import Disturbances
from martenrun.proof.checkers.violation import Violation
from martenrun.proof.history import (
    ISOLATED,
    MACHINE_LIST,
    Executed,
    Granted,
    History,
    LeavingAnnounced,
    LeavingWithdrawn,
    ProcessStarted,
    RequestInvoked,
)

PROMISE = "leaving"

LEAVING_BOUND_S = 3.0
"""Longest time from the platform's mark to the last new work, in seconds."""

_CUT_OFF = frozenset({ISOLATED})


def check_leaving(history: History, bound_s: float = LEAVING_BOUND_S) -> list[Violation]:
    """Find executions of work that an engine got more than ``bound_s`` after its mark.

    Work that a paused engine got before and runs later is not new.  The bound begins again
    when the machine list can be read and lags no more than usual, and for requests whose edge
    was cut off from the platform when it no longer is: nobody there can know of the mark.  An
    agent has no machine list, so the same holds for the node that granted its request.
    """
    disturbances = Disturbances(history)
    nodes = {start.process for start in history.of(ProcessStarted) if start.is_node}
    homes: dict[str, str] = {}
    edges = {request.request_id: request.edge for request in history.of(RequestInvoked)}
    since: dict[str, float] = {}
    found: list[Violation] = []
    for record in history.records:
        match record:
            case Granted(request_id=request_id, node=node):
                homes[request_id] = node
            case LeavingAnnounced(process=process):
                since.setdefault(process, record.time_s)
            case LeavingWithdrawn(process=process):
                since.pop(process, None)
            case Executed(engine=engine) if record.received_s > since.get(engine, inf) + bound_s:
                edge = edges.get(record.request_id, "")
                listed_s = disturbances.calm_since(MACHINE_LIST, since[engine], bound_s)
                told = {edge} if edge in nodes else {edge, homes.get(record.request_id, "")}
                told_s = max(
                    disturbances.calm_since(process, since[engine], bound_s, _CUT_OFF)
                    for process in told
                )
                if record.received_s <= max(listed_s, told_s):
                    continue
                late_s = record.received_s - since[engine]
                detail = f"new work at {engine} {late_s:.2f} s after it began to leave"
                found.append(Violation(PROMISE, record.request_id, record.time_s, detail))
    return found
