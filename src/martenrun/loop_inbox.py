"""Inbox of a loop that carries its process's internal messages on its own thread.

A message that one thread reads and another handles costs two wake-ups, two hand-overs of the
interpreter's lock and, on a core that others use too, the refilling of two cores' caches.  So
the loop itself waits for its sockets: while nothing is to be handled, it is in the transport's
selector, and it makes its own clock ticks.  Other threads' events wake it.

See also: :class:`martenrun.process.LoopActor`, :class:`martenrun.wire.transport.PeerTransport`.
"""

import collections
import threading
import time
from typing import Any, Protocol

from pykka._envelope import Envelope

from martenrun.constants import TICK_INTERVAL_S
from martenrun.events import EventBatch, PeerDisconnected, PeerMessage, Tick
from martenrun.wire.messages import Message

_TICK = Tick()


class PolledTransport(Protocol):
    """Sockets that the thread of a loop serves."""

    def poll(self, timeout_s: float) -> None:
        """Write what waits, then wait for sockets and serve them; returns once woken."""
        ...

    def wake(self) -> None:
        """End a wait in ``poll``; may be called from any thread."""
        ...


class LoopInbox:
    """Hands a loop its events: those that were told, its messages and its clock ticks.

    Events of one sender keep their order; what the loop tells itself is handled before the
    sockets are looked at again.
    """

    def __init__(self) -> None:
        self._transport: PolledTransport | None = None
        self._told: collections.deque[Any] = collections.deque()
        self._taken: collections.deque[Any] = collections.deque()
        self._received: list[PeerMessage | PeerDisconnected] = []
        self._started = threading.Event()
        self._loop_thread = 0
        self._is_waiting = False
        self._next_tick = 0.0

    def attach(self, transport: PolledTransport) -> None:
        """Name the transport, which calls :meth:`receive`; call it before the loop starts."""
        self._transport = transport

    def start(self) -> None:
        """Let the loop begin; the first tick comes at once."""
        self._started.set()

    def receive(self, peer: str, message: Message) -> None:
        """Take a message that the transport has read while it was polled."""
        self._received.append(PeerMessage(peer, message))

    def disconnected(self, peer: str) -> None:
        """Take that a connection has ended, as the transport found while it was polled."""
        self._received.append(PeerDisconnected(peer))

    def put(self, envelope: Any) -> None:
        """Take an event from any thread; the loop's own need not wake it."""
        if threading.get_ident() == self._loop_thread:
            self._taken.append(envelope)
            return
        self._told.append(envelope)
        # Read after the event was added; the loop sets it before it looks for events.
        if self._is_waiting and self._transport is not None:
            self._transport.wake()

    def get(self) -> Any:
        """Return the next event's envelope; called on the loop's thread only."""
        if not self._loop_thread:
            self._started.wait()
            self._loop_thread = threading.get_ident()
        while not self._taken:
            self._collect()
        return self._taken.popleft()

    def empty(self) -> bool:
        """Return whether nothing is waiting."""
        return not self._taken and not self._told

    def _collect(self) -> None:
        """Wait for events or the next tick, and take all that is there."""
        assert self._transport is not None
        self._is_waiting = True
        wait_s = 0.0 if self._told else max(0.0, self._next_tick - time.monotonic())
        self._transport.poll(wait_s)
        self._is_waiting = False
        if self._received:
            batch, self._received = self._received, []
            self._taken.append(Envelope(EventBatch(tuple(batch))))
        while self._told:
            self._taken.append(self._told.popleft())
        now = time.monotonic()
        if now >= self._next_tick:
            self._next_tick = now + TICK_INTERVAL_S
            self._taken.append(Envelope(_TICK))
