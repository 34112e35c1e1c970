"""Which requests end the runners that run them: evidence, merged as sets, and what follows from it.

A request is blamed for a *start* of a runner that ended while it ran there.  Every run beside it
ends with it, so that one end says little; but whoever has run whole since is not to blame.  What
routers tell each other are starts, never counts: what two routers saw of the same end is one.

A request under which DEADLY_AFTER starts have ended is held back; more are asked for where runners
end without it as well, so that chance would do.  That belief ends by itself, the later the more
starts have ended; then a single further end renews it, so that all routers together send such a
request to one or two runners more each time.  Pure, apart from the times handed in.
"""

import collections
import math

import attrs
import msgspec

from martenrun.router.blame_messages import BlameRecord
from martenrun.router.fingerprint import CALLER_BYTES, OUTLINE_BYTES

DEADLY_AFTER = 3
"""Starts that must have ended under a request, at least, until it is held back."""

MOST_ASKED_FOR = 5
"""The same at most, however often runners end by chance: users allow few more than three."""

DEADLY_AFTER_SUCCESS = 6
"""The same, at least, of a request that is known to have run whole: a deadly one never does."""

CHANCE = 1e-6
"""How likely chance alone may end so many starts in a row under a request.

With three in any case 70 of 200,000 requests are held back where one of eight runners ends each
second; with this none of a million (docs/design/deadly-requests.md).
"""

CHANCE_WINDOW_S = 30.0
"""For how long an end counts for how often runners end by chance, in seconds."""

UNKNOWN_RUNNERS = 8
"""Runners reckoned with until a list of them is known: a router that starts must hold back too."""

MOST_ENDS = 4_096
"""Ends remembered for that, at most: an hour of one a second, in 300 KB."""

RUN_S = 0.5
"""How long a run is reckoned to take, in seconds: a short stream takes 0.1, a long one 1."""

FIRST_HELD_S = 3_600.0
LONGEST_HELD_S = 7 * 86_400.0
"""How long a request is held back after the last start ended under it; twice as long each time."""

HELD_AFTER_SUCCESS_S = 10.0
"""The same, at first, for a request that is known to have run whole; twice as long each time.

Where all runners end in turn everything that is asked for often ends with them, and must be served
again when they stay; only an hour without a success makes it as bad as one that never had any.
"""

SUSPECTED_S = 86_400.0
"""How long fewer ends, or that a request ran whole, are remembered, in seconds."""

MOST_BLAMED = 512
"""Requests remembered, of 100 bytes or so each; those blamed least and longest ago give way."""

MOST_OF_ONE_CALLER = MOST_BLAMED // 4
"""The same for one caller, so that its many deadly requests push out nobody else's."""

KEPT_LONGER_S = 600.0
"""How much longer a request is kept for each end, where memory is short, in seconds."""

MOST_STARTS = 12
"""Starts remembered of one request: with so many it is held back for the longest time."""

MS_PER_S = 1000.0


@attrs.define
class Blame:
    """What is known of one request: the starts that ended under it, and when it last ran whole."""

    ended: dict[str, float] = attrs.field(factory=dict)
    whole_at: float = -math.inf

    @property
    def last_at(self) -> float:
        """When something was last learned of it."""
        return max([self.whole_at, *self.ended.values()])

    @property
    def count(self) -> int:
        """Starts that ended under it and that no success since has cleared it of."""
        return sum(at > self.whole_at for at in self.ended.values())

    @property
    def has_run_whole(self) -> bool:
        """Whether it is known to have run whole."""
        return self.whole_at != -math.inf

    @property
    def least_asked_for(self) -> int:
        """How many of them make it deadly where runners never end by chance."""
        return DEADLY_AFTER_SUCCESS if self.has_run_whole else DEADLY_AFTER

    def held_until(self) -> float:
        """Return until when it is held back, if the starts that ended under it are enough."""
        last_at = max(self.ended.values())
        doubled = 2 ** max(0, self.count - self.least_asked_for)
        if self.has_run_whole:
            return last_at + min(FIRST_HELD_S, HELD_AFTER_SUCCESS_S * doubled)
        return last_at + min(LONGEST_HELD_S, FIRST_HELD_S * doubled)

    def is_told(self, record: BlameRecord | None) -> bool:
        """Whether a record tells all that is known."""
        if record is None or (record.whole_ms is None and self.has_run_whole):
            return False
        return self.ended.keys() <= {start for start, _ in record.ended}

    def forgotten_at(self) -> float:
        """Return when nothing of it matters any more."""
        held_until = self.held_until() if self.count >= self.least_asked_for else -math.inf
        return max(self.last_at, held_until) + SUSPECTED_S


class BlamedRequest(msgspec.Struct):
    """What operators are told of one request.

    Attributes:
        starts: starts that ended under it since it last ran whole.
        held_for_s: for how long it is still held back, in seconds; 0 if it is not.
    """

    fingerprint: str
    starts: int
    held_for_s: float
    has_run_whole: bool


class BlameTable:
    """What is known of all blamed requests, by fingerprint.

    Attributes:
        runners: how many runners are listed; 0 while that is not known.
    """

    def __init__(self) -> None:
        self.runners = 0
        self._blamed: dict[bytes, Blame] = {}
        self._outlines: collections.Counter[bytes] = collections.Counter()
        self._ends: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._blamed)

    def knows_outline(self, outline: bytes) -> bool:
        """Whether a request of that outline may be known."""
        return outline in self._outlines

    def knows(self, fingerprint: bytes) -> bool:
        """Whether anything is known of a request."""
        return fingerprint in self._blamed

    def starts(self, fingerprint: bytes) -> int:
        """Return how many starts ended under a request since it last ran whole."""
        blame = self._blamed.get(fingerprint)
        return 0 if blame is None else blame.count

    def held_for_s(self, fingerprint: bytes, now: float) -> float:
        """Return for how long a request is still held back, in seconds; 0 if it is not."""
        blame = self._blamed.get(fingerprint)
        if blame is None or blame.count < blame.least_asked_for:
            return 0.0
        left_s = max(0.0, blame.held_until() - now)
        return left_s if left_s and blame.count >= self._asked_for(blame) else 0.0

    def held(self, now: float) -> list[bytes]:
        """Return the requests that are held back."""
        return [key for key in self._blamed if self.held_for_s(key, now) > 0]

    def note_ended(self, fingerprint: bytes, start: str, at: float) -> bool:
        """Take in that a start ended under a request; return whether that is news."""
        blame = self._blamed.get(fingerprint)
        if blame is None:
            blame = self._add(fingerprint)
        self._ends[start] = min(at, self._ends.get(start, at))
        known_at = blame.ended.get(start)
        blame.ended[start] = at if known_at is None else min(at, known_at)
        if len(blame.ended) > MOST_STARTS:
            del blame.ended[min(blame.ended, key=blame.ended.__getitem__)]
        if known_at is None:
            self._make_room()
        return known_at is None

    def note_whole(self, fingerprint: bytes, at: float) -> bool:
        """Take in that a request of which something is known ran whole; return whether it helps.

        One that is clear is not told of again and again.
        """
        blame = self._blamed.get(fingerprint)
        if blame is None:
            return False
        was_blamed = blame.count > 0 or not blame.has_run_whole
        blame.whole_at = max(blame.whole_at, at)
        return was_blamed

    def listed(self, now: float) -> list[BlamedRequest]:
        """Return what is known of all requests, those held back first."""
        known = [
            BlamedRequest(
                key.hex(), blame.count, round(self.held_for_s(key, now), 1), blame.has_run_whole
            )
            for key, blame in self._blamed.items()
        ]
        return sorted(known, key=lambda item: (-item.held_for_s, -item.starts))

    def records(self, now: float, only: set[bytes] | None = None) -> list[BlameRecord]:
        """Return what is known of some requests, or of all, with ages in milliseconds."""
        return [
            BlameRecord(
                key,
                [(start, _age_ms(at, now)) for start, at in blame.ended.items()],
                _age_ms(blame.whole_at, now) if blame.has_run_whole else None,
            )
            for key, blame in self._blamed.items()
            if only is None or key in only
        ]

    def merge(self, records: list[BlameRecord], now: float) -> set[bytes]:
        """Take in what another router, or the store, tells; return what is news."""
        news = set()
        for record in records:
            if len(record.fingerprint) <= OUTLINE_BYTES:
                continue
            for start, age_ms in record.ended[-MOST_STARTS:]:
                if self.note_ended(record.fingerprint, start, now - age_ms / MS_PER_S):
                    news.add(record.fingerprint)
            if record.whole_ms is not None and self.note_whole(
                record.fingerprint, now - record.whole_ms / MS_PER_S
            ):
                news.add(record.fingerprint)
        return news

    def lacking(self, records: list[BlameRecord]) -> set[bytes]:
        """Return the requests of which the records do not tell all that is known here."""
        told = {record.fingerprint: record for record in records}
        return {key for key, blame in self._blamed.items() if not blame.is_told(told.get(key))}

    def forget(self, now: float) -> None:
        """Drop what does not matter any more."""
        if len(self._ends) > MOST_ENDS:
            newest = sorted(self._ends.items(), key=lambda item: item[1])[-MOST_ENDS // 2 :]
            self._ends = dict(newest)
        for key in [k for k, blame in self._blamed.items() if blame.forgotten_at() < now]:
            self._drop(key)

    def _asked_for(self, blame: Blame) -> int:
        """Return under how many starts in a row nobody comes by chance, as runners ended then.

        What ends after the last of them changes nothing: a request is not let go for it.
        """
        chance = (
            RUN_S * self._chance_ends(blame) / CHANCE_WINDOW_S / (self.runners or UNKNOWN_RUNNERS)
        )
        asked_for = blame.least_asked_for
        if chance > 0:
            in_a_row = math.log(CHANCE) / math.log(min(0.99, chance))
            asked_for = max(asked_for, math.ceil(in_a_row))
        return asked_for if blame.has_run_whole else min(MOST_ASKED_FOR, asked_for)

    def _chance_ends(self, blame: Blame) -> int:
        """Return how many starts ended before a request's last one under nothing that is deadly.

        What has ended three starts itself explains them: beside it others are met by its ends.
        """
        last_at = max(blame.ended.values())
        explained = set() if blame.has_run_whole else set(blame.ended)
        for other in self._blamed.values():
            if other.count >= DEADLY_AFTER and not other.has_run_whole:
                explained |= other.ended.keys()
        return sum(
            last_at - CHANCE_WINDOW_S < at <= last_at and start not in explained
            for start, at in self._ends.items()
        )

    def _add(self, fingerprint: bytes) -> Blame:
        blame = self._blamed[fingerprint] = Blame()
        self._outlines[fingerprint[:OUTLINE_BYTES]] += 1
        return blame

    def _drop(self, fingerprint: bytes) -> None:
        del self._blamed[fingerprint]
        outline = fingerprint[:OUTLINE_BYTES]
        self._outlines[outline] -= 1
        if not self._outlines[outline]:
            del self._outlines[outline]

    def _make_room(self) -> None:
        """Let those blamed least and longest ago give way: first of a caller that has too many."""
        callers = collections.Counter(key[:CALLER_BYTES] for key in self._blamed)
        caller, count = callers.most_common(1)[0]
        if count > MOST_OF_ONE_CALLER:
            keys = [key for key in self._blamed if key[:CALLER_BYTES] == caller]
        elif len(self._blamed) > MOST_BLAMED:
            keys = list(self._blamed)
        else:
            return
        self._drop(min(keys, key=self._weight))

    def _weight(self, fingerprint: bytes) -> tuple[bool, float]:
        blame = self._blamed[fingerprint]
        is_enough = blame.count >= blame.least_asked_for
        return is_enough, blame.last_at + KEPT_LONGER_S * blame.count


def _age_ms(at: float, now: float) -> int:
    return max(0, int((now - at) * MS_PER_S))
