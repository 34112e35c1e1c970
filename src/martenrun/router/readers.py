"""Which routers read the platform's store for all: pure choices by rendezvous hashing."""

from collections.abc import Sequence

import attrs

from martenrun.identity.rendezvous import weight

READERS = 2
"""Routers that read the store while all is well."""

READERS_IN_OUTAGE = 5
"""Routers that go on asking for the store while none of them reaches it."""

FAILED_MEMORY_S = 1.5
"""How long a router that gave no good answer is asked after the others, in seconds."""

UNREACHED_S = 1.2
"""Time without any answer of a reader from which a router reads by itself, in seconds."""


@attrs.frozen
class Candidate:
    """A router that may read; ``can_read`` says that it has not lost the store."""

    address: str
    can_read: bool


@attrs.frozen
class ReadingPlan:
    """How a router keeps its knowledge current: from the store, or from another router."""

    reads_store: bool
    source: str | None


def chosen_readers(candidates: Sequence[Candidate]) -> list[str]:
    """Return the addresses of the readers, the first one first."""
    able = [candidate.address for candidate in candidates if candidate.can_read]
    if able:
        return _by_weight(able)[:READERS]
    return _by_weight([candidate.address for candidate in candidates])[:READERS_IN_OUTAGE]


def _by_weight(addresses: list[str]) -> list[str]:
    return sorted(addresses, key=lambda address: weight(b"readers", address), reverse=True)


class ReaderChoice:
    """Plans the reading of one router; remembers which readers answered lately."""

    def __init__(self, own: str, now: float) -> None:
        self._own = own
        self._failed_at: dict[str, float] = {}
        self._reached_at = now

    def note_reached(self, now: float) -> None:
        """Take in that a reader answered, if only that it has lost the store."""
        self._reached_at = now

    def note_failed(self, address: str, now: float) -> None:
        """Take in that a router gave no good answer."""
        self._failed_at[address] = now

    def _has_failed(self, address: str, now: float) -> bool:
        failed_at = self._failed_at.get(address)
        return failed_at is not None and now - failed_at < FAILED_MEMORY_S

    def plan(self, candidates: Sequence[Candidate], now: float) -> ReadingPlan:
        """Return how to go on; ``candidates`` are all live routers, this one included."""
        readers = chosen_readers(candidates)
        if self._own in readers or len(candidates) <= READERS:
            self._reached_at = now
            return ReadingPlan(True, None)
        ordered = sorted(readers, key=lambda item: weight(self._own.encode(), item))
        sound = [address for address in ordered if not self._has_failed(address, now)]
        source = (sound or ordered)[0]
        return ReadingPlan(now - self._reached_at > UNREACHED_S, source)
