"""Prometheus metrics of a process's edge, in a registry of the process's own."""

from typing import Any

from prometheus_client import (
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
    ProcessCollector,
    generate_latest,
)
from prometheus_client.registry import Collector

from martenrun.observability.labels import BusiestLabels, LabelPair
from martenrun.observability.recent_blocks import RecentBlocks

FIRST_TOKEN_BUCKETS_S = (0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0, 10.0, 30.0)
BETWEEN_TOKENS_BUCKETS_S = (0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0)
QUEUE_WAIT_BUCKETS_S = (0.005, 0.01, 0.05, 0.1, 0.5, 1.0, 5.0, 10.0, 30.0)

MAXIMUM_NAMED_PAIRS = 50
"""Pairs of tenant and pool with series of their own; about 14 KB of memory each."""

_LABELS = ("tenant", "pool")


class PairSeries:
    """Series of one tenant in one pool, or of all others together."""

    def __init__(self, metrics: "EdgeMetrics", labels: LabelPair) -> None:
        values = (labels.tenant, labels.pool)
        self._ended = metrics.pair_ended
        self._values = values
        self.first_token = metrics.first_token.labels(*values)
        self.between_tokens = metrics.between_tokens.labels(*values)
        self.queue_wait = metrics.queue_wait.labels(*values)
        self.retries = metrics.retries.labels(*values)
        self.resumed = metrics.resumed.labels(*values)
        self.prompt_tokens = metrics.prompt_tokens.labels(*values)
        self.cached_tokens = metrics.cached_tokens.labels(*values)
        self.recomputed_tokens = metrics.recomputed_tokens.labels(*values)
        self.output_tokens = metrics.output_tokens.labels(*values)

    def ended(self, code: str) -> None:
        """Count the end of a request."""
        self._ended.labels(*self._values, code).inc()


class EdgeMetrics:
    """What callers meet at one edge.

    Attributes:
        running: requests carried now.
        ended: requests ended, by error code; ``ok`` and ``caller_gone`` are codes too.
        pair_ended: the same by tenant and pool, for requests whose tenant is known.
        recent_blocks: blocks that this edge has sent before.
    """

    def __init__(self) -> None:
        self._registry = CollectorRegistry()
        ProcessCollector(registry=self._registry)
        self._labels = BusiestLabels(MAXIMUM_NAMED_PAIRS)
        self.recent_blocks = RecentBlocks()
        self.running = Gauge(
            "martenrun:num_requests_running", "Requests carried now.", registry=self._registry
        )
        self.ended = self._counter("requests", "Requests ended, by error code.", ("code",))
        self.pair_ended = self._counter(
            "tenant_requests", "Requests ended, by tenant, pool and code.", (*_LABELS, "code")
        )
        self.first_token = self._histogram(
            "time_to_first_token_seconds",
            "Time from a streamed request's arrival to its first output.",
            FIRST_TOKEN_BUCKETS_S,
        )
        self.between_tokens = self._histogram(
            "time_between_tokens_seconds",
            "Time between two outputs of a stream.",
            BETWEEN_TOKENS_BUCKETS_S,
        )
        self.queue_wait = self._histogram(
            "queue_wait_seconds",
            "Time from a question to the grant of an engine, for each attempt.",
            QUEUE_WAIT_BUCKETS_S,
        )
        self.retries = self._counter("retries", "Attempts after the first, without output.")
        self.resumed = self._counter("resumed_streams", "Streams gone on with at another engine.")
        self.prompt_tokens = self._counter("prompt_tokens", "Prompt tokens of whole answers.")
        self.cached_tokens = self._counter(
            "cached_prompt_tokens", "Prompt tokens that engines had in their caches."
        )
        self.recomputed_tokens = self._counter(
            "recomputed_prompt_tokens", "Prompt tokens sent before and computed again."
        )
        self.output_tokens = self._counter("output_tokens", "Output tokens of whole answers.")

    def pair(self, tenant: str, pool: str) -> PairSeries:
        """Return the series that a request of a tenant in a pool counts in."""
        naming = self._labels.use(LabelPair(tenant, pool))
        if naming.dropped is not None:
            self._drop(naming.dropped)
        return PairSeries(self, naming.labels)

    def add(self, collector: Collector) -> None:
        """Expose further metrics of the process."""
        self._registry.register(collector)

    def exposition(self) -> bytes:
        """Return every metric in Prometheus's text format."""
        return generate_latest(self._registry)

    def _drop(self, pair: LabelPair) -> None:
        """Forget the series of a pair that is among the busiest no more."""
        labels = {"tenant": pair.tenant, "pool": pair.pool}
        for metric in self._pair_metrics():
            metric.remove_by_labels(labels)

    def _pair_metrics(self) -> list[Any]:
        return [
            self.pair_ended,
            self.first_token,
            self.between_tokens,
            self.queue_wait,
            self.retries,
            self.resumed,
            self.prompt_tokens,
            self.cached_tokens,
            self.recomputed_tokens,
            self.output_tokens,
        ]

    def _counter(self, name: str, text: str, labels: tuple[str, ...] = _LABELS) -> Counter:
        return Counter(f"martenrun:{name}", text, labels, registry=self._registry)

    def _histogram(self, name: str, text: str, buckets: tuple[float, ...]) -> Histogram:
        full_name = f"martenrun:{name}"
        return Histogram(full_name, text, _LABELS, buckets=buckets, registry=self._registry)
