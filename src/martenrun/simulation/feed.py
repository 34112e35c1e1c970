"""The cache-event feed of a simulated engine: numbered entries, late and with losses."""

from martenrun.backends.cache_events import (
    CacheEvents,
    FeedAnswer,
    FeedEntry,
    FeedPosition,
    take_in,
)
from martenrun.simulation.scheduler import Scheduler

FEED_LAG_S = 0.3

LATE_ANSWER_S = 1.5
"""How much later answers arrive while a feed loses entries, in seconds."""


class SimulatedFeed:
    """Entries of one incarnation; each can be read ``FEED_LAG_S`` after it was written.

    While ``is_losing`` new entries are lost, and answers arrive late, possibly after a restart
    of the engine and in another order; the numbers of lost entries show in the answers.
    """

    def __init__(self, scheduler: Scheduler, incarnation: str) -> None:
        self.is_losing = False
        self._scheduler = scheduler
        self._incarnation = incarnation
        self._sequence = 0
        self._entries: list[tuple[float, FeedEntry]] = []
        self._lost: list[tuple[float, int]] = []

    @property
    def answer_delay_s(self) -> float:
        """How much later than usual an answer arrives now, in seconds."""
        return LATE_ANSWER_S if self.is_losing else 0.0

    def write(self, stored: list[bytes], removed: list[bytes]) -> None:
        """Add an entry."""
        self._sequence += 1
        due_s = self._scheduler.now + FEED_LAG_S
        if self.is_losing:
            self._lost.append((due_s, self._sequence))
            return
        entry = FeedEntry(self._sequence, b"".join(stored), b"".join(removed))
        self._entries.append((due_s, entry))

    def answer(self, after: int) -> FeedAnswer:
        """Return the entries after a sequence that can be read now."""
        now = self._scheduler.now
        known = [entry for due_s, entry in self._entries if due_s <= now]
        numbers = [entry.sequence for entry in known]
        numbers += [sequence for due_s, sequence in self._lost if due_s <= now]
        fresh = [entry for entry in known if entry.sequence > after]
        return FeedAnswer(self._incarnation, max(numbers, default=0), fresh)


class SimulatedFeedReader:
    """Reads the feeds of engines as the real adapter does, by runner name."""

    def __init__(self) -> None:
        self._positions: dict[str, FeedPosition] = {}

    def read(self, runner: str, incarnation: str, feed: SimulatedFeed) -> CacheEvents | None:
        """Return what is new in a runner's feed, or None."""
        position = self._positions.get(runner, FeedPosition())
        after = position.sequence if position.incarnation == incarnation else 0
        self._positions[runner], events = take_in(position, feed.answer(after))
        return events
