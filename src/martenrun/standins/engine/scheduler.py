"""Slots of the stand-in engine's batch and the queue of requests that wait for one."""

import collections
import heapq
import itertools
import threading
from collections.abc import Callable
from dataclasses import dataclass

from martenrun.standins.engine.refusals import RefusalCode, RefusedError

_CHECK_INTERVAL_S = 0.05


@dataclass(frozen=True, slots=True)
class Load:
    """Requests in the batch and in the queue."""

    running: int = 0
    waiting: int = 0


class Batch:
    """Slots and their queue; a greater priority goes first, then the earlier request.

    Args:
        slots: requests that run at a time.
        queue_depth: requests that may wait.
    """

    def __init__(self, slots: int, queue_depth: int) -> None:
        self._slots = slots
        self._queue_depth = queue_depth
        self._changed = threading.Condition()
        self._order = itertools.count()
        self._waiting: list[tuple[int, int]] = []
        self._running = 0

    @property
    def load(self) -> Load:
        """The present load."""
        return Load(self._running, len(self._waiting))

    def enter(self, priority: int, refuse: Callable[[], RefusedError | None]) -> None:
        """Take a slot, waiting for it in the queue.

        Args:
            priority: greater goes first.
            refuse: called while waiting; an error it returns ends the wait.

        Raises:
            RefusedError: the queue is full, or what ``refuse`` returned.
        """
        with self._changed:
            if self._running >= self._slots and len(self._waiting) >= self._queue_depth:
                raise RefusedError(RefusalCode.FULL, "no free slot and no room in the queue")
            ticket = (-priority, next(self._order))
            heapq.heappush(self._waiting, ticket)
            try:
                while not self._is_turn(ticket):
                    self._check(refuse)
                    self._changed.wait(_CHECK_INTERVAL_S)
                self._check(refuse)
                self._running += 1
            finally:
                self._waiting.remove(ticket)
                heapq.heapify(self._waiting)
                self._changed.notify_all()

    def leave(self) -> None:
        """Give the slot back."""
        with self._changed:
            self._running -= 1
            self._changed.notify_all()

    def wait_empty(self, give_up: Callable[[], bool]) -> bool:
        """Wait until nothing runs; returns False if ``give_up`` returned True first."""
        with self._changed:
            while self._running:
                if give_up():
                    return False
                self._changed.wait(_CHECK_INTERVAL_S)
        return True

    def _is_turn(self, ticket: tuple[int, int]) -> bool:
        return self._running < self._slots and self._waiting[0] == ticket

    @staticmethod
    def _check(refuse: Callable[[], RefusedError | None]) -> None:
        error = refuse()
        if error is not None:
            raise error


class LoadReport:
    """Loads as an engine reports them: some time old.

    Args:
        lag_s: age of the reported load, in seconds.
    """

    def __init__(self, lag_s: float) -> None:
        self._lag_s = lag_s
        self._lock = threading.Lock()
        self._shown = Load()
        self._history: collections.deque[tuple[float, Load]] = collections.deque()

    def record(self, load: Load, now: float) -> None:
        """Note the load after a change."""
        with self._lock:
            self._history.append((now, load))

    def shown(self, now: float) -> Load:
        """Return the load of ``lag_s`` ago."""
        with self._lock:
            while self._history and self._history[0][0] <= now - self._lag_s:
                _time, self._shown = self._history.popleft()
            return self._shown
