"""The planned stop of an HTTP edge: running requests end, others are refused as not run.

See also: ``docs/design/requests.md``, section "A planned stop".
"""

import threading
import time
from collections.abc import Callable
from typing import Protocol

from absl import logging

from martenrun.edge.watch import CallerWatch

POLL_S = 0.02
"""Time between two looks at a condition, in seconds."""

NOTICE_S = 1.0
"""Shortest time between the begin of a stop and the closing of idle connections, in seconds."""

CUT_LIMIT_S = 2.0
"""Time for the typed ends of requests that the drain time did not cover, in seconds."""

CLOSE_LIMIT_S = 3.0
"""Shortest time given to connections with a request on its way, in seconds."""

REPORT_INTERVAL_S = 5.0
"""Time between two log lines about what is left, in seconds."""


def wait_while(condition: Callable[[], bool], limit_s: float, hurry: threading.Event) -> bool:
    """Wait while a condition holds; returns whether it ended in time.

    Args:
        condition: what has to end.
        limit_s: longest wait, in seconds.
        hurry: ends the wait at once.
    """
    until = time.monotonic() + limit_s
    while condition():
        if time.monotonic() >= until or hurry.wait(POLL_S):
            return False
    return True


class Slots(Protocol):
    """The requests that an edge carries."""

    @property
    def taken(self) -> int:
        """Requests carried now."""

    def close(self) -> None:
        """Refuse new requests from now on."""


class Server(Protocol):
    """The HTTP server of an edge."""

    def begin_stop(self) -> None:
        """Tell callers to leave their connections."""

    def finish(self, limit_s: float, hurry: threading.Event) -> bool:
        """Answer what has come and close all connections."""


class EdgeStop:
    """The planned stop of one edge, in three steps that are called in their order.

    Args:
        slots: requests carried now.
        server: the edge's HTTP server.
        watch: ends the requests that are left.
        drain_timeout_s: time that running requests get, in seconds.
    """

    def __init__(
        self, slots: Slots, server: Server, watch: CallerWatch, drain_timeout_s: float
    ) -> None:
        self._slots = slots
        self._server = server
        self._watch = watch
        self._drain_timeout_s = drain_timeout_s
        self._began = 0.0

    def begin(self) -> None:
        """Refuse new requests, typed and not run, from now on."""
        self._began = time.monotonic()
        self._slots.close()
        self._server.begin_stop()

    def end_requests(self, hurry: threading.Event) -> None:
        """Let running requests end; those left after the drain time get a typed error."""
        if wait_while(self._is_carrying, self._left_s(), hurry):
            return
        logging.warning("%d requests are cut by the stop", self._slots.taken)
        self._watch.cut_all()
        wait_while(lambda: self._slots.taken > 0, CUT_LIMIT_S, threading.Event())

    def close_connections(self, hurry: threading.Event) -> None:
        """Answer what is on its way, send what is not sent yet, and close every connection."""
        hurry.wait(max(0.0, self._began + NOTICE_S - time.monotonic()))
        if not self._server.finish(max(CLOSE_LIMIT_S, self._left_s()), hurry):
            logging.warning("connections with an unfinished answer are closed by the stop")

    def _left_s(self) -> float:
        return self._began + self._drain_timeout_s - time.monotonic()

    def _is_carrying(self) -> bool:
        if not self._slots.taken:
            return False
        logging.log_every_n_seconds(
            logging.INFO,
            "the stop waits for %d requests, %.0f s longer at most",
            REPORT_INTERVAL_S,
            self._slots.taken,
            self._left_s(),
        )
        return True
