"""Serves the accounts that this router owns, and recovers those that it becomes an owner of."""

from collections.abc import Callable, Sequence
from typing import Protocol

import attrs
import msgspec

from martenrun.net.loop import Loop, Timer
from martenrun.router.log import log_event
from martenrun.router.quotas.account import Part, PastUse, Verdict
from martenrun.router.quotas.ledger import KEPT_FOR_S, AccountView, Ledger
from martenrun.router.quotas.limit import QuotaBounds, display_name
from martenrun.router.quotas.messages import (
    QuotaAck,
    QuotaAnswer,
    QuotaAsk,
    QuotaMemory,
    QuotaMessage,
    QuotaRecall,
    QuotaUse,
    RecalledAccount,
    VersionedLimit,
)
from martenrun.router.quotas.owners import AccountOwners
from martenrun.router.quotas.recovery import (
    MS_PER_S,
    AccountRecovery,
    Situation,
    past_uses,
    recalled_uses,
)
from martenrun.router.quotas.replica_monitor import ReplicaMonitor
from martenrun.router.settings import RouterSettings

RECALL_TIMEOUT_S = 0.03
"""How long responses to a recall are awaited, in seconds; shorter than the requester's timeout."""

REPLICATED_FOR_S = 4.0
"""How long uses are replicated to a router that recalled an account or forwarded uses of it.

In seconds.  That router is an owner in some router's view, which may differ from this router's view
until all views agree.
"""

UNCONFIRMED_PACE = 0.5
"""Factor of the refill rate while another owner does not acknowledge uses."""

SUBSTITUTE_PACE = 0.25
"""Factor of the refill rate of a router that is asked because no owner responds."""

Respond = Callable[[Verdict], None]


class QuotaPeers(Protocol):
    """The required access to the other routers."""

    def tell(self, addresses: list[str], message: QuotaMessage) -> None:
        """Send a message to some routers."""

    def budget_count(self) -> int:
        """Return the number of routers that share a common budget."""


@attrs.define(eq=False)
class PendingRecovery:
    """An account that is being recovered, and the requests that wait for it."""

    recovery: AccountRecovery
    waiting: list[tuple[QuotaAsk, Respond]] = attrs.field(factory=list)
    timer: Timer | None = None


class AccountService:
    """The accounts owned by this router.

    Args:
        owners: selects the owners of an account.
        own_history: returns this router's own grants of a tenant, and for how long they have been
            recorded, in seconds.
    """

    def __init__(
        self,
        loop: Loop,
        peers: QuotaPeers,
        own_address: str,
        owners: AccountOwners,
        settings: Callable[[], RouterSettings],
        own_memory: Callable[[str], tuple[Sequence[PastUse], float]],
    ) -> None:
        self._loop = loop
        self._peers = peers
        self._own = own_address
        self._owners = owners
        self._settings = settings
        self._own_memory = own_memory
        self._monitor = ReplicaMonitor()
        self._ledger = Ledger(self._bounds, self._part)
        self._pending: dict[str, PendingRecovery] = {}
        self._replicas: dict[str, dict[str, float]] = {}

    def __len__(self) -> int:
        return len(self._ledger)

    def views(self) -> list[AccountView]:
        """Return the accounts held by this router."""
        return self._ledger.views(self._loop.now())

    def keep_house(self) -> None:
        """Drop expired state and mark accounts whose grants are not replicated here as stale."""
        now = self._loop.now()
        self._monitor.forget_old(now, KEPT_FOR_S)
        self._ledger.forget_idle(now)
        self._ledger.mark_stale(lambda tenant: self._own in self._owners.notified(tenant))
        self._forget_replicas(now)

    def reset(self) -> None:
        """Drop all accounts, because other owners granted units without reporting them here."""
        self._ledger.clear()

    # Requests

    def serve(self, ask: QuotaAsk) -> None:
        """Respond to another router's request, or forward it to an owner."""
        owner = None if ask.is_final else self._owners.forwards_to(ask.tenant)
        if owner is not None:
            self._peers.tell([owner], msgspec.structs.replace(ask, is_final=True))
            return

        def respond(verdict: Verdict) -> None:
            wait_ms = round(verdict.wait_s * MS_PER_S)
            balance = round(verdict.balance)
            answer = QuotaAnswer(ask.number, verdict.is_granted, wait_ms, self._own, balance)
            self._peers.tell([ask.asker], answer)

        self.decide(ask, respond)

    def decide(self, ask: QuotaAsk, respond: Respond) -> None:
        """Decide a request once this router's account is current."""
        if self._ledger.is_current(ask.tenant):
            self._decide_now(ask, respond)
            return
        pending = self._pending.get(ask.tenant)
        if pending is None:
            pending = self._recall(ask.tenant, ask.limit)
        pending.recovery.learn_limit(ask.limit)
        pending.waiting.append((ask, respond))
        if pending.recovery.is_answered:
            self._open(ask.tenant)

    def _decide_now(self, ask: QuotaAsk, respond: Respond) -> None:
        now = self._loop.now()
        verdict = self._ledger.ask(ask, now)
        if verdict is None:
            return
        if verdict.is_granted:
            use = QuotaUse(ask.tenant, ask.asker, ask.number, ask.units, ask.limit)
            self._replicate(use)
        balance = self._ledger.balance(ask.tenant, now)
        respond(attrs.evolve(verdict, owner=self._own, balance=balance))

    # Uses

    def note_use(self, use: QuotaUse) -> None:
        """Apply the units used by a grant, reported by its requester or by another owner."""
        now = self._loop.now()
        pending = self._pending.get(use.tenant)
        if self._ledger.has(use.tenant):
            self._ledger.note_use(use, now)
        elif pending is None and self._own in self._owners.owners(use.tenant):
            pending = self._recall(use.tenant, use.limit)
        if pending is not None:
            pending.recovery.learn_limit(use.limit)
            pending.recovery.add_use(PastUse((use.asker, use.number), use.units, now))
            if pending.recovery.is_answered:
                self._open(use.tenant)
        if not use.forwarder:
            self._replicate(use)
            return
        self._add_replica(use.tenant, use.forwarder, now)
        if self._monitor.may_acknowledge(use.forwarder, now):
            self._peers.tell([use.forwarder], QuotaAck(self._own))

    def note_acknowledged(self, ack: QuotaAck) -> None:
        """Record that another owner acknowledged uses."""
        self._monitor.note_acknowledged(ack.replica, self._loop.now())

    def _replicate(self, use: QuotaUse) -> None:
        """Send a use to the other routers that own the account in any router's view."""
        now = self._loop.now()
        replicas = {*self._owners.notified(use.tenant), *self._replicas.get(use.tenant, ())}
        replicas.discard(self._own)
        if replicas:
            forwarded = msgspec.structs.replace(use, forwarder=self._own)
            self._peers.tell(sorted(replicas), forwarded)
        for replica in replicas:
            self._monitor.note_replicated(replica, now)

    def _add_replica(self, tenant: str, address: str, now: float) -> None:
        """Replicate uses to a router that owns the account in some router's view."""
        self._replicas.setdefault(tenant, {})[address] = now + REPLICATED_FOR_S

    def _forget_replicas(self, now: float) -> None:
        """Stop replicating to routers that have not recently acted as owners of an account."""
        for tenant, replicas in list(self._replicas.items()):
            kept = {address: until for address, until in replicas.items() if until > now}
            if kept:
                self._replicas[tenant] = kept
            else:
                del self._replicas[tenant]

    # Recovery

    def answer_recall(self, recall: QuotaRecall) -> None:
        """Respond with this router's state of an account, and replicate uses from now on."""
        now = self._loop.now()
        if self._ledger.is_current(recall.tenant):
            self._add_replica(recall.tenant, recall.asker, now)
        self._peers.tell([recall.asker], self._memory(recall.tenant, now))

    def take_memory(self, memory: QuotaMemory) -> None:
        """Handle a response to a recall; late responses are counted as well."""
        now = self._loop.now()
        pending = self._pending.get(memory.tenant)
        if pending is not None:
            pending.recovery.add(memory, now)
            if pending.recovery.is_answered:
                self._open(memory.tenant)
            return
        uses = [*memory.uses, *(memory.account.uses if memory.account is not None else ())]
        self._ledger.count_late(memory.tenant, past_uses(uses, now), now)

    def _memory(self, tenant: str, now: float) -> QuotaMemory:
        uses, remembered_s = self._own_memory(tenant)
        account = None
        if self._ledger.is_current(tenant):
            account = RecalledAccount(
                round(self._ledger.balance(tenant, now)),
                round(self._ledger.covered_s(tenant, now) * MS_PER_S),
                recalled_uses(self._ledger.recent_uses(tenant, now), now),
            )
        remembered_ms = round(min(remembered_s, self._bounds(tenant).window_s) * MS_PER_S)
        return QuotaMemory(tenant, self._own, remembered_ms, recalled_uses(uses, now), account)

    def _recall(self, tenant: str, limit: VersionedLimit) -> PendingRecovery:
        now = self._loop.now()
        others = self._owners.participants()
        recovery = AccountRecovery(limit, [*others, self._own], self._bounds(tenant))
        recovery.add(self._memory(tenant, now), now)
        for use in self._ledger.recent_uses(tenant, now):
            recovery.add_use(use)
        pending = self._pending[tenant] = PendingRecovery(recovery)
        if others:
            self._peers.tell(others, QuotaRecall(tenant, self._own))
            pending.timer = self._loop.call_later(RECALL_TIMEOUT_S, lambda: self._open(tenant))
        return pending

    def _open(self, tenant: str) -> None:
        """Open the recovered account and decide the requests that waited for it."""
        pending = self._pending.pop(tenant, None)
        if pending is None:
            return
        if pending.timer is not None:
            pending.timer.cancel()
        now = self._loop.now()
        situation = Situation(
            departed_at=self._owners.departed_at(),
            knows_all=self._owners.knows_all(),
            is_substitute=self._owners.is_substitute(tenant),
        )
        opening = pending.recovery.open(self._part(tenant), situation, now)
        self._ledger.put(tenant, opening.account, now)
        log_event(
            "quota_account_opened",
            tenant=display_name(tenant),
            initial_balance=opening.beginning.value,
            units=round(opening.account.level(now)),
            covered_s=round(opening.account.covered_s(now), 2),
            unanswered=pending.recovery.unanswered,
            owners=",".join(self._owners.owners(tenant)),
            previous_owners=",".join(self._owners.previous_owners(tenant)),
        )
        for ask, respond in pending.waiting:
            self._decide_now(ask, respond)

    # Shares

    def _bounds(self, account: str) -> QuotaBounds:
        return self._settings().bounds.for_account(account)

    def _part(self, tenant: str) -> Part:
        """Return the share of a limit that this router may grant.

        An owner that does not acknowledge may be cut off together with half of the routers, and may
        keep granting.  The rate is reduced until the number of routers out of sight is known.
        """
        now = self._loop.now()
        if self._owners.is_substitute(tenant):
            pace = SUBSTITUTE_PACE
        elif any(self._monitor.is_lost(owner, now) for owner in self._owners.owners(tenant)):
            pace = UNCONFIRMED_PACE
        else:
            pace = 1.0
        return Part(self._owners.seen_share(), pace)
