"""One tenant's account: what it may still use, at one router.  Pure, with the times handed in."""

import collections
import enum

import attrs

from martenrun.limits.token_bucket import TokenBucket
from martenrun.router.quotas.limit import QuotaBounds
from martenrun.router.quotas.messages import ToldLimit

SPARE_SHARE = 1 / 8
"""Part of the fixed slack that a full account holds beside the burst, and that it may owe.

What it holds lets requests pass that arrive closer together than they were sent; what it may owe
lets one pass that is larger than what is left, so that large and small ones pass alike.
"""

RESTARTED_SHARE = 3 / 16
"""Part of the slack that an account holds at first which a restarted router keeps.

Callers come back together then.  A tenant that had used all before gets so much beyond its limit
with each restart of its keepers.
"""

WHOLE_SHARE = 0.5
"""Part of a limit from which on a request may pass that is larger than the account can hold.

Many routers that are cut off one by one have small parts each: one such request at every one of
them would be more than all parts together.
"""

LEAST_UNITS_PER_S = 1e-6
"""Least rate reckoned with, so that every wait is finite."""


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


class Beginning(enum.Enum):
    """What an account begins with, by what others may have granted before."""

    FULL = "full"
    """Nothing was granted that still counts: the whole burst is left."""

    RESTARTED = "restarted"
    """This router has restarted: the burst counts as used."""

    SUBSTITUTE = "substitute"
    """The account's keepers may go on elsewhere: the burst counts as used, and little is spare."""


class Account:
    """What a tenant has left.

    Args:
        part: what this account may grant of the limit.
    """

    def __init__(
        self,
        limit: ToldLimit,
        bounds: QuotaBounds,
        beginning: Beginning,
        part: Part,
        now: float,
    ) -> None:
        self._limit = limit
        self._bounds = bounds
        self._part = part
        self._bucket = TokenBucket(*self._figures(), now)
        if beginning is not Beginning.FULL:
            is_restarted = beginning is Beginning.RESTARTED
            left = self._slack * RESTARTED_SHARE if is_restarted else self._spare_units
            self._bucket.take(max(0.0, self._bucket.burst - left), now)
        self._grants: collections.OrderedDict[tuple[str, int], tuple[int, float]] = (
            collections.OrderedDict()
        )
        self._promised_until = now
        self.used_at = now

    @property
    def limit(self) -> ToldLimit:
        """The limit in force."""
        return self._limit

    def level(self, now: float) -> float:
        """Return the units that are left; below zero there is a debt."""
        return self._bucket.level(now)

    def learn(self, limit: ToldLimit, bounds: QuotaBounds, part: Part, now: float) -> None:
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

    def ask(self, grant: tuple[str, int], units: int, now: float) -> Verdict | None:
        """Grant units if they are left; None if the asker has given this grant up."""
        self.used_at = now
        known = self._grants.get(grant)
        if known is not None:
            return Verdict(True) if known[0] else None
        needed = max(0.0, units - self._spare_units)
        wait_s = self._bucket.wait_s(needed, now)
        is_too_large = needed > self._bucket.burst and self._part.share < WHOLE_SHARE
        if wait_s > 0 or is_too_large:
            return Verdict(False, self._turn_s(units, wait_s, now))
        self.note_use(grant, units, now)
        return Verdict(True)

    def note_use(self, grant: tuple[str, int], units: int, now: float) -> None:
        """Count what a grant is worth, however often that is told."""
        self.used_at = now
        self._forget_grants(now)
        before, _ = self._grants.pop(grant, (0, now))
        self._grants[grant] = (units, now)
        self._bucket.take(float(self._bounded(units) - self._bounded(before)), now)

    def _figures(self) -> tuple[float, float]:
        """Return the bucket's rate and how much it holds."""
        per_s = self._limit.units_per_s * self._part.share * self._part.pace
        held = self._limit.burst_units * self._part.share + self._spare_units
        return max(LEAST_UNITS_PER_S, per_s), held

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
        """Return units up to a window's worth: no single request closes an account for longer."""
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
