"""What the deciding node remembers of pools and moves, and its choice of the next move."""

import collections
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from martenrun.configuration.objects import Assignment, AssignmentOrigin, Pool
from martenrun.configuration.view import ConfigurationView
from martenrun.node.runners import RunnerTable
from martenrun.ownership.pool_ids import pool_id
from martenrun.scaling.choice import Choice, PoolFigures, choose
from martenrun.scaling.demand import is_free, total
from martenrun.scaling.limits import ScalingLimits
from martenrun.scaling.pressure import PoolPressure
from martenrun.wire.messages import PoolDemand

MAXIMUM_MOVES = 2
"""Runners on their way by the system's decision at a time; as many may load at a time."""

COVERAGE = 0.7
"""Least part of the scaled pools' runners that must have been reported to decide anything."""

MAXIMUM_GAP_S = 5.0
"""After a longer time without a look, as in a pause, what was seen before proves nothing."""

_NEVER = float("-inf")

Zones = Mapping[str, Mapping[int, PoolDemand]]
"""The zones' figures by pool identity."""


@dataclass(frozen=True, slots=True)
class PoolStatus:
    """What the deciding node holds of one scaled pool."""

    pool: str
    wait_s: float
    pressure_s: float


class PoolWatch:
    """Pressure, cool-downs and moves under way, on this node's own clock.

    Args:
        table: the node's runners.
    """

    def __init__(self, table: RunnerTable) -> None:
        self._table = table
        self._zones: Zones = {}
        self._demands: dict[int, PoolDemand] = {}
        self._pressures: dict[str, PoolPressure] = {}
        self._observed_at = _NEVER
        self._first_seen: dict[tuple[str, str], float] = {}
        self._got: dict[str, float] = {}
        self._gave: dict[str, float] = {}
        self._failed: dict[str, float] = {}
        self._counted = (-1, -1)
        self._counts: dict[str, int] = {}

    def observe(self, view: ConfigurationView, zones: Zones, now: float) -> None:
        """Take in the present figures and moves."""
        if now - self._observed_at > MAXIMUM_GAP_S:
            self._pressures.clear()
        self._observed_at = now
        self._zones = zones
        self._demands = total(demand for zone in zones.values() for demand in zone.values())
        scaled = dict(_scaled(view))
        for name in self._pressures.keys() - scaled.keys():
            del self._pressures[name]
        for name, pool in scaled.items():
            pressure = self._pressures.setdefault(name, PoolPressure())
            if not zones:
                pressure.lost_sight()
                continue
            limits = pool.scaling or ScalingLimits()
            least = pool.minimum_runners or 0
            pressure.observe(self._demand(name), limits, least, now)
        self._note_moves(view, now)

    def statuses(self) -> tuple[PoolStatus, ...]:
        """Return the accounts of all scaled pools."""
        return tuple(
            PoolStatus(name, self._demand(name).wait_ms / 1_000, pressure.pressure_s)
            for name, pressure in sorted(self._pressures.items())
        )

    def _demand(self, pool: str) -> PoolDemand:
        identity = pool_id(pool)
        return self._demands.get(identity) or PoolDemand(identity)

    def decided(self, choice: Choice, now: float) -> None:
        """A move has been recorded."""
        self._note(choice.left_pool, choice.pool, now)

    def choose(self, view: ConfigurationView, now: float) -> Choice | None:
        """Return the move to make now, or None."""
        late = self._late_move(view, now)
        if late is not None:
            return late
        if not any(pressure.is_present(now) for pressure in self._pressures.values()):
            return None
        if len(self._under_way(view)) >= MAXIMUM_MOVES or not self._sees_enough(view):
            return None
        return choose(self._figures(view, now), lambda runner: self._is_movable(view, runner), now)

    def _note_moves(self, view: ConfigurationView, now: float) -> None:
        present = {}
        for runner, assignment in self._under_way(view).items():
            goal = assignment.pool or self._table.listed_pool(runner)
            key = (runner, goal)
            if key not in self._first_seen:
                self._note(assignment.left_pool or "", goal, now)
            present[key] = self._first_seen.get(key, now)
        self._first_seen = present

    def _note(self, left_pool: str, pool: str, now: float) -> None:
        self._gave[left_pool] = self._got[pool] = now
        if pool in self._pressures:
            self._pressures[pool].begin_anew()

    def _under_way(self, view: ConfigurationView) -> dict[str, Assignment]:
        """Return the system's own moves that have not ended; unlisted runners never end theirs."""
        return {
            runner: assignment
            for runner, assignment in view.assignments.items()
            if not assignment.arrived
            and assignment.made_by is AssignmentOrigin.SCALING
            and self._is_staying(runner)
        }

    def _late_move(self, view: ConfigurationView, now: float) -> Choice | None:
        """Return the way back of a runner that does not arrive."""
        for runner, assignment in self._under_way(view).items():
            pool = view.pool(assignment.pool or "")
            if assignment.pool is None or pool is None:
                continue
            limits = pool.scaling or ScalingLimits()
            seen = self._first_seen.get((runner, assignment.pool), now)
            listed = self._table.listed_pool(runner)
            if now - seen >= limits.give_up_s and listed != assignment.pool:
                self._failed[assignment.pool] = now
                reason = f"did not arrive in {assignment.pool} within {limits.give_up_s:.0f} s"
                return Choice(runner, assignment.pool, listed, reason)
        return None

    def _figures(self, view: ConfigurationView, now: float) -> list[PoolFigures]:
        under_way = self._under_way(view)
        goals = [item.pool or self._table.listed_pool(name) for name, item in under_way.items()]
        members = self._members(view)
        figures = []
        for name, pool in _scaled(view):
            limits = pool.scaling or ScalingLimits()
            identity = pool_id(name)
            is_cool = now - self._gave.get(name, _NEVER) >= limits.cool_down_s
            has_failed = now - self._failed.get(name, _NEVER) < limits.give_up_s
            figures.append(
                PoolFigures(
                    name,
                    pool,
                    self._demand(name),
                    {z: known[identity] for z, known in self._zones.items() if identity in known},
                    self._pressures[name],
                    members.get(name, 0),
                    goals.count(name),
                    is_cool and not has_failed,
                    now - self._got.get(name, _NEVER) >= limits.cool_down_s,
                )
            )
        return figures

    def _members(self, view: ConfigurationView) -> dict[str, int]:
        """Count the runners of each pool that stay and are not on their way, by this table."""
        known = (view.revision, self._table.version)
        if known != self._counted:
            self._counted = known
            self._counts = collections.Counter(
                runner.pool
                for runner in self._table.runners.values()
                if not runner.leaving and not view.is_moving(runner.name)
            )
        return self._counts

    def _sees_enough(self, view: ConfigurationView) -> bool:
        """Whether enough runners are reported; across a cut each side sees its own only."""
        members = self._members(view)
        listed = sum(members.get(name, 0) for name, _pool in _scaled(view))
        reported = sum(demand.runners for demand in self._demands.values())
        return reported >= COVERAGE * listed

    def _is_movable(self, view: ConfigurationView, runner: str) -> bool:
        is_there = self._is_staying(runner) and not view.is_moving(runner)
        return is_there and is_free(view.assignments.get(runner))

    def _is_staying(self, runner: str) -> bool:
        known = self._table.runners.get(runner)
        return known is not None and not known.leaving


def _scaled(view: ConfigurationView) -> Iterator[tuple[str, Pool]]:
    return ((name, pool) for name, pool in view.pools.items() if pool.scaling is not None)
