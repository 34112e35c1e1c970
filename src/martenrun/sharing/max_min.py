"""Weighted max-min fair division of a capacity, the yardstick of shares."""

from collections.abc import Mapping


def max_min_shares(
    capacity: float, demands: Mapping[str, float], weights: Mapping[str, float]
) -> dict[str, float]:
    """Divide a capacity over demands.

    Nobody gets more than its demand; what it leaves goes to the others by weight.  Capacity
    and demands are in the same unit.
    """
    shares: dict[str, float] = {}
    left, weight_left = capacity, sum(weights[name] for name in demands)
    for name in sorted(demands, key=lambda name: demands[name] / weights[name]):
        share = min(demands[name], left * weights[name] / weight_left) if weight_left else 0.0
        shares[name] = share
        left -= share
        weight_left -= weights[name]
    return shares
