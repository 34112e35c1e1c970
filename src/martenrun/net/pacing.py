"""Keeps large writes from holding up small ones on a slow link.

What a machine's link has taken leaves in order: an event of a stream that is written behind a long
prompt waits until the prompt has left, 0.2 s for 110 KB at 5 Mbit/s.  So large writes leave in
slices that together fill only a part of the link, and small ones pass between them.
"""

import collections
import math
from collections.abc import Callable

from martenrun.net import clock

SMALL_WRITE_BYTES = 2_048
"""Writes up to this size leave at once."""

LINK_SHARE = 0.7
"""Part of the link that large writes may fill."""

SLICE_S = 0.006
"""How long a slice takes on the link, in seconds: what a small write waits at most for it."""

LEAST_SLICE_BYTES = 4_096
"""Smallest slice: smaller ones cost more wake-ups than they save."""

LEAST_PAUSE_S = 0.001
"""Shortest pause between two slices, in seconds."""


class Pacer:
    """Deals a link out to the large writes of a process.

    Args:
        call_later: makes a call so many seconds later.
        now: the steady clock, in seconds.
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
        """Whether writes wait for their turn."""
        return bool(self._waiting)

    def set_link(self, bytes_per_s: float) -> None:
        """Take in how much the machine's link carries, in bytes a second."""
        self._rate = bytes_per_s * LINK_SHARE
        self._slice = max(LEAST_SLICE_BYTES, bytes_per_s * SLICE_S)

    def take(self, wanted: int) -> int:
        """Return how many of so many bytes may leave now; 0: wait for the turn."""
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
        """Make a call once, when more may leave; those that wait take turns."""
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
        """Let the one that has waited longest send a slice."""
        call = self._waiting.popleft()
        self._is_serving = True
        try:
            call()
        finally:
            self._is_serving = False
            if self._waiting:
                self._call_later(self._pause_s(), self._serve)
