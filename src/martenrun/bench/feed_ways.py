"""Ways of following engines that ``bench feeds`` compares."""

import random
from collections.abc import Callable
from typing import Protocol

from urllib3.exceptions import HTTPError

from martenrun.backends.cache_events import CacheEventReader
from martenrun.backends.engine import EngineConnections
from martenrun.backends.machine_list import MachineList
from martenrun.bench.feed_threads import ThreadedFeeds
from martenrun.events import CacheEventsRead, Event, EventBatch, RunnerDescribed
from martenrun.node.feeds import EngineFeeds
from martenrun.node.followed_engine import Target
from martenrun.node.parts import NodeParts
from martenrun.node.polls import NodePolls
from martenrun.process import Poller

DESCRIBE_S = 0.5
READ_EVENTS_S = 0.2
_NOWHERE = "127.0.0.1:1"

Tell = Callable[[Event], None]


class FeedWay(Protocol):
    """A way of following every engine that a node owns."""

    def start(self) -> None:
        """Begin to follow."""

    def stop(self) -> None:
        """Stop following."""

    def blocks(self) -> int:
        """Return how many stored and removed hashes were told so far."""
        ...


class PolledWay:
    """Asks each engine twice a second for its description, five times for cache events."""

    def __init__(self, parts: NodeParts, tell: Tell) -> None:
        self._parts = parts
        self._tell = tell
        self._engines = EngineConnections()
        self._reader = CacheEventReader(self._engines)
        self._blocks = 0
        self._pollers = [
            Poller("poll-descriptions", self._describe, DESCRIBE_S),
            Poller("poll-events", self._read, READ_EVENTS_S),
        ]

    def start(self) -> None:
        """Begin to follow."""
        for poller in self._pollers:
            poller.start()

    def stop(self) -> None:
        """Stop following."""
        for poller in self._pollers:
            poller.stop()

    def blocks(self) -> int:
        """Return how many stored and removed hashes were told so far."""
        return self._blocks

    def _describe(self) -> None:
        for name in list(self._parts.ownership.owner.owned):
            try:
                description = self._engines.describe(self._parts.runners.runners[name].address)
            except HTTPError:
                description = None
            self._tell(RunnerDescribed(name, description))

    def _read(self) -> None:
        for name in list(self._parts.ownership.owner.owned):
            try:
                events = self._reader.read(name, self._parts.runners.runners[name].address)
            except HTTPError:
                continue
            if events is not None:
                self._blocks += len(events.stored) + len(events.removed)
                self._tell(CacheEventsRead(name, events))


class _StreamWay:
    """A way that reads push streams; counts what it tells."""

    def __init__(self, parts: NodeParts, tell: Tell) -> None:
        self._parts = parts
        self._tell = tell
        self._blocks = 0

    def blocks(self) -> int:
        """Return how many stored and removed hashes were told so far."""
        return self._blocks

    def _count_and_tell(self, event: Event) -> None:
        assert isinstance(event, EventBatch)
        for told in event.events:
            if isinstance(told, CacheEventsRead):
                self._blocks += len(told.events.stored) + len(told.events.removed)
        self._tell(event)


class HeldWay(_StreamWay):
    """The product's way: push streams, read by one thread."""

    def __init__(self, parts: NodeParts, tell: Tell) -> None:
        super().__init__(parts, tell)
        self._feeds = EngineFeeds(self._count_and_tell, random.Random(1))
        polls = NodePolls(parts, MachineList(_NOWHERE), EngineConnections(), self._feeds, tell)
        self._poller = Poller("runners", polls.follow_engines, DESCRIBE_S)

    def start(self) -> None:
        """Begin to follow."""
        self._feeds.start()
        self._poller.start()

    def stop(self) -> None:
        """Stop following."""
        self._poller.stop()
        self._feeds.stop()


class ThreadsWay(_StreamWay):
    """Push streams with a thread and a blocking response each."""

    def start(self) -> None:
        """Begin to follow."""
        runners = self._parts.runners.runners
        owned = self._parts.ownership.owner.owned
        targets = [Target(name, runners[name].address, True) for name in owned]
        self._feeds = ThreadedFeeds(self._count_and_tell, targets)
        self._feeds.start()

    def stop(self) -> None:
        """Stop following."""
        self._feeds.stop()


def ways() -> dict[str, Callable[[NodeParts, Tell], FeedWay]]:
    """Return every way by name."""
    return {"polled": PolledWay, "held": HeldWay, "threads": ThreadsWay}
