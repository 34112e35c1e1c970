"""Framing and authentication of internal messages on a TCP connection or in a datagram.

A frame of the handshake is a 4-byte big-endian length, a 16-byte keyed BLAKE2b tag and the
payload.  The tag key of a connection derives from the cluster secret and both sides' nonces, and
every tag covers a frame counter, so a stranger's, repeated or reordered frame ends the connection.

A later frame is short: its length is a variable-length integer as in thrift's compact protocol,
its tag 8 bytes.  Whoever can write into an established connection forges a frame with a
probability of 2**-64, and has one try, since a wrong tag ends the connection.  The handshake and
datagrams, which a stranger may try as often as he likes, keep 16 bytes.
"""

import hashlib
import hmac
import struct
from collections.abc import Sequence
from dataclasses import dataclass

from martenrun.constants import MAXIMUM_DATAGRAM_BYTES, MAXIMUM_FRAME_BYTES

TAG_BYTES = 16
SHORT_TAG_BYTES = 8
NONCE_BYTES = 16
_MAXIMUM_SHORT_LENGTH_BYTES = 4
_CONTINUES = 0x80
_LENGTH = struct.Struct("!I")
_COUNTER = struct.Struct("!Q")
_DATAGRAM = b"d"
"""Covered by a datagram's tag, so that a Hello's frame is never taken for one."""


_WRONG_TAG = "frame tag does not match; check cluster_secret on both sides"


class FrameError(ValueError):
    """A frame that is too long or whose tag does not match."""


def tag(key: bytes, payload: bytes, tag_bytes: int = TAG_BYTES) -> bytes:
    """Return the authentication tag of ``payload``."""
    return hashlib.blake2b(payload, key=key, digest_size=tag_bytes).digest()


def _short_length(length: int) -> bytes:
    """Return a length as a variable-length integer: 7 bits a byte, the low ones first."""
    if length < _CONTINUES:
        return bytes((length,))
    encoded = bytearray()
    while length >= _CONTINUES:
        encoded.append(length % _CONTINUES | _CONTINUES)
        length //= _CONTINUES
    encoded.append(length)
    return bytes(encoded)


def frame_bytes(payload_bytes: int) -> int:
    """Return what a short frame adds to a payload of so many bytes."""
    return len(_short_length(SHORT_TAG_BYTES + payload_bytes)) + SHORT_TAG_BYTES


def session_key(secret: bytes, connector_nonce: bytes, acceptor_nonce: bytes) -> bytes:
    """Derive the key of one connection from the cluster secret."""
    nonces = connector_nonce + acceptor_nonce
    return hashlib.blake2b(nonces, key=secret, digest_size=32).digest()


def checked_datagram(payload: bytes, overhead_bytes: int) -> bytes:
    """Return ``payload`` if it fits one datagram; raises FrameError if not."""
    if len(payload) + overhead_bytes > MAXIMUM_DATAGRAM_BYTES:
        raise FrameError(f"a payload of {len(payload)} bytes does not fit one datagram")
    return payload


def seal_datagram(secret: bytes, sender: str, payload: bytes) -> bytes:
    """Return a datagram: tag, length of the sender's name, name, payload.

    Raises:
        FrameError: the payload is too long.
    """
    name = sender.encode()
    checked_datagram(payload, TAG_BYTES + 1 + len(name))
    body = bytes([len(name)]) + name + payload
    return tag(secret, _DATAGRAM + body) + body


@dataclass(frozen=True, slots=True)
class OpenedDatagram:
    """A datagram of a member, and the key that it was sealed with."""

    sender: str
    payload: bytes
    key: bytes


def open_datagram(keys: Sequence[bytes], datagram: bytes) -> OpenedDatagram:
    """Open a datagram sealed with one of the keys; raises FrameError for a stranger's.

    A recorded datagram can be repeated by a stranger, so the messages sent this way must
    stand being repeated.
    """
    body = datagram[TAG_BYTES:]
    key = _matching_key(keys, datagram[:TAG_BYTES], _DATAGRAM + body)
    if key is None:
        raise FrameError("datagram tag does not match; check cluster_secret on both sides")
    end = 1 + body[0]
    return OpenedDatagram(body[1:end].decode(), body[end:], key)


def _matching_key(keys: Sequence[bytes], present: bytes, covered: bytes) -> bytes | None:
    """Return the key under which a tag covers some bytes, None if there is none."""
    for key in keys:
        if hmac.compare_digest(present, tag(key, covered, len(present))):
            return key
    return None


@dataclass(frozen=True, slots=True)
class OpenedFrame:
    """A frame's payload, and the key that it was sealed with."""

    payload: bytes
    key: bytes


class FrameWriter:
    """Seals the frames of one direction of a connection.

    Attributes:
        is_short: whether the handshake is over and frames are short.
    """

    def __init__(self, direction: bytes) -> None:
        self.is_short = False
        self._direction = direction
        self._counter = 0

    def seal(self, key: bytes, payload: bytes) -> bytes:
        """Return the frame that carries ``payload``."""
        covered = self._direction + _COUNTER.pack(self._counter) + payload
        self._counter += 1
        if self.is_short:
            length = _short_length(SHORT_TAG_BYTES + len(payload))
            return length + tag(key, covered, SHORT_TAG_BYTES) + payload
        body = tag(key, covered) + payload
        return _LENGTH.pack(len(body)) + body


class FrameReader:
    """Cuts a byte stream into frames and checks their tags.

    Attributes:
        maximum_bytes: a longer frame is refused as soon as its length is read.
        is_short: whether the handshake is over and frames are short.
    """

    def __init__(self, direction: bytes, maximum_bytes: int = MAXIMUM_FRAME_BYTES) -> None:
        self.maximum_bytes = maximum_bytes
        self.is_short = False
        self._direction = direction
        self._counter = 0
        self._buffer = bytearray()

    def feed(self, data: bytes | memoryview) -> None:
        """Add received bytes."""
        self._buffer += data

    def payloads(self, key: bytes) -> list[bytes]:
        """Return the payloads of all whole frames, sealed with one key.

        Raises:
            FrameError: a frame is too long, or its tag does not match.
        """
        payloads = []
        tag_bytes = self._tag_bytes
        while (body := self._next_body()) is not None:
            payload = body[tag_bytes:]
            expected = tag(key, self._covered(payload), tag_bytes)
            if not hmac.compare_digest(body[:tag_bytes], expected):
                raise FrameError(_WRONG_TAG)
            payloads.append(payload)
        return payloads

    def next_payload(self, key: bytes) -> bytes | None:
        """Return the next whole payload, or None until more bytes arrive."""
        frame = self.next_frame((key,))
        return None if frame is None else frame.payload

    def next_frame(self, keys: Sequence[bytes]) -> OpenedFrame | None:
        """Return the next whole frame, sealed with one of the keys, or None until it is there.

        Raises:
            FrameError: the frame is too long, or no key's tag matches.
        """
        body = self._next_body()
        if body is None:
            return None
        tag_bytes = self._tag_bytes
        payload = body[tag_bytes:]
        key = _matching_key(keys, body[:tag_bytes], self._covered(payload))
        if key is None:
            raise FrameError(_WRONG_TAG)
        return OpenedFrame(payload, key)

    @property
    def _tag_bytes(self) -> int:
        return SHORT_TAG_BYTES if self.is_short else TAG_BYTES

    def _next_body(self) -> bytes | None:
        """Cut the next frame's tag and payload from the buffer, None if it is not whole."""
        if not self._buffer:
            return None
        found = self._short_prefix() if self.is_short else self._long_prefix()
        if found is None:
            return None
        start, length = found
        if not self._tag_bytes <= length <= self.maximum_bytes:
            raise FrameError(f"frame of {length} bytes is outside the limits")
        end = start + length
        if len(self._buffer) < end:
            return None
        body = bytes(self._buffer[start:end])
        del self._buffer[:end]
        return body

    def _long_prefix(self) -> tuple[int, int] | None:
        """Return where the next frame's tag begins and its length, None if that is not whole."""
        if len(self._buffer) < _LENGTH.size:
            return None
        return _LENGTH.size, _LENGTH.unpack_from(self._buffer)[0]

    def _short_prefix(self) -> tuple[int, int] | None:
        """See :meth:`_long_prefix`."""
        if self._buffer[0] < _CONTINUES:
            return 1, self._buffer[0]
        length = 0
        for index, octet in enumerate(self._buffer[:_MAXIMUM_SHORT_LENGTH_BYTES]):
            length |= octet % _CONTINUES << 7 * index
            if octet < _CONTINUES:
                return index + 1, length
        if len(self._buffer) >= _MAXIMUM_SHORT_LENGTH_BYTES:
            raise FrameError("a frame's length does not end")
        return None

    def _covered(self, payload: bytes) -> bytes:
        """Return what the tag of the next frame covers."""
        covered = self._direction + _COUNTER.pack(self._counter) + payload
        self._counter += 1
        return covered
