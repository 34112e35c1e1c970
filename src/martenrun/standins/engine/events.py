"""Cache-event feed of the stand-in engine: numbered entries, late, with seeded losses."""

import collections
import random
import threading
from dataclasses import dataclass

import msgspec

MAXIMUM_ENTRIES = 10_000
"""Published entries kept; a reader further behind sees a gap."""


class FeedEntry(msgspec.Struct):
    """One entry; hashes are 8 bytes each; ``stored`` happened before ``removed``."""

    sequence: int
    stored: bytes = b""
    removed: bytes = b""


class FeedAnswer(msgspec.Struct):
    """Answer of ``GET /v1/cache-events``; ``last_sequence`` counts lost entries, too."""

    incarnation: str
    last_sequence: int
    entries: list[FeedEntry]


@dataclass(frozen=True)
class FeedFaults:
    """How late entries are published, in seconds, and how probably each one is lost."""

    lag_s: float = 0.0
    loss: float = 0.0
    seed: int = 0


class CacheEventFeed:
    """The feed of one engine incarnation; thread-safe.

    Args:
        incarnation: shown in each answer.
        faults: see :class:`FeedFaults`.
    """

    def __init__(self, incarnation: str, faults: FeedFaults) -> None:
        self._incarnation = incarnation
        self._faults = faults
        self._rng = random.Random(faults.seed)
        self._changed = threading.Condition()
        self._sequence = 0
        self._pending: collections.deque[tuple[float, int, FeedEntry | None]] = collections.deque()
        self._published: collections.deque[FeedEntry] = collections.deque(maxlen=MAXIMUM_ENTRIES)
        self._last_published = 0
        self._replays = 0

    def add(self, stored: bytes, removed: bytes, now: float) -> None:
        """Add an entry; it shows after the lag, unless it is lost."""
        if not stored and not removed:
            return
        with self._changed:
            self._sequence += 1
            is_lost = self._rng.random() < self._faults.loss
            entry = None if is_lost else FeedEntry(self._sequence, stored, removed)
            self._pending.append((now + self._faults.lag_s, self._sequence, entry))
            self._changed.notify_all()

    def replay(self, answers: int) -> None:
        """Let the next answers start again from the first entry kept, whatever is asked."""
        with self._changed:
            self._replays = answers

    def read(self, after: int, incarnation: str, now: float) -> FeedAnswer:
        """Return published entries after a sequence number of this incarnation."""
        with self._changed:
            while self._pending and self._pending[0][0] <= now:
                _due, self._last_published, entry = self._pending.popleft()
                if entry is not None:
                    self._published.append(entry)
            if incarnation != self._incarnation:
                after = 0
            if self._replays:
                self._replays -= 1
                after = 0
            return FeedAnswer(self._incarnation, self._last_published, self._after(after))

    def _after(self, sequence: int) -> list[FeedEntry]:
        """Return the published entries after a sequence number, looking from the newest back."""
        found: list[FeedEntry] = []
        for entry in reversed(self._published):
            if entry.sequence <= sequence:
                break
            found.append(entry)
        found.reverse()
        return found

    def wait(self, timeout_s: float) -> None:
        """Wait until an entry is added, or for ``timeout_s``."""
        with self._changed:
            self._changed.wait(timeout_s)
