"""One request to a server and its response."""

from collections.abc import Callable
from typing import TYPE_CHECKING

from martenrun.net.http import Headers, HttpRequest, response_head

if TYPE_CHECKING:
    from martenrun.net.server_connection import ServerConnection

BODYLESS_STATUSES = frozenset({204, 304})
"""Statuses of responses without a body."""


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
        self,
        status: int,
        headers: Headers,
        body: bytes | bytearray = b"",
        is_closing: bool = False,
    ) -> None:
        """Send a complete response."""
        if self.is_over or self.has_started:
            return
        self.has_started = True
        framing = b"" if status in BODYLESS_STATUSES else b"Content-Length: %d" % len(body)
        closing = is_closing or self._connection.decide_close()
        if self.request.method == b"HEAD":
            body = b""
        self._connection.write_response(response_head(status, headers, framing, closing), body)
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
