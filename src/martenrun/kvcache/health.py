"""Whether a store is worth asking: failures in a row close it for a while."""

FAILURES_TO_CLOSE = 3
"""Failures in a row after which the store is left alone."""

FIRST_PAUSE_S = 1.0
LONGEST_PAUSE_S = 30.0
"""Bounds of the time for which a failing store is left alone, in seconds; it doubles."""


class StoreHealth:
    """Counts failures of one store; a late answer is a failure, too."""

    def __init__(self) -> None:
        self._failures = 0
        self._pause_s = FIRST_PAUSE_S
        self._closed_until = 0.0

    def is_open(self, now: float) -> bool:
        """Return whether the store may be asked.

        After a pause one failure is enough to close it again.
        """
        return now >= self._closed_until

    def succeeded(self) -> None:
        """The store has answered in time."""
        self._failures = 0
        self._pause_s = FIRST_PAUSE_S

    def failed(self, now: float) -> None:
        """The store has not answered, or too late."""
        self._failures += 1
        if self._failures >= FAILURES_TO_CLOSE and now >= self._closed_until:
            self._closed_until = now + self._pause_s
            self._pause_s = min(LONGEST_PAUSE_S, self._pause_s * 2)
