"""What engines tell nodes in the routing benchmark: cache events and loads, late and lossy."""

import collections
import functools
import random
from collections.abc import Sequence

import numpy

from martenrun.bench.routing_engine import SimulatedEngine
from martenrun.bench.routing_node import FeedBatch, SimulatedNode, incarnation_of
from martenrun.deployments.model import Faults
from martenrun.simulation.scheduler import Scheduler

LOAD_REPORT_INTERVAL_S = 0.5
LOAD_REPORT_LAG_S = 0.5

KEPT_BATCHES = 10_000
"""Events that an engine keeps for a reader that starts anew."""


class RoutingFeeds:
    """Publishes cache events and loads of all engines.

    Args:
        engines: all engines by name.
        nodes: all nodes, as they are at the time of a delivery.
        to_all: whether every node reads every engine's events, or only the owner does.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        faults: Faults,
        seed: int,
        engines: dict[str, SimulatedEngine],
        nodes: list[SimulatedNode],
        to_all: bool,
    ) -> None:
        self._scheduler = scheduler
        self._faults = faults
        self._rng = random.Random(f"events {seed}")
        self._engines = engines
        self._nodes = nodes
        self._to_all = to_all
        self._free_at: dict[str, float] = {}
        self._published: dict[str, collections.deque[FeedBatch]] = {}

    def begin(self) -> None:
        """Plan the first events and reports."""
        for engine in self._engines.values():
            publish = functools.partial(self._publish, engine)
            self._scheduler.after(self._rng.random(), publish)
        self._scheduler.after(0.0, self._report_loads)

    def replay(self, number: int) -> None:
        """Let a new node read what the engines it owns have published and kept."""
        for engine in self._engines.values():
            kept = self._published.get(engine.name)
            if kept and (engine.owner == number or self._to_all):
                self._nodes[number].take_feed(net_change(kept), self._scheduler.now)

    def _publish(self, engine: SimulatedEngine) -> None:
        """Publish what the cache stored and removed since the last time."""
        self._scheduler.after(self._faults.event_interval_s, lambda: self._publish(engine))
        cache = engine.cache
        changed = dict.fromkeys(cache.stored + cache.removed)
        cache.stored, cache.removed = [], []
        if not changed or not engine.is_up:
            return
        if self._rng.random() < self._faults.event_loss:
            engine.lost_events = True
            return
        stored = [block for block in changed if block in cache]
        removed = [block for block in changed if block not in cache]
        batch = FeedBatch(
            engine.name,
            incarnation_of(engine),
            numpy.array(stored, "<i8"),
            numpy.array(removed, "<i8"),
            engine.lost_events,
        )
        engine.lost_events = False
        lag_s = self._faults.event_lag_s * (0.5 + 0.5 * self._rng.random())
        due = max(self._free_at.get(engine.name, 0.0), self._scheduler.now + lag_s)
        self._free_at[engine.name] = due
        self._scheduler.after(due - self._scheduler.now, lambda: self._deliver(engine, batch))

    def _deliver(self, engine: SimulatedEngine, batch: FeedBatch) -> None:
        kept = self._published.setdefault(engine.name, collections.deque(maxlen=KEPT_BATCHES))
        if kept and kept[-1].incarnation != batch.incarnation:
            kept.clear()
        kept.append(batch)
        readers = self._nodes if self._to_all else [self._nodes[engine.owner]]
        for node in readers:
            node.take_feed(batch, self._scheduler.now)

    def _report_loads(self) -> None:
        self._scheduler.after(LOAD_REPORT_INTERVAL_S, self._report_loads)
        loads = [(engine.name, engine.running) for engine in self._engines.values()]
        self._scheduler.after(LOAD_REPORT_LAG_S, lambda: self._take_loads(loads))

    def _take_loads(self, loads: list[tuple[str, int]]) -> None:
        """Tell homes all loads, but not the product's: they learn from owners' answers only."""
        for node in self._nodes:
            if node.is_product:
                continue
            for name, running in loads:
                node.take_load(name, running, self._scheduler.now)


def net_change(batches: Sequence[FeedBatch]) -> FeedBatch:
    """Return events of one run as the adapter of feeds gives them in one read.

    See also: :func:`martenrun.backends.cache_events.take_in`.
    """
    is_stored: dict[int, bool] = {}
    for batch in batches:
        is_stored.update(dict.fromkeys(batch.stored.tolist(), True))
        is_stored.update(dict.fromkeys(batch.removed.tolist(), False))
    stored = [block for block, held in is_stored.items() if held]
    removed = [block for block, held in is_stored.items() if not held]
    return FeedBatch(
        batches[-1].engine,
        batches[-1].incarnation,
        numpy.array(stored, "<i8"),
        numpy.array(removed, "<i8"),
        any(batch.gap for batch in batches),
    )
