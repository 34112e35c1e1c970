"""Obtains grants from the owners of rate-limited accounts.

The owners of an account are asked one after the other.  If none responds, this router grants units
from its own even share of the limit.  The shares of all routers that are cut off stay within what
the owners leave unused, because owners reduce their own share when routers are missing.
"""

import collections
import math
import random
from collections.abc import Callable

import attrs
import msgspec

from martenrun.net.loop import Loop, Timer
from martenrun.router.log import log_event
from martenrun.router.quotas.account import (
    MAJORITY_SHARE,
    Account,
    InitialBalance,
    LimitShare,
    PastUse,
    QuotaDecision,
)
from martenrun.router.quotas.ledger import AccountView, Ledger
from martenrun.router.quotas.limit import QuotaBounds, RateLimit
from martenrun.router.quotas.messages import (
    QuotaAck,
    QuotaMessage,
    QuotaRequest,
    QuotaResponse,
    QuotaStage,
    QuotaUse,
    RecallRequest,
    RecallResponse,
    VersionedLimit,
)
from martenrun.router.quotas.owners import AccountOwners
from martenrun.router.quotas.recovery import MS_PER_S
from martenrun.router.quotas.service import AccountService, QuotaPeers
from martenrun.router.settings import RouterSettings

RESPONSE_TIMEOUT_S = 0.06
"""Time after which the next owner is asked, in seconds."""

SUSPECTED_FOR_S = 1.0
"""How long a router that has not responded is asked last, in seconds."""

STARTUP_S = 4.0
"""Time after startup before a router selects owners by its own membership view, in seconds."""

SUSPENSION_THRESHOLD_S = 1.0
"""Gap between two clock checks that means that the process was suspended, in seconds."""

ISOLATED_SHARE = 0.5
"""Fraction of its even share of a limit that an isolated router grants."""

ASSUMED_ROUTERS = 100
"""Number of routers assumed by a router that is starting and reaches no other."""


@attrs.define(eq=False)
class Grant:
    """A request for units and its outcome.

    Attributes:
        on_decided: called once with this grant.
        remaining, asked: the routers still to be asked, and those asked so far.
        is_isolated: whether no other router responded.
        is_conclusive: whether the deciding router sees a majority of the routers, so that a
            refusal means that the tenant is over its limit.
        wait_s: delay before a retry if the units were refused, in seconds.
        owner, balance: the router that decided, and the units left in its account.
    """

    use: QuotaUse
    on_decided: Callable[["Grant"], None]
    remaining: list[str]
    asked: list[str] = attrs.field(factory=list)
    timer: Timer | None = None
    is_decided: bool = False
    is_granted: bool = False
    is_isolated: bool = False
    is_conclusive: bool = True
    wait_s: float = 0.0
    owner: str = ""
    balance: float = 0.0


class GrantHistory:
    """The grants that this router obtained for its own requests within the last window."""

    def __init__(self, own_address: str) -> None:
        self._own = own_address
        self._uses: dict[str, collections.OrderedDict[int, PastUse]] = {}

    def record(self, tenant: str, number: int, units: int, now: float) -> None:
        """Set the units used by a grant; the time of its first record is kept."""
        uses = self._uses.setdefault(tenant, collections.OrderedDict())
        previous = uses.get(number)
        at = now if previous is None else previous.at
        uses[number] = PastUse((self._own, number), units, at)

    def uses(self, tenant: str, since: float) -> list[PastUse]:
        """Return a tenant's grants since a monotonic time."""
        return [use for use in self._uses.get(tenant, {}).values() if use.at >= since]

    def drop_before(self, since: float) -> None:
        """Drop grants older than a monotonic time."""
        for tenant, uses in list(self._uses.items()):
            while uses and next(iter(uses.values())).at < since:
                uses.popitem(last=False)
            if not uses:
                del self._uses[tenant]


class QuotaGate:
    """Obtains grants for the requests of one router and serves the accounts that it owns.

    Args:
        owners: selects the owners of an account.
        configuration: returns the version of the configuration in effect here.
        settings: returns the settings in effect.
        count: increments the metric of grant requests with the given outcome.
    """

    def __init__(
        self,
        loop: Loop,
        peers: QuotaPeers,
        own_address: str,
        owners: AccountOwners,
        configuration: Callable[[], int],
        settings: Callable[[], RouterSettings],
        count: Callable[[str], None] = lambda _outcome: None,
    ) -> None:
        self._loop = loop
        self._peers = peers
        self._own = own_address
        self._owners = owners
        self._configuration = configuration
        self._settings = settings
        self._count = count
        now = loop.now()
        is_first = settings().is_first_start
        # Before the first start of all routers no grants exist.
        self._history_since = -math.inf if is_first else now
        self._established_since = -math.inf if is_first else now
        self._started_at = now
        self._checked_at = now
        self._history = GrantHistory(own_address)
        self._service = AccountService(
            loop, peers, own_address, owners, settings, self._own_history
        )
        self._isolated_ledger = Ledger(self._bounds, self._even_share)
        self._pending: dict[int, Grant] = {}
        self._suspected: dict[str, float] = {}
        # Grant numbers must not repeat those of an earlier incarnation of this router.
        self._number = random.SystemRandom().getrandbits(48)

    def __len__(self) -> int:
        return len(self._service)

    def stage(self) -> QuotaStage:
        """Return the stage that this router advertises as an owner of accounts."""
        up_s = self._loop.now() - self._established_since
        is_established = up_s > self._settings().bounds.longest_window_s
        return QuotaStage.ESTABLISHED if is_established else QuotaStage.JOINING

    def is_starting(self) -> bool:
        """Whether this router started too recently to rely on its own membership view."""
        return self._loop.now() - self._started_at <= STARTUP_S

    def views(self) -> list[AccountView]:
        """Return the accounts held by this router."""
        return self._service.views()

    def run_maintenance(self) -> None:
        """Drop expired state and detect suspensions of the process."""
        now = self._loop.now()
        self._detect_suspension(now)
        self._service.run_maintenance()
        self._isolated_ledger.drop_idle(now)
        self._history.drop_before(now - self._settings().bounds.longest_window_s)
        self._suspected = {name: until for name, until in self._suspected.items() if until > now}

    # Requests for grants

    def request(
        self,
        tenant: str,
        limit: RateLimit,
        units: int,
        on_decided: Callable[[Grant], None],
        version: int | None = None,
    ) -> Grant:
        """Request units; the decision may be made before this returns.

        Args:
            version: version of the limit, the highest of which takes precedence; None for the
                version of the current configuration.
        """
        self._number += 1
        versioned_limit = VersionedLimit(
            self._configuration() if version is None else version,
            limit.units_per_s,
            limit.burst_units,
        )
        use = QuotaUse(tenant, self._own, self._number, units, versioned_limit)
        now = self._loop.now()
        candidates = self._owners.request_order(tenant)
        candidates.sort(key=lambda address: self._suspected.get(address, 0.0) > now)
        grant = Grant(use, on_decided, candidates)
        self._pending[use.number] = grant
        self._request_next(grant)
        return grant

    def give_back(self, grant: Grant) -> None:
        """Return the units of a grant that will not be used."""
        if grant.is_decided and not grant.is_granted:
            return
        if grant.is_granted:
            self._history.record(grant.use.tenant, grant.use.number, 0, self._loop.now())
        self._close_request(grant, False)
        self._report_use(grant, 0)

    def _request_next(self, grant: Grant) -> None:
        if not grant.remaining:
            self._decide_isolated(grant)
            return
        address = grant.remaining.pop(0)
        grant.asked.append(address)
        use = grant.use
        is_final = len(grant.asked) > 1 and not grant.remaining
        request = QuotaRequest(
            use.tenant, use.requester, use.number, use.units, use.limit, is_final
        )
        if address == self._own:
            self._service.decide(
                request, lambda decision: self._apply_own_decision(grant, decision)
            )
            return
        grant.timer = self._loop.call_later(RESPONSE_TIMEOUT_S, lambda: self._on_timeout(grant))
        self._peers.send([address], request)

    def _apply_own_decision(self, grant: Grant, decision: QuotaDecision) -> None:
        if not grant.is_decided:
            self._apply_decision(grant, decision)

    def _on_timeout(self, grant: Grant) -> None:
        if grant.is_decided:
            return
        self._count("unanswered")
        self._suspected[grant.asked[-1]] = self._loop.now() + SUSPECTED_FOR_S
        self._request_next(grant)

    def _decide_isolated(self, grant: Grant) -> None:
        """Decide by this router's even share of the limit."""
        use = grant.use
        now = self._loop.now()
        request = QuotaRequest(use.tenant, use.requester, use.number, use.units, use.limit)
        if not self._isolated_ledger.has(use.tenant):
            self._open_isolated_account(use, now)
        decision = self._isolated_ledger.request(request, now)
        self._count("alone")
        grant.is_isolated = True
        if decision is not None:
            self._apply_decision(grant, decision)

    def _open_isolated_account(self, use: QuotaUse, now: float) -> None:
        covers_window = now - self._history_since > self._bounds(use.tenant).window_s
        initial_balance = InitialBalance.FULL if covers_window else InitialBalance.RESTARTED
        share = self._even_share(use.tenant)
        account = Account(use.limit, self._bounds(use.tenant), initial_balance, share, now)
        self._isolated_ledger.put(use.tenant, account, now)

    def _apply_decision(self, grant: Grant, decision: QuotaDecision) -> None:
        use = grant.use
        if decision.is_granted:
            self._history.record(use.tenant, use.number, use.units, self._loop.now())
        self._close_request(grant, decision.is_granted)
        grant.wait_s = decision.wait_s
        grant.owner, grant.balance = decision.owner, decision.balance
        grant.is_conclusive = (
            not grant.is_isolated and self._owners.visible_fraction() >= MAJORITY_SHARE
        )
        if grant.is_isolated or (len(grant.asked) > 1 and not decision.is_granted):
            # An owner that did not respond may process the request late and count its units.
            self._report_use(grant, use.units if decision.is_granted else 0)
        self._count("granted" if decision.is_granted else "refused")
        grant.on_decided(grant)

    def _close_request(self, grant: Grant, is_granted: bool) -> None:
        grant.is_decided = True
        grant.is_granted = is_granted
        self._pending.pop(grant.use.number, None)
        if grant.timer is not None:
            grant.timer.cancel()

    def _report_use(self, grant: Grant, units: int) -> None:
        """Report the units used by a grant to all routers that were asked for it."""
        use = grant.use
        updated_use = msgspec.structs.replace(use, units=units)
        if grant.is_isolated:
            self._isolated_ledger.record_use(updated_use, self._loop.now())
        others = [address for address in grant.asked if address != self._own]
        if others:
            self._peers.send(others, updated_use)
        if len(others) < len(grant.asked):
            self._service.record_use(updated_use)

    def _handle_response(self, response: QuotaResponse) -> None:
        grant = self._pending.get(response.number)
        if grant is not None:
            wait_s = response.wait_ms / MS_PER_S
            decision = QuotaDecision(response.is_granted, wait_s, response.owner, response.balance)
            self._apply_decision(grant, decision)

    # Messages

    def handle_message(self, message: QuotaMessage) -> None:
        """Handle a message from another router."""
        self._detect_suspension(self._loop.now())
        if isinstance(message, QuotaRequest):
            self._service.handle_request(message)
        elif isinstance(message, QuotaUse):
            self._service.record_use(message)
        elif isinstance(message, QuotaAck):
            self._service.handle_acknowledgement(message)
        elif isinstance(message, RecallRequest):
            self._service.handle_recall(message)
        elif isinstance(message, RecallResponse):
            self._service.handle_recall_response(message)
        else:
            self._handle_response(message)

    def _detect_suspension(self, now: float) -> None:
        """Drop all accounts after a suspension, during which the other owner kept granting."""
        if now - self._checked_at > SUSPENSION_THRESHOLD_S:
            log_event("quota_accounts_reset", paused_s=round(now - self._checked_at, 1))
            self._started_at = self._established_since = now
            self._service.reset()
        self._checked_at = now

    def _own_history(self, tenant: str) -> tuple[list[PastUse], float]:
        """Return this router's grants of the last window, and how far back they are complete."""
        now = self._loop.now()
        uses = self._history.uses(tenant, now - self._bounds(tenant).window_s)
        return uses, now - self._history_since

    # Shares

    def _bounds(self, account: str) -> QuotaBounds:
        return self._settings().bounds.for_account(account)

    def _even_share(self, _tenant: str) -> LimitShare:
        known_routers = self._peers.budget_count()
        routers = max(known_routers, ASSUMED_ROUTERS) if self.is_starting() else known_routers
        return LimitShare(ISOLATED_SHARE / max(1, routers))
