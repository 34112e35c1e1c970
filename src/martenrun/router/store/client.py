"""HTTP calls to the platform's store and to other routers, with timeouts and keep-alive.

A timeout limits the silence, not the whole response: the duration of a response grows with its size
and with other traffic on the links.  If responses were abandoned shortly before their end, all
callers would request them again from the start, and the load would never drop.
"""

from collections.abc import Callable

import attrs

from martenrun.net.client import ClientConnection
from martenrun.net.http import STATUS_OK, Headers, HttpResponse, request_bytes
from martenrun.net.loop import Loop, Timer
from martenrun.net.periodic import call_safely, record_failure
from martenrun.router.log import log_warning
from martenrun.router.messages import HttpCall
from martenrun.router.store.eras import UNKNOWN_ERA, StoreEras

MAXIMUM_IDLE_S = 10.0
"""Maximum idle time after which a connection is reused, in seconds."""

KEPT_CONNECTIONS = 4
"""Maximum number of idle connections kept per address."""


MAX_STALL_S = 0.6
"""Maximum pause within a response, in seconds."""

MAX_RESPONSE_S = 4.0
"""Maximum duration of a response beyond the timeout of its call, in seconds.

Enough for 4 MB over 10 Mbit/s with a quarter left for requests: four times the maximum size of an
object in the store.
"""

MAXIMUM_RESPONSE_BYTES = 33_554_432
"""Maximum size of a response's body: several times that of a large deployment's objects."""

MAXIMUM_CONTROL_BYTES = 1_048_576
"""Maximum size of a runner's report, or of its response to an order."""


def _nothing() -> None:
    return None


class ResponseReader:
    """Collects one response; calls back exactly once, with None if the call failed or timed out.

    Args:
        timeout_s: how long to wait for the first part of the response, in seconds.
        on_part: called for each part of a successful response; refusals do not count, however
            quickly they arrive.
        max_response_s: maximum time until the response is complete, in seconds.
        max_bytes: maximum size of the response's body.
    """

    def __init__(
        self,
        loop: Loop,
        timeout_s: float,
        on_response: Callable[[HttpResponse | None], None],
        on_part: Callable[[], None] = _nothing,
        max_response_s: float | None = None,
        max_bytes: int = MAXIMUM_RESPONSE_BYTES,
    ) -> None:
        self._loop = loop
        self._on_response = on_response
        self._on_part = on_part
        self._max_bytes = max_bytes
        self._ends_at = loop.now() + (
            timeout_s + MAX_RESPONSE_S if max_response_s is None else max_response_s
        )
        self._last_part_at: float | None = None
        self._status = 0
        self._headers: Headers = []
        self._body = bytearray()
        self._is_over = False
        self.connection: ClientConnection | None = None
        self._timer: Timer = loop.call_later(timeout_s, self._check_timeout)

    def on_sent(self) -> None:
        """Do nothing: the timeout counts from the start of the call."""

    def on_head(self, status: int, headers: Headers, length: int | None) -> None:
        """Record the status and headers."""
        self._status = status
        self._headers = headers
        self._record_part()

    def on_body(self, data: bytes) -> None:
        """Append a part of the body; give up the call if it exceeds the limit."""
        if self._is_over:
            return
        self._body += data
        if len(self._body) > self._max_bytes:
            self._give_up()
            return
        self._record_part()

    def on_complete(self) -> None:
        """Report the complete response."""
        self._finish(HttpResponse(self._status, self._headers, bytes(self._body)))

    def on_broken(self, was_sent: bool) -> None:
        """Report that the call failed."""
        self._finish(None)

    def _record_part(self) -> None:
        self._last_part_at = self._loop.now()
        if self._status == STATUS_OK:
            call_safely("response_part", self._on_part)

    def _check_timeout(self) -> None:
        """Give up the call unless its response is arriving, in which case check again later."""
        now = self._loop.now()
        stalled_at = now if self._last_part_at is None else self._last_part_at + MAX_STALL_S
        remaining_s = min(stalled_at, self._ends_at) - now
        if remaining_s > 0:
            self._timer = self._loop.call_later(remaining_s, self._check_timeout)
            return
        self._give_up()

    def _give_up(self) -> None:
        if self._last_part_at is not None:
            log_warning("answer_given_up", status=self._status, bytes=len(self._body))
        if self.connection is not None:
            self.connection.close()
        self._finish(None)

    def _finish(self, response: HttpResponse | None) -> None:
        if not self._is_over:
            self._is_over = True
            self._timer.cancel()
            call_safely("response", self._on_response, response)


class HttpClient:
    """HTTP client for one address.

    Args:
        max_bytes: maximum size of a response's body.
    """

    def __init__(self, loop: Loop, address: str, max_bytes: int = MAXIMUM_RESPONSE_BYTES) -> None:
        self._loop = loop
        self._address = address
        self._max_bytes = max_bytes
        self._idle: list[ClientConnection] = []

    def call(
        self,
        call: HttpCall,
        timeout_s: float,
        on_response: Callable[[HttpResponse | None], None],
        on_part: Callable[[], None] = _nothing,
        max_response_s: float | None = None,
    ) -> None:
        """Make a call and pass its response, or None, on; see :class:`ResponseReader`."""
        reader = ResponseReader(
            self._loop, timeout_s, on_response, on_part, max_response_s, self._max_bytes
        )
        headers = [(b"Host", self._address.encode()), *call.headers]
        try:
            connection = self._connection()
            reader.connection = connection
            connection.send(request_bytes(call.method, call.target, headers, call.body), reader)
        except OSError:
            self._loop.call_later(0, lambda: reader.on_broken(False))
        except Exception as exc:
            # Callers wait for the response before they make the next call.
            record_failure("send_call", exc)
            if reader.connection is not None:
                reader.connection.close()
            self._loop.call_later(0, lambda: reader.on_broken(False))

    def _connection(self) -> ClientConnection:
        now = self._loop.now()
        while self._idle:
            connection = self._idle.pop()
            idle_s = now - connection.idle_since
            if connection.is_open and idle_s < (connection.keep_alive_s or MAXIMUM_IDLE_S) - 1:
                return connection
            connection.close()
        return ClientConnection(self._loop, self._address, self._keep, self._discard)

    def _keep(self, connection: ClientConnection) -> None:
        if len(self._idle) < KEPT_CONNECTIONS:
            self._idle.append(connection)
        else:
            connection.close()

    def _discard(self, connection: ClientConnection) -> None:
        if connection in self._idle:
            self._idle.remove(connection)


def call_runner(
    loop: Loop,
    address: str,
    call: HttpCall,
    timeout_s: float,
    on_response: Callable[[HttpResponse | None], None],
) -> None:
    """Call a runner on a connection of its own, which is closed after the response.

    Responses to such calls carry no id: on a kept connection, a late copy of an earlier response
    would be taken for the response to this call.
    """
    closing = attrs.evolve(call, headers=[*call.headers, (b"Connection", b"close")])
    client = HttpClient(loop, address, MAXIMUM_CONTROL_BYTES)
    client.call(closing, timeout_s, on_response)


class StoreClient:
    """Client of the store that keeps responses of different eras apart.

    A response of an earlier era than the current one counts as lost.  So does the response to a
    write that was sent in an earlier era: its condition referred to another object.

    Args:
        read_era: returns the era that a response's headers name, or None.  Such a response counts
            as one of the era in which its call was sent.
    """

    def __init__(
        self, http: HttpClient, read_era: Callable[[Headers], int | None], eras: StoreEras
    ) -> None:
        self._http = http
        self._read_era = read_era
        self._eras = eras

    @property
    def era(self) -> int:
        """The era of the responses that are passed on."""
        return self._eras.current

    def call(
        self,
        call: HttpCall,
        timeout_s: float,
        on_response: Callable[[HttpResponse | None], None],
        on_part: Callable[[], None] = _nothing,
        max_response_s: float | None = None,
    ) -> None:
        """Make a call and pass its response, or None, on; see :class:`HttpClient`."""
        sent_in = self._eras.current

        def handle_response(response: HttpResponse | None) -> None:
            accepted = None
            try:
                accepted = None if response is None else self._accept(response, call, sent_in)
            except Exception as exc:
                # The caller waits for the response before it makes the next call.
                record_failure("accept_response", exc)
            on_response(accepted)

        self._http.call(call, timeout_s, handle_response, on_part, max_response_s)

    def _accept(self, response: HttpResponse, call: HttpCall, sent_in: int) -> HttpResponse | None:
        """Record the era of a response; return the response if it may be used."""
        era = self._read_era(response.headers) or sent_in
        self._eras.observe(era, f"store:{response.status}")
        is_write_of_earlier_era = call.method != b"GET" and sent_in not in (UNKNOWN_ERA, era)
        if era == self._eras.current and not is_write_of_earlier_era:
            return response
        if era == UNKNOWN_ERA:
            return response
        log_warning(
            "response_of_other_era",
            era=era,
            sent_in=sent_in,
            current=self._eras.current,
            status=response.status,
        )
        return None
