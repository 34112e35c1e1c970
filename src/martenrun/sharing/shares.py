"""Weights of a node's fair queue that make shares hold over all nodes together.

A fair queue alone shares one node's runners.  A tenant that waits at few nodes would get less
than its share, one that waits at all of them more.  Tenants that wait at the same node should
have the same usage per weight over all nodes; the controller moves their weights at this node
until they have.  No node needs to know all tenants.

See also: :mod:`martenrun.sharing.usage`, :mod:`martenrun.sharing.fair_queue`.
"""

import math
from collections.abc import Callable, Sequence

from martenrun.sharing.usage import TenantUsage

CONTROL_INTERVAL_S = 1.0
"""Time between two corrections, in seconds."""

INTEGRAL_GAIN = 0.1
"""Part of the logarithmic share error that is added to the correction in one interval."""

PROPORTIONAL_GAIN = 1.0
"""Part of the present logarithmic share error that is corrected at once."""

MAXIMUM_CORRECTION = 16.0
"""Largest factor between a corrected and a plain weight, either way."""

MAXIMUM_ERROR = math.log(4.0)
"""Largest logarithmic error taken into account at once."""

FADE_S = 30.0
"""Time in which the correction of a tenant that no longer waits fades, in seconds."""

_LIMIT = math.log(MAXIMUM_CORRECTION)


class ShareController:
    """Corrects the weights of one queue.

    Args:
        weight_of: returns a tenant's plain weight: its policy's, or the one in its object.
        usage_of: returns a tenant's usage here and on all nodes.
    """

    def __init__(
        self,
        weight_of: Callable[[str], float],
        usage_of: Callable[[str, float], TenantUsage],
    ) -> None:
        self._weight_of = weight_of
        self._usage_of = usage_of
        self._corrections: dict[str, float] = {}
        self._next = 0.0

    def weights(self, backlogged: Sequence[str], now: float) -> dict[str, float] | None:
        """Return the queue's weights from now on, or None while the interval lasts."""
        if now < self._next:
            return None
        self._next = now + CONTROL_INTERVAL_S
        plain = {name: max(1e-9, self._weight_of(name)) for name in backlogged}
        errors = self._errors(plain, now)
        self._fade(plain)
        corrected: dict[str, float] = {}
        for name, error in errors.items():
            integral = self._corrections.get(name, 0.0) + INTEGRAL_GAIN * error
            integral = max(-_LIMIT, min(_LIMIT, integral))
            self._corrections[name] = integral
            exponent = max(-_LIMIT, min(_LIMIT, integral + PROPORTIONAL_GAIN * error))
            corrected[name] = plain[name] * math.exp(exponent)
        return corrected

    def _errors(self, plain: dict[str, float], now: float) -> dict[str, float]:
        """Return the logarithm of deserved over real usage, per waiting tenant."""
        usage = {name: self._usage_of(name, now).all_usage for name in plain}
        total = sum(usage.values())
        if total <= 0:
            return dict.fromkeys(plain, 0.0)
        fair = total / sum(plain.values())
        floor = fair * 1e-3
        errors = {}
        for name, weight in plain.items():
            error = math.log(fair / max(floor, usage[name] / weight))
            errors[name] = max(-MAXIMUM_ERROR, min(MAXIMUM_ERROR, error))
        return errors

    def _fade(self, waiting: dict[str, float]) -> None:
        factor = math.exp(-CONTROL_INTERVAL_S / FADE_S)
        for name in [name for name in self._corrections if name not in waiting]:
            self._corrections[name] *= factor
            if abs(self._corrections[name]) < 0.01:
                del self._corrections[name]
