"""The HTTP/1.1 server of a router process.

Complete requests are passed to a handler, one at a time for each connection.  A caller's disconnect
is detected while its request is served.  An aborted response never looks complete.
"""

import itertools
import socket
from collections.abc import Callable

import attrs

from martenrun.net.exchange import Exchange
from martenrun.net.held_memory import HeldMemory
from martenrun.net.loop import Loop
from martenrun.net.periodic import PeriodicCall, call_safely
from martenrun.net.server_connection import ServerConnection
from martenrun.net.stream import listen
from martenrun.router.log import log_warning

SWEEP_INTERVAL_S = 0.25
"""Interval between two checks of the connections' timeouts, in seconds."""

MAXIMUM_CONNECTIONS = 1_000
"""Default maximum number of connections of a server."""


@attrs.frozen
class ServerLimits:
    """Limits on callers' requests: sizes in bytes, times in seconds."""

    maximum_header_bytes: int = 16_384
    maximum_body_bytes: int = 4_194_304
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class Server:
    """Accepts connections from callers and enforces the limits.

    Args:
        loop: the loop that serves the connections.
        address: ``IP:port`` to listen on.
        handler: called with each complete request.
        maximum_connections: for each connection beyond these, the one is closed that has rested or
            received for longest; if all are being served, the new one.
        memory: counts what the connections of all servers of the process hold.

    Attributes:
        is_draining: whether connections close after their next response because the process stops.
        sheds_connections: whether they close so that callers connect to other routers.
    """

    def __init__(
        self,
        loop: Loop,
        address: str,
        handler: Callable[[Exchange], None],
        maximum_connections: int = MAXIMUM_CONNECTIONS,
        memory: HeldMemory | None = None,
    ) -> None:
        self.loop = loop
        self.handler = handler
        self.memory = memory or HeldMemory()
        self.limits = ServerLimits()
        self.is_draining = False
        self.sheds_connections = False
        self._maximum_connections = maximum_connections
        self._connections: set[ServerConnection] = set()
        self._waiting: dict[ServerConnection, None] = {}
        self._shut_down: dict[ServerConnection, None] = {}
        self._listener = listen(loop, address, self._on_accept)
        PeriodicCall(loop, "connection_timeouts", SWEEP_INTERVAL_S, self._sweep).start_later()

    @property
    def connections(self) -> int:
        """Number of open connections."""
        return len(self._connections)

    @property
    def has_work(self) -> bool:
        """Whether any request is being received or served."""
        return any(connection.is_busy for connection in self._connections)

    def remove(self, connection: ServerConnection) -> None:
        """Remove a closed connection."""
        self._connections.discard(connection)
        self._waiting.pop(connection, None)
        self._shut_down.pop(connection, None)

    def record_waiting(self, connection: ServerConnection) -> None:
        """Record that an open connection begins to rest, or to receive a request."""
        if connection in self._connections and connection not in self._shut_down:
            self._waiting.pop(connection, None)
            self._waiting[connection] = None

    def record_serving(self, connection: ServerConnection) -> None:
        """Record that a request of a connection is being served."""
        self._waiting.pop(connection, None)

    def record_shut_down(self, connection: ServerConnection) -> None:
        """Record that a connection only waits for its peer to close it."""
        self._waiting.pop(connection, None)
        self._shut_down[connection] = None

    def shut_down_idle(self) -> None:
        """Shut down every connection that has no request in progress."""
        for connection in list(self._connections):
            if not connection.is_busy:
                connection.shut_down()

    def _on_accept(self, sock: socket.socket) -> None:
        if len(self._connections) >= self._maximum_connections:
            dispensable = self._dispensable_connection()
            if dispensable is None:
                sock.close()
                return
            log_warning("connections_used_up", connections=len(self._connections))
            dispensable.abort()
        connection = ServerConnection(self, sock)
        self._connections.add(connection)
        self.record_waiting(connection)

    def _dispensable_connection(self) -> ServerConnection | None:
        """Return the connection to close for a new one, or None if all are being served.

        One that still sends a response is closed only if there is no other.
        """
        waiting = itertools.chain(self._shut_down, self._waiting)
        has_sent_all = (item for item in waiting if not item.stream.unsent_bytes)
        return next(has_sent_all, None) or next(iter(self._waiting), None)

    def _sweep(self) -> None:
        now = self.loop.now()
        for connection in list(self._connections):
            call_safely("connection_timeout", connection.check_timeouts, now)
