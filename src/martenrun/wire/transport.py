"""Transport of internal messages over TCP and UDP, served by one thread.

The transport is a driver: it holds no decisions.  One thread serves its sockets: a node's loop,
which calls :meth:`PeerTransport.poll`, or a thread of its own.  Received messages are handed to
a callback on that thread, and sends may come from any thread.  What the serving thread sends is
written when it polls next, so that messages to one peer share a write.  Another thread writes
a message for an open connection with nothing waiting itself, without blocking, and leaves
everything else to the serving thread.  Delivery is at most once and unacknowledged; the decision
logic repeats what must arrive.
"""

import collections
import contextlib
import selectors
import socket
import threading
import time
from collections.abc import Callable
from typing import Any

from absl import logging

from martenrun.wire.addresses import parse_address
from martenrun.wire.codec import CodecError, decode, encode
from martenrun.wire.connection import Connection
from martenrun.wire.datagrams import DatagramSocket
from martenrun.wire.frames import FrameError
from martenrun.wire.keys import ClusterKeys
from martenrun.wire.limits import (
    HANDSHAKE_TIMEOUT_S,
    MAXIMUM_OUTGOING_BYTES,
    MAXIMUM_TOTAL_OUTGOING_BYTES,
    MAXIMUM_UNESTABLISHED,
    STUCK_TIMEOUT_S,
    SUPERSEDED_IDLE_S,
    SWEEP_INTERVAL_S,
    Backoffs,
    connecting_socket,
    tune,
)
from martenrun.wire.messages import Message

_READ_BYTES = 256 * 1024

Receive = Callable[[str, Message], Any]
"""Called with the peer's name and the message, on the thread that serves the sockets."""

Told = Callable[[str], Any]
"""Called on that thread with a peer whose connection ended or could not be opened."""


class PeerTransport:
    """Sends and receives internal messages between named peers.

    Nodes are named by their ``IP:port`` and can be connected to; agents have other names and
    are reached only over the connection they opened.

    Attributes:
        sent_stream_bytes: bytes given to TCP so far, handshakes and frames included.
    """

    def __init__(
        self, name: str, keys: ClusterKeys, receive: Receive, disconnected: Told = lambda _: None
    ) -> None:
        self.name = name
        self.sent_stream_bytes = 0
        self._keys = keys
        self._receive = receive
        self._disconnected = disconnected
        self._selector = selectors.DefaultSelector()
        # Held while connections are looked up, sealed for, written to or closed.
        self._lock = threading.RLock()
        self._read_buffer = bytearray(_READ_BYTES)
        self._commands: collections.deque[tuple[str, bytes]] = collections.deque()
        self._unfinished: dict[Connection, None] = {}
        self._connections: dict[str, Connection] = {}
        self._open: dict[Connection, None] = {}
        self._unestablished: dict[Connection, None] = {}
        self._stuck: dict[Connection, None] = {}
        self._backoffs = Backoffs()
        self._next_sweep = 0.0
        self._listener: socket.socket | None = None
        self._datagrams: DatagramSocket | None = None
        self._is_woken = False
        self._serving_thread = 0
        self._wake_reader, self._wake_writer = socket.socketpair()
        self._wake_reader.setblocking(False)
        self._selector.register(self._wake_reader, selectors.EVENT_READ, self._drain_wake)
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, name="peer-transport", daemon=True)

    @property
    def sent_datagram_bytes(self) -> int:
        """Bytes given to UDP so far."""
        return 0 if self._datagrams is None else self._datagrams.sent_bytes

    def listen(self, address: str) -> None:
        """Accept connections and datagrams on ``IP:port``; call it before :meth:`start`."""
        datagrams = DatagramSocket(address, self.name, self._keys, self._receive)
        self._datagrams = datagrams
        self._selector.register(datagrams.sock, selectors.EVENT_READ, datagrams.read)
        listener = socket.create_server(parse_address(address), backlog=512)
        listener.setblocking(False)
        self._listener = listener
        self._selector.register(listener, selectors.EVENT_READ, lambda: self._accept(listener))

    def start(self) -> None:
        """Start a thread that serves the sockets, where no loop polls."""
        self._thread.start()

    def stop(self) -> None:
        """Stop that thread and close every connection."""
        self._stopping.set()
        self.wake()
        self._thread.join(timeout=5)

    def poll(self, timeout_s: float) -> None:
        """Write what waits, then wait for sockets and serve them; always on the same thread."""
        self._serving_thread = threading.get_ident()
        if self._commands or self._unfinished or time.monotonic() >= self._next_sweep:
            with self._lock:
                self._send_queued()
                self._sweep()
        for key, _events in self._selector.select(min(timeout_s, SWEEP_INTERVAL_S)):
            self._dispatch(key.data)

    def close(self) -> None:
        """Write what the sockets take, and close them; nothing polls any more."""
        with self._lock:
            self._send_queued()
            for connection in list(self._open):
                connection.sock.close()
            self._connections.clear()
        for sock in (self._listener, self._wake_reader, self._wake_writer):
            if sock is not None:
                sock.close()
        if self._datagrams is not None:
            self._datagrams.sock.close()
        self._selector.close()

    def send(self, peer: str, message: Message) -> None:
        """Send a message to a peer, or queue it; it is dropped if the peer cannot be reached."""
        payload = encode(message)
        if threading.get_ident() == self._serving_thread:
            with self._lock:
                self._write_later(peer, payload)
            return
        with self._lock:
            if self._write_now(peer, payload):
                return
        self.wake()

    def send_datagram(self, peer: str, message: Message) -> None:
        """Send a message to a node in one datagram, or drop it."""
        if self._datagrams is not None:
            self._datagrams.send(peer, message)

    def _write_later(self, peer: str, payload: bytes) -> None:
        """Queue a message of the serving thread; the next poll writes it with others."""
        connection = self._connections.get(peer)
        if connection is None or not connection.takes_more or self._commands:
            self._commands.append((peer, payload))
            return
        connection.queue(payload)
        self._unfinished[connection] = None

    def _write_now(self, peer: str, payload: bytes) -> bool:
        """Write a message if it need not wait, else queue it; returns whether all is written."""
        connection = self._connections.get(peer)
        # A queued message may be for the same peer and goes first.
        if connection is None or not connection.is_idle or self._commands:
            self._commands.append((peer, payload))
            return False
        connection.queue(payload)
        # An error is met again by the serving thread, which then closes the connection.
        with contextlib.suppress(OSError):
            self._write(connection)
        if connection.outgoing:
            self._unfinished[connection] = None
        return not connection.outgoing

    def _write(self, connection: Connection) -> None:
        """Write what the socket takes; raises BlockingIOError once it takes no more."""
        while connection.outgoing:
            sent = connection.sock.send(connection.outgoing)
            del connection.outgoing[:sent]
            self.sent_stream_bytes += sent
            connection.stuck_since = None

    def wake(self) -> None:
        """End the serving thread's wait, from any thread; it is woken once for many."""
        if not self._is_woken:
            self._is_woken = True
            with contextlib.suppress(OSError):
                self._wake_writer.send(b"\0")

    def _drain_wake(self) -> None:
        # Before the queue is read: what is queued from now on wakes the thread again.
        self._is_woken = False
        with contextlib.suppress(BlockingIOError):
            self._wake_reader.recv(4096)

    def _run(self) -> None:
        while not self._stopping.is_set():
            self.poll(SWEEP_INTERVAL_S)
        self.close()

    def _dispatch(self, target: Connection | Callable[[], None]) -> None:
        try:
            if isinstance(target, Connection):
                self._service(target)
            else:
                target()
        except Exception as error:
            # One connection's fault must not end the thread that serves all others.
            logging.exception("transport event failed")
            if isinstance(target, Connection):
                with self._lock:
                    self._close(target, str(error))

    def _send_queued(self) -> None:
        touched, self._unfinished = self._unfinished, {}
        while self._commands:
            peer, payload = self._commands.popleft()
            connection = self._connections.get(peer) or self._connect(peer)
            if connection is not None and self._queue(connection, payload):
                touched[connection] = None
        for connection in touched:
            self._flush(connection)

    def _queue(self, connection: Connection, payload: bytes) -> bool:
        """Queue a message; returns whether the connection has something to be written."""
        waiting = sum(entry.queued_bytes for entry in self._stuck)
        if waiting + len(payload) > MAXIMUM_TOTAL_OUTGOING_BYTES:
            logging.log_every_n_seconds(logging.WARNING, "messages dropped: peers are slow", 5)
            return False
        connection.queue(payload)
        if connection.queued_bytes > MAXIMUM_OUTGOING_BYTES:
            self._close(connection, "peer reads too slowly")
            return False
        self._note_waiting(connection)
        return True

    def _connect(self, peer: str) -> Connection | None:
        now = time.monotonic()
        sock = connecting_socket(peer) if self._backoffs.may_connect(peer, now) else None
        if sock is None:
            self._disconnected(peer)
            return None
        connection = Connection(sock, self.name, self._keys, peer, is_connector=True)
        self._connections[peer] = connection
        return self._add(connection, now)

    def _accept(self, listener: socket.socket) -> None:
        try:
            sock, _address = listener.accept()
            tune(sock)
        except OSError as error:
            logging.log_every_n_seconds(logging.WARNING, "cannot accept: %s", 5, error)
            self._close_oldest_unestablished()
            return
        accepted = Connection(sock, self.name, self._keys, "", is_connector=False)
        self._add(accepted, time.monotonic())
        if len(self._unestablished) > MAXIMUM_UNESTABLISHED:
            self._close_oldest_unestablished()

    def _add(self, connection: Connection, now: float) -> Connection:
        connection.opened_at = connection.heard_at = now
        self._open[connection] = None
        self._unestablished[connection] = None
        connection.watched_events = connection.wanted_events
        self._selector.register(connection.sock, connection.watched_events, connection)
        return connection

    def _close_oldest_unestablished(self) -> None:
        oldest = next(iter(self._unestablished), None)
        if oldest is not None:
            self._close(oldest, "too many connections without a handshake")

    def _sweep(self) -> None:
        """Close what is beyond its limits."""
        now = time.monotonic()
        if now < self._next_sweep:
            return
        self._next_sweep = now + SWEEP_INTERVAL_S
        self._backoffs.forget_old(now)
        for connection in list(self._open):
            reason = self._fault(connection, now)
            if reason:
                self._close(connection, reason)

    def _fault(self, connection: Connection, now: float) -> str:
        if not connection.established:
            is_late = now - connection.opened_at > HANDSHAKE_TIMEOUT_S
            return "no handshake in time" if is_late else ""
        if connection.stuck_since is not None and now - connection.stuck_since > STUCK_TIMEOUT_S:
            return "peer takes no bytes"
        is_superseded = self._connections.get(connection.peer) is not connection
        if is_superseded and now - connection.heard_at > SUPERSEDED_IDLE_S:
            return "replaced by a newer connection"
        return ""

    def _service(self, connection: Connection) -> None:
        with self._lock:
            data = self._read(connection)
            payloads = self._opened(connection, data) if data else []
        # Without the lock: the loop may send meanwhile, and the receiver may answer at once.
        try:
            messages = [decode(payload) for payload in payloads]
        except CodecError as error:
            with self._lock:
                self._close(connection, str(error))
            return
        for message in messages:
            self._receive(connection.peer, message)

    def _read(self, connection: Connection) -> memoryview | None:
        """Write what waits and read once; returns nothing if there was nothing to read."""
        if connection.outgoing:
            self._flush(connection)
        if connection not in self._open:
            return None
        try:
            size = connection.sock.recv_into(self._read_buffer)
        except BlockingIOError:
            return None
        except OSError as error:
            self._close(connection, str(error))
            return None
        if not size:
            self._close(connection, "closed by peer")
            return None
        connection.heard_at = time.monotonic()
        return memoryview(self._read_buffer)[:size]

    def _opened(self, connection: Connection, data: memoryview) -> list[bytes]:
        """Return the payloads completed by received bytes; a fault ends the connection."""
        was_established = connection.established
        try:
            payloads = connection.receive(data)
        except (FrameError, CodecError) as error:
            self._close(connection, str(error))
            return []
        if connection.established and not was_established:
            self._unestablished.pop(connection, None)
            self._backoffs.succeeded(connection.peer)
            self._connections[connection.peer] = connection
        if connection.outgoing:
            self._flush(connection)
        return payloads

    def _flush(self, connection: Connection) -> None:
        """Write what waits, and watch for the moment when more can be written."""
        if connection not in self._open:
            return
        try:
            self._write(connection)
        except BlockingIOError:
            pass
        except OSError as error:
            self._close(connection, str(error))
            return
        self._note_waiting(connection)
        self._watch(connection)

    def _note_waiting(self, connection: Connection) -> None:
        if connection.queued_bytes == 0:
            connection.stuck_since = None
            self._stuck.pop(connection, None)
            return
        self._stuck[connection] = None
        if connection.stuck_since is None:
            connection.stuck_since = time.monotonic()

    def _watch(self, connection: Connection) -> None:
        events = connection.wanted_events
        if events == connection.watched_events:
            return
        connection.watched_events = events
        with contextlib.suppress(KeyError, ValueError):
            self._selector.modify(connection.sock, events, connection)

    def _close(self, connection: Connection, reason: str) -> None:
        if connection not in self._open:
            return
        with contextlib.suppress(KeyError, ValueError):
            self._selector.unregister(connection.sock)
        connection.sock.close()
        del self._open[connection]
        self._unestablished.pop(connection, None)
        self._stuck.pop(connection, None)
        self._unfinished.pop(connection, None)
        peer = connection.peer
        if self._connections.get(peer) is connection:
            del self._connections[peer]
            if not connection.established:
                self._backoffs.failed(peer, time.monotonic())
            self._disconnected(peer)
        if peer:
            logging.log_every_n_seconds(logging.INFO, "connection to %s ended: %s", 5, peer, reason)
