"""The accounts held by one router.

Callers pass in the time; nothing here reads a clock.
"""

from collections.abc import Callable, Sequence

import attrs

from martenrun.router.quotas.account import Account, LimitShare, PastUse, QuotaDecision
from martenrun.router.quotas.limit import QuotaBounds, display_name
from martenrun.router.quotas.messages import QuotaRequest, QuotaUse

MAX_IDLE_S = 120.0
"""Idle time after which an account is dropped, in seconds; it has refilled by then."""

MAX_ACCOUNTS = 20_000
"""Maximum number of accounts; beyond it the least recently used ones are dropped."""


@attrs.frozen
class AccountView:
    """An account as shown to operators, in units and units per second."""

    tenant: str
    left: float
    burst: float
    per_s: float
    idle_s: float


class Ledger:
    """Accounts by name.

    Args:
        bounds: returns the enforcement bounds for an account.
        share: returns the share of a limit that an account here may grant, by account name.
    """

    def __init__(
        self, bounds: Callable[[str], QuotaBounds], share: Callable[[str], LimitShare]
    ) -> None:
        self._bounds = bounds
        self._share = share
        self._accounts: dict[str, Account] = {}
        self._stale: set[str] = set()

    def __len__(self) -> int:
        return len(self._accounts)

    def has(self, tenant: str) -> bool:
        """Whether a tenant has an account here, current or stale."""
        return tenant in self._accounts

    def is_current(self, tenant: str) -> bool:
        """Whether a tenant has an account here that counts every grant."""
        return tenant in self._accounts and tenant not in self._stale

    def put(self, tenant: str, account: Account, now: float) -> None:
        """Store a current account, replacing an earlier one.

        The earlier account counted all grants made here.  If the new one does not cover a full
        window, its balance is capped at the earlier one's.
        """
        previous = self._accounts.get(tenant)
        if previous is not None and account.covered_s(now) < self._bounds(tenant).window_s:
            account.cap_balance(previous.level(now), now)
        while len(self._accounts) >= MAX_ACCOUNTS and tenant not in self._accounts:
            self._drop(min(self._accounts, key=lambda name: self._accounts[name].used_at))
        self._accounts[tenant] = account
        self._stale.discard(tenant)

    def mark_stale(self, receives_uses: Callable[[str], bool]) -> None:
        """Mark the accounts whose grants are not replicated to this router as stale."""
        self._stale.update(tenant for tenant in self._accounts if not receives_uses(tenant))

    def request(self, request: QuotaRequest, now: float) -> QuotaDecision | None:
        """Grant units of a tenant's account; return None if the requester returned the grant."""
        account = self._accounts[request.tenant]
        account.update_limit(
            request.limit, self._bounds(request.tenant), self._share(request.tenant), now
        )
        return account.request((request.requester, request.number), request.units, now)

    def record_use(self, use: QuotaUse, now: float) -> None:
        """Apply a use that another router reported."""
        account = self._accounts[use.tenant]
        account.update_limit(use.limit, self._bounds(use.tenant), self._share(use.tenant), now)
        account.record_use((use.requester, use.number), use.units, now)

    def record_late_uses(self, tenant: str, uses: Sequence[PastUse], now: float) -> None:
        """Count uses of the last window that were reported late, if there is an account."""
        account = self._accounts.get(tenant)
        if account is not None:
            known = {use.key for use in account.recent_uses(now)}
            for use in uses:
                if use.key not in known and use.at >= account.covered_since:
                    account.record_use(use.key, use.units, now)

    def recent_uses(self, tenant: str, now: float) -> list[PastUse]:
        """Return the uses of a tenant known here; empty without an account."""
        account = self._accounts.get(tenant)
        return [] if account is None else account.recent_uses(now)

    def balance(self, tenant: str, now: float) -> float:
        """Return the remaining units of a tenant; 0 without an account."""
        account = self._accounts.get(tenant)
        return 0.0 if account is None else account.level(now)

    def covered_s(self, tenant: str, now: float) -> float:
        """Return for how long an account has counted every grant, in seconds."""
        return self._accounts[tenant].covered_s(now)

    def views(self, now: float) -> list[AccountView]:
        """Return the accounts as shown to operators, lowest balance first."""
        views = [
            AccountView(
                tenant=display_name(tenant),
                left=round(account.level(now)),
                burst=account.limit.burst_units,
                per_s=account.limit.units_per_s,
                idle_s=round(now - account.used_at, 1),
            )
            for tenant, account in self._accounts.items()
        ]
        return sorted(views, key=lambda view: view.left / max(1.0, view.per_s))

    def drop_idle(self, now: float) -> None:
        """Drop accounts that have not been used recently."""
        idle = [
            tenant
            for tenant, account in self._accounts.items()
            if now - account.used_at > MAX_IDLE_S
        ]
        for tenant in idle:
            self._drop(tenant)

    def clear(self) -> None:
        """Drop all accounts."""
        self._accounts.clear()
        self._stale.clear()

    def _drop(self, tenant: str) -> None:
        del self._accounts[tenant]
        self._stale.discard(tenant)
