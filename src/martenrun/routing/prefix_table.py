"""A table of block fingerprints that grows within a bound: which of 32 or 64 runners hold each.

An entry is 32 bits: a fingerprint of a block's hash, the number of a group of eight slots, and
the mask of the group's slots that hold the block; a mask of zero is a free entry.  A block has
two buckets of eight entries and goes to the one with more room.  When both are full, an entry
is overwritten: a belief is lost, which costs a hint and nothing else.  So does a collision of
fingerprints, of which :attr:`PrefixTable.false_match_rate` is a bound.

Buckets are kept in segments.  A segment that is nearly full is split by the next bit of its
entries' fingerprints: entries keep their bucket and place, so one split is a copy of one segment,
and no more than one is made for a batch.  Memory of segments not in use is never touched.

See also: :class:`martenrun.routing.prefix_index.PrefixIndex`, ``docs/design/routing.md``.
"""

import sys
from dataclasses import dataclass

import numpy
from numpy.typing import NDArray

from martenrun.identity.chain import BlockHashes

SLOTS_PER_TABLE = 32
"""Runners that a table of the narrow kind distinguishes."""

WIDE_SLOTS_PER_TABLE = 64
"""Runners that a table of the wide kind distinguishes."""

ENTRY_BYTES = 4
"""Bytes of one block held by any of eight runners that share a group."""

_GROUP_SLOTS = 8
_MASK_BITS = 8
_MASK = numpy.uint32(0xFF)
_WAY_BITS = 3
_WAYS = 1 << _WAY_BITS
_CHOICES = 2
_ENTRIES_OF_BLOCK_BITS = 4
"""Two buckets of eight entries are 16."""

_CACHE_LINE_BYTES = 64
_MAXIMUM_SPLITS = 5
_MINIMUM_SEGMENT_BYTES = 65_536
_SPLIT_ABOVE_LOAD = 0.75
_INSERT_ROUNDS = 8
_BATCH_HASHES = 8192
_DROP_ENTRIES = 65_536

_MULTIPLIER = numpy.uint64(0x9E3779B97F4A7C15)
"""Spreads hashes that differ in few bits; odd, so no two become the same."""

_BUCKET_MULTIPLIERS = numpy.array([1, 0x85EBCA6B], numpy.uint32)
"""Give a block's two buckets from the upper half of its hash."""

_HALF_BITS = numpy.uint64(32)

SlotMasks = NDArray[numpy.unsignedinteger]
"""Masks of runner slots, one a block, shape (blocks,)."""

_Positions = NDArray[numpy.int64]
_Entries = NDArray[numpy.uint32]


@dataclass(slots=True)
class _Located:
    """Where blocks may be.

    Attributes:
        fingerprints: entries' upper bits, shape (blocks,).
        buckets: numbers of both buckets, shape (blocks, 2).
    """

    fingerprints: _Entries
    buckets: _Positions


class PrefixTable:
    """Masks of runner slots by block hash.

    Args:
        memory_bytes: bound of the table's memory, reached as blocks are added.
        slots: :data:`SLOTS_PER_TABLE` or :data:`WIDE_SLOTS_PER_TABLE`.
    """

    def __init__(self, memory_bytes: int, slots: int = SLOTS_PER_TABLE) -> None:
        splits = (memory_bytes // _MINIMUM_SEGMENT_BYTES).bit_length() - 1
        self._maximum_splits = max(0, min(_MAXIMUM_SPLITS, splits))
        segments = 1 << self._maximum_splits
        self._segment_buckets = max(2, memory_bytes // (ENTRY_BYTES * _WAYS * segments))
        self._bucket_factor = numpy.uint64(self._segment_buckets)
        self._groups = slots // _GROUP_SLOTS
        self._mask_type = numpy.uint32 if slots == SLOTS_PER_TABLE else numpy.uint64
        self._place_bits = _MASK_BITS + self._groups.bit_length() - 1
        self._place_limit = numpy.uint32(1 << self._place_bits)
        self._fingerprint = ~(self._place_limit - 1)
        self._masks_by_place = self._make_masks_by_place()
        prefix_bits = max(1, self._maximum_splits)
        self._prefix_shift = numpy.uint32(32 - prefix_bits)
        self._entries = _aligned_zeros(segments * self._segment_buckets * _WAYS)
        self._buckets = self._entries.reshape(-1, _WAYS)
        self._first_buckets = numpy.zeros(1 << prefix_bits, numpy.uint64)
        self._depths: list[int] = [0]
        # Blocks that are inserted before the next look at whether a segment is nearly full.
        self._until_look = 0
        self._groups_and_bits = [
            (
                numpy.uint32(slot // _GROUP_SLOTS << _MASK_BITS),
                numpy.uint32(1 << slot % _GROUP_SLOTS),
            )
            for slot in range(slots)
        ]
        self.overwritten = 0

    @property
    def memory_bytes(self) -> int:
        """Bytes of the segments in use."""
        return len(self._depths) * self._segment_entries * ENTRY_BYTES

    @property
    def false_match_rate(self) -> float:
        """Bound of the chance that an unknown block finds an entry; one runner's is less."""
        fingerprint_bits = 32 - self._place_bits - max(self._depths)
        return _CHOICES * _WAYS / (1 << fingerprint_bits)

    def masks(self, hashes: BlockHashes) -> SlotMasks:
        """Return each block's mask of slots, 0 if unknown; shape (hashes,)."""
        located = self._locate(hashes)
        entries = self._buckets.take(located.buckets, axis=0, mode="clip")
        entries ^= located.fingerprints[:, None, None]
        # Another fingerprint leaves a value beyond the last place, whose mask is 0.
        masks = self._masks_by_place.take(entries.reshape(len(hashes), -1), mode="clip")
        return numpy.bitwise_or.reduce(masks, axis=1)

    def add(self, hashes: BlockHashes, slot: int) -> None:
        """Believe that a slot holds the blocks; repeated hashes do no harm."""
        for start in range(0, len(hashes), _BATCH_HASHES):
            if self._until_look <= 0:
                self._grow()
            located = self._locate(hashes[start : start + _BATCH_HASHES])
            group, bit = self._groups_and_bits[slot]
            wanted = located.fingerprints | group
            buckets = self._buckets.take(located.buckets, axis=0, mode="clip")
            hits = _hits(buckets, wanted)
            if not len(hits):
                self._insert(located.buckets, wanted | bit, buckets)
                continue
            self._entries[_positions(located.buckets, hits)] |= bit
            is_missing = numpy.ones(len(wanted), numpy.bool_)
            is_missing[hits >> _ENTRIES_OF_BLOCK_BITS] = False
            missing = is_missing.nonzero()[0]
            if len(missing):
                self._insert(located.buckets[missing], wanted[missing] | bit, buckets[missing])

    def remove(self, hashes: BlockHashes, slot: int) -> None:
        """No longer believe that a slot holds the blocks."""
        for start in range(0, len(hashes), _BATCH_HASHES):
            located = self._locate(hashes[start : start + _BATCH_HASHES])
            group, bit = self._groups_and_bits[slot]
            wanted = located.fingerprints | group
            hits = _hits(self._buckets.take(located.buckets, axis=0, mode="clip"), wanted)
            self._entries[_positions(located.buckets, hits)] &= ~bit

    def drop(self, slot: int) -> None:
        """Forget everything believed of a slot."""
        place, wanted, bit = self._place(slot)
        used = self._used
        for start in range(0, len(used), _DROP_ENTRIES):
            entries = used[start : start + _DROP_ENTRIES]
            entries ^= ((entries & place) == wanted) * bit

    def clear(self) -> None:
        """Forget everything."""
        self._used.fill(0)
        self._until_look = 0

    def count(self, slot: int) -> int:
        """Return how many blocks a slot is believed to hold; walks the whole table."""
        place, wanted, _bit = self._place(slot)
        return int(numpy.count_nonzero((self._used & place) == wanted))

    @property
    def _segment_entries(self) -> int:
        return self._segment_buckets * _WAYS

    @property
    def _used(self) -> _Entries:
        return self._entries[: len(self._depths) * self._segment_entries]

    def _segment(self, number: int) -> _Entries:
        return self._entries[number * self._segment_entries : (number + 1) * self._segment_entries]

    def _make_masks_by_place(self) -> SlotMasks:
        """Return the mask of all slots for the lower bits of an entry, and 0 as the last."""
        masks = [
            mask << group * _GROUP_SLOTS
            for group in range(self._groups)
            for mask in range(1 << _MASK_BITS)
        ]
        return numpy.array([*masks, 0], self._mask_type)

    def _locate(self, hashes: BlockHashes) -> _Located:
        halves = (hashes.view(numpy.uint64) * _MULTIPLIER).view(numpy.uint32).reshape(-1, 2)
        lower = halves[:, 0]
        buckets = numpy.multiply(
            halves[:, 1:] * _BUCKET_MULTIPLIERS, self._bucket_factor, dtype=numpy.uint64
        )
        buckets >>= _HALF_BITS
        buckets += self._first_buckets.take(lower >> self._prefix_shift)[:, None]
        return _Located(lower & self._fingerprint, buckets.view(numpy.int64))

    def _place(self, slot: int) -> tuple[numpy.uint32, numpy.uint32, numpy.uint32]:
        """Return the bits that tell whether an entry means a slot, their values, the slot's bit."""
        group, bit = self._groups_and_bits[slot]
        return ~self._fingerprint & ~_MASK | bit, group | bit, bit

    def _insert(self, numbers: _Positions, values: _Entries, buckets: _Entries) -> None:
        """Write unknown blocks; where two meet in one entry, one goes on to the next round.

        Args:
            numbers: numbers of the blocks' buckets, shape (blocks, 2).
            values: what to write, shape (blocks,).
            buckets: entries of the buckets, shape (blocks, 2, 8).
        """
        self._until_look -= len(values)
        for _ in range(_INSERT_ROUNDS):
            positions = self._choose(numbers, values, buckets)
            self._entries[positions] = values
            lost = (self._entries.take(positions) != values).nonzero()[0]
            if not len(lost):
                return
            numbers, values = numbers[lost], values[lost]
            buckets = self._buckets.take(numbers, axis=0, mode="clip")
        self.overwritten += len(values)

    def _choose(self, numbers: _Positions, values: _Entries, buckets: _Entries) -> _Positions:
        """Return the position of a free entry for each block, in the emptier of its buckets."""
        is_free = (buckets & _MASK) == 0
        free = numpy.add.reduce(is_free, axis=2, dtype=numpy.uint8)
        # Free entries count as much as their bucket has free ones, so the emptier bucket wins.
        scores = (is_free * free[:, :, None]).reshape(len(values), -1)
        places = scores.argmax(axis=1)
        is_full = ~numpy.logical_or.reduce(free, axis=1)
        if numpy.logical_or.reduce(is_full):
            full = is_full.nonzero()[0]
            places[full] = (values[full] >> self._place_bits) & (_WAYS - 1)
            self.overwritten += len(full)
        rows = numpy.arange(0, _CHOICES * len(values), _CHOICES)
        chosen = numbers.reshape(-1).take((places >> _WAY_BITS) + rows)
        return (chosen << _WAY_BITS) + (places & (_WAYS - 1))

    def _grow(self) -> None:
        """Split a segment if it is nearly full, and plan the next look.

        Hashes spread evenly, so the segments that were split least fill first, and alike.
        """
        depth = min(self._depths)
        if depth == self._maximum_splits:
            self._until_look = sys.maxsize
            return
        number = self._depths.index(depth)
        held = numpy.count_nonzero(self._segment(number) & _MASK)
        room = int(_SPLIT_ABOVE_LOAD * self._segment_entries) - int(held)
        if room <= 0:
            self._split(number)
        self._until_look = max(0, room) << depth

    def _split(self, number: int) -> None:
        depth = self._depths[number]
        prefixes = numpy.arange(len(self._first_buckets))
        is_upper = (prefixes >> (self._maximum_splits - 1 - depth)) & 1 == 1
        is_own = self._first_buckets == number * self._segment_buckets
        self._first_buckets[is_own & is_upper] = len(self._depths) * self._segment_buckets
        segment, upper = self._segment(number), self._segment(len(self._depths))
        moves = segment >> numpy.uint32(31 - depth) & numpy.uint32(1)
        numpy.multiply(segment, moves, out=upper)
        segment *= numpy.uint32(1) - moves
        self._depths[number] = depth + 1
        self._depths.append(depth + 1)


def _hits(buckets: _Entries, wanted: _Entries) -> _Positions:
    """Return where among the blocks' entries, shape (blocks, 2, 8), the wanted ones are."""
    return ((buckets ^ wanted[:, None, None]) <= _MASK).reshape(-1).nonzero()[0]


def _positions(buckets: _Positions, hits: _Positions) -> _Positions:
    """Return the positions in the table of hits among the blocks' entries."""
    return (buckets.reshape(-1)[hits >> _WAY_BITS] << _WAY_BITS) + (hits & (_WAYS - 1))


def _aligned_zeros(entries: int) -> _Entries:
    """Return zeros from the start of a cache line, so that no bucket lies across two."""
    line = _CACHE_LINE_BYTES // ENTRY_BYTES
    memory = numpy.zeros(entries + line, numpy.uint32)
    skipped = -memory.ctypes.data % _CACHE_LINE_BYTES // ENTRY_BYTES
    return memory[skipped : skipped + entries]
