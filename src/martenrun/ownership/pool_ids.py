"""Short identities of pools and of engines' incarnations in messages between nodes."""

import functools
import zlib

_MAXIMUM = 0x7FFFFFFF


@functools.lru_cache(maxsize=1_024)
def pool_id(name: str) -> int:
    """Return a pool's identity, a positive 31-bit hash of its name.

    Two pools of one deployment share one with a probability below one in 10 million for each
    pair; then only the weights version tells their questions apart.
    """
    return zlib.crc32(name.encode()) & _MAXIMUM or 1


def incarnation_id(incarnation: str) -> int:
    """Return a positive 31-bit hash of an engine's incarnation, 0 if it is not known.

    Two incarnations of one runner share one with a probability of 2**-31; its engine then
    refuses what was granted for the one before, not run.
    """
    return zlib.crc32(incarnation.encode()) & _MAXIMUM or 1 if incarnation else 0
