"""Which leading blocks of a prompt this edge has sent to engines before.

What an engine computes of them again was computed in vain once more: the measure of wasted
recomputation, as far as one edge can see it.
"""

import threading
from collections import OrderedDict

from martenrun.identity.chain import as_array

MAXIMUM_RECENT_BLOCKS = 16_384
"""Blocks remembered; the ones not sent for longest are forgotten."""


class RecentBlocks:
    """A bounded memory of block hashes; thread-safe."""

    def __init__(self, maximum: int = MAXIMUM_RECENT_BLOCKS) -> None:
        self._maximum = maximum
        self._seen: OrderedDict[int, None] = OrderedDict()
        self._lock = threading.Lock()

    def leading(self, chain: bytes) -> int:
        """Return how many leading blocks were sent before, and remember all of them."""
        blocks = as_array(chain).tolist()
        with self._lock:
            known = next(
                (index for index, block in enumerate(blocks) if block not in self._seen),
                len(blocks),
            )
            for block in blocks:
                self._seen[block] = None
                self._seen.move_to_end(block)
            while len(self._seen) > self._maximum:
                self._seen.popitem(last=False)
        return known
