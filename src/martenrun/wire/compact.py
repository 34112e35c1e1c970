"""Thrift's compact protocol for classes that carry a specification of thriftpy2.

The compiled module of Apache's thrift library writes and reads; where that module can not be
had, thriftpy2 does, with the same bytes and ten times slower.  thriftpy2's own compiled module
knows only the binary protocol, whose messages are half as long again.

See also: :mod:`martenrun.wire.codec`.
"""

import enum
from io import BytesIO
from typing import Any, Protocol

try:
    from thrift.protocol import fastbinary
except ImportError:  # No wheel for this machine, and no compiler.
    fastbinary = None

MAXIMUM_ITEMS = 1 << 20
"""Longest list that is read; the reader makes room for it before its items have come."""

_MAXIMUM_TEXT_BYTES = 1 << 26


class FieldType(enum.IntEnum):
    """Numbers of the types of a specification that need more than their number."""

    STRING = 11
    STRUCT = 12
    LIST = 15
    BINARY = 18


class StructCoder(Protocol):
    """Writes and reads the fields of one struct."""

    def write(self, cls: type[Any], fields: Any) -> bytes:
        """Return the encoded attributes of ``fields`` that are not None, as of a class."""
        ...

    def read(self, value: Any, data: bytes) -> None:
        """Set the attributes that the data names; raises some Exception if it is malformed."""
        ...


class PlainCoder:
    """Writes and reads with thriftpy2."""

    def __init__(self) -> None:
        # Imported where it is needed: with its parser it takes 2 MiB and 10 ms of a start.
        from thriftpy2.protocol.compact import TCompactProtocol
        from thriftpy2.transport.memory import TMemoryBuffer

        self._protocol = TCompactProtocol
        self._buffer = TMemoryBuffer

    def write(self, cls: type[Any], fields: Any) -> bytes:
        """See :meth:`StructCoder.write`."""
        buffer = self._buffer()
        self._protocol(buffer).write_struct(fields)
        return bytes(buffer.getvalue())

    def read(self, value: Any, data: bytes) -> None:
        """See :meth:`StructCoder.read`."""
        self._protocol(self._buffer(data)).read_struct(value)


class _Input:
    """What the compiled module reads from: a protocol and its transport in one."""

    __slots__ = ("container_length_limit", "cstringio_buf", "string_length_limit", "trans")

    def __init__(self, data: bytes) -> None:
        self.trans = self
        self.cstringio_buf = BytesIO(data)
        self.string_length_limit = _MAXIMUM_TEXT_BYTES
        self.container_length_limit = MAXIMUM_ITEMS

    def cstringio_refill(self, _partial: bytes, _needed: int) -> BytesIO:
        """Refuse to read on after the last byte."""
        raise EOFError("the struct goes on after the last byte")


class CompiledCoder:
    """Writes and reads with the compiled module of Apache's library."""

    def __init__(self) -> None:
        self._specifications: dict[type[Any], list[Any]] = {}

    def write(self, cls: type[Any], fields: Any) -> bytes:
        """See :meth:`StructCoder.write`."""
        encoded: bytes = fastbinary.encode_compact(fields, self._specification(cls))
        return encoded

    def read(self, value: Any, data: bytes) -> None:
        """See :meth:`StructCoder.read`."""
        fastbinary.decode_compact(value, _Input(data), self._specification(type(value)))

    def _specification(self, cls: type[Any]) -> list[Any]:
        """Return a class and its fields as Apache's library describes them."""
        found = self._specifications.get(cls)
        if found is None:
            fields: list[Any] = [None] * (max(cls.thrift_spec, default=0) + 1)
            for number, (kind, name, *parts) in cls.thrift_spec.items():
                described = self._type_arguments(kind, parts[0] if len(parts) > 1 else None)
                fields[number] = (number, _apache_type(kind), name, described, None)
            found = self._specifications[cls] = [cls, tuple(fields)]
        return found

    def _type_arguments(self, kind: int, part: Any) -> Any:
        if kind == FieldType.STRING:
            return "UTF8"
        if kind == FieldType.BINARY:
            return "BINARY"
        if kind == FieldType.STRUCT:
            return self._specification(part)
        if kind == FieldType.LIST:
            item, of = part if isinstance(part, tuple) else (part, None)
            return (_apache_type(item), self._type_arguments(item, of), False)
        return None


def _apache_type(kind: int) -> int:
    """Return a type's number; only thriftpy2 numbers binary fields apart from text."""
    return int(FieldType.STRING if kind == FieldType.BINARY else kind)


def best_coder() -> StructCoder:
    """Return the fastest coder that this machine has."""
    return PlainCoder() if fastbinary is None else CompiledCoder()
