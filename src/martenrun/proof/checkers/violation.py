"""What a checker finds, and the interface of checkers."""

from collections.abc import Callable

import msgspec

from martenrun.proof.history import History


class Violation(msgspec.Struct, frozen=True):
    """A promise that a history breaks; ``subject`` names the request, process or revision."""

    promise: str
    subject: str
    time_s: float
    detail: str


Checker = Callable[[History], list[Violation]]
"""A pure function from a history to the violations of one promise."""
