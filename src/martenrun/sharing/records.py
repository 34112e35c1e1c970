"""Packed usage records: 10 bytes a tenant in a digest, 4 in its answer, which keeps the order.

Tenants are named by a 48-bit hash, so that a record has a fixed width and an aggregator needs
no names.  Two of 5,100 tenants with 13 models each share a hash with probability below 1e-5.
Rates have the upper 16 bits of a 32-bit float (bfloat16), to the nearest: 0.4% at most beside
the 10% of change that are not worth a record.
"""

import functools
import hashlib
import struct
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

SHARDS = 32
"""Groups of tenants; in each zone one node adds up a shard."""

MAXIMUM_RATE = 1e12
"""Rates beyond this are not believed, in tokens per second."""

_RECORD = struct.Struct("<IHHH")
_RATES = struct.Struct("<HH")
_FLOAT = struct.Struct("<f")
_BITS = struct.Struct("<I")
_IDENTITY_BYTES = 6
_LOW_BITS = 32
_HALF_BITS = 16
RECORD_BYTES = _RECORD.size


@dataclass(frozen=True, slots=True)
class UsageRecord:
    """A tenant's decayed usage and demand, in tokens per second.

    The usage is negative where a node takes back more than it has given.
    """

    tenant_id: int
    usage: float
    demand: float


@functools.lru_cache(maxsize=16_384)
def tenant_id(name: str) -> int:
    """Return the 48-bit hash that names a tenant in records."""
    digest = hashlib.blake2b(name.encode(), digest_size=8).digest()
    return int.from_bytes(digest[:_IDENTITY_BYTES], "little")


def shard_of(identity: int) -> int:
    """Return the shard that a tenant belongs to."""
    return identity % SHARDS


def as_told(rate: float) -> float:
    """Return a rate as it arrives."""
    return _rate(_half(rate))


def pack(records: Iterable[UsageRecord]) -> bytes:
    """Pack records for the wire."""
    return b"".join(
        _RECORD.pack(
            item.tenant_id % (1 << _LOW_BITS),
            item.tenant_id >> _LOW_BITS,
            _half(item.usage),
            _half(item.demand),
        )
        for item in records
    )


def unpack(data: bytes) -> list[UsageRecord]:
    """Unpack records; an odd tail is dropped, and so are figures that are not rates."""
    whole = len(data) - len(data) % RECORD_BYTES
    found = (
        UsageRecord(high << _LOW_BITS | low, _rate(usage), _rate(demand))
        for low, high, usage, demand in _RECORD.iter_unpack(data[:whole])
    )
    return [item for item in found if _is_rate(item.usage) and _is_rate(item.demand)]


def pack_rates(records: Iterable[UsageRecord]) -> bytes:
    """Pack the rates of records whose tenants the receiver has named, in its order."""
    return b"".join(_RATES.pack(_half(item.usage), _half(item.demand)) for item in records)


def unpack_rates(identities: Sequence[int], data: bytes) -> list[UsageRecord]:
    """Unpack the rates of tenants; none if they are not as many, or one is not a rate."""
    if len(data) != len(identities) * _RATES.size:
        return []
    found = [
        UsageRecord(identity, _rate(usage), _rate(demand))
        for identity, (usage, demand) in zip(identities, _RATES.iter_unpack(data), strict=True)
    ]
    return found if all(_is_rate(item.usage) and _is_rate(item.demand) for item in found) else []


def _half(rate: float) -> int:
    """Return the upper half of a 32-bit float, rounded to the nearest."""
    (bits,) = _BITS.unpack(_FLOAT.pack(rate))
    return int(bits + (1 << _HALF_BITS - 1)) >> _HALF_BITS


def _rate(half: int) -> float:
    (rate,) = _FLOAT.unpack(_BITS.pack(half << _HALF_BITS))
    return float(rate)


def _is_rate(value: float) -> bool:
    return -MAXIMUM_RATE < value < MAXIMUM_RATE
