"""Model of runners, tenants and arrivals for ``martenrun bench sharing``, in virtual time.

Every node owns runners with a number of slots and one queue.  A request belongs to one of its
tenant's prefixes, each of which is cached near two nodes; it asks the one with the shorter
expected wait, and is refused at once if it cannot meet its deadline there.  The queue, the
usage exchange and the share controller are the product's own code.
"""

import random
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass, field

from martenrun.errors import DeadlineExceededError
from martenrun.identity.rendezvous import ranked
from martenrun.limits.admission import check_deadline
from martenrun.membership.view import Member, StaticMemberView
from martenrun.sharing.baselines import FifoQueue, RequestQueue
from martenrun.sharing.fair_queue import FairQueue, QueueEntry
from martenrun.sharing.shares import ShareController
from martenrun.sharing.usage import UsageExchange
from martenrun.simulation.hollow import HollowProcess
from martenrun.simulation.network import LinkFaults, SimulatedNetwork
from martenrun.simulation.scheduler import Scheduler

SLOTS_PER_NODE = 32
SLOT_TOKENS_PER_S = 250.0
MEAN_REQUEST_TOKENS = 500.0
LEAST_REQUEST_TOKENS = 50.0
MOST_REQUEST_TOKENS = 2_000.0
DEADLINE_S = 15.0
BURST_PERIOD_S = 10.0
TICK_S = 0.1
ZONES = 3
LOSS = 0.01


@dataclass(frozen=True, slots=True)
class TenantModel:
    """A tenant's weight and load.

    Attributes:
        demand: its part of all offered tokens.
        prefixes: how many prompts its requests share; few prefixes reach few nodes.
        is_bursty: offers twice its demand for 10 s, then nothing for 10 s.
        keys: number of API keys its requests carry.
    """

    name: str
    weight: float
    demand: float
    prefixes: int
    is_bursty: bool = False
    keys: int = 1


def tenants_of(count: int) -> list[TenantModel]:
    """Return a mix: three large (one with 1,000 keys), bursty, light and ordinary tenants."""
    large = [
        TenantModel("large-0", 2.0, 0.2, 64),
        TenantModel("large-1", 1.0, 0.2, 64),
        TenantModel("keys-1000", 1.0, 0.2, 64, keys=1_000),
    ]
    others = []
    rest = count - len(large)
    for number in range(rest):
        is_bursty, is_light = number % 6 == 0, number % 6 == 1
        kind = "bursty" if is_bursty else "light" if is_light else "plain"
        weight = 2.0 if number % 4 == 3 else 1.0
        demand = (0.3 if is_light else 1.0) * weight * 0.4 / rest
        others.append(TenantModel(f"{kind}-{number}", weight, demand, 4, is_bursty))
    return large + others


@dataclass(slots=True)
class Window:
    """What happened in one measured window, by tenant, in tokens unless named otherwise.

    ``offered`` includes what waited when the window began.
    """

    offered: Counter[str] = field(default_factory=Counter)
    served: Counter[str] = field(default_factory=Counter)
    refused_requests: Counter[str] = field(default_factory=Counter)
    waits_s: list[float] = field(default_factory=list)
    returns: int = 0
    returns_admitted: int = 0


class _Node:
    """One node: its slots, queue, and, for the global discipline, exchange and controller."""

    def __init__(self, run: "SharingRun", member: Member, queue: RequestQueue) -> None:
        self.member = member
        self.queue = queue
        self.free = SLOTS_PER_NODE
        view = StaticMemberView(member, run.members)
        self.usage = UsageExchange(view, random.Random(run.rng.random()))
        self.shares = ShareController(run.weight_of, self.usage.usage)


class SharingRun:
    """One run of a discipline: ``fifo``, ``per-node`` or ``global``."""

    def __init__(
        self, discipline: str, tenants: list[TenantModel], nodes: int, overload: float, seed: int
    ) -> None:
        self.scheduler = Scheduler()
        self.rng = random.Random(seed)
        self.window = Window()
        self._discipline = discipline
        self._tenants = {tenant.name: tenant for tenant in tenants}
        self._names = list(self._tenants)
        self._waiting: Counter[str] = Counter()
        self._sequence = 0
        self.members = [Member(f"10.0.{i}.1:7000", f"zone-{i % ZONES}") for i in range(nodes)]
        network = SimulatedNetwork(self.scheduler, self.rng, LinkFaults(loss=LOSS))
        make = FifoQueue if discipline == "fifo" else FairQueue
        self.nodes = {member.address: _Node(self, member, make()) for member in self.members}
        if discipline == "global":
            for address, node in self.nodes.items():
                HollowProcess(address, [node.usage], self.scheduler, network, {}, TICK_S)
        plain = {tenant.name: tenant.weight for tenant in tenants}
        for node in self.nodes.values():
            node.queue.set_weights(plain)
            self._every(TICK_S, lambda node=node: self._tick(node))  # type: ignore[misc]
        capacity = nodes * SLOTS_PER_NODE * SLOT_TOKENS_PER_S
        for tenant in tenants:
            rate = overload * capacity * tenant.demand / MEAN_REQUEST_TOKENS
            self._arrivals(tenant, rate)
        self._candidates: dict[tuple[str, int], list[_Node]] = {}

    def weight_of(self, tenant: str) -> float:
        """Return a tenant's plain weight."""
        return self._tenants[tenant].weight

    def run_window(self, seconds: float) -> Window:
        """Run on and return what happened in the meantime."""
        self.window = Window(offered=self._waiting.copy())
        self.scheduler.run_until(self.scheduler.now + seconds)
        return self.window

    def _arrivals(self, tenant: TenantModel, rate: float) -> None:
        """Offer a tenant's requests with exponential gaps."""

        def arrive() -> None:
            is_off = int(self.scheduler.now / BURST_PERIOD_S) % 2 == 1
            if not (tenant.is_bursty and is_off):
                self._ask(tenant, self._tokens(), is_return=False)
            factor = 2.0 if tenant.is_bursty else 1.0
            self.scheduler.after(self.rng.expovariate(rate * factor), arrive)

        self.scheduler.after(self.rng.expovariate(rate), arrive)

    def _tokens(self) -> float:
        drawn = self.rng.expovariate(1.0 / MEAN_REQUEST_TOKENS)
        return min(MOST_REQUEST_TOKENS, max(LEAST_REQUEST_TOKENS, drawn))

    def _ask(self, tenant: TenantModel, tokens: float, is_return: bool) -> None:
        now = self.scheduler.now
        nodes = self._near(tenant)
        node = min(nodes, key=lambda node: node.queue.expected_wait_s(now, tenant.name))
        if not is_return:
            self.window.offered[tenant.name] += tokens  # type: ignore[assignment]
        node.usage.demanded(tenant.name, tokens, now)
        try:
            check_deadline(DEADLINE_S, node.queue.expected_wait_s(now, tenant.name))
        except DeadlineExceededError as error:
            self._refuse(tenant, tokens, error.retry_after_s or 0.0, is_return)
            return
        self.window.returns_admitted += is_return
        self._sequence += 1
        entry = QueueEntry(
            str(self._sequence), 1, tenant.name, 0, tokens, now + DEADLINE_S, payload=now
        )
        node.queue.push(entry, now)
        self._waiting[tenant.name] += tokens  # type: ignore[assignment]
        self._serve(node)

    def _refuse(
        self, tenant: TenantModel, tokens: float, retry_after_s: float, is_return: bool
    ) -> None:
        """Count a refusal; the caller comes back once, at the time it was told."""
        if is_return:
            return
        self.window.refused_requests[tenant.name] += 1

        def come_back() -> None:
            self.window.returns += 1
            self._ask(tenant, tokens, is_return=True)

        self.scheduler.after(retry_after_s, come_back)

    def _near(self, tenant: TenantModel) -> list[_Node]:
        prefix = min(self.rng.randrange(tenant.prefixes), self.rng.randrange(tenant.prefixes))
        found = self._candidates.get((tenant.name, prefix))
        if found is None:
            order = ranked(f"{tenant.name} {prefix}".encode(), self.nodes)
            found = self._candidates[(tenant.name, prefix)] = [
                self.nodes[address] for address in order[:2]
            ]
        return found

    def _serve(self, node: _Node) -> None:
        now = self.scheduler.now
        while node.free and (entry := node.queue.pop(now)) is not None:
            node.free -= 1
            self._waiting[entry.tenant] -= entry.cost_tokens  # type: ignore[assignment]
            node.usage.served(entry.tenant, entry.cost_tokens, now)
            self.window.served[entry.tenant] += entry.cost_tokens  # type: ignore[assignment]
            assert isinstance(entry.payload, float)
            self.window.waits_s.append(now - entry.payload)
            service_s = entry.cost_tokens / SLOT_TOKENS_PER_S
            self.scheduler.after(service_s, lambda: self._finish(node))

    def _finish(self, node: _Node) -> None:
        node.free += 1
        self._serve(node)

    def _tick(self, node: _Node) -> None:
        now = self.scheduler.now
        for entry in node.queue.expire(now):
            self._waiting[entry.tenant] -= entry.cost_tokens  # type: ignore[assignment]
            self.window.refused_requests[entry.tenant] += 1
        if self._discipline == "global":
            weights = node.shares.weights(node.queue.backlogged(), now)
            if weights is not None:
                plain = {name: self.weight_of(name) for name in self._names}
                node.queue.set_weights(plain | weights)

    def _every(self, interval_s: float, call: Callable[[], None]) -> None:
        def again() -> None:
            call()
            self.scheduler.after(interval_s, again)

        self.scheduler.after(self.rng.random() * interval_s, again)
