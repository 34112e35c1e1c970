"""A token bucket over a passed monotonic time."""


class TokenBucket:
    """Allows ``rate`` units a second on average and ``burst`` units at once.

    A request larger than the burst passes when the bucket is full and leaves a debt, so that
    no request is too large for ever.
    """

    def __init__(self, rate: float, burst: float, now: float) -> None:
        self.rate = rate
        self.burst = burst
        self._level = burst
        self._updated = now

    def change_rate(self, rate: float, burst: float, now: float) -> None:
        """Change the rate and burst from now on."""
        self._refill(now)
        self.rate = rate
        self.burst = burst
        self._level = min(self._level, burst)

    def level(self, now: float) -> float:
        """Return the units that are left; below zero there is a debt."""
        self._refill(now)
        return self._level

    def wait_s(self, units: float, now: float) -> float:
        """Return the seconds until ``units`` may be taken; 0 means now."""
        self._refill(now)
        missing = min(units, self.burst) - self._level
        return max(0.0, missing / self.rate)

    def take(self, units: float, now: float) -> None:
        """Take units, also below zero; negative units give back."""
        self._refill(now)
        self._level = min(self.burst, self._level - units)

    def _refill(self, now: float) -> None:
        elapsed_s = max(0.0, now - self._updated)
        self._level = min(self.burst, self._level + elapsed_s * self.rate)
        self._updated = now
