"""How long a pool has lacked runners, and whether it could have spared one.

Both look back over some time, so that demand that comes and goes within seconds moves nothing.
Times are the deciding node's own; a new deciding node begins anew.
"""

import collections

from martenrun.scaling.limits import ScalingLimits
from martenrun.wire.messages import PoolDemand

MAXIMUM_RATE = 4.0
"""A longer wait counts faster, up to so many times."""

PRESENT_S = 10.0
"""Pressure that has not been seen for so long moves nothing, in seconds."""

RELIEF_RATE = 2.0
"""How much faster than it grew the pressure falls while the wait is short."""

PREFILL_S_PER_BLOCK = 0.02
"""Assumed time to compute one lost cached block again, in seconds."""


class PoolPressure:
    """The account of one pool.

    Attributes:
        pressure_s: time of lasting pressure, in seconds.
    """

    def __init__(self) -> None:
        self.pressure_s = 0.0
        self._seen_since: float | None = None
        self._last_at = 0.0
        self._pressed_at = float("-inf")
        self._peaks: collections.deque[tuple[float, int]] = collections.deque()

    def observe(self, demand: PoolDemand, limits: ScalingLimits, minimum: int, now: float) -> None:
        """Take in the present figures."""
        passed_s = 0.0 if self._seen_since is None else now - self._last_at
        if self._seen_since is None:
            self._seen_since = now
        self._last_at = now
        rate = demand.wait_ms / 1_000 / limits.wait_s
        if demand.runners < minimum:
            rate = MAXIMUM_RATE
        if rate > 1.0:
            self._pressed_at = now
            self.pressure_s += passed_s * min(rate, MAXIMUM_RATE)
        else:
            self.pressure_s = max(0.0, self.pressure_s - passed_s * RELIEF_RATE)
        while self._peaks and self._peaks[-1][1] <= demand.used_slots:
            self._peaks.pop()
        self._peaks.append((now, demand.used_slots))
        while self._peaks[0][0] < now - limits.room_s:
            self._peaks.popleft()

    def lost_sight(self) -> None:
        """Nothing is known of the pool: what was seen before proves no room any more."""
        self._seen_since = None
        self._peaks.clear()

    def is_present(self, now: float) -> bool:
        """Whether the pool is under pressure now, or was a moment ago."""
        return now - self._pressed_at <= PRESENT_S

    def begin_anew(self) -> None:
        """A runner is on its way: further pressure must outlast a load again."""
        self.pressure_s = 0.0

    def could_spare(
        self, demand: PoolDemand, staying: int, limits: ScalingLimits, now: float
    ) -> bool:
        """Whether the pool would have had room with only ``staying`` runners all the time."""
        if self._seen_since is None or not demand.runners:
            return False
        is_long = now - max(self._seen_since, self._pressed_at) >= limits.room_s
        slots_left = demand.slots * staying / demand.runners
        return is_long and self._peaks[0][1] <= limits.busy_share * slots_left


def move_cost_s(demand: PoolDemand, limits: ScalingLimits, lost_blocks: int) -> float:
    """Return how long pressure must last to be worth a move, in seconds.

    The runner's slots are idle while it loads, and the pool it leaves computes its lost blocks
    again: waiting as long as that costs no more than having moved at once would have.
    """
    slots = demand.slots / demand.runners if demand.runners else 1.0
    lost_s = lost_blocks * PREFILL_S_PER_BLOCK / max(1.0, slots)
    return max(limits.pressure_s, limits.load_s) + lost_s
