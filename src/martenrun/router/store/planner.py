"""Selects the routers that read the platform's store for all, by rendezvous hashing.

Readers announce it in their records and keep the role as long as they can; a router that starts,
or knows only some of the others, follows them instead of starting to read.  So the number of
readers depends on their announcements, not on identical tables on all routers.  Free of I/O.
"""

import math
import random
from collections.abc import Mapping, Sequence

import attrs

from martenrun.identity.rendezvous import weight

READERS = 2
"""Number of store readers in normal operation."""

READERS_IN_OUTAGE = 5
"""Number of routers that keep retrying while none of them reaches the store."""

FAILED_MEMORY_S = 1.5
"""How long a router is queried after the others once a query to it failed, in seconds."""

UNREACHABLE_S = 1.2
"""Time without any response from a reader after which some router starts to read, in seconds."""

UNREACHABLE_SPREAD_S = 0.2
"""Spread of the times at which routers that reach no reader start to read, in seconds per factor e.

Among n routers the first start at once and the last after ln(n) times this, a few times as many in
each further 0.2 s.  The first announce it and the others then follow them: if the readers of 195
routers all die, on average 6 have started 0.2 s after the first, and all have after 1.1 s if none
learns of another.
"""

UNKNOWN_ROUTERS = 64
"""Number of routers for which a router that knows no other spreads its start."""

VACANCY_S = 2.0
"""How long a router that still gets responses must be among the chosen before it starts to read.

It may just not have learned of the current readers yet; its state stays current meanwhile.
"""

STRONG_SHARE = 0.5
"""Share of the highest capacity from which a router counts as strong."""


def order_by_strength(duty: bytes, capacities: Mapping[str, float]) -> list[str]:
    """Return routers in order of preference for a duty: strong ones first, then by hashing.

    Args:
        capacities: CPU available to each router in cores, by address.
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
        is_reader: it announces that it reads the store.
        capacity: CPU available to it, in cores.
        has_state: it has some state of every dataset.
    """

    address: str
    can_read: bool
    is_reader: bool = False
    capacity: float = 0.0
    has_state: bool = False


@attrs.frozen
class ReadPlan:
    """How a router keeps its state current: from the store, from another router, or from both."""

    reads_store: bool
    source: str | None


def select_readers(candidates: Sequence[Candidate]) -> list[str]:
    """Return the addresses of the readers, the preferred one first.

    Current readers go before other candidates, so that no router starts to read while there are
    enough; otherwise strong routers go first, since each reader serves many followers.
    """
    able = [candidate for candidate in candidates if candidate.can_read]
    if able:
        return _order_candidates(able)[:READERS]
    return _order_candidates(candidates)[:READERS_IN_OUTAGE]


def _order_candidates(candidates: Sequence[Candidate]) -> list[str]:
    ordered = order_by_strength(b"readers", {item.address: item.capacity for item in candidates})
    reading = {item.address for item in candidates if item.is_reader}
    return sorted(ordered, key=lambda address: address not in reading)


class ReadPlanner:
    """Plans the reads of one router; remembers which readers responded recently.

    Args:
        seeds: routers to query while no other one is known; without any, or if this router is one
            of them, it reads the store at once.
        rng: chooses when this router starts to read if it reaches no reader, and whom it queries.
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
        self._is_reader = False
        self._chosen_since: float | None = None
        self._rng = rng or random.Random()
        self._spread_draw = self._rng.random()

    def record_response(self, now: float, is_served: bool = True) -> None:
        """Record a response from a reader; unserved if it only reports that it lost the store."""
        self._reached_at = now
        self._is_served = is_served
        self._spread_draw = self._rng.random()

    def record_partial_response(self, now: float) -> None:
        """Record that a reader's response is arriving, which may take long: it is reachable."""
        self._reached_at = now

    def record_failure(self, address: str, now: float) -> None:
        """Record that a query to a router failed."""
        self._failed_at[address] = now
        self._is_served = False

    def _has_failed(self, address: str, now: float) -> bool:
        failed_at = self._failed_at.get(address)
        return failed_at is not None and now - failed_at < FAILED_MEMORY_S

    def _apply_failures(self, candidate: Candidate, now: float) -> Candidate:
        """Return the candidate, marked as unable to read if a query to it failed recently."""
        if self._has_failed(candidate.address, now):
            return attrs.evolve(candidate, can_read=False)
        return candidate

    def plan(
        self, candidates: Sequence[Candidate], now: float, has_all_datasets: bool = True
    ) -> ReadPlan:
        """Return the next read plan.

        Args:
            candidates: all live routers, including this one.
            has_all_datasets: whether this router has some state of every dataset.
        """
        substitutes = select_readers([self._apply_failures(item, now) for item in candidates])
        if self._own not in substitutes:
            self._chosen_since = None
        elif self._chosen_since is None:
            self._chosen_since = now
        if self._may_read(len(candidates), now, has_all_datasets):
            self._is_reader = True
            self._reached_at = now
            # The store may be down: without any state, query another router as well.
            helper = (
                None if has_all_datasets else self._source([], candidates, now, has_all_datasets)
            )
            return ReadPlan(True, helper)
        readers = self._in_router_order(select_readers(candidates))
        readers += self._in_router_order(substitutes)
        source = self._source(readers, candidates, now, has_all_datasets)
        self._is_reader = source is None or self._is_unreachable(len(candidates), now)
        return ReadPlan(self._is_reader, source)

    def choose_helper(self, candidates: Sequence[Candidate], now: float) -> str | None:
        """Return a router for a reader to follow beside the store, a reader if there is one."""
        others = [item for item in candidates if item.address != self._own and item.can_read]
        readers = [item.address for item in others if item.is_reader]
        known = readers or [item.address for item in others]
        healthy = [address for address in known if not self._has_failed(address, now)]
        return self._rng.choice(healthy) if healthy else None

    def _may_read(self, count: int, now: float, has_all_datasets: bool) -> bool:
        """Return whether this router reads, or starts to, because it is among the chosen."""
        if self._chosen_since is None:
            return False
        if self._is_reader or not self._seeds or (self._is_seed and not has_all_datasets):
            return True
        if not has_all_datasets or now - self._began_at < VACANCY_S:
            # A router that has just started knows too few others to determine the chosen ones.
            return self._is_unreachable(count, now)
        return not self._is_served or now - self._chosen_since >= VACANCY_S

    def _is_unreachable(self, count: int, now: float) -> bool:
        """Return whether no reader has responded for so long that this router starts to read."""
        routers = count if count > 1 else UNKNOWN_ROUTERS
        spread_s = UNREACHABLE_SPREAD_S * (
            math.log(routers) + math.log(max(self._spread_draw, 1 / routers))
        )
        return now - self._reached_at > UNREACHABLE_S + spread_s

    def _source(
        self,
        readers: list[str],
        candidates: Sequence[Candidate],
        now: float,
        has_all_datasets: bool,
    ) -> str | None:
        """Return the router to query: a reader, else one with state, else a seed, else any."""
        ordered = readers
        if not has_all_datasets or not ordered:
            # Any router may help with old state, even one that has lost the store.
            reading = {item.address for item in candidates if item.is_reader}
            others = [item for item in candidates if item.address != self._own]
            ordered = [item for item in ordered if item in reading]
            ordered += self._shuffled([item.address for item in others if item.has_state])
            ordered += self._shuffled(self._seeds)
            ordered += self._shuffled([item.address for item in others])
        healthy = [address for address in ordered if not self._has_failed(address, now)]
        return next(iter(healthy or ordered), None)

    def _in_router_order(self, readers: Sequence[str]) -> list[str]:
        """Return readers in an order that differs between routers, to spread the load."""
        others = [address for address in readers if address != self._own]
        return sorted(others, key=lambda item: weight(self._own.encode(), item))

    def _shuffled(self, addresses: Sequence[str]) -> list[str]:
        return self._rng.sample(addresses, len(addresses))
