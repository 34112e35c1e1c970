"""Which runners of a pool a home node considers for a prompt.

Ranking all runners of a large pool for every request would cost more than the decision may.
Every runner stands at some points of a ring of 64-bit hashes.  A home considers the runners that
follow the hash of the prompt's first block, half of them in its own zone, so that requests with
one prefix meet the same few runners.  Finding them takes two binary searches, however many
runners the pool has, and a runner that comes or goes changes the candidates of the prefixes
before its points only.
"""

from collections.abc import Sequence

import numpy

from martenrun.identity.hashing import mixed, name_hash, name_hashes
from martenrun.routing.policy import RunnerState

CANDIDATES = 8
"""Runners considered for one question before hints are added."""

POINTS = 8
"""Points of a runner on the ring; more spread prefixes more evenly and take more memory."""

_WINDOW = 3 * CANDIDATES
"""Points looked at first; runners with several of them are rare but in small pools."""


class _Ring:
    """Some of a pool's runners, named by their indexes, by the hashes of their points."""

    def __init__(self, names: Sequence[str], indexes: Sequence[int]) -> None:
        hashes = name_hashes([names[index] for index in indexes])
        numbers = mixed(numpy.arange(1, POINTS + 1, dtype=numpy.uint64))
        points = mixed(hashes[:, None] ^ numbers[None, :]).ravel()
        order = points.argsort()
        self._points = points[order]
        self._runners = len(indexes)
        at_points = numpy.repeat(numpy.array(indexes, dtype=numpy.uint32), POINTS)[order]
        self._at_points = numpy.concatenate([at_points, at_points[:_WINDOW]])

    def following(self, key: int, count: int) -> list[int]:
        """Return up to ``count`` different runners whose points follow a key."""
        start = int(self._points.searchsorted(numpy.uint64(key)))
        found = list(dict.fromkeys(self._at_points[start : start + _WINDOW].tolist()))
        if len(found) < min(count, self._runners):
            found = list(dict.fromkeys(numpy.roll(self._at_points, -start).tolist()))
        return found[:count]


class PoolIndex:
    """A pool's runners on rings, for finding a prefix's candidates.

    The rings are made when they are asked for first: a node that has just started knows every
    pool, and its first questions are of a few.

    Args:
        runners: the pool's runners.
        zone: the zone whose runners are half of the candidates.
    """

    def __init__(self, runners: Sequence[RunnerState], zone: str) -> None:
        self.runners = list(runners)
        self._zone = zone
        self._rings: tuple[_Ring, _Ring] | None = None

    def candidates(self, key: bytes) -> list[RunnerState]:
        """Return up to :data:`CANDIDATES` runners for a prefix key, near ones first."""
        if len(self.runners) <= CANDIDATES:
            return self.runners
        near, everywhere = self._rings or self._make_rings()
        place = name_hash(key)
        found = near.following(place, CANDIDATES // 2)
        found = list(dict.fromkeys(found + everywhere.following(place, CANDIDATES)))
        return [self.runners[index] for index in found[:CANDIDATES]]

    def _make_rings(self) -> tuple[_Ring, _Ring]:
        names = [runner.name for runner in self.runners]
        near = [index for index, runner in enumerate(self.runners) if runner.zone == self._zone]
        self._rings = _Ring(names, near), _Ring(names, range(len(names)))
        return self._rings
