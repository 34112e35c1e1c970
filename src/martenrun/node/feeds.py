"""Driver that follows engines by their push streams: one thread, one selector.

Sockets are read in rounds, so that one message to the loop carries what many engines told.
No engine can hold another one up: connecting and reading never wait.

See also: :mod:`martenrun.node.followed_engine`, which decides; docs/design/engine-feeds.md.
"""

import collections
import random
import selectors
import threading
import time
from collections.abc import Callable, Collection, Mapping
from dataclasses import dataclass
from typing import Protocol

from absl import logging

from martenrun.backends.engine_stream import (
    READ_BYTES,
    EngineStream,
    NoPushStreamError,
    StreamBrokenError,
    StreamQuestion,
)
from martenrun.events import Event, EventBatch
from martenrun.node.followed_engine import FeedState, FollowedEngine, Target

ROUND_S = 0.1
"""Pause between two rounds of reading, in seconds."""

ROUND_BYTES = 4 * READ_BYTES
"""Bytes read in one round; bounds how long the loop is held by one message."""

OPENINGS_A_ROUND = 8
"""Streams opened in one round: a node that starts believes for a moment that it owns them all."""

FAULT_PAUSE_S = 1.0
"""Pause after a round that failed for an unknown cause, in seconds."""

_STOP_LIMIT_S = 5.0


@dataclass(frozen=True, slots=True)
class FeedFigures:
    """How one engine is followed, for operators; counts since it is followed."""

    runner: str
    state: FeedState
    last_word_age_s: float
    reconnects: int
    gaps: int


class EngineFollower(Protocol):
    """Follows a changing set of engines."""

    def follow(self, targets: Collection[Target]) -> None:
        """Follow these engines and no others."""

    def polled(self) -> Collection[str]:
        """Return the runners that answer but have no push stream: poll them."""
        ...

    def poll_failed(self, runner: str) -> None:
        """A polled runner did not answer."""


class PolledEngines:
    """Follows no engine by a stream: all are polled."""

    def __init__(self) -> None:
        self._polled: frozenset[str] = frozenset()

    def follow(self, targets: Collection[Target]) -> None:
        """Let these engines be polled."""
        self._polled = frozenset(target.runner for target in targets)

    def polled(self) -> Collection[str]:
        """Return every runner."""
        return self._polled

    def poll_failed(self, runner: str) -> None:
        """Go on polling."""


class EngineFeeds:
    """Follows engines on a thread of its own and tells a loop what they push.

    Args:
        tell: gives the loop an event.
        rng: source of jitter.
    """

    def __init__(self, tell: Callable[[Event], None], rng: random.Random) -> None:
        self._tell = tell
        self._rng = rng
        self._selector = selectors.DefaultSelector()
        self._engines: dict[str, FollowedEngine] = {}
        self._streams: dict[str, EngineStream] = {}
        self._targets: Mapping[str, Target] = {}
        self._failed_polls: collections.deque[str] = collections.deque()
        self._taken: Mapping[str, Target] = self._targets
        self._last_read = ""
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="engine-feeds", daemon=True)

    def start(self) -> None:
        """Start following."""
        self._thread.start()

    def stop(self) -> None:
        """Close every stream."""
        self._stopping.set()
        if self._thread.is_alive():
            self._thread.join(_STOP_LIMIT_S)

    def follow(self, targets: Collection[Target]) -> None:
        """Follow these engines and no others, from the next round on."""
        self._targets = {target.runner: target for target in targets}

    def polled(self) -> Collection[str]:
        """Return the runners that answer but have no push stream."""
        engines = list(self._engines.values())
        return {engine.target.runner for engine in engines if engine.state is FeedState.POLLED}

    def poll_failed(self, runner: str) -> None:
        """A polled runner did not answer."""
        self._failed_polls.append(runner)

    def figures(self) -> list[FeedFigures]:
        """Return how each engine is followed."""
        now = time.monotonic()
        return [
            FeedFigures(
                engine.target.runner,
                engine.state,
                now - engine.last_word_at,
                engine.reconnects,
                engine.gaps,
            )
            for engine in list(self._engines.values())
        ]

    def _run(self) -> None:
        try:
            while not self._stopping.wait(ROUND_S):
                try:
                    self._round(time.monotonic())
                except Exception:
                    # A fault with one round must not end the following of all engines.
                    logging.exception("a round of reading engines failed")
                    self._stopping.wait(FAULT_PAUSE_S)
        finally:
            for runner in list(self._streams):
                self._close(runner)
            self._selector.close()

    def _round(self, now: float) -> None:
        events = self._read(now)
        self._take_targets(now)
        while self._failed_polls:
            engine = self._engines.get(self._failed_polls.popleft())
            if engine is not None:
                engine.poll_failed(now)
        events += self._look(now)
        if events:
            self._tell(EventBatch(tuple(events)))

    def _look(self, now: float) -> list[Event]:
        """Give up silent engines and open due streams, those first that wait longest."""
        events: list[Event] = []
        due: list[FollowedEngine] = []
        for engine in self._engines.values():
            if now < engine.look_at:
                continue
            if engine.is_silent(now):
                self._close(engine.target.runner)
                events += engine.silenced(now)
            elif engine.is_due(now):
                due.append(engine)
        due.sort(key=lambda engine: engine.next_try)
        for engine in due[:OPENINGS_A_ROUND]:
            events += self._open(engine, now)
        # A connection near by is refused or there at once: a round sooner than waiting for it.
        return events + self._read(now) if due else events

    def _take_targets(self, now: float) -> None:
        targets = self._targets
        if targets is self._taken:
            return
        self._taken = targets
        for runner, engine in list(self._engines.items()):
            if targets.get(runner) != engine.target:
                self._close(runner)
                del self._engines[runner]
        for runner, target in targets.items():
            if runner not in self._engines:
                self._engines[runner] = FollowedEngine(target, now, self._rng)

    def _read(self, now: float) -> list[Event]:
        """Read what has arrived, up to a bound; who was not reached comes first next time."""
        ready = [key.data for key, _mask in self._selector.select(0)]
        ready.sort()
        begin = next((i for i, runner in enumerate(ready) if runner > self._last_read), 0)
        events: list[Event] = []
        size = 0
        for runner in ready[begin:] + ready[:begin]:
            if size >= ROUND_BYTES:
                break
            engine, stream = self._engines[runner], self._streams[runner]
            try:
                if not stream.is_connected:
                    stream.send()
                    self._selector.modify(stream.socket, selectors.EVENT_READ, runner)
                    continue
                received = stream.receive()
                size += received.size
                self._last_read = runner
                if received.has_word:
                    events += engine.pushed(received.pushes, now)
            except NoPushStreamError:
                self._close(runner)
                engine.is_polled(now)
            except StreamBrokenError as error:
                logging.log_every_n_seconds(logging.INFO, "stream of %s: %s", 5, runner, error)
                self._close(runner)
                events += engine.broke(now)
        return events

    def _open(self, engine: FollowedEngine, now: float) -> list[Event]:
        self._close(engine.target.runner)
        engine.opening(now)
        target = engine.target
        try:
            question = StreamQuestion(engine.position, target.cache_events)
            stream = EngineStream(target.address, question)
        except StreamBrokenError:
            return engine.broke(now)
        self._streams[target.runner] = stream
        self._selector.register(stream.socket, selectors.EVENT_WRITE, target.runner)
        return []

    def _close(self, runner: str) -> None:
        stream = self._streams.pop(runner, None)
        if stream is not None:
            self._selector.unregister(stream.socket)
            stream.close()
