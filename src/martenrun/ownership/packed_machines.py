"""The whole machine list as one compressed field of a message.

It is packed once for each state of the list, whoever asks: after a zone is back, hundreds of
nodes ask three readers for the whole list within some seconds.

See also: :mod:`martenrun.ownership.machine_feed`.
"""

import zlib
from collections.abc import Collection, Iterator

import msgspec

from martenrun.backends.machine_list import Machine

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


_decoder = msgspec.msgpack.Decoder(_Row)


def packed(machines: Collection[Machine]) -> bytes:
    """Return a list as bytes."""
    rows = [_Row(m.name, m.role, m.address, m.zone, m.pool, m.state) for m in machines]
    return zlib.compress(msgspec.msgpack.encode(rows), _LEVEL)


def unpacked(data: bytes) -> Iterator[Machine]:
    """Return the machines of a packed list, one at a time so that few texts are given up at once.

    Raises:
        PackedListError: for anything else, with the first machine or a later one.
    """
    try:
        encoded = zlib.decompressobj().decompress(data, _MAXIMUM_BYTES)
        for entry in msgspec.msgpack.decode(encoded, type=list[msgspec.Raw]):
            row = _decoder.decode(entry)
            yield Machine(row.name, row.role, row.address, row.zone, row.pool, row.state)
    except (zlib.error, msgspec.DecodeError) as error:
        raise PackedListError(f"not a machine list, ask again for all: {error}") from error
