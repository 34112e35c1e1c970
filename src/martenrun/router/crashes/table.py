"""Attributes runner crashes to requests and decides which requests are blocked.

All requests that a runner serves when it crashes are recorded with that runner instance.  A single
crash is weak evidence, and a request that has completed since is not the cause.  The same holds for
each part of a prompt: any request that completes with it clears it.  Routers
exchange the crashed instances rather than counts, so that a crash seen by two routers counts once.

A request is blocked after CRASH_THRESHOLD instances have crashed while serving it.  More are
required where runners also crash for other reasons, so that coincidence could explain them.  The
block expires, later with each crash.  One further crash then renews it, so that all routers
together lose one or two runners each time.

A part may have been met only beside the one that causes the crashes.  A prompt that has a part with
enough crashes, but lacks others which would explain all of them, is therefore not blocked: it may
be tried, one request at a time, and either clears the part or is evidence against it alone.

Callers pass in the time; nothing here reads a clock.
"""

import collections
import math
from collections.abc import Collection

import msgspec

from martenrun.router.crashes.features import PART_TAG, part_name
from martenrun.router.crashes.fingerprint import CALLER_BYTES, PREFIX_BYTES
from martenrun.router.crashes.history import (
    CRASH_THRESHOLD,
    MAX_CRASHES_PER_RECORD,
    CrashHistory,
)
from martenrun.router.crashes.messages import CrashRecord

MAX_CRASH_THRESHOLD = 5
"""Upper bound of the threshold at any crash rate; users accept few more than three crashes."""

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

MAX_RECORDS = 512
"""Maximum number of records, about 100 bytes each; those with the least evidence are evicted."""

MAX_RECORDS_PER_CALLER = MAX_RECORDS // 4
"""Maximum per caller, so that one caller's requests cannot evict those of all others."""

MAX_PART_RECORDS = 512
"""Maximum number of records of parts, which no caller owns; 100 to 400 bytes each."""

RETENTION_PER_CRASH_S = 600.0
"""How much longer a record is kept per crash when records are evicted, in seconds."""

MAX_UNEXPLAINED = 1
"""Crashes of a part that others may leave unexplained: a runner may crash by chance as well."""

MS_PER_S = 1000.0


class CrashSummary(msgspec.Struct):
    """A crash record as shown to operators.

    Attributes:
        starts: runner instances that crashed while serving it since it last completed.
        held_for_s: remaining block duration in seconds; 0 if it is not blocked.
        has_run_whole: whether it is known to have completed.
        part: id of the part of prompts that it is about; None for a whole request.
        met_beside: other parts that all crashed requests had and no completed one.
    """

    fingerprint: str
    starts: int
    held_for_s: float
    has_run_whole: bool
    part: str | None = None
    met_beside: list[str] = []


class CrashTable:
    """The crash records of whole requests and of parts of prompts, by key.

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
        if history is None or len(history.crashes) < history.min_threshold:
            return 0.0
        if history.crash_count < history.min_threshold:
            return 0.0
        remaining_s = max(0.0, history.blocked_until() - now)
        return (
            remaining_s
            if remaining_s and history.crash_count >= self._crash_threshold(history)
            else 0.0
        )

    def blocked(self, now: float) -> list[bytes]:
        """Return the keys of the blocked requests and parts, without those only met beside them."""
        return [
            key
            for key, history in self._histories.items()
            if self.blocked_for_s(key, now) > 0
            and not self._is_explained_by_others(key, history.companions)
        ]

    def is_ambiguous(self, key: bytes, parts: tuple[bytes, ...]) -> bool:
        """Whether the crashes of a blocked part are explained by others that a prompt lacks.

        Args:
            key: the blocked feature.
            parts: keys of all shared parts of the prompt.
        """
        history = self._histories[key]
        if not history.is_part:
            return False
        others = self._never_completed(history.companions)
        return not others.issubset(parts) or self._is_explained_by_others(key, parts)

    def suspected_part(self, parts: tuple[bytes, ...]) -> bytes | None:
        """Return the part of a prompt that most likely crashes runners, or None."""
        suspected = [
            key for key in parts if key in self._histories and self._histories[key].is_suspected
        ]
        return max(suspected, key=self.crash_count, default=None)

    def _never_completed(self, parts: frozenset[bytes]) -> set[bytes]:
        """Return the parts with a crash record that never completed."""
        return {
            key
            for key in parts
            if key in self._histories and not self._histories[key].has_completed
        }

    def _is_explained_by_others(self, key: bytes, parts: Collection[bytes]) -> bool:
        """Whether parts that a prompt lacks explain nearly all crashes of one that it has.

        They must have at least as many crashes; those of the true cause then increase with each
        further trial, and others no longer explain them.
        """
        history = self._histories[key]
        if not history.is_part:
            return False
        left = history.active_crashes
        count = len(left)
        for other_key, other in self._histories.items():
            is_other = other_key != key and other_key not in parts
            if is_other and not other.has_completed and len(other.crashes) >= count:
                left -= other.crashes.keys()
        return len(left) <= MAX_UNEXPLAINED

    def record_crash(
        self,
        fingerprint: bytes,
        instance: str,
        at: float,
        companions: frozenset[bytes] = frozenset(),
    ) -> bool:
        """Record that an instance crashed while serving a feature; return whether that is new.

        Args:
            companions: keys of the other parts of the request's prompt, if the feature is a part.
        """
        history = self._histories.get(fingerprint)
        if history is None:
            history = self._add(fingerprint)
        self._recent_crashes[instance] = min(at, self._recent_crashes.get(instance, at))
        is_new = history.add_crash(instance, at, companions)
        if is_new:
            self._evict()
        return is_new

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

    def record_earlier_completion(self, fingerprint: bytes, at: float) -> bool:
        """Record an earlier completion; return whether none as late was known."""
        history = self._histories.get(fingerprint)
        if history is None or history.completed_at >= at:
            return False
        history.completed_at = at
        return True

    def summaries(self, now: float) -> list[CrashSummary]:
        """Return all records as shown to operators, blocked requests first."""
        summaries = [
            CrashSummary(
                key.hex(),
                history.crash_count,
                round(self.blocked_for_s(key, now), 1),
                history.has_completed,
                part_name(key),
                sorted(
                    part_name(other) or "" for other in self._never_completed(history.companions)
                ),
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
                sorted(history.companions),
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
            companions = frozenset(record.companions)
            for instance, age_ms in record.crashes[-MAX_CRASHES_PER_RECORD:]:
                at = now - age_ms / MS_PER_S
                if self.record_crash(record.fingerprint, instance, at, companions):
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
            key for key, history in self._histories.items() if history.needs_storing(given.get(key))
        }

    def records_to_store(self, stored: list[CrashRecord], now: float) -> list[CrashRecord]:
        """Return the records to write in place of the stored ones."""
        keys = {record.fingerprint for record in stored}
        only = {
            key
            for key, history in self._histories.items()
            if key in keys or history.needs_storing(None)
        }
        return self.records(now, only)

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
        is_part = fingerprint.startswith(PART_TAG)
        history = self._histories[fingerprint] = CrashHistory(is_part)
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
        if len(self._histories) <= MAX_RECORDS_PER_CALLER:
            return
        callers = collections.Counter(key[:CALLER_BYTES] for key in self._histories)
        parts = callers.pop(PART_TAG[:CALLER_BYTES], 0)
        caller, count = max(callers.items(), key=lambda item: item[1], default=(b"", 0))
        if parts > MAX_PART_RECORDS:
            keys = [key for key, history in self._histories.items() if history.is_part]
        elif count > MAX_RECORDS_PER_CALLER:
            keys = [key for key in self._histories if key[:CALLER_BYTES] == caller]
        elif len(self._histories) - parts > MAX_RECORDS:
            keys = [key for key, history in self._histories.items() if not history.is_part]
        else:
            return
        self._drop(min(keys, key=self._eviction_rank))

    def _eviction_rank(self, fingerprint: bytes) -> tuple[bool, float]:
        history = self._histories[fingerprint]
        has_enough_crashes = history.crash_count >= history.min_threshold
        return has_enough_crashes, history.updated_at + RETENTION_PER_CRASH_S * history.crash_count


def _age_ms(at: float, now: float) -> int:
    return max(0, int((now - at) * MS_PER_S))
