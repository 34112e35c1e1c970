"""Converting what callers and engines of real processes tell into records of a history.

See also: :mod:`martenrun.proof.history`, :mod:`martenrun.standins.engine.tokens`.
"""

import msgspec

from martenrun.identity.prompt import canonical_completion_text
from martenrun.load.client import StreamRecord
from martenrun.proof.history import Executed, RequestAnswered, Token
from martenrun.standins.engine.executions import ExecutionReport
from martenrun.standins.engine.tokens import TokenSequence

WEIGHTS_VERSION = "v1"
HOT_PREFIX = "the common start of every prompt of this tenant; " * 250
"""Shared start of all prompts, three blocks long."""

CONNECTION_REFUSED = "connection_refused"
"""Code of a request whose connection did not come about: nothing was sent."""

CONNECTION_LOST = "connection_lost"
"""Code of a request whose edge was killed, paused or stopped while the caller waited."""

UNKNOWN_SOURCE = "unknown"
"""Source of a token that answers none of the run's prompts at its place."""


class _Detail(msgspec.Struct):
    code: str
    ran: str


class _Holder(msgspec.Struct):
    error: _Detail


def prompt_of(source: str) -> str:
    """Return the prompt that a source names; only its last block differs from others."""
    return f"{HOT_PREFIX}{source}"


class AnswerReader:
    """Tells whose tokens a text holds; the stand-in's output follows from the prompt.

    Args:
        sources: names of all prompts of the run.
    """

    def __init__(self, sources: list[str]) -> None:
        self._sequences = {
            source: TokenSequence(canonical_completion_text(prompt_of(source)), WEIGHTS_VERSION)
            for source in sources
        }

    def tokens(self, source: str, text: str) -> list[Token]:
        """Return a text's tokens; one that fits the caller's own prompt is taken as its own."""
        return [self._token(source, word) for word in text.split()]

    def _token(self, source: str, word: str) -> Token:
        place = word.rpartition("-")[2]
        if not place.isdecimal():
            return Token(UNKNOWN_SOURCE, -1)
        index = int(place)
        others = (other for other in self._sequences if other != source)
        for candidate in (source, *others):
            if self._sequences[candidate].token(index).strip() == word:
                return Token(candidate, index)
        return Token(UNKNOWN_SOURCE, index)


def answer_record(
    record: StreamRecord, tokens: list[Token], end_s: float, is_edge_disturbed: bool
) -> RequestAnswered:
    """Return the record of an answer.

    A lost connection has a code only if a fault or a planned stop hit the edge; else, as after
    an error without a type, the code is empty and the checker of streams finds it.
    """
    code, ran = _error_of(record, is_edge_disturbed)
    return RequestAnswered(
        time_s=end_s,
        request_id=record.request_id,
        tokens=tokens,
        terminated=record.whole,
        code=code,
        ran=ran,
    )


def _error_of(record: StreamRecord, is_edge_disturbed: bool) -> tuple[str, str]:
    if record.whole:
        return "", ""
    if record.lost:
        if not is_edge_disturbed:
            return "", ""
        is_refused = record.lost == "refused"
        return (CONNECTION_REFUSED, "no") if is_refused else (CONNECTION_LOST, "unknown")
    if not record.error:
        return "", ""
    start = record.error.find("{")
    try:
        detail = msgspec.json.decode(record.error[start:].strip(), type=_Holder).error
    except msgspec.MsgspecError:
        return "", ""
    return detail.code, detail.ran


def execution_record(engine: str, report: ExecutionReport) -> Executed:
    """Return the record of an execution; which cached blocks it used is not known."""
    return Executed(
        time_s=report.began_s,
        engine=engine,
        received_s=report.received_s,
        incarnation=report.incarnation,
        expected_incarnation=report.expected_incarnation,
        weights_version=report.weights_version,
        request_id=report.caller_id,
        tenant=report.tenant,
        chain=[],
        reused=[],
    )
