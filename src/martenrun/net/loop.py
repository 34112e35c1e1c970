"""The selector loop of a router process: socket readiness, timers and signals.

Everything runs on the thread that calls :meth:`Loop.run`.  Times are seconds of
:mod:`martenrun.net.clock`, which includes suspended time.  The timeout of a selector does not: a
wait may return long after its timeout, with or without events.
"""

import heapq
import os
import selectors
import signal
import socket
from collections.abc import Callable

from martenrun.net import clock
from martenrun.net.pacing import Pacer
from martenrun.net.periodic import call_safely

READ = selectors.EVENT_READ
WRITE = selectors.EVENT_WRITE

MAXIMUM_WAIT_S = 1.0
"""Maximum time to wait for events, in seconds."""

OVERSLEEP_TOLERANCE_S = 0.05
"""How late a wait may return before the sockets are polled a second time, in seconds."""

COMPACT_TIMERS_AT = 512
"""Number of cancelled timers above which the heap may be rebuilt without them."""


class Timer:
    """A call that is made once at a given time; see :meth:`Loop.call_later`."""

    __slots__ = ("call", "due_at", "is_cancelled", "loop")

    def __init__(self, loop: "Loop", due_at: float, call: Callable[[], None]) -> None:
        self.loop = loop
        self.due_at = due_at
        self.call = call
        self.is_cancelled = False

    def __lt__(self, other: "Timer") -> bool:
        return self.due_at < other.due_at

    def cancel(self) -> None:
        """Cancel the call; has no effect after the call was made."""
        if not self.is_cancelled:
            self.is_cancelled = True
            self.call = _do_nothing
            self.loop.count_cancelled_timer()


class Loop:
    """Waits for sockets, timers and signals, and runs the callbacks registered for them.

    Attributes:
        pacer: shares the machine's link between the large writes of all streams.
    """

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        self._timers: list[Timer] = []
        self._cancelled_timers = 0
        self._is_running = False
        self._pending_signals: list[int] = []
        self._signal_handlers: dict[int, Callable[[], None]] = {}
        self.pacer = Pacer(self.call_later)
        self._polled_at = clock.now()
        self._ready_since = self._polled_at

    @staticmethod
    def now() -> float:
        """Return the monotonic time, in seconds."""
        return clock.now()

    @property
    def late_s(self) -> float:
        """How long ago the events being handled may have become ready, in seconds.

        Large after a long callback, and after the process or its machine was suspended.
        """
        return clock.now() - self._ready_since

    def call_later(self, delay_s: float, call: Callable[[], None]) -> Timer:
        """Schedule ``call`` to be made once, after ``delay_s`` seconds."""
        timer = Timer(self, clock.now() + delay_s, call)
        heapq.heappush(self._timers, timer)
        return timer

    def count_cancelled_timer(self) -> None:
        """Count a cancelled timer; cancelled timers are removed in batches."""
        self._cancelled_timers += 1
        if self._cancelled_timers > COMPACT_TIMERS_AT and self._cancelled_timers * 2 > len(
            self._timers
        ):
            self._timers = [timer for timer in self._timers if not timer.is_cancelled]
            heapq.heapify(self._timers)
            self._cancelled_timers = 0

    def watch(self, sock: socket.socket, events: int, call: Callable[[int], None]) -> None:
        """Register ``call(ready events)`` for a socket; ``events`` 0 unregisters it."""
        registered = self._selector.get_map().get(sock.fileno())
        if not events:
            if registered is not None:
                self._selector.unregister(sock)
        elif registered is None:
            self._selector.register(sock, events, call)
        else:
            self._selector.modify(sock, events, call)

    def on_signal(self, number: int, call: Callable[[], None]) -> None:
        """Run ``call`` on the loop after each such signal; must be called on the main thread."""
        if not self._signal_handlers:
            self._open_wakeup_pipe()
        self._signal_handlers[number] = call
        signal.signal(number, lambda received, _frame: self._pending_signals.append(received))

    def stop(self) -> None:
        """Make :meth:`run` return after the current iteration."""
        self._is_running = False

    def run(self) -> None:
        """Run the loop until :meth:`stop` is called."""
        self._is_running = True
        while self._is_running:
            self.run_once()

    def run_once(self) -> None:
        """Wait for events or the next timer and handle what is due."""
        wait_started_at = clock.now()
        wait_s = self._wait_s(wait_started_at)
        events = self._selector.select(wait_s)
        if clock.now() - wait_started_at - wait_s > OVERSLEEP_TOLERANCE_S:
            # The wait may have timed out before the process was suspended.  Events that arrived
            # during the suspension would then be found in the next iteration and count as new.
            events = self._selector.select(0.0)
        polled_at = clock.now()
        overslept_s = max(0.0, polled_at - wait_started_at - wait_s)
        self._ready_since = self._polled_at + (polled_at - wait_started_at) - overslept_s
        self._polled_at = polled_at
        for key, ready in events:
            call_safely("loop", key.data, ready)
        while self._pending_signals:
            call_safely("loop", self._signal_handlers[self._pending_signals.pop(0)])
        self._run_timers()

    def _wait_s(self, now: float) -> float:
        if self._pending_signals:
            return 0.0
        if not self._timers:
            return MAXIMUM_WAIT_S
        return min(MAXIMUM_WAIT_S, max(0.0, self._timers[0].due_at - now))

    def _run_timers(self) -> None:
        now = clock.now()
        while self._timers and self._timers[0].due_at <= now:
            timer = heapq.heappop(self._timers)
            if timer.is_cancelled:
                self._cancelled_timers = max(0, self._cancelled_timers - 1)
                continue
            timer.is_cancelled = True
            call_safely("loop", timer.call)

    def _open_wakeup_pipe(self) -> None:
        """Open the pipe that signal handlers write to, so that a signal ends a wait at once."""
        reader, writer = os.pipe()
        os.set_blocking(reader, False)
        os.set_blocking(writer, False)
        signal.set_wakeup_fd(writer, warn_on_full_buffer=False)
        self._selector.register(reader, READ, lambda _ready: _drain_pipe(reader))


def _drain_pipe(reader: int) -> None:
    try:
        os.read(reader, 512)
    except BlockingIOError:
        return


def _do_nothing() -> None:
    return None
