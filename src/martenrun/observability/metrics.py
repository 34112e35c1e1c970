"""Prometheus metrics of a process's edge, in a registry of the process's own."""

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    ProcessCollector,
    generate_latest,
)
from prometheus_client.registry import Collector

FIRST_TOKEN_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0)


class EdgeMetrics:
    """What callers meet at one edge.

    Attributes:
        running: requests carried now.
        ended: requests ended, by error code; ``ok`` and ``caller_gone`` are codes too.
        first_token: time from a request's arrival to its first output, in seconds.
    """

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        ProcessCollector(registry=self._registry)
        self.running = Gauge(
            "martenrun:num_requests_running", "Requests carried now.", registry=self._registry
        )
        self.ended = Counter(
            "martenrun:requests",
            "Requests ended, by error code.",
            ["code"],
            registry=self._registry,
        )
        self.first_token = Histogram(
            "martenrun:time_to_first_token_seconds",
            "Time from arrival to first output.",
            buckets=FIRST_TOKEN_BUCKETS_S,
            registry=self._registry,
        )

    def add(self, collector: Collector) -> None:
        """Expose further metrics of the process."""
        self._registry.register(collector)

    def exposition(self) -> bytes:
        """Return every metric in Prometheus's text format."""
        return generate_latest(self._registry)
