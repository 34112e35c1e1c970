"""The HTTP/1.1 client side: one connection, one request at a time."""

from collections.abc import Callable
from typing import Any, Protocol

import httptools

from martenrun.net.http import Headers, find_header
from martenrun.net.loop import Loop, Timer
from martenrun.net.stream import Stream, open_stream

CONNECT_TIMEOUT_S = 0.4
"""How long a connection may take to come up, in seconds."""


class AnswerReader(Protocol):
    """What the answer to one request is reported to."""

    def on_sent(self) -> None:
        """The connection is up: the request's bytes begin to leave."""

    def on_head(self, status: int, headers: Headers, length: int | None) -> None:
        """An answer has begun."""

    def on_body(self, data: bytes) -> None:
        """A part of the answer's body."""

    def on_complete(self) -> None:
        """The answer is whole; the connection has been given back or closed."""

    def on_broken(self, was_sent: bool) -> None:
        """The connection ended first; ``was_sent``: bytes of the request may have left."""


class ClientConnection:
    """A connection to one address.

    Args:
        loop: the loop it is served on.
        address: ``IP:port``.
        on_idle: called when a whole answer leaves the connection fit for another request.
        on_end: called once when the connection can no longer be used.

    Attributes:
        was_kept: whether it has carried a whole answer and rested since.
        idle_since: steady time from which it rests.
        keep_alive_s: how long the other side lets it rest, in seconds, or None if not told.
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
        self._reader: AnswerReader | None = None
        self._request = b""
        self._expected_id: tuple[bytes, bytes] | None = None
        self._parser: Any = None
        self._headers: Headers = []
        self._is_skipped = False
        self._is_until_close = False
        self._may_be_kept = True
        self._is_connected = False
        self._was_answered = False
        self.was_kept = False
        self.idle_since = loop.now()
        self.keep_alive_s: float | None = None
        self._connecting: Timer | None = loop.call_later(CONNECT_TIMEOUT_S, self._connect_late)
        self._stream: Stream | None = open_stream(loop, address, self)

    @property
    def is_open(self) -> bool:
        """Whether the connection can still be used."""
        return self._stream is not None

    def send(
        self, request: bytes, reader: AnswerReader, expected_id: tuple[bytes, bytes] | None = None
    ) -> None:
        """Send a request.

        Args:
            request: its bytes.
            reader: told of the answer.
            expected_id: a header field that the answer must carry to be this request's; whole
                answers with another value belong to earlier requests and are passed over.
        """
        self._reader = reader
        self._expected_id = expected_id
        self._request = request
        self._parser = httptools.HttpResponseParser(self)
        self._was_answered = False
        if self._is_connected:
            self._send_now()

    def pause(self, is_paused: bool) -> None:
        """Stop or resume reading the answer."""
        if self._stream is not None:
            self._stream.pause(is_paused)

    def close(self) -> None:
        """Close at once; the reader hears no more."""
        self._reader = None
        self._end()

    # What the stream reports

    def on_connected(self) -> None:
        """The connection is up."""
        self._is_connected = True
        self._stop_connect_timer()
        if self._reader is not None:
            self._send_now()

    def on_data(self, data: bytes) -> None:
        """Parse what has arrived; bytes that nobody waits for end the connection."""
        if self._reader is None:
            self._end()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade):
            self._break()
            return
        if self._was_answered:
            self._finish()

    def on_closed(self, is_clean: bool) -> None:
        """The peer has ended the connection."""
        ends_answer = is_clean and self._is_until_close and not self._is_skipped
        if ends_answer and self._reader is not None:
            self._may_be_kept = False
            self._was_answered = True
            self._finish()
        else:
            self._break()

    def on_drained(self) -> None:
        """Requests are written whole; nothing waits for this."""

    # What the parser reports

    def on_message_begin(self) -> None:
        """An answer begins."""
        if self._was_answered:
            # More than one whole answer: nothing further on this connection can be trusted.
            self._may_be_kept = False
        self._headers = []
        self._is_skipped = self._was_answered

    def on_header(self, name: bytes, value: bytes) -> None:
        """A header field."""
        self._headers.append((name, value))

    def on_headers_complete(self) -> None:
        """A head is complete."""
        status = self._parser.get_status_code()
        if self._was_answered or status < 200:
            self._is_skipped = True
            return
        if self._expected_id is not None:
            name, value = self._expected_id
            if find_header(self._headers, name) != value:
                self._is_skipped = True
                self._may_be_kept = False
                return
        length = self._length(status)
        if not self._parser.should_keep_alive():
            self._may_be_kept = False
        self._read_keep_alive()
        if self._reader is not None:
            self._reader.on_head(status, self._headers, length)

    def on_body(self, data: bytes) -> None:
        """A part of a body."""
        if not self._is_skipped and not self._was_answered and self._reader is not None:
            self._reader.on_body(data)

    def on_message_complete(self) -> None:
        """An answer is whole."""
        if not self._is_skipped:
            self._was_answered = True

    def _length(self, status: int) -> int | None:
        """Return the answer's length, or None where chunks or the connection's end tell it."""
        length = find_header(self._headers, b"content-length")
        if length is not None:
            return int(length)
        is_chunked = b"chunked" in (find_header(self._headers, b"transfer-encoding") or b"").lower()
        self._is_until_close = not is_chunked and status not in (204, 304)
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
        # The reader may have given the request up in on_sent().
        if self._reader is not None and self._stream is not None:
            self._stream.write(self._request)

    def _finish(self) -> None:
        reader = self._reader
        self._reader = None
        has_unsent = self._stream is None or self._stream.unsent_bytes > 0
        if self._may_be_kept and not has_unsent and self._stream is not None:
            self.idle_since = self._loop.now()
            self.was_kept = True
            self._on_idle(self)
        else:
            self._end()
        if reader is not None:
            reader.on_complete()

    def _break(self) -> None:
        reader = self._reader
        was_sent = self._is_connected
        self._reader = None
        self._end()
        if reader is not None:
            reader.on_broken(was_sent)

    def _connect_late(self) -> None:
        self._connecting = None
        self._break()

    def _end(self) -> None:
        self._stop_connect_timer()
        stream = self._stream
        self._stream = None
        if stream is not None:
            stream.close()
            self._on_end(self)

    def _stop_connect_timer(self) -> None:
        if self._connecting is not None:
            self._connecting.cancel()
            self._connecting = None
