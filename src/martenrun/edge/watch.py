"""A driver thread that notices callers who have gone.

A thread that waits for the loop or for an engine's next token cannot look at its caller.
This one thread looks at all of them, and breaks the wait of those whose caller has gone.  It
sleeps while no request is in progress.

See also: :mod:`martenrun.edge.forward`.
"""

import threading
from collections.abc import Callable
from dataclasses import dataclass

CHECK_INTERVAL_S = 0.05
"""Time between two looks at every caller, in seconds."""


@dataclass(frozen=True)
class WatchedCaller:
    """A request in progress.

    Attributes:
        is_gone: whether the caller has closed its connection.
        leave: breaks what the request waits for; called once, from the watching thread.
        cut: ends the request with a typed error, as the process stops; called once.
    """

    is_gone: Callable[[], bool]
    leave: Callable[[], None]
    cut: Callable[[], None]


class CallerWatch:
    """All requests in progress at one edge."""

    def __init__(self) -> None:
        self._watched: dict[str, WatchedCaller] = {}
        self._stopping = threading.Event()
        self._has_callers = threading.Event()
        self._thread = threading.Thread(target=self._run, name="caller-watch", daemon=True)

    def start(self) -> None:
        """Start watching."""
        self._thread.start()

    def stop(self) -> None:
        """Stop watching."""
        self._stopping.set()
        self._has_callers.set()

    def add(self, request_id: str, caller: WatchedCaller) -> None:
        """Watch a request's caller."""
        self._watched[request_id] = caller
        # After the caller is known: the thread clears it before it looks whether there is one.
        if not self._has_callers.is_set():
            self._has_callers.set()

    def remove(self, request_id: str) -> None:
        """Stop watching a request's caller."""
        self._watched.pop(request_id, None)

    def cut_all(self) -> None:
        """End every request that is left when the process stops."""
        for request_id, caller in list(self._watched.items()):
            self.remove(request_id)
            caller.cut()

    def _run(self) -> None:
        while not self._stopping.wait(CHECK_INTERVAL_S):
            self.look()
            self._wait_for_callers()

    def _wait_for_callers(self) -> None:
        """Sleep while no request is in progress."""
        self._has_callers.clear()
        if not self._watched and not self._stopping.is_set():
            self._has_callers.wait()

    def look(self) -> None:
        """Look at every caller once."""
        for request_id, caller in list(self._watched.items()):
            if caller.is_gone():
                self.remove(request_id)
                caller.leave()
