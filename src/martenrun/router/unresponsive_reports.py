"""Shared detection of unresponsive runners from the reports of several routers.  No I/O or clock.

In a large deployment each router sends a given runner about one request a minute.  If every router
had to detect an unresponsive runner on its own, nearly every request for it would be late.
Therefore a router that gets no data from a runner, while it gets data from others, reports that to
all routers.  A runner reported by two routers is suspected and skipped by all for some time; then a
few routers at a time try it again.
"""

import random

MINIMUM_REPORTERS = 2
"""Number of routers that must report a runner, as a single one may have lost its connection."""

REPORT_VALIDITY_S = 3.0
"""Time for which a router's report is valid, in seconds."""

MINIMUM_SKIP_S = 2.0
MAXIMUM_SKIP_S = 8.0
"""Shortest and longest time for which a suspected runner is skipped, in seconds.

The time doubles with each suspicion in a row.  With 3.5 prompts per second for a runner that is
unresponsive for 14 s, less than 0.45 of them are sent to it instead of nearly all (195 routers,
random times, mean of 20 runs).
"""

JITTER_SHARE = 0.5
"""Maximum random extension of that time as a share of it.

It spreads the retries of the routers, so that the first ones test the runner for all.
"""


class UnresponsiveReports:
    """Reports of routers that find one runner unresponsive."""

    def __init__(self, rng: random.Random | None = None) -> None:
        self._rng = rng or random.Random()
        self._reported_at: dict[str, float] = {}
        self._skip_s = 0.0
        self._suspected_until = 0.0

    def record(self, router: str, now: float) -> None:
        """Record the report of a router that gets no data from the runner."""
        recent = {key: at for key, at in self._reported_at.items() if now - at <= REPORT_VALIDITY_S}
        self._reported_at = {**recent, router: now}
        if len(self._reported_at) < MINIMUM_REPORTERS or now < self._suspected_until:
            return
        doubled_s = max(MINIMUM_SKIP_S, 2 * self._skip_s)
        self._skip_s = min(MAXIMUM_SKIP_S, doubled_s)
        self._suspected_until = now + self._skip_s * self._rng.uniform(1.0, 1.0 + JITTER_SHARE)
        self._reported_at.clear()

    def clear(self) -> None:
        """Clear all reports because the runner has sent data to this router."""
        self._reported_at.clear()
        self._skip_s = 0.0
        self._suspected_until = 0.0

    def is_suspected(self, now: float) -> bool:
        """Return whether the runner is suspected and therefore skipped."""
        return now < self._suspected_until
