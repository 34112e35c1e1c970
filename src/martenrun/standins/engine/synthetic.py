"""Cache events and load of the stand-in engine without requests, to measure their readers."""

import threading
import time
from collections.abc import Callable

import msgspec
import numpy

from martenrun.standins.engine.incarnation import Incarnation
from martenrun.standins.engine.scheduler import Load

_TICK_S = 0.1
_MULTIPLIER = 0x9E3779B97F4A7C15


class EventRate(msgspec.Struct, frozen=True):
    """Body of ``POST /synthetic-events``; replaces the rate before.

    Attributes:
        events_per_s: stored and removed blocks a second, half of each.
        blocks_per_entry: blocks stored by one entry, and as many removed.
        cached_blocks: blocks stored at once, in large entries, when the rate is first set.
    """

    events_per_s: float = 0.0
    blocks_per_entry: int = 5
    cached_blocks: int = 0


class SyntheticEvents:
    """Adds entries at a set rate, on a thread of its own; the oldest blocks leave first.

    While it adds any, the reported load changes all the time.

    Args:
        engine: returns the present incarnation.
    """

    def __init__(self, engine: Callable[[], Incarnation]) -> None:
        self._engine = engine
        self._rate = EventRate()
        self._first = 0
        self._next = 0
        self._thread: threading.Thread | None = None
        self._offset = int.from_bytes(numpy.random.default_rng().bytes(6), "little") << 16

    def set_rate(self, rate: EventRate) -> None:
        """Set the rate; 0 pauses."""
        self._rate = rate
        if self._thread is None:
            self._thread = threading.Thread(target=self._run, name="synthetic", daemon=True)
            self._thread.start()

    def _run(self) -> None:
        while self._next < self._rate.cached_blocks:
            self._add(min(4_096, self._rate.cached_blocks - self._next), 0)
        due = 0.0
        before = time.monotonic()
        while True:
            time.sleep(_TICK_S)
            rate, now = self._rate, time.monotonic()
            due += (now - before) * rate.events_per_s / 2
            before = now
            if rate.events_per_s:
                load = Load(self._next % self._engine().settings.slots)
                self._engine().load_report.record(load, now)
            while due >= rate.blocks_per_entry:
                due -= rate.blocks_per_entry
                self._add(rate.blocks_per_entry, rate.blocks_per_entry)

    def _add(self, stored: int, removed: int) -> None:
        removed = min(removed, self._next - self._first)
        self._engine().feed.add(
            self._blocks(self._next, stored), self._blocks(self._first, removed), time.monotonic()
        )
        self._next += stored
        self._first += removed

    def _blocks(self, first: int, count: int) -> bytes:
        numbers = numpy.arange(first, first + count, dtype=numpy.uint64)
        mixed = (numbers + numpy.uint64(self._offset)) * numpy.uint64(_MULTIPLIER)
        return mixed.tobytes()
