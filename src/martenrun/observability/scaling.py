"""Prometheus view of the deciding node's accounts of the scaled pools.

See also: :mod:`martenrun.scaling.decider`.
"""

from collections.abc import Iterable

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from martenrun.scaling.decider import ScalingLogic


class ScalingCollector(Collector):
    """Reads one node's accounts when they are scraped; only the deciding node has pools."""

    def __init__(self, scaling: ScalingLogic) -> None:
        self._scaling = scaling

    def collect(self) -> Iterable[Metric]:
        """Return the pools' waits and pressure, and how often this node has decided."""
        wait = GaugeMetricFamily(
            "martenrun:pool_wait_seconds", "Mean expected wait in a pool's queues.", labels=["pool"]
        )
        pressure = GaugeMetricFamily(
            "martenrun:pool_pressure_seconds",
            "How long a pool has lacked runners, by the deciding node's account.",
            labels=["pool"],
        )
        for status in self._scaling.statuses:
            wait.add_metric([status.pool], status.wait_s)
            pressure.add_metric([status.pool], status.pressure_s)
        moves = CounterMetricFamily(
            "martenrun:scaling_decisions",
            "Decisions about moves that this node has begun to record.",
            value=self._scaling.moves,
        )
        return [wait, pressure, moves]
