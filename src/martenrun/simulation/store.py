"""The object API in virtual time, for the store instructions of hollow processes."""

import random
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from martenrun.configuration.driver import WATCH_WAIT_S
from martenrun.configuration.objects import REPLICATED_KINDS
from martenrun.events import (
    Event,
    StoreAnswered,
    StoreList,
    StoreOutcome,
    StoreRead,
    StoreWatch,
    StoreWatched,
    StoreWrite,
    WatchOutcome,
)
from martenrun.process import Carrier
from martenrun.simulation.scheduler import Scheduler
from martenrun.standins.object_store import CompactedError, ObjectList, ObjectStore, StoredObject
from martenrun.wire.messages import ConfigurationObject, ConfigurationUpdate

_KINDS = frozenset(REPLICATED_KINDS)
Tell = Callable[[Event], None]


@dataclass
class StoreFaults:
    """Faults of every call.

    Attributes:
        down: calls have no effect and end as failed.
        delay_s, jitter_s: shortest time of a call, and largest added time.
        lose_write_probability: how often a write takes effect but ends as unknown.
        lose_read_probability: how often a read's or watch's answer is lost.
    """

    down: bool = False
    delay_s: float = 0.005
    jitter_s: float = 0.005
    lose_write_probability: float = 0.0
    lose_read_probability: float = 0.0


@dataclass
class _Waiting:
    """A watch that waits for changes."""

    name: str
    after: int
    tell: Tell


class SimulatedStore:
    """Carries out the store instructions of many hollow processes.

    Attributes:
        calls: calls begun, watches included.
        unreachable: names of processes that are cut off from the store.
        is_cut: returns whether the network cuts a process off from the store.
    """

    def __init__(self, scheduler: Scheduler, rng: random.Random, faults: StoreFaults) -> None:
        self.store = ObjectStore()
        self.faults = faults
        self.calls = 0
        self.unreachable: set[str] = set()
        self.is_cut: Callable[[str], bool] = lambda _name: False
        self._scheduler = scheduler
        self._rng = rng
        self._waiting: dict[int, _Waiting] = {}

    def carriers(self, name: str, tell: Tell) -> dict[type, Carrier]:
        """Return the carriers for the process ``name``; ``tell`` gives it events."""
        return {
            StoreWrite: lambda call: self._begin(lambda: self._write(name, call, tell)),
            StoreRead: lambda call: self._begin(lambda: self._read(name, call, tell)),
            StoreList: lambda call: self._begin(lambda: self._list(name, call, tell)),
            StoreWatch: lambda call: self._begin(lambda: self._watch(name, call, tell)),
        }

    def write(self, kind: str, name: str, expected: int, document: bytes | None) -> int:
        """Write as an operator does, without faults; returns the version present."""
        decoded = None if document is None else msgspec.json.decode(document)
        _written, version = self.store.write(kind, name, expected, decoded)
        self._wake()
        return version

    def _begin(self, call: Callable[[], None]) -> None:
        self.calls += 1
        self._later(call)

    def _later(self, call: Callable[[], None]) -> None:
        self._scheduler.after(self.faults.delay_s + self._rng.random() * self.faults.jitter_s, call)

    def fails_for(self, name: str) -> bool:
        """Return whether calls of a process have no effect now."""
        return self.faults.down or name in self.unreachable or self.is_cut(name)

    def _write(self, name: str, call: StoreWrite, tell: Tell) -> None:
        outcome = StoreOutcome.UNKNOWN
        version = 0
        if not self.fails_for(name):
            decoded = None if call.document is None else msgspec.json.decode(call.document)
            written, version = self.store.write(call.kind, call.name, call.expected, decoded)
            if self._rng.random() >= self.faults.lose_write_probability:
                outcome = StoreOutcome.DONE if written else StoreOutcome.CONFLICT
            self._wake()
        answer = StoreAnswered(call.call_id, outcome, version)
        self._later(lambda: tell(answer))

    def _read(self, name: str, call: StoreRead, tell: Tell) -> None:
        answer = StoreAnswered(call.call_id, StoreOutcome.UNKNOWN)
        if not self.fails_for(name) and self._rng.random() >= self.faults.lose_read_probability:
            found = self.store.get(call.kind, call.name)
            answer = StoreAnswered(call.call_id, StoreOutcome.NOT_FOUND)
            if found is not None and not found.deleted:
                item = _converted(found)
                answer = StoreAnswered(call.call_id, StoreOutcome.DONE, item.revision, item)
        self._later(lambda: tell(answer))

    def _list(self, name: str, call: StoreList, tell: Tell) -> None:
        answer = StoreAnswered(call.call_id, StoreOutcome.UNKNOWN)
        if not self.fails_for(name) and self._rng.random() >= self.faults.lose_read_probability:
            page = self.store.list_page(call.kind, call.after_name, call.limit)
            listed = tuple(_converted(item) for item in page.objects)
            answer = StoreAnswered(call.call_id, StoreOutcome.DONE, listed=listed)
        self._later(lambda: tell(answer))

    def _watch(self, name: str, call: StoreWatch, tell: Tell) -> None:
        if self.fails_for(name) or self._rng.random() < self.faults.lose_read_probability:
            watched = StoreWatched(WatchOutcome.UNAVAILABLE, ConfigurationUpdate())
            self._later(lambda: tell(watched))
            return
        if call.after < 0:
            update = _update(0, self.store.list_all(_KINDS), complete=True)
            self._later(lambda: tell(StoreWatched(WatchOutcome.CHANGES, update)))
            return
        key = self.calls
        while key in self._waiting:
            key += 1
        self._waiting[key] = _Waiting(name, call.after, tell)
        self._end_watch(key, is_due=False)
        self._scheduler.after(WATCH_WAIT_S, lambda: self._end_watch(key, is_due=True))

    def _wake(self) -> None:
        for key in list(self._waiting):
            self._end_watch(key, is_due=False)

    def _end_watch(self, key: int, is_due: bool) -> None:
        waiting = self._waiting.get(key)
        if waiting is None:
            return
        watched = self._watched(waiting)
        is_news = bool(watched.update.objects) or watched.outcome is WatchOutcome.COMPACTED
        if is_news or is_due:
            del self._waiting[key]
            self._later(lambda: waiting.tell(watched))

    def _watched(self, waiting: _Waiting) -> StoreWatched:
        if self.fails_for(waiting.name):
            return StoreWatched(WatchOutcome.UNAVAILABLE, ConfigurationUpdate())
        try:
            changes = self.store.changes(waiting.after, 0.0, _KINDS)
        except CompactedError:
            return StoreWatched(WatchOutcome.COMPACTED, ConfigurationUpdate())
        update = _update(waiting.after, changes, complete=False)
        return StoreWatched(WatchOutcome.CHANGES, update)


def _update(after: int, found: ObjectList, complete: bool) -> ConfigurationUpdate:
    objects = [_converted(item) for item in found.objects]
    return ConfigurationUpdate(after, found.revision, objects, complete=complete)


def _converted(item: StoredObject) -> ConfigurationObject:
    document = msgspec.json.encode(item.document)
    return ConfigurationObject(item.kind, item.name, item.version, item.deleted, document)
