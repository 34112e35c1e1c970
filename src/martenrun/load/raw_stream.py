"""Many streamed completions on one thread, for measuring what the path adds.

A client with a thread for each stream would itself be what is measured; this one reads all
streams with a selector and keeps only the arrival times of their events.
"""

import selectors
import socket
import time
from dataclasses import dataclass, field

import msgspec

from martenrun.wire.transport import parse_address

_READ_BYTES = 65_536
_EVENT = b"data: {"
_DONE = b"data: [DONE]"


@dataclass(frozen=True)
class StreamTarget:
    """Where a stream is asked for: an edge, or an engine when ``key`` is empty."""

    address: str
    model: str
    key: str = ""


@dataclass
class StreamTimes:
    """What was seen of one stream; times are on the monotonic clock, in seconds."""

    started: float
    events: list[float] = field(default_factory=list)
    is_whole: bool = False
    status: int = 0
    _tail: bytes = b""

    @property
    def first_token_s(self) -> float:
        """Time to the first event."""
        return self.events[0] - self.started

    @property
    def gaps_s(self) -> list[float]:
        """Times between two events."""
        return [later - earlier for earlier, later in zip(self.events, self.events[1:])]  # noqa: B905

    def take(self, data: bytes, now: float) -> None:
        """Count the events in received bytes; one split over two reads is counted once."""
        if not self.status:
            self.status = int(data.split(b" ", 2)[1])
        text = self._tail + data
        self.events += [now] * (text.count(_EVENT) - self._tail.count(_EVENT))
        self.is_whole = self.is_whole or _DONE in text
        self._tail = text[-len(_DONE) :]


def encode_request(target: StreamTarget, prompt: str, output_tokens: int) -> bytes:
    """Return the bytes of an HTTP request for a streamed completion."""
    body = msgspec.json.encode(
        {"model": target.model, "prompt": prompt, "max_tokens": output_tokens, "stream": True}
    )
    head = [
        "POST /v1/completions HTTP/1.1",
        f"Host: {target.address}",
        "Content-Type: application/json",
        f"Content-Length: {len(body)}",
        "Connection: close",
    ]
    if target.key:
        head.append(f"Authorization: Bearer {target.key}")
    return "\r\n".join([*head, "", ""]).encode() + body


class StreamReader:
    """Starts streams and reads them all until each has ended."""

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        self._open = 0
        self.streams: list[StreamTimes] = []

    def start(self, target: StreamTarget, prompt: str, output_tokens: int) -> None:
        """Open a connection and send one request."""
        request = encode_request(target, prompt, output_tokens)
        times = StreamTimes(time.monotonic())
        sock = socket.create_connection(parse_address(target.address), timeout=5.0)
        sock.sendall(request)
        sock.setblocking(False)
        self._selector.register(sock, selectors.EVENT_READ, times)
        self._open += 1
        self.streams.append(times)

    def read(self, seconds: float) -> None:
        """Read whatever arrives for some time, or until every stream has ended."""
        until = time.monotonic() + seconds
        while self._open and time.monotonic() < until:
            for key, _mask in self._selector.select(timeout=max(0.0, until - time.monotonic())):
                assert isinstance(key.fileobj, socket.socket)
                self._receive(key.fileobj, key.data)

    def close(self) -> None:
        """Close the streams that have not ended."""
        for key in list(self._selector.get_map().values()):
            assert isinstance(key.fileobj, socket.socket)
            self._end(key.fileobj)
        self._selector.close()

    def _receive(self, sock: socket.socket, times: StreamTimes) -> None:
        try:
            data = sock.recv(_READ_BYTES)
        except OSError:
            data = b""
        if data:
            times.take(data, time.monotonic())
        else:
            self._end(sock)

    def _end(self, sock: socket.socket) -> None:
        self._selector.unregister(sock)
        sock.close()
        self._open -= 1
