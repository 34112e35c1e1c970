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
    Part,
    PastUse,
    Verdict,
)
from martenrun.router.quotas.ledger import AccountView, Ledger
from martenrun.router.quotas.limit import QuotaBounds, RateLimit
from martenrun.router.quotas.messages import (
    QuotaAck,
    QuotaAnswer,
    QuotaAsk,
    QuotaMemory,
    QuotaMessage,
    QuotaRecall,
    QuotaStage,
    QuotaUse,
    VersionedLimit,
)
from martenrun.router.quotas.owners import AccountOwners
from martenrun.router.quotas.recovery import MS_PER_S
from martenrun.router.quotas.service import AccountService, QuotaPeers
from martenrun.router.settings import RouterSettings

ANSWER_TIMEOUT_S = 0.06
"""Time after which the next owner is asked, in seconds."""

SUSPECTED_FOR_S = 1.0
"""How long a router that has not responded is asked last, in seconds."""

START_UP_S = 4.0
"""Time after startup before a router selects owners by its own membership view, in seconds."""

PAUSE_S = 1.0
"""Gap between two clock checks that means that the process was suspended, in seconds."""

ALONE_SHARE = 0.5
"""Fraction of its even share of a limit that an isolated router grants."""

UNKNOWN_ROUTERS = 100
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
    is_alone: bool = False
    is_sure: bool = True
    wait_s: float = 0.0
    owner: str = ""
    balance: float = 0.0


class GrantMemory:
    """The grants that this router obtained for its own requests within the last window."""

    def __init__(self, own_address: str) -> None:
        self._own = own_address
        self._uses: dict[str, collections.OrderedDict[int, PastUse]] = {}

    def note(self, tenant: str, number: int, units: int, now: float) -> None:
        """Set the units used by a grant; the time of its first record is kept."""
        uses = self._uses.setdefault(tenant, collections.OrderedDict())
        earlier = uses.get(number)
        at = now if earlier is None else earlier.at
        uses[number] = PastUse((self._own, number), units, at)

    def uses(self, tenant: str, since: float) -> list[PastUse]:
        """Return a tenant's grants since a monotonic time."""
        return [use for use in self._uses.get(tenant, {}).values() if use.at >= since]

    def forget_before(self, since: float) -> None:
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
        count: Callable[[str], None] = lambda _word: None,
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
        self._remembers_since = -math.inf if is_first else now
        self._established_since = -math.inf if is_first else now
        self._started_at = now
        self._checked_at = now
        self._memory = GrantMemory(own_address)
        self._service = AccountService(loop, peers, own_address, owners, settings, self._own_memory)
        self._alone = Ledger(self._bounds, self._even_part)
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
        return self._loop.now() - self._started_at <= START_UP_S

    def views(self) -> list[AccountView]:
        """Return the accounts held by this router."""
        return self._service.views()

    def keep_house(self) -> None:
        """Drop expired state and detect suspensions of the process."""
        now = self._loop.now()
        self._detect_pause(now)
        self._service.keep_house()
        self._alone.forget_idle(now)
        self._memory.forget_before(now - self._settings().bounds.longest_window_s)
        self._suspected = {name: until for name, until in self._suspected.items() if until > now}

    # Requests for grants

    def ask(
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
        known = VersionedLimit(
            self._configuration() if version is None else version,
            limit.units_per_s,
            limit.burst_units,
        )
        use = QuotaUse(tenant, self._own, self._number, units, known)
        now = self._loop.now()
        asked = self._owners.asked(tenant)
        asked.sort(key=lambda address: self._suspected.get(address, 0.0) > now)
        grant = Grant(use, on_decided, asked)
        self._pending[use.number] = grant
        self._ask_next(grant)
        return grant

    def give_back(self, grant: Grant) -> None:
        """Return the units of a grant that will not be used."""
        if grant.is_decided and not grant.is_granted:
            return
        if grant.is_granted:
            self._memory.note(grant.use.tenant, grant.use.number, 0, self._loop.now())
        self._decide(grant, False)
        self._announce_use(grant, 0)

    def _ask_next(self, grant: Grant) -> None:
        if not grant.remaining:
            self._grant_alone(grant)
            return
        address = grant.remaining.pop(0)
        grant.asked.append(address)
        use = grant.use
        is_final = len(grant.asked) > 1 and not grant.remaining
        ask = QuotaAsk(use.tenant, use.asker, use.number, use.units, use.limit, is_final)
        if address == self._own:
            self._service.decide(ask, lambda verdict: self._take_own_verdict(grant, verdict))
            return
        grant.timer = self._loop.call_later(ANSWER_TIMEOUT_S, lambda: self._on_silence(grant))
        self._peers.tell([address], ask)

    def _take_own_verdict(self, grant: Grant, verdict: Verdict) -> None:
        if not grant.is_decided:
            self._take_verdict(grant, verdict)

    def _on_silence(self, grant: Grant) -> None:
        if grant.is_decided:
            return
        self._count("unanswered")
        self._suspected[grant.asked[-1]] = self._loop.now() + SUSPECTED_FOR_S
        self._ask_next(grant)

    def _grant_alone(self, grant: Grant) -> None:
        """Decide by this router's even share of the limit."""
        use = grant.use
        now = self._loop.now()
        ask = QuotaAsk(use.tenant, use.asker, use.number, use.units, use.limit)
        if not self._alone.has(use.tenant):
            self._open_alone(use, now)
        verdict = self._alone.ask(ask, now)
        self._count("alone")
        grant.is_alone = True
        if verdict is not None:
            self._take_verdict(grant, verdict)

    def _open_alone(self, use: QuotaUse, now: float) -> None:
        remembers_all = now - self._remembers_since > self._bounds(use.tenant).window_s
        beginning = InitialBalance.FULL if remembers_all else InitialBalance.RESTARTED
        part = self._even_part(use.tenant)
        account = Account(use.limit, self._bounds(use.tenant), beginning, part, now)
        self._alone.put(use.tenant, account, now)

    def _take_verdict(self, grant: Grant, verdict: Verdict) -> None:
        use = grant.use
        if verdict.is_granted:
            self._memory.note(use.tenant, use.number, use.units, self._loop.now())
        self._decide(grant, verdict.is_granted)
        grant.wait_s = verdict.wait_s
        grant.owner, grant.balance = verdict.owner, verdict.balance
        grant.is_sure = not grant.is_alone and self._owners.seen_share() >= MAJORITY_SHARE
        if grant.is_alone or (len(grant.asked) > 1 and not verdict.is_granted):
            # An owner that did not respond may process the request late and count its units.
            self._announce_use(grant, use.units if verdict.is_granted else 0)
        self._count("granted" if verdict.is_granted else "refused")
        grant.on_decided(grant)

    def _decide(self, grant: Grant, is_granted: bool) -> None:
        grant.is_decided = True
        grant.is_granted = is_granted
        self._pending.pop(grant.use.number, None)
        if grant.timer is not None:
            grant.timer.cancel()

    def _announce_use(self, grant: Grant, units: int) -> None:
        """Report the units used by a grant to all routers that were asked for it."""
        use = grant.use
        use_now = msgspec.structs.replace(use, units=units)
        if grant.is_alone:
            self._alone.note_use(use_now, self._loop.now())
        others = [address for address in grant.asked if address != self._own]
        if others:
            self._peers.tell(others, use_now)
        if len(others) < len(grant.asked):
            self._service.note_use(use_now)

    def _take_answer(self, answer: QuotaAnswer) -> None:
        grant = self._pending.get(answer.number)
        if grant is not None:
            wait_s = answer.wait_ms / MS_PER_S
            verdict = Verdict(answer.is_granted, wait_s, answer.owner, answer.balance)
            self._take_verdict(grant, verdict)

    # Messages

    def take(self, message: QuotaMessage) -> None:
        """Handle a message from another router."""
        self._detect_pause(self._loop.now())
        if isinstance(message, QuotaAsk):
            self._service.serve(message)
        elif isinstance(message, QuotaUse):
            self._service.note_use(message)
        elif isinstance(message, QuotaAck):
            self._service.note_acknowledged(message)
        elif isinstance(message, QuotaRecall):
            self._service.answer_recall(message)
        elif isinstance(message, QuotaMemory):
            self._service.take_memory(message)
        else:
            self._take_answer(message)

    def _detect_pause(self, now: float) -> None:
        """Drop all accounts after a suspension, during which the other owner kept granting."""
        if now - self._checked_at > PAUSE_S:
            log_event("quota_accounts_reset", paused_s=round(now - self._checked_at, 1))
            self._started_at = self._established_since = now
            self._service.reset()
        self._checked_at = now

    def _own_memory(self, tenant: str) -> tuple[list[PastUse], float]:
        """Return this router's grants of the last window, and how far back they are complete."""
        now = self._loop.now()
        uses = self._memory.uses(tenant, now - self._bounds(tenant).window_s)
        return uses, now - self._remembers_since

    # Shares

    def _bounds(self, account: str) -> QuotaBounds:
        return self._settings().bounds.for_account(account)

    def _even_part(self, _tenant: str) -> Part:
        known = self._peers.budget_count()
        routers = max(known, UNKNOWN_ROUTERS) if self.is_starting() else known
        return Part(ALONE_SHARE / max(1, routers))
