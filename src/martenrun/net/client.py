"""An HTTP/1.1 client connection that serves one request at a time."""

import errno
from collections.abc import Callable
from typing import Any, Protocol

import httptools

from martenrun.net.http import JOINED_BODY_BYTES, Headers, find_header
from martenrun.net.loop import Loop, Timer
from martenrun.net.response_limits import ResponseSize
from martenrun.net.stream import Stream, open_stream

CONNECT_TIMEOUT_S = 0.4
"""Timeout for establishing a connection, in seconds."""

MAXIMUM_REQUESTS = 200
"""Number of requests after which a connection is closed; bounds the memory for their ids."""


class ResponseReader(Protocol):
    """Receives the response to one request."""

    def on_sent(self) -> None:
        """Called when the connection is established, just before the request is sent."""

    def on_head(self, status: int, headers: Headers, length: int | None) -> None:
        """Called with the head of the response."""

    def on_body(self, data: bytes) -> None:
        """Called with a part of the response's body."""

    def on_complete(self) -> None:
        """Called after a complete response; the connection is already idle or closed."""

    def on_broken(self, was_sent: bool) -> None:
        """Called if the connection fails; ``was_sent``: bytes of the request may have been sent."""


class ClientConnection:
    """A connection to one address.

    Args:
        loop: the loop that serves the connection.
        address: ``IP:port``.
        on_idle: called after a complete response if the connection can be reused.
        on_end: called once when the connection can no longer be used.

    Raises:
        OSError: the connection cannot be opened; nothing of it remains.

    Attributes:
        was_kept_alive: whether the connection was kept open after an earlier response.
        opened_at: monotonic time at which it was opened.
        failure: how it failed, or an empty string.
        is_close_delimited: whether the end of the last request's response is that of the
            connection.
        idle_since: monotonic time since which the connection is idle.
        keep_alive_s: keep-alive timeout that the peer announced, in seconds, or None.
    """

    def __init__(
        self,
        loop: Loop,
        address: str,
        on_idle: Callable[["ClientConnection"], None],
        on_end: Callable[["ClientConnection"], None],
    ) -> None:
        self._loop = loop
        self.address = address
        self._on_idle = on_idle
        self._on_end = on_end
        self._reader: ResponseReader | None = None
        self._request = b""
        self._body: bytes | bytearray = b""
        self._expected_id: tuple[bytes, bytes] | None = None
        self._sent_ids: set[int] = set()
        self._parser: Any = None
        self._headers: Headers = []
        self._size = ResponseSize()
        self._skips_response = False
        self.is_close_delimited = False
        self._may_keep_alive = True
        self._is_connected = False
        self._is_response_complete = False
        self.was_kept_alive = False
        self.opened_at = loop.now()
        self.failure = ""
        self.idle_since = self.opened_at
        self.keep_alive_s: float | None = None
        self._stream: Stream | None = open_stream(loop, address, self)
        self._connect_timer: Timer | None = loop.call_later(
            CONNECT_TIMEOUT_S, self._on_connect_timeout
        )

    @property
    def is_open(self) -> bool:
        """Whether the connection can still be used."""
        return self._stream is not None

    def has_carried(self, request_id: bytes) -> bool:
        """Return whether a request with this id was sent on this connection, or might have been.

        It must not be sent here again: a late copy of the first response has the same id.
        """
        return hash(request_id) in self._sent_ids

    def send(
        self,
        request: bytes,
        reader: ResponseReader,
        expected_id: tuple[bytes, bytes] | None = None,
        body: bytes | bytearray = b"",
    ) -> None:
        """Send a request.

        Args:
            request: its bytes, or its head if a body follows.
            reader: receives the response.
            expected_id: name and value of a header field that the response must carry; a response
                with another value belongs to an earlier request and is skipped.  The value must be
                new on this connection; see :meth:`has_carried`.
            body: its body, which must not change any more.
        """
        self._reader = reader
        self._expected_id = expected_id
        if expected_id is not None:
            self._sent_ids.add(hash(expected_id[1]))
            if len(self._sent_ids) >= MAXIMUM_REQUESTS:
                self._may_keep_alive = False
        self._request = request
        self._body = body
        self._parser = httptools.HttpResponseParser(self)
        self._size = ResponseSize()
        self.is_close_delimited = False
        self._is_response_complete = False
        if self._is_connected:
            self._send_now()

    def pause(self, is_paused: bool) -> None:
        """Stop or resume reading the response."""
        if self._stream is not None:
            self._stream.pause(is_paused)

    def close(self) -> None:
        """Close at once; the reader is not called again.

        A request in progress is withdrawn by a reset: after a plain close the system would still
        deliver what a partition holds up.
        """
        is_withdrawn = self._reader is not None and self._is_connected
        self._reader = None
        if is_withdrawn and self._stream is not None:
            self._stream.reset()
        self._close_stream()

    # Stream events

    def on_connected(self) -> None:
        """Send the request, if there is one already."""
        self._is_connected = True
        self._stop_connect_timer()
        if self._reader is not None:
            self._send_now()

    def on_data(self, data: bytes) -> None:
        """Parse received bytes; close the connection if no response is expected."""
        if self._reader is None:
            self._close_stream()
            return
        self._size.add_received(len(data))
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._fail("invalid response")
            return
        if self._size.is_exceeded:
            self._fail("response too large")
            return
        if self._is_response_complete:
            self._finish()

    def on_closed(self, is_clean: bool) -> None:
        """Complete a response that the close delimits; otherwise fail the request."""
        completes_response = is_clean and self.is_close_delimited and not self._skips_response
        if completes_response and self._reader is not None:
            self._may_keep_alive = False
            self._is_response_complete = True
            self._finish()
        else:
            self._fail(self._close_reason(is_clean))

    def on_drained(self) -> None:
        """Do nothing: a request is written in one piece."""

    # Parser events

    def on_message_begin(self) -> None:
        """Reset the parsing state for a new response."""
        if self._is_response_complete:
            # More than one complete response: further data on this connection cannot be trusted.
            self._may_keep_alive = False
        self._headers = []
        self._skips_response = self._is_response_complete

    def on_header(self, name: bytes, value: bytes) -> None:
        """Store a header or trailer field."""
        if self._size.accepts_field(name, value):
            self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Pass the head on; skip interim responses and responses to earlier requests."""
        status = self._parser.get_status_code()
        if self._is_response_complete or status < 200:
            self._skips_response = True
            return
        if self._expected_id is not None:
            name, value = self._expected_id
            if find_header(self._headers, name) != value:
                self._skips_response = True
                self._may_keep_alive = False
                return
        length = self._body_length(status)
        if not self._parser.should_keep_alive():
            self._may_keep_alive = False
        self._read_keep_alive()
        if self._reader is not None:
            self._reader.on_head(status, self._headers, length)

    def on_body(self, data: bytes) -> None:
        """Pass a part of the body on."""
        if not self._skips_response and not self._is_response_complete and self._reader is not None:
            self._size.add_body(len(data))
            self._reader.on_body(data)

    def on_message_complete(self) -> None:
        """Note that the response is complete."""
        if not self._skips_response:
            self._is_response_complete = True

    def _body_length(self, status: int) -> int | None:
        """Return the body's length, or None if chunks or the connection's close delimit it.

        A body in any transfer coding is complete only if the parser finds the end of its chunks.
        """
        length = find_header(self._headers, b"content-length")
        if length is not None:
            return int(length)
        is_coded = find_header(self._headers, b"transfer-encoding") is not None
        self.is_close_delimited = not is_coded and status not in (204, 304)
        return None

    def _read_keep_alive(self) -> None:
        value = find_header(self._headers, b"keep-alive") or b""
        for part in value.split(b","):
            name, _, seconds = part.strip().partition(b"=")
            if name.lower() == b"timeout" and seconds.isdigit():
                self.keep_alive_s = float(seconds)

    def _send_now(self) -> None:
        if self._reader is None or self._stream is None:
            return
        self._reader.on_sent()
        # The reader may have cancelled the request in on_sent().
        if self._reader is not None and self._stream is not None:
            request, body = self._request, self._body
            self._request = self._body = b""
            if len(body) <= JOINED_BODY_BYTES:
                self._stream.write(request + body)
            else:
                self._stream.write(request)
                self._stream.write_shared(body)

    def _finish(self) -> None:
        reader = self._reader
        self._reader = None
        has_unsent = self._stream is None or self._stream.unsent_bytes > 0
        if self._may_keep_alive and not has_unsent and self._stream is not None:
            self.idle_since = self._loop.now()
            self.was_kept_alive = True
            self._on_idle(self)
        else:
            self._close_stream()
        if reader is not None:
            reader.on_complete()

    def _close_reason(self, is_clean: bool) -> str:
        if self._is_connected:
            return "closed" if is_clean else "reset"
        error = 0 if self._stream is None else self._stream.error
        return f"connect failed: {errno.errorcode.get(error, str(error))}"

    def _fail(self, failure: str) -> None:
        self.failure = failure
        reader = self._reader
        was_sent = self._is_connected
        self._reader = None
        self._close_stream()
        if reader is not None:
            reader.on_broken(was_sent)

    def _on_connect_timeout(self) -> None:
        self._connect_timer = None
        self._fail("connect timed out")

    def _close_stream(self) -> None:
        self._stop_connect_timer()
        self._request = self._body = b""
        stream = self._stream
        self._stream = None
        if stream is not None:
            stream.close()
            self._on_end(self)

    def _stop_connect_timer(self) -> None:
        if self._connect_timer is not None:
            self._connect_timer.cancel()
            self._connect_timer = None
