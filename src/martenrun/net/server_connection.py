"""A caller's connection to a server."""

import collections
import random
import socket
from typing import TYPE_CHECKING

import attrs
import httptools

from martenrun.net.exchange import Exchange
from martenrun.net.http import JOINED_BODY_BYTES, Headers, HttpRequest, response_head
from martenrun.net.request_memory import FIELD_BYTES, SMALL_REQUEST_BYTES, RequestBuffer
from martenrun.net.request_parser import RequestParser
from martenrun.net.stream import Stream
from martenrun.net.unread_memory import UnreadOutput
from martenrun.router.log import log_warning

if TYPE_CHECKING:
    from martenrun.net.server import Server

LINGER_S = 1.0
"""How long to keep reading a connection that was shut down by this side, in seconds."""

MAXIMUM_QUEUED_REQUESTS = 4
"""Number of queued requests at which a connection is no longer read."""

NO_HEADERS: Headers = []

MEMORY_RETRY_S = (0.5, 1.5)
"""Range of the random delay after which a request that did not fit should be repeated, in seconds.

Requests that have stopped arriving give way within it.
"""

SUSPENSION_THRESHOLD_S = 0.5
"""How late a request must be read for its waiting time to count, in seconds.

Its deadline runs from its arrival: after a suspension of the machine or of the process, a runner
must not get time that the caller no longer has.  Shorter delays are those of a busy loop.
"""


@attrs.frozen
class ReceivedRequest:
    """A complete request and the buffer that holds it."""

    request: HttpRequest
    buffer: RequestBuffer

    def release(self) -> None:
        """Drop the request, whose response is complete or not needed."""
        self.request.discard()
        self.buffer.release()


class ServerConnection:
    """A caller's connection: parses requests and serves them in order."""

    def __init__(self, server: "Server", sock: socket.socket) -> None:
        self._server = server
        self._parser = RequestParser(self)
        self._queue: collections.deque[ReceivedRequest] = collections.deque()
        self._current: Exchange | None = None
        self._served: ReceivedRequest | None = None
        self._buffer: RequestBuffer | None = None
        self._counted_head_bytes = 0
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
        self._output = UnreadOutput(server.memory.unread, self._reset)
        self.stream = Stream(server.loop, sock, self, on_unsent=self._output.set_size)

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
        self._bytes_since_content += len(data)
        try:
            self._parser.feed(data)
        except httptools.HttpParserError:
            self._reject(400)
        if self._is_in_message and self._head_received_at == 0.0:
            self._count_head(self._bytes_since_content)
        if not self._is_rejected and self._has_too_many_fields():
            self._reject(431)
        self._serve_next()

    def on_closed(self, is_clean: bool) -> None:
        """Handle the caller's disconnect."""
        self._server.remove(self)
        current = self._current
        if current is not None and not current.is_over:
            current.is_over = True
            if current.on_disconnect is not None:
                current.on_disconnect()
        self._release_all()

    def on_drained(self) -> None:
        """Notify the current exchange that the caller has caught up, or serve the next request."""
        if self._current is None:
            self._serve_next()
        elif self._current.on_drained is not None:
            self._current.on_drained()

    # Parser events

    def on_message_begin(self) -> None:
        """Reset the parsing state for a new request."""
        self._is_in_message = True
        self._begin_phase()
        self._head_received_at = 0.0
        self._counted_head_bytes = 0
        self._drop_incoming()
        if not self._is_rejected:
            now = self._server.loop.now()
            self._buffer = self._server.memory.requests.begin(self._refuse, now)

    def on_headers_complete(self) -> None:
        """Check the announced size of the body and reply to ``Expect: 100-continue``."""
        if self._is_rejected:
            return
        late_s = self._server.loop.late_s
        suspended_s = late_s if late_s > SUSPENSION_THRESHOLD_S else 0.0
        self._head_received_at = self._server.loop.now() - suspended_s
        self._bytes_since_content = 0
        self._count_head(sum(len(name) + len(value) for name, value in self._parser.headers))
        if self._is_rejected:
            return
        if self._parser.content_length() > self._server.limits.maximum_body_bytes:
            self._reject(413)
            return
        for name, value in self._parser.headers:
            if name.lower() == b"expect" and value.lower() == b"100-continue":
                self.stream.write(b"HTTP/1.1 100 Continue\r\n\r\n")

    def on_body(self, data: bytes) -> None:
        """Append a part of the body and check its size."""
        self._bytes_since_content = 0
        buffer = self._buffer
        if self._is_rejected or buffer is None:
            return
        if len(buffer.body) + len(data) > self._server.limits.maximum_body_bytes:
            self._reject(413)
            return
        buffer.add(len(data))
        if not self._is_rejected:
            buffer.body += data

    def on_message_complete(self) -> None:
        """Queue the complete request."""
        self._is_in_message = False
        self._bytes_since_content = 0
        buffer, self._buffer = self._buffer, None
        if self._is_rejected or buffer is None:
            return
        buffer.finish()
        parser = self._parser
        if not parser.keeps_alive:
            self._ends_after_queue = True
        request = HttpRequest(
            parser.method, parser.target, parser.headers, buffer.body, self._head_received_at
        )
        self._queue.append(ReceivedRequest(request, buffer))

    # Used by exchanges and the server

    def write(self, data: bytes) -> None:
        """Send bytes to the caller."""
        self.stream.write(data)

    def write_response(self, head: bytes, body: bytes | bytearray) -> None:
        """Send a complete response."""
        if len(body) <= JOINED_BODY_BYTES:
            self.stream.write(head + body)
        else:
            self.stream.write(head)
            self.stream.write(body)

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
        self._release_served()
        self._begin_phase()
        if is_closing or (self._ends_after_queue and not self._queue):
            self.shut_down()
        elif self._queue:
            self._server.loop.call_later(0, self._serve_next)

    def shut_down(self) -> None:
        """Shut the connection down once all responses are sent."""
        if self.shut_down_at is None and not self.stream.is_closed:
            self.shut_down_at = self._server.loop.now()
            self._server.record_shut_down(self)
            self._release_all()
            self.stream.pause(False)
            self.stream.finish()

    def abort(self) -> None:
        """Close the connection at once."""
        self._current = None
        self._release_all()
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
        # Responses of further requests would pile up behind one that is not read.
        may_serve = not self.stream.is_closed and not self.stream.is_congested
        if self._current is None and self._queue and may_serve:
            self._served = self._queue.popleft()
            self._served.buffer.begin_service()
            self._current = Exchange(self, self._served.request)
            self.served_requests += 1
            self._server.record_serving(self)
            self._server.handler(self._current)
        self.stream.pause(self._has_enough_queued())

    def _begin_phase(self) -> None:
        """Begin to rest, or to receive a request."""
        self.phase_started_at = self._server.loop.now()
        if self._current is None:
            self._server.record_waiting(self)

    def _has_enough_queued(self) -> bool:
        queued_bytes = sum(received.buffer.size for received in self._queue)
        return len(self._queue) >= MAXIMUM_QUEUED_REQUESTS or queued_bytes > SMALL_REQUEST_BYTES

    def _count_head(self, size: int) -> None:
        """Count the memory of what was received of a head: its bytes, and each of its fields."""
        size += FIELD_BYTES * len(self._parser.headers)
        if self._buffer is not None and size > self._counted_head_bytes:
            self._buffer.add(size - self._counted_head_bytes)
            self._counted_head_bytes = size

    def _drop_incoming(self) -> None:
        """Drop the incomplete request."""
        buffer, self._buffer = self._buffer, None
        if buffer is not None:
            buffer.release()

    def _release_served(self) -> None:
        served, self._served = self._served, None
        if served is not None:
            served.release()

    def _release_all(self) -> None:
        """Drop the request being served, those that are queued, and the incomplete one."""
        self._release_served()
        for received in self._queue:
            received.release()
        self._queue.clear()
        self._drop_incoming()

    def _has_too_many_fields(self) -> bool:
        """Return whether a head, the trailer fields or the head of a chunk are too long."""
        limit = self._server.limits.maximum_header_bytes
        return self._is_in_message and self._bytes_since_content > limit

    def _reset(self) -> None:
        """Close the connection at once with a TCP reset, as if its caller had."""
        log_warning("connection_reset", unread=self.stream.unsent_bytes)
        self.stream.reset()
        self.on_closed(False)

    def _discard(self, data: bytes) -> None:
        """Drop what arrives after a rejection; reset a connection on which that does not end.

        A caller that sends its whole request before it reads must be able to read the response.
        """
        self._discarded_bytes += len(data)
        is_too_much = self._discarded_bytes > self._server.limits.maximum_body_bytes
        if is_too_much and self.shut_down_at is not None:
            self._reset()

    def _refuse(self, buffer: RequestBuffer) -> None:
        """Refuse a request for which there is no memory, and all that follow it."""
        log_warning("request_memory_full", held=self._server.memory.requests.size)
        while any(received.buffer is buffer for received in self._queue):
            self._queue.pop().release()
        retry_after_s = random.uniform(*MEMORY_RETRY_S)
        self._reject(503, [(b"Retry-After", b"%.2f" % retry_after_s)])

    def _reject(self, status: int, headers: Headers = NO_HEADERS) -> None:
        """Reject the input: respond with an error, or close after the responses still due."""
        if self._is_rejected or self.shut_down_at is not None:
            return
        self._is_rejected = True
        self._drop_incoming()
        self._parser.drop_fields()
        if self._current is None and not self._queue:
            head = response_head(status, headers, b"Content-Length: 0", True)
            self.stream.write(head)
            self.shut_down()
        else:
            self._ends_after_queue = True
