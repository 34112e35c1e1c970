"""Adapter of the engines' push streams: one held response of descriptions and cache events.

An :class:`EngineStream` never blocks: its owner waits on the socket with a selector and calls
:meth:`EngineStream.advance` when it is ready.

See also: docs/PROTOCOL.md, :mod:`martenrun.node.followed_engine`, :mod:`martenrun.node.feeds`.
"""

import contextlib
import os
import socket
from dataclasses import dataclass

import msgspec

from martenrun.backends.cache_events import CacheEvents, FeedPosition
from martenrun.backends.engine import RunnerDescription
from martenrun.backends.http_stream import HttpStreamError, StreamedResponse, request_bytes
from martenrun.identity.chain import as_array

PACE_S = 0.5
"""Time between two pushes of load that an engine is asked for, in seconds."""

EVENTS_PACE_S = 1.0
"""Time between two pushes of cache events that an engine is asked for, in seconds.

Applying one costs the loop about 50 us and little more for each event: fewer are cheaper.
"""

KEEP_ALIVE_S = 1.0
"""Longest silence of a healthy stream, in seconds."""

READ_BYTES = 64 * 1024
"""Most bytes read from one stream at a time."""

MAXIMUM_EVENT_BYTES = 4 * 1024 * 1024
"""Longest event accepted, in bytes."""

_EVENT_END = b"\n\n"
_DATA = b"data: "
_COMMENT = b":"
_EVENT_STREAM = "text/event-stream"
_ABSENT_STATUSES = frozenset({404, 405, 406, 501})


class StreamBrokenError(Exception):
    """The stream has ended or cannot be read on; ask again from the known position."""


class NoPushStreamError(Exception):
    """The engine speaks the dialect without push streams; poll it instead."""


class PushedEntry(msgspec.Struct):
    """Net change over the entries ``first`` to ``last``; hashes are 8 bytes each."""

    first: int
    last: int
    stored: bytes = b""
    removed: bytes = b""


class Push(msgspec.Struct):
    """One event of a stream; ``last_sequence`` counts the entries that the engine lost, too."""

    incarnation: str
    last_sequence: int
    description: RunnerDescription | None = None
    entries: list[PushedEntry] = []


_PUSH = msgspec.json.Decoder(Push)


@dataclass(frozen=True, slots=True)
class StreamQuestion:
    """What a stream is asked for.

    Attributes:
        position: how far the cache events are known.
        cache_events: whether they are wanted.
    """

    position: FeedPosition
    cache_events: bool

    @property
    def path(self) -> str:
        """Path and query of the request."""
        return (
            f"/v1/runner/stream?after={self.position.sequence}"
            f"&incarnation={self.position.incarnation}&pace_s={PACE_S}"
            f"&events_pace_s={EVENTS_PACE_S}&cache_events={int(self.cache_events)}"
        )


def pushed_events(position: FeedPosition, push: Push) -> tuple[FeedPosition, list[CacheEvents]]:
    """Return the position after a push and the changes it tells, in order.

    A new incarnation starts again at sequence 1.  Replayed entries are dropped.  A change that
    begins beyond the next number, and numbers without entries at the end, are gaps.
    """
    known = position.sequence if push.incarnation == position.incarnation else 0
    changes: list[CacheEvents] = []
    for entry in push.entries:
        if entry.last <= known:
            continue
        # An entry that overlaps what is known tells more than the net change since: its removed
        # blocks are gone in any case, and its stored ones held, at its end.
        stored, removed = as_array(entry.stored), as_array(entry.removed)
        gap = entry.first > known + 1
        first = known + 1
        changes.append(CacheEvents(push.incarnation, first, entry.last, stored, removed, gap))
        known = entry.last
    if push.last_sequence > known:
        nothing = as_array(b"")
        changes.append(
            CacheEvents(push.incarnation, known + 1, push.last_sequence, nothing, nothing, True)
        )
        known = push.last_sequence
    return FeedPosition(push.incarnation, known), changes


@dataclass(frozen=True, slots=True)
class Received:
    """What one read brought.

    Attributes:
        pushes: whole events, in order.
        size: bytes read.
        has_word: the engine has said anything in the stream's body, keep-alives included.
    """

    pushes: list[Push]
    size: int
    has_word: bool


class PushReader:
    """Takes a stream's bytes apart into pushes, however they are cut."""

    def __init__(self) -> None:
        self._response = StreamedResponse()
        self._buffer = b""

    def received(self, data: bytes) -> Received:
        """Take in received bytes.

        Raises:
            StreamBrokenError: they cannot be read, or end the stream.
            NoPushStreamError: the engine answers otherwise than with an event stream.
        """
        try:
            body = self._response.received(data)
        except HttpStreamError as error:
            raise StreamBrokenError(str(error)) from error
        self._check_status()
        pushes = self._pushes(body)
        if not pushes and self._response.is_complete:
            raise StreamBrokenError("the engine ended the stream")
        return Received(pushes, len(data), bool(body))

    def _check_status(self) -> None:
        response = self._response
        if not response.status:
            return
        if response.status in _ABSENT_STATUSES:
            raise NoPushStreamError(f"the engine answered {response.status}")
        if response.status != 200:
            raise StreamBrokenError(f"the engine answered {response.status}")
        if response.content_type != _EVENT_STREAM:
            raise NoPushStreamError(f"the engine answered with {response.content_type}")

    def _pushes(self, body: bytes) -> list[Push]:
        """Return the whole events up to here, comments left out."""
        *events, self._buffer = (self._buffer + body).split(_EVENT_END)
        if len(self._buffer) > MAXIMUM_EVENT_BYTES:
            raise StreamBrokenError(f"an event is over {MAXIMUM_EVENT_BYTES} bytes")
        return [_push(event) for event in events if not event.startswith(_COMMENT)]


class EngineStream:
    """One connection to an engine's push stream.

    Args:
        address: ``IP:port`` of the engine.
        question: what to ask.

    Raises:
        StreamBrokenError: the address cannot be connected to.
    """

    def __init__(self, address: str, question: StreamQuestion) -> None:
        host, _, port = address.rpartition(":")
        self._reader = PushReader()
        self.is_connected = False
        try:
            self._request = request_bytes(host, int(port), question.path)
            self.socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        except (OSError, ValueError) as error:
            raise StreamBrokenError(f"no connection: {error}") from error
        self.socket.setblocking(False)
        try:
            self.socket.connect((host, int(port)))
        except BlockingIOError:
            # It goes on; the socket can be written to when it has ended.
            return
        except (OSError, OverflowError) as error:
            self.close()
            raise StreamBrokenError(f"no connection: {error}") from error

    def send(self) -> None:
        """Send the request once the socket can be written to; raises StreamBrokenError."""
        code = self.socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            raise StreamBrokenError(f"no connection: {os.strerror(code)}")
        try:
            # A new connection's buffer takes the few hundred bytes whole.
            sent = self.socket.send(self._request)
        except OSError as error:
            raise StreamBrokenError(f"the request was not sent: {error}") from error
        if sent != len(self._request):
            raise StreamBrokenError("the request was sent in part only")
        self.is_connected = True

    def receive(self) -> Received:
        """Read what has arrived.

        Raises:
            StreamBrokenError: the stream has ended or cannot be read.
            NoPushStreamError: the engine answers otherwise than with an event stream.
        """
        try:
            data = self.socket.recv(READ_BYTES)
        except BlockingIOError:
            return Received([], 0, False)
        except OSError as error:
            raise StreamBrokenError(f"the connection broke: {error}") from error
        if not data:
            raise StreamBrokenError("the engine closed the stream")
        return self._reader.received(data)

    def close(self) -> None:
        """Close the connection."""
        with contextlib.suppress(OSError):
            self.socket.close()


def _push(event: bytes) -> Push:
    try:
        push = _PUSH.decode(event.removeprefix(_DATA))
    except msgspec.MsgspecError as error:
        raise StreamBrokenError(f"an event cannot be read: {error}") from error
    if any(len(entry.stored) % 8 or len(entry.removed) % 8 for entry in push.entries):
        raise StreamBrokenError("an event holds half a block hash")
    return push
