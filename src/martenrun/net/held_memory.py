"""The memory that other machines can make this process hold, over all connections and ports."""

import attrs

from martenrun.net.request_memory import RequestMemory

DEFAULT_MACHINE_BYTES = 300_000_000
"""Assumed memory of a machine whose settings do not state it, in bytes."""

MAXIMUM_BUDGET_BYTES = 33_554_432
"""Maximum of each budget, in bytes: more memory than this is not needed on larger machines."""

REQUEST_SHARE = 0.1
SMALL_REQUEST_SHARE = 0.0625
"""Shares of the machine's memory that requests of any size, and further small ones, may use."""


@attrs.frozen
class MemoryLimits:
    """Budgets of one process, in bytes.

    Attributes:
        requests: for requests that are being received, queued or served.
        small_requests: for further requests that are small.
    """

    requests: int
    small_requests: int

    @classmethod
    def of_machine(cls, memory_bytes: float) -> "MemoryLimits":
        """Return the budgets on a machine with this much memory."""

        def budget(share: float) -> int:
            return min(MAXIMUM_BUDGET_BYTES, int(memory_bytes * share))

        return cls(requests=budget(REQUEST_SHARE), small_requests=budget(SMALL_REQUEST_SHARE))


class HeldMemory:
    """Counts what all connections of a process hold, with a budget for each part.

    Attributes:
        requests: the memory of requests.
    """

    def __init__(self, memory_bytes: float = DEFAULT_MACHINE_BYTES) -> None:
        limits = MemoryLimits.of_machine(memory_bytes)
        self.requests = RequestMemory(limits.requests, limits.small_requests)

    @property
    def size(self) -> int:
        """The memory counted now, in bytes."""
        return self.requests.size

    def end_interval(self) -> None:
        """Note the progress of each connection since the last call."""
        self.requests.end_interval()
