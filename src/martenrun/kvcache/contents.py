"""What a node believes that a store keeps: chains that were exported, by first block.

A belief is a hint.  A store that has evicted a prefix answers with fewer blocks, which corrects
the belief and costs the set-up time of one transfer.
"""

import numpy

from martenrun.constants import BLOCK_HASH_BYTES
from martenrun.identity.chain import as_array

MAXIMUM_PREFIXES = 4_096
"""First blocks remembered; the one used longest ago is forgotten first."""

MAXIMUM_BRANCHES = 4
"""Chains remembered of one first block; the one used longest ago is forgotten first."""


class StoreContents:
    """Exported chains of one pool and one weights version."""

    def __init__(self) -> None:
        self._chains: dict[bytes, list[bytes]] = {}

    def kept_blocks(self, chain: bytes) -> int:
        """Return how many leading blocks of a chain the store is believed to keep."""
        branches = self._chains.get(chain[:BLOCK_HASH_BYTES], ())
        return max((shared_blocks(chain, branch) for branch in branches), default=0)

    def knows(self, chain: bytes) -> bool:
        """Return whether anything is believed of the chain's first block."""
        return chain[:BLOCK_HASH_BYTES] in self._chains

    def exported(self, chain: bytes) -> None:
        """The store keeps every block of a chain."""
        key = chain[:BLOCK_HASH_BYTES]
        branches = self._chains.pop(key, [])
        kept = [branch for branch in branches if not chain.startswith(branch)]
        self._chains[key] = [*kept, chain][-MAXIMUM_BRANCHES:]
        if len(self._chains) > MAXIMUM_PREFIXES:
            del self._chains[next(iter(self._chains))]

    def answered(self, chain: bytes, blocks: int) -> None:
        """The store has been asked for a chain and keeps so many leading blocks of it."""
        key = chain[:BLOCK_HASH_BYTES]
        known = self._chains.pop(key, [])
        most = blocks * BLOCK_HASH_BYTES
        cut = [_cut(branch, chain, most) for branch in known]
        branches = [branch for branch in dict.fromkeys(cut) if branch]
        if branches:
            self._chains[key] = branches
        if blocks > self.kept_blocks(chain):
            self.exported(chain[:most])


def shared_blocks(one: bytes, other: bytes) -> int:
    """Return how many leading blocks two chains share."""
    most = min(len(one), len(other))
    if one[:most] == other[:most]:
        return most // BLOCK_HASH_BYTES
    return int(numpy.argmax(as_array(one[:most]) != as_array(other[:most])))


def _cut(branch: bytes, chain: bytes, most: int) -> bytes:
    """Return what is left of a branch when the store keeps ``most`` bytes of a chain's hashes."""
    shared = shared_blocks(branch, chain) * BLOCK_HASH_BYTES
    return branch[:most] if shared > most else branch
