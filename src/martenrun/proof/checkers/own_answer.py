"""Each caller gets the answer to its own request, once."""

import collections

from martenrun.constants import ENGINE_READ_TIMEOUT_S
from martenrun.proof.checkers.disturbance import Disturbances
from martenrun.proof.checkers.violation import Violation
from martenrun.proof.history import History, RequestAnswered, RequestInvoked

PROMISE = "own_answer"

ANSWER_MARGIN_S = ENGINE_READ_TIMEOUT_S + 5.0
"""Time after the deadline by which every request has its final answer, in seconds."""


def check_own_answer(history: History) -> list[Violation]:
    """Find foreign tokens, second answers, answers nobody asked for and missing answers."""
    invoked = {record.request_id: record for record in history.of(RequestInvoked)}
    answers = collections.Counter[str]()
    found: list[Violation] = []
    for answer in history.of(RequestAnswered):
        answers[answer.request_id] += 1
        detail = _fault(answer, invoked.get(answer.request_id), answers[answer.request_id])
        if detail:
            found.append(Violation(PROMISE, answer.request_id, answer.time_s, detail))
    return [*found, *_missing(history, set(answers))]


def _missing(history: History, answered: set[str]) -> list[Violation]:
    """Find requests without an answer whose edge no fault hit."""
    disturbances = Disturbances(history)
    found: list[Violation] = []
    for request in history.of(RequestInvoked):
        due_s = request.time_s + request.deadline_s + ANSWER_MARGIN_S
        if request.request_id in answered or due_s > history.end_s:
            continue
        if not disturbances.touch(request.edge, request.time_s, due_s):
            found.append(Violation(PROMISE, request.request_id, due_s, "no answer"))
    return found


def _fault(answer: RequestAnswered, invoked: RequestInvoked | None, count: int) -> str:
    if invoked is None:
        return "an answer to a request that was not sent"
    if count > 1:
        return "a second answer"
    foreign = {token.source for token in answer.tokens} - {invoked.source}
    return f"tokens of other prompts: {sorted(foreign)}" if foreign else ""
