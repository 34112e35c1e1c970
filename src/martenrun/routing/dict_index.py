"""The plain baseline of the prefix index: one dictionary entry per block.

See also: :class:`martenrun.routing.prefix_index.PrefixIndex`.
"""

import numpy

from martenrun.identity.chain import BlockHashes
from martenrun.routing.prefix_index import LeadingBlocks, RunnerIdentity, RunnerSlots
from martenrun.routing.prefix_table import SLOTS_PER_TABLE


class DictPrefixIndex:
    """Beliefs as a dictionary from block hash to a mask of runner slots; unbounded."""

    def __init__(self, maximum_runners: int = SLOTS_PER_TABLE) -> None:
        self._slots = RunnerSlots(maximum_runners)
        self._maximum_runners = maximum_runners
        self._masks: dict[int, int] = {}

    def identify(self, runner: str, identity: RunnerIdentity) -> bool:
        """See :meth:`PrefixKnowledge.identify`."""
        changed = self._slots.identify(runner, identity)
        if changed:
            self.drop(runner)
        return changed

    def add(self, runner: str, hashes: BlockHashes) -> None:
        """See :meth:`PrefixKnowledge.add`."""
        slot = self._slots.by_name.get(runner)
        if slot is None:
            return
        bit = 1 << slot
        masks = self._masks
        for block in hashes.tolist():
            masks[block] = masks.get(block, 0) | bit

    def remove(self, runner: str, hashes: BlockHashes) -> None:
        """See :meth:`PrefixKnowledge.remove`."""
        slot = self._slots.by_name.get(runner)
        if slot is None:
            return
        for block in hashes.tolist():
            self._remove_bit(block, 1 << slot)

    def drop(self, runner: str) -> None:
        """See :meth:`PrefixKnowledge.drop`."""
        slot = self._slots.by_name.get(runner)
        if slot is None:
            return
        for block in list(self._masks):
            self._remove_bit(block, 1 << slot)

    def forget(self, runner: str) -> None:
        """See :meth:`PrefixKnowledge.forget`."""
        self.drop(runner)
        self._slots.release(runner)

    def match(self, chain: BlockHashes) -> LeadingBlocks:
        """See :meth:`PrefixKnowledge.match`."""
        leading = numpy.zeros(self._maximum_runners, numpy.int64)
        still = (1 << self._maximum_runners) - 1
        for block in chain.tolist():
            still &= self._masks.get(block, 0)
            if not still:
                break
            for slot in range(self._maximum_runners):
                leading[slot] += still >> slot & 1
        return LeadingBlocks(self._slots.by_name, leading)

    def _remove_bit(self, block: int, bit: int) -> None:
        mask = self._masks.get(block, 0) & ~bit
        if mask:
            self._masks[block] = mask
        else:
            self._masks.pop(block, None)
