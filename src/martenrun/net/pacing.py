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

LEAST_SLICE_BYTES = 4_096
"""Minimum size of a slice, in bytes; smaller ones cost more in wake-ups than they save."""

LEAST_PAUSE_S = 0.001
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
        self._waiting: collections.deque[Callable[[], None]] = collections.deque()
        self._is_serving = False
        self._rate = math.inf
        self._slice = 0.0
        self._budget = 0.0
        self._filled_at = now()

    @property
    def has_waiting(self) -> bool:
        """Whether any writer is queued."""
        return bool(self._waiting)

    def set_link(self, bytes_per_s: float) -> None:
        """Set the capacity of the machine's link, in bytes per second."""
        self._rate = bytes_per_s * LINK_SHARE
        self._slice = max(LEAST_SLICE_BYTES, bytes_per_s * SLICE_S)

    def take(self, wanted: int) -> int:
        """Return how many bytes of a write may be sent now; 0 if the writer must wait."""
        if self._rate == math.inf:
            return wanted
        self._fill()
        if wanted > SMALL_WRITE_BYTES:
            if self._waiting and not self._is_serving:
                return 0
            wanted = min(wanted, int(self._slice))
            if self._budget < wanted:
                return 0
        self._budget = max(self._budget - wanted, -self._slice)
        return wanted

    def wait(self, call: Callable[[], None]) -> None:
        """Call back once when more may be sent; queued writers take turns."""
        self._waiting.append(call)
        if len(self._waiting) == 1 and not self._is_serving:
            self._call_later(self._pause_s(), self._serve)

    def _fill(self) -> None:
        now = self._now()
        self._budget = min(self._slice, self._budget + (now - self._filled_at) * self._rate)
        self._filled_at = now

    def _pause_s(self) -> float:
        self._fill()
        return max(LEAST_PAUSE_S, (self._slice - self._budget) / self._rate)

    def _serve(self) -> None:
        """Let the writer that has waited longest send a slice."""
        call = self._waiting.popleft()
        self._is_serving = True
        try:
            call()
        finally:
            self._is_serving = False
            if self._waiting:
                self._call_later(self._pause_s(), self._serve)
