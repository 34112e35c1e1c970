"""The memory that other machines can make this process hold, over all connections and ports."""

import attrs

from martenrun.net.request_memory import RequestMemory
from martenrun.net.response_limits import BodyMemory
from martenrun.net.unread_memory import UnreadMemory

DEFAULT_MACHINE_BYTES = 300_000_000
"""Assumed memory of a machine whose settings do not state it, in bytes."""

MAXIMUM_BUDGET_BYTES = 33_554_432
"""Maximum of each budget, in bytes: more memory than this is not needed on larger machines."""

REQUEST_SHARE = 0.1
SMALL_REQUEST_SHARE = 0.0625
"""Shares of the machine's memory that requests of any size, and further small ones, may use."""

RESPONSE_SHARE = 0.1
UNREAD_SHARE = 0.1
"""Shares of it for responses that are received, and for those that callers have not read yet."""


@attrs.frozen
class MemoryLimits:
    """Budgets of one process, in bytes.

    Attributes:
        requests: for requests that are being received, queued or served.
        small_requests: for further requests that are small.
        responses: for large responses that are buffered until they are complete.
        unread: for responses that callers have not read yet.
    """

    requests: int
    small_requests: int
    responses: int
    unread: int

    @classmethod
    def of_machine(cls, memory_bytes: float) -> "MemoryLimits":
        """Return the budgets on a machine with this much memory."""

        def budget(share: float) -> int:
            return min(MAXIMUM_BUDGET_BYTES, int(memory_bytes * share))

        return cls(
            requests=budget(REQUEST_SHARE),
            small_requests=budget(SMALL_REQUEST_SHARE),
            responses=budget(RESPONSE_SHARE),
            unread=budget(UNREAD_SHARE),
        )


class HeldMemory:
    """Counts what all connections of a process hold, with a budget for each part.

    Attributes:
        requests: the memory of requests.
        responses: the memory of buffered responses of runners and other routers.
        unread: the memory of responses that callers have not read yet.
    """

    def __init__(self, memory_bytes: float = DEFAULT_MACHINE_BYTES) -> None:
        limits = MemoryLimits.of_machine(memory_bytes)
        self.requests = RequestMemory(limits.requests, limits.small_requests)
        self.responses = BodyMemory(limits.responses)
        self.unread = UnreadMemory(limits.unread)

    @property
    def size(self) -> int:
        """The memory counted now, in bytes."""
        return self.requests.size + self.responses.size + self.unread.size

    def end_interval(self) -> None:
        """Note the progress of each connection since the last call."""
        self.requests.end_interval()
        self.unread.end_interval()
