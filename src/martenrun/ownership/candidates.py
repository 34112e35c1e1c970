"""Which runners of a pool a home node considers for a prompt.

Ranking all runners of a large pool for every request would cost more than the decision may.
A home considers the runners of highest rendezvous weight for the prompt's first block, half of
them in its own zone, so that requests with one prefix meet the same few runners, and adds
runners that owners have told to be free.
"""

from collections.abc import Iterable

from martenrun.ownership.hashing import HashArray, name_hash, name_hashes, top_columns
from martenrun.routing.policy import RunnerState

CANDIDATES = 12
"""Runners considered for one question before hints are added."""


class PoolIndex:
    """Hashes of a pool's runners, for finding a prefix's candidates."""

    def __init__(self, runners: Iterable[RunnerState], zone: str) -> None:
        self.runners = list(runners)
        self._hashes: HashArray = name_hashes([runner.name for runner in self.runners])
        self._near = [runner for runner in self.runners if runner.zone == zone]
        self._near_hashes: HashArray = name_hashes([runner.name for runner in self._near])

    def candidates(self, key: bytes) -> list[RunnerState]:
        """Return up to :data:`CANDIDATES` runners for a prefix key, best first."""
        if len(self.runners) <= CANDIDATES:
            return self.runners
        key_hash = name_hash(key)
        near = top_columns(key_hash, self._near_hashes, CANDIDATES // 2) if self._near else []
        found = {self._near[index].name: self._near[index] for index in near}
        for index in top_columns(key_hash, self._hashes, CANDIDATES):
            if len(found) >= CANDIDATES:
                break
            runner = self.runners[index]
            found.setdefault(runner.name, runner)
        return list(found.values())
