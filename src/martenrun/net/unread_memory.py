"""Bounds the memory of responses that callers do not read, over all connections and ports."""

import math
from collections.abc import Callable


class UnreadMemory:
    """Counts the bytes that are buffered for callers.

    When they exceed the budget, connections whose callers read least are reset.

    Args:
        budget: the budget, in bytes.

    Attributes:
        size: the bytes buffered now.
    """

    def __init__(self, budget: int) -> None:
        self._budget = budget
        self._outputs: set[UnreadOutput] = set()
        self.size = 0

    def end_interval(self) -> None:
        """Note how much each caller has read since the last call."""
        for output in self._outputs:
            output.end_interval()

    def update(self, output: "UnreadOutput", change: int) -> None:
        """Count a change; reset connections until the rest fits."""
        self.size += change
        if output.size:
            self._outputs.add(output)
        else:
            self._outputs.discard(output)
        while self.size > self._budget and len(self._outputs) > 1:
            slowest = min(self._outputs, key=UnreadOutput.urgency)
            # A reset that changes nothing must not be repeated.
            self._outputs.discard(slowest)
            slowest.reset()


class UnreadOutput:
    """What is buffered for the caller of one connection.

    Args:
        reset: resets the connection, which drops what is buffered.

    Attributes:
        size: the bytes buffered now.
    """

    def __init__(self, memory: UnreadMemory, reset: Callable[[], None]) -> None:
        self._memory = memory
        self._reset = reset
        self._read_bytes: int | None = None
        self._bytes_per_interval = math.inf
        self.size = 0

    def urgency(self) -> tuple[float, int]:
        """Return the order in which connections are reset: the slowest first, then the fullest.

        A caller whose first interval has not ended counts as fast.
        """
        return self._bytes_per_interval, -self.size

    def set_size(self, size: int) -> None:
        """Record how much is buffered; less than before means that the caller has read."""
        change = size - self.size
        if not change:
            return
        self.size = size
        if change < 0 and self._read_bytes is not None:
            self._read_bytes -= change
        if not size:
            self._read_bytes, self._bytes_per_interval = None, math.inf
        self._memory.update(self, change)

    def end_interval(self) -> None:
        """Note how much was read in an interval that ends now."""
        if self._read_bytes is not None:
            self._bytes_per_interval = self._read_bytes
        self._read_bytes = 0

    def reset(self) -> None:
        """Reset the connection."""
        self._reset()
