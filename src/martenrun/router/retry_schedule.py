"""Schedules retries of callers refused because of runners' rate limits.  No I/O or clock."""

import random

MAXIMUM_DELAY_S = 4.0
"""Longest scheduled delay before jitter, in seconds; later capacity cannot be predicted."""

JITTER_SHARE = 0.5
"""Maximum jitter added to a delay, as a share of ``MAXIMUM_DELAY_S``."""


class RetrySchedule:
    """Assigns successive retry times to refused callers."""

    def __init__(self, rng: random.Random | None = None) -> None:
        self._rng = rng or random.Random()
        self._next_slot_at = 0.0

    def next_delay_s(self, earliest_s: float, per_s: float, now: float) -> float:
        """Return the delay after which a caller should retry, in seconds.

        Args:
            earliest_s: time until a runner can next accept a request, in seconds.
            per_s: rate available to this router's callers, in requests per second.
        """
        turn_at = max(now + earliest_s, self._next_slot_at)
        self._next_slot_at = min(turn_at + 1 / per_s, now + MAXIMUM_DELAY_S)
        return turn_at - now + self._rng.uniform(0.0, JITTER_SHARE * MAXIMUM_DELAY_S)
