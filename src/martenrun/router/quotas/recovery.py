"""Recovers an account from the grants that other routers remember.

A grant is known to its requester and to the owners of the account.  A router that becomes an owner
asks all routers and counts the grants that they remember.  An opening balance is assumed only for
the period that no router remembers any more.

Callers pass in the time; nothing here reads a clock.
"""

import math
from collections.abc import Iterable

import attrs

from martenrun.router.quotas.account import Account, InitialBalance, LimitShare, PastUse
from martenrun.router.quotas.limit import QuotaBounds
from martenrun.router.quotas.messages import (
    RecalledAccount,
    RecalledUse,
    RecallResponse,
    VersionedLimit,
)
from martenrun.router.quotas.owners import OWNERS_PER_ACCOUNT

MS_PER_S = 1000.0


@attrs.frozen
class AccountSnapshot:
    """Another router's copy of an account; ``covered_since`` is monotonic time in seconds."""

    balance: float
    covered_since: float
    uses: tuple[PastUse, ...]


@attrs.frozen
class RecoveredAccount:
    """A recovered account and how its opening balance was determined."""

    account: Account
    initial_balance: InitialBalance


@attrs.frozen
class RecoveryContext:
    """The recovering router's view of the other routers.

    Attributes:
        departure_times: when each silent router was last heard from, in monotonic seconds.
        has_complete_view: whether this router has received gossip long enough to know most routers.
        is_substitute: whether the owners of the account may still be granting elsewhere.
    """

    departure_times: tuple[float, ...] = ()
    has_complete_view: bool = True
    is_substitute: bool = False


class AccountRecovery:
    """Collects the responses to one recall request.

    Args:
        limit: the account's limit as far as known.
        routers: internal addresses of the routers that are asked.
    """

    def __init__(self, limit: VersionedLimit, routers: Iterable[str], bounds: QuotaBounds) -> None:
        self.limit = limit
        self._bounds = bounds
        self._awaited = set(routers)
        self._uses: dict[tuple[str, int], PastUse] = {}
        self._snapshots: list[AccountSnapshot] = []
        self._history_since: list[float] = []

    @property
    def is_complete(self) -> bool:
        """Whether every router has responded."""
        return not self._awaited

    @property
    def unanswered(self) -> int:
        """The number of routers that have not responded."""
        return len(self._awaited)

    def update_limit(self, limit: VersionedLimit) -> None:
        """Apply a limit if it is of a newer configuration."""
        if limit.configuration > self.limit.configuration:
            self.limit = limit

    def add_use(self, use: PastUse) -> None:
        """Add a use that was reported during the recovery."""
        self._uses[use.key] = use

    def add_response(self, response: RecallResponse, now: float) -> None:
        """Add a router's response; its report of its own grants takes precedence."""
        self._awaited.discard(response.sender)
        remembered_s = response.remembered_ms / MS_PER_S
        covers_window = remembered_s >= self._bounds.window_s
        self._history_since.append(-math.inf if covers_window else now - remembered_s)
        for use in past_uses(response.uses, now):
            self._uses[use.key] = use
        if response.account is not None:
            self._add_snapshot(response.account, now)

    def _add_snapshot(self, recalled: RecalledAccount, now: float) -> None:
        uses = tuple(past_uses(recalled.uses, now))
        covered_s = recalled.covered_ms / MS_PER_S
        covers_window = covered_s >= self._bounds.window_s
        covered_since = -math.inf if covers_window else now - covered_s
        self._snapshots.append(AccountSnapshot(recalled.balance, covered_since, uses))
        for use in uses:
            self._uses.setdefault(use.key, use)

    def recover(self, share: LimitShare, context: RecoveryContext, now: float) -> RecoveredAccount:
        """Return the account; its balance is assumed only where grants are unknown."""
        oldest = min(
            self._snapshots,
            key=lambda snapshot: (snapshot.covered_since, snapshot.balance),
            default=None,
        )
        window_start = now - self._bounds.window_s
        if oldest is not None and oldest.covered_since <= window_start:
            return self._restore(oldest, share, now)
        loss_times = self._loss_times(context, now)
        if not loss_times:
            return self._replay(InitialBalance.FULL, window_start, share)
        if oldest is not None:
            return self._restore(oldest, share, now)
        initial_balance = (
            InitialBalance.SUBSTITUTE if context.is_substitute else InitialBalance.RESTARTED
        )
        return self._replay(initial_balance, max(loss_times), share)

    def _loss_times(self, context: RecoveryContext, now: float) -> list[float]:
        """Return, for each router whose grants may be lost, the time until which they may be.

        Empty if each grant must still be known to a router with a complete history.
        """
        window_start = now - self._bounds.window_s
        times = [now] * len(self._awaited)
        times += [at for at in self._history_since if at > window_start]
        times += [at for at in context.departure_times if at > window_start]
        if not context.has_complete_view:
            return [now, *times]
        return times if len(times) >= OWNERS_PER_ACCOUNT else []

    def _restore(
        self, snapshot: AccountSnapshot, share: LimitShare, now: float
    ) -> RecoveredAccount:
        account = Account(self.limit, self._bounds, InitialBalance.FULL, share, now)
        account.restore_balance(snapshot.balance, snapshot.uses, snapshot.covered_since)
        included = {use.key for use in snapshot.uses}
        for use in self._uses.values():
            if use.key not in included:
                account.record_use(use.key, use.units, now)
        return RecoveredAccount(account, InitialBalance.TRANSFERRED)

    def _replay(
        self, initial_balance: InitialBalance, since: float, share: LimitShare
    ) -> RecoveredAccount:
        """Return an account opened at a past time, with the uses known since then applied."""
        account = Account(self.limit, self._bounds, initial_balance, share, since)
        for use in sorted(self._uses.values(), key=lambda use: use.at):
            if use.at >= since:
                account.record_use(use.key, use.units, use.at)
            else:
                account.register_counted_use(use)
        return RecoveredAccount(account, initial_balance)


def past_uses(uses: Iterable[RecalledUse], now: float) -> list[PastUse]:
    """Return recalled uses with the times at which they were granted."""
    return [
        PastUse((use.requester, use.number), use.units, now - use.age_ms / MS_PER_S) for use in uses
    ]


def recalled_uses(uses: Iterable[PastUse], now: float) -> list[RecalledUse]:
    """Return uses with their ages, as sent to other routers."""
    return [
        RecalledUse(use.key[0], use.key[1], use.units, round((now - use.at) * MS_PER_S))
        for use in uses
    ]
