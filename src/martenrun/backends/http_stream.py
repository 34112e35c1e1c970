"""The body of one long HTTP response, read without blocking.

The request's bytes are made and the response's head is read by :mod:`http.client`; chunks are
taken apart, and a stated length is counted, by waitress's incremental receivers.  Whatever arrives
is taken in at once, so that one thread can follow many responses of which any may be slow, silent
or broken.

See also: :mod:`martenrun.backends.engine_stream`, :mod:`martenrun.backends.streamed_answer`.
"""

import http.client
import io
import socket
from typing import TYPE_CHECKING, cast

from urllib3.connection import HTTPConnection

if TYPE_CHECKING:
    from waitress.receiver import ChunkedReceiver, FixedStreamReceiver

MAXIMUM_HEAD_BYTES = 16 * 1024
"""Longest head of a response that is accepted, in bytes."""

_HEAD_END = b"\r\n\r\n"


class HttpStreamError(Exception):
    """The response cannot be read on; the remedy is another request."""


class _Received:
    """What a connection or a response of :mod:`http.client` uses of a socket."""

    def __init__(self, data: bytes = b"") -> None:
        self._data = data
        self.sent = bytearray()

    def sendall(self, data: bytes) -> None:
        """Keep what is to be sent."""
        self.sent += data

    def settimeout(self, _timeout_s: float | None) -> None:
        """Nothing is waited for."""

    def makefile(self, _mode: str) -> io.BytesIO:
        """Return what was received."""
        return io.BytesIO(self._data)


def request_bytes(host: str, port: int, path: str) -> bytes:
    """Return a GET request as it goes over the connection."""
    connection = HTTPConnection(host, port)
    written = _Received()
    connection.sock = cast(socket.socket, written)
    connection.request("GET", path, headers={"Accept": "text/event-stream"})
    connection.sock = None
    return bytes(written.sent)


class _Pieces:
    """Buffer of a chunk receiver that hands its content over."""

    def __init__(self) -> None:
        self._pieces: list[bytes] = []

    def append(self, data: bytes) -> None:
        """Add content."""
        self._pieces.append(data)

    def take(self) -> bytes:
        """Return and forget the content so far."""
        data = b"".join(self._pieces)
        self._pieces.clear()
        return data


class StreamedResponse:
    """Takes in a response piece by piece.

    Attributes:
        status: the status code; 0 until the head is whole.
        content_type: media type without parameters.
    """

    def __init__(self) -> None:
        self.status = 0
        self.content_type = ""
        self._head = b""
        self._pieces = _Pieces()
        self._receiver: ChunkedReceiver | FixedStreamReceiver | None = None

    def received(self, data: bytes) -> bytes:
        """Take in received bytes and return what they add to the body.

        Raises:
            HttpStreamError: the response is not HTTP.
        """
        if not self.status:
            data = self._take_head(data)
            if not self.status:
                return b""
        if self._receiver is None:
            return data
        self._receiver.received(data)
        if self._receiver.error is not None:
            raise HttpStreamError(f"the chunks cannot be read: {self._receiver.error.body}")
        return self._pieces.take()

    @property
    def is_complete(self) -> bool:
        """Whether the last chunk, or all of the stated length, has been received."""
        return self._receiver is not None and bool(self._receiver.completed)

    def _take_head(self, data: bytes) -> bytes:
        """Add to the head; returns what follows it once it is whole."""
        self._head += data
        head, end, rest = self._head.partition(_HEAD_END)
        if not end:
            if len(self._head) > MAXIMUM_HEAD_BYTES:
                raise HttpStreamError(f"the head is over {MAXIMUM_HEAD_BYTES} bytes")
            return b""
        response = http.client.HTTPResponse(cast(socket.socket, _Received(head + end)))
        try:
            response.begin()
        except http.client.HTTPException as error:
            raise HttpStreamError(f"the head cannot be read: {error!r}") from error
        self.status = response.status
        self.content_type = response.headers.get_content_type()
        # Imported with the first answer: a starting node joins the others before that.
        from waitress.receiver import ChunkedReceiver, FixedStreamReceiver

        if response.chunked:
            self._receiver = ChunkedReceiver(self._pieces)
        elif response.length is not None:
            self._receiver = FixedStreamReceiver(response.length, self._pieces)
        self._head = b""
        return rest
