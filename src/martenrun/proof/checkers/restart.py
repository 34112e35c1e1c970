"""A router that restarts serves requests at once."""

from math import inf

from martenrun.errors import NoRunnerError
from martenrun.proof.checkers.disturbance import Disturbances
from martenrun.proof.checkers.engines import EngineAvailability
from martenrun.proof.checkers.sources import ConfigurationSources
from martenrun.proof.checkers.violation import Violation
from martenrun.proof.history import (
    MACHINE_LIST,
    History,
    ProcessStarted,
    RequestAnswered,
    RequestInvoked,
)

PROMISE = "restart"

RESTART_BOUND_S = 1.0
"""Longest time from a process's start until it serves, in seconds."""

ANSWER_BOUND_S = 5.0
"""Longest time to an answer that counts as served, in seconds."""

UNSERVED_CODES = frozenset(
    {"invalid_api_key", "model_not_found", "no_runner", "node_unavailable", "not_ready"}
)
"""Refusals that show that the router does not know its configuration, nodes or runners."""


def check_restart(history: History) -> list[Violation]:
    """Find requests that a restarted router's edge got after the bound and did not serve.

    Refusals for want of capacity count as served.  Four cases are not counted, because nothing
    could serve: an agent without any node that has had the bound since its own start, a router
    which is cut off from the object API, or for which that is down, and to which nobody can
    tell the configuration, one for which no node holds a copy of the machine list while that
    is down, and ``no_runner`` while each engine was dead, silent, cut off or leaving.
    """
    return _RestartChecker(history).violations()


class _RestartChecker:
    def __init__(self, history: History) -> None:
        self._history = history
        self._disturbances = Disturbances(history)
        self._answers = {answer.request_id: answer for answer in history.of(RequestAnswered)}
        self._nodes = {start.process for start in history.of(ProcessStarted) if start.is_node}
        self._starts = history.of(ProcessStarted)
        self._engines = EngineAvailability(history, self._disturbances)
        self._sources = ConfigurationSources(history, self._disturbances)

    def violations(self) -> list[Violation]:
        """Return every request that was not served."""
        started: dict[str, float] = {}
        found: list[Violation] = []
        for record in self._history.records:
            if isinstance(record, ProcessStarted) and record.restarted:
                started[record.process] = record.time_s
            if not isinstance(record, RequestInvoked) or record.edge not in started:
                continue
            detail = self._fault(record, started[record.edge])
            if detail:
                found.append(Violation(PROMISE, record.request_id, record.time_s, detail))
        return found

    def _fault(self, request: RequestInvoked, started_s: float) -> str:
        due_s = self._disturbances.calm_since(request.edge, started_s, RESTART_BOUND_S)
        end_s = request.time_s + ANSWER_BOUND_S
        if request.time_s < due_s or self._disturbances.touch(request.edge, request.time_s, end_s):
            return ""
        if self._has_no_node(request, end_s) or self._has_no_source(request):
            return ""
        if self._has_no_machines(request):
            return ""
        answer = self._answers.get(request.request_id)
        if answer is None:
            return "no answer" if end_s <= self._history.end_s else ""
        moments_s = (request.time_s, answer.time_s)
        if answer.code == NoRunnerError.code and any(map(self._engines.none_can_run, moments_s)):
            return ""
        return f"refused with {answer.code}" if answer.code in UNSERVED_CODES else ""

    def _has_no_node(self, request: RequestInvoked, end_s: float) -> bool:
        if request.edge in self._nodes or not self._nodes:
            return False
        since_s = request.time_s - RESTART_BOUND_S
        return all(self._disturbances.touch(node, since_s, end_s) for node in self._nodes)

    def _has_no_source(self, request: RequestInvoked) -> bool:
        since_s = request.time_s - RESTART_BOUND_S
        return self._sources.none_for(request.edge, since_s, request.time_s)

    def _has_no_machines(self, request: RequestInvoked) -> bool:
        """Whether the machine list is down and every node has started anew, or is dead, since."""
        since_s = request.time_s - RESTART_BOUND_S
        down_s = min(
            (
                fault.time_s
                for fault in self._disturbances.of(MACHINE_LIST)
                if fault.kind == "down"
                and fault.time_s <= request.time_s
                and fault.until_s >= since_s
            ),
            default=inf,
        )
        if down_s == inf:
            return False
        return not any(self._runs_since(node, down_s, request.time_s) for node in self._nodes)

    def _runs_since(self, node: str, known_s: float, now_s: float) -> bool:
        """Whether a node's run had the bound before a time and was not killed since."""
        starts = [start.time_s for start in self._starts if start.process == node]
        kills = [fault.time_s for fault in self._disturbances.of(node) if fault.kind == "kill"]
        run_s = max((start_s for start_s in starts if start_s <= now_s), default=inf)
        is_killed = any(run_s < kill_s <= now_s for kill_s in kills)
        return run_s + RESTART_BOUND_S <= known_s and not is_killed
