"""Decision logic that tells one node how busy every scaled pool is over all nodes.

Owner nodes know their runners' slots and queues.  Every node reports its present figures to the
adding node of its zone, which reports the zone's sums to the deciding node; both are chosen by
rendezvous hashing over the live members.  Figures are replaced, never added to: a lost or
repeated report is healed by the next one, and a part that is not repeated is dropped.

See also: :mod:`martenrun.scaling.decider`, docs/design/scaling.md.
"""

import random
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from martenrun.configuration.objects import Assignment, AssignmentOrigin
from martenrun.configuration.view import ConfigurationView
from martenrun.events import Event, Instruction, PeerMessage, RunnerDescribed, Send, Tick
from martenrun.identity.rendezvous import ranked
from martenrun.membership.view import Member, MemberView
from martenrun.node.runners import RunnerTable
from martenrun.ownership.pool_ids import pool_id
from martenrun.ownership.slots import RunnerSlots
from martenrun.wire.messages import DemandReport, PoolDemand

REPORT_INTERVAL_S = 5.0
"""Time between two reports of a node or of a zone, in seconds."""

HOLD_S = 3.5 * REPORT_INTERVAL_S
"""A part that was not repeated for so long is dropped, in seconds."""

_ADDER_KEY = b"scaling/adder"
_DECIDER_KEY = b"scaling/decider"


@dataclass(frozen=True, slots=True)
class _Part:
    """The latest report of a node or zone, and when it came."""

    at: float
    pools: tuple[PoolDemand, ...]


def is_free(assignment: Assignment | None) -> bool:
    """Whether the system may move a runner: operators' assignments are theirs."""
    if assignment is None:
        return True
    is_returned = assignment.pool is None and assignment.arrived
    return assignment.made_by is AssignmentOrigin.SCALING or is_returned


def total(demands: Iterable[PoolDemand]) -> dict[int, PoolDemand]:
    """Return the sums by pool; the wait is the mean by slots, the spare runner the cheapest."""
    sums: dict[int, PoolDemand] = {}
    for demand in demands:
        known = sums.setdefault(demand.pool_id, PoolDemand(demand.pool_id))
        slots = known.slots + demand.slots
        if slots:
            weighted = known.wait_ms * known.slots + demand.wait_ms * demand.slots
            known.wait_ms = weighted // slots
        known.slots = slots
        known.runners += demand.runners
        known.used_slots += demand.used_slots
        known.waiting_tokens += demand.waiting_tokens
        is_cheaper = not known.spare_runner or demand.spare_blocks < known.spare_blocks
        if demand.spare_runner and is_cheaper:
            known.spare_runner, known.spare_blocks = demand.spare_runner, demand.spare_blocks
    return sums


class DemandExchange:
    """Reports this node's part; adds up and collects reports where this node is chosen.

    Args:
        members: the live nodes.
        table: the node's runners.
        view: returns the configuration in force.
        owned: returns the slots of the runners that this node owns.
        rng: for jitter.
    """

    handles = frozenset({Tick, RunnerDescribed, DemandReport})

    def __init__(
        self,
        members: MemberView,
        table: RunnerTable,
        view: Callable[[], ConfigurationView],
        owned: Callable[[], Mapping[str, RunnerSlots]],
        rng: random.Random,
    ) -> None:
        self._members = members
        self._table = table
        self._view = view
        self._owned = owned
        self._rng = rng
        self._cached_blocks: dict[str, int] = {}
        self._nodes: dict[str, _Part] = {}
        self._zones: dict[str, _Part] = {}
        self._live: tuple[Member, ...] = ()
        self._adder = self._decider = ""
        self._next_report: float | None = None

    @property
    def is_decider(self) -> bool:
        """Whether this node is the one that decides, as far as it knows the members."""
        self._update_members()
        return self._decider == self._members.own.address

    def zones(self, now: float) -> dict[str, dict[int, PoolDemand]]:
        """Return the zones' demands by pool that this node has been told lately."""
        return {
            zone: {demand.pool_id: demand for demand in part.pools}
            for zone, part in self._zones.items()
            if now - part.at <= HOLD_S
        }

    def handle(self, event: Event, now: float) -> list[Instruction]:
        """Take in an event; see :class:`martenrun.events.DecisionLogic`."""
        match event:
            case PeerMessage(peer, DemandReport(zone, pools)):
                part = _Part(now, tuple(pools))
                if zone:
                    self._zones[zone] = part
                else:
                    self._nodes[peer] = part
            case RunnerDescribed(runner, description):
                if description is None:
                    self._cached_blocks.pop(runner, None)
                else:
                    self._cached_blocks[runner] = description.cached_blocks
            case Tick():
                return self._tick(now)
        return []

    def _tick(self, now: float) -> list[Instruction]:
        if self._next_report is None:
            # The first report comes at a random time, so that a herd of starts spreads out.
            self._next_report = now + self._rng.random() * REPORT_INTERVAL_S
        if now < self._next_report:
            return []
        self._next_report = now + REPORT_INTERVAL_S * self._rng.uniform(0.9, 1.1)
        self._update_members()
        self._forget_old(now)
        instructions: list[Instruction] = []
        own = self.own_demands(now)
        if own:
            instructions.append(Send(self._adder, DemandReport("", own)))
        if self._nodes:
            sums = total(demand for part in self._nodes.values() for demand in part.pools)
            report = DemandReport(self._members.own.zone, list(sums.values()))
            instructions.append(Send(self._decider, report))
        return instructions

    def own_demands(self, now: float) -> list[PoolDemand]:
        """Return the demands of the scaled pools whose runners this node owns."""
        view = self._view()
        found = []
        for name, slots in self._owned().items():
            runner = self._table.runners.get(name)
            pool = None if runner is None else view.pool(runner.pool)
            if runner is None or pool is None or pool.scaling is None:
                continue
            demand = PoolDemand(pool_id(runner.pool))
            if slots.takes_work and not runner.leaving and self._table.serves_its_pool(runner):
                demand.runners = 1
                demand.slots = slots.slots
                demand.used_slots = max(0, slots.slots - slots.free)
                demand.waiting_tokens = int(slots.queue.waiting_tokens)
                demand.wait_ms = int(slots.queue.expected_wait_s(now) * 1_000)
                if is_free(view.assignments.get(name)):
                    demand.spare_runner = name
                    demand.spare_blocks = self._cached_blocks.get(name, 0)
            found.append(demand)
        return list(total(found).values())

    def _forget_old(self, now: float) -> None:
        for parts in (self._nodes, self._zones):
            for name in [name for name, part in parts.items() if now - part.at > HOLD_S]:
                del parts[name]
        owned = self._owned()
        for runner in [name for name in self._cached_blocks if name not in owned]:
            del self._cached_blocks[runner]

    def _update_members(self) -> None:
        live = tuple(self._members.live())
        if live == self._live:
            return
        self._live = live
        own = self._members.own
        addresses = [member.address for member in live] or [own.address]
        near = [member.address for member in live if member.zone == own.zone] or [own.address]
        self._adder = ranked(_ADDER_KEY, near)[0]
        self._decider = ranked(_DECIDER_KEY, addresses)[0]
