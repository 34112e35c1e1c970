"""Decision logic by which a few nodes watch the object API for all others.

Each region has a slot (two in a single region), a lease object in the object API.  The node
that holds a slot renews its lease by compare-and-swap.  Others look at the lease now and
then; who sees it unchanged for ``LEASE_TIMEOUT_S`` of the own clock takes it, and who sees that
its holder is no live member takes it at once.  No clocks are compared.  A holder that was paused
past its lease keeps reading until its next renewal conflicts; that costs one more reader and
nothing else, because versions only ever go up.

See also: ``statecharts/watcher.toml``.
"""

import random
import re
from collections.abc import Sequence
from math import inf

import msgspec

from martenrun.configuration.first_copy import first_read_delay_s
from martenrun.configuration.sightings import LeaseSightings
from martenrun.configuration.state import ConfigurationState
from martenrun.events import (
    Event,
    Instruction,
    StoreAnswered,
    StoreOutcome,
    StoreRead,
    StoreWatch,
    StoreWatched,
    StoreWrite,
    Tick,
    WatchOutcome,
)
from martenrun.identity.rendezvous import weight
from martenrun.membership.view import Member, MemberView
from martenrun.statecharts.compiler import load_chart
from martenrun.wire.messages import ConfigurationUpdate

LEASE_KIND = "watchers"
RENEWAL_S = 3.0
"""Time between two renewals of a held lease, in seconds."""
LOOK_S = 5.0
"""Time between two looks at a lease by the first candidate; the n-th waits n times that."""
LOOK_SOON_S = 0.5
"""Mean time until a look after a write with an unknown outcome, in seconds."""
HURRIED_CANDIDATES = 8
"""Candidates that look at a lease sooner than usual once its holder is no live member."""
TAKEOVER_INTERVAL_S = 10.0
"""Shortest time between two leases that a node takes from holders not live, in seconds.

Nodes that reach the object API but not each other would else take it from each other all the time.
"""
JOIN_S = 2.0
"""Time given to a new node to learn of its fellows, in seconds."""
SHORTEST_PAUSE_S = 0.25
LONGEST_PAUSE_S = 4.0
"""Pause after a failed watch, doubled up to the longest, in seconds."""

_CHART = load_chart("watcher")
_EVENT_OF = {
    StoreOutcome.DONE: "write_done",
    StoreOutcome.CONFLICT: "write_conflict",
    StoreOutcome.UNKNOWN: "write_unknown",
    StoreOutcome.NOT_FOUND: "write_conflict",
}


class WatcherLease(msgspec.Struct):
    """Document of a slot's lease."""

    holder: str
    renewals: int


class StoreWatching:
    """Holds or seeks a watcher's lease, and watches while it holds one.

    A node that starts reads each lease of its region once: one may be its own, from before its
    restart.  Which slot it seeks depends on the members that it knows, and those are few then.

    Args:
        state: the configuration in force; updates are applied to it.
        members: the live nodes.
        rng: source of jitter.
        seed_nodes: addresses named in the settings, this node's own included if it is one.
    """

    def __init__(
        self,
        state: ConfigurationState,
        members: MemberView,
        rng: random.Random,
        seed_nodes: Sequence[str] = (),
    ) -> None:
        self.phase = _CHART.initial
        self.slot = ""
        self._state = state
        self._members = members
        self._rng = rng
        self._has_seeds = any(seed != members.own.address for seed in seed_nodes)
        self._first_read_s = first_read_delay_s(members.own.address, seed_nodes)
        self._first_read_at = inf
        self._has_looked = False
        self._next_look: float | None = None
        self._next_renewal = 0.0
        self._sightings = LeaseSightings()
        self._lost_slot = ""
        self._next_takeover = 0.0
        self._live_members: Sequence[Member] = ()
        self._live_addresses: frozenset[str] = frozenset()
        self._unread: list[str] | None = None
        self._seeks_own = False
        self._renewals = 0
        self._calls = 0
        self._is_watching = False
        self._next_watch = 0.0
        self._pause_s = SHORTEST_PAUSE_S
        self._position = 0
        self._actions = {
            "read_lease": self._read_lease,
            "claim_lease": self._write_lease,
            "renew_lease": self._write_lease,
            "start_watch": self._start_watch,
            "look_soon": self._look_soon,
        }

    @property
    def holds_lease(self) -> bool:
        """Whether this node believes that it holds a watcher's lease."""
        return self.phase in ("holding", "renewing")

    def handle(self, event: Event, now: float) -> list[Instruction]:
        """Take in an event; see :class:`martenrun.events.DecisionLogic`."""
        match event:
            case Tick():
                return self._tick(now)
            case StoreAnswered() if event.call_id == self._call_id():
                return self._lease_answered(event, now)
            case StoreWatched(outcome, update):
                return self._watched(outcome, update, now)
        return []

    def slots(self) -> list[str]:
        """Return the names of the leases that serve this node's region."""
        live = self._members.live()
        region = re.sub("[^a-z0-9.-]", "-", self._members.own.region.lower()) or "local"
        own_region = self._members.own.region
        is_single = all(member.region == own_region for member in live)
        return [f"{region}-{number}" for number in range(2 if is_single else 1)]

    def _tick(self, now: float) -> list[Instruction]:
        if self._next_look is None:
            self._next_look = now + self._first_delay_s()
            self._first_read_at = now + self._first_read_s
        instructions: list[Instruction] = []
        if self.phase == "idle" and not self._lost_slot:
            self._hurry(now)
        if self.phase == "idle" and now >= self._next_look and not self._is_postponed(now):
            instructions += self._step("look_due", now)
        if self.phase == "holding" and now >= self._next_renewal:
            instructions += self._step("renewal_due", now)
        if self.holds_lease and not self._is_watching and now >= self._next_watch:
            instructions += self._start_watch(now)
        if self._is_first_read_due(now):
            # Without the lease: this is one list, which ends at once.
            instructions += self._start_watch(now)
        return instructions

    def _is_first_read_due(self, now: float) -> bool:
        is_due = now >= max(self._first_read_at, self._next_watch)
        return is_due and self._state.revision == 0 and not self._is_watching

    def _first_delay_s(self) -> float:
        """Return the time in which members become known; it also spreads a herd of restarts."""
        is_alone = len(self._members.live()) <= 1
        return JOIN_S * (0.5 + self._rng.random()) if is_alone and self._has_seeds else 0.0

    def _is_postponed(self, now: float) -> bool:
        """Leave the first look to the candidates before this node."""
        rank = self._rank()
        if self._has_looked or rank == 0:
            return False
        self._has_looked = True
        self._next_look = now + LOOK_S * rank * (0.5 + self._rng.random())
        return True

    def _hurry(self, now: float) -> None:
        """Plan a look at a lease that has lost its holder, in the order of the candidates."""
        lost = [slot for slot in self.slots() if self._is_lost(slot, now)]
        rank = self._rank() if lost else HURRIED_CANDIDATES
        if rank < HURRIED_CANDIDATES:
            self._lost_slot = self.slot if self.slot in lost else lost[0]
            look_at = now + LOOK_SOON_S * (rank + self._rng.random())
            self._next_look = min(look_at, self._next_look or look_at)

    def _is_lost(self, slot: str, now: float) -> bool:
        """Whether a lease may be taken because its holder is no live member.

        The own lease, from before a restart, is sought first, and members must be known.
        """
        is_ready = self._unread == [] and not self._seeks_own and self._members.is_settled
        if not is_ready or now < self._next_takeover:
            return False
        return self._sightings.is_lost(slot, self._live())

    def _live(self) -> frozenset[str]:
        """Return the addresses of the live members."""
        members = self._members.live()
        if members is not self._live_members:
            self._live_members = members
            self._live_addresses = frozenset(member.address for member in members)
        return self._live_addresses

    def _rank(self) -> int:
        """Choose this node's slot; return its place among the slot's candidates."""
        own = self._members.own
        region = own.region.encode()
        own_weight = weight(region, own.address)
        candidates = [member for member in self._members.live() if member.region == own.region]
        place = sum(weight(region, other.address) > own_weight for other in candidates)
        # Candidates are dealt out to the slots in turn, so that two nodes fill two slots.
        slots = self.slots()
        slot = slots[place % len(slots)]
        if not self.holds_lease:
            self.slot = slot
        return place // len(slots)

    def _step(self, event: str, now: float) -> list[Instruction]:
        transition = _CHART.step(self.phase, event)
        if transition is None:
            return []
        self.phase = transition.next_state
        return [part for action in transition.actions for part in self._actions[action](now)]

    def _call_id(self) -> str:
        return f"watcher/{self._calls}"

    def _read_lease(self, now: float) -> list[Instruction]:
        rank = self._rank()
        self._next_look = now + LOOK_S * max(1, rank) * (0.75 + 0.5 * self._rng.random())
        self._seeks_own = bool(self._unread)
        if self._unread is None:
            self._unread = [slot for slot in self.slots() if slot != self.slot]
        elif self._unread:
            self.slot = self._unread.pop()
        elif self._lost_slot:
            self.slot = self._lost_slot
        self._lost_slot = ""
        self._has_looked = True
        self._calls += 1
        return [StoreRead(self._call_id(), LEASE_KIND, self.slot)]

    def _look_soon(self, now: float) -> list[Instruction]:
        """Read the lease again soon: an own write may have taken effect unnoticed."""
        self._next_look = now + LOOK_SOON_S * (0.5 + self._rng.random())
        self._unread = [self.slot] if self._seeks_own else []
        return []

    def _write_lease(self, now: float) -> list[Instruction]:
        self._next_renewal = now + RENEWAL_S
        self._renewals += 1
        self._calls += 1
        document = msgspec.json.encode(WatcherLease(self._members.own.address, self._renewals))
        version = self._sightings.version(self.slot)
        return [StoreWrite(self._call_id(), LEASE_KIND, self.slot, version, document)]

    def _lease_answered(self, answer: StoreAnswered, now: float) -> list[Instruction]:
        if self.phase == "reading":
            event = self._lease_event(answer, now)
            if event == "lease_held" and self._unread:
                self._next_look = now
            return self._step(event, now)
        if answer.outcome is StoreOutcome.DONE:
            self._sightings.saw(self.slot, answer.version, self._members.own.address, now)
        return self._step(_EVENT_OF[answer.outcome], now)

    def _lease_event(self, answer: StoreAnswered, now: float) -> str:
        if answer.outcome is StoreOutcome.NOT_FOUND:
            self._sightings.forget(self.slot)
            return "lease_held" if self._seeks_own else "lease_free"
        if answer.outcome is not StoreOutcome.DONE or answer.found is None:
            return "read_failed"
        holder = msgspec.json.decode(answer.found.document, type=WatcherLease).holder
        self._sightings.saw(self.slot, answer.version, holder, now)
        if holder == self._members.own.address or self._sightings.is_lapsed(self.slot, now):
            return "lease_free"
        if self._is_lost(self.slot, now):
            self._next_takeover = now + TAKEOVER_INTERVAL_S
            return "lease_free"
        return "lease_held"

    def _start_watch(self, now: float) -> list[Instruction]:
        if self._is_watching:
            return []
        self._is_watching = True
        self._position = max(self._position, self._state.revision)
        # A first copy is a list: changes since the beginning are kept by nobody.
        return [StoreWatch(self._position if self._position > 0 else -1)]

    def _watched(
        self, outcome: WatchOutcome, update: ConfigurationUpdate, now: float
    ) -> list[Instruction]:
        self._is_watching = False
        if outcome is WatchOutcome.UNAVAILABLE:
            self._next_watch = now + self._pause_s * (0.5 + self._rng.random())
            self._pause_s = min(2 * self._pause_s, LONGEST_PAUSE_S)
            return []
        self._pause_s = SHORTEST_PAUSE_S
        self._first_read_at = inf
        if outcome is WatchOutcome.COMPACTED:
            self._is_watching = True
            return [StoreWatch(-1)]
        self._apply(update)
        return self._start_watch(now) if self.holds_lease else []

    def _apply(self, update: ConfigurationUpdate) -> None:
        self._position = max(self._position, update.to_revision)
        if update.complete:
            self._state.apply(update)
        elif update.objects:
            # Only changes of configuration move the revision in force.
            # The position may be past it, when only other objects were written.
            revision = max(item.revision for item in update.objects)
            known = min(update.from_revision, self._state.revision)
            self._state.apply(ConfigurationUpdate(known, revision, update.objects))
