"""A router that restarts serves requests at once."""

from martenrun.proof.checkers.disturbance import Disturbances
from martenrun.proof.checkers.violation import Violation
from martenrun.proof.history import History, ProcessStarted, RequestAnswered, RequestInvoked

PROMISE = "restart"

RESTART_BOUND_S = 1.0
"""Longest time from a process's start until it serves, in seconds."""

ANSWER_BOUND_S = 5.0
"""Longest time to an answer that counts as served, in seconds."""

UNSERVED_CODES = frozenset({"invalid_api_key", "model_not_found", "node_unavailable", "no_runner"})
"""Refusals that show that the router does not know its configuration, nodes or runners."""


def check_restart(history: History) -> list[Violation]:
    """Find requests that a restarted router's edge got after the bound and did not serve.

    Refusals for want of capacity count as served.
    """
    disturbances = Disturbances(history)
    answers = {answer.request_id: answer for answer in history.of(RequestAnswered)}
    started: dict[str, float] = {}
    found: list[Violation] = []
    for record in history.records:
        if isinstance(record, ProcessStarted) and record.restarted:
            started[record.process] = record.time_s
        if not isinstance(record, RequestInvoked) or record.edge not in started:
            continue
        due_s = disturbances.calm_since(record.edge, started[record.edge], RESTART_BOUND_S)
        end_s = record.time_s + ANSWER_BOUND_S
        if record.time_s < due_s or disturbances.touch(record.edge, record.time_s, end_s):
            continue
        detail = _fault(answers.get(record.request_id), end_s, history.end_s)
        if detail:
            found.append(Violation(PROMISE, record.request_id, record.time_s, detail))
    return found


def _fault(answer: RequestAnswered | None, due_s: float, end_s: float) -> str:
    if answer is None:
        return "no answer" if due_s <= end_s else ""
    return f"refused with {answer.code}" if answer.code in UNSERVED_CODES else ""
