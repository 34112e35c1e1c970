"""Rendezvous (highest random weight) hashing over named members."""

import hashlib
from collections.abc import Iterable


def weight(key: bytes, member: str) -> int:
    """Return the weight of ``member`` for ``key``, 64 bits."""
    digest = hashlib.blake2b(key, digest_size=8, key=member.encode()[:64]).digest()
    return int.from_bytes(digest, "big")


def ranked(key: bytes, members: Iterable[str]) -> list[str]:
    """Return ``members`` by falling weight for ``key``.

    Removing a member moves only the keys that ranked it first.
    """
    return sorted(members, key=lambda member: weight(key, member), reverse=True)
