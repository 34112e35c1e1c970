"""A virtual clock with a heap of due calls."""

import heapq
import itertools
from collections.abc import Callable


class Scheduler:
    """Runs calls in the order of their virtual times; ties run in the order they were made."""

    def __init__(self) -> None:
        self.now = 0.0
        self._order = itertools.count()
        self._due: list[tuple[float, int, Callable[[], None]]] = []

    def after(self, delay_s: float, call: Callable[[], None]) -> None:
        """Run ``call`` in ``delay_s`` seconds of virtual time."""
        heapq.heappush(self._due, (self.now + delay_s, next(self._order), call))

    def run_until(self, time_s: float) -> None:
        """Run everything due up to a virtual time and advance the clock to it."""
        while self._due and self._due[0][0] <= time_s:
            self.now, _order, call = heapq.heappop(self._due)
            call()
        self.now = time_s
