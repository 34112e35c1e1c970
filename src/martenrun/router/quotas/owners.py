"""Which routers own a tenant's account: by rendezvous hashing over those that are alive.

Two own each account, so that the second goes on where the first ends.  A router that is starting
does not know of all others yet and would choose by itself: it asks a seed, which forwards the
question.
"""

import math
from collections.abc import Callable, Sequence
from typing import Protocol

from martenrun.identity.rendezvous import ranked
from martenrun.router.peer_messages import RouterRecord
from martenrun.router.quotas.messages import QuotaStage

OWNERS = 2
"""Routers that own each account."""

MOST_ASKED = 3
"""Most routers that are asked one after the other."""

REFRESH_INTERVAL_S = 0.1
"""How often it is looked at who is alive, in seconds."""


class Membership(Protocol):
    """What is needed of the knowledge about the other routers."""

    @property
    def own(self) -> RouterRecord:
        """This router's record."""

    def live(self) -> Sequence[RouterRecord]:
        """Return the records of the other routers that are alive."""

    def silent_since(self) -> list[float]:
        """Return when each router that counts as dead was last heard of, in steady seconds."""

    def is_settled(self) -> bool:
        """Whether others have been heard for long enough to know most of them."""


class AccountOwners:
    """Chooses by what this router knows of the others.

    Args:
        now: returns the steady time.
        members: the routers of the deployment.
        is_starting: returns whether this router's view of the others may still be incomplete.
        seeds: internal addresses of some routers, the same for all.
    """

    def __init__(
        self,
        now: Callable[[], float],
        members: Membership,
        is_starting: Callable[[], bool],
        seeds: Sequence[str],
    ) -> None:
        self._now = now
        self._members = members
        self._own = members.own.address
        self._is_starting = is_starting
        self._seeds = [seed for seed in seeds if seed != self._own]
        self._refreshed_at = -math.inf
        self._seen_share = 1.0
        self._candidates: list[str] = []
        self._participants: list[str] = []
        self._stages: dict[str, int] = {}
        self._ranked: dict[str, list[str]] = {}
        self._previous: list[str] = []

    def owners(self, tenant: str) -> list[str]:
        """Return the addresses of the routers that own a tenant's account."""
        return self._ranking(tenant)[:OWNERS]

    def previous_owners(self, tenant: str) -> list[str]:
        """Return who owned a tenant's account before routers last came or went in this view."""
        return ranked(tenant.encode(), self._previous)[:OWNERS]

    def is_substitute(self, tenant: str) -> bool:
        """Whether this router, asked for a tenant's units, stands in for others that own them.

        While all routers have just started, whoever is asked is as good as any.
        """
        if self._own in self.owners(tenant):
            return False
        others = (stage for at, stage in self._stages.items() if at != self._own)
        return not self._is_starting() or QuotaStage.ESTABLISHED in others

    def notified(self, tenant: str) -> list[str]:
        """Return who is told of what is granted: the owners.

        While one of the first three has just started, whoever takes the third for an owner in its
        place must know as well.
        """
        ranking = self._ranking(tenant)
        is_new = any(self._stages[address] == QuotaStage.JOINING for address in ranking)
        return ranking[: MOST_ASKED if is_new else OWNERS]

    def asked(self, tenant: str) -> list[str]:
        """Return who is asked for a tenant's units, in that order.

        Of the two owners the one that has run for long comes first: it need not recover the
        account.
        """
        ranking = self._ranking(tenant)
        if self._seeds and self._is_starting():
            seeds = ranked(tenant.encode(), self._seeds)[: MOST_ASKED - 1]
            return seeds + (ranking[:1] if self._members.is_settled() else [])
        owners = ranking[:OWNERS]
        owners.sort(key=lambda address: -self._stages[address])
        return owners + ranking[OWNERS:MOST_ASKED]

    def forwards_to(self, tenant: str) -> str | None:
        """Return the router to which a question for an account owned elsewhere is forwarded.

        A router that is starting forwards to one that knows what was granted before, as soon as it
        has heard of one.
        """
        owners = self.owners(tenant)
        if self._is_starting():
            established = [
                address
                for address in owners
                if self._stages[address] == QuotaStage.ESTABLISHED and address != self._own
            ]
            return established[0] if established else None
        return None if self._own in owners or not owners else owners[0]

    def participants(self) -> list[str]:
        """Return the other living routers that answer for grants, those about to leave included."""
        self._refresh()
        return self._participants

    def departed_at(self) -> tuple[float, ...]:
        """Return when each router that counts as dead was last heard of, in steady seconds."""
        return tuple(self._members.silent_since())

    def knows_all(self) -> bool:
        """Whether this router's view of the others is complete, as far as it can tell."""
        return self._members.is_settled() and not self._is_starting()

    def seen_share(self) -> float:
        """Return the part of all routers that this one sees.

        Those that it has lost sight of may be cut off and grant theirs, or have ended: nothing
        tells the two apart.
        """
        self._refresh()
        return self._seen_share

    def _ranking(self, tenant: str) -> list[str]:
        self._refresh()
        found = self._ranked.get(tenant)
        if found is None:
            found = self._ranked[tenant] = ranked(tenant.encode(), self._candidates)[:MOST_ASKED]
        return found

    def _refresh(self) -> None:
        """Rank anew if routers have come or gone."""
        now = self._now()
        if now - self._refreshed_at < REFRESH_INTERVAL_S:
            return
        self._refreshed_at = now
        others = self._members.live()
        records = [self._members.own, *others]
        self._seen_share = len(records) / (len(records) + len(self._members.silent_since()))
        self._participants = [
            record.address for record in others if record.quota_stage > QuotaStage.NONE
        ]
        self._stages = {
            record.address: record.quota_stage
            for record in records
            if record.quota_stage > QuotaStage.NONE and not record.is_leaving
        }
        candidates = sorted(self._stages)
        if candidates != self._candidates:
            self._previous, self._candidates = self._candidates, candidates
            self._ranked.clear()
