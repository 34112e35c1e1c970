"""Prometheus view of how a node follows its engines.

See also: :mod:`martenrun.node.feeds`, docs/operations/engines.md.
"""

from collections.abc import Callable, Iterable, Sequence

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from martenrun.node.feeds import FeedFigures
from martenrun.node.followed_engine import FeedState


class EngineFeedsCollector(Collector):
    """Reads the figures when they are scraped; a runner is shown while it is followed."""

    def __init__(self, figures: Callable[[], Sequence[FeedFigures]]) -> None:
        self._figures = figures

    def collect(self) -> Iterable[Metric]:
        """Return engines by state, and age, reconnects and gaps by runner."""
        states = GaugeMetricFamily(
            "martenrun:engine_feeds",
            "Engines followed, by state: open, opening, waiting to try again, polled.",
            labels=["state"],
        )
        age = GaugeMetricFamily(
            "martenrun:engine_feed_last_word_age_seconds",
            "Time since the runner's push stream said anything; not for polled runners.",
            labels=["runner"],
        )
        reconnects = CounterMetricFamily(
            "martenrun:engine_feed_reconnects",
            "Push streams, or attempts to open one, that ended.",
            labels=["runner"],
        )
        gaps = CounterMetricFamily(
            "martenrun:engine_feed_gaps",
            "Gaps in the runner's cache events.",
            labels=["runner"],
        )
        counts = dict.fromkeys(FeedState, 0)
        for figures in self._figures():
            counts[figures.state] += 1
            if figures.state is not FeedState.POLLED:
                age.add_metric([figures.runner], figures.last_word_age_s)
            reconnects.add_metric([figures.runner], figures.reconnects)
            gaps.add_metric([figures.runner], figures.gaps)
        for state, count in counts.items():
            states.add_metric([state.value], count)
        return [states, age, reconnects, gaps]
