"""Selects the routers that own an account by rendezvous hashing over the live routers.

Each account has two owners, so that the second can take over when the first fails.  A router that
is starting does not know all other routers yet and would select different owners.  It sends its
requests to a seed instead, which forwards them.
"""

import math
from collections.abc import Callable, Sequence
from typing import Protocol

from martenrun.identity.rendezvous import ranked
from martenrun.router.peer_messages import RouterRecord
from martenrun.router.quotas.messages import QuotaStage

OWNERS_PER_ACCOUNT = 2
"""Number of routers that own each account."""

MAX_ROUTERS_ASKED = 3
"""Maximum number of routers that are asked one after the other."""

REFRESH_INTERVAL_S = 0.1
"""How often the set of live routers is refreshed, in seconds."""


class Membership(Protocol):
    """The required view of the other routers."""

    @property
    def own(self) -> RouterRecord:
        """This router's record."""

    def live(self) -> Sequence[RouterRecord]:
        """Return the records of the other routers that are alive."""

    def silent_since(self) -> list[float]:
        """Return when each router considered dead was last heard from, in monotonic seconds."""

    def is_settled(self) -> bool:
        """Whether this router has received gossip long enough to know most routers."""


class AccountOwners:
    """Selects the owners of accounts by this router's membership view.

    Args:
        now: returns the monotonic time.
        members: the routers of the deployment.
        is_starting: returns whether this router's membership view may still be incomplete.
        seeds: internal addresses of the seed routers, identical at all routers.
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
        self._visible_fraction = 1.0
        self._candidates: list[str] = []
        self._participants: list[str] = []
        self._stages: dict[str, int] = {}
        self._ranked: dict[str, list[str]] = {}
        self._previous_candidates: list[str] = []

    def owners(self, tenant: str) -> list[str]:
        """Return the addresses of the routers that own a tenant's account."""
        return self._ranking(tenant)[:OWNERS_PER_ACCOUNT]

    def previous_owners(self, tenant: str) -> list[str]:
        """Return the owners of a tenant's account before the last change of membership."""
        return ranked(tenant.encode(), self._previous_candidates)[:OWNERS_PER_ACCOUNT]

    def is_substitute(self, tenant: str) -> bool:
        """Whether this router decides requests for an account that other routers own.

        While all routers are starting, any router that is asked counts as an owner.
        """
        if self._own in self.owners(tenant):
            return False
        others = (stage for at, stage in self._stages.items() if at != self._own)
        return not self._is_starting() or QuotaStage.ESTABLISHED in others

    def replication_targets(self, tenant: str) -> list[str]:
        """Return the routers that receive the uses of a tenant's account.

        These are the owners.  While one of the first three in the ranking has started recently, the
        third is included, because routers that do not know the new one yet consider it an owner.
        """
        ranking = self._ranking(tenant)
        is_new = any(self._stages[address] == QuotaStage.JOINING for address in ranking)
        return ranking[: MAX_ROUTERS_ASKED if is_new else OWNERS_PER_ACCOUNT]

    def request_order(self, tenant: str) -> list[str]:
        """Return the routers to ask for a tenant's units, in order.

        The owner that has run longer comes first because it need not recover the account.
        """
        ranking = self._ranking(tenant)
        if self._seeds and self._is_starting():
            seeds = ranked(tenant.encode(), self._seeds)[: MAX_ROUTERS_ASKED - 1]
            return seeds + (ranking[:1] if self._members.is_settled() else [])
        owners = ranking[:OWNERS_PER_ACCOUNT]
        owners.sort(key=lambda address: -self._stages[address])
        return owners + ranking[OWNERS_PER_ACCOUNT:MAX_ROUTERS_ASKED]

    def forwarding_target(self, tenant: str) -> str | None:
        """Return the router to which a request for an account owned elsewhere is forwarded.

        A router that is starting forwards to an established owner, which knows earlier grants, as
        soon as it has learned of one.
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
        """Return the other live routers that take part in recalls, including leaving ones."""
        self._refresh()
        return self._participants

    def departure_times(self) -> tuple[float, ...]:
        """Return when each router considered dead was last heard from, in monotonic seconds."""
        return tuple(self._members.silent_since())

    def has_complete_view(self) -> bool:
        """Whether this router's membership view is complete as far as it can tell."""
        return self._members.is_settled() and not self._is_starting()

    def visible_fraction(self) -> float:
        """Return the fraction of all routers that this one sees.

        Routers out of sight may have stopped, or may be cut off and grant their own shares; the two
        cases cannot be distinguished.
        """
        self._refresh()
        return self._visible_fraction

    def _ranking(self, tenant: str) -> list[str]:
        self._refresh()
        found = self._ranked.get(tenant)
        if found is None:
            found = self._ranked[tenant] = ranked(tenant.encode(), self._candidates)[
                :MAX_ROUTERS_ASKED
            ]
        return found

    def _refresh(self) -> None:
        """Recompute the ranking if the membership has changed."""
        now = self._now()
        if now - self._refreshed_at < REFRESH_INTERVAL_S:
            return
        self._refreshed_at = now
        others = self._members.live()
        records = [self._members.own, *others]
        self._visible_fraction = len(records) / (len(records) + len(self._members.silent_since()))
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
            self._previous_candidates, self._candidates = self._candidates, candidates
            self._ranked.clear()
