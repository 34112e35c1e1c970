"""Asks for each request of a tenant with a limit whether it may use its units now.

The keepers of the tenant's account are asked one after the other.  Where none answers, this router
grants its own even part of the limit: what all routers that are cut off grant so stays within what
the keepers, which see that routers are missing, leave to them.
"""

import random
from collections.abc import Callable
from typing import Protocol

import attrs

from martenrun.net.loop import Loop, Timer
from martenrun.router.log import log_event
from martenrun.router.messages import RouterSettings
from martenrun.router.quotas.account import WHOLE_SHARE, Part, Verdict
from martenrun.router.quotas.homes import Homes
from martenrun.router.quotas.keepers_watch import KeepersWatch
from martenrun.router.quotas.ledger import KEPT_FOR_S, AccountView, Ledger, OpenedAccount
from martenrun.router.quotas.limit import QuotaBounds, RateLimit
from martenrun.router.quotas.messages import (
    QuotaAnswer,
    QuotaAsk,
    QuotaMessage,
    QuotaSeen,
    QuotaStage,
    QuotaUse,
    ToldLimit,
)

ANSWER_WITHIN_S = 0.06
"""How long a keeper may take to answer before the next is asked, in seconds."""

DOUBTED_FOR_S = 1.0
"""For how long a router that has not answered is asked last, in seconds."""

YOUNG_S = 4.0
"""Time from a router's start until it chooses keepers by its own view, in seconds."""

STOOD_STILL_S = 1.0
"""Time without a look at the clock after which this process has stood still, in seconds."""

UNSURE_PACE = 0.5
"""Part of the rate that is granted while another keeper does not answer."""

SUBSTITUTE_PACE = 0.25
"""Part of the rate that a router grants which is asked since neither keeper answers."""

ALONE_SHARE = 0.5
"""Part of its even share of a limit that a router grants which reaches no other."""

UNKNOWN_ROUTERS = 100
"""Routers reckoned with by one that has just started and reaches no other."""

MS_PER_S = 1000.0


class QuotaPeers(Protocol):
    """What is needed of the other routers."""

    def tell(self, addresses: list[str], message: QuotaMessage) -> None:
        """Send a message to some routers."""

    def budget_count(self) -> int:
        """Return among how many routers something common is to be shared."""


@attrs.define(eq=False)
class Grant:
    """A question for units and what became of it.

    Attributes:
        on_decided: called once with this grant.
        remaining, asked: the routers still to be asked, and those asked so far.
        is_alone: no other router has answered.
        is_sure: whoever has decided sees most routers, so that a refused tenant is over its limit.
        wait_s: after how many seconds to come back if it was not granted.
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


class QuotaGate:
    """Grants of one router: asks for its own, and answers for the accounts that it keeps.

    Args:
        homes: who keeps an account.
        configuration: returns the version of the configuration in force here.
        settings: returns the settings in force.
        count: counts how a question ended, by a word.
    """

    def __init__(
        self,
        loop: Loop,
        peers: QuotaPeers,
        own_address: str,
        homes: Homes,
        configuration: Callable[[], int],
        settings: Callable[[], RouterSettings],
        count: Callable[[str], None] = lambda _word: None,
    ) -> None:
        self._loop = loop
        self._peers = peers
        self._own = own_address
        self._homes = homes
        self._configuration = configuration
        self._settings = settings
        self._count = count
        is_first = settings().is_first_start
        self._is_first_start = is_first
        self._began_at = loop.now()
        self._looked_at = loop.now()
        self._watch = KeepersWatch()
        self._ledger = Ledger(
            self._bounds, self._keepers_part, loop.now(), is_first, self._log_opened
        )
        self._alone = Ledger(self._bounds, self._even_part, loop.now(), is_first)
        self._pending: dict[int, Grant] = {}
        self._doubted: dict[str, float] = {}
        # Numbers of an earlier life of this router must not be met again.
        self._number = random.SystemRandom().getrandbits(48)

    def __len__(self) -> int:
        return len(self._ledger)

    def stage(self) -> QuotaStage:
        """Return what this router tells of the accounts that it keeps."""
        up_s = self._loop.now() - self._began_at
        is_warm = self._is_first_start or up_s > self._bounds().window_s
        return QuotaStage.WARM if is_warm else QuotaStage.BEGUN

    def is_young(self) -> bool:
        """Whether this router started so shortly ago that its view of the others may differ."""
        return self._loop.now() - self._began_at <= YOUNG_S

    def views(self) -> list[AccountView]:
        """Return the accounts kept here."""
        return self._ledger.views(self._loop.now())

    def keep_house(self) -> None:
        """Drop what is not needed any more."""
        now = self._loop.now()
        self._look_at_clock(now)
        self._watch.forget_old(now, KEPT_FOR_S)
        self._ledger.forget_idle(now)
        self._alone.forget_idle(now)
        self._doubted = {name: until for name, until in self._doubted.items() if until > now}

    # Asking

    def ask(
        self, tenant: str, limit: RateLimit, units: int, on_decided: Callable[[Grant], None]
    ) -> Grant:
        """Ask for units; it may be decided before this returns."""
        self._number += 1
        told = ToldLimit(self._configuration(), limit.units_per_s, limit.burst_units)
        use = QuotaUse(tenant, self._own, self._number, units, told)
        now = self._loop.now()
        asked = self._homes.asked(tenant)
        asked.sort(key=lambda address: self._doubted.get(address, 0.0) > now)
        grant = Grant(use, on_decided, asked)
        self._pending[use.number] = grant
        self._ask_next(grant)
        return grant

    def give_back(self, grant: Grant) -> None:
        """Nothing was used of a grant, and nothing will be."""
        if grant.is_decided and not grant.is_granted:
            return
        self._decide(grant, False)
        self._tell_worth(grant, 0)

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
            verdict = self._answer(ask)
            if verdict is not None:
                self._take_verdict(grant, verdict)
            return
        grant.timer = self._loop.call_later(ANSWER_WITHIN_S, lambda: self._on_silence(grant))
        self._peers.tell([address], ask)

    def _on_silence(self, grant: Grant) -> None:
        if grant.is_decided:
            return
        self._count("unanswered")
        self._doubted[grant.asked[-1]] = self._loop.now() + DOUBTED_FOR_S
        self._ask_next(grant)

    def _grant_alone(self, grant: Grant) -> None:
        """Decide by this router's even part of the limit."""
        use = grant.use
        ask = QuotaAsk(use.tenant, use.asker, use.number, use.units, use.limit)
        verdict = self._alone.ask(ask, self._loop.now())
        self._count("alone")
        grant.is_alone = True
        if verdict is not None:
            self._take_verdict(grant, verdict)

    def _take_verdict(self, grant: Grant, verdict: Verdict) -> None:
        self._decide(grant, verdict.is_granted)
        grant.wait_s = verdict.wait_s
        grant.owner, grant.balance = verdict.owner, verdict.balance
        grant.is_sure = not grant.is_alone and self._homes.seen_share() >= WHOLE_SHARE
        if grant.is_alone or (len(grant.asked) > 1 and not verdict.is_granted):
            # Who stayed silent may read the question late and count what it asked for.
            self._tell_worth(grant, grant.use.units if verdict.is_granted else 0)
        self._count("granted" if verdict.is_granted else "refused")
        grant.on_decided(grant)

    def _decide(self, grant: Grant, is_granted: bool) -> None:
        grant.is_decided = True
        grant.is_granted = is_granted
        self._pending.pop(grant.use.number, None)
        if grant.timer is not None:
            grant.timer.cancel()

    def _tell_worth(self, grant: Grant, units: int) -> None:
        """Tell all that were asked what a grant is worth."""
        use = grant.use
        worth = QuotaUse(use.tenant, use.asker, use.number, units, use.limit)
        if grant.is_alone:
            self._alone.note_use(worth, self._loop.now())
        others = [address for address in grant.asked if address != self._own]
        if others:
            self._peers.tell(others, worth)
        if len(others) < len(grant.asked):
            self._note_use(worth)

    # Answering

    def take(self, message: QuotaMessage) -> None:
        """Take in what another router asks or tells."""
        now = self._loop.now()
        self._look_at_clock(now)
        if isinstance(message, QuotaAsk):
            self._serve(message)
        elif isinstance(message, QuotaUse):
            self._note_use(message)
        elif isinstance(message, QuotaSeen):
            self._watch.note_seen(message.keeper, now)
        else:
            self._take_answer(message)

    def _look_at_clock(self, now: float) -> None:
        """Begin anew after a stand-still: the other keeper has granted meanwhile."""
        if now - self._looked_at > STOOD_STILL_S:
            log_event("quota_accounts_begun_anew", stood_still_s=round(now - self._looked_at, 1))
            self._began_at = now
            self._is_first_start = False
            self._ledger.begin_anew(now)
        self._looked_at = now

    def _serve(self, ask: QuotaAsk) -> None:
        keeper = None if ask.is_final else self._homes.passes_on_to(ask.tenant)
        if keeper is not None:
            self._peers.tell([keeper], _final(ask))
            return
        verdict = self._answer(ask)
        if verdict is not None:
            wait_ms = round(verdict.wait_s * MS_PER_S)
            answer = QuotaAnswer(
                ask.number, verdict.is_granted, wait_ms, self._own, round(verdict.balance)
            )
            self._peers.tell([ask.asker], answer)

    def _answer(self, ask: QuotaAsk) -> Verdict | None:
        is_substitute = self._homes.is_substitute(ask.tenant)
        verdict = self._ledger.ask(ask, self._loop.now(), is_substitute)
        if verdict is None:
            return None
        if verdict.is_granted:
            self._pass_on(QuotaUse(ask.tenant, ask.asker, ask.number, ask.units, ask.limit))
        balance = self._ledger.balance(ask.tenant, self._loop.now())
        return attrs.evolve(verdict, owner=self._own, balance=balance)

    def _note_use(self, use: QuotaUse) -> None:
        is_keeper = self._own in self._homes.keepers(use.tenant)
        if is_keeper or self._ledger.keeps(use.tenant):
            self._ledger.note_use(use, self._loop.now())
        if not use.teller:
            self._pass_on(use)
        elif self._watch.answers(use.teller, self._loop.now()):
            self._peers.tell([use.teller], QuotaSeen(self._own))

    def _pass_on(self, use: QuotaUse) -> None:
        """Tell the others that keep the account."""
        others = [a for a in self._homes.told(use.tenant) if a != self._own]
        if others:
            told = QuotaUse(use.tenant, use.asker, use.number, use.units, use.limit, self._own)
            self._peers.tell(others, told)
        for keeper in others:
            self._watch.note_passed_on(keeper, self._loop.now())

    def _take_answer(self, answer: QuotaAnswer) -> None:
        grant = self._pending.get(answer.number)
        if grant is not None:
            wait_s = answer.wait_ms / MS_PER_S
            verdict = Verdict(answer.is_granted, wait_s, answer.owner, answer.balance)
            self._take_verdict(grant, verdict)

    def _log_opened(self, opened: OpenedAccount) -> None:
        """Log how an account begins, and who else holds it in this router's view."""
        log_event(
            "quota_account_opened",
            tenant=opened.tenant,
            initial_balance=opened.beginning.value,
            units=round(opened.units),
            owners=",".join(self._homes.keepers(opened.tenant)),
            previous_owners=",".join(self._homes.previous_keepers(opened.tenant)),
            up_s=round(self._loop.now() - self._began_at, 2),
        )

    # Shares

    def _bounds(self) -> QuotaBounds:
        return self._settings().bounds.quota

    def _keepers_part(self, tenant: str) -> Part:
        """Return what this router may grant as a keeper.

        Another keeper that does not answer may be cut off with half of the routers, and grants
        as well, until it is known how many routers are out of sight.
        """
        now = self._loop.now()
        keepers = self._homes.keepers(tenant)
        if self._homes.is_substitute(tenant):
            pace = SUBSTITUTE_PACE
        elif any(self._watch.is_lost(keeper, now) for keeper in keepers):
            pace = UNSURE_PACE
        else:
            pace = 1.0
        return Part(self._homes.seen_share(), pace)

    def _even_part(self, _tenant: str) -> Part:
        known = self._peers.budget_count()
        routers = max(known, UNKNOWN_ROUTERS) if self.is_young() else known
        return Part(ALONE_SHARE / max(1, routers))


def _final(ask: QuotaAsk) -> QuotaAsk:
    return QuotaAsk(ask.tenant, ask.asker, ask.number, ask.units, ask.limit, True)
