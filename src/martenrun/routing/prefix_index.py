"""What is believed about the blocks that runners have cached.

A belief is a hint with an identity: a hash (seeded with tenant and weights version) and an
incarnation of a runner.  A wrong belief costs a recomputation, never a wrong answer.

See also: :mod:`martenrun.node.cache_events`, which applies engines' event feeds.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from typing import Protocol

import numpy
from numpy.typing import NDArray

from martenrun.identity.chain import BlockHashes
from martenrun.routing.prefix_table import SLOTS_PER_TABLE, PrefixTable, SlotMasks

_MATCH_CHUNK_BLOCKS = 128


@dataclass(frozen=True, slots=True)
class RunnerIdentity:
    """One run of a runner with one version of its weights; beliefs end with it."""

    incarnation: str
    weights_version: str


@dataclass(frozen=True, slots=True)
class LeadingBlocks:
    """How many leading blocks of one chain each runner is believed to hold.

    Attributes:
        slots: slot of each known runner by name.
        blocks: leading blocks by slot, shape (slots,).
    """

    slots: dict[str, int]
    blocks: NDArray[numpy.int64]

    def of(self, runner: str) -> int:
        """Return a runner's leading blocks, 0 if it is unknown."""
        slot = self.slots.get(runner)
        return 0 if slot is None else int(self.blocks[slot])


class PrefixKnowledge(Protocol):
    """Beliefs about cached blocks; the array index and its plain baseline offer it."""

    def identify(self, runner: str, identity: RunnerIdentity) -> bool:
        """Name the run that later calls mean; True if older beliefs were dropped."""
        ...

    def add(self, runner: str, hashes: BlockHashes) -> None:
        """Believe that an identified runner holds the blocks."""
        ...

    def remove(self, runner: str, hashes: BlockHashes) -> None:
        """No longer believe that a runner holds the blocks."""
        ...

    def drop(self, runner: str) -> None:
        """Forget every belief about a runner's blocks."""
        ...

    def forget(self, runner: str) -> None:
        """Forget the runner itself."""
        ...

    def match(self, chain: BlockHashes) -> LeadingBlocks:
        """Return every runner's believed leading blocks of a chain."""
        ...


class RunnerSlots:
    """Slot numbers of identified runners; the lowest free one is given first."""

    def __init__(self, maximum: int) -> None:
        self.by_name: dict[str, int] = {}
        self._identities: dict[str, RunnerIdentity] = {}
        self._free = list(range(maximum - 1, -1, -1))

    def identify(self, runner: str, identity: RunnerIdentity) -> bool:
        """Give a new runner a slot; return True if it was known under another identity.

        Without a free slot the runner stays unknown: nothing is believed of it.
        """
        before = self._identities.get(runner)
        if before is None:
            if not self._free:
                return False
            self.by_name[runner] = self._free.pop()
        self._identities[runner] = identity
        return before is not None and before != identity

    def release(self, runner: str) -> int | None:
        """Take back and return a runner's slot."""
        slot = self.by_name.pop(runner, None)
        if slot is not None:
            self._identities.pop(runner)
            self._free.append(slot)
        return slot


class PrefixIndex:
    """Beliefs in numpy arrays within a set memory bound.

    Args:
        memory_bytes: bound of all tables together; reached as beliefs are added.
        maximum_runners: runners that can be identified at a time.
        table_slots: runners a table; narrow tables take less memory, wide ones less time.
    """

    def __init__(
        self,
        memory_bytes: int,
        maximum_runners: int = SLOTS_PER_TABLE,
        table_slots: int = SLOTS_PER_TABLE,
    ) -> None:
        tables = -(-maximum_runners // table_slots)
        self._table_slots = table_slots
        self._tables = [PrefixTable(memory_bytes // tables, table_slots) for _ in range(tables)]
        self._slots = RunnerSlots(maximum_runners)

    @property
    def memory_bytes(self) -> int:
        """Bytes that the tables use at present."""
        return sum(table.memory_bytes for table in self._tables)

    @property
    def overwritten(self) -> int:
        """Beliefs lost for want of room since the start."""
        return sum(table.overwritten for table in self._tables)

    @property
    def runners(self) -> Iterable[str]:
        """Names of the identified runners."""
        return self._slots.by_name.keys()

    def identify(self, runner: str, identity: RunnerIdentity) -> bool:
        """See :meth:`PrefixKnowledge.identify`."""
        changed = self._slots.identify(runner, identity)
        if changed:
            self.drop(runner)
        return changed

    def add(self, runner: str, hashes: BlockHashes) -> None:
        """See :meth:`PrefixKnowledge.add`."""
        slot = self._slots.by_name.get(runner)
        if slot is not None and len(hashes):
            self._tables[slot // self._table_slots].add(hashes, slot % self._table_slots)

    def remove(self, runner: str, hashes: BlockHashes) -> None:
        """See :meth:`PrefixKnowledge.remove`."""
        slot = self._slots.by_name.get(runner)
        if slot is not None and len(hashes):
            self._tables[slot // self._table_slots].remove(hashes, slot % self._table_slots)

    def drop(self, runner: str) -> None:
        """See :meth:`PrefixKnowledge.drop`."""
        slot = self._slots.by_name.get(runner)
        if slot is not None:
            self._tables[slot // self._table_slots].drop(slot % self._table_slots)

    def forget(self, runner: str) -> None:
        """See :meth:`PrefixKnowledge.forget`."""
        self.drop(runner)
        self._slots.release(runner)

    def clear(self) -> None:
        """Forget every belief; runners stay identified."""
        for table in self._tables:
            table.clear()

    def count(self, runner: str) -> int:
        """Return how many blocks a runner is believed to hold; walks its whole table."""
        slot = self._slots.by_name.get(runner)
        if slot is None:
            return 0
        return self._tables[slot // self._table_slots].count(slot % self._table_slots)

    def held(self, hashes: BlockHashes) -> int:
        """Return how many of the blocks any runner is believed to hold."""
        masks = [table.masks(hashes) for table in self._tables]
        return int(numpy.count_nonzero(numpy.bitwise_or.reduce(masks)))

    def match(self, chain: BlockHashes) -> LeadingBlocks:
        """See :meth:`PrefixKnowledge.match`."""
        if len(self._tables) == 1:
            return LeadingBlocks(self._slots.by_name, self._leading(self._tables[0], chain))
        blocks = numpy.concatenate([self._leading(table, chain) for table in self._tables])
        return LeadingBlocks(self._slots.by_name, blocks)

    def slot_of(self, runner: str) -> int:
        """Return the runner's slot in matches, -1 if it is not identified."""
        return self._slots.by_name.get(runner, -1)

    def _leading(self, table: PrefixTable, chain: BlockHashes) -> NDArray[numpy.int64]:
        leading = numpy.zeros(self._table_slots, numpy.int64)
        still = None
        for start in range(0, len(chain), _MATCH_CHUNK_BLOCKS):
            masks = table.masks(chain[start : start + _MATCH_CHUNK_BLOCKS])
            if still is not None:
                masks[0] &= still
            held = numpy.bitwise_and.accumulate(masks)
            leading += _holders_by_slot(held)
            still = held[-1]
            if not still:
                break
        return leading


def _holders_by_slot(masks: SlotMasks) -> NDArray[numpy.int64]:
    """Return how many of the masks hold each slot's bit, shape (slots,)."""
    octets = masks.view(numpy.uint8).reshape(len(masks), -1)
    return numpy.unpackbits(octets, axis=1, bitorder="little").sum(axis=0, dtype=numpy.int64)
