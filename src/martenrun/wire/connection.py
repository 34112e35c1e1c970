"""One authenticated internal TCP connection, driven by the transport's selector thread."""

import secrets
import socket

from martenrun.wire.codec import PROTOCOL_VERSION, decode_struct, encode_struct
from martenrun.wire.frames import (
    NONCE_BYTES,
    FrameError,
    FrameReader,
    FrameWriter,
    session_key,
)
from martenrun.wire.messages import Hello

_CONNECTOR = b"c"
_ACCEPTOR = b"a"


class Connection:
    """Buffers and handshake state of one connection.

    Attributes:
        peer: name of the other side; known from the start for the connector, and from the
            Hello for the acceptor.
        established: whether both Hellos have been exchanged.
    """

    def __init__(
        self, sock: socket.socket, own_name: str, secret: bytes, peer: str, is_connector: bool
    ) -> None:
        self.sock = sock
        self.peer = peer
        self.established = False
        self._secret = secret
        self._is_connector = is_connector
        self._nonce = secrets.token_bytes(NONCE_BYTES)
        own, other = (_CONNECTOR, _ACCEPTOR) if is_connector else (_ACCEPTOR, _CONNECTOR)
        self._writer = FrameWriter(own)
        self._reader = FrameReader(other)
        self._key = secret
        self._waiting: list[bytes] = []
        hello = Hello(PROTOCOL_VERSION, own_name, self._nonce)
        self.outgoing = bytearray(self._writer.seal(secret, encode_struct(hello)))

    def queue(self, payload: bytes) -> None:
        """Queue a payload; it is sealed once the handshake is complete."""
        if self.established:
            self.outgoing += self._writer.seal(self._key, payload)
        else:
            self._waiting.append(payload)

    def receive(self, data: bytes) -> list[bytes]:
        """Add received bytes and return the payloads completed by them."""
        self._reader.feed(data)
        payloads: list[bytes] = []
        while (payload := self._reader.next_payload(self._key)) is not None:
            if self.established:
                payloads.append(payload)
            else:
                self._complete_handshake(payload)
        return payloads

    def _complete_handshake(self, payload: bytes) -> None:
        hello: Hello = decode_struct(Hello, payload)
        if hello.protocol_version != PROTOCOL_VERSION:
            raise FrameError(f"peer speaks protocol version {hello.protocol_version}")
        if self._is_connector:
            self._key = session_key(self._secret, self._nonce, hello.nonce)
        else:
            self.peer = hello.peer
            self._key = session_key(self._secret, hello.nonce, self._nonce)
        self.established = True
        for waiting in self._waiting:
            self.outgoing += self._writer.seal(self._key, waiting)
        self._waiting.clear()
