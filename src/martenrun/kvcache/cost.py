"""Learned cost of moving blocks: a set-up time and a time for each block."""

_DECAY = 0.95
_PRIOR_SET_UP_S = 0.01
_PRIOR_BLOCK_S = 0.005
_PRIOR_BLOCKS = (0.0, 32.0)
_MINIMUM_BLOCK_S = 1e-5
_MINIMUM_SPREAD = 1e-6


class TransferCost:
    """Time of a transfer, fitted to reports by least squares whose old samples lose weight.

    A store under load answers later, so its load is learned with its rate.

    Attributes:
        set_up_s: time of a transfer of no blocks, in seconds.
        block_s: added time of each block, in seconds.
    """

    def __init__(self) -> None:
        self.set_up_s = _PRIOR_SET_UP_S
        self.block_s = _PRIOR_BLOCK_S
        self._weight = self._blocks = self._squared = self._time = self._time_blocks = 0.0
        for blocks in _PRIOR_BLOCKS:
            self._add(blocks, _PRIOR_SET_UP_S + _PRIOR_BLOCK_S * blocks)

    def expected_s(self, blocks: float) -> float:
        """Return the expected time of moving so many blocks, in seconds."""
        return self.set_up_s + self.block_s * blocks

    def observe(self, blocks: int, duration_s: float) -> None:
        """Take in one transfer that has ended."""
        self._add(float(blocks), duration_s)
        mean_blocks = self._blocks / self._weight
        mean_s = self._time / self._weight
        spread = self._squared / self._weight - mean_blocks**2
        if spread > _MINIMUM_SPREAD:
            covariance = self._time_blocks / self._weight - mean_blocks * mean_s
            self.block_s = max(_MINIMUM_BLOCK_S, covariance / spread)
        self.set_up_s = max(0.0, mean_s - self.block_s * mean_blocks)

    def _add(self, blocks: float, duration_s: float) -> None:
        self._weight = self._weight * _DECAY + 1.0
        self._blocks = self._blocks * _DECAY + blocks
        self._squared = self._squared * _DECAY + blocks**2
        self._time = self._time * _DECAY + duration_s
        self._time_blocks = self._time_blocks * _DECAY + duration_s * blocks
