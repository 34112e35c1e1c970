"""Measured drain rate of a queue, for expected waits and Retry-After."""

import math

DRAIN_WINDOW_S = 10.0
"""Time constant with which old pops are forgotten, in seconds of waiting work."""


class DrainMeter:
    """Tokens per second that leave a queue while work waits in it.

    Both the tokens and the busy time decay with :data:`DRAIN_WINDOW_S`, so a queue that stops
    draining is seen as slower with every second that passes.
    """

    def __init__(self) -> None:
        self._tokens = 0.0
        self._busy_s = 0.0
        self._updated: float | None = None

    def advance(self, now: float, is_busy: bool) -> None:
        """Account the time since the last call; idle time changes nothing."""
        if self._updated is not None and is_busy:
            elapsed_s = max(0.0, now - self._updated)
            kept = math.exp(-elapsed_s / DRAIN_WINDOW_S)
            self._tokens *= kept
            self._busy_s = self._busy_s * kept + elapsed_s
        self._updated = now

    def popped(self, cost_tokens: float) -> None:
        """Count work that left the queue."""
        self._tokens += cost_tokens

    def wait_s(self, tokens: float) -> float:
        """Return how long ``tokens`` of waiting work take to leave.

        Before the first pop the best estimate is the time already spent waiting.
        """
        if tokens <= 0:
            return 0.0
        if self._tokens <= 0:
            return self._busy_s
        return tokens * self._busy_s / self._tokens
