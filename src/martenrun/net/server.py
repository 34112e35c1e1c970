"""The HTTP/1.1 server of a router process.

Complete requests are passed to a handler, one at a time for each connection.  A caller's disconnect
is detected while its request is served.  An aborted response never looks complete.
"""

import collections
import socket
from collections.abc import Callable

import attrs
import httptools

from martenrun.net.http import Headers, HttpRequest, response_head
from martenrun.net.loop import Loop
from martenrun.net.periodic import PeriodicCall, call_safely
from martenrun.net.request_parser import RequestParser
from martenrun.net.stream import Stream, listen

SWEEP_INTERVAL_S = 0.25
"""Interval between two checks of the connections' timeouts, in seconds."""

LINGER_S = 1.0
"""How long to keep reading a connection that was shut down by this side, in seconds."""

MAXIMUM_CONNECTIONS = 1_000
"""Default maximum number of connections of a server."""

MAXIMUM_QUEUED_REQUESTS = 4
"""Number of queued requests at which a connection is no longer read."""

BODYLESS_STATUSES = frozenset({204, 304})
"""Statuses of responses without a body."""


@attrs.frozen
class ServerLimits:
    """Limits on callers' requests: sizes in bytes, times in seconds."""

    maximum_header_bytes: int = 16_384
    maximum_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Exchange:
    """A request and its response.

    Attributes:
        request: the complete request.
        on_disconnect: set by the handler; called if the caller disconnects before the end.
        on_drained: set by the handler; called when the caller has caught up with the response.
        earlier_requests: number of earlier requests on the same connection.
    """

    def __init__(self, connection: "ServerConnection", request: HttpRequest) -> None:
        self._connection = connection
        self.request = request
        self.on_disconnect: Callable[[], None] | None = None
        self.on_drained: Callable[[], None] | None = None
        self.earlier_requests = connection.served_requests
        self.has_started = False
        self.is_over = False
        self._is_chunked = False

    @property
    def is_congested(self) -> bool:
        """Whether the caller reads more slowly than the response is written."""
        return self._connection.stream.is_congested

    def respond(
        self, status: int, headers: Headers, body: bytes = b"", is_closing: bool = False
    ) -> None:
        """Send a complete response."""
        if self.is_over or self.has_started:
            return
        self.has_started = True
        framing = b"" if status in BODYLESS_STATUSES else b"Content-Length: %d" % len(body)
        closing = is_closing or self._connection.decide_close()
        if self.request.method == b"HEAD":
            body = b""
        self._connection.write(response_head(status, headers, framing, closing) + body)
        self._finish(closing)

    def start(self, status: int, headers: Headers, length: int | None) -> None:
        """Start a response whose body follows; without a ``length`` it is sent in chunks."""
        if self.is_over or self.has_started:
            return
        self.has_started = True
        self._is_chunked = length is None
        framing = (
            b"Transfer-Encoding: chunked" if length is None else b"Content-Length: %d" % length
        )
        self._connection.write(
            response_head(status, headers, framing, self._connection.decide_close())
        )

    def send(self, data: bytes) -> None:
        """Send a part of the body."""
        if self.is_over or not data:
            return
        if self._is_chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._connection.write(data)

    def end(self) -> None:
        """Complete the response."""
        if self.is_over:
            return
        if self._is_chunked:
            self._connection.write(b"0\r\n\r\n")
        self._finish(self._connection.announced_close)

    def abort(self) -> None:
        """Abort the response so that the caller can see that it is incomplete."""
        if not self.is_over:
            self.is_over = True
            self._connection.abort()

    def _finish(self, is_closing: bool) -> None:
        self.is_over = True
        self._connection.finish_exchange(is_closing)


SUSPENSION_THRESHOLD_S = 0.5
"""How late a request must be read for its waiting time to count, in seconds.

Its deadline runs from its arrival: after a suspension of the machine or of the process, a runner
must not get time that the caller no longer has.  Shorter delays are those of a busy loop.
"""


class ServerConnection:
    """A caller's connection: parses requests and serves them in order."""

    def __init__(self, server: "Server", sock: socket.socket) -> None:
        self._server = server
        self._parser = RequestParser(self)
        self._queue: collections.deque[HttpRequest] = collections.deque()
        self._current: Exchange | None = None
        self._body = bytearray()
        self._header_bytes = 0
        self._head_received_at = 0.0
        self._is_in_message = False
        self._is_rejected = False
        self._ends_after_queue = False
        self.announced_close = False
        self.served_requests = 0
        self.phase_started_at = server.loop.now()
        self.shut_down_at: float | None = None
        self.stream = Stream(server.loop, sock, self)

    @property
    def is_busy(self) -> bool:
        """Whether a request is being received or served."""
        return self._current is not None or bool(self._queue) or self._is_in_message

    # Stream events

    def on_connected(self) -> None:
        """Do nothing: an accepted connection is already established."""

    def on_data(self, data: bytes) -> None:
        """Parse received bytes."""
        if self._is_rejected or self.shut_down_at is not None:
            return
        if not self._is_in_message:
            self.phase_started_at = self._server.loop.now()
        self._header_bytes += len(data)
        try:
            self._parser.feed(data)
        except httptools.HttpParserError:
            self._reject(400)
        if not self._is_rejected and self._is_head_too_long():
            self._reject(431)
        self._serve_next()

    def on_closed(self, is_clean: bool) -> None:
        """Handle the caller's disconnect."""
        self._server.remove(self)
        current = self._current
        self._queue.clear()
        if current is not None and not current.is_over:
            current.is_over = True
            if current.on_disconnect is not None:
                current.on_disconnect()

    def on_drained(self) -> None:
        """Notify the current exchange that the caller has caught up."""
        if self._current is not None and self._current.on_drained is not None:
            self._current.on_drained()

    # Parser events

    def on_message_begin(self) -> None:
        """Reset the parsing state for a new request."""
        self._is_in_message = True
        self._body = bytearray()
        self._head_received_at = 0.0

    def on_headers_complete(self) -> None:
        """Check the announced size of the body and reply to ``Expect: 100-continue``."""
        late_s = self._server.loop.late_s
        suspended_s = late_s if late_s > SUSPENSION_THRESHOLD_S else 0.0
        self._head_received_at = self._server.loop.now() - suspended_s
        self._header_bytes = 0
        if self._parser.content_length() > self._server.limits.maximum_body_bytes:
            self._reject(413)
            return
        for name, value in self._parser.headers:
            if name.lower() == b"expect" and value.lower() == b"100-continue":
                self.stream.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Append a part of the body and check its size."""
        if self._is_rejected:
            return
        self._body += data
        if len(self._body) > self._server.limits.maximum_body_bytes:
            self._reject(413)

    def on_message_complete(self) -> None:
        """Queue the complete request."""
        self._is_in_message = False
        self._header_bytes = 0
        if self._is_rejected:
            return
        parser = self._parser
        if not parser.keeps_alive:
            self._ends_after_queue = True
        self._queue.append(
            HttpRequest(
                parser.method,
                parser.target,
                parser.headers,
                bytes(self._body),
                self._head_received_at,
            )
        )

    # Used by exchanges and the server

    def write(self, data: bytes) -> None:
        """Send bytes to the caller."""
        self.stream.write(data)

    def decide_close(self) -> bool:
        """Decide whether the connection closes after the response that is being started."""
        self.announced_close = (
            self.announced_close
            or self._server.is_draining
            or self._server.sheds_connections
            or (self._ends_after_queue and not self._queue)
        )
        return self.announced_close

    def finish_exchange(self, is_closing: bool) -> None:
        """Continue with the next request, or close the connection."""
        self._current = None
        self.phase_started_at = self._server.loop.now()
        if is_closing or (self._ends_after_queue and not self._queue):
            self.shut_down()
        elif self._queue:
            self._server.loop.call_later(0, self._serve_next)

    def shut_down(self) -> None:
        """Shut the connection down once all responses are sent."""
        if self.shut_down_at is None and not self.stream.is_closed:
            self.shut_down_at = self._server.loop.now()
            self._queue.clear()
            self.stream.pause(False)
            self.stream.finish()

    def abort(self) -> None:
        """Close the connection at once."""
        self._current = None
        self._server.remove(self)
        self.stream.close()

    def check_timeouts(self, now: float) -> None:
        """Close the connection if it was idle, receiving or lingering for too long."""
        limits = self._server.limits
        if self.shut_down_at is not None:
            if now - self.shut_down_at > LINGER_S and not self.stream.unsent_bytes:
                self.abort()
        elif self._is_in_message:
            if now - self.phase_started_at > self._receive_timeout_s():
                self._reject(408)
        elif not self.is_busy and now - self.phase_started_at > limits.idle_timeout_s:
            self.shut_down()

    def _receive_timeout_s(self) -> float:
        limits = self._server.limits
        if self._head_received_at == 0.0:
            return limits.header_timeout_s
        return limits.header_timeout_s + limits.idle_timeout_s

    def _serve_next(self) -> None:
        if self._current is None and self._queue and not self.stream.is_closed:
            self._current = Exchange(self, self._queue.popleft())
            self.served_requests += 1
            self._server.handler(self._current)
        self.stream.pause(len(self._queue) >= MAXIMUM_QUEUED_REQUESTS)

    def _is_head_too_long(self) -> bool:
        is_in_head = self._is_in_message and self._head_received_at == 0.0
        return is_in_head and self._header_bytes > self._server.limits.maximum_header_bytes

    def _reject(self, status: int) -> None:
        """Reject the input: respond with an error, or close after the responses still due."""
        if self._is_rejected or self.shut_down_at is not None:
            return
        self._is_rejected = True
        if self._current is None and not self._queue:
            head = response_head(status, [], b"Content-Length: 0", True)
            self.stream.write(head)
            self.shut_down()
        else:
            self._ends_after_queue = True


class Server:
    """Accepts connections from callers and enforces the limits.

    Args:
        loop: the loop that serves the connections.
        address: ``IP:port`` to listen on.
        handler: called with each complete request.
        maximum_connections: connections beyond these are closed at once.

    Attributes:
        is_draining: whether connections close after their next response because the process stops.
        sheds_connections: whether they close so that callers connect to other routers.
    """

    def __init__(
        self,
        loop: Loop,
        address: str,
        handler: Callable[[Exchange], None],
        maximum_connections: int = MAXIMUM_CONNECTIONS,
    ) -> None:
        self.loop = loop
        self.handler = handler
        self.limits = ServerLimits()
        self.is_draining = False
        self.sheds_connections = False
        self._maximum_connections = maximum_connections
        self._connections: set[ServerConnection] = set()
        self._listener = listen(loop, address, self._on_accept)
        PeriodicCall(loop, "connection_timeouts", SWEEP_INTERVAL_S, self._sweep).start_later()

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def has_work(self) -> bool:
        """Whether any request is being received or served."""
        return any(connection.is_busy for connection in self._connections)

    def remove(self, connection: ServerConnection) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)

    def shut_down_idle(self) -> None:
        """Shut down every connection that has no request in progress."""
        for connection in list(self._connections):
            if not connection.is_busy:
                connection.shut_down()

    def _on_accept(self, sock: socket.socket) -> None:
        if len(self._connections) >= self._maximum_connections:
            sock.close()
            return
        self._connections.add(ServerConnection(self, sock))

    def _sweep(self) -> None:
        now = self.loop.now()
        for connection in list(self._connections):
            call_safely("connection_timeout", connection.check_timeouts, now)
