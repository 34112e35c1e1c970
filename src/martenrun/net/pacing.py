"""Keeps large writes from delaying small ones on a slow link.

A link sends bytes in order: a stream event that is written after a long prompt waits until the
prompt has been sent, 0.2 s for 110 KB at 5 Mbit/s.  Large writes are therefore sent in slices that
together use only a part of the link, and small writes are sent between them.
"""

import collections
import math
from collections.abc import Callable

from martenrun.net import clock

SMALL_WRITE_BYTES = 2_048
"""Writes up to this size, in bytes, are never delayed."""

LINK_SHARE = 0.7
"""Share of the link that large writes may use."""

SLICE_S = 0.006
"""Transmission time of a slice, in seconds: the longest that a small write waits for one."""

MINIMUM_SLICE_BYTES = 4_096
"""Minimum size of a slice, in bytes; smaller ones cost more in wake-ups than they save."""

MINIMUM_PAUSE_S = 0.001
"""Minimum pause between two slices, in seconds."""


class Pacer:
    """Token bucket that shares a link between the large writes of a process.

    Args:
        call_later: schedules a call after a delay in seconds.
        now: the monotonic clock, in seconds.
    """

    def __init__(
        self,
        call_later: Callable[[float, Callable[[], None]], object],
        now: Callable[[], float] = clock.now,
    ) -> None:
        self._call_later = call_later
        self._now = now
        self._queue: collections.deque[Callable[[], None]] = collections.deque()
        self._is_serving = False
        self._bytes_per_s = math.inf
        self._slice_bytes = 0.0
        self._available_bytes = 0.0
        self._refilled_at = now()

    @property
    def has_queued_writers(self) -> bool:
        """Whether any writer is queued."""
        return bool(self._queue)

    def set_link_rate(self, bytes_per_s: float) -> None:
        """Set the capacity of the machine's link, in bytes per second."""
        self._bytes_per_s = bytes_per_s * LINK_SHARE
        self._slice_bytes = max(MINIMUM_SLICE_BYTES, bytes_per_s * SLICE_S)

    def acquire(self, size: int) -> int:
        """Return how many bytes of a write may be sent now; 0 if the writer must wait."""
        if self._bytes_per_s == math.inf:
            return size
        self._refill()
        if size > SMALL_WRITE_BYTES:
            if self._queue and not self._is_serving:
                return 0
            size = min(size, int(self._slice_bytes))
            if self._available_bytes < size:
                return 0
        self._available_bytes = max(self._available_bytes - size, -self._slice_bytes)
        return size

    def enqueue(self, call: Callable[[], None]) -> None:
        """Call back once when more may be sent; queued writers take turns."""
        self._queue.append(call)
        if len(self._queue) == 1 and not self._is_serving:
            self._call_later(self._pause_s(), self._serve_next)

    def _refill(self) -> None:
        now = self._now()
        self._available_bytes = min(
            self._slice_bytes, self._available_bytes + (now - self._refilled_at) * self._bytes_per_s
        )
        self._refilled_at = now

    def _pause_s(self) -> float:
        self._refill()
        return max(MINIMUM_PAUSE_S, (self._slice_bytes - self._available_bytes) / self._bytes_per_s)

    def _serve_next(self) -> None:
        """Let the writer that has waited longest send a slice."""
        call = self._queue.popleft()
        self._is_serving = True
        try:
            call()
        finally:
            self._is_serving = False
            if self._queue:
                self._call_later(self._pause_s(), self._serve_next)
