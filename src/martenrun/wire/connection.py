"""One authenticated internal TCP connection, driven by the transport's selector thread."""

import secrets
import selectors
import socket

from martenrun.constants import MAXIMUM_FRAME_BYTES
from martenrun.wire.codec import PROTOCOL_VERSION, decode_struct, encode_struct
from martenrun.wire.frames import (
    NONCE_BYTES,
    FrameError,
    FrameReader,
    FrameWriter,
    session_key,
)
from martenrun.wire.keys import ClusterKeys
from martenrun.wire.messages import Hello

_CONNECTOR = b"c"
_ACCEPTOR = b"a"
_CONFIRMATION = b""
"""The connector's first payload under the session key; it shows that it knows the secret."""

MAXIMUM_HELLO_BYTES = 1024
"""Largest frame accepted before the handshake is complete, in bytes."""


class Connection:
    """Buffers and handshake state of one connection.

    The connector's Hello is sealed with its sealing key; the acceptor, which is silent
    until then, seals its own under a key that covers the connector's nonce; the connector
    then confirms under the session key.  So neither side tells anything to a stranger, also
    not to one that repeats recorded frames.

    Attributes:
        peer: name of the other side; known from the start for the connector, and from the
            Hello for the acceptor.
        established: whether the other side has shown that it knows the secret.
        opened_at: when the connection was opened, by the transport's clock.
        heard_at: when bytes were received last.
        stuck_since: since when nothing of what is waiting could be sent; None if none waits.
        watched_events: the events of the socket that the transport's selector waits for.
    """

    def __init__(
        self, sock: socket.socket, own_name: str, keys: ClusterKeys, peer: str, is_connector: bool
    ) -> None:
        self.sock = sock
        self.peer = peer
        self.established = False
        self.opened_at = 0.0
        self.heard_at = 0.0
        self.stuck_since: float | None = None
        self.watched_events = 0
        self.outgoing = bytearray()
        self._keys = keys
        self._secret = keys.sealing
        self._is_connector = is_connector
        self._nonce = secrets.token_bytes(NONCE_BYTES)
        own, other = (_CONNECTOR, _ACCEPTOR) if is_connector else (_ACCEPTOR, _CONNECTOR)
        self._writer = FrameWriter(own)
        self._reader = FrameReader(other, MAXIMUM_HELLO_BYTES)
        self._own_name = own_name
        self._waiting: list[bytes] = []
        self._waiting_bytes = 0
        self._has_hello = False
        self._key = self._secret
        if is_connector:
            self._say_hello(self._secret)
            self._key = session_key(self._secret, self._nonce, b"")

    @property
    def is_idle(self) -> bool:
        """Whether a message can be written at once: nothing waits, the handshake is complete."""
        return self.established and not self.outgoing

    @property
    def wanted_events(self) -> int:
        """Events of the socket that the connection waits for."""
        return selectors.EVENT_READ | (selectors.EVENT_WRITE if self.outgoing else 0)

    @property
    def takes_more(self) -> bool:
        """Whether messages can be queued for one write: the socket took all that it was given."""
        return self.established and self.stuck_since is None

    @property
    def queued_bytes(self) -> int:
        """Bytes that wait to be sent."""
        return len(self.outgoing) + self._waiting_bytes

    def queue(self, payload: bytes) -> None:
        """Queue a payload; it is sealed once the handshake is complete."""
        if self.established:
            self.outgoing += self._writer.seal(self._key, payload)
        else:
            self._waiting.append(payload)
            self._waiting_bytes += len(payload)

    def receive(self, data: bytes | memoryview) -> list[bytes]:
        """Add received bytes and return the payloads completed by them.

        Raises:
            FrameError: a frame is too long or not from a member of the cluster.
            CodecError: the first frame is not a Hello.
        """
        self._reader.feed(data)
        if self.established:
            return self._reader.payloads(self._key)
        return self._shake_hands()

    def _shake_hands(self) -> list[bytes]:
        """Go on with the handshake, and return the payloads that come after it."""
        if not self._has_hello and not self._is_connector:
            self._take_connectors_hello()
        while not self.established and self._may_read:
            payload = self._reader.next_payload(self._key)
            if payload is None:
                return []
            if not self._has_hello:
                self._take_hello(payload)
            else:
                self._establish()
        return self._reader.payloads(self._key) if self.established else []

    @property
    def _may_read(self) -> bool:
        """Whether the key of the next frame is known: an acceptor learns it from the Hello."""
        return self._is_connector or self._has_hello

    def _take_connectors_hello(self) -> None:
        frame = self._reader.next_frame(self._keys.accepted)
        if frame is not None:
            self._secret = frame.key
            self._keys.note_use(frame.key)
            self._take_hello(frame.payload)

    def _say_hello(self, key: bytes) -> None:
        hello = Hello(PROTOCOL_VERSION, self._own_name, self._nonce)
        self.outgoing += self._writer.seal(key, encode_struct(hello))

    def _take_hello(self, payload: bytes) -> None:
        hello: Hello = decode_struct(Hello, payload)
        if hello.protocol_version != PROTOCOL_VERSION:
            raise FrameError(f"peer speaks protocol version {hello.protocol_version}")
        self._has_hello = True
        if self._is_connector:
            self._key = session_key(self._secret, self._nonce, hello.nonce)
            self.outgoing += self._writer.seal(self._key, _CONFIRMATION)
            self._establish()
            return
        self.peer = hello.peer
        self._say_hello(session_key(self._secret, hello.nonce, b""))
        self._key = session_key(self._secret, hello.nonce, self._nonce)

    def _establish(self) -> None:
        self.established = True
        self._writer.is_short = self._reader.is_short = True
        self._reader.maximum_bytes = MAXIMUM_FRAME_BYTES
        for waiting in self._waiting:
            self.outgoing += self._writer.seal(self._key, waiting)
        self._waiting.clear()
        self._waiting_bytes = 0
