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

SPARE_SHARE = 1 / 8
"""Fraction of the fixed slack that is added to the burst, and that an account may overdraw.

The larger bucket admits requests that arrive closer together than they were sent.  The overdraft
admits a request larger than the remaining balance, so that large requests are not starved by small
ones.
"""

RESTARTED_SHARE = 3 / 16
"""Fraction of the slack that an account starts with when its earlier grants are lost.

A small balance is left because callers reconnect at once after a restart.  A tenant that had used
up its limit gains this much beyond it each time all routers that knew of its grants are gone.
"""

MAJORITY_SHARE = 0.5
"""Share of a limit from which an account may grant a request larger than its capacity.

Routers that are each cut off from all others have small shares.  One oversized request at each of
them would exceed the sum of the shares.
"""

MINIMUM_UNITS_PER_S = 1e-6
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
class Part:
    """The share of a limit that one account may grant.

    Attributes:
        share: fraction of the rate and of the burst.
        rate_factor: additional factor of the rate only; the burst is unaffected.
    """

    share: float = 1.0
    pace: float = 1.0


@attrs.frozen
class Verdict:
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
    """The routers that knew of earlier grants are gone: the burst counts as used."""

    SUBSTITUTE = "substitute"
    """The owners may still be granting elsewhere: the burst counts as used, less is left."""

    TRANSFERRED = "transferred"
    """The balance was copied from another owner's account."""


class Account:
    """The remaining units of one tenant or runner.

    Args:
        part: the share of the limit that this account may grant.

    Attributes:
        covered_since: monotonic time since which every grant is counted, in seconds.
        used_at: monotonic time of the last grant or request, in seconds.
    """

    def __init__(
        self,
        limit: VersionedLimit,
        bounds: QuotaBounds,
        beginning: InitialBalance,
        part: Part,
        now: float,
    ) -> None:
        self._limit = limit
        self._bounds = bounds
        self._part = part
        self._bucket = TokenBucket(*self._figures(), now)
        if beginning in (InitialBalance.RESTARTED, InitialBalance.SUBSTITUTE):
            is_restarted = beginning is InitialBalance.RESTARTED
            left = self._slack * RESTARTED_SHARE if is_restarted else self._spare_units
            self._bucket.take(max(0.0, self._bucket.burst - left), now)
        self._grants: collections.OrderedDict[GrantKey, tuple[int, float]] = (
            collections.OrderedDict()
        )
        self._promised_until = now
        self.covered_since = now if beginning is not InitialBalance.FULL else -math.inf
        self.used_at = now

    def adopt(self, balance: float, uses: Sequence[PastUse], covered_since: float) -> None:
        """Continue from another account's balance, which already includes the given uses.

        Args:
            covered_since: monotonic time since which that account counted every grant, in seconds.
        """
        now = self.used_at
        self._bucket.take(self._bucket.level(now) - balance, now)
        for use in sorted(uses, key=lambda use: use.at):
            self.remember(use)
        self.covered_since = covered_since

    def lower_to(self, balance: float, now: float) -> None:
        """Reduce the balance to the given one if that is lower."""
        self._bucket.take(max(0.0, self._bucket.level(now) - balance), now)

    def remember(self, use: PastUse) -> None:
        """Register a use that the balance already includes."""
        self._grants[use.key] = (use.units, use.at)

    def covered_s(self, now: float) -> float:
        """Return for how long every grant has been counted, at most one window, in seconds."""
        return min(self._bounds.window_s, now - self.covered_since)

    def recent_uses(self, now: float) -> list[PastUse]:
        """Return the uses within the last window."""
        self._forget_grants(now)
        return [PastUse(key, units, at) for key, (units, at) in self._grants.items()]

    @property
    def limit(self) -> VersionedLimit:
        """The limit in effect."""
        return self._limit

    def level(self, now: float) -> float:
        """Return the remaining units; negative if the account is overdrawn."""
        return self._bucket.level(now)

    def learn(self, limit: VersionedLimit, bounds: QuotaBounds, part: Part, now: float) -> None:
        """Apply the limit of a newer configuration and the share of it that may be granted."""
        newest = limit if limit.configuration > self._limit.configuration else self._limit
        if (newest, bounds, part) == (self._limit, self._bounds, self._part):
            return
        added = newest.burst_units - self._limit.burst_units
        self._limit, self._bounds, self._part = newest, bounds, part
        self._bucket.change_rate(*self._figures(), now)
        if added > 0:
            # Units that a raised limit adds to the burst are available immediately.
            self._bucket.take(-added * part.share, now)

    def ask(self, grant: GrantKey, units: int, now: float) -> Verdict | None:
        """Grant units if they are available; return None if the requester returned this grant."""
        self.used_at = now
        known = self._grants.get(grant)
        if known is not None:
            return Verdict(True) if known[0] else None
        needed = max(0.0, units - self._spare_units)
        wait_s = self._bucket.wait_s(needed, now)
        is_too_large = needed > self._bucket.burst and self._part.share < MAJORITY_SHARE
        if wait_s > 0 or is_too_large:
            return Verdict(False, self._turn_s(units, wait_s, now))
        self.note_use(grant, units, now)
        return Verdict(True)

    def note_use(self, grant: GrantKey, units: int, now: float) -> None:
        """Set the units used by a grant; repeated reports of the same use count once."""
        self.used_at = now
        self._forget_grants(now)
        before, _ = self._grants.pop(grant, (0, now))
        self._grants[grant] = (units, now)
        self._bucket.take(float(self._bounded(units) - self._bounded(before)), now)

    def _figures(self) -> tuple[float, float]:
        """Return the refill rate and the capacity of the bucket."""
        per_s = self._limit.units_per_s * self._part.share * self._part.pace
        held = self._limit.burst_units * self._part.share + self._spare_units
        return max(MINIMUM_UNITS_PER_S, per_s), held

    @property
    def _slack(self) -> float:
        """The units above the limit that this account may grant within a window."""
        limit = self._limit
        return self._bounds.slack(limit.units_per_s, limit.burst_units) * self._part.share

    @property
    def _spare_units(self) -> float:
        """The units added to the burst, which is also the overdraft limit."""
        return self._bounds.slack_units * self._part.share * SPARE_SHARE

    def _bounded(self, units: int) -> int:
        """Cap units at one window's allowance, so that no request blocks an account for longer."""
        limit = self._limit
        most = self._bounds.window_units(limit.units_per_s, limit.burst_units)
        return int(min(units, most + 1))

    def _turn_s(self, units: int, wait_s: float, now: float) -> float:
        """Return the delay before a refused request should be retried.

        Retries are scheduled one after the other, in the order of the refusals.
        """
        turn_at = max(now + wait_s, self._promised_until)
        after_it = turn_at + self._bounded(units) / self._bucket.rate
        self._promised_until = min(after_it, now + self._bounds.window_s)
        return turn_at - now

    def _forget_grants(self, now: float) -> None:
        while self._grants:
            grant, (_, at) = next(iter(self._grants.items()))
            if now - at <= self._bounds.window_s:
                return
            del self._grants[grant]
