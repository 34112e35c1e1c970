"""Encoding of internal messages with thrift's binary protocol.

thriftpy2 reads the IDL at import time; no generated code and no generator are needed.  The
specification of each struct is attached to the dataclass of the same name, so that the
dataclass itself is written and read (about 7 and 11 microseconds a message).
"""

import inspect
from pathlib import Path
from typing import Any

import thriftpy2
from thriftpy2.protocol.cybin import TCyBinaryProtocol
from thriftpy2.transport.memory import TCyMemoryBuffer

from martenrun.wire import messages
from martenrun.wire.messages import Envelope, Message

PROTOCOL_VERSION = 1
_IDL_PATH = Path(__file__).with_name("martenrun.thrift")
_idl = thriftpy2.load(str(_IDL_PATH), module_name="martenrun_thrift")


class CodecError(ValueError):
    """Bytes that are not a message of this protocol version."""


def message_classes() -> dict[str, type[Any]]:
    """Return every dataclass of :mod:`martenrun.wire.messages` by name."""
    members = inspect.getmembers(messages, inspect.isclass)
    return {name: cls for name, cls in members if cls.__module__ == messages.__name__}


def idl_struct(name: str) -> Any:
    """Return thriftpy2's class for the struct ``name`` of the IDL."""
    return getattr(_idl, name)


def _attach_specifications() -> dict[str, type[Any]]:
    classes = message_classes()
    replacement = {idl_struct(name): cls for name, cls in classes.items()}

    def replaced(entry: Any) -> Any:
        if isinstance(entry, tuple):
            return tuple(replaced(part) for part in entry)
        if inspect.isclass(entry):
            return replacement.get(entry, entry)
        return entry

    for name, cls in classes.items():
        original = idl_struct(name).thrift_spec
        cls.thrift_spec = {key: replaced(value) for key, value in original.items()}
    return classes


_classes = _attach_specifications()


def encode_struct(value: Any) -> bytes:
    """Encode one message dataclass."""
    buffer = TCyMemoryBuffer()
    TCyBinaryProtocol(buffer).write_struct(value)
    return bytes(buffer.getvalue())


def decode_struct(cls: type[Any], data: bytes) -> Any:
    """Decode one message dataclass; raises CodecError for malformed bytes."""
    value = cls()
    try:
        TCyBinaryProtocol(TCyMemoryBuffer(data)).read_struct(value)
    except Exception as error:
        raise CodecError(f"malformed {cls.__name__}: {error}") from error
    return value


def encode(message: Message) -> bytes:
    """Encode a message in its envelope."""
    kind = type(message).__name__
    return encode_struct(Envelope(PROTOCOL_VERSION, kind, encode_struct(message)))


def decode(data: bytes) -> Message:
    """Decode an enveloped message; raises CodecError for anything else."""
    envelope: Envelope = decode_struct(Envelope, data)
    if envelope.protocol_version != PROTOCOL_VERSION:
        raise CodecError(f"protocol version {envelope.protocol_version} is not supported")
    cls = _classes.get(envelope.kind)
    if cls is None:
        raise CodecError(f"unknown message kind {envelope.kind!r}")
    message: Message = decode_struct(cls, envelope.body)
    return message
