"""Calls to the platform's store and to other routers, with time-outs, on kept connections.

A time-out is a limit on silence, not on the whole answer: how long an answer takes grows with its
size and with what else the links carry.  Given up shortly before its end it would be asked for
anew, from nothing, by everybody at a time, and the load would never fall.
"""

from collections.abc import Callable

from martenrun.net.client import ClientConnection
from martenrun.net.http import STATUS_OK, Headers, HttpResponse, request_bytes
from martenrun.net.loop import Loop, Timer
from martenrun.router.log import log_warning
from martenrun.router.messages import HttpCall

MAXIMUM_IDLE_S = 10.0
"""How long a connection may have rested to be used again, in seconds."""

KEPT_CONNECTIONS = 4
"""Idle connections kept to one address."""


SILENCE_S = 0.6
"""How long an answer that has begun may stand still, in seconds."""

LONGEST_ANSWER_S = 4.0
"""How long an answer may go on arriving beyond the time-out of its call, in seconds.

4 MB over 10 Mbit/s with a quarter left for requests: four times the most that one object of the
store holds.
"""


def _nothing() -> None:
    return None


class CallReader:
    """Collects one answer; calls back exactly once, with None if there was none in time.

    Args:
        timeout_s: how long nothing at all may come, in seconds.
        on_heard: called whenever a part of a good answer has come: a refusal is none, however
            quickly it arrives.
        longest_s: by when the answer must be whole, in seconds.
    """

    def __init__(
        self,
        loop: Loop,
        timeout_s: float,
        on_answer: Callable[[HttpResponse | None], None],
        on_heard: Callable[[], None] = _nothing,
        longest_s: float | None = None,
    ) -> None:
        self._loop = loop
        self._on_answer = on_answer
        self._on_heard = on_heard
        self._ends_at = loop.now() + (
            timeout_s + LONGEST_ANSWER_S if longest_s is None else longest_s
        )
        self._heard_at: float | None = None
        self._status = 0
        self._headers: Headers = []
        self._body = bytearray()
        self._is_over = False
        self.connection: ClientConnection | None = None
        self._timer: Timer = loop.call_later(timeout_s, self._look)

    def on_sent(self) -> None:
        """The request leaves."""

    def on_head(self, status: int, headers: Headers, length: int | None) -> None:
        """The answer begins."""
        self._status = status
        self._headers = headers
        self._hear()

    def on_body(self, data: bytes) -> None:
        """A part of the body."""
        self._body += data
        self._hear()

    def on_complete(self) -> None:
        """The answer is whole."""
        self._finish(HttpResponse(self._status, self._headers, bytes(self._body)))

    def on_broken(self, was_sent: bool) -> None:
        """There will be no answer."""
        self._finish(None)

    def _hear(self) -> None:
        self._heard_at = self._loop.now()
        if self._status == STATUS_OK:
            self._on_heard()

    def _look(self) -> None:
        """Give the call up unless its answer is arriving; then look again later."""
        now = self._loop.now()
        silent_at = now if self._heard_at is None else self._heard_at + SILENCE_S
        left_s = min(silent_at, self._ends_at) - now
        if left_s > 0:
            self._timer = self._loop.call_later(left_s, self._look)
            return
        if self._heard_at is not None:
            log_warning("answer_given_up", status=self._status, bytes=len(self._body))
        if self.connection is not None:
            self.connection.close()
        self._finish(None)

    def _finish(self, answer: HttpResponse | None) -> None:
        if not self._is_over:
            self._is_over = True
            self._timer.cancel()
            self._on_answer(answer)


class HttpCaller:
    """Makes calls to one address."""

    def __init__(self, loop: Loop, address: str) -> None:
        self._loop = loop
        self._address = address
        self._idle: list[ClientConnection] = []

    def call(
        self,
        call: HttpCall,
        timeout_s: float,
        on_answer: Callable[[HttpResponse | None], None],
        on_heard: Callable[[], None] = _nothing,
        longest_s: float | None = None,
    ) -> None:
        """Make a call; ``on_answer`` gets its answer, or None; see :class:`CallReader`."""
        reader = CallReader(self._loop, timeout_s, on_answer, on_heard, longest_s)
        headers = [(b"Host", self._address.encode()), *call.headers]
        try:
            connection = self._connection()
        except OSError:
            self._loop.call_later(0, lambda: reader.on_broken(False))
            return
        reader.connection = connection
        connection.send(request_bytes(call.method, call.target, headers, call.body), reader)

    def _connection(self) -> ClientConnection:
        now = self._loop.now()
        while self._idle:
            connection = self._idle.pop()
            rested_s = now - connection.idle_since
            if connection.is_open and rested_s < (connection.keep_alive_s or MAXIMUM_IDLE_S) - 1:
                return connection
            connection.close()
        return ClientConnection(self._loop, self._address, self._keep, self._forget)

    def _keep(self, connection: ClientConnection) -> None:
        if len(self._idle) < KEPT_CONNECTIONS:
            self._idle.append(connection)
        else:
            connection.close()

    def _forget(self, connection: ClientConnection) -> None:
        if connection in self._idle:
            self._idle.remove(connection)
