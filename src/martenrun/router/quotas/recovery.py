"""Recovers an account from the grants that other routers remember.

A grant is known to its requester and to the owners of the account.  A router that becomes an owner
asks all routers and counts the grants that they remember.  An opening balance is assumed only for
the period that no router remembers any more.

Callers pass in the time; nothing here reads a clock.
"""

import math
from collections.abc import Iterable

import attrs

from martenrun.router.quotas.account import Account, InitialBalance, Part, PastUse
from martenrun.router.quotas.limit import QuotaBounds
from martenrun.router.quotas.messages import (
    QuotaMemory,
    RecalledAccount,
    RecalledUse,
    VersionedLimit,
)
from martenrun.router.quotas.owners import OWNERS

MS_PER_S = 1000.0


@attrs.frozen
class HeardAccount:
    """Another router's copy of an account; ``covered_since`` is monotonic time in seconds."""

    balance: float
    covered_since: float
    uses: tuple[PastUse, ...]


@attrs.frozen
class Opening:
    """A recovered account and how its opening balance was determined."""

    account: Account
    beginning: InitialBalance


@attrs.frozen
class Situation:
    """The recovering router's view of the other routers.

    Attributes:
        departure_times: when each silent router was last heard from, in monotonic seconds.
        has_complete_view: whether this router has received gossip long enough to know most routers.
        is_substitute: whether the owners of the account may still be granting elsewhere.
    """

    departed_at: tuple[float, ...] = ()
    knows_all: bool = True
    is_substitute: bool = False


class AccountRecovery:
    """Collects the responses to one recall request.

    Args:
        limit: the account's limit as far as known.
        routers: internal addresses of the routers that are asked.
    """

    def __init__(self, limit: VersionedLimit, asked: Iterable[str], bounds: QuotaBounds) -> None:
        self.limit = limit
        self._bounds = bounds
        self._awaited = set(asked)
        self._uses: dict[tuple[str, int], PastUse] = {}
        self._accounts: list[HeardAccount] = []
        self._remembered_since: list[float] = []

    @property
    def is_answered(self) -> bool:
        """Whether every router has responded."""
        return not self._awaited

    @property
    def unanswered(self) -> int:
        """The number of routers that have not responded."""
        return len(self._awaited)

    def learn_limit(self, limit: VersionedLimit) -> None:
        """Apply a limit if it is of a newer configuration."""
        if limit.configuration > self.limit.configuration:
            self.limit = limit

    def add_use(self, use: PastUse) -> None:
        """Add a use that was reported during the recovery."""
        self._uses[use.key] = use

    def add(self, memory: QuotaMemory, now: float) -> None:
        """Add a router's response; its report of its own grants takes precedence."""
        self._awaited.discard(memory.sender)
        remembered_s = memory.remembered_ms / MS_PER_S
        is_whole = remembered_s >= self._bounds.window_s
        self._remembered_since.append(-math.inf if is_whole else now - remembered_s)
        for use in past_uses(memory.uses, now):
            self._uses[use.key] = use
        if memory.account is not None:
            self._add_account(memory.account, now)

    def _add_account(self, heard: RecalledAccount, now: float) -> None:
        uses = tuple(past_uses(heard.uses, now))
        covered_s = heard.covered_ms / MS_PER_S
        is_whole = covered_s >= self._bounds.window_s
        covered_since = -math.inf if is_whole else now - covered_s
        self._accounts.append(HeardAccount(heard.balance, covered_since, uses))
        for use in uses:
            self._uses.setdefault(use.key, use)

    def open(self, part: Part, situation: Situation, now: float) -> Opening:
        """Return the account; its balance is assumed only where grants are unknown."""
        best = min(
            self._accounts, key=lambda heard: (heard.covered_since, heard.balance), default=None
        )
        window_began_at = now - self._bounds.window_s
        if best is not None and best.covered_since <= window_began_at:
            return self._adopt(best, part, now)
        forgotten_until = self._forgotten_until(situation, now)
        if not forgotten_until:
            return self._replay(InitialBalance.FULL, window_began_at, part)
        if best is not None:
            return self._adopt(best, part, now)
        beginning = (
            InitialBalance.SUBSTITUTE if situation.is_substitute else InitialBalance.RESTARTED
        )
        return self._replay(beginning, max(forgotten_until), part)

    def _forgotten_until(self, situation: Situation, now: float) -> list[float]:
        """Return, for each router whose grants may be lost, the time until which they may be.

        Empty while fewer routers are gone than know of each grant.
        """
        window_began_at = now - self._bounds.window_s
        times = [now] * len(self._awaited)
        times += [at for at in self._remembered_since if at > window_began_at]
        times += [at for at in situation.departed_at if at > window_began_at]
        if not situation.knows_all:
            return [now, *times]
        return times if len(times) >= OWNERS else []

    def _adopt(self, heard: HeardAccount, part: Part, now: float) -> Opening:
        account = Account(self.limit, self._bounds, InitialBalance.FULL, part, now)
        account.adopt(heard.balance, heard.uses, heard.covered_since)
        contained = {use.key for use in heard.uses}
        for use in self._uses.values():
            if use.key not in contained:
                account.note_use(use.key, use.units, now)
        return Opening(account, InitialBalance.TRANSFERRED)

    def _replay(self, beginning: InitialBalance, since: float, part: Part) -> Opening:
        """Return an account opened at a past time, with the uses known since then applied."""
        account = Account(self.limit, self._bounds, beginning, part, since)
        for use in sorted(self._uses.values(), key=lambda use: use.at):
            if use.at >= since:
                account.note_use(use.key, use.units, use.at)
            else:
                account.remember(use)
        return Opening(account, beginning)


def past_uses(uses: Iterable[RecalledUse], now: float) -> list[PastUse]:
    """Return recalled uses with the times at which they were granted."""
    return [
        PastUse((use.asker, use.number), use.units, now - use.age_ms / MS_PER_S) for use in uses
    ]


def recalled_uses(uses: Iterable[PastUse], now: float) -> list[RecalledUse]:
    """Return uses with their ages, as sent to other routers."""
    return [
        RecalledUse(use.key[0], use.key[1], use.units, round((now - use.at) * MS_PER_S))
        for use in uses
    ]
