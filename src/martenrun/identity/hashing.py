"""Vectorised rendezvous hashing: many keys against many names in one call.

Every node must compute the same weights, so the mixing function and the hash of names are part
of the internal protocol.

See also: :mod:`martenrun.identity.rendezvous`, the scalar form for few names.
"""

import hashlib
from collections.abc import Sequence

import numpy
from numpy.typing import NDArray

HashArray = NDArray[numpy.uint64]
"""64-bit hashes, shape (names,)."""

_MULTIPLIER_1 = numpy.uint64(0xBF58476D1CE4E5B9)
_MULTIPLIER_2 = numpy.uint64(0x94D049BB133111EB)
_SHIFT_1 = numpy.uint64(30)
_SHIFT_2 = numpy.uint64(27)
_SHIFT_3 = numpy.uint64(31)


def name_hash(name: bytes) -> int:
    """Return the 64-bit hash of a name or key."""
    return int.from_bytes(hashlib.blake2b(name, digest_size=8).digest(), "little")


def name_hashes(names: Sequence[str]) -> HashArray:
    """Return the hashes of names, shape (names,)."""
    return numpy.array([name_hash(name.encode()) for name in names], dtype=numpy.uint64)


def mixed(values: HashArray) -> HashArray:
    """Return evenly spread weights of combined hashes (the finaliser of splitmix64)."""
    values = (values ^ (values >> _SHIFT_1)) * _MULTIPLIER_1
    values = (values ^ (values >> _SHIFT_2)) * _MULTIPLIER_2
    return values ^ (values >> _SHIFT_3)


def best_columns(rows: HashArray, columns: HashArray) -> NDArray[numpy.int64]:
    """Return for each row the index of the column of highest weight, shape (rows,)."""
    return mixed(rows[:, None] ^ columns[None, :]).argmax(axis=1)


def best(weights: HashArray, count: int) -> NDArray[numpy.int64]:
    """Return the indices of the ``count`` largest weights, largest first."""
    if len(weights) > count:
        found = numpy.argpartition(weights, -count)[-count:]
    else:
        found = numpy.arange(len(weights))
    return found[numpy.argsort(weights[found])[::-1]]


def top_columns(key: int, columns: HashArray, count: int) -> list[int]:
    """Return the indices of the ``count`` columns of highest weight for a key, best first."""
    return [int(index) for index in best(mixed(columns ^ numpy.uint64(key)), count)]
