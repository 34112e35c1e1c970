"""Selects the routers that keep the origins of streams, by rendezvous hashing of their slot."""

import math
from collections.abc import Callable, Sequence
from typing import Protocol

from martenrun.identity.rendezvous import ranked
from martenrun.router.peer_messages import RouterRecord

OWNERS_PER_SLOT = 3
"""Number of routers that keep a slot's origins beside those that sent the streams."""

REFRESH_INTERVAL_S = 0.1
"""How often the set of live routers is refreshed, in seconds."""


class Membership(Protocol):
    """The required view of the other routers."""

    @property
    def own(self) -> RouterRecord:
        """This router's record."""

    def live(self) -> Sequence[RouterRecord]:
        """Return the records of the other routers that are alive."""


class OriginOwners:
    """Ranks the routers for each slot; routers of earlier versions and leaving ones own none."""

    def __init__(self, now: Callable[[], float], members: Membership) -> None:
        self._now = now
        self._members = members
        self._own = members.own.address
        self._refreshed_at = -math.inf
        self._candidates: dict[str, int] = {}
        self._rankings: dict[int, list[str]] = {}
        self._previous: dict[str, int] = {}
        self._taken: dict[str, int] = {}

    def owners(self, slot: int) -> list[str]:
        """Return the addresses of the routers that keep a slot, possibly this one among them."""
        self._refresh()
        ranking = self._rankings.get(slot)
        if ranking is None:
            ranking = self._rankings[slot] = _first(slot, self._candidates)
        return ranking

    def others(self) -> list[str]:
        """Return the other live routers that may know origins, including leaving ones."""
        return [record.address for record in self._members.live() if record.keeps_stream_software]

    def take_change(self) -> bool:
        """Return whether the set of routers has changed since the last call."""
        self._refresh()
        if self._candidates == self._taken:
            return False
        self._previous, self._taken = self._taken, self._candidates
        return True

    def new_owners(self, slot: int) -> list[str]:
        """Return the other owners of a slot that owned it not before the change, or restarted."""
        before = _first(slot, self._previous)
        return [
            address
            for address in self.owners(slot)
            if address != self._own
            and (address not in before or self._previous[address] != self._candidates[address])
        ]

    def _refresh(self) -> None:
        now = self._now()
        if now - self._refreshed_at < REFRESH_INTERVAL_S:
            return
        self._refreshed_at = now
        candidates = {
            record.address: record.incarnation
            for record in [self._members.own, *self._members.live()]
            if record.keeps_stream_software and not record.is_leaving
        }
        if candidates != self._candidates:
            self._candidates = candidates
            self._rankings.clear()


def _first(slot: int, candidates: dict[str, int]) -> list[str]:
    return ranked(b"%d" % slot, candidates)[:OWNERS_PER_SLOT]
