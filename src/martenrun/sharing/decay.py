"""Exponentially decayed rates: the one window in which usage and demand are counted."""

import math
from dataclasses import dataclass

USAGE_WINDOW_S = 10.0
"""Time constant of usage and demand, in seconds."""


def kept(elapsed_s: float, window_s: float = USAGE_WINDOW_S) -> float:
    """Return the part of a rate that is left after a time."""
    return math.exp(-max(0.0, elapsed_s) / window_s)


@dataclass(slots=True)
class UseRate:
    """Tokens per second served to and asked for by a tenant, decayed to ``updated``."""

    usage: float = 0.0
    demand: float = 0.0
    updated: float = 0.0

    def advance(self, now: float) -> None:
        """Decay to ``now``; an earlier time changes nothing."""
        if now <= self.updated:
            return
        factor = kept(now - self.updated)
        self.usage *= factor
        self.demand *= factor
        self.updated = now

    def add(self, usage: float, demand: float) -> None:
        """Add rates that hold at ``updated``.

        The usage may fall below zero: a node takes back what another one has counted.
        """
        self.usage += usage
        self.demand += demand
