"""Which routers keep a tenant's account: by rendezvous hashing over those that are alive.

Two keep each account, so that the second goes on where the first ends.  A router that has just
started does not know of all others yet and would choose by itself: it asks a seed, which passes
the question on.
"""

import math
from collections.abc import Callable, Sequence

from martenrun.identity.rendezvous import ranked
from martenrun.router.peer_messages import RouterRecord
from martenrun.router.quotas.messages import QuotaStage

KEEPERS = 2
"""Routers that keep each account."""

MOST_ASKED = 3
"""Most routers that are asked one after the other."""

LOOKED_AGAIN_S = 0.1
"""How often it is looked at who is alive, in seconds."""


class Homes:
    """Chooses by what this router knows of the others.

    Args:
        now: returns the steady time.
        own: this router's record.
        live: returns the records of the other routers that are alive.
        known: returns how many routers there may be, this one included.
        is_settled: returns whether this router has heard of the others for some time.
        is_young: returns whether it started so shortly ago that its view may still differ.
        seeds: internal addresses of some routers, the same for all.
    """

    def __init__(
        self,
        now: Callable[[], float],
        own: RouterRecord,
        live: Callable[[], Sequence[RouterRecord]],
        known: Callable[[], int],
        is_settled: Callable[[], bool],
        is_young: Callable[[], bool],
        seeds: Sequence[str],
    ) -> None:
        self._now = now
        self._own = own
        self._own_at = own.address
        self._live = live
        self._known = known
        self._is_settled = is_settled
        self._is_young = is_young
        self._seeds = [seed for seed in seeds if seed != own.address]
        self._looked_at = -math.inf
        self._seen = 1
        self._members: list[str] = []
        self._stages: dict[str, int] = {}
        self._ranked: dict[str, list[str]] = {}
        self._previous: list[str] = []

    def keepers(self, tenant: str) -> list[str]:
        """Return the addresses of the routers that keep a tenant's account."""
        return self._ranking(tenant)[:KEEPERS]

    def previous_keepers(self, tenant: str) -> list[str]:
        """Return who kept a tenant's account before routers last came or went in this view."""
        return ranked(tenant.encode(), self._previous)[:KEEPERS]

    def is_substitute(self, tenant: str) -> bool:
        """Whether this router, asked for a tenant's units, stands in for others that keep them.

        While all routers have just started, whoever is asked is as good as any.
        """
        if self._own_at in self.keepers(tenant):
            return False
        others = (stage for at, stage in self._stages.items() if at != self._own_at)
        return not self._is_young() or QuotaStage.WARM in others

    def told(self, tenant: str) -> list[str]:
        """Return who is told of what is granted: the keepers.

        While one of the first three has just started, whoever takes the third for a keeper in its
        place must know as well.
        """
        ranking = self._ranking(tenant)
        is_new = any(self._stages[address] == QuotaStage.BEGUN for address in ranking)
        return ranking[: MOST_ASKED if is_new else KEEPERS]

    def asked(self, tenant: str) -> list[str]:
        """Return who is asked for a tenant's units, in that order.

        Of the two keepers the one that has kept accounts for long comes first: the other cannot
        know of all that was granted.
        """
        ranking = self._ranking(tenant)
        if self._seeds and self._is_young():
            seeds = ranked(tenant.encode(), self._seeds)[: MOST_ASKED - 1]
            return seeds + (ranking[:1] if self._is_settled() else [])
        keepers = ranking[:KEEPERS]
        keepers.sort(key=lambda address: -self._stages[address])
        return keepers + ranking[KEEPERS:MOST_ASKED]

    def passes_on_to(self, tenant: str) -> str | None:
        """Return the router to which a question for an account kept elsewhere is passed on.

        A router that has just started passes on to one that knows what was granted before, as soon
        as it has heard of one.
        """
        keepers = self.keepers(tenant)
        if self._is_young():
            warm = [a for a in keepers if self._stages[a] == QuotaStage.WARM and a != self._own_at]
            return warm[0] if warm else None
        return None if self._own_at in keepers or not keepers else keepers[0]

    def seen_share(self) -> float:
        """Return the part of all routers that this one sees.

        Those that it has lost sight of may be cut off and grant theirs, or have ended: nothing
        tells the two apart.
        """
        self._look()
        return min(1.0, self._seen / max(1, self._known()))

    def _ranking(self, tenant: str) -> list[str]:
        self._look()
        found = self._ranked.get(tenant)
        if found is None:
            found = self._ranked[tenant] = ranked(tenant.encode(), self._members)[:MOST_ASKED]
        return found

    def _look(self) -> None:
        """Rank anew if routers have come or gone."""
        now = self._now()
        if now - self._looked_at < LOOKED_AGAIN_S:
            return
        self._looked_at = now
        records = [self._own, *self._live()]
        self._seen = len(records)
        self._stages = {
            record.address: record.quota_stage
            for record in records
            if record.quota_stage > QuotaStage.NONE and not record.is_leaving
        }
        members = sorted(self._stages)
        if members != self._members:
            self._previous, self._members = self._members, members
            self._ranked.clear()
