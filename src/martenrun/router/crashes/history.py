"""The crash record of one feature: instances that crashed, and the last completion.

Callers pass in the time; nothing here reads a clock.
"""

import math

import attrs

from martenrun.router.crashes.messages import CrashRecord

CRASH_THRESHOLD = 3
"""Minimum number of crashed instances before a request is blocked."""

PART_CRASH_THRESHOLD = 4
"""The same for a part of a prompt, which more of the requests on a runner share."""

CRASH_THRESHOLD_AFTER_SUCCESS = 6
"""Minimum after a completion, which a crash-causing request or part never has."""

COMPLETION_GRACE_S = 1.0
"""How long after a completion of a part crashes are no evidence against it, in seconds.

Where many runners fail at once, as in a power failure, a part in steady use runs on all of them.
"""

INITIAL_BLOCK_S = 3_600.0
MAX_BLOCK_S = 7 * 86_400.0
"""Initial and maximum block duration after the last crash, in seconds; each crash doubles it."""

INITIAL_BLOCK_AFTER_SUCCESS_S = 10.0
"""Initial block duration for a feature that has completed before, in seconds; doubles as well.

When all runners crash in turn, frequent requests are affected by many of the crashes and must be
served again once the runners are stable.  The duration is capped at INITIAL_BLOCK_S, the initial
one of a feature that has never completed.
"""

RETENTION_S = 86_400.0
"""How long a record is kept after its last update or the end of its block, in seconds."""

MAX_CRASHES_PER_RECORD = 12
"""Maximum number of crashes per record; with this many the block duration is at its maximum."""

SUSPECTED_CRASHES = 2
"""Crashes from which a part that never completed is suspected, and its record stored.

Each crash leaves a record of every part on the runner, nearly all of which are soon cleared.
"""


@attrs.define
class CrashHistory:
    """The runner instances that crashed while serving one feature, and its last completion.

    Attributes:
        is_part: whether the feature is a part of prompts, otherwise a whole request.
        crashes: when each instance crashed.
        completed_at: when a request with the feature last completed.
        companions: other parts that each of the crashed requests had as well.
    """

    is_part: bool = False
    crashes: dict[str, float] = attrs.field(factory=dict)
    completed_at: float = -math.inf
    companions: frozenset[bytes] = frozenset()

    @property
    def updated_at(self) -> float:
        """The time of the last crash or completion."""
        return max([self.completed_at, *self.crashes.values()])

    @property
    def active_crashes(self) -> set[str]:
        """The instances that crashed while serving it since it last completed."""
        after = self.completed_at + (COMPLETION_GRACE_S if self.is_part else 0.0)
        return {instance for instance, at in self.crashes.items() if at > after}

    @property
    def crash_count(self) -> int:
        """The number of instances that crashed while serving it since it last completed."""
        return len(self.active_crashes)

    @property
    def has_completed(self) -> bool:
        """Whether the feature is known to have completed."""
        return self.completed_at != -math.inf

    @property
    def min_threshold(self) -> int:
        """The number of crashes required if no unrelated crashes occur."""
        if self.has_completed:
            return CRASH_THRESHOLD_AFTER_SUCCESS
        return PART_CRASH_THRESHOLD if self.is_part else CRASH_THRESHOLD

    @property
    def is_suspected(self) -> bool:
        """Whether it never completed and SUSPECTED_CRASHES instances crashed while serving it."""
        return not self.has_completed and len(self.crashes) >= SUSPECTED_CRASHES

    def add_crash(self, instance: str, at: float, companions: frozenset[bytes]) -> bool:
        """Add a crash of a request that had these other parts; return whether that is new."""
        narrowed = companions if not self.crashes else self.companions & companions
        recorded_at = self.crashes.get(instance)
        is_new = recorded_at is None or narrowed != self.companions
        self.companions = narrowed
        self.crashes[instance] = at if recorded_at is None else min(at, recorded_at)
        if len(self.crashes) > MAX_CRASHES_PER_RECORD:
            del self.crashes[min(self.crashes, key=self.crashes.__getitem__)]
        return is_new

    def blocked_until(self) -> float:
        """Return when the block ends, provided that there are enough crashes for one."""
        last_at = max(self.crashes.values())
        factor = 2 ** max(0, self.crash_count - self.min_threshold)
        if self.has_completed:
            return last_at + min(INITIAL_BLOCK_S, INITIAL_BLOCK_AFTER_SUCCESS_S * factor)
        return last_at + min(MAX_BLOCK_S, INITIAL_BLOCK_S * factor)

    def needs_storing(self, record: CrashRecord | None) -> bool:
        """Whether the stored record lacks something that must outlast all routers."""
        if record is None and self.is_part:
            return self.is_suspected
        return not self.is_contained_in(record)

    def is_contained_in(self, record: CrashRecord | None) -> bool:
        """Whether a record contains everything that is known here."""
        if record is None or (record.completed_ms is None and self.has_completed):
            return False
        if not self.companions.issuperset(record.companions):
            return False
        return self.crashes.keys() <= {instance for instance, _ in record.crashes}

    def expires_at(self) -> float:
        """Return when the record can be dropped."""
        blocked_until = (
            self.blocked_until() if self.crash_count >= self.min_threshold else -math.inf
        )
        return max(self.updated_at, blocked_until) + RETENTION_S
