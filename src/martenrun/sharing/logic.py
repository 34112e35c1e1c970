"""Decision logic that keeps the weights of a node's queues: policies, then corrections.

Once a second, for each pool whose runners this node owns, the pool's policy is evaluated for
the tenants that wait, the controller corrects the weights by the usage over all nodes, and the
pool's queues get them.

See also: :mod:`martenrun.sharing.policy_weights`, :mod:`martenrun.sharing.shares`.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from martenrun.configuration.objects import Kind, Policy, Pool, Tenant
from martenrun.configuration.view import ConfigurationView
from martenrun.events import Event, Instruction, Tick
from martenrun.sharing.decay import kept
from martenrun.sharing.fair_queue import FairQueue
from martenrun.sharing.meter import ExchangeMeter
from martenrun.sharing.policy import PolicyInputs
from martenrun.sharing.policy_status import PolicyStatus
from martenrun.sharing.policy_weights import PolicyWeights
from martenrun.sharing.shares import CONTROL_INTERVAL_S, ShareController
from martenrun.sharing.usage import UsageExchange
from martenrun.wire.messages import UsageDigest, UsageTotals

FORGET_INTERVAL_S = 10.0
"""Time between two looks for models that nobody asks for any more, in seconds."""

LONG_WINDOW_S = 300.0
"""Time constant of a policy's ``usage_5m``, in seconds."""


@dataclass(frozen=True, slots=True)
class PoolQueues:
    """The queues of the runners of one pool that this node owns.

    ``used_slots`` and ``slots`` are summed over these runners.
    """

    pool: str
    queues: Sequence[FairQueue]
    used_slots: int
    slots: int


@dataclass
class _Pool:
    """State of one pool; ``long_usage`` is kept for tenants that wait."""

    policy: PolicyWeights
    controller: ShareController
    model: str = ""
    long_usage: dict[str, float] = field(default_factory=dict)


class SharingLogic:
    """Weights of all queues of a node.

    Args:
        exchange: usage over all nodes; its messages are handled here too.
        meter: counts by tenant and model.
        queues: returns the owned queues by pool.
        view: returns the configuration in force.
        active: returns a tenant's requests in progress at this node.
    """

    handles = frozenset({Tick, UsageDigest, UsageTotals})

    def __init__(
        self,
        exchange: UsageExchange,
        meter: ExchangeMeter,
        queues: Callable[[], Sequence[PoolQueues]],
        view: Callable[[], ConfigurationView],
        active: Callable[[str], int],
    ) -> None:
        self._exchange = exchange
        self._meter = meter
        self._queues = queues
        self._view = view
        self._active = active
        self._pools: dict[str, _Pool] = {}
        self._next = 0.0
        self._next_forget = 0.0
        self.statuses: tuple[PolicyStatus, ...] = ()
        """Status of every pool's policy; replaced, never changed, so threads may read it."""

    def handle(self, event: Event, now: float) -> list[Instruction]:
        """Take in an event; see :class:`martenrun.events.DecisionLogic`."""
        instructions = self._exchange.handle(event, now)
        if isinstance(event, Tick) and now >= self._next:
            self._next = now + CONTROL_INTERVAL_S
            self._update(now)
        return instructions

    def granted(self, pool: str, tenant: str, tokens: float, now: float) -> None:
        """Count the expected tokens of a slot that this node has granted.

        The home node corrects the count when the request ends.
        """
        self._meter.served(tenant, self._model(pool), tokens, now)

    def _model(self, pool: str) -> str:
        document = self._view().documents.get((Kind.POOL, pool))
        return document.model if isinstance(document, Pool) else ""

    def _update(self, now: float) -> None:
        present = self._queues()
        for name in self._pools.keys() - {item.pool for item in present}:
            del self._pools[name]
        for item in present:
            self._update_pool(item, now)
        self.statuses = tuple(
            pool.policy.status(name) for name, pool in sorted(self._pools.items())
        )
        if now >= self._next_forget:
            self._next_forget = now + FORGET_INTERVAL_S
            self._meter.forget_idle(now)

    def _update_pool(self, item: PoolQueues, now: float) -> None:
        pool = self._pools.get(item.pool)
        if pool is None:
            pool = self._pools[item.pool] = self._new_pool(item.pool)
        self._publish(item.pool, pool)
        waiting = sorted({name for queue in item.queues for name in queue.backlogged()})
        for name in waiting:
            self._meter.watch(name, pool.model, now)
        pool.policy.evaluate([self._inputs(pool, item, name, now) for name in waiting])
        pool.long_usage = {name: pool.long_usage[name] for name in waiting}
        weights = pool.controller.weights(waiting, now)
        if weights is not None:
            for queue in item.queues:
                queue.set_weights(weights, self._plain_weight)

    def _new_pool(self, name: str) -> _Pool:
        policy = PolicyWeights()

        def weight_of(tenant: str) -> float:
            weight = policy.weights.get(tenant)
            return self._plain_weight(tenant) if weight is None else weight

        pool = _Pool(
            policy,
            ShareController(
                weight_of, lambda tenant, now: self._meter.usage(tenant, pool.model, now)
            ),
        )
        return pool

    def _publish(self, name: str, pool: _Pool) -> None:
        documents = self._view().documents
        pool.model = self._model(name)
        document = documents.get((Kind.POOL, name))
        if not isinstance(document, Pool):
            pool.policy.withdraw()
            return
        policy = documents.get((Kind.POLICY, document.policy or ""))
        if isinstance(policy, Policy):
            pool.policy.publish(document.policy or "", policy.expression)
        else:
            pool.policy.withdraw()

    def _inputs(self, pool: _Pool, item: PoolQueues, tenant: str, now: float) -> PolicyInputs:
        usage = self._meter.usage(tenant, pool.model, now).all_usage
        part = kept(CONTROL_INTERVAL_S, LONG_WINDOW_S)
        long_usage = part * pool.long_usage.get(tenant, usage) + (1 - part) * usage
        pool.long_usage[tenant] = long_usage
        total = self._exchange.total_usage()
        return PolicyInputs(
            tenant,
            self._plain_weight(tenant),
            usage,
            long_usage,
            min(1.0, usage / total) if total > 0 else 0.0,
            float(sum(queue.waiting(tenant) for queue in item.queues)),
            float(self._active(tenant)),
            min(1.0, item.used_slots / item.slots) if item.slots else 0.0,
        )

    def _plain_weight(self, tenant: str) -> float:
        document = self._view().documents.get((Kind.TENANT, tenant))
        return document.weight if isinstance(document, Tenant) else 1.0
