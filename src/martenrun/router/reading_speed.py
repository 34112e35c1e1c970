"""How fast the runners of a service read prompts, learned from when their first tokens came."""

import attrs

LEAST_TOKENS = 1_000
"""Shorter readings tell of other delays than of reading."""

KEPT_SHARE = 0.97
"""What an older sample keeps of its weight with each new one."""

LEAST_SAMPLES = 10
"""Samples before which nothing is concluded."""


@attrs.define
class ReadingSpeed:
    """A fading mean over readings.

    Attributes:
        tokens, seconds: faded sums over the samples.
        samples: how many there were.
    """

    tokens: float = 0.0
    seconds: float = 0.0
    samples: int = 0

    def note(self, tokens: float, seconds: float) -> None:
        """Take in how long it took from sending a request until its first token came.

        Args:
            tokens: what the runner had to read until then, in tokens.
            seconds: the time it took.
        """
        if tokens < LEAST_TOKENS or seconds <= 0:
            return
        self.tokens = self.tokens * KEPT_SHARE + tokens
        self.seconds = self.seconds * KEPT_SHARE + seconds
        self.samples += 1

    def seconds_for(self, tokens: float) -> float | None:
        """Return how long a runner takes to read so many tokens, or None if unknown."""
        if self.samples < LEAST_SAMPLES:
            return None
        return tokens * self.seconds / self.tokens
