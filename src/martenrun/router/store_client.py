"""Calls to the platform's store, each with a time-out, on kept connections."""

from collections.abc import Callable

from martenrun.net.client import ClientConnection
from martenrun.net.http import Headers, HttpAnswer, request_bytes
from martenrun.net.loop import Loop, Timer
from martenrun.router.messages import HttpCall

MAXIMUM_IDLE_S = 10.0
"""How long a connection may have rested to be used again, in seconds."""

KEPT_CONNECTIONS = 4
"""Idle connections kept to one address."""


class CallReader:
    """Collects one answer; calls back exactly once, with None if there was none in time."""

    def __init__(
        self, loop: Loop, timeout_s: float, on_answer: Callable[[HttpAnswer | None], None]
    ) -> None:
        self._on_answer = on_answer
        self._status = 0
        self._headers: Headers = []
        self._body = bytearray()
        self._is_over = False
        self.connection: ClientConnection | None = None
        self._timer: Timer = loop.call_later(timeout_s, self._too_late)

    def on_sent(self) -> None:
        """The request leaves."""

    def on_head(self, status: int, headers: Headers, length: int | None) -> None:
        """The answer begins."""
        self._status = status
        self._headers = headers

    def on_body(self, data: bytes) -> None:
        """A part of the body."""
        self._body += data

    def on_complete(self) -> None:
        """The answer is whole."""
        self._finish(HttpAnswer(self._status, self._headers, bytes(self._body)))

    def on_broken(self, was_sent: bool) -> None:
        """There will be no answer."""
        self._finish(None)

    def _too_late(self) -> None:
        if self.connection is not None:
            self.connection.close()
        self._finish(None)

    def _finish(self, answer: HttpAnswer | None) -> None:
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
        self, call: HttpCall, timeout_s: float, on_answer: Callable[[HttpAnswer | None], None]
    ) -> None:
        """Make a call; ``on_answer`` gets its answer, or None after ``timeout_s`` seconds."""
        reader = CallReader(self._loop, timeout_s, on_answer)
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
