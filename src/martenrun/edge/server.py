"""Serving WSGI applications with waitress."""

import threading
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from waitress import wasyncore
from waitress.adjustments import Adjustments
from waitress.server import TcpWSGIServer

from martenrun.constants import MAXIMUM_BODY_BYTES
from martenrun.edge.channel import MAXIMUM_HEADER_BYTES, REFUSED_RECEIVE_S, Channel
from martenrun.edge.dispatcher import OnDemandDispatcher
from martenrun.edge.drain import wait_while
from martenrun.edge.listening import stop_new_connections
from martenrun.errors import TooManyConnectionsError
from martenrun.wire.transport import parse_address

WsgiApplication = Callable[..., Iterable[bytes]]

CONNECTIONS_PER_THREAD = 4
"""Connections held for each thread if no number is given."""

REFUSED_CONNECTIONS = 64
"""Connections beyond the limit that get a typed refusal at a time; further ones wait."""

RECEIVE_TIMEOUT_S = 30.0
"""Time to receive a request, and for which a connection may be idle, in seconds."""

CHECK_INTERVAL_S = 1.0
"""Longest time between two looks at the times of all connections, in seconds."""

CHECKS_PER_TIMEOUT = 4
"""Least number of such looks within the time to receive a request."""

STOP_LIMIT_S = 5.0
"""Longest time that stopping waits for the server's thread."""

LAST_CONNECTIONS_S = 0.2
"""Time for connections that have begun to come about before the socket closes, in seconds."""

RETRY_AFTER_S = 1.0
"""When a caller refused for want of a connection should come back, in seconds."""


@dataclass(frozen=True)
class ConnectionLimits:
    """Bounds of the connections of one server.

    Attributes:
        maximum: connections that are served at a time; None is four for each thread.
        receive_timeout_s: time to receive a request, and for which a connection may be idle.
    """

    maximum: int | None = None
    receive_timeout_s: float = RECEIVE_TIMEOUT_S


class _Server(TcpWSGIServer):
    """Waitress's server with typed refusals and an orderly stop; runs on its own thread."""

    accepting: bool
    channel_class = Channel
    is_stopping = False
    receive_timeout_s = RECEIVE_TIMEOUT_S
    maximum_connections = 0

    def handle_accept(self) -> None:
        """Accept one connection; one over the limit is only told so."""
        before = len(self.active_channels)
        super().handle_accept()
        if before >= self.maximum_connections:
            message = f"this process holds {self.maximum_connections} connections already"
            for channel in list(self.active_channels.values())[before:]:
                channel.refusal = TooManyConnectionsError(message, retry_after_s=RETRY_AFTER_S)

    def maintenance(self, now: float) -> None:
        """Look at the times of every connection."""
        now = time.monotonic()
        for channel in list(self.active_channels.values()):
            timeout_s = self.receive_timeout_s
            if channel.refusal is not None or not self.accepting:
                timeout_s = min(timeout_s, REFUSED_RECEIVE_S)
            channel.check_times(now, timeout_s)

    def stop_accepting(self) -> None:
        """Accept the connections that wait already, then close the listening socket."""
        if not self.accepting:
            return
        held = -1
        while held < len(self.active_channels):
            held = len(self.active_channels)
            self.handle_accept()
        self.accepting = False
        # Not self.close(), which closes the trigger too.
        wasyncore.dispatcher.close(self)

    def close_unused(self) -> None:
        """Close every connection that nothing is asked or answered on."""
        self.maintenance(0.0)
        for channel in list(self.active_channels.values()):
            channel.close_if_idle()


class HttpServer:
    """A waitress server on its own driver thread."""

    def __init__(
        self,
        application: WsgiApplication,
        address: str,
        threads: int,
        limits: ConnectionLimits | None = None,
    ) -> None:
        limits = limits or ConnectionLimits()
        maximum = limits.maximum or threads * CONNECTIONS_PER_THREAD
        check_interval_s = min(CHECK_INTERVAL_S, limits.receive_timeout_s / CHECKS_PER_TIMEOUT)
        host, port = parse_address(address)
        adjustments = Adjustments(
            host=host,
            port=port,
            threads=threads,
            connection_limit=maximum + REFUSED_CONNECTIONS,
            max_request_body_size=MAXIMUM_BODY_BYTES,
            max_request_header_size=MAXIMUM_HEADER_BYTES,
            channel_request_lookahead=1,
            # select() ends at file descriptor 1,023; a full process has more.
            asyncore_use_poll=True,
            ident="martenrun",
        )
        # Waitress reads these two as whole seconds from its keyword arguments.
        adjustments.cleanup_interval = check_interval_s
        adjustments.asyncore_loop_timeout = check_interval_s
        self._server = _Server(
            application,
            {},
            dispatcher=OnDemandDispatcher(threads),
            adj=adjustments,
            sockinfo=adjustments.listen[0],
        )
        self._server.maximum_connections = maximum
        self._server.receive_timeout_s = limits.receive_timeout_s
        self._thread = threading.Thread(target=self._server.run, name="http", daemon=True)

    @property
    def port(self) -> int:
        """Port the server listens on."""
        return int(self._server.effective_port)

    def start(self) -> None:
        """Serve on a background thread."""
        self._thread.start()

    def begin_stop(self) -> None:
        """Tell every caller from now on, with its answer, to leave its connection."""
        self._server.is_stopping = True

    def finish(self, limit_s: float, hurry: threading.Event) -> bool:
        """Take no new connections and answer what has come on the present ones.

        Connections close once they are idle; returns whether all did in time.

        Args:
            limit_s: longest wait, in seconds.
            hurry: ends the wait at once.
        """
        self.begin_stop()
        stop_new_connections(self._server.socket)
        hurry.wait(LAST_CONNECTIONS_S)
        self._server.trigger.pull_trigger(self._server.stop_accepting)

        def has_connections() -> bool:
            self._server.trigger.pull_trigger(self._server.close_unused)
            return self._server.accepting or bool(self._server.active_channels)

        return wait_while(has_connections, limit_s, hurry)

    def stop(self) -> None:
        """Stop accepting and close every connection; stopping twice does nothing more."""
        if not self._thread.is_alive():
            return
        is_pulled = threading.Event()

        def close_all() -> None:
            # A worker's pull may run this before the pull below has used the trigger.
            is_pulled.wait(STOP_LIMIT_S)
            wasyncore.close_all(self._server._map, ignore_all=True)

        # On the server's own thread: a socket closed under its poll would raise there.
        self._server.trigger.pull_trigger(close_all)
        is_pulled.set()
        self._thread.join(timeout=STOP_LIMIT_S)
