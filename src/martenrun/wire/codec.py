"""Encoding of internal messages with thrift's compact protocol.

The specification of each struct, read from the IDL by thriftpy2 when the IDL changes, is
attached to the dataclass of the same name, so that the dataclass itself is read.  A field that
has its default value is not written; the reader's dataclass gives it the same value, so defaults
are part of the protocol and must not change within a protocol version.

See also: :mod:`martenrun.wire.compact`, :mod:`martenrun.wire.specifications`.
"""

import dataclasses
import hashlib
import inspect
import operator
import struct
from collections.abc import Callable
from typing import Any

from martenrun.wire import messages
from martenrun.wire.compact import best_coder
from martenrun.wire.messages import Message
from martenrun.wire.specifications import SPECIFICATIONS

PROTOCOL_VERSION = 3
_HEADER = struct.Struct("!BH")


class CodecError(ValueError):
    """Bytes that are not a message of this protocol version."""


def message_classes() -> dict[str, type[Any]]:
    """Return every dataclass of :mod:`martenrun.wire.messages` by name."""
    members = inspect.getmembers(messages, inspect.isclass)
    return {name: cls for name, cls in members if cls.__module__.startswith(messages.__name__)}


def _attach_specifications() -> dict[str, type[Any]]:
    classes = message_classes()

    def resolved(part: Any) -> Any:
        if isinstance(part, tuple):
            return tuple(resolved(each) for each in part)
        return classes[part] if isinstance(part, str) else part

    for name, cls in classes.items():
        cls.thrift_spec = {
            number: (kind, field, *map(resolved, parts))
            for number, (kind, field, *parts) in SPECIFICATIONS[name].items()
        }
    return classes


_classes = _attach_specifications()


def _default_of(field: dataclasses.Field[Any]) -> Any:
    if field.default_factory is not dataclasses.MISSING:
        return field.default_factory()
    return field.default


class _Sparse:
    """A message's fields without the defaults; thriftpy2 writes no field that is None."""


def _sparse_class(cls: type[Any]) -> type[Any]:
    fields: dict[str, Any] = dict.fromkeys(field.name for field in dataclasses.fields(cls))
    return type(cls.__name__, (_Sparse,), {**fields, "thrift_spec": cls.thrift_spec})


_coder = best_coder()


class _Fields:
    """A message class's fields, prepared for encoding.

    Attributes:
        sparse: class of what is encoded.
        values: returns the values of all fields of a message.
        names: names of the fields, in the same order.
        defaults: default values of the fields, in the same order.
    """

    def __init__(self, cls: type[Any]) -> None:
        fields = dataclasses.fields(cls)
        self.sparse = _sparse_class(cls)
        self.names = [field.name for field in fields]
        self.defaults = [_default_of(field) for field in fields]
        # attrgetter returns a tuple for two names and more.
        several = len(self.names) > 1
        self.values: Callable[[Any], tuple[Any, ...]]
        self.values = operator.attrgetter(*self.names) if several else self._few_values

    def _few_values(self, message: Any) -> tuple[Any, ...]:
        return tuple(getattr(message, name) for name in self.names)


_fields = {cls: _Fields(cls) for cls in _classes.values()}


def encode_struct(value: Any) -> bytes:
    """Encode one message dataclass; fields with their default values take no bytes."""
    cls = type(value)
    prepared = _fields[cls]
    sparse = prepared.sparse()
    written = sparse.__dict__
    values = prepared.values(value)
    for name, present, default in zip(prepared.names, values, prepared.defaults, strict=True):
        if present is not default and present != default:
            written[name] = present
    return _coder.write(cls, sparse)


def decode_struct(cls: type[Any], data: bytes) -> Any:
    """Decode one message dataclass; raises CodecError for malformed bytes."""
    value = cls()
    try:
        _coder.read(value, data)
    except Exception as error:
        raise CodecError(f"malformed {cls.__name__}: {error}") from error
    return value


def _kind_number(name: str) -> int:
    """Return the 16-bit number of a message kind, the same in every build."""
    return int.from_bytes(hashlib.blake2b(name.encode(), digest_size=2).digest(), "big")


def _number_kinds() -> dict[int, type[Any]]:
    numbered = {_kind_number(name): cls for name, cls in _classes.items()}
    if len(numbered) != len(_classes):
        raise ValueError("two message kinds have the same number; rename one of them")
    return numbered


_classes_by_number = _number_kinds()
_headers = {cls: _HEADER.pack(PROTOCOL_VERSION, n) for n, cls in _classes_by_number.items()}


def encode(message: Message) -> bytes:
    """Encode a message behind a header of the protocol version and its kind's number."""
    return _headers[type(message)] + encode_struct(message)


def decode(data: bytes) -> Message:
    """Decode a message with its header; raises CodecError for anything else."""
    if len(data) < _HEADER.size:
        raise CodecError(f"{len(data)} bytes are shorter than a header")
    version, number = _HEADER.unpack_from(data)
    if version != PROTOCOL_VERSION:
        raise CodecError(f"protocol version {version} is not supported")
    cls = _classes_by_number.get(number)
    if cls is None:
        raise CodecError(f"unknown message kind {number}")
    message: Message = decode_struct(cls, data[_HEADER.size :])
    return message
