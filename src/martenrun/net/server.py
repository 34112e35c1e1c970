"""The HTTP/1.1 server of a router process.

Whole requests are handed to a handler one at a time for each connection.  A caller's leaving is
noticed while its request is served.  An answer that is given up never looks complete.
"""

import collections
import socket
from collections.abc import Callable
from typing import Any

import attrs
import httptools

from martenrun.net.http import Headers, HttpRequest, answer_head
from martenrun.net.loop import Loop
from martenrun.net.stream import Stream, listen

SWEEP_INTERVAL_S = 0.25
"""How often connections are looked at for time-outs, in seconds."""

LINGER_S = 1.0
"""How long a connection that was ended here may still be read from, in seconds."""

MAXIMUM_CONNECTIONS = 1_000
"""Most connections of a server that is not told otherwise."""

QUEUED_REQUESTS = 4
"""Requests that may wait on one connection before it is no longer read."""

BODYLESS = frozenset({204, 304})
"""Statuses of answers without a body."""


@attrs.frozen
class ServerLimits:
    """What a caller may send, and how long it may take; sizes in bytes, times in seconds."""

    maximum_header_bytes: int = 16_384
    maximum_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Exchange:
    """One request and the answer to it.

    Attributes:
        request: the whole request.
        on_gone: set by the handler; called if the caller leaves before the answer's end.
        on_drained: set by the handler; called when the caller has read enough again.
    """

    def __init__(self, connection: "ServerConnection", request: HttpRequest) -> None:
        self._connection = connection
        self.request = request
        self.on_gone: Callable[[], None] | None = None
        self.on_drained: Callable[[], None] | None = None
        self.has_started = False
        self.is_over = False
        self._is_chunked = False

    @property
    def is_congested(self) -> bool:
        """Whether the caller reads more slowly than it is written to."""
        return self._connection.stream.is_congested

    def respond(
        self, status: int, headers: Headers, body: bytes = b"", is_closing: bool = False
    ) -> None:
        """Send a whole answer."""
        if self.is_over or self.has_started:
            return
        self.has_started = True
        framing = b"" if status in BODYLESS else b"Content-Length: %d" % len(body)
        closing = is_closing or self._connection.closes_next()
        if self.request.method == b"HEAD":
            body = b""
        self._connection.write(answer_head(status, headers, framing, closing) + body)
        self._finish(closing)

    def start(self, status: int, headers: Headers, length: int | None) -> None:
        """Begin an answer whose body follows; ``length`` None sends it in chunks."""
        if self.is_over or self.has_started:
            return
        self.has_started = True
        self._is_chunked = length is None
        framing = (
            b"Transfer-Encoding: chunked" if length is None else b"Content-Length: %d" % length
        )
        self._connection.write(
            answer_head(status, headers, framing, self._connection.closes_next())
        )

    def send(self, data: bytes) -> None:
        """Send a part of the body."""
        if self.is_over or not data:
            return
        if self._is_chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._connection.write(data)

    def end(self) -> None:
        """End the answer as complete."""
        if self.is_over:
            return
        if self._is_chunked:
            self._connection.write(b"0\r\n\r\n")
        self._finish(self._connection.announced_close)

    def abort(self) -> None:
        """Break the answer off; the caller sees that it is not complete."""
        if not self.is_over:
            self.is_over = True
            self._connection.abort()

    def _finish(self, is_closing: bool) -> None:
        self.is_over = True
        self._connection.answered(is_closing)


STOOD_STILL_S = 0.5
"""How late a request must be read for its waiting time to count, in seconds.

Its deadline runs from when it came: a machine that was suspended, or a process that stood still,
must not give a runner time that its caller no longer has.  Shorter delays are those of a busy loop.
"""


class ServerConnection:
    """A caller's connection: parses its requests and serves them in order."""

    def __init__(self, server: "Server", sock: socket.socket) -> None:
        self._server = server
        self._parser: Any = httptools.HttpRequestParser(self)
        self._waiting: collections.deque[HttpRequest] = collections.deque()
        self._current: Exchange | None = None
        self._target = b""
        self._headers: Headers = []
        self._body = bytearray()
        self._header_bytes = 0
        self._head_at = 0.0
        self._is_in_message = False
        self._is_refused = False
        self._ends_after_queue = False
        self.announced_close = False
        self.rested_since = server.loop.now()
        self.ended_at: float | None = None
        self.stream = Stream(server.loop, sock, self)

    @property
    def is_busy(self) -> bool:
        """Whether a request is being received or served."""
        return self._current is not None or bool(self._waiting) or self._is_in_message

    # What the stream reports

    def on_connected(self) -> None:
        """Never comes: the connection was accepted."""

    def on_data(self, data: bytes) -> None:
        """Parse what has arrived."""
        if self._is_refused or self.ended_at is not None:
            return
        if not self._is_in_message:
            self.rested_since = self._server.loop.now()
        self._header_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._refuse(400)
            return
        if not self._is_refused and self._is_head_too_long():
            self._refuse(431)
        self._serve_next()

    def on_closed(self, is_clean: bool) -> None:
        """The caller has left."""
        self._server.forget(self)
        current = self._current
        self._waiting.clear()
        if current is not None and not current.is_over:
            current.is_over = True
            if current.on_gone is not None:
                current.on_gone()

    def on_drained(self) -> None:
        """The caller has read enough again."""
        if self._current is not None and self._current.on_drained is not None:
            self._current.on_drained()

    # What the parser reports

    def on_message_begin(self) -> None:
        """A request begins."""
        self._is_in_message = True
        self._target = b""
        self._headers = []
        self._body = bytearray()
        self._head_at = 0.0

    def on_url(self, url: bytes) -> None:
        """A part of the target."""
        self._target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header field."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """The head is complete."""
        late_s = self._server.loop.late_s
        stood_still_s = late_s if late_s > STOOD_STILL_S else 0.0
        self._head_at = self._server.loop.now() - stood_still_s
        self._header_bytes = 0
        if self._announced_length() > self._server.limits.maximum_body_bytes:
            self._refuse(413)
            return
        for name, value in self._headers:
            if name.lower() == b"expect" and value.lower() == b"100-continue":
                self.stream.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """A part of the body."""
        if self._is_refused:
            return
        self._body += data
        if len(self._body) > self._server.limits.maximum_body_bytes:
            self._refuse(413)

    def on_message_complete(self) -> None:
        """A request is whole."""
        self._is_in_message = False
        self._header_bytes = 0
        if self._is_refused:
            return
        if not self._parser.should_keep_alive():
            self._ends_after_queue = True
        method = self._parser.get_method()
        self._waiting.append(
            HttpRequest(method, self._target, self._headers, bytes(self._body), self._head_at)
        )

    # What exchanges and the server ask for

    def write(self, data: bytes) -> None:
        """Send bytes to the caller."""
        self.stream.write(data)

    def closes_next(self) -> bool:
        """Whether the answer that begins now is the connection's last; remembers it."""
        self.announced_close = (
            self.announced_close
            or self._server.is_draining
            or (self._ends_after_queue and not self._waiting)
        )
        return self.announced_close

    def answered(self, is_closing: bool) -> None:
        """Go on with the next request, or end the connection."""
        self._current = None
        self.rested_since = self._server.loop.now()
        if is_closing:
            self.end()
        elif self._waiting:
            self._server.loop.call_later(0, self._serve_next)

    def end(self) -> None:
        """End the connection from this side once all is sent."""
        if self.ended_at is None and not self.stream.is_closed:
            self.ended_at = self._server.loop.now()
            self._waiting.clear()
            self.stream.pause(False)
            self.stream.finish()

    def abort(self) -> None:
        """Break the connection off."""
        self._current = None
        self._server.forget(self)
        self.stream.close()

    def check_times(self, now: float) -> None:
        """End what has rested, taken or lingered too long."""
        limits = self._server.limits
        if self.ended_at is not None:
            if now - self.ended_at > LINGER_S and not self.stream.unsent_bytes:
                self.abort()
        elif self._is_in_message:
            if now - self.rested_since > self._receiving_limit_s():
                self._refuse(408)
        elif not self.is_busy and now - self.rested_since > limits.idle_timeout_s:
            self.end()

    def _receiving_limit_s(self) -> float:
        limits = self._server.limits
        if self._head_at == 0.0:
            return limits.header_timeout_s
        return limits.header_timeout_s + limits.idle_timeout_s

    def _serve_next(self) -> None:
        if self._current is None and self._waiting and not self.stream.is_closed:
            self._current = Exchange(self, self._waiting.popleft())
            self._server.handler(self._current)
        self.stream.pause(len(self._waiting) >= QUEUED_REQUESTS)

    def _announced_length(self) -> int:
        for name, value in self._headers:
            if name.lower() == b"content-length":
                return int(value)
        return 0

    def _is_head_too_long(self) -> bool:
        is_in_head = self._is_in_message and self._head_at == 0.0
        return is_in_head and self._header_bytes > self._server.limits.maximum_header_bytes

    def _refuse(self, status: int) -> None:
        """Answer what cannot be taken, after the answers that are due before it, and end."""
        if self._is_refused or self.ended_at is not None:
            return
        self._is_refused = True
        if self._current is None and not self._waiting:
            head = answer_head(status, [], b"Content-Length: 0", True)
            self.stream.write(head)
            self.end()
        else:
            self._ends_after_queue = True


class Server:
    """Accepts callers' connections and keeps them within the limits.

    Args:
        loop: the loop it is served on.
        address: ``IP:port`` to listen on.
        handler: called with each whole request.
        maximum_connections: connections beyond these are closed as they come.
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
        self._maximum_connections = maximum_connections
        self._connections: set[ServerConnection] = set()
        self._listener = listen(loop, address, self._accepted)
        loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def has_work(self) -> bool:
        """Whether any request is being received or served."""
        return any(connection.is_busy for connection in self._connections)

    def forget(self, connection: ServerConnection) -> None:
        """Drop a connection that has ended."""
        self._connections.discard(connection)

    def end_idle(self) -> None:
        """End every connection on which no request is under way."""
        for connection in list(self._connections):
            if not connection.is_busy:
                connection.end()

    def _accepted(self, sock: socket.socket) -> None:
        if len(self._connections) >= self._maximum_connections:
            sock.close()
            return
        self._connections.add(ServerConnection(self, sock))

    def _sweep(self) -> None:
        now = self.loop.now()
        for connection in list(self._connections):
            connection.check_times(now)
        self.loop.call_later(SWEEP_INTERVAL_S, self._sweep)
