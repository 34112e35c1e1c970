"""A simulated engine: the stand-in's time model, slots, a queue and a prefix cache."""

import collections
from collections.abc import Callable
from dataclasses import dataclass, field

from martenrun.deployments.model import PoolShape
from martenrun.standins.engine.model import TimeModel

Start = Callable[[], None]


class LruBlocks:
    """Blocks in limited memory; the tail of the least recently used chain goes first."""

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._blocks: collections.OrderedDict[int, None] = collections.OrderedDict()
        self.stored: list[int] = []
        self.removed: list[int] = []

    def __contains__(self, block: int) -> bool:
        return block in self._blocks

    def leading(self, hashes: list[int]) -> int:
        """Return how many leading blocks are held."""
        for count, block in enumerate(hashes):
            if block not in self._blocks:
                return count
        return len(hashes)

    def blocks(self) -> list[int]:
        """Return all blocks held."""
        return list(self._blocks)

    def insert(self, hashes: list[int]) -> None:
        """Hold all blocks; the head of the chain counts as used last."""
        for block in reversed(hashes):
            if block not in self._blocks:
                self._blocks[block] = None
                self.stored.append(block)
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._capacity:
            self.removed.append(self._blocks.popitem(last=False)[0])


@dataclass(slots=True)
class SimulatedEngine:
    """One runner; ``slots_used`` counts granted slots, ``running`` streams in the batch.

    Attributes:
        waiting: questions whose home waits for a slot, first come first served.
        lost_events: whether a cache event was lost since the last one that arrived.
    """

    name: str
    zone: str
    pool: PoolShape
    owner: int
    times: TimeModel
    cache: LruBlocks
    incarnation: int = 1
    is_up: bool = True
    slots_used: int = 0
    running: int = 0
    lost_events: bool = False
    waiting: collections.deque[Start] = field(default_factory=collections.deque)

    @property
    def load(self) -> int:
        """Slots in use and questions that wait for one."""
        return self.slots_used + len(self.waiting)

    def take_slot(self, start: Start) -> None:
        """Call ``start`` once a slot is free."""
        if self.slots_used < self.pool.slots:
            self.slots_used += 1
            start()
        else:
            self.waiting.append(start)

    def free_slot(self) -> None:
        """Give a slot back and hand it to the next one that waits."""
        self.slots_used -= 1
        if self.waiting and self.slots_used < self.pool.slots:
            self.slots_used += 1
            self.waiting.popleft()()

    def crash(self) -> list[Start]:
        """Lose everything; return the questions that were waiting."""
        self.is_up = False
        waiting = list(self.waiting)
        self.waiting.clear()
        self.slots_used = self.running = 0
        self.cache = LruBlocks(self.pool.cache_blocks)
        return waiting

    def come_back(self) -> None:
        """Serve again, empty, as another incarnation."""
        self.incarnation += 1
        self.is_up = True
