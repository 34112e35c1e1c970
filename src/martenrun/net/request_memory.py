"""Bounds the memory of the requests that a process receives, over all connections and ports.

While they fit, requests are received side by side.  When they exceed a budget, those that arrive
slowest are refused, so that connections that stop short of the end do not keep others out.
"""

import math
from collections.abc import Callable

FIELD_BYTES = 160
"""Memory for a header field besides its name and value, in bytes."""

REQUEST_BYTES = 4_096
"""Memory for a request besides its fields and its body, in bytes."""

SMALL_REQUEST_BYTES = 262_144
"""Requests up to this size may also use the budget that is kept for them, in bytes."""


ROOM_SHARE = 0.95
"""Share of a budget down to which room is made, so that requests are not sorted for each byte."""


class RequestMemory:
    """Counts the memory of all requests that are being received, queued or served.

    Args:
        budget: budget of requests of any size, in bytes.
        small_budget: further budget of small requests, in bytes.

    Attributes:
        size: the memory counted now, in bytes.
    """

    def __init__(self, budget: int, small_budget: int) -> None:
        self._budget = budget
        self._small_budget = small_budget
        self._waiting: set[RequestBuffer] = set()
        self._waiting_large: set[RequestBuffer] = set()
        self.size = 0

    def begin(self, refuse: Callable[["RequestBuffer"], None], now: float) -> "RequestBuffer":
        """Return the buffer of a request that a connection begins to receive.

        Args:
            refuse: called with the buffer if the request must give way before it is served.
            now: the monotonic time, in seconds.
        """
        buffer = RequestBuffer(self, refuse, now)
        self._waiting.add(buffer)
        buffer.add(REQUEST_BYTES)
        return buffer

    def end_interval(self) -> None:
        """Note how much of each request has arrived since the last call."""
        for buffer in self._waiting:
            buffer.end_interval()

    def add(self, buffer: "RequestBuffer", size: int) -> None:
        """Count more memory of a request that waits; refuse requests until the rest fits."""
        self.size += size
        if buffer.size > SMALL_REQUEST_BYTES:
            self._waiting_large.add(buffer)
        self._make_room(self._budget, self._waiting_large)
        self._make_room(self._budget + self._small_budget, self._waiting)

    def remove(self, buffer: "RequestBuffer") -> None:
        """Stop offering a request that is served or refused as one that may give way."""
        self._waiting.discard(buffer)
        self._waiting_large.discard(buffer)

    def _make_room(self, budget: int, candidates: set["RequestBuffer"]) -> None:
        """Refuse some of the candidates, the slowest first, if a budget is exceeded.

        Complete ones that are queued behind another count as slowest.
        """
        if self.size <= budget:
            return
        for buffer in sorted(candidates, key=RequestBuffer.urgency):
            if self.size <= budget * ROOM_SHARE or self._fits_alone(buffer):
                return
            buffer.refuse()

    def _fits_alone(self, buffer: "RequestBuffer") -> bool:
        """Return whether a request, however large, meets only small ones: it is served."""
        return buffer.size > self._budget and self.size - buffer.size <= self._small_budget


class RequestBuffer:
    """One request, from its first byte until its response is complete.

    Attributes:
        body: the bytes of the body received so far.
        size: the memory counted for the request, in bytes.
    """

    def __init__(
        self, memory: RequestMemory, refuse: Callable[["RequestBuffer"], None], now: float
    ) -> None:
        self._memory = memory
        self._refuse = refuse
        self._began_at = now
        self._interval_bytes: int | None = None
        self._bytes_per_interval = math.inf
        self._is_complete = False
        self._is_released = False
        self.body = bytearray()
        self.size = 0

    def urgency(self) -> tuple[float, float]:
        """Return the order in which requests give way: the slowest first, then the newest.

        A request whose first interval has not ended counts as fast.
        """
        return self._bytes_per_interval, -self._began_at

    def add(self, size: int) -> None:
        """Count received bytes, or memory that they need besides; may refuse the request."""
        if self._is_released:
            return
        self.size += size
        if self._interval_bytes is not None:
            self._interval_bytes += size
        self._memory.add(self, size)

    def end_interval(self) -> None:
        """Note how much has arrived in an interval that ends now."""
        if self._interval_bytes is not None:
            self._bytes_per_interval = self._interval_bytes
        if not self._is_complete:
            self._interval_bytes = 0

    def refuse(self) -> None:
        """Refuse the request and release its memory."""
        self._refuse(self)
        self.release()

    def finish(self) -> None:
        """Note that the request is complete: until it is served, others that arrive go first."""
        self._is_complete = True
        self._bytes_per_interval = 0.0
        self._interval_bytes = None

    def begin_service(self) -> None:
        """Note that the request is served now and does not give way any more."""
        self._memory.remove(self)

    def release(self) -> None:
        """Drop the body and stop counting the request."""
        self._is_released = True
        self._memory.remove(self)
        size, self.size = self.size, 0
        self._memory.size -= size
        self.body = bytearray()
