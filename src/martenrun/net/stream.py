"""A non-blocking TCP connection with buffered writes and back-pressure."""

import collections
import contextlib
import socket
from collections.abc import Callable
from typing import Protocol

from martenrun.net.addresses import parse_endpoint
from martenrun.net.loop import READ, WRITE, Loop

READ_BYTES = 65536
"""Maximum number of bytes read at a time."""

HIGH_WATER_BYTES = 262_144
"""Number of unsent bytes above which a writer should pause."""

OPENED_ACK_TIMEOUT_MS = 4_000
"""How long sent bytes may stay unacknowledged before an opened connection fails, in ms.

A peer may be silent for 1.5 s, and Linux retransmits 1.4 s and 3.0 s after the first transmission.
"""

ACCEPTED_ACK_TIMEOUT_MS = 15_000
"""The same for an accepted connection, whose peer may also be reading slowly, in ms."""

KEEP_ALIVE_IDLE_S = 1
KEEP_ALIVE_INTERVAL_S = 1
"""Keep-alive probes of an idle connection: delay of the first one and interval between them.

The timeouts above also end connections whose probes are unanswered for so long: TCP_KEEPCNT has no
effect beside TCP_USER_TIMEOUT (Linux, tcp(7)).
"""


class StreamOwner(Protocol):
    """Receives the events of a :class:`Stream`."""

    def on_connected(self) -> None:
        """Called when an opened connection is established."""

    def on_data(self, data: bytes) -> None:
        """Called with received bytes."""

    def on_closed(self, is_clean: bool) -> None:
        """Called once when the peer closes the connection (``is_clean``) or it fails.

        Not called after :meth:`Stream.close`.
        """

    def on_drained(self) -> None:
        """Called when the unsent bytes are below the high-water mark again."""


def _ignore(_unsent_bytes: int) -> None:
    return None


class Stream:
    """One TCP connection.

    Args:
        loop: the loop that serves the connection.
        sock: its socket, already non-blocking.
        owner: receives the connection's events.
        on_unsent: called with the number of unsent bytes when it has changed.
        is_opened: whether this side opens the connection.  Only opened connections are paced: they
            send prompts, which can wait; responses on accepted ones carry updates to routers.

    Attributes:
        error: errno of a failed attempt to connect, or 0.
    """

    def __init__(
        self,
        loop: Loop,
        sock: socket.socket,
        owner: StreamOwner,
        is_opened: bool = False,
        on_unsent: Callable[[int], None] = _ignore,
    ) -> None:
        self._loop = loop
        self._sock = sock
        self._owner = owner
        self._on_unsent = on_unsent
        self._unsent: collections.deque[bytearray | memoryview] = collections.deque()
        self._unsent_bytes = 0
        self._is_connecting = is_opened
        self._is_paced = is_opened
        self._is_paused = False
        self._closes_when_sent = False
        self._was_congested = False
        self._awaits_pacer = False
        self.is_closed = False
        self.error = 0
        self._watch()

    @property
    def unsent_bytes(self) -> int:
        """Number of buffered bytes that are not sent yet."""
        return self._unsent_bytes

    @property
    def is_congested(self) -> bool:
        """Whether a writer should pause."""
        return self._unsent_bytes > HIGH_WATER_BYTES

    def write(self, data: bytes | bytearray) -> None:
        """Send bytes, or buffer them until the peer can receive them."""
        unsent = self._send_first(data)
        if unsent:
            last = self._unsent[-1] if self._unsent else None
            if isinstance(last, bytearray):
                last += unsent
            else:
                self._unsent.append(bytearray(unsent))
            self._record_unsent(len(unsent))

    def write_shared(self, data: bytes | bytearray) -> None:
        """Send bytes without copying them; they must not change any more."""
        unsent = self._send_first(data)
        if unsent:
            self._unsent.append(unsent)
            self._record_unsent(len(unsent))

    def _send_first(self, data: bytes | bytearray) -> memoryview:
        """Send what can be sent now of new bytes; return the rest, which must be buffered."""
        rest = memoryview(data)
        if self.is_closed or not data:
            return rest[:0]
        if not self._unsent and not self._is_connecting:
            rest = rest[self._send_paced(rest) :]
        return rest[:0] if self.is_closed else rest

    def _record_unsent(self, size: int) -> None:
        self._unsent_bytes += size
        self._was_congested = self._was_congested or self.is_congested
        self._watch()
        self._on_unsent(self._unsent_bytes)

    def pause(self, is_paused: bool) -> None:
        """Stop or resume reading."""
        if self._is_paused != is_paused and not self.is_closed:
            self._is_paused = is_paused
            self._watch()

    def close(self) -> None:
        """Close at once and drop unsent bytes."""
        if self.is_closed:
            return
        self.is_closed = True
        self._unsent.clear()
        self._unsent_bytes = 0
        self._loop.watch(self._sock, 0, self._on_ready)
        self._sock.close()
        self._on_unsent(0)

    def reset(self) -> None:
        """Close at once with a TCP reset."""
        if self.is_closed:
            return
        with contextlib.suppress(OSError):
            self._sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00"
            )
        self.close()

    def finish(self) -> None:
        """Send the buffered bytes, then shut down the sending side; the peer closes the rest."""
        self._closes_when_sent = True
        if not self._unsent:
            self._shut_down_sending()

    def _shut_down_sending(self) -> None:
        with contextlib.suppress(OSError):
            self._sock.shutdown(socket.SHUT_WR)

    def _watch(self) -> None:
        events = 0 if self._is_paused or self._is_connecting else READ
        if self._is_connecting or (self._unsent and not self._awaits_pacer):
            events |= WRITE
        self._loop.watch(self._sock, events, self._on_ready)

    def _on_ready(self, ready: int) -> None:
        if self._is_connecting:
            self._finish_connecting()
            return
        if ready & WRITE:
            self._flush()
        if ready & READ and not self.is_closed:
            self._read()

    def _finish_connecting(self) -> None:
        self.error = self._sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if self.error:
            self._report_closed(False)
            return
        self._is_connecting = False
        self._watch()
        self._owner.on_connected()

    def _read(self) -> None:
        try:
            data = self._sock.recv(READ_BYTES)
        except (BlockingIOError, InterruptedError):
            return
        except OSError:
            self._report_closed(False)
            return
        if data:
            self._owner.on_data(data)
        else:
            self._report_closed(True)

    def _flush(self) -> None:
        if self._unsent:
            self._drop_sent(self._send_paced(self._unsent[0]))
        if self.is_closed:
            return
        if self._awaits_pacer:
            self._watch()
        if not self._unsent:
            self._watch()
            if self._closes_when_sent:
                self._shut_down_sending()
        if self._was_congested and not self.is_congested:
            self._was_congested = False
            self._owner.on_drained()

    def _drop_sent(self, size: int) -> None:
        """Drop bytes that were sent from the front of the buffer."""
        self._unsent_bytes -= size
        first = self._unsent[0]
        if size == len(first):
            self._unsent.popleft()
        elif isinstance(first, bytearray):
            del first[:size]
        else:
            self._unsent[0] = first[size:]
        self._on_unsent(self._unsent_bytes)

    def _send_paced(self, data: bytearray | memoryview) -> int:
        """Send as much as the pacer allows; return the number of bytes sent."""
        if not self._is_paced:
            return self._send(data)
        allowed = self._loop.pacer.acquire(len(data))
        if allowed < len(data):
            self._awaits_pacer = True
            self._loop.pacer.enqueue(self._on_pacer_ready)
        if not allowed:
            return 0
        return self._send(data if allowed == len(data) else data[:allowed])

    def _on_pacer_ready(self) -> None:
        self._awaits_pacer = False
        if self.is_closed:
            return
        self._watch()
        self._flush()

    def _send(self, data: bytearray | memoryview) -> int:
        try:
            return self._sock.send(data)
        except (BlockingIOError, InterruptedError):
            return 0
        except OSError:
            # Let reading report the failure, after any data that the peer sent before it.
            self._is_paused = False
            self._loop.watch(self._sock, READ, self._on_ready)
            return len(data)

    def _report_closed(self, is_clean: bool) -> None:
        if not self.is_closed:
            self.close()
            self._owner.on_closed(is_clean)


def open_stream(loop: Loop, address: str, owner: StreamOwner) -> Stream:
    """Open a connection to ``IP:port``; raises OSError if that fails at once.

    Host names are not resolved, since a look-up would block the loop: they are invalid addresses.
    """
    endpoint = parse_endpoint(address)
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        sock.setblocking(False)
        _set_options(sock, OPENED_ACK_TIMEOUT_MS)
        with contextlib.suppress(BlockingIOError):
            sock.connect(endpoint)
        return Stream(loop, sock, owner, is_opened=True)
    except BaseException:
        sock.close()
        raise


def listen(loop: Loop, address: str, on_accept: Callable[[socket.socket], None]) -> socket.socket:
    """Listen on ``IP:port`` and pass each accepted, non-blocking socket to ``on_accept``."""
    host, _, port = address.rpartition(":")
    listener = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    listener.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    listener.setblocking(False)
    listener.bind((host, int(port)))
    listener.listen(512)

    def accept_all(_ready: int) -> None:
        for _ in range(64):
            try:
                sock, _peer = listener.accept()
            except OSError:
                return
            sock.setblocking(False)
            _set_options(sock, ACCEPTED_ACK_TIMEOUT_MS)
            on_accept(sock)

    loop.watch(listener, READ, accept_all)
    return listener


def _set_options(sock: socket.socket, unacknowledged_ms: int) -> None:
    """Send without delay, and detect unresponsive peers."""
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacknowledged_ms)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S)
