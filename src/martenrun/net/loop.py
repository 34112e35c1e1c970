"""The selector loop of a router process: readiness of sockets, timers, signals.

Everything of the process runs on the thread that calls :meth:`Loop.run`.  Times are seconds of
:mod:`martenrun.net.clock`.  The waits themselves do not count suspended time: a wait may end long
after it was due, with or without events.
"""

import heapq
import os
import selectors
import signal
import socket
from collections.abc import Callable
from typing import Any

from martenrun.net import clock
from martenrun.net.pacing import Pacer
from martenrun.router.log import log_exception

READ = selectors.EVENT_READ
WRITE = selectors.EVENT_WRITE

LONGEST_WAIT_S = 1.0
"""Longest time that the loop waits without any event, in seconds."""

OVERSLEPT_S = 0.05
"""How much later than asked for a wait may end without a second look at the sockets, in seconds."""

COMPACT_TIMERS_AT = 512
"""Number of cancelled timers from which the heap is built anew."""


class Timer:
    """A call that is due once; see :meth:`Loop.call_later`."""

    __slots__ = ("call", "due_at", "is_cancelled", "loop")

    def __init__(self, loop: "Loop", due_at: float, call: Callable[[], None]) -> None:
        self.loop = loop
        self.due_at = due_at
        self.call = call
        self.is_cancelled = False

    def __lt__(self, other: "Timer") -> bool:
        return self.due_at < other.due_at

    def cancel(self) -> None:
        """Never make the call; harmless if it has been made."""
        if not self.is_cancelled:
            self.is_cancelled = True
            self.call = _nothing
            self.loop.timer_cancelled()


class Loop:
    """Waits for sockets, timers and signals and calls what was registered for them.

    Attributes:
        pacer: deals the machine's link out to the large writes of all streams.
    """

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        self._timers: list[Timer] = []
        self._cancelled = 0
        self._is_running = False
        self._signals: list[int] = []
        self._on_signal: dict[int, Callable[[], None]] = {}
        self.pacer = Pacer(self.call_later)
        self._polled_at = clock.now()
        self._ready_since = self._polled_at

    @staticmethod
    def now() -> float:
        """Return the time, in seconds."""
        return clock.now()

    @property
    def late_s(self) -> float:
        """How long what is served now may have been ready already, in seconds.

        That is much after a long call, or after the process or its machine stood still.
        """
        return clock.now() - self._ready_since

    def call_later(self, delay_s: float, call: Callable[[], None]) -> Timer:
        """Make ``call`` once, ``delay_s`` seconds from now."""
        timer = Timer(self, clock.now() + delay_s, call)
        heapq.heappush(self._timers, timer)
        return timer

    def timer_cancelled(self) -> None:
        """Count a cancelled timer; many of them are dropped at once."""
        self._cancelled += 1
        if self._cancelled > COMPACT_TIMERS_AT and self._cancelled * 2 > len(self._timers):
            self._timers = [timer for timer in self._timers if not timer.is_cancelled]
            heapq.heapify(self._timers)
            self._cancelled = 0

    def watch(self, sock: socket.socket, events: int, call: Callable[[int], None]) -> None:
        """Call ``call(ready events)`` whenever the socket is ready; ``events`` 0 ends that."""
        known = self._selector.get_map().get(sock.fileno())
        if not events:
            if known is not None:
                self._selector.unregister(sock)
        elif known is None:
            self._selector.register(sock, events, call)
        else:
            self._selector.modify(sock, events, call)

    def on_signal(self, number: int, call: Callable[[], None]) -> None:
        """Make ``call`` on the loop each time the signal has come; main thread only."""
        if not self._on_signal:
            self._open_wake_up()
        self._on_signal[number] = call
        signal.signal(number, lambda received, _frame: self._signals.append(received))

    def stop(self) -> None:
        """Let :meth:`run` return after the current round."""
        self._is_running = False

    def run(self) -> None:
        """Serve until :meth:`stop`."""
        self._is_running = True
        while self._is_running:
            self.run_once()

    def run_once(self) -> None:
        """Wait for the next event or timer and serve what is due."""
        waits_from = clock.now()
        wait_s = self._wait_s(waits_from)
        events = self._selector.select(wait_s)
        if clock.now() - waits_from - wait_s > OVERSLEPT_S:
            # A wait that was over before the process stood still tells nothing of what came then:
            # looked at in the next round only, it would count as new.
            events = self._selector.select(0.0)
        polled_at = clock.now()
        overslept_s = max(0.0, polled_at - waits_from - wait_s)
        self._ready_since = self._polled_at + (polled_at - waits_from) - overslept_s
        self._polled_at = polled_at
        for key, ready in events:
            _guarded(key.data, ready)
        while self._signals:
            _guarded(self._on_signal[self._signals.pop(0)])
        self._run_timers()

    def _wait_s(self, now: float) -> float:
        if self._signals:
            return 0.0
        if not self._timers:
            return LONGEST_WAIT_S
        return min(LONGEST_WAIT_S, max(0.0, self._timers[0].due_at - now))

    def _run_timers(self) -> None:
        now = clock.now()
        while self._timers and self._timers[0].due_at <= now:
            timer = heapq.heappop(self._timers)
            if timer.is_cancelled:
                self._cancelled = max(0, self._cancelled - 1)
                continue
            timer.is_cancelled = True
            _guarded(timer.call)

    def _open_wake_up(self) -> None:
        """Open the pipe that a signal writes to, so that a wait ends at once."""
        reader, writer = os.pipe()
        os.set_blocking(reader, False)
        os.set_blocking(writer, False)
        signal.set_wakeup_fd(writer, warn_on_full_buffer=False)
        self._selector.register(reader, READ, lambda _ready: _drain(reader))


def _drain(reader: int) -> None:
    try:
        os.read(reader, 512)
    except BlockingIOError:
        return


def _nothing() -> None:
    return None


def _guarded(call: Callable[..., None], *arguments: Any) -> None:
    """Make a call; a fault in one of them must not end the loop for all others."""
    try:
        call(*arguments)
    except Exception as exc:
        log_exception("loop_call", exc)
