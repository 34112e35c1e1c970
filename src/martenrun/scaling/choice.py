"""Which runner to move where: a pure choice among the scaled pools' figures.

See also: :mod:`martenrun.scaling.pressure`, :mod:`martenrun.scaling.decider`.
"""

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from martenrun.configuration.objects import Pool
from martenrun.scaling.pressure import PoolPressure, move_cost_s
from martenrun.wire.messages import PoolDemand


@dataclass(frozen=True, slots=True)
class PoolFigures:
    """What is known of one scaled pool.

    Attributes:
        demand: sums over all zones.
        by_zone: the zones' figures.
        members: runners of the pool by the configuration, which the figures lag behind.
        arriving: runners on their way into it.
        may_get, may_give: whether its last move is long enough ago.
    """

    name: str
    pool: Pool
    demand: PoolDemand
    by_zone: Mapping[str, PoolDemand]
    pressure: PoolPressure
    members: int = 0
    arriving: int = 0
    may_get: bool = True
    may_give: bool = True

    def lacks(self, now: float) -> bool:
        """Whether the pool is under pressure and may get a runner."""
        most = self.pool.maximum_runners or 0
        has_place = max(self.members, self.demand.runners) + self.arriving < most
        return self.may_get and has_place and self.pressure.is_present(now)

    def can_give(self, now: float) -> bool:
        """Whether the pool keeps its bounds and its room without one runner."""
        limits = self.pool.scaling
        least = max(self.pool.minimum_runners or 0, self.pool.floor)
        staying = min(self.members, self.demand.runners) - 1
        if limits is None or not self.may_give or staying < least:
            return False
        return self.pressure.could_spare(self.demand, staying, limits, now)


@dataclass(frozen=True, slots=True)
class Choice:
    """A move and why it is made."""

    runner: str
    left_pool: str
    pool: str
    reason: str


def choose(
    figures: Sequence[PoolFigures], is_movable: Callable[[str], bool], now: float
) -> Choice | None:
    """Return the best move, or None if nothing is worth one.

    Args:
        figures: the scaled pools.
        is_movable: whether the system may move a runner.
    """
    lacking = [pool for pool in figures if pool.lacks(now)]
    for receiver in sorted(lacking, key=lambda pool: (-pool.pressure.pressure_s, pool.name)):
        found = _donation(receiver, figures, is_movable, now)
        if found is not None:
            return found
    return None


def _donation(
    receiver: PoolFigures,
    figures: Sequence[PoolFigures],
    is_movable: Callable[[str], bool],
    now: float,
) -> Choice | None:
    limits = receiver.pool.scaling
    assert limits is not None
    offers = []
    for donor in figures:
        if donor.name == receiver.name or not donor.can_give(now):
            continue
        busy = donor.demand.used_slots / max(1, donor.demand.slots)
        for zone, part in donor.by_zone.items():
            cost_s = move_cost_s(donor.demand, limits, part.spare_blocks)
            if receiver.pressure.pressure_s >= cost_s and is_movable(part.spare_runner):
                lack_s = _wait_s(receiver, zone) // limits.wait_s
                offers.append((-lack_s, part.spare_blocks, busy, part.spare_runner, donor))
    if not offers:
        return None
    _lack, _blocks, _busy, runner, donor = min(offers, key=lambda offer: offer[:4])
    reason = (
        f"{receiver.name} waits {receiver.demand.wait_ms / 1_000:.1f} s with "
        f"{receiver.demand.runners} runners; {donor.name} uses {donor.demand.used_slots} of "
        f"{donor.demand.slots} slots"
    )
    return Choice(runner, donor.name, receiver.name, reason)


def _wait_s(pool: PoolFigures, zone: str) -> float:
    part = pool.by_zone.get(zone)
    return 0.0 if part is None else part.wait_ms / 1_000
