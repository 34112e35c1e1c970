"""The accounts that one router keeps.  Pure, with the times handed in.

An account that has to be made because other routers kept it before begins with its burst used: a
token bucket that begins empty keeps any window's bound whatever was granted elsewhere until then,
and refuses nobody for longer than the burst takes to come back.
"""

from collections.abc import Callable

import attrs

from martenrun.router.quotas.account import Account, Beginning, Part, Verdict
from martenrun.router.quotas.limit import QuotaBounds
from martenrun.router.quotas.messages import QuotaAsk, QuotaUse, ToldLimit

KEPT_FOR_S = 120.0
"""For how long an account is kept that nobody asks for, in seconds: it is full again by then."""

MOST_ACCOUNTS = 20_000
"""Most accounts kept; above that those unused for longest go."""


@attrs.frozen
class AccountView:
    """An account as operators see it; units, and units a second."""

    tenant: str
    left: float
    burst: float
    per_s: float
    idle_s: float


@attrs.frozen
class OpenedAccount:
    """An account that was made just now, and the units it was given."""

    tenant: str
    beginning: Beginning
    units: float


class Ledger:
    """Accounts by tenant.

    Args:
        bounds: returns how exactly limits are to be kept.
        part: returns the part of each limit that accounts here may grant, by tenant.
        began_at: when this process began to keep accounts.
        is_first_start: no earlier process has granted anything.
        on_opened: called with each account that is made.
    """

    def __init__(
        self,
        bounds: Callable[[], QuotaBounds],
        part: Callable[[str], Part],
        began_at: float,
        is_first_start: bool,
        on_opened: Callable[[OpenedAccount], None] = lambda _opened: None,
    ) -> None:
        self._bounds = bounds
        self._part = part
        self._began_at = began_at
        self._is_first_start = is_first_start
        self._on_opened = on_opened
        self._accounts: dict[str, Account] = {}

    def __len__(self) -> int:
        return len(self._accounts)

    def keeps(self, tenant: str) -> bool:
        """Whether there is an account of a tenant here."""
        return tenant in self._accounts

    def ask(self, message: QuotaAsk, now: float, is_substitute: bool = False) -> Verdict | None:
        """Grant units of a tenant's account, or not; None if the asker has given up.

        An account that a substitute for its keepers has to make begins with none left.
        """
        if is_substitute:
            beginning = Beginning.SUBSTITUTE
        else:
            beginning = Beginning.FULL if self._is_untouched(now) else Beginning.RESTARTED
        account = self._account(message.tenant, message.limit, now, beginning)
        return account.ask((message.asker, message.number), message.units, now)

    def note_use(self, message: QuotaUse, now: float) -> None:
        """Count what was used elsewhere, or not used after all."""
        # Who tells has granted before as well.
        beginning = Beginning.FULL if self._is_first(now) else Beginning.RESTARTED
        account = self._account(message.tenant, message.limit, now, beginning)
        account.note_use((message.asker, message.number), message.units, now)

    def balance(self, tenant: str, now: float) -> float:
        """Return the units that a tenant has left here, 0 without an account."""
        account = self._accounts.get(tenant)
        return 0.0 if account is None else account.level(now)

    def views(self, now: float) -> list[AccountView]:
        """Return what operators see, tenants with least left first."""
        views = [
            AccountView(
                tenant=tenant,
                left=round(account.level(now)),
                burst=account.limit.burst_units,
                per_s=account.limit.units_per_s,
                idle_s=round(now - account.used_at, 1),
            )
            for tenant, account in self._accounts.items()
        ]
        return sorted(views, key=lambda view: view.left / max(1.0, view.per_s))

    def forget_idle(self, now: float) -> None:
        """Drop accounts that nobody has asked for long."""
        idle = [
            tenant
            for tenant, account in self._accounts.items()
            if now - account.used_at > KEPT_FOR_S
        ]
        for tenant in idle:
            del self._accounts[tenant]

    def begin_anew(self, now: float) -> None:
        """Forget all accounts: what was granted elsewhere meanwhile is not known."""
        self._began_at = now
        self._is_first_start = False
        self._accounts.clear()

    def _account(self, tenant: str, limit: ToldLimit, now: float, beginning: Beginning) -> Account:
        """Return a tenant's account; one that has to be made begins as told."""
        account = self._accounts.get(tenant)
        if account is not None:
            account.learn(limit, self._bounds(), self._part(tenant), now)
            return account
        while len(self._accounts) >= MOST_ACCOUNTS:
            del self._accounts[min(self._accounts, key=lambda name: self._accounts[name].used_at)]
        account = Account(limit, self._bounds(), beginning, self._part(tenant), now)
        self._accounts[tenant] = account
        self._on_opened(OpenedAccount(tenant, beginning, account.level(now)))
        return account

    def _is_first(self, now: float) -> bool:
        """Whether the whole deployment has started for the first time, within this window."""
        return self._is_first_start and now - self._began_at <= self._bounds().window_s

    def _is_untouched(self, now: float) -> bool:
        """Whether nothing can have been granted elsewhere that still counts.

        A router that has run for a whole window would have been told of it.
        """
        return self._is_first_start or now - self._began_at > self._bounds().window_s
