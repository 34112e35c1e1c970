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

from martenrun.router.crashes.fingerprint import CALLER_BYTES, PREFIX_BYTES
from martenrun.router.crashes.messages import CrashRecord

CRASH_THRESHOLD = 3
"""Minimum number of crashed instances before a request is blocked."""

MAX_CRASH_THRESHOLD = 5
"""Upper bound of the threshold at any crash rate; users accept few more than three crashes."""

CRASH_THRESHOLD_AFTER_SUCCESS = 6
"""Minimum for a request that has completed before, which a crash-causing request never does."""

COINCIDENCE_PROBABILITY = 1e-6
"""Accepted probability that a run of crashes is a coincidence.

With a fixed threshold of three, 70 of 200,000 requests are blocked wrongly if one of eight runners
crashes each second; with this bound none of a million is (docs/design/deadly-requests.md).
"""

CRASH_RATE_WINDOW_S = 30.0
"""Window over which the rate of unrelated crashes is computed, in seconds."""

ASSUMED_RUNNERS = 8
"""Runners assumed before the list is known, so that a starting router can block requests too."""

MAX_RECENT_CRASHES = 4_096
"""Maximum number of crashes kept for the rate: one per second for an hour takes 300 KB."""

ASSUMED_RUN_S = 0.5
"""Assumed duration of a run, in seconds; a short stream takes 0.1, a long one 1."""

INITIAL_BLOCK_S = 3_600.0
MAX_BLOCK_S = 7 * 86_400.0
"""Initial and maximum block duration after the last crash, in seconds; each crash doubles it."""

INITIAL_BLOCK_AFTER_SUCCESS_S = 10.0
"""Initial block duration for a request that has completed before, in seconds; doubles as well.

When all runners crash in turn, frequent requests are affected by many of the crashes and must be
served again once the runners are stable.  The duration is capped at INITIAL_BLOCK_S, the initial
one of a request that has never completed.
"""

RETENTION_S = 86_400.0
"""How long a record is kept after its last update or the end of its block, in seconds."""

MAX_RECORDS = 512
"""Maximum number of records, about 100 bytes each; those with the least evidence are evicted."""

MAX_RECORDS_PER_CALLER = MAX_RECORDS // 4
"""Maximum per caller, so that one caller's requests cannot evict those of all others."""

RETENTION_PER_CRASH_S = 600.0
"""How much longer a record is kept per crash when records are evicted, in seconds."""

MAX_CRASHES_PER_RECORD = 12
"""Maximum number of crashes per record; with this many the block duration is at its maximum."""

MS_PER_S = 1000.0


@attrs.define
class CrashHistory:
    """The runner instances that crashed while serving one request, and its last completion."""

    crashes: dict[str, float] = attrs.field(factory=dict)
    completed_at: float = -math.inf

    @property
    def updated_at(self) -> float:
        """The time of the last crash or completion."""
        return max([self.completed_at, *self.crashes.values()])

    @property
    def crash_count(self) -> int:
        """The number of instances that crashed while serving it since it last completed."""
        return sum(at > self.completed_at for at in self.crashes.values())

    @property
    def has_completed(self) -> bool:
        """Whether the request is known to have completed."""
        return self.completed_at != -math.inf

    @property
    def min_threshold(self) -> int:
        """The number of crashes required if no unrelated crashes occur."""
        return CRASH_THRESHOLD_AFTER_SUCCESS if self.has_completed else CRASH_THRESHOLD

    def blocked_until(self) -> float:
        """Return when the block ends, provided that there are enough crashes for one."""
        last_at = max(self.crashes.values())
        factor = 2 ** max(0, self.crash_count - self.min_threshold)
        if self.has_completed:
            return last_at + min(INITIAL_BLOCK_S, INITIAL_BLOCK_AFTER_SUCCESS_S * factor)
        return last_at + min(MAX_BLOCK_S, INITIAL_BLOCK_S * factor)

    def is_contained_in(self, record: CrashRecord | None) -> bool:
        """Whether a record contains everything that is known here."""
        if record is None or (record.completed_ms is None and self.has_completed):
            return False
        return self.crashes.keys() <= {instance for instance, _ in record.crashes}

    def expires_at(self) -> float:
        """Return when the record can be dropped."""
        blocked_until = (
            self.blocked_until() if self.crash_count >= self.min_threshold else -math.inf
        )
        return max(self.updated_at, blocked_until) + RETENTION_S


class CrashSummary(msgspec.Struct):
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


class CrashTable:
    """The crash records of all requests, by fingerprint.

    Attributes:
        runners: the number of listed runners; 0 while it is not known.
    """

    def __init__(self) -> None:
        self.runners = 0
        self._histories: dict[bytes, CrashHistory] = {}
        self._prefix_counts: collections.Counter[bytes] = collections.Counter()
        self._recent_crashes: dict[str, float] = {}

    def __len__(self) -> int:
        return len(self._histories)

    def has_prefix(self, prefix: bytes) -> bool:
        """Whether there may be a record of a request whose fingerprint has this prefix."""
        return prefix in self._prefix_counts

    def has_record(self, fingerprint: bytes) -> bool:
        """Whether there is a record of a request."""
        return fingerprint in self._histories

    def crash_count(self, fingerprint: bytes) -> int:
        """Return how many instances crashed while serving a request since it last completed."""
        history = self._histories.get(fingerprint)
        return 0 if history is None else history.crash_count

    def blocked_for_s(self, fingerprint: bytes, now: float) -> float:
        """Return the remaining block duration of a request in seconds; 0 if it is not blocked."""
        history = self._histories.get(fingerprint)
        if history is None or history.crash_count < history.min_threshold:
            return 0.0
        remaining_s = max(0.0, history.blocked_until() - now)
        return (
            remaining_s
            if remaining_s and history.crash_count >= self._crash_threshold(history)
            else 0.0
        )

    def blocked(self, now: float) -> list[bytes]:
        """Return the fingerprints of the blocked requests."""
        return [key for key in self._histories if self.blocked_for_s(key, now) > 0]

    def record_crash(self, fingerprint: bytes, instance: str, at: float) -> bool:
        """Record that an instance crashed while serving a request; return whether that is new."""
        history = self._histories.get(fingerprint)
        if history is None:
            history = self._add(fingerprint)
        self._recent_crashes[instance] = min(at, self._recent_crashes.get(instance, at))
        recorded_at = history.crashes.get(instance)
        history.crashes[instance] = at if recorded_at is None else min(at, recorded_at)
        if len(history.crashes) > MAX_CRASHES_PER_RECORD:
            del history.crashes[min(history.crashes, key=history.crashes.__getitem__)]
        if recorded_at is None:
            self._evict()
        return recorded_at is None

    def record_completion(self, fingerprint: bytes, at: float) -> bool:
        """Record that a request completed; return whether that changes its record materially.

        Repeated completions of a cleared request are not broadcast again.
        """
        history = self._histories.get(fingerprint)
        if history is None:
            return False
        was_suspected = history.crash_count > 0 or not history.has_completed
        history.completed_at = max(history.completed_at, at)
        return was_suspected

    def summaries(self, now: float) -> list[CrashSummary]:
        """Return all records as shown to operators, blocked requests first."""
        summaries = [
            CrashSummary(
                key.hex(),
                history.crash_count,
                round(self.blocked_for_s(key, now), 1),
                history.has_completed,
            )
            for key, history in self._histories.items()
        ]
        return sorted(summaries, key=lambda item: (-item.held_for_s, -item.starts))

    def records(self, now: float, only: set[bytes] | None = None) -> list[CrashRecord]:
        """Return all records, or those of some requests, with ages in milliseconds."""
        return [
            CrashRecord(
                key,
                [(instance, _age_ms(at, now)) for instance, at in history.crashes.items()],
                _age_ms(history.completed_at, now) if history.has_completed else None,
            )
            for key, history in self._histories.items()
            if only is None or key in only
        ]

    def merge(self, records: list[CrashRecord], now: float) -> set[bytes]:
        """Merge records from another router or the store; return the changed fingerprints."""
        changed = set()
        for record in records:
            if len(record.fingerprint) <= PREFIX_BYTES:
                continue
            for instance, age_ms in record.crashes[-MAX_CRASHES_PER_RECORD:]:
                if self.record_crash(record.fingerprint, instance, now - age_ms / MS_PER_S):
                    changed.add(record.fingerprint)
            if record.completed_ms is not None and self.record_completion(
                record.fingerprint, now - record.completed_ms / MS_PER_S
            ):
                changed.add(record.fingerprint)
        return changed

    def missing_from(self, records: list[CrashRecord]) -> set[bytes]:
        """Return the requests whose records here contain more than the given records."""
        given = {record.fingerprint: record for record in records}
        return {
            key
            for key, history in self._histories.items()
            if not history.is_contained_in(given.get(key))
        }

    def drop_expired(self, now: float) -> None:
        """Drop expired records."""
        if len(self._recent_crashes) > MAX_RECENT_CRASHES:
            newest = sorted(self._recent_crashes.items(), key=lambda item: item[1])[
                -MAX_RECENT_CRASHES // 2 :
            ]
            self._recent_crashes = dict(newest)
        for key in [k for k, history in self._histories.items() if history.expires_at() < now]:
            self._drop(key)

    def _crash_threshold(self, history: CrashHistory) -> int:
        """Return the number of crashes in a row that coincidence does not explain.

        Only crashes up to the request's last one are considered, so that later unrelated crashes do
        not unblock it.
        """
        probability = (
            ASSUMED_RUN_S
            * self._unrelated_crashes(history)
            / CRASH_RATE_WINDOW_S
            / (self.runners or ASSUMED_RUNNERS)
        )
        threshold = history.min_threshold
        if probability > 0:
            crashes_in_a_row = math.log(COINCIDENCE_PROBABILITY) / math.log(min(0.99, probability))
            threshold = max(threshold, math.ceil(crashes_in_a_row))
        return threshold if history.has_completed else min(MAX_CRASH_THRESHOLD, threshold)

    def _unrelated_crashes(self, history: CrashHistory) -> int:
        """Count crashes shortly before a request's last one that no crash-causing request explains.

        A request with CRASH_THRESHOLD crashes explains them: other requests on those instances only
        shared a runner with it.
        """
        last_at = max(history.crashes.values())
        explained = set() if history.has_completed else set(history.crashes)
        for other in self._histories.values():
            if other.crash_count >= CRASH_THRESHOLD and not other.has_completed:
                explained |= other.crashes.keys()
        return sum(
            last_at - CRASH_RATE_WINDOW_S < at <= last_at and instance not in explained
            for instance, at in self._recent_crashes.items()
        )

    def _add(self, fingerprint: bytes) -> CrashHistory:
        history = self._histories[fingerprint] = CrashHistory()
        self._prefix_counts[fingerprint[:PREFIX_BYTES]] += 1
        return history

    def _drop(self, fingerprint: bytes) -> None:
        del self._histories[fingerprint]
        prefix = fingerprint[:PREFIX_BYTES]
        self._prefix_counts[prefix] -= 1
        if not self._prefix_counts[prefix]:
            del self._prefix_counts[prefix]

    def _evict(self) -> None:
        """Evict the record with the least evidence, first of a caller that has too many."""
        callers = collections.Counter(key[:CALLER_BYTES] for key in self._histories)
        caller, count = callers.most_common(1)[0]
        if count > MAX_RECORDS_PER_CALLER:
            keys = [key for key in self._histories if key[:CALLER_BYTES] == caller]
        elif len(self._histories) > MAX_RECORDS:
            keys = list(self._histories)
        else:
            return
        self._drop(min(keys, key=self._eviction_rank))

    def _eviction_rank(self, fingerprint: bytes) -> tuple[bool, float]:
        history = self._histories[fingerprint]
        has_enough_crashes = history.crash_count >= history.min_threshold
        return has_enough_crashes, history.updated_at + RETENTION_PER_CRASH_S * history.crash_count


def _age_ms(at: float, now: float) -> int:
    return max(0, int((now - at) * MS_PER_S))
