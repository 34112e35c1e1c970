"""Serves the accounts that this router owns, and recovers those that it becomes an owner of."""

from collections.abc import Callable, Sequence
from typing import Protocol

import attrs
import msgspec

from martenrun.net.loop import Loop, Timer
from martenrun.net.periodic import call_safely
from martenrun.router.log import log_event
from martenrun.router.quotas.account import LimitShare, PastUse, QuotaDecision
from martenrun.router.quotas.ledger import MAX_IDLE_S, AccountView, Ledger
from martenrun.router.quotas.limit import QuotaBounds, display_name
from martenrun.router.quotas.messages import (
    QuotaAck,
    QuotaMessage,
    QuotaRequest,
    QuotaResponse,
    QuotaUse,
    RecalledAccount,
    RecallRequest,
    RecallResponse,
    VersionedLimit,
)
from martenrun.router.quotas.owners import AccountOwners
from martenrun.router.quotas.recovery import (
    MS_PER_S,
    AccountRecovery,
    RecoveryContext,
    past_uses,
    recalled_uses,
)
from martenrun.router.quotas.replica_monitor import ReplicaMonitor
from martenrun.router.settings import RouterSettings

RECALL_TIMEOUT_S = 0.03
"""How long responses to a recall are awaited, in seconds; shorter than the requester's timeout."""

REPLICATION_TTL_S = 4.0
"""How long uses are replicated to a router that recalled an account or forwarded uses of it.

In seconds.  That router is an owner in some router's view, which may differ from this router's view
until all views agree.
"""

UNCONFIRMED_RATE_FACTOR = 0.5
"""Factor of the refill rate while another owner does not acknowledge uses."""

SUBSTITUTE_RATE_FACTOR = 0.25
"""Factor of the refill rate of a router that is asked because no owner responds."""

Respond = Callable[[QuotaDecision], None]


class QuotaPeers(Protocol):
    """The required access to the other routers."""

    def send(self, addresses: list[str], message: QuotaMessage) -> None:
        """Send a message to some routers."""

    def budget_count(self) -> int:
        """Return the number of routers that share a common budget."""


@attrs.define(eq=False)
class PendingRecovery:
    """An account that is being recovered, and the requests that wait for it."""

    recovery: AccountRecovery
    waiting_requests: list[tuple[QuotaRequest, Respond]] = attrs.field(factory=list)
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
        own_history: Callable[[str], tuple[Sequence[PastUse], float]],
    ) -> None:
        self._loop = loop
        self._peers = peers
        self._own = own_address
        self._owners = owners
        self._settings = settings
        self._own_history = own_history
        self._monitor = ReplicaMonitor()
        self._ledger = Ledger(self._bounds, self._limit_share)
        self._pending: dict[str, PendingRecovery] = {}
        self._replicas: dict[str, dict[str, float]] = {}

    def __len__(self) -> int:
        return len(self._ledger)

    def views(self) -> list[AccountView]:
        """Return the accounts held by this router."""
        return self._ledger.views(self._loop.now())

    def run_maintenance(self) -> None:
        """Drop expired state and mark accounts whose grants are not replicated here as stale."""
        now = self._loop.now()
        self._monitor.drop_old(now, MAX_IDLE_S)
        self._ledger.drop_idle(now)
        self._ledger.mark_stale(
            lambda tenant: self._own in self._owners.replication_targets(tenant)
        )
        self._drop_expired_replicas(now)

    def reset(self) -> None:
        """Drop all accounts, because other owners granted units without reporting them here."""
        self._ledger.clear()

    # Requests

    def handle_request(self, request: QuotaRequest) -> None:
        """Respond to another router's request, or forward it to an owner."""
        owner = None if request.is_final else self._owners.forwarding_target(request.tenant)
        if owner is not None:
            self._peers.send([owner], msgspec.structs.replace(request, is_final=True))
            return

        def respond(decision: QuotaDecision) -> None:
            wait_ms = round(decision.wait_s * MS_PER_S)
            balance = round(decision.balance)
            response = QuotaResponse(
                request.number, decision.is_granted, wait_ms, self._own, balance
            )
            self._peers.send([request.requester], response)

        self.decide(request, respond)

    def decide(self, request: QuotaRequest, respond: Respond) -> None:
        """Decide a request once this router's account is current."""
        if self._ledger.is_current(request.tenant):
            self._decide_now(request, respond)
            return
        pending = self._pending.get(request.tenant)
        if pending is None:
            pending = self._start_recovery(request.tenant, request.limit)
        pending.recovery.update_limit(request.limit)
        pending.waiting_requests.append((request, respond))
        if pending.recovery.is_complete:
            self._finish_recovery(request.tenant)

    def _decide_now(self, request: QuotaRequest, respond: Respond) -> None:
        now = self._loop.now()
        decision = self._ledger.request(request, now)
        if decision is None:
            return
        if decision.is_granted:
            use = QuotaUse(
                request.tenant, request.requester, request.number, request.units, request.limit
            )
            self._replicate(use)
        balance = self._ledger.balance(request.tenant, now)
        respond(attrs.evolve(decision, owner=self._own, balance=balance))

    # Uses

    def record_use(self, use: QuotaUse) -> None:
        """Apply the units used by a grant, reported by its requester or by another owner."""
        now = self._loop.now()
        pending = self._pending.get(use.tenant)
        if self._ledger.has(use.tenant):
            self._ledger.record_use(use, now)
        elif pending is None and self._own in self._owners.owners(use.tenant):
            pending = self._start_recovery(use.tenant, use.limit)
        if pending is not None:
            pending.recovery.update_limit(use.limit)
            pending.recovery.add_use(PastUse((use.requester, use.number), use.units, now))
            if pending.recovery.is_complete:
                self._finish_recovery(use.tenant)
        if not use.forwarder:
            self._replicate(use)
            return
        self._add_replica(use.tenant, use.forwarder, now)
        if self._monitor.should_acknowledge(use.forwarder, now):
            self._peers.send([use.forwarder], QuotaAck(self._own))

    def handle_acknowledgement(self, ack: QuotaAck) -> None:
        """Record that another owner acknowledged uses."""
        self._monitor.record_acknowledged(ack.replica, self._loop.now())

    def _replicate(self, use: QuotaUse) -> None:
        """Send a use to the other routers that own the account in any router's view."""
        now = self._loop.now()
        replicas = {
            *self._owners.replication_targets(use.tenant),
            *self._replicas.get(use.tenant, ()),
        }
        replicas.discard(self._own)
        if replicas:
            forwarded = msgspec.structs.replace(use, forwarder=self._own)
            self._peers.send(sorted(replicas), forwarded)
        for replica in replicas:
            self._monitor.record_replicated(replica, now)

    def _add_replica(self, tenant: str, address: str, now: float) -> None:
        """Replicate uses to a router that owns the account in some router's view."""
        self._replicas.setdefault(tenant, {})[address] = now + REPLICATION_TTL_S

    def _drop_expired_replicas(self, now: float) -> None:
        """Stop replicating to routers that have not recently acted as owners of an account."""
        for tenant, replicas in list(self._replicas.items()):
            active = {
                address: expires_at for address, expires_at in replicas.items() if expires_at > now
            }
            if active:
                self._replicas[tenant] = active
            else:
                del self._replicas[tenant]

    # Recovery

    def handle_recall(self, recall: RecallRequest) -> None:
        """Respond with this router's state of an account, and replicate uses from now on."""
        now = self._loop.now()
        if self._ledger.is_current(recall.tenant):
            self._add_replica(recall.tenant, recall.requester, now)
        self._peers.send([recall.requester], self._recall_response(recall.tenant, now))

    def handle_recall_response(self, response: RecallResponse) -> None:
        """Handle a response to a recall; late responses are counted as well."""
        now = self._loop.now()
        pending = self._pending.get(response.tenant)
        if pending is not None:
            pending.recovery.add_response(response, now)
            if pending.recovery.is_complete:
                self._finish_recovery(response.tenant)
            return
        uses = [*response.uses, *(response.account.uses if response.account is not None else ())]
        self._ledger.record_late_uses(response.tenant, past_uses(uses, now), now)

    def _recall_response(self, tenant: str, now: float) -> RecallResponse:
        uses, remembered_s = self._own_history(tenant)
        account = None
        if self._ledger.is_current(tenant):
            account = RecalledAccount(
                round(self._ledger.balance(tenant, now)),
                round(self._ledger.covered_s(tenant, now) * MS_PER_S),
                recalled_uses(self._ledger.recent_uses(tenant, now), now),
            )
        remembered_ms = round(min(remembered_s, self._bounds(tenant).window_s) * MS_PER_S)
        return RecallResponse(tenant, self._own, remembered_ms, recalled_uses(uses, now), account)

    def _start_recovery(self, tenant: str, limit: VersionedLimit) -> PendingRecovery:
        now = self._loop.now()
        participants = self._owners.participants()
        recovery = AccountRecovery(limit, [*participants, self._own], self._bounds(tenant))
        recovery.add_response(self._recall_response(tenant, now), now)
        for use in self._ledger.recent_uses(tenant, now):
            recovery.add_use(use)
        pending = self._pending[tenant] = PendingRecovery(recovery)
        if participants:
            self._peers.send(participants, RecallRequest(tenant, self._own))
            pending.timer = self._loop.call_later(
                RECALL_TIMEOUT_S, lambda: self._finish_recovery(tenant)
            )
        return pending

    def _finish_recovery(self, tenant: str) -> None:
        """Open the recovered account and decide the requests that waited for it."""
        pending = self._pending.pop(tenant, None)
        if pending is None:
            return
        if pending.timer is not None:
            pending.timer.cancel()
        now = self._loop.now()
        context = RecoveryContext(
            departure_times=self._owners.departure_times(),
            has_complete_view=self._owners.has_complete_view(),
            is_substitute=self._owners.is_substitute(tenant),
        )
        recovered = pending.recovery.recover(self._limit_share(tenant), context, now)
        self._ledger.put(tenant, recovered.account, now)
        log_event(
            "quota_account_opened",
            tenant=display_name(tenant),
            initial_balance=recovered.initial_balance.value,
            units=round(recovered.account.level(now)),
            covered_s=round(recovered.account.covered_s(now), 2),
            unanswered=pending.recovery.unanswered,
            owners=",".join(self._owners.owners(tenant)),
            previous_owners=",".join(self._owners.previous_owners(tenant)),
        )
        for request, respond in pending.waiting_requests:
            call_safely("quota_decision", self._decide_now, request, respond)

    # Shares

    def _bounds(self, account: str) -> QuotaBounds:
        return self._settings().bounds.for_account(account)

    def _limit_share(self, tenant: str) -> LimitShare:
        """Return the share of a limit that this router may grant.

        An owner that does not acknowledge may be cut off together with half of the routers, and may
        keep granting.  The rate is reduced until the number of routers out of sight is known.
        """
        now = self._loop.now()
        if self._owners.is_substitute(tenant):
            rate_factor = SUBSTITUTE_RATE_FACTOR
        elif any(self._monitor.is_unreachable(owner, now) for owner in self._owners.owners(tenant)):
            rate_factor = UNCONFIRMED_RATE_FACTOR
        else:
            rate_factor = 1.0
        return LimitShare(self._owners.visible_fraction(), rate_factor)
