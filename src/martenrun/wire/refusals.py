"""Typed errors as messages to agents."""

from martenrun.errors import MartenrunError
from martenrun.wire.messages import DecideRequest, Refusal


def refusal_of(question: DecideRequest, error: MartenrunError) -> Refusal:
    """Return the message that tells an agent a typed error."""
    retry_after_s = -1.0 if error.retry_after_s is None else error.retry_after_s
    return Refusal(
        question.request_id,
        question.attempt,
        error.code,
        error.message,
        error.remedy,
        error.ran.value,
        retry_after_s,
    )
