"""A driver thread that moves the bytes of many streams from engines to callers.

A thread of its own for every stream would be woken for every token, wait for the interpreter's
lock after each system call, and hold up the others while it does.  This one thread waits for all
engines' sockets at once and writes what has come to the callers' connections; each request's
own thread only waits for the end.

See also: ``docs/design/requests.md``, section "One thread for all streams".
"""

import select
import threading
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from functools import partial
from typing import Protocol

CHECK_INTERVAL_S = 0.05
"""Time between two looks at silent engines and slow callers, in seconds."""

IDLE_S = 1.0
"""Time without streams after which the thread ends, in seconds."""

MAXIMUM_BACKLOG_BYTES = 512 * 1024
"""Bytes that wait for one caller beyond which no more of its stream is read."""


class CallerOutput(Protocol):
    """The connection of a caller whose answer has begun."""

    def write(self, data: bytes) -> bool:
        """Send or buffer a part of the body, without waiting; returns whether it can be."""

    @property
    def backlog_bytes(self) -> int:
        """Bytes that wait for the caller to read."""


class EngineStream(Protocol):
    """A streamed answer of an engine."""

    is_over: bool

    @property
    def silence_s(self) -> float:
        """Longest time between two reads, in seconds."""

    def follow(self) -> int:
        """Prepare for reads that never wait; returns the descriptor to wait on."""

    def read_ready(self) -> Iterator[bytes]:
        """Read what has arrived, once, and yield the events that it completes."""

    def broke(self, reason: str) -> None:
        """End the stream: it cannot be read on."""

    def leave(self) -> None:
        """End the stream: the caller cannot be written to."""


@dataclass
class _Relayed:
    """One stream and where it goes.

    Attributes:
        failure: a fault of our own that ended it.
        is_paused: whether it is not read because its caller is slow.
    """

    stream: EngineStream
    output: CallerOutput
    passing_on: Callable[[], None]
    last_read: float
    failure: Exception | None = None
    is_paused: bool = False
    ended: threading.Event = field(default_factory=threading.Event)


class StreamRelay:
    """All streams that one process moves; its thread runs while there are any."""

    def __init__(self) -> None:
        self._lock = threading.Lock()
        self._streams: dict[int, _Relayed] = {}
        self._poll: select.epoll | None = None

    def carry(
        self, stream: EngineStream, output: CallerOutput, passing_on: Callable[[], None]
    ) -> None:
        """Move a stream to its end; waits for it.

        Args:
            stream: an answer of which the caller has everything read so far.
            output: the caller's connection.
            passing_on: called before each event is passed on, from the relay's thread.
        """
        relayed = _Relayed(stream, output, passing_on, time.monotonic())
        descriptor = stream.follow()
        with self._lock:
            if self._poll is None:
                self._poll = poll = select.epoll()
                run = partial(self._run, poll)
                threading.Thread(target=run, name="relay", daemon=True).start()
            self._streams[descriptor] = relayed
            self._poll.register(descriptor, select.EPOLLIN)
        relayed.ended.wait()
        if relayed.failure is not None:
            raise relayed.failure

    def _run(self, poll: select.epoll) -> None:
        now = time.monotonic()
        next_check, idle_since = now + CHECK_INTERVAL_S, now
        while True:
            ready = poll.poll(CHECK_INTERVAL_S)
            now = time.monotonic()
            for descriptor, _events in ready:
                self._move(poll, descriptor, self._streams[descriptor], now)
            if now >= next_check:
                self._check(poll, now)
                next_check = now + CHECK_INTERVAL_S
            if self._streams:
                idle_since = now
            elif now - idle_since >= IDLE_S and self._end_if_idle(poll):
                return

    def _end_if_idle(self, poll: select.epoll) -> bool:
        """End unless a stream has come in the meantime."""
        with self._lock:
            if self._streams:
                return False
            self._poll = None
        poll.close()
        return True

    def _move(self, poll: select.epoll, descriptor: int, relayed: _Relayed, now: float) -> None:
        """Pass on what one engine has sent; a fault ends only this stream."""
        relayed.last_read = now
        stream = relayed.stream
        try:
            pieces = []
            for event in stream.read_ready():
                relayed.passing_on()
                pieces.append(event)
            if pieces and not relayed.output.write(b"".join(pieces)):
                stream.leave()
        except Exception as failure:  # It is raised again by the request's own thread.
            relayed.failure = failure
        if stream.is_over or relayed.failure is not None:
            poll.unregister(descriptor)
            self._end(descriptor, relayed)
        elif relayed.output.backlog_bytes > MAXIMUM_BACKLOG_BYTES:
            poll.unregister(descriptor)
            relayed.is_paused = True

    def _check(self, poll: select.epoll, now: float) -> None:
        """End streams of silent engines; go on with those whose callers have read on."""
        for descriptor, relayed in list(self._streams.items()):
            if relayed.is_paused:
                relayed.last_read = now
                if relayed.output.backlog_bytes <= MAXIMUM_BACKLOG_BYTES // 2:
                    relayed.is_paused = False
                    poll.register(descriptor, select.EPOLLIN)
            elif now - relayed.last_read > relayed.stream.silence_s:
                relayed.stream.broke(f"no token for {relayed.stream.silence_s:g} s")
                poll.unregister(descriptor)
                self._end(descriptor, relayed)

    def _end(self, descriptor: int, relayed: _Relayed) -> None:
        # Removed first: the request's own thread closes the descriptor, which may come again.
        del self._streams[descriptor]
        relayed.ended.set()
