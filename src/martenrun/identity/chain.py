"""Block-hash chains: the identity of a prompt's prefix.

A prompt's canonical text is cut into blocks of a fixed number of bytes.  The hash of a
block covers the hash of the block before it, and the first is seeded with the tenant and
the weights version.  Two prompts therefore share a hash only if they share the tenant, the
version and every byte up to the end of that block.  A short last block is not hashed:
engines cache whole blocks only.

Hashes are 64 bits of BLAKE2b, so that one tenant cannot construct another tenant's entry.
"""

import hashlib

import numpy
from numpy.typing import NDArray

from martenrun.constants import BLOCK_HASH_BYTES

BlockHashes = NDArray[numpy.int64]
"""Hashes of a prompt's whole blocks, shape (blocks,), in order."""


def chain_seed(tenant: str, weights_version: str) -> bytes:
    """Return the seed that separates tenants and weights versions, 8 bytes."""
    identity = f"{tenant}\0{weights_version}".encode()
    return hashlib.blake2b(identity, digest_size=BLOCK_HASH_BYTES).digest()


def hash_chain(text: bytes, seed: bytes, block_bytes: int) -> bytes:
    """Hash every whole block of ``text``.

    Args:
        text: canonical prompt text, UTF-8.
        seed: see :func:`chain_seed`.
        block_bytes: block length in bytes, positive.

    Returns:
        The hashes, 8 bytes each, concatenated in order; empty below one block.
    """
    parent = seed
    hashes: list[bytes] = []
    whole_bytes = len(text) - len(text) % block_bytes
    for start in range(0, whole_bytes, block_bytes):
        block = text[start : start + block_bytes]
        parent = hashlib.blake2b(block, digest_size=BLOCK_HASH_BYTES, key=parent).digest()
        hashes.append(parent)
    return b"".join(hashes)


def as_array(chain: bytes) -> BlockHashes:
    """View a concatenated chain as an array of shape (blocks,)."""
    return numpy.frombuffer(chain, dtype="<i8")


def block_count(chain: bytes) -> int:
    """Return the number of blocks in a concatenated chain."""
    return len(chain) // BLOCK_HASH_BYTES
