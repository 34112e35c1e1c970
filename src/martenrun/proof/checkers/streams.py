"""Every stream that a caller receives is complete and in order."""

from martenrun.proof.checkers.violation import Violation
from martenrun.proof.history import History, RequestAnswered, RequestInvoked

PROMISE = "streams"


def check_streams(history: History) -> list[Violation]:
    """Find gaps, repetitions, short answers and streams that end without a word.

    A stream that ended with a typed error tells the caller that it is not whole; its tokens
    must still be in order.
    """
    asked = {record.request_id: record.output_tokens for record in history.of(RequestInvoked)}
    found: list[Violation] = []
    for answer in history.of(RequestAnswered):
        detail = _fault(answer, asked.get(answer.request_id, 0))
        if detail:
            found.append(Violation(PROMISE, answer.request_id, answer.time_s, detail))
    return found


def _fault(answer: RequestAnswered, output_tokens: int) -> str:
    indices = [token.index for token in answer.tokens]
    if indices != list(range(len(indices))):
        return f"tokens out of order or missing: {indices}"
    if answer.code:
        return "a stream with its terminator also has an error" if answer.terminated else ""
    if not answer.terminated:
        return "the stream ended without its terminator and without an error"
    if len(indices) != output_tokens:
        return f"{len(indices)} tokens of {output_tokens}"
    return ""
