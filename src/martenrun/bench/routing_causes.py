"""Why first tokens of the routing benchmark came late: one cause for each late request."""

import enum
from collections.abc import Iterable
from dataclasses import dataclass, field

from martenrun.bench.routing_engine import SimulatedEngine

LATE_S = 0.1
"""Time to the first token from which a request is late, in seconds."""

MISSING_BLOCKS = 3
"""Fewer missing blocks than this do not make a request late."""


FORGOTTEN_S = 20.0
"""Time since its restart in which a home is taken to know less for it, in seconds."""


class LateCause(enum.StrEnum):
    """What made a first token late; the first one that holds, in this order."""

    ENGINE_GONE = "engine_gone"
    """An attempt was begun again because its engine crashed or was gone."""
    SLOT_WAIT = "slot_wait"
    """Most of the time passed before a slot was free."""
    HOME_FORGOT = "home_forgot"
    """Another runner held the prefix; the home had restarted since and did not know."""
    NOT_BELIEVED = "not_believed"
    """Another runner held the prefix and the home did not believe it."""
    HOLDER_PASSED_OVER = "holder_passed_over"
    """The home believed that another runner held the prefix and chose this one."""
    EVICTED = "evicted"
    """Nobody held the prefix; its last holder had evicted it."""
    CRASHED = "crashed"
    """Nobody held the prefix; its last holder had crashed."""
    IMPORTED = "imported"
    """Much of the prefix came from a store, and that took its time."""
    FIRST_USE = "first_use"
    """The prefix had never been computed, or the request is long without one."""


@dataclass(frozen=True, slots=True)
class LateRequest:
    """What is known of a late request at its first token.

    Attributes:
        attempts: how often it was sent.
        waited_share: share of its time that it waited for a slot.
        cached: leading blocks its engine held when it started.
        imported: blocks that came from a store.
        best: most leading blocks that any live runner of the pool held then.
        best_believed: most leading blocks its home believed of a runner that held ``best``.
        home_forgot: whether its home node has restarted a short time ago.
    """

    hashes: list[int]
    attempts: int
    waited_share: float
    cached: int
    imported: int
    best: int
    best_believed: int
    home_forgot: bool


@dataclass(slots=True)
class LateCauses:
    """Counts causes; knows of every block how it was last lost.

    Attributes:
        counts: late requests by cause.
    """

    counts: dict[str, int] = field(default_factory=dict)
    _lost: dict[int, LateCause] = field(default_factory=dict)

    def lost(self, blocks: Iterable[int], cause: LateCause) -> None:
        """Remember that an engine lost these blocks."""
        self._lost.update(dict.fromkeys(blocks, cause))

    def crashed(self, engine: SimulatedEngine) -> None:
        """Remember that an engine is about to lose all blocks."""
        self.lost(engine.cache.blocks(), LateCause.CRASHED)

    def count(self, late: LateRequest) -> None:
        """Count one late request."""
        cause = self._cause(late).value
        self.counts[cause] = self.counts.get(cause, 0) + 1

    def _cause(self, late: LateRequest) -> LateCause:
        if late.attempts > 1:
            return LateCause.ENGINE_GONE
        if late.waited_share > 0.5:
            return LateCause.SLOT_WAIT
        if late.best - late.cached >= MISSING_BLOCKS:
            if late.best_believed > late.cached:
                return LateCause.HOLDER_PASSED_OVER
            return LateCause.HOME_FORGOT if late.home_forgot else LateCause.NOT_BELIEVED
        if late.imported >= MISSING_BLOCKS:
            return LateCause.IMPORTED
        missing = [block for block in late.hashes[late.best :] if block in self._lost]
        if len(missing) >= MISSING_BLOCKS:
            return self._lost[missing[0]]
        return LateCause.FIRST_USE
