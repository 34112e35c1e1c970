"""A table of block hashes in fixed memory: which of up to 32 or 64 runners hold each.

Every hash has two buckets of eight entries; it goes to the second if the first is
crowded and the second less so.  An
entry is a 64-bit hash and a mask of runner slots, 12 bytes for 32 slots; a mask of zero is a free
entry.  All operations take whole batches of hashes, so no Python object stands for a block.
When both buckets are full, an entry is overwritten: a belief is lost, which costs a hint and
nothing else.

See also: :class:`martenrun.routing.prefix_index.PrefixIndex`.
"""

import numpy
from numpy.typing import NDArray

from martenrun.identity.chain import BlockHashes

SLOTS_PER_TABLE = 32
"""Runners that a table of the narrow kind distinguishes."""

WIDE_SLOTS_PER_TABLE = 64
"""Runners that a table of the wide kind distinguishes."""

_HASH_BYTES = 8
_WAY_BITS = 3
_WAYS = 1 << _WAY_BITS
_INSERT_ROUNDS = 8
_CROWDED_BELOW_FREE = 4
_BATCH_HASHES = 8192
_DROP_ENTRIES = 65_536
_HALF_BITS = numpy.uint64(32)
_LOW_HALF = numpy.uint64(0xFFFFFFFF)

SlotMasks = NDArray[numpy.unsignedinteger]
"""Masks of runner slots, one a block, shape (blocks,)."""

_Positions = NDArray[numpy.int64]


class PrefixTable:
    """Masks of runner slots by block hash.

    Args:
        memory_bytes: bound of the table's memory; it is taken at once.
        slots: :data:`SLOTS_PER_TABLE` or :data:`WIDE_SLOTS_PER_TABLE`.
    """

    def __init__(self, memory_bytes: int, slots: int = SLOTS_PER_TABLE) -> None:
        mask_type = numpy.uint32 if slots == SLOTS_PER_TABLE else numpy.uint64
        entry_bytes = _HASH_BYTES + numpy.dtype(mask_type).itemsize
        buckets = max(2, memory_bytes // (entry_bytes * _WAYS))
        self._mask_type = mask_type
        self._all_slots = (1 << slots) - 1
        self._buckets = numpy.uint64(buckets)
        self._hashes = numpy.zeros((buckets, _WAYS), numpy.int64)
        self._masks = numpy.zeros((buckets, _WAYS), mask_type)
        self._flat_hashes = self._hashes.reshape(-1)
        self._flat_masks = self._masks.reshape(-1)
        self.overwritten = 0

    @property
    def memory_bytes(self) -> int:
        """Bytes that the arrays take."""
        return self._hashes.nbytes + self._masks.nbytes

    def masks(self, hashes: BlockHashes) -> SlotMasks:
        """Return each block's mask of slots, 0 if unknown; shape (hashes,).

        Few calls over both buckets at once: for the short batches of a match the calls cost
        more than the memory they touch.
        """
        halves = hashes.view(numpy.uint32).reshape(-1, 2).astype(numpy.uint64)
        buckets = (halves * self._buckets >> _HALF_BITS).view(numpy.int64)
        is_same = self._hashes.take(buckets, axis=0) == hashes[:, None, None]
        masks = self._masks.take(buckets, axis=0) * is_same
        return masks.reshape(len(hashes), -1).max(axis=1)

    def add(self, hashes: BlockHashes, slot: int) -> None:
        """Believe that a slot holds the blocks; repeated hashes do no harm."""
        bit = self._mask_type(1 << slot)
        for start in range(0, len(hashes), _BATCH_HASHES):
            batch = hashes[start : start + _BATCH_HASHES]
            positions = self._find(batch)
            self._flat_masks[positions[positions >= 0]] |= bit
            self._insert(batch[positions < 0], bit)

    def remove(self, hashes: BlockHashes, slot: int) -> None:
        """No longer believe that a slot holds the blocks."""
        others = self._mask_type(~(1 << slot) & self._all_slots)
        for start in range(0, len(hashes), _BATCH_HASHES):
            positions = self._find(hashes[start : start + _BATCH_HASHES])
            self._flat_masks[positions[positions >= 0]] &= others

    def drop(self, slot: int) -> None:
        """Forget everything believed of a slot.

        Pages without the slot are only read, so that memory never used stays untaken.
        """
        bit = self._mask_type(1 << slot)
        others = self._mask_type(~(1 << slot) & self._all_slots)
        for start in range(0, len(self._flat_masks), _DROP_ENTRIES):
            masks = self._flat_masks[start : start + _DROP_ENTRIES]
            if (masks & bit).any():
                masks &= others

    def clear(self) -> None:
        """Forget everything."""
        self._masks.fill(0)

    def count(self, slot: int) -> int:
        """Return how many blocks a slot is believed to hold; walks the whole table."""
        return int(numpy.count_nonzero(self._masks & self._mask_type(1 << slot)))

    def _first_bucket(self, hashes: BlockHashes) -> _Positions:
        high = hashes.view(numpy.uint64) >> _HALF_BITS
        return (high * self._buckets >> _HALF_BITS).view(numpy.int64)

    def _second_bucket(self, hashes: BlockHashes) -> _Positions:
        low = hashes.view(numpy.uint64) & _LOW_HALF
        return (low * self._buckets >> _HALF_BITS).view(numpy.int64)

    def _find(self, hashes: BlockHashes) -> _Positions:
        """Return the flat position of each hash's entry, -1 if it has none."""
        positions = numpy.full(len(hashes), -1)
        self._find_in(self._first_bucket(hashes), hashes, positions, None)
        missing = numpy.flatnonzero(positions < 0)
        if len(missing):
            rest = hashes[missing]
            self._find_in(self._second_bucket(rest), rest, positions, missing)
        return positions

    def _find_in(
        self,
        buckets: _Positions,
        hashes: BlockHashes,
        positions: _Positions,
        rows: _Positions | None,
    ) -> None:
        is_same = self._hashes.take(buckets, axis=0) == hashes[:, None]
        hits = numpy.flatnonzero(is_same)
        found = hits >> _WAY_BITS
        where = found if rows is None else rows[found]
        positions[where] = (buckets[found] << _WAY_BITS) + (hits & (_WAYS - 1))

    def _insert(self, hashes: BlockHashes, bit: numpy.unsignedinteger) -> None:
        """Write unknown hashes; where two meet in one entry, one goes on to the next round."""
        for _ in range(_INSERT_ROUNDS):
            if not len(hashes):
                return
            positions = self._choose_entries(hashes)
            self._flat_hashes[positions] = hashes
            self._flat_masks[positions] = bit
            hashes = hashes[self._flat_hashes[positions] != hashes]
        self.overwritten += len(hashes)

    def _choose_entries(self, hashes: BlockHashes) -> _Positions:
        buckets = self._first_bucket(hashes)
        is_free = self._masks.take(buckets, axis=0) == 0
        free = is_free.sum(axis=1)
        crowded = numpy.flatnonzero(free < _CROWDED_BELOW_FREE)
        if len(crowded):
            rest = hashes[crowded]
            second = self._second_bucket(rest)
            is_free_second = self._masks.take(second, axis=0) == 0
            free_second = is_free_second.sum(axis=1)
            moves = free_second > free[crowded]
            moved = crowded[moves]
            buckets[moved] = second[moves]
            is_free[moved] = is_free_second[moves]
            free[moved] = free_second[moves]
        ways = is_free.argmax(axis=1)
        full = numpy.flatnonzero(free == 0)
        ways[full] = hashes[full] & (_WAYS - 1)
        self.overwritten += len(full)
        return (buckets << _WAY_BITS) + ways
