"""One tenant's account: what it may still use, at one router.  Pure, with the times handed in."""

import collections
import enum
import math
from collections.abc import Sequence

import attrs

from martenrun.limits.token_bucket import TokenBucket
from martenrun.router.quotas.limit import QuotaBounds
from martenrun.router.quotas.messages import VersionedLimit

SPARE_SHARE = 1 / 8
"""Part of the fixed slack that a full account holds beside the burst, and that it may owe.

What it holds lets requests pass that arrive closer together than they were sent; what it may owe
lets one pass that is larger than what is left, so that large and small ones pass alike.
"""

RESTARTED_SHARE = 3 / 16
"""Part of the slack that an account holds at first whose earlier grants are lost.

Callers come back together then.  A tenant that had used all before gets so much beyond its limit
each time that all routers which knew of its grants are gone.
"""

MAJORITY_SHARE = 0.5
"""Part of a limit from which on a request may pass that is larger than the account can hold.

Many routers that are cut off one by one have small parts each: one such request at every one of
them would be more than all parts together.
"""

MINIMUM_UNITS_PER_S = 1e-6
"""Least rate reckoned with, so that every wait is finite."""


GrantKey = tuple[str, int]
"""Names a grant: the internal address of its asker, and its number there."""


@attrs.frozen
class PastUse:
    """Units of one grant, used at a steady time in seconds; 0 if nothing was used after all."""

    key: GrantKey
    units: int
    at: float


@attrs.frozen
class Part:
    """The part of a limit that one account may grant.

    Attributes:
        share: of all of it.
        pace: of the rate, beside that; what the account holds stays.
    """

    share: float = 1.0
    pace: float = 1.0


@attrs.frozen
class Verdict:
    """Whether units may be used, or after how many seconds the caller should come back.

    Attributes:
        owner: internal address of the router that decided.
        balance: units left in its account afterwards; below zero there is a debt.
    """

    is_granted: bool
    wait_s: float = 0.0
    owner: str = ""
    balance: float = 0.0


class InitialBalance(enum.Enum):
    """What an account begins with, by what others may have granted before."""

    FULL = "full"
    """All earlier grants that still count are known: the whole burst, less those."""

    RESTARTED = "restarted"
    """Earlier grants are lost with the routers that knew them: the burst counts as used."""

    SUBSTITUTE = "substitute"
    """The owners may go on granting elsewhere: the burst counts as used, and little is spare."""

    TRANSFERRED = "transferred"
    """The balance of another owner's account."""


class Account:
    """What a tenant has left.

    Args:
        part: what this account may grant of the limit.

    Attributes:
        covered_since: steady time since which the account counts every grant, in seconds.
        used_at: steady time of the last grant or question.
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
        """Go on with another account's balance, which contains some uses already.

        Args:
            covered_since: steady time since which that account counted every grant, in seconds.
        """
        now = self.used_at
        self._bucket.take(self._bucket.level(now) - balance, now)
        for use in sorted(uses, key=lambda use: use.at):
            self.remember(use)
        self.covered_since = covered_since

    def lower_to(self, balance: float, now: float) -> None:
        """Reduce the balance to what another count leaves, if that is less."""
        self._bucket.take(max(0.0, self._bucket.level(now) - balance), now)

    def remember(self, use: PastUse) -> None:
        """Note a use that the balance contains already."""
        self._grants[use.key] = (use.units, use.at)

    def covered_s(self, now: float) -> float:
        """Return for how long every grant has been counted, a window at most, in seconds."""
        return min(self._bounds.window_s, now - self.covered_since)

    def recent_uses(self, now: float) -> list[PastUse]:
        """Return the uses of the last window."""
        self._forget_grants(now)
        return [PastUse(key, units, at) for key, (units, at) in self._grants.items()]

    @property
    def limit(self) -> VersionedLimit:
        """The limit in force."""
        return self._limit

    def level(self, now: float) -> float:
        """Return the units that are left; below zero there is a debt."""
        return self._bucket.level(now)

    def learn(self, limit: VersionedLimit, bounds: QuotaBounds, part: Part, now: float) -> None:
        """Put a later configuration's limit in force, and the part of it that may be granted."""
        newest = limit if limit.configuration > self._limit.configuration else self._limit
        if (newest, bounds, part) == (self._limit, self._bounds, self._part):
            return
        added = newest.burst_units - self._limit.burst_units
        self._limit, self._bounds, self._part = newest, bounds, part
        self._bucket.change_rate(*self._figures(), now)
        if added > 0:
            # What a raised limit adds to the burst may be used at once.
            self._bucket.take(-added * part.share, now)

    def ask(self, grant: GrantKey, units: int, now: float) -> Verdict | None:
        """Grant units if they are left; None if the asker has given this grant up."""
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
        """Count what a grant is use_now, however often that is told."""
        self.used_at = now
        self._forget_grants(now)
        before, _ = self._grants.pop(grant, (0, now))
        self._grants[grant] = (units, now)
        self._bucket.take(float(self._bounded(units) - self._bounded(before)), now)

    def _figures(self) -> tuple[float, float]:
        """Return the bucket's rate and how much it holds."""
        per_s = self._limit.units_per_s * self._part.share * self._part.pace
        held = self._limit.burst_units * self._part.share + self._spare_units
        return max(MINIMUM_UNITS_PER_S, per_s), held

    @property
    def _slack(self) -> float:
        """The units above the limit that this account may grant in a window."""
        limit = self._limit
        return self._bounds.slack(limit.units_per_s, limit.burst_units) * self._part.share

    @property
    def _spare_units(self) -> float:
        """The units that are held beside the burst, and may be owed."""
        return self._bounds.slack_units * self._part.share * SPARE_SHARE

    def _bounded(self, units: int) -> int:
        """Return units up to a window's use_now: no single request closes an account for longer."""
        limit = self._limit
        most = self._bounds.window_units(limit.units_per_s, limit.burst_units)
        return int(min(units, most + 1))

    def _turn_s(self, units: int, wait_s: float, now: float) -> float:
        """Return when a refused request has its turn, after those refused before it."""
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
