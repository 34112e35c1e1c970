"""Decision logic that removes claims which are older than the retention time.

Only a claim whose request has ended, ``done`` or ``released``, is removed, by
compare-and-swap of the version that was seen, and only if that version is certainly older
than the retention time.  A ``held`` claim is kept for good: its request may still run.

Removing is safe for whoever does it, late, twice or without an answer: a version is never
used again, so a removal that comes late meets either the very claim that was old or a
conflict.

See also: :mod:`martenrun.claims.age_keeper`, ``docs/design/claims.md``.
"""

import itertools
from collections import deque
from collections.abc import Callable

from martenrun.claims.age_keeper import CALL_TIMEOUT_S, AgeKeeper
from martenrun.claims.ages import old_revision
from martenrun.claims.record import ClaimState, decode_claim
from martenrun.configuration.objects import Kind, Retention
from martenrun.configuration.view import ConfigurationView
from martenrun.constants import CLAIM_KIND
from martenrun.events import (
    Event,
    Instruction,
    StoreAnswered,
    StoreList,
    StoreOutcome,
    StoreWrite,
    Tick,
)
from martenrun.limits.token_bucket import TokenBucket
from martenrun.wire.messages import ConfigurationObject

RETENTION_NAME = "claims"
"""Name of the retention object that holds for claims."""

PAGE_CLAIMS = 500
"""Claims read in one call."""

PAGE_INTERVAL_S = 0.5
"""Shortest time between two pages, in seconds."""

WALK_INTERVAL_S = 60.0
"""Shortest time between the begins of two walks over all claims, in seconds."""

REMOVALS_AT_A_TIME = 2
"""Removals in progress; the calls that claims are made with go before them."""

_ENDED = frozenset({ClaimState.DONE, ClaimState.RELEASED})


def retention_of(view: ConfigurationView) -> Retention:
    """Return the retention of claims that is in force."""
    found = view.documents.get((Kind.RETENTION, RETENTION_NAME))
    return found if isinstance(found, Retention) else Retention()


class ClaimRetentionLogic:
    """Walks over all claims, page by page, while this node keeps the marks of age.

    Args:
        own_name: a name unique to this process, for the ids of its calls.
        may_clean: whether this node is one of the few that read the object API for all.
        retention: returns the retention in force.

    Attributes:
        removed: claims removed since the start.
        kept_held: held claims older than the retention time, seen in the last whole walk.
    """

    handles = frozenset({Tick, StoreAnswered})

    def __init__(
        self, own_name: str, may_clean: Callable[[], bool], retention: Callable[[], Retention]
    ) -> None:
        prefix = f"claim-retention/{own_name}/"
        self.removed = 0
        self.kept_held = 0
        self._may_clean = may_clean
        self._retention = retention
        self._keeper = AgeKeeper(prefix)
        self._prefix = f"{prefix}walk/"
        self._counter = itertools.count()
        self._page_call = ""
        self._page_sent_at = 0.0
        self._position = ""
        self._next_page = 0.0
        self._walk_began = 0.0
        self._held_seen = 0
        self._to_remove: deque[ConfigurationObject] = deque()
        self._removals: dict[str, float] = {}
        self._bucket = TokenBucket(1.0, 1.0, 0.0)

    def handle(self, event: Event, now: float) -> list[Instruction]:
        """Take in an event; see :class:`martenrun.events.DecisionLogic`."""
        if isinstance(event, StoreAnswered):
            self._answered(event, now)
        elif self._may_clean():
            return self._tick(now)
        return []

    def _answered(self, event: StoreAnswered, now: float) -> None:
        if event.call_id == self._page_call:
            self._page_call = ""
            self._take_page(event, now)
        elif self._removals.pop(event.call_id, None) is not None:
            self.removed += event.outcome is StoreOutcome.DONE
        else:
            self._keeper.answered(event, now)

    def _tick(self, now: float) -> list[Instruction]:
        retention = self._retention()
        instructions = self._keeper.tick(now, retention.seconds)
        if not self._keeper.is_keeper:
            self._to_remove.clear()
            return instructions
        instructions += self._remove(now, retention.removals_per_s)
        if old_revision(self._keeper.ages, retention.seconds):
            instructions += self._read_page(now)
        return instructions

    def _read_page(self, now: float) -> list[Instruction]:
        if self._page_call and now - self._page_sent_at >= CALL_TIMEOUT_S:
            self._page_call = ""
        if self._page_call or self._to_remove or self._removals or now < self._next_page:
            return []
        if not self._position:
            self._walk_began = now
            self._held_seen = 0
        self._page_call = self._new_call_id()
        self._page_sent_at = now
        return [StoreList(self._page_call, CLAIM_KIND, self._position, PAGE_CLAIMS)]

    def _take_page(self, event: StoreAnswered, now: float) -> None:
        self._next_page = now + PAGE_INTERVAL_S
        if event.outcome is not StoreOutcome.DONE:
            return
        old = old_revision(self._keeper.ages, self._retention().seconds)
        for claim in event.listed:
            if claim.revision > old:
                continue
            if decode_claim(claim.document).state in _ENDED:
                self._to_remove.append(claim)
            else:
                self._held_seen += 1
        if len(event.listed) == PAGE_CLAIMS:
            self._position = event.listed[-1].name
            return
        self._position = ""
        self.kept_held = self._held_seen
        self._next_page = max(self._next_page, self._walk_began + WALK_INTERVAL_S)

    def _remove(self, now: float, removals_per_s: float) -> list[Instruction]:
        self._removals = {
            call: sent_at
            for call, sent_at in self._removals.items()
            if now - sent_at < CALL_TIMEOUT_S
        }
        self._bucket.change_rate(removals_per_s, max(1.0, removals_per_s), now)
        instructions: list[Instruction] = []
        while self._to_remove and len(self._removals) < REMOVALS_AT_A_TIME:
            if self._bucket.wait_s(1, now) > 0:
                break
            self._bucket.take(1, now)
            claim = self._to_remove.popleft()
            call_id = self._new_call_id()
            self._removals[call_id] = now
            instructions.append(StoreWrite(call_id, CLAIM_KIND, claim.name, claim.revision, None))
        return instructions

    def _new_call_id(self) -> str:
        return f"{self._prefix}{next(self._counter)}"
