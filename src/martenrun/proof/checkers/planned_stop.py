"""A planned stop cuts off no request, and the others know of it before it ends."""

from math import inf

from martenrun.errors import DuplicateRequestError
from martenrun.proof.checkers.disturbance import Disturbances
from martenrun.proof.checkers.violation import Violation
from martenrun.proof.history import (
    NETWORK,
    STOPPED,
    Asked,
    Executed,
    Granted,
    History,
    PlannedStop,
    ProcessStarted,
    RequestAnswered,
    RequestInvoked,
)

PROMISE = "planned_stop"

JOIN_BOUND_S = 1.0
"""Longest time until a node that has thawed knows the others, in seconds."""

_ABSENCE = frozenset({STOPPED})
_ENDS = frozenset({"kill", STOPPED})


def check_planned_stop(history: History) -> list[Violation]:
    """Find requests at a process in planned stop that were run and did not end whole.

    Requests that a kill, freeze or cut hit as well are not counted: the cause is open.  Nor is
    a copy that no engine ran and that was refused because of another copy: the stop did not
    cut it, and ``ran`` tells of the other copy.

    Also found: questions to a node that has ended by a planned stop, from an edge and over a
    network that no fault hit since the stop began, unless the node had only just thawed, or no
    other node stayed that could tell the edge.  A node that has only just started has to join
    the others before it leaves them.
    """
    checker = _PlannedStopChecker(history)
    found = [violation for stop in history.of(PlannedStop) for violation in checker.cut_by(stop)]
    late = [violation for stop in history.of(PlannedStop) for violation in checker.late(stop)]
    return [*found, *late]


class _PlannedStopChecker:
    def __init__(self, history: History) -> None:
        self._end_s = history.end_s
        self._invoked = history.of(RequestInvoked)
        self._answers = {answer.request_id: answer for answer in history.of(RequestAnswered)}
        self._disturbances = Disturbances(history)
        self._asked = history.of(Asked)
        self._stops = history.of(PlannedStop)
        self._starts = history.of(ProcessStarted)
        self._engines: dict[str, list[str]] = {}
        for run in history.of(Executed):
            self._engines.setdefault(run.request_id, []).append(run.engine)
        self._granted: dict[str, list[str]] = {}
        for grant in history.of(Granted):
            self._granted.setdefault(grant.request_id, []).append(grant.runner)

    def cut_by(self, stop: PlannedStop) -> list[Violation]:
        """Return the requests that a planned stop cut off."""
        return [
            Violation(
                PROMISE, request.request_id, stop.time_s, f"cut by the stop of {stop.process}"
            )
            for request in self._invoked
            if self._is_cut(request, stop)
        ]

    def late(self, stop: PlannedStop) -> list[Violation]:
        """Return the requests for which a node was asked after its planned stop."""
        starts = [start.time_s for start in self._starts if start.process == stop.process]
        return_s = min((start_s for start_s in starts if start_s > stop.until_s), default=inf)
        return [
            Violation(
                PROMISE,
                asked.request_id,
                asked.time_s,
                f"{stop.process} was asked {asked.time_s - stop.until_s:.2f} s after its stop",
            )
            for asked in self._asked
            if asked.node == stop.process
            and stop.until_s < asked.time_s < return_s
            and not self._may_not_know(asked, stop)
        ]

    def _may_not_know(self, asked: Asked, stop: PlannedStop) -> bool:
        """Whether a fault may have kept the edge from learning of a stop."""
        joined_s = stop.time_s - JOIN_BOUND_S
        if self._disturbances.touch(stop.process, joined_s, stop.until_s, _ENDS):
            return True
        parties = (asked.edge, NETWORK)
        if any(self._disturbances.touch(party, stop.time_s, asked.time_s) for party in parties):
            return True
        others = {start.process for start in self._starts if start.is_node} - {stop.process}
        return not any(self._stays(node, joined_s, asked.time_s) for node in others)

    def _stays(self, node: str, since_s: float, until_s: float) -> bool:
        """Whether a node serves all the time."""
        stops = [stop for stop in self._stops if stop.process == node]
        is_stopping = any(stop.time_s <= until_s and stop.until_s >= since_s for stop in stops)
        return not is_stopping and not self._disturbances.touch(node, since_s, until_s)

    def _is_cut(self, request: RequestInvoked, stop: PlannedStop) -> bool:
        places = [request.edge, *self._engines.get(request.request_id, [])]
        answer = self._answers.get(request.request_id)
        end_s = self._end_s if answer is None else answer.time_s
        overlaps = request.time_s <= stop.until_s and end_s >= stop.time_s
        if stop.process not in places or not overlaps or stop.until_s > self._end_s:
            return False
        # An engine that a fault hit may have been sent the request without running it.
        places += self._granted.get(request.request_id, [])
        if any(
            self._disturbances.touch(place, request.time_s, end_s, _ABSENCE) for place in places
        ):
            return False
        if answer is None:
            return True
        is_copy = answer.code == DuplicateRequestError.code
        if is_copy and request.request_id not in self._engines:
            return False
        return bool(answer.code) and answer.ran != "no"
