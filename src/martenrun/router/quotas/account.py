"""The balance of one rate-limited account.

Callers pass in the time; nothing here reads a clock.
"""

import collections
import enum
import math
from collections.abc import Sequence

import attrs

from martenrun.limits.token_bucket import TokenBucket
from martenrun.router.quotas.limit import QuotaBounds
from martenrun.router.quotas.messages import VersionedLimit

EXTRA_BURST_SHARE = 1 / 8
"""Fraction of the fixed slack that is added to the burst, and that an account may overdraw.

The larger bucket admits requests that arrive closer together than they were sent.  The overdraft
admits a request larger than the remaining balance, so that large requests are not starved by small
ones.
"""

RESTART_BALANCE_SHARE = 3 / 16
"""Fraction of the slack that an account starts with when its earlier grants are lost.

A small balance is left because callers reconnect at once after a restart.  A tenant that had used
up its limit gains this much beyond it each time all routers that knew of its grants restart.
"""

MAJORITY_SHARE = 0.5
"""Share of a limit from which an account may grant a request larger than its capacity.

Routers that are each cut off from all others have small shares.  One oversized request at each of
them would exceed the sum of the shares.
"""

MIN_UNITS_PER_S = 1e-6
"""Lower bound of the refill rate, which keeps every wait finite."""


GrantKey = tuple[str, int]
"""Identifies a grant: the internal address of its requester and the requester's grant number."""


@attrs.frozen
class PastUse:
    """The units used by one grant, 0 if unused, and its monotonic time in seconds."""

    key: GrantKey
    units: int
    at: float


@attrs.frozen
class LimitShare:
    """The share of a limit that one account may grant.

    Attributes:
        share: fraction of the rate and of the burst.
        rate_factor: additional factor of the rate only; the burst is unaffected.
    """

    fraction: float = 1.0
    rate_factor: float = 1.0


@attrs.frozen
class QuotaDecision:
    """Whether units were granted, and otherwise the delay before the caller should retry.

    Attributes:
        owner: internal address of the router that decided.
        balance: units left in its account afterwards; negative if the account is overdrawn.
    """

    is_granted: bool
    wait_s: float = 0.0
    owner: str = ""
    balance: float = 0.0


class InitialBalance(enum.Enum):
    """How the opening balance of an account is determined."""

    FULL = "full"
    """All grants of the last window are known: the full burst minus those grants."""

    RESTARTED = "restarted"
    """The routers that knew of earlier grants have stopped: the burst counts as used."""

    SUBSTITUTE = "substitute"
    """The owners may still be granting elsewhere: the burst counts as used, less is left."""

    TRANSFERRED = "transferred"
    """The balance was copied from another owner's account."""


class Account:
    """The remaining units of one tenant or runner.

    Args:
        share: the share of the limit that this account may grant.

    Attributes:
        covered_since: monotonic time since which every grant is counted, in seconds.
        used_at: monotonic time of the last grant or request, in seconds.
    """

    def __init__(
        self,
        limit: VersionedLimit,
        bounds: QuotaBounds,
        initial_balance: InitialBalance,
        share: LimitShare,
        now: float,
    ) -> None:
        self._limit = limit
        self._bounds = bounds
        self._share = share
        self._bucket = TokenBucket(*self._bucket_parameters(), now)
        if initial_balance in (InitialBalance.RESTARTED, InitialBalance.SUBSTITUTE):
            is_restarted = initial_balance is InitialBalance.RESTARTED
            remaining = (
                self._slack * RESTART_BALANCE_SHARE if is_restarted else self._extra_burst_units
            )
            self._bucket.take(max(0.0, self._bucket.burst - remaining), now)
        self._grants: collections.OrderedDict[GrantKey, tuple[int, float]] = (
            collections.OrderedDict()
        )
        self._retries_scheduled_until = now
        self.covered_since = now if initial_balance is not InitialBalance.FULL else -math.inf
        self.used_at = now

    def restore_balance(
        self, balance: float, uses: Sequence[PastUse], covered_since: float
    ) -> None:
        """Continue from another account's balance, which already includes the given uses.

        Args:
            covered_since: monotonic time since which that account counted every grant, in seconds.
        """
        now = self.used_at
        self._bucket.take(self._bucket.level(now) - balance, now)
        for use in sorted(uses, key=lambda use: use.at):
            self.register_counted_use(use)
        self.covered_since = covered_since

    def cap_balance(self, balance: float, now: float) -> None:
        """Reduce the balance to the given one if that is lower."""
        self._bucket.take(max(0.0, self._bucket.level(now) - balance), now)

    def register_counted_use(self, use: PastUse) -> None:
        """Register a use that the balance already includes."""
        self._grants[use.key] = (use.units, use.at)

    def covered_s(self, now: float) -> float:
        """Return for how long every grant has been counted, at most one window, in seconds."""
        return min(self._bounds.window_s, now - self.covered_since)

    def recent_uses(self, now: float) -> list[PastUse]:
        """Return the uses within the last window."""
        self._drop_expired_grants(now)
        return [PastUse(key, units, at) for key, (units, at) in self._grants.items()]

    @property
    def limit(self) -> VersionedLimit:
        """The limit in effect."""
        return self._limit

    def level(self, now: float) -> float:
        """Return the remaining units; negative if the account is overdrawn."""
        return self._bucket.level(now)

    def update_limit(
        self, limit: VersionedLimit, bounds: QuotaBounds, share: LimitShare, now: float
    ) -> None:
        """Apply the limit of a newer configuration and the share of it that may be granted."""
        newest = limit if limit.configuration > self._limit.configuration else self._limit
        if (newest, bounds, share) == (self._limit, self._bounds, self._share):
            return
        added = newest.burst_units - self._limit.burst_units
        self._limit, self._bounds, self._share = newest, bounds, share
        self._bucket.change_rate(*self._bucket_parameters(), now)
        if added > 0:
            # Units that a raised limit adds to the burst are available immediately.
            self._bucket.take(-added * share.fraction, now)

    def request(self, grant: GrantKey, units: int, now: float) -> QuotaDecision | None:
        """Grant units if they are available; return None if the requester returned this grant."""
        self.used_at = now
        known = self._grants.get(grant)
        if known is not None:
            return QuotaDecision(True) if known[0] else None
        needed = max(0.0, units - self._extra_burst_units)
        wait_s = self._bucket.wait_s(needed, now)
        is_too_large = needed > self._bucket.burst and self._share.fraction < MAJORITY_SHARE
        if wait_s > 0 or is_too_large:
            return QuotaDecision(False, self._retry_delay_s(units, wait_s, now))
        self.record_use(grant, units, now)
        return QuotaDecision(True)

    def record_use(self, grant: GrantKey, units: int, now: float) -> None:
        """Set the units used by a grant; repeated reports of the same use count once."""
        self.used_at = now
        self._drop_expired_grants(now)
        previous, _ = self._grants.pop(grant, (0, now))
        self._grants[grant] = (units, now)
        self._bucket.take(float(self._capped_units(units) - self._capped_units(previous)), now)

    def _bucket_parameters(self) -> tuple[float, float]:
        """Return the refill rate and the capacity of the bucket."""
        per_s = self._limit.units_per_s * self._share.fraction * self._share.rate_factor
        capacity = self._limit.burst_units * self._share.fraction + self._extra_burst_units
        return max(MIN_UNITS_PER_S, per_s), capacity

    @property
    def _slack(self) -> float:
        """The units above the limit that this account may grant within a window."""
        limit = self._limit
        return self._bounds.slack(limit.units_per_s, limit.burst_units) * self._share.fraction

    @property
    def _extra_burst_units(self) -> float:
        """The units added to the burst, which is also the overdraft limit."""
        return self._bounds.slack_units * self._share.fraction * EXTRA_BURST_SHARE

    def _capped_units(self, units: int) -> int:
        """Cap units at one window's allowance, so that no request blocks an account for longer."""
        limit = self._limit
        allowance = self._bounds.window_units(limit.units_per_s, limit.burst_units)
        return int(min(units, allowance + 1))

    def _retry_delay_s(self, units: int, wait_s: float, now: float) -> float:
        """Return the delay before a refused request should be retried.

        Retries are scheduled one after the other, in the order of the refusals.
        """
        retry_at = max(now + wait_s, self._retries_scheduled_until)
        next_retry_at = retry_at + self._capped_units(units) / self._bucket.rate
        self._retries_scheduled_until = min(next_retry_at, now + self._bounds.window_s)
        return retry_at - now

    def _drop_expired_grants(self, now: float) -> None:
        while self._grants:
            grant, (_, at) = next(iter(self._grants.items()))
            if now - at <= self._bounds.window_s:
                return
            del self._grants[grant]
