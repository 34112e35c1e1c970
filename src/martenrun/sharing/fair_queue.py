"""Weighted fair queueing of waiting requests over tenants.

Start-time fair queueing: each tenant has a virtual time that advances by cost / weight when
one of its entries is popped, and the backlogged tenant with the least virtual time is next.
A tenant that becomes backlogged starts at the queue's virtual time, so idle time earns no
credit and borrowed idle capacity leaves no debt.  Every backlogged tenant is reached after
finite work of the others, whatever the weights.  All operations are O(log n) amortised.

See also: :mod:`martenrun.limits.admission`.
"""

import heapq
import itertools
import math
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

from martenrun.sharing.drain import DrainMeter

MINIMUM_WEIGHT = 1e-6
"""Least weight a tenant can have; keeps every tenant served."""

_COMPACT_SLACK = 64
"""Removed entries tolerated in a heap beyond the number of live ones."""

_PURGE_POPS = 1_024
"""Pops between two removals of idle tenants' state."""


@dataclass(frozen=True, slots=True)
class QueueEntry:
    """A waiting request.

    Attributes:
        request_id, attempt: identity of the question that waits.
        priority: larger is served first among the tenant's own entries.
        cost_tokens: expected prompt and output tokens; at least 1 is charged.
        deadline: local monotonic time after which the entry is useless, in seconds.
        payload: whatever the queue's user needs when the entry is popped.
    """

    request_id: str
    attempt: int
    tenant: str
    priority: int
    cost_tokens: float
    deadline: float
    payload: object = None

    @property
    def key(self) -> tuple[str, int]:
        """Identity within the queue."""
        return (self.request_id, self.attempt)


@dataclass(slots=True, eq=False)
class _Waiting:
    entry: QueueEntry
    cost: float
    is_live: bool = True


@dataclass(slots=True, eq=False)
class _TenantQueue:
    """A tenant's entries, best first, and its virtual time (tokens per unit of weight).

    ``turn`` identifies its valid item in the queue's heap of turns; 0 means it has none.
    """

    weight: float
    virtual_time: float
    heap: list[tuple[int, int, _Waiting]] = field(default_factory=list)
    live: int = 0
    waiting_tokens: float = 0.0
    turn: int = 0


class FairQueue:
    """Waiting requests of one pool or runner, popped in weighted fair order.

    ``now`` is a local monotonic time in seconds.  Expired entries are never popped; they are
    returned by :meth:`expire`, once each.
    """

    def __init__(self, default_weight: float = 1.0) -> None:
        self._default_weight = default_weight
        self._weights: dict[str, float] = {}
        self._others: Callable[[str], float] | None = None
        self._tenants: dict[str, _TenantQueue] = {}
        self._turns: list[tuple[float, int, str]] = []
        self._deadlines: list[tuple[float, int, _Waiting]] = []
        self._index: dict[tuple[str, int], _Waiting] = {}
        self._order = itertools.count(1)
        self._virtual_time = 0.0
        self._active_weight = 0.0
        self._waiting_tokens = 0.0
        self._pops = 0
        self._drain = DrainMeter()

    def __len__(self) -> int:
        return len(self._index)

    @property
    def waiting_tokens(self) -> float:
        """Expected tokens of everything that waits."""
        return self._waiting_tokens

    def waiting(self, tenant: str) -> int:
        """Return how many entries of a tenant wait."""
        found = self._tenants.get(tenant)
        return found.live if found is not None else 0

    def backlogged(self) -> list[str]:
        """Return the tenants with waiting entries."""
        return [name for name, tenant in self._tenants.items() if tenant.live]

    def push(self, entry: QueueEntry, now: float) -> bool:
        """Add an entry; a second push of the same identity changes nothing.

        Returns whether the entry was added.
        """
        if entry.key in self._index:
            return False
        self._drain.advance(now, bool(self._index))
        order = next(self._order)
        waiting = _Waiting(entry, max(1.0, entry.cost_tokens))
        self._index[entry.key] = waiting
        heapq.heappush(self._deadlines, (entry.deadline, order, waiting))
        tenant = self._tenant(entry.tenant)
        heapq.heappush(tenant.heap, (-entry.priority, order, waiting))
        tenant.live += 1
        tenant.waiting_tokens += waiting.cost
        self._waiting_tokens += waiting.cost
        if tenant.live == 1:
            self._active_weight += tenant.weight
        if not tenant.turn:
            tenant.virtual_time = max(tenant.virtual_time, self._virtual_time)
            self._take_turn(entry.tenant, tenant)
        return True

    def pop(self, now: float) -> QueueEntry | None:
        """Remove and return the next entry that can still meet its deadline."""
        self._drain.advance(now, bool(self._index))
        while self._turns:
            virtual_time, turn, name = heapq.heappop(self._turns)
            tenant = self._tenants.get(name)
            if tenant is None or tenant.turn != turn or not tenant.live:
                continue
            waiting = self._best(tenant, now)
            if waiting is None:
                # Only expired entries are left; they wait for expire().
                tenant.turn = 0
                continue
            self._virtual_time = max(self._virtual_time, virtual_time)
            tenant.virtual_time += waiting.cost / tenant.weight
            self._discard(waiting)
            self._drain.popped(waiting.cost)
            tenant.turn = 0
            if tenant.live:
                self._take_turn(name, tenant)
            self._purge()
            return waiting.entry
        return None

    def remove(self, request_id: str, attempt: int) -> bool:
        """Take an entry out, as when its caller has gone; returns whether it was there."""
        waiting = self._index.get((request_id, attempt))
        if waiting is None:
            return False
        self._discard(waiting)
        return True

    def expire(self, now: float) -> list[QueueEntry]:
        """Remove and return every entry whose deadline has passed."""
        self._drain.advance(now, bool(self._index))
        expired: list[QueueEntry] = []
        while self._deadlines and self._deadlines[0][0] <= now:
            waiting = heapq.heappop(self._deadlines)[2]
            if waiting.is_live:
                self._discard(waiting)
                expired.append(waiting.entry)
        return expired

    def expected_wait_s(self, now: float, tenant: str | None = None) -> float:
        """Return the expected wait of one more entry, in seconds.

        The measured drain rate is divided by the weights of the backlogged tenants; without a
        tenant the whole queue's time to drain is returned.
        """
        self._drain.advance(now, bool(self._index))
        whole_s = self._drain.wait_s(self._waiting_tokens)
        if tenant is None:
            return whole_s
        state = self._tenants.get(tenant)
        weight = self._weight(tenant)
        backlogged = state is not None and state.live > 0
        competing = self._active_weight + (0.0 if backlogged else weight)
        ahead = state.waiting_tokens if state is not None else 0.0
        return min(whole_s, self._drain.wait_s(ahead * competing / weight))

    def set_weights(
        self, weights: Mapping[str, float], others: Callable[[str], float] | None = None
    ) -> None:
        """Replace the weights; they hold for every pop from now on.

        Args:
            weights: by tenant.
            others: returns the weight of a tenant not named; the default weight if omitted.

        Raises ValueError for a weight that is not a finite number of at least zero; zero
        counts as :data:`MINIMUM_WEIGHT`.
        """
        for name, weight in weights.items():
            if not math.isfinite(weight) or weight < 0:
                raise ValueError(f"weight of {name!r} must be finite and not negative: {weight}")
        self._weights = {name: max(MINIMUM_WEIGHT, weight) for name, weight in weights.items()}
        self._others = others
        self._active_weight = 0.0
        for name, tenant in self._tenants.items():
            tenant.weight = self._weight(name)
            if tenant.live:
                self._active_weight += tenant.weight

    def charge(self, tenant: str, cost_tokens: float) -> None:
        """Count use that no pop has counted, or give back what a pop charged too much.

        Used when a request's real tokens are known and differ from its expected cost.
        """
        state = self._tenant(tenant)
        state.virtual_time = max(0.0, state.virtual_time + cost_tokens / state.weight)
        if state.live:
            state.virtual_time = max(state.virtual_time, self._virtual_time)
            self._take_turn(tenant, state)

    def _tenant(self, name: str) -> _TenantQueue:
        found = self._tenants.get(name)
        if found is None:
            found = _TenantQueue(self._weight(name), self._virtual_time)
            self._tenants[name] = found
        return found

    def _weight(self, name: str) -> float:
        found = self._weights.get(name)
        if found is not None:
            return found
        return self._others(name) if self._others is not None else self._default_weight

    def _take_turn(self, name: str, tenant: _TenantQueue) -> None:
        tenant.turn = next(self._order)
        heapq.heappush(self._turns, (tenant.virtual_time, tenant.turn, name))

    def _best(self, tenant: _TenantQueue, now: float) -> _Waiting | None:
        while tenant.heap:
            waiting = tenant.heap[0][2]
            if waiting.is_live and waiting.entry.deadline > now:
                return waiting
            heapq.heappop(tenant.heap)
        return None

    def _discard(self, waiting: _Waiting) -> None:
        waiting.is_live = False
        del self._index[waiting.entry.key]
        tenant = self._tenants[waiting.entry.tenant]
        tenant.live -= 1
        tenant.waiting_tokens -= waiting.cost
        self._waiting_tokens -= waiting.cost
        if not tenant.live:
            tenant.waiting_tokens = 0.0
            tenant.turn = 0
            tenant.heap.clear()
            self._active_weight -= tenant.weight
        elif len(tenant.heap) > 2 * tenant.live + _COMPACT_SLACK:
            tenant.heap = [item for item in tenant.heap if item[2].is_live]
            heapq.heapify(tenant.heap)
        if not self._index:
            self._active_weight = self._waiting_tokens = 0.0
        if len(self._deadlines) > 2 * len(self._index) + _COMPACT_SLACK:
            self._deadlines = [item for item in self._deadlines if item[2].is_live]
            heapq.heapify(self._deadlines)

    def _purge(self) -> None:
        """Forget idle tenants whose debt the others have caught up with, now and then."""
        self._pops += 1
        if self._pops % _PURGE_POPS:
            return
        self._tenants = {
            name: tenant
            for name, tenant in self._tenants.items()
            if tenant.live or tenant.virtual_time > self._virtual_time
        }
