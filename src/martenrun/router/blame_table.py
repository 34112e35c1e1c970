"""Attributes runner crashes to requests and decides which requests are blocked.

All requests that a runner serves when it crashes are recorded with that runner instance.  A single
crash is weak evidence, and a request that has completed since is not the cause.  Routers exchange
the crashed instances rather than counts, so that a crash seen by two routers counts once.

A request is blocked after CRASH_THRESHOLD instances have crashed while serving it.  More are
required where runners also crash for other reasons, so that coincidence could explain them.  The
block expires, later with each crash.  One further crash then renews it, so that all routers
together lose one or two runners each time.

Callers pass in the time; nothing here reads a clock.
"""

import collections
import math

import attrs
import msgspec

from martenrun.router.blame_messages import BlameRecord
from martenrun.router.fingerprint import CALLER_BYTES, OUTLINE_BYTES

DEADLY_AFTER = 3
"""Minimum number of crashed instances before a request is blocked."""

MOST_ASKED_FOR = 5
"""Upper bound of the threshold at any crash rate; users accept few more than three crashes."""

DEADLY_AFTER_SUCCESS = 6
"""Minimum for a request that has completed before, which a crash-causing request never does."""

CHANCE = 1e-6
"""Accepted probability that a run of crashes is a coincidence.

With a fixed threshold of three, 70 of 200,000 requests are blocked wrongly if one of eight runners
crashes each second; with this bound none of a million is (docs/design/deadly-requests.md).
"""

CHANCE_WINDOW_S = 30.0
"""Window over which the rate of unrelated crashes is computed, in seconds."""

UNKNOWN_RUNNERS = 8
"""Runners assumed before the list is known, so that a starting router can block requests too."""

MOST_ENDS = 4_096
"""Maximum number of crashes kept for the rate: one per second for an hour takes 300 KB."""

RUN_S = 0.5
"""Assumed duration of a run, in seconds; a short stream takes 0.1, a long one 1."""

FIRST_HELD_S = 3_600.0
LONGEST_HELD_S = 7 * 86_400.0
"""Initial and maximum block duration after the last crash, in seconds; each crash doubles it."""

HELD_AFTER_SUCCESS_S = 10.0
"""Initial block duration for a request that has completed before, in seconds; doubles as well.

When all runners crash in turn, frequent requests are affected by many of the crashes and must be
served again once the runners are stable.  The duration is capped at INITIAL_BLOCK_S, the initial
one of a request that has never completed.
"""

SUSPECTED_S = 86_400.0
"""How long a record is kept after its last update or the end of its block, in seconds."""

MOST_BLAMED = 512
"""Maximum number of records, about 100 bytes each; those with the least evidence are evicted."""

MOST_OF_ONE_CALLER = MOST_BLAMED // 4
"""Maximum per caller, so that one caller's requests cannot evict those of all others."""

KEPT_LONGER_S = 600.0
"""How much longer a record is kept per crash when records are evicted, in seconds."""

MOST_STARTS = 12
"""Maximum number of crashes per record; with this many the block duration is at its maximum."""

MS_PER_S = 1000.0


@attrs.define
class Blame:
    """The runner instances that crashed while serving one request, and its last completion."""

    ended: dict[str, float] = attrs.field(factory=dict)
    whole_at: float = -math.inf

    @property
    def last_at(self) -> float:
        """The time of the last crash or completion."""
        return max([self.whole_at, *self.ended.values()])

    @property
    def count(self) -> int:
        """The number of instances that crashed while serving it since it last completed."""
        return sum(at > self.whole_at for at in self.ended.values())

    @property
    def has_run_whole(self) -> bool:
        """Whether the request is known to have completed."""
        return self.whole_at != -math.inf

    @property
    def least_asked_for(self) -> int:
        """The number of crashes required if no unrelated crashes occur."""
        return DEADLY_AFTER_SUCCESS if self.has_run_whole else DEADLY_AFTER

    def held_until(self) -> float:
        """Return when the block ends, provided that there are enough crashes for one."""
        last_at = max(self.ended.values())
        doubled = 2 ** max(0, self.count - self.least_asked_for)
        if self.has_run_whole:
            return last_at + min(FIRST_HELD_S, HELD_AFTER_SUCCESS_S * doubled)
        return last_at + min(LONGEST_HELD_S, FIRST_HELD_S * doubled)

    def is_told(self, record: BlameRecord | None) -> bool:
        """Whether a record contains everything that is known here."""
        if record is None or (record.whole_ms is None and self.has_run_whole):
            return False
        return self.ended.keys() <= {start for start, _ in record.ended}

    def forgotten_at(self) -> float:
        """Return when the record can be dropped."""
        held_until = self.held_until() if self.count >= self.least_asked_for else -math.inf
        return max(self.last_at, held_until) + SUSPECTED_S


class BlamedRequest(msgspec.Struct):
    """A crash record as shown to operators.

    Attributes:
        starts: runner instances that crashed while serving it since it last completed.
        held_for_s: remaining block duration in seconds; 0 if it is not blocked.
        has_run_whole: whether it is known to have completed.
    """

    fingerprint: str
    starts: int
    held_for_s: float
    has_run_whole: bool


class BlameTable:
    """The crash records of all requests, by fingerprint.

    Attributes:
        runners: the number of listed runners; 0 while it is not known.
    """

    def __init__(self) -> None:
        self.runners = 0
        self._blamed: dict[bytes, Blame] = {}
        self._outlines: collections.Counter[bytes] = collections.Counter()
        self._ends: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._blamed)

    def knows_outline(self, outline: bytes) -> bool:
        """Whether there may be a record of a request whose fingerprint has this prefix."""
        return outline in self._outlines

    def knows(self, fingerprint: bytes) -> bool:
        """Whether there is a record of a request."""
        return fingerprint in self._blamed

    def starts(self, fingerprint: bytes) -> int:
        """Return how many instances crashed while serving a request since it last completed."""
        blame = self._blamed.get(fingerprint)
        return 0 if blame is None else blame.count

    def held_for_s(self, fingerprint: bytes, now: float) -> float:
        """Return the remaining block duration of a request in seconds; 0 if it is not blocked."""
        blame = self._blamed.get(fingerprint)
        if blame is None or blame.count < blame.least_asked_for:
            return 0.0
        left_s = max(0.0, blame.held_until() - now)
        return left_s if left_s and blame.count >= self._asked_for(blame) else 0.0

    def held(self, now: float) -> list[bytes]:
        """Return the fingerprints of the blocked requests."""
        return [key for key in self._blamed if self.held_for_s(key, now) > 0]

    def note_ended(self, fingerprint: bytes, start: str, at: float) -> bool:
        """Record that an instance crashed while serving a request; return whether that is new."""
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
        """Record that a request completed; return whether that changes its record materially.

        Repeated completions of a cleared request are not broadcast again.
        """
        blame = self._blamed.get(fingerprint)
        if blame is None:
            return False
        was_blamed = blame.count > 0 or not blame.has_run_whole
        blame.whole_at = max(blame.whole_at, at)
        return was_blamed

    def listed(self, now: float) -> list[BlamedRequest]:
        """Return all records as shown to operators, blocked requests first."""
        known = [
            BlamedRequest(
                key.hex(), blame.count, round(self.held_for_s(key, now), 1), blame.has_run_whole
            )
            for key, blame in self._blamed.items()
        ]
        return sorted(known, key=lambda item: (-item.held_for_s, -item.starts))

    def records(self, now: float, only: set[bytes] | None = None) -> list[BlameRecord]:
        """Return all records, or those of some requests, with ages in milliseconds."""
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
        """Merge records from another router or the store; return the changed fingerprints."""
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
        """Return the requests whose records here contain more than the given records."""
        told = {record.fingerprint: record for record in records}
        return {key for key, blame in self._blamed.items() if not blame.is_told(told.get(key))}

    def forget(self, now: float) -> None:
        """Drop expired records."""
        if len(self._ends) > MOST_ENDS:
            newest = sorted(self._ends.items(), key=lambda item: item[1])[-MOST_ENDS // 2 :]
            self._ends = dict(newest)
        for key in [k for k, blame in self._blamed.items() if blame.forgotten_at() < now]:
            self._drop(key)

    def _asked_for(self, blame: Blame) -> int:
        """Return the number of crashes in a row that coincidence does not explain.

        Only crashes up to the request's last one are considered, so that later unrelated crashes do
        not unblock it.
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
        """Count crashes shortly before a request's last one that no crash-causing request explains.

        A request with CRASH_THRESHOLD crashes explains them: other requests on those instances only
        shared a runner with it.
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
        """Evict the record with the least evidence, first of a caller that has too many."""
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
