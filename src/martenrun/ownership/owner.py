"""Decision logic of an owner node: it hands out the slots of its runners as leases.

Reservations that find no free slot wait in the runner's fair queue, bounded by their deadlines.
Every answer is matched by (home, reservation id); repeated and late messages change nothing.

See also: :mod:`martenrun.ownership.home`, the asking side.
"""

import heapq
from collections.abc import Callable, Iterable

from martenrun.events import Event, Instruction, PeerMessage, RunnerDescribed, Send, Tick
from martenrun.node.runners import RunnerTable
from martenrun.ownership.ended import Ended
from martenrun.ownership.owner_messages import placed_blocks, queued, without_what_is_known
from martenrun.ownership.owners import OwnerMap
from martenrun.ownership.pool_ids import pool_id
from martenrun.ownership.reasons import Reason
from martenrun.ownership.slots import LeaseKey, RunnerSlots
from martenrun.ownership.stall import MachineListAge
from martenrun.routing.served_prefixes import ServedPrefixes
from martenrun.sharing.fair_queue import QueueEntry
from martenrun.sharing.logic import PoolQueues
from martenrun.wire.messages import (
    LeasesVoided,
    ReleaseSlots,
    RenewLeases,
    ReserveSlot,
    RunnerLoad,
    SlotGranted,
    SlotRefused,
    SlotsQueued,
)

QUEUE_NOTE_INTERVAL_S = 0.5
"""Time between two messages to a home about its waiting reservations, in seconds."""

SWEEP_INTERVAL_S = 0.25
"""Time between two checks of ownership and expired leases, in seconds."""

TOMBSTONE_S = 60.0
"""How long an ended reservation is remembered against late messages, in seconds."""

MAXIMUM_QUEUE = 256
"""Reservations that may wait for one runner."""

HINTS = 3
"""Least-loaded runners named in a refusal."""

_NO_WAIT_MS = 0

CachedBlocks = Callable[[str, str, bytes], int]
"""Leading blocks of a chain known to be cached: (runner, incarnation, chain) -> blocks."""


def no_cached_blocks(runner: str, incarnation: str, chain: bytes) -> int:
    """Know nothing about caches."""
    return 0


def _count_nothing(pool: str, tenant: str, tokens: float, now: float) -> None:
    """Count no usage."""


class OwnerLogic:
    """Slots of all runners that this node owns.

    Args:
        owners: who owns which runner.
        table: runners by the machine list, with who is leaving.
        cached_blocks: what this node knows of its runners' caches.
        granted: is told the expected tokens of each grant, as (pool, tenant, tokens, now).
        served: remembers each grant's prefix.
    """

    def __init__(
        self,
        owners: OwnerMap,
        table: RunnerTable,
        cached_blocks: CachedBlocks = no_cached_blocks,
        granted: Callable[[str, str, float, float], None] = _count_nothing,
        served: ServedPrefixes | None = None,
    ) -> None:
        self._owners = owners
        self._table = table
        self._cached_blocks = cached_blocks
        self._count = granted
        self._served = served or ServedPrefixes()
        self.owned: dict[str, RunnerSlots] = {}
        self._pools: dict[str, list[RunnerSlots]] = {}
        self._leased: dict[LeaseKey, RunnerSlots] = {}
        self._waiting: dict[LeaseKey, RunnerSlots] = {}
        self._ended: Ended[LeaseKey] = Ended(TOMBSTONE_S)
        self._next_note = 0.0
        self._next_sweep = 0.0
        self._list_age = MachineListAge()

    def handle(self, event: Event, now: float) -> list[Instruction]:
        """Take in an event; see :class:`martenrun.events.DecisionLogic`."""
        self._list_age.note(event, now)
        match event:
            case PeerMessage(home, ReserveSlot() as reservation):
                return self._reserve(home, reservation, now)
            case PeerMessage(home, ReleaseSlots(identities)):
                return self._release(home, identities, now)
            case PeerMessage(home, RenewLeases() as renewal):
                return self._renew(home, renewal, now)
            case RunnerDescribed():
                return self._described(event, now)
            case Tick():
                return self._tick(now)
        return []

    def note(self, event: Event, now: float) -> None:
        """Take notice of an event that others handle: it shows that the process runs."""
        self._list_age.note(event, now)

    def pool_queues(self) -> list[PoolQueues]:
        """Return the queues of the owned runners, by pool."""
        return [
            PoolQueues(
                pool,
                [runner.queue for runner in runners],
                sum(runner.slots - runner.free for runner in runners if runner.incarnation),
                sum(runner.slots for runner in runners if runner.incarnation),
            )
            for pool, runners in self._pools.items()
        ]

    def _reserve(self, home: str, reservation: ReserveSlot, now: float) -> list[Instruction]:
        key = LeaseKey(home, reservation.reservation_id)
        if key in self._ended or not self._owners.is_settled:
            # Before this node has joined, only silence says nothing wrong of the runner.
            return []
        if key in self._waiting:
            return [queued(key, self._waiting[key], _NO_WAIT_MS)]
        leased = self._leased.get(key)
        if leased is not None:
            repeated = self._granted_message(key, leased, reservation.chain, now)
            return [Send(home, without_what_is_known(repeated, reservation))]
        # A change of owners may have reached the home before this node's next sweep.
        changes = [] if reservation.runner in self.owned else self._update_owned()
        return [*changes, self._answer(key, reservation, now)]

    def _answer(self, key: LeaseKey, reservation: ReserveSlot, now: float) -> Instruction:
        runner = self.owned.get(reservation.runner)
        reason = self._fault(reservation, runner)
        if runner is None or reason is not None:
            return self._refusal(key, reservation.runner, reason or Reason.UNKNOWN_RUNNER)
        if runner.free > 0 and not len(runner.queue) and self._list_age.is_trusted(now):
            self._granted(runner.name, reservation.tenant, reservation.cost_tokens, now)
            granted = self._grant(key, runner, reservation.chain, reservation.cost_tokens, now)
            return Send(key.home, without_what_is_known(granted, reservation))
        return self._enqueue(key, runner, reservation, now)

    def _fault(self, reservation: ReserveSlot, runner: RunnerSlots | None) -> Reason | None:
        listed = self._table.runners.get(reservation.runner)
        if runner is None:
            owner = self._owners.owner(reservation.runner)
            is_foreign = owner and owner != self._owners.own_address
            return Reason.NOT_OWNER if is_foreign else Reason.UNKNOWN_RUNNER
        if listed is None or listed.leaving:
            return Reason.LEAVING
        if reservation.pool_id not in (0, pool_id(listed.pool)):
            # It left the asked pool, or the home knows of its new pool first.
            return Reason.LEAVING
        if not runner.is_described:
            return None
        if not self._takes_work(runner):
            return Reason.UNKNOWN_RUNNER
        wanted = reservation.weights_version
        return Reason.STALE_VERSION if wanted not in ("", runner.weights_version) else None

    def _grant(
        self, key: LeaseKey, runner: RunnerSlots, chain: bytes, tokens: float, now: float
    ) -> SlotGranted:
        runner.grant(key, now)
        self._leased[key] = runner
        blocks = placed_blocks(tokens)
        self._served.granted(key.home, runner.name, runner.incarnation, chain, blocks, now)
        return self._granted_message(key, runner, chain, now)

    def _granted(self, runner: str, tenant: str, tokens: float, now: float) -> None:
        listed = self._table.runners.get(runner)
        if listed is not None:
            self._count(listed.pool, tenant, tokens, now)

    def _granted_message(
        self, key: LeaseKey, runner: RunnerSlots, chain: bytes, now: float
    ) -> SlotGranted:
        return SlotGranted(
            key.reservation_id,
            runner.incarnation,
            runner.weights_version,
            self._cached_blocks(runner.name, runner.incarnation, chain) if chain else 0,
            runner.free_less_waiting,
            self._served.blocks_on(runner.name, now),
        )

    def _enqueue(
        self, key: LeaseKey, runner: RunnerSlots, reservation: ReserveSlot, now: float
    ) -> Instruction:
        wait_s = runner.queue.expected_wait_s(now, reservation.tenant)
        left_s = reservation.deadline_ms / 1000
        if not reservation.may_queue or len(runner.queue) >= MAXIMUM_QUEUE:
            return self._refusal(key, runner.name, Reason.FULL, wait_s)
        if wait_s >= left_s:
            return self._refusal(key, runner.name, Reason.DEADLINE, wait_s)
        entry = QueueEntry(
            key.home,
            key.reservation_id,
            reservation.tenant,
            reservation.priority,
            reservation.cost_tokens,
            now + left_s,
            reservation.chain,
        )
        runner.queue.push(entry, now)
        self._waiting[key] = runner
        return queued(key, runner, int(wait_s * 1000))

    def _refusal(
        self, key: LeaseKey, runner: str, reason: Reason, wait_s: float = 0.0
    ) -> Instruction:
        owner = self._owners.owner(runner) if reason is Reason.NOT_OWNER else ""
        refused = SlotRefused(
            key.reservation_id, reason.value, owner, int(wait_s * 1000), self._hints(runner)
        )
        if reason in (Reason.FULL, Reason.DEADLINE):
            refused.free_slots = min(0, self.owned[runner].free_less_waiting)
        return Send(key.home, refused)

    def _hints(self, runner: str) -> list[RunnerLoad]:
        """Return the least loaded owned runners of the refused runner's pool, and itself."""
        listed = self._table.runners.get(runner)
        pool = self._pools.get(listed.pool, []) if listed is not None else []
        usable = [slots for slots in pool if self._takes_work(slots)]
        best = heapq.nlargest(HINTS, usable, key=lambda slots: slots.free_less_waiting)
        return [RunnerLoad(slots.name, slots.free_less_waiting) for slots in best]

    def _takes_work(self, runner: RunnerSlots) -> bool:
        listed = self._table.runners.get(runner.name)
        if listed is None or listed.leaving:
            return False
        return runner.takes_work and self._table.serves_its_pool(listed)

    def _may_wait(self, runner: RunnerSlots) -> bool:
        """Whether reservations may stay in a runner's queue."""
        listed = self._table.runners.get(runner.name)
        if listed is None or listed.leaving:
            return False
        return not runner.is_described or self._takes_work(runner)

    def _release(self, home: str, identities: list[int], now: float) -> list[Instruction]:
        instructions: list[Instruction] = []
        for identity in identities:
            key = LeaseKey(home, identity)
            self._ended.add(key, now)
            waiting = self._waiting.pop(key, None)
            if waiting is not None:
                waiting.queue.remove(key.home, key.reservation_id)
            leased = self._leased.pop(key, None)
            if leased is not None:
                leased.leases.pop(key, None)
                instructions += self._serve_queue(leased, now)
        return instructions

    def _serve_queue(self, runner: RunnerSlots, now: float) -> list[Instruction]:
        instructions: list[Instruction] = []
        if not self._list_age.is_trusted(now):
            # A runner that began to leave during a pause of this process is not known yet.
            return instructions
        while runner.free > 0 and len(runner.queue) and self._takes_work(runner):
            entry = runner.queue.pop(now)
            if entry is None:
                break
            key = LeaseKey(entry.request_id, entry.attempt)
            del self._waiting[key]
            self._granted(runner.name, entry.tenant, entry.cost_tokens, now)
            chain = entry.payload if isinstance(entry.payload, bytes) else b""
            granted = self._grant(key, runner, chain, entry.cost_tokens, now)
            instructions.append(Send(key.home, granted))
        return instructions

    def _renew(self, home: str, renewal: RenewLeases, now: float) -> list[Instruction]:
        void: list[int] = []
        for lease in renewal.leases:
            key = LeaseKey(home, lease.reservation_id)
            runner = self.owned.get(lease.runner)
            if key in self._ended:
                void.append(lease.reservation_id)
            elif runner is None or not runner.incarnation:
                continue
            elif runner.incarnation != lease.incarnation:
                void.append(lease.reservation_id)
            elif key in runner.leases:
                runner.renew(key, now)
            else:
                runner.register(key, now)
                self._leased[key] = runner
        return [Send(home, LeasesVoided(void))] if void else []

    def _described(self, event: RunnerDescribed, now: float) -> list[Instruction]:
        runner = self.owned.get(event.runner)
        if runner is None:
            return []
        if event.description is None:
            runner.unreachable()
            return self._flush(runner, Reason.UNKNOWN_RUNNER)
        void = runner.described_as(event.description, now)
        flushed = [] if self._takes_work(runner) else self._flush(runner, Reason.UNKNOWN_RUNNER)
        return self._end_leases(void, now) + flushed + self._serve_queue(runner, now)

    def _end_leases(self, keys: Iterable[LeaseKey], now: float) -> list[Instruction]:
        """Forget leases that ended without a release and tell their homes."""
        by_home: dict[str, list[int]] = {}
        for key in keys:
            self._leased.pop(key, None)
            self._ended.add(key, now)
            by_home.setdefault(key.home, []).append(key.reservation_id)
        return [Send(home, LeasesVoided(identities)) for home, identities in by_home.items()]

    def _flush(self, runner: RunnerSlots, reason: Reason) -> list[Instruction]:
        """Refuse everything that waits for a runner; the homes try elsewhere."""
        instructions: list[Instruction] = []
        if not len(runner.queue):
            return instructions
        for key in [key for key, held in self._waiting.items() if held is runner]:
            runner.queue.remove(key.home, key.reservation_id)
            del self._waiting[key]
            instructions.append(self._refusal(key, runner.name, reason))
        return instructions

    def _tick(self, now: float) -> list[Instruction]:
        instructions: list[Instruction] = []
        if now >= self._next_sweep:
            self._next_sweep = now + SWEEP_INTERVAL_S
            instructions += self._sweep(now)
        if now >= self._next_note:
            self._next_note = now + QUEUE_NOTE_INTERVAL_S
            instructions += self._queue_notes(now)
        return instructions

    def _sweep(self, now: float) -> list[Instruction]:
        instructions = self._update_owned()
        for runner in self.owned.values():
            for entry in runner.queue.expire(now):
                self._waiting.pop(LeaseKey(entry.request_id, entry.attempt), None)
            instructions += self._end_leases(runner.expire(now), now)
            if not self._may_wait(runner):
                instructions += self._flush(runner, Reason.LEAVING)
            instructions += self._serve_queue(runner, now)
        self._ended.forget_old(now)
        return instructions

    def _update_owned(self) -> list[Instruction]:
        """Take up and give up runners after a change of members or machines."""
        if not self._owners.refresh(self._table):
            return []
        wanted = self._owners.owned()
        instructions: list[Instruction] = []
        for name in self.owned.keys() - wanted:
            runner = self.owned.pop(name)
            instructions += self._flush(runner, Reason.NOT_OWNER)
            for key in runner.leases:
                self._leased.pop(key, None)
        for name in wanted - self.owned.keys():
            self.owned[name] = RunnerSlots(name)
        return instructions + self._group_by_pool()

    def _group_by_pool(self) -> list[Instruction]:
        """Note which pools the owned runners are in; what waits for one that moved is refused."""
        before = {runner.name: pool for pool, runners in self._pools.items() for runner in runners}
        self._pools = {}
        instructions: list[Instruction] = []
        for name, runner in self.owned.items():
            pool = self._table.runners[name].pool
            if before.get(name, pool) != pool:
                instructions += self._flush(runner, Reason.LEAVING)
            self._pools.setdefault(pool, []).append(runner)
        return instructions

    def _queue_notes(self, now: float) -> list[Instruction]:
        """Tell homes that their reservations still wait, one message for each home."""
        notes: dict[str, SlotsQueued] = {}
        for key, runner in self._waiting.items():
            note = notes.setdefault(key.home, SlotsQueued())
            note.reservation_ids.append(key.reservation_id)
            note.expected_waits_ms.append(int(runner.queue.expected_wait_s(now) * 1000))
            note.free_slots.append(runner.free_less_waiting)
        return [Send(home, note) for home, note in notes.items()]
