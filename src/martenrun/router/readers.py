"""Which routers read the platform's store for all: pure choices by rendezvous hashing.

Routers that read say so in their records, and go on as long as they can: who starts, or knows only
some of the others, follows those that read and does not begin by itself.  So the number of readers
depends on hearing of them, not on every router having the same table of all.
"""

import math
import random
from collections.abc import Mapping, Sequence

import attrs

from martenrun.identity.rendezvous import weight

READERS = 2
"""Routers that read the store while all is well."""

READERS_IN_OUTAGE = 5
"""Routers that go on asking for the store while none of them reaches it."""

FAILED_MEMORY_S = 1.5
"""How long a router that gave no good answer is asked after the others, in seconds."""

UNREACHED_S = 1.2
"""Time without any answer of a reader from which some router reads by itself, in seconds."""

UNREACHED_SPREAD_S = 0.2
"""How far apart routers that reach no reader begin to read, in seconds for a factor of e.

Among n routers the first begin at once and the last after ln(n) times that, a few times as many in
each further 0.2 s.  The first tell the others, who then follow them: of 195 routers whose readers
have all gone 6 on average have begun 0.2 s after the first, and all have after 1.1 s if none hears
of another.
"""

UNKNOWN_ROUTERS = 64
"""Among how many others a router that knows of none spreads the time at which it begins."""

VACANCY_S = 2.0
"""For how long a router whose questions are answered is to be among the chosen before it reads.

It may only not have heard yet of those that read; nothing is late meanwhile.
"""

STRONG_SHARE = 0.5
"""Share of the strongest router's capacity from which a router counts as strong."""


def strong_first(duty: bytes, capacities: Mapping[str, float]) -> list[str]:
    """Return routers in the order in which they take a duty on: the strong ones, then by hashing.

    Args:
        capacities: processor that each router may use, by its address, in cores.
    """
    strongest = max(capacities.values(), default=0.0)

    def order(address: str) -> tuple[bool, int]:
        return capacities[address] >= STRONG_SHARE * strongest, weight(duty, address)

    return sorted(capacities, key=order, reverse=True)


@attrs.frozen
class Candidate:
    """A router that may read.

    Attributes:
        can_read: it has not lost the store.
        reads: it says that it reads the store.
        capacity: processor that it may use, in cores.
    """

    address: str
    can_read: bool
    reads: bool = False
    capacity: float = 0.0


@attrs.frozen
class ReadingPlan:
    """How a router keeps its knowledge current: from the store, or from another router."""

    reads_store: bool
    source: str | None


def chosen_readers(candidates: Sequence[Candidate]) -> list[str]:
    """Return the addresses of the readers, the first one first.

    Those that read go before those that could, so that nobody begins while there are enough; among
    equals the strong go first, since each reader answers many followers.
    """
    able = [candidate for candidate in candidates if candidate.can_read]
    if able:
        return _by_weight(able)[:READERS]
    return _by_weight(candidates)[:READERS_IN_OUTAGE]


def _by_weight(candidates: Sequence[Candidate]) -> list[str]:
    ordered = strong_first(b"readers", {item.address: item.capacity for item in candidates})
    reading = {item.address for item in candidates if item.reads}
    return sorted(ordered, key=lambda address: address not in reading)


class ReaderChoice:
    """Plans the reading of one router; remembers which readers answered lately.

    Args:
        seeds: routers to ask while no other one is known; without any, or if this router is one of
            them, it reads the store at once.
        rng: draws when this router begins to read if it reaches no reader, and whom it asks.
    """

    def __init__(
        self,
        own: str,
        now: float,
        seeds: Sequence[str] = (),
        rng: random.Random | None = None,
    ) -> None:
        self._own = own
        self._seeds = [seed for seed in seeds if seed != own]
        self._is_seed = own in seeds
        self._failed_at: dict[str, float] = {}
        self._began_at = now
        self._reached_at = now
        self._is_served = False
        self._reads = False
        self._chosen_since: float | None = None
        self._rng = rng or random.Random()
        self._lot = self._rng.random()

    def note_reached(self, now: float, is_served: bool = True) -> None:
        """Take in that a reader answered, if only that it has lost the store (not served)."""
        self._reached_at = now
        self._is_served = is_served
        self._lot = self._rng.random()

    def note_heard(self, now: float) -> None:
        """Take in that a reader's answer is arriving: it is reached, however long that takes."""
        self._reached_at = now

    def note_failed(self, address: str, now: float) -> None:
        """Take in that a router gave no good answer."""
        self._failed_at[address] = now
        self._is_served = False

    def _has_failed(self, address: str, now: float) -> bool:
        failed_at = self._failed_at.get(address)
        return failed_at is not None and now - failed_at < FAILED_MEMORY_S

    def _as_seen(self, candidate: Candidate, now: float) -> Candidate:
        """Return a candidate as one that cannot read, if it gave no good answer lately."""
        if self._has_failed(candidate.address, now):
            return attrs.evolve(candidate, can_read=False)
        return candidate

    def plan(
        self, candidates: Sequence[Candidate], now: float, knows_all: bool = True
    ) -> ReadingPlan:
        """Return how to go on.

        Args:
            candidates: all live routers, this one included.
            knows_all: whether this router knows something of every dataset.
        """
        substitutes = chosen_readers([self._as_seen(item, now) for item in candidates])
        if self._own not in substitutes:
            self._chosen_since = None
        elif self._chosen_since is None:
            self._chosen_since = now
        if self._may_read(len(candidates), now, knows_all):
            self._reads = True
            self._reached_at = now
            # The store may be down: while nothing is known, another router may help out as well.
            helper = None if knows_all else self._source([], candidates, now, knows_all)
            return ReadingPlan(True, helper)
        readers = self._in_own_order(chosen_readers(candidates))
        readers += self._in_own_order(substitutes)
        source = self._source(readers, candidates, now, knows_all)
        self._reads = source is None or self._is_out_of_reach(len(candidates), now)
        return ReadingPlan(self._reads, source)

    def _may_read(self, count: int, now: float, knows_all: bool) -> bool:
        """Whether this router reads, or begins to, because it is one of the chosen."""
        if self._chosen_since is None:
            return False
        if self._reads or not self._seeds or (self._is_seed and not knows_all):
            return True
        if not knows_all or now - self._began_at < VACANCY_S:
            # Whoever has just started knows too few of the others to tell who is chosen.
            return self._is_out_of_reach(count, now)
        return not self._is_served or now - self._chosen_since >= VACANCY_S

    def _is_out_of_reach(self, count: int, now: float) -> bool:
        """Whether no reader has answered for so long that this router reads by itself."""
        routers = count if count > 1 else UNKNOWN_ROUTERS
        later_s = UNREACHED_SPREAD_S * (math.log(routers) + math.log(max(self._lot, 1 / routers)))
        return now - self._reached_at > UNREACHED_S + later_s

    def _source(
        self, readers: list[str], candidates: Sequence[Candidate], now: float, knows_all: bool
    ) -> str | None:
        """Return the router to ask: a reader, else a seed while nothing is known, else any."""
        ordered = readers
        if not knows_all or not ordered:
            # Any router may help out with old knowledge, also one that has lost the store.
            reading = {item.address for item in candidates if item.reads}
            known = [item.address for item in candidates if item.address != self._own]
            ordered = [item for item in ordered if item in reading] + self._shuffled(self._seeds)
            ordered += self._shuffled(known)
        sound = [address for address in ordered if not self._has_failed(address, now)]
        return next(iter(sound or ordered), None)

    def _in_own_order(self, readers: Sequence[str]) -> list[str]:
        """Return readers in an order that differs from router to router."""
        others = [address for address in readers if address != self._own]
        return sorted(others, key=lambda item: weight(self._own.encode(), item))

    def _shuffled(self, addresses: Sequence[str]) -> list[str]:
        return self._rng.sample(addresses, len(addresses))
