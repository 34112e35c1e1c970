"""Prometheus view of which cluster keys other processes use.

See also: :mod:`martenrun.wire.keys`.
"""

from collections.abc import Iterable

from prometheus_client.core import CounterMetricFamily, Metric
from prometheus_client.registry import Collector

from martenrun.wire.keys import KeyUses


class KeyCollector(Collector):
    """Reads the counts when they are scraped."""

    def __init__(self, uses: KeyUses) -> None:
        self._uses = uses

    def collect(self) -> Iterable[Metric]:
        """Return how often other processes used one of ``accepted_secrets``."""
        uses = CounterMetricFamily(
            "martenrun:other_cluster_key_uses",
            "Handshakes and datagrams under a key of accepted_secrets.",
        )
        uses.add_metric([], self._uses.other_key)
        return [uses]
