"""Which runners of a pool a home node considers for a prompt.

Ranking all runners of a large pool for every request would cost more than the decision may.
A home considers the runners of highest rendezvous weight for the prompt's first block, half of
them in its own zone, so that requests with one prefix meet the same few runners, and adds
runners that owners have told to be free.
"""

from collections.abc import Iterable

import numpy

from martenrun.identity.hashing import HashArray, best, mixed, name_hash, name_hashes
from martenrun.routing.policy import RunnerState

CANDIDATES = 8
"""Runners considered for one question before hints are added."""


REMEMBERED_KEYS = 2_048
"""Prefix keys whose candidates are remembered, for each pool."""


class PoolIndex:
    """Hashes of a pool's runners, for finding a prefix's candidates."""

    def __init__(self, runners: Iterable[RunnerState], zone: str) -> None:
        self.runners = list(runners)
        self._remembered: dict[bytes, list[RunnerState]] = {}
        self._hashes: HashArray = name_hashes([runner.name for runner in self.runners])
        self._near = numpy.array([runner.zone == zone for runner in self.runners]).nonzero()[0]

    def candidates(self, key: bytes) -> list[RunnerState]:
        """Return up to :data:`CANDIDATES` runners for a prefix key, best first."""
        if len(self.runners) <= CANDIDATES:
            return self.runners
        found = self._remembered.get(key)
        if found is None:
            found = self._remembered[key] = self._found(key)
            if len(self._remembered) > REMEMBERED_KEYS:
                del self._remembered[next(iter(self._remembered))]
        return found

    def _found(self, key: bytes) -> list[RunnerState]:
        weights = mixed(self._hashes ^ numpy.uint64(name_hash(key)))
        near = self._near[best(weights[self._near], CANDIDATES // 2)]
        everywhere = best(weights, CANDIDATES)
        found = dict.fromkeys([*near.tolist(), *everywhere.tolist()])
        return [self.runners[index] for index in list(found)[:CANDIDATES]]
