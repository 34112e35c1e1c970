"""Prefix cache of the stand-in engine: block hashes in limited memory, least recent first out."""

import collections

import numpy

from martenrun.identity.chain import as_array


class PrefixCache:
    """Blocks held by one engine incarnation.

    A chain matches as far as all its leading blocks are held.  Changes are collected as
    events for :meth:`take_events`.
    """

    def __init__(self, capacity_blocks: int) -> None:
        self._capacity = capacity_blocks
        self._blocks: collections.OrderedDict[int, None] = collections.OrderedDict()
        self._stored: list[int] = []
        self._removed: list[int] = []

    def __len__(self) -> int:
        return len(self._blocks)

    def match(self, chain: bytes) -> int:
        """Return how many leading blocks of the chain are held, and mark them as used."""
        matched = 0
        for block in as_array(chain).tolist():
            if block not in self._blocks:
                break
            self._blocks.move_to_end(block)
            matched += 1
        return matched

    def insert(self, chain: bytes) -> None:
        """Hold every block of the chain, evicting the least recently used ones."""
        for block in as_array(chain).tolist():
            if block not in self._blocks:
                self._stored.append(block)
            self._blocks[block] = None
            self._blocks.move_to_end(block)
        while len(self._blocks) > self._capacity:
            evicted, _ = self._blocks.popitem(last=False)
            self._removed.append(evicted)

    def take_events(self) -> tuple[bytes, bytes]:
        """Return and forget the stored and removed hashes since the last call."""
        stored = numpy.array(self._stored, dtype="<i8").tobytes()
        removed = numpy.array(self._removed, dtype="<i8").tobytes()
        self._stored, self._removed = [], []
        return stored, removed

    def clear(self) -> None:
        """Forget every block."""
        self._removed += self._blocks
        self._blocks.clear()
