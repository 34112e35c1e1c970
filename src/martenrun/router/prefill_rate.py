"""Estimates the prefill rate of a service's runners from the times of their first tokens."""

import attrs

MINIMUM_TOKENS = 1_000
"""Minimum prefill of a sample, in tokens; shorter ones are dominated by other delays."""

DECAY_FACTOR = 0.97
"""Factor by which the weight of older samples decays with each new one."""

MINIMUM_SAMPLES = 10
"""Number of samples needed for an estimate."""


@attrs.define
class PrefillRate:
    """An exponentially weighted average of the prefill rate.

    Attributes:
        tokens, seconds: weighted sums over the samples.
        samples: number of samples.
    """

    tokens: float = 0.0
    seconds: float = 0.0
    samples: int = 0

    def add_sample(self, tokens: float, seconds: float) -> None:
        """Add a sample.

        Args:
            tokens: prefill of the runner before the first token, in tokens.
            seconds: time from sending the request to its first token, in seconds.
        """
        if tokens < MINIMUM_TOKENS or seconds <= 0:
            return
        self.tokens = self.tokens * DECAY_FACTOR + tokens
        self.seconds = self.seconds * DECAY_FACTOR + seconds
        self.samples += 1

    def seconds_for(self, tokens: float) -> float | None:
        """Return the prefill time of that many tokens, in seconds, or None if unknown."""
        if self.samples < MINIMUM_SAMPLES:
            return None
        return tokens * self.seconds / self.tokens
