"""Prometheus view of kept-cache stores.

See also: :mod:`martenrun.kvcache`, docs/operations/kv-cache.md.
"""

import dataclasses
from collections.abc import Iterable

from prometheus_client.core import CounterMetricFamily, Metric
from prometheus_client.registry import Collector

from martenrun.kvcache.counts import CountsByPool, StoreCounts

_HELP = {
    "offers": "Grants that told the runner what the store keeps.",
    "imports": "Imports that runners reported, failed ones included.",
    "imported_blocks": "Blocks that runners fetched from the store.",
    "failed_imports": "Imports whose store failed or was late.",
    "exports": "Exports that this node ordered.",
    "exported_blocks": "Leading blocks that the store kept after exports.",
    "failed_exports": "Exports that kept nothing.",
}


class KeptCacheCollector(Collector):
    """Reads the counts when they are scraped."""

    def __init__(self, counts: CountsByPool) -> None:
        self._counts = counts

    def collect(self) -> Iterable[Metric]:
        """Return one counter a field of :class:`StoreCounts`, by pool."""
        for field in dataclasses.fields(StoreCounts):
            name = f"martenrun:kept_cache_{field.name}"
            family = CounterMetricFamily(name, _HELP[field.name], labels=["pool"])
            for pool, counts in self._counts.items():
                family.add_metric([pool], getattr(counts, field.name))
            yield family
