"""A thread dispatcher for waitress that starts threads when requests need them.

Waitress starts every thread before it listens.  A process that may carry hundreds of streams
would wait for hundreds of threads whenever it starts, and keep memory for all of them.

See also: :class:`martenrun.edge.server.HttpServer`.
"""

import threading
from typing import Any

from waitress.task import ThreadedTaskDispatcher

FIRST_THREADS = 4
"""Threads started at once."""


class OnDemandDispatcher(ThreadedTaskDispatcher):
    """Runs tasks on up to ``maximum_threads`` threads; a started thread is kept."""

    def __init__(self, maximum_threads: int) -> None:
        super().__init__()
        self._maximum_threads = maximum_threads
        self._adding = threading.Lock()
        self.set_thread_count(min(maximum_threads, FIRST_THREADS))

    def add_task(self, task: Any) -> None:
        """Queue a task, and start one more thread if none is free for it."""
        # Threads that serve requests add tasks too: one count at a time is made and acted on.
        with self._adding:
            with self.lock:
                self.queue.append(task)
                self.queue_cv.notify()
                running = len(self.threads) - self.stop_count
                waiting = len(self.queue) - (running - self.active_count)
            if waiting <= 0:
                return
            if running < self._maximum_threads:
                self.set_thread_count(running + 1)
            else:
                self.queue_logger.warning("%d requests wait for a thread", waiting)

    def shutdown(self, cancel_pending: bool = True, timeout: int = 5) -> bool:
        """End all threads; returns whether pending tasks were cancelled."""
        with self._adding:
            self._maximum_threads = 0
        return bool(super().shutdown(cancel_pending, timeout))
