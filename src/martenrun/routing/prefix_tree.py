"""Which runs of runners were sent which chains, and when: a radix tree of block hashes.

A node of the tree stands for a run of blocks that always came together, and names who was sent
it.  A chain is matched in as many steps as it has forks, each a look-up and one comparison of
bytes, however many runners there are.  Whoever is sent a chain is noted at every node of its
path, so a holder of a node held all nodes above it at that time.

See also: :class:`martenrun.routing.beliefs.BeliefBook`.
"""

import collections
from collections.abc import Hashable, Sequence
from dataclasses import dataclass, field
from typing import Generic, TypeVar

from martenrun.constants import BLOCK_HASH_BYTES

NODE_BYTES = 640
"""Memory taken for a node beside its hashes, by measurement."""

MAXIMUM_HOLDERS = 16
"""Holders named at a node; the one sent it longest ago is forgotten first."""

_NEVER = float("-inf")

Holder = TypeVar("Holder", bound=Hashable)


@dataclass(slots=True, eq=False)
class _Node(Generic[Holder]):
    """Blocks ``hashes`` below a parent, and when each holder was last sent them."""

    hashes: bytes
    parent: "_Node[Holder] | None" = None
    holders: dict[Holder, float] = field(default_factory=dict)
    children: "dict[bytes, _Node[Holder]]" = field(default_factory=dict)
    used_at: float = 0.0


class PrefixTree(Generic[Holder]):
    """Chains by holder within a set memory bound; the least recently sent are forgotten first.

    Args:
        memory_bytes: bound of the memory that all nodes may take.
    """

    def __init__(self, memory_bytes: int) -> None:
        self._limit_bytes = memory_bytes
        self._root: _Node[Holder] = _Node(b"")
        self._order: collections.deque[tuple[float, _Node[Holder]]] = collections.deque()
        self.memory_bytes = 0
        """Memory that the nodes take, as far as it is counted."""

    def add(self, holder: Holder, chain: bytes, now: float) -> None:
        """Note that a holder is sent a chain."""
        node, offset = self._root, 0
        while offset < len(chain):
            child = node.children.get(chain[offset : offset + BLOCK_HASH_BYTES])
            if child is None:
                child = self._attach(node, chain[offset:])
            else:
                child = self._split(child, _common_bytes(child.hashes, chain, offset))
            _note(child, holder, now)
            offset += len(child.hashes)
            node = child
        self._forget_oldest()

    def remove(self, holder: Holder, chain: bytes, kept_blocks: int) -> None:
        """A holder has no more than the first blocks of a chain."""
        kept_bytes = kept_blocks * BLOCK_HASH_BYTES
        node, offset = self._root, 0
        while offset < len(chain):
            child = node.children.get(chain[offset : offset + BLOCK_HASH_BYTES])
            if child is None:
                return
            common = _common_bytes(child.hashes, chain, offset)
            if offset < kept_bytes < offset + common:
                common = kept_bytes - offset
                child = self._split(child, common)
            if offset >= kept_bytes:
                child.holders.pop(holder, None)
            if common < len(child.hashes):
                return
            offset += common
            node = child

    def leading(
        self, chain: bytes, holders: Sequence[Holder | None], since: Sequence[float]
    ) -> list[int]:
        """Return the leading blocks that each holder was sent at or after its ``since``."""
        leading = [0] * len(holders)
        present = [index for index, holder in enumerate(holders) if holder is not None]
        node, offset = self._root, 0
        while present and offset < len(chain):
            child = node.children.get(chain[offset : offset + BLOCK_HASH_BYTES])
            if child is None:
                break
            common = _common_bytes(child.hashes, chain, offset)
            offset += common
            sent = child.holders
            present = [
                index
                for index in present
                if sent.get(holders[index], _NEVER) >= since[index]  # type: ignore[arg-type]
            ]
            for index in present:
                leading[index] = offset // BLOCK_HASH_BYTES
            if common < len(child.hashes):
                break
            node = child
        return leading

    def _attach(self, parent: _Node[Holder], hashes: bytes) -> _Node[Holder]:
        child = _Node(hashes, parent)
        parent.children[hashes[:BLOCK_HASH_BYTES]] = child
        self._order.append((child.used_at, child))
        self.memory_bytes += NODE_BYTES + len(hashes)
        return child

    def _split(self, node: _Node[Holder], head_bytes: int) -> _Node[Holder]:
        """Return a node of the first bytes of a node, which goes on below it."""
        if head_bytes == len(node.hashes):
            return node
        assert node.parent is not None
        head, tail = node.hashes[:head_bytes], node.hashes[head_bytes:]
        upper = self._attach(node.parent, head)
        self.memory_bytes -= head_bytes
        upper.holders.update(node.holders)
        upper.used_at = node.used_at
        upper.children[tail[:BLOCK_HASH_BYTES]] = node
        node.hashes, node.parent = tail, upper
        return upper

    def _forget_oldest(self) -> None:
        while self.memory_bytes > self._limit_bytes and self._order:
            noted_at, node = self._order.popleft()
            if node.children or node.used_at > noted_at:
                self._order.append((node.used_at, node))
                continue
            assert node.parent is not None
            del node.parent.children[node.hashes[:BLOCK_HASH_BYTES]]
            self.memory_bytes -= NODE_BYTES + len(node.hashes)


def _note(node: _Node[Holder], holder: Holder, now: float) -> None:
    node.used_at = now
    holders = node.holders
    holders.pop(holder, None)
    holders[holder] = now
    if len(holders) > MAXIMUM_HOLDERS:
        del holders[next(iter(holders))]


def _common_bytes(hashes: bytes, chain: bytes, offset: int) -> int:
    """Return how many bytes of whole blocks are the same from an offset of the chain on."""
    if chain.startswith(hashes, offset):
        return len(hashes)
    same, differs = 0, min(len(hashes), len(chain) - offset) // BLOCK_HASH_BYTES + 1
    while differs - same > 1:
        middle = (same + differs) // 2
        if chain.startswith(hashes[: middle * BLOCK_HASH_BYTES], offset):
            same = middle
        else:
            differs = middle
    return same * BLOCK_HASH_BYTES
