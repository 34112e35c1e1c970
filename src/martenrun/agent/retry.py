"""How often and when an agent asks again: a budget against retry storms, and jitter.

Every arriving request earns a part of a retry; every retry spends a whole one.  When many
requests fail at once, retries therefore stay a set part of the load.  Going on with a broken
stream spends nothing: its caller has output already, and each request is bounded anyway.
"""

import random
from dataclasses import dataclass

EARNED_PER_REQUEST = 0.2
MAXIMUM_SAVED = 100.0
FIRST_PAUSE_S = 0.02
MAXIMUM_PAUSE_S = 1.0


@dataclass
class RetryBudget:
    """Retries that may still be spent."""

    saved: float = MAXIMUM_SAVED

    def earn(self) -> None:
        """Count an arriving request."""
        self.saved = min(MAXIMUM_SAVED, self.saved + EARNED_PER_REQUEST)

    def spend(self) -> bool:
        """Spend one retry; returns False if none is left."""
        if self.saved < 1.0:
            return False
        self.saved -= 1.0
        return True


def pause_s(attempts: int, rng: random.Random) -> float:
    """Return a pause in seconds, drawn evenly up to a bound that doubles with each attempt."""
    bound = min(MAXIMUM_PAUSE_S, FIRST_PAUSE_S * 2 ** (attempts - 1))
    return rng.uniform(0.0, bound)
