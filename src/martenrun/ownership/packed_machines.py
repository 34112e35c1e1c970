"""The whole machine list as one compressed field of a message.

It is packed once for each state of the list, whoever asks: after a zone is back, hundreds of
nodes ask three readers for the whole list within some seconds.

See also: :mod:`martenrun.ownership.machine_feed`.
"""

import zlib
from collections.abc import Collection

import msgspec

from martenrun.platform.machine_list import Machine

_LEVEL = 1
_MAXIMUM_BYTES = 1 << 26


class PackedListError(ValueError):
    """Bytes that are not a packed list; the whole list has to be asked for again."""


class _Row(msgspec.Struct, array_like=True):
    """A machine without the names of its fields."""

    name: str
    role: str
    address: str
    zone: str
    pool: str
    state: str


def packed(machines: Collection[Machine]) -> bytes:
    """Return a list as bytes."""
    rows = [_Row(m.name, m.role, m.address, m.zone, m.pool, m.state) for m in machines]
    return zlib.compress(msgspec.msgpack.encode(rows), _LEVEL)


def unpacked(data: bytes) -> list[Machine]:
    """Return the machines of a packed list; raises PackedListError for anything else."""
    try:
        encoded = zlib.decompressobj().decompress(data, _MAXIMUM_BYTES)
        rows = msgspec.msgpack.decode(encoded, type=list[_Row])
    except (zlib.error, msgspec.DecodeError) as error:
        raise PackedListError(f"not a machine list, ask again for all: {error}") from error
    return [Machine(r.name, r.role, r.address, r.zone, r.pool, r.state) for r in rows]
