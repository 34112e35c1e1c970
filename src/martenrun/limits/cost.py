"""Expected cost of a request in tokens, before an engine has counted them."""

from martenrun.wire.messages import DecideRequest

BYTES_PER_TOKEN = 4.0
"""Prompt bytes assumed per token; corrected by the engine's count when a request ends."""


def expected_tokens(question: DecideRequest) -> float:
    """Return the tokens charged for a question before it has run."""
    return max(1.0, question.prompt_bytes / BYTES_PER_TOKEN + question.maximum_output_tokens)
