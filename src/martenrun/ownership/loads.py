"""What a home node learns of runners' loads from owners' answers, with its age.

A home never polls runners it does not own.  Loads come with every grant and refusal, so the
cost is flat in the number of runners; what is old is treated as unknown.
"""

import operator
import random
from collections.abc import Callable, Iterable

from martenrun.node.runners import RunnerTable
from martenrun.ownership.candidates import PoolIndex
from martenrun.routing.policy import RunnerState

LOAD_LIFETIME_S = 3.0
"""Age after which a learned load is treated as unknown, in seconds."""

ASSUMED_SLOTS = 8
"""Slots assumed of a runner that nothing is known of, so that it gets tried."""

MAXIMUM_KNOWN_FREE = 16
"""Runners remembered as free for each pool."""


SPARE_CANDIDATES = 2
"""Runners known to be free that are considered when a prefix's own candidates are full."""


class LoadBook:
    """Learned loads of all runners and the candidates of each pool.

    Args:
        zone: this node's zone, whose runners are preferred.
    """

    def __init__(self, table: RunnerTable, zone: str, rng: random.Random) -> None:
        self._table = table
        self._zone = zone
        self._rng = rng
        self._indexes: dict[str, PoolIndex] = {}
        self._index_version = -1
        self._free: dict[str, dict[str, float]] = {}

    def learn(self, runner_name: str, free_slots: int, now: float) -> None:
        """Take in a runner's free slots; below zero counts waiting reservations."""
        runner = self._table.runners.get(runner_name)
        if runner is None:
            return
        runner.slots = max(runner.slots, free_slots + runner.in_flight)
        runner.reported_running = runner.slots - free_slots
        runner.reported_at = now
        runner.in_flight_at_report = runner.in_flight
        known = self._free.setdefault(runner.pool, {})
        known.pop(runner_name, None)
        if free_slots > 0:
            known[runner_name] = now
            if len(known) > MAXIMUM_KNOWN_FREE:
                del known[next(iter(known))]

    def candidates(
        self, pool: str, key: bytes, excluded: Iterable[str], now: float
    ) -> list[RunnerState]:
        """Return the runners to consider for a prefix key, with aged loads."""
        index = self._index(pool)
        usable = [
            runner
            for runner in index.candidates(key)
            if not runner.leaving and runner.name not in excluded
        ]
        has_free = False
        for runner in usable:
            self._age(runner, now)
            has_free = has_free or runner.free_slots > 0
        if not has_free:
            usable += self._spare(pool, [*excluded, *(runner.name for runner in usable)], now)
        return usable

    def _spare(self, pool: str, excluded: list[str], now: float) -> list[RunnerState]:
        known = self.known_free(pool, now)[-SPARE_CANDIDATES:]
        return [runner for runner in known if runner.name not in excluded]

    def known_free(self, pool: str, now: float) -> list[RunnerState]:
        """Return the runners that were told to be free a short time ago, newest last."""
        known = self._free.get(pool)
        if not known:
            return []
        for name in [name for name, at in known.items() if at <= now - LOAD_LIFETIME_S]:
            del known[name]
        runners = (self._table.runners.get(name) for name in known)
        return [
            runner
            for runner in runners
            if runner is not None and runner.free_slots > 0 and not runner.leaving
        ]

    def probe(
        self, pool: str, is_wanted: Callable[[RunnerState], bool], now: float
    ) -> RunnerState | None:
        """Return a runner that may be free: one told to be, else any of the pool."""
        known = [runner for runner in self.known_free(pool, now) if is_wanted(runner)]
        if known:
            return self._rng.choice(known)
        runners = self._index(pool).runners
        runner = self._rng.choice(runners) if runners else None
        return runner if runner is not None and is_wanted(runner) else None

    def _index(self, pool: str) -> PoolIndex:
        if self._index_version != self._table.version:
            self._index_version = self._table.version
            self._update_indexes()
        index = self._indexes.get(pool)
        if index is None:
            index = self._indexes[pool] = PoolIndex([], self._zone)
        return index

    def _update_indexes(self) -> None:
        """Make the indexes of the pools anew whose runners have changed."""
        members: dict[str, list[RunnerState]] = {}
        for runner in self._table.runners.values():
            if not runner.leaving:
                members.setdefault(runner.pool, []).append(runner)
        for pool in self._indexes.keys() - members.keys():
            del self._indexes[pool]
        for pool, runners in members.items():
            index = self._indexes.get(pool)
            if index is None or not _are_same(index.runners, runners):
                self._indexes[pool] = PoolIndex(runners, self._zone)

    def _age(self, runner: RunnerState, now: float) -> None:
        if not runner.slots:
            runner.slots = ASSUMED_SLOTS
        if runner.reported_running and runner.reported_at <= now - LOAD_LIFETIME_S:
            runner.reported_running = min(runner.reported_running, runner.in_flight)


def _are_same(first: list[RunnerState], second: list[RunnerState]) -> bool:
    """Whether two lists hold the same objects; their contents change all the time."""
    return len(first) == len(second) and all(map(operator.is_, first, second))
