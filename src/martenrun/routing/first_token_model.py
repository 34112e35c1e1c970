"""Learned rates: how long a prompt's uncached blocks take, and how long an attempt lasts.

The time to the first token is modelled as ``uncached blocks x (base + slope x running)``.
Both figures are fitted to reports by least squares whose old samples lose weight.
"""

import math

_DECAY = 0.98
_MINIMUM_UNCACHED_BLOCKS = 1.5
_PRIOR_BASE_S = 0.02
_PRIOR_SLOPE_S = 0.001
_PRIOR_LOADS = (0.0, 8.0)
_SERVICE_SHARE = 0.05
_PRIOR_SERVICE_S = 1.0
_MINIMUM_BASE_S = 1e-5


class FirstTokenModel:
    """Rates of one pool's runners, from what agents report.

    Attributes:
        base_s: time of one uncached block on an idle runner, in seconds.
        slope_s: added time of one uncached block for each running stream, in seconds.
        service_s: smoothed time from grant to end of an attempt, in seconds.
    """

    def __init__(self) -> None:
        self.base_s = _PRIOR_BASE_S
        self.slope_s = _PRIOR_SLOPE_S
        self.service_s = _PRIOR_SERVICE_S
        self._weight = self._load = self._load_squared = 0.0
        self._time = self._time_load = 0.0
        for load in _PRIOR_LOADS:
            self._add(load, _PRIOR_BASE_S + _PRIOR_SLOPE_S * load)

    def prefill_s(self, uncached_blocks: float, load: float) -> float:
        """Expected time to compute blocks beside ``load`` running streams, in seconds."""
        return uncached_blocks * (self.base_s + self.slope_s * load)

    def wait_s(self, load: float, slots: int) -> float:
        """Expected wait for a free slot, in seconds; 0 while one is free."""
        return max(0.0, load + 1.0 - slots) * self.service_s / max(1, slots)

    def observe_first_token(
        self, uncached_blocks: float, load: float, first_token_s: float
    ) -> None:
        """Take in one report; too few uncached blocks tell nothing about the rate."""
        if uncached_blocks < _MINIMUM_UNCACHED_BLOCKS or not 0.0 < first_token_s < math.inf:
            return
        self._add(load, first_token_s / uncached_blocks)
        self._fit()

    def observe_service(self, service_s: float) -> None:
        """Take in the time from grant to end of an attempt."""
        self.service_s += _SERVICE_SHARE * (service_s - self.service_s)

    def _add(self, load: float, block_s: float) -> None:
        self._weight = self._weight * _DECAY + 1.0
        self._load = self._load * _DECAY + load
        self._load_squared = self._load_squared * _DECAY + load * load
        self._time = self._time * _DECAY + block_s
        self._time_load = self._time_load * _DECAY + block_s * load

    def _fit(self) -> None:
        mean_load = self._load / self._weight
        mean_time = self._time / self._weight
        variance = self._load_squared / self._weight - mean_load * mean_load
        if variance > 0.1:
            covariance = self._time_load / self._weight - mean_load * mean_time
            self.slope_s = max(0.0, covariance / variance)
        self.base_s = max(_MINIMUM_BASE_S, mean_time - self.slope_s * mean_load)
