"""Time model of the stand-in engine: how long prefill and each token take."""

import dataclasses


@dataclasses.dataclass(frozen=True)
class TimeModel:
    """Durations of an engine's work.

    Attributes:
        prefill_s_per_block: time to compute one uncached block of the prompt, in seconds.
        decode_s_per_token: time between two tokens of a stream alone in the batch.
        slowdown_per_stream: added share of both for each other stream in the batch.
    """

    prefill_s_per_block: float = 0.02
    decode_s_per_token: float = 0.005
    slowdown_per_stream: float = 0.05

    def prefill_s(self, uncached_blocks: float, running: int) -> float:
        """Time to the first token, in seconds."""
        return self.prefill_s_per_block * uncached_blocks * self._slowdown(running)

    def decode_s(self, running: int) -> float:
        """Time between two tokens, in seconds."""
        return self.decode_s_per_token * self._slowdown(running)

    def _slowdown(self, running: int) -> float:
        return 1.0 + self.slowdown_per_stream * max(0, running - 1)
