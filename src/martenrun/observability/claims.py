"""Prometheus view of the removal of old claims.

See also: :mod:`martenrun.claims.retention`.
"""

from collections.abc import Iterable

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from martenrun.claims.retention import ClaimRetentionLogic


class ClaimsCollector(Collector):
    """Reads the counts of one node when they are scraped."""

    def __init__(self, retention: ClaimRetentionLogic) -> None:
        self._retention = retention

    def collect(self) -> Iterable[Metric]:
        """Return what was removed, and what is kept although it is old."""
        return [
            CounterMetricFamily(
                "martenrun:claims_removed",
                "Claims of ended requests removed after the retention time.",
                value=self._retention.removed,
            ),
            GaugeMetricFamily(
                "martenrun:claims_held_old",
                "Claims older than the retention time whose request never told its end.",
                value=self._retention.kept_held,
            ),
        ]
