"""Decision logic of following one engine: what its stream tells, and when to ask again.

Everything that may have changed is told to the loop as events; nothing here touches a socket.

See also: :mod:`martenrun.node.feeds`, the driver; :mod:`martenrun.backends.engine_stream`.
"""

import enum
import random
from dataclasses import dataclass

from martenrun.backends.cache_events import FeedPosition
from martenrun.backends.engine import RunnerDescription
from martenrun.backends.engine_stream import Push, pushed_events
from martenrun.events import CacheEventsRead, Event, RunnerDescribed

SILENCE_S = 2.0
"""Time without a word after which an engine is taken as unreachable, in seconds."""

FIRST_RETRY_S = 0.05
"""Half of the longest pause after a first failed attempt, in seconds."""

STABLE_S = 5.0
"""Time after which a stream that ended counts as one that worked, in seconds."""

MAXIMUM_RETRY_S = 1.0
"""Longest pause between two attempts to open a stream, in seconds."""

OLDER_DIALECT_RETRY_S = 30.0
"""Time after which an engine without push streams is asked for one again, in seconds."""

RETELL_S = 1.9
"""Time after which a keep-alive tells the known description again, in seconds.

Loads older than 3 s are unknown to homes, and leases are compared with reports of the last 2 s,
so an unchanged one is news, too.
"""


class FeedState(enum.Enum):
    """How an engine is followed at the moment."""

    WAITING = "waiting"
    OPENING = "opening"
    OPEN = "open"
    POLLED = "polled"


@dataclass(frozen=True, slots=True)
class Target:
    """An engine to follow; ``cache_events`` is whether these are wanted."""

    runner: str
    address: str
    cache_events: bool


class FollowedEngine:
    """The state of following one engine.

    Attributes:
        target: which engine.
        state: see :class:`FeedState`.
        position: how far its cache events are known.
        next_try: when to open the next stream; means nothing while one is open or opening.
        look_at: nothing is due before; see :meth:`is_due` and :meth:`is_silent`.
        last_word_at: when the engine last said anything.
        reconnects, gaps: counts since it is followed.
    """

    def __init__(self, target: Target, now: float, rng: random.Random) -> None:
        self.target = target
        self.state = FeedState.WAITING
        self.position = FeedPosition()
        self.next_try = now
        self.last_word_at = now
        self.look_at = now
        self.reconnects = 0
        self.gaps = 0
        self._rng = rng
        self._pause_s = FIRST_RETRY_S
        self._description: RunnerDescription | None = None
        self._told_at = now
        self._opened_at = now
        self._silent_since = now

    def is_due(self, now: float) -> bool:
        """Whether a stream is to be opened now."""
        is_closed = self.state in (FeedState.WAITING, FeedState.POLLED)
        return is_closed and now >= self.next_try

    def opening(self, now: float) -> None:
        """A connection is being opened."""
        if self._description is None:
            self._silent_since = now
        self.next_try = self.look_at = now + OLDER_DIALECT_RETRY_S
        if self.state is FeedState.WAITING:
            self.state = FeedState.OPENING
            self.look_at = self._silent_since + SILENCE_S

    def pushed(self, pushes: list[Push], now: float) -> list[Event]:
        """Take in the events of one read."""
        if not pushes:
            return self.kept_alive(now)
        self._heard(now)
        events: list[Event] = []
        description = None
        for push in pushes:
            if push.description is not None:
                description = push.description
                # Before the cache events, which count only for the run that is known.
                events.append(RunnerDescribed(self.target.runner, description))
            self.position, changes = pushed_events(self.position, push)
            self.gaps += sum(change.gap for change in changes)
            events += [CacheEventsRead(self.target.runner, change) for change in changes]
        if description is not None:
            self._description = description
            self._told_at = now
        return events + self._retold(now)

    def kept_alive(self, now: float) -> list[Event]:
        """Take in a keep-alive."""
        self._heard(now)
        return self._retold(now)

    def broke(self, now: float) -> list[Event]:
        """The stream, or the attempt to open one, has ended without an answer to poll by."""
        if self.state is FeedState.POLLED:
            return []
        was_open = self.state is FeedState.OPEN
        has_worked = was_open and now - self._opened_at >= STABLE_S
        self.state = FeedState.WAITING
        self.reconnects += 1
        if has_worked:
            # At once: only this tells a stream that ended from an engine that is gone.
            self._pause_s = FIRST_RETRY_S
            self.next_try = self.look_at = now
        else:
            self._pause_s = min(2 * self._pause_s, MAXIMUM_RETRY_S)
            self.next_try = self.look_at = now + self._rng.uniform(0.5, 1.0) * self._pause_s
        # A stream that worked may end for its own reasons: the next attempt tells.
        return [] if was_open else self._unreachable()

    def is_polled(self, now: float) -> None:
        """The engine answers, but has no push stream."""
        self.state = FeedState.POLLED
        self.next_try = self.look_at = now + OLDER_DIALECT_RETRY_S

    def poll_failed(self, now: float) -> None:
        """A polled engine did not answer: find out by a stream that blocks nobody."""
        if self.state is FeedState.POLLED:
            self.state = FeedState.WAITING
            self.next_try = self.look_at = now

    def is_silent(self, now: float) -> bool:
        """Whether an engine that should speak has not for too long."""
        if self.state not in (FeedState.OPENING, FeedState.OPEN):
            return False
        self.look_at = self._silent_since + SILENCE_S
        return now > self.look_at

    def silenced(self, now: float) -> list[Event]:
        """The engine was silent for too long; its stream is closed by the driver."""
        self.state = FeedState.OPENING
        return self.broke(now)

    def _heard(self, now: float) -> None:
        if self.state is not FeedState.OPEN:
            self.state = FeedState.OPEN
            self._opened_at = now
            self.look_at = now + SILENCE_S
        self.last_word_at = self._silent_since = now

    def _retold(self, now: float) -> list[Event]:
        if self._description is None or now - self._told_at < RETELL_S:
            return []
        self._told_at = now
        return [RunnerDescribed(self.target.runner, self._description)]

    def _unreachable(self) -> list[Event]:
        self._description = None
        return [RunnerDescribed(self.target.runner, None)]
