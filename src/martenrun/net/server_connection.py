"""A caller's connection to a server."""

import collections
import socket
from typing import TYPE_CHECKING

import httptools

from martenrun.net.exchange import Exchange
from martenrun.net.http import HttpRequest, response_head
from martenrun.net.request_parser import RequestParser
from martenrun.net.stream import Stream

if TYPE_CHECKING:
    from martenrun.net.server import Server

LINGER_S = 1.0
"""How long to keep reading a connection that was shut down by this side, in seconds."""

MAXIMUM_QUEUED_REQUESTS = 4
"""Number of queued requests at which a connection is no longer read."""

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
        self._bytes_since_content = 0
        self._head_received_at = 0.0
        self._is_in_message = False
        self._is_rejected = False
        self._discarded_bytes = 0
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
            self._discard(data)
            return
        if not self._is_in_message:
            self.phase_started_at = self._server.loop.now()
        self._bytes_since_content += len(data)
        try:
            self._parser.feed(data)
        except httptools.HttpParserError:
            self._reject(400)
        if not self._is_rejected and self._has_too_many_fields():
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
        self._bytes_since_content = 0
        if self._parser.content_length() > self._server.limits.maximum_body_bytes:
            self._reject(413)
            return
        for name, value in self._parser.headers:
            if name.lower() == b"expect" and value.lower() == b"100-continue":
                self.stream.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Append a part of the body and check its size."""
        self._bytes_since_content = 0
        if self._is_rejected:
            return
        self._body += data
        if len(self._body) > self._server.limits.maximum_body_bytes:
            self._reject(413)

    def on_message_complete(self) -> None:
        """Queue the complete request."""
        self._is_in_message = False
        self._bytes_since_content = 0
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

    def _has_too_many_fields(self) -> bool:
        """Return whether a head, the trailer fields or the head of a chunk are too long."""
        limit = self._server.limits.maximum_header_bytes
        return self._is_in_message and self._bytes_since_content > limit

    def _discard(self, data: bytes) -> None:
        """Drop what arrives after a rejection; reset a connection on which that does not end.

        A caller that sends its whole request before it reads must be able to read the response.
        """
        self._discarded_bytes += len(data)
        is_too_much = self._discarded_bytes > self._server.limits.maximum_body_bytes
        if is_too_much and self.shut_down_at is not None:
            self._server.remove(self)
            self.stream.reset()

    def _reject(self, status: int) -> None:
        """Reject the input: respond with an error, or close after the responses still due."""
        if self._is_rejected or self.shut_down_at is not None:
            return
        self._is_rejected = True
        self._body = bytearray()
        self._parser.drop_fields()
        if self._current is None and not self._queue:
            head = response_head(status, [], b"Content-Length: 0", True)
            self.stream.write(head)
            self.shut_down()
        else:
            self._ends_after_queue = True
