"""A planned stop cuts off no request."""

from martenrun.errors import DuplicateRequestError
from martenrun.proof.checkers.disturbance import Disturbances
from martenrun.proof.checkers.violation import Violation
from martenrun.proof.history import (
    Executed,
    History,
    PlannedStop,
    RequestAnswered,
    RequestInvoked,
)

PROMISE = "planned_stop"


def check_planned_stop(history: History) -> list[Violation]:
    """Find requests at a process in planned stop that were run and did not end whole.

    Requests that a kill, freeze or cut hit as well are not counted: the cause is open.  Nor is
    a copy that no engine ran and that was refused because of another copy: the stop did not
    cut it, and ``ran`` tells of the other copy.
    """
    checker = _PlannedStopChecker(history)
    return [violation for stop in history.of(PlannedStop) for violation in checker.cut_by(stop)]


class _PlannedStopChecker:
    def __init__(self, history: History) -> None:
        self._end_s = history.end_s
        self._invoked = history.of(RequestInvoked)
        self._answers = {answer.request_id: answer for answer in history.of(RequestAnswered)}
        self._disturbances = Disturbances(history)
        self._engines: dict[str, list[str]] = {}
        for run in history.of(Executed):
            self._engines.setdefault(run.request_id, []).append(run.engine)

    def cut_by(self, stop: PlannedStop) -> list[Violation]:
        """Return the requests that a planned stop cut off."""
        return [
            Violation(
                PROMISE, request.request_id, stop.time_s, f"cut by the stop of {stop.process}"
            )
            for request in self._invoked
            if self._is_cut(request, stop)
        ]

    def _is_cut(self, request: RequestInvoked, stop: PlannedStop) -> bool:
        places = [request.edge, *self._engines.get(request.request_id, [])]
        answer = self._answers.get(request.request_id)
        end_s = self._end_s if answer is None else answer.time_s
        overlaps = request.time_s <= stop.until_s and end_s >= stop.time_s
        if stop.process not in places or not overlaps or stop.until_s > self._end_s:
            return False
        if any(self._disturbances.touch(place, request.time_s, end_s) for place in places):
            return False
        if answer is None:
            return True
        is_copy = answer.code == DuplicateRequestError.code
        if is_copy and request.request_id not in self._engines:
            return False
        return bool(answer.code) and answer.ran != "no"
