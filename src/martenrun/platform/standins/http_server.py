"""The HTTP server of the stand-ins: one thread per connection, no log of disconnects."""

import contextlib
import socket
import threading
import time
from http.server import ThreadingHTTPServer
from typing import Any

STOP_CHECK_INTERVAL_S = 0.01
"""Interval at which a server checks whether to stop, in seconds."""


RESERVE_TIMEOUT_S = 2.0
"""How long to retry binding a port whose server has just stopped, in seconds."""


def reserve_port(address: tuple[str, int]) -> socket.socket:
    """Return a socket that reserves a port: connections are refused until it listens.

    The system may otherwise give the port to any connection that a process of this machine opens.
    """
    deadline = time.monotonic() + RESERVE_TIMEOUT_S
    while True:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(address)
        except OSError:
            sock.close()
            if time.monotonic() > deadline:
                raise
            time.sleep(STOP_CHECK_INTERVAL_S)
        else:
            return sock


class QuietServer(ThreadingHTTPServer):
    """A server that tolerates broken connections and can simulate the crash of its process."""

    daemon_threads = True

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self._connections: set[socket.socket] = set()

    def start(self) -> None:
        """Serve on a new thread."""
        threading.Thread(
            target=self.serve_forever, args=(STOP_CHECK_INTERVAL_S,), daemon=True
        ).start()

    @classmethod
    def on_reserved_port(cls, sock: socket.socket, handler: Any) -> "QuietServer":
        """Return a server on a reserved port."""
        server = cls(sock.getsockname(), handler, False)
        server.socket.close()
        server.socket = sock
        server.server_activate()
        return server

    def crash(self, resets: bool = True) -> socket.socket:
        """Stop at once: reset or close every connection, refuse new ones, return the port."""
        self.shutdown()
        self.server_close()
        reserved = reserve_port(self.server_address[:2])  # type: ignore[arg-type]
        self.close_connections(resets)
        return reserved

    def close_connections(self, resets: bool = False) -> None:
        """Reset or close every connection."""
        for sock in list(self._connections):
            with contextlib.suppress(OSError):
                if resets:
                    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01" + bytes(7))
                # The handler still holds the socket: the reset is sent when the handler closes it.
                sock.shutdown(socket.SHUT_RDWR)

    def process_request(self, request: Any, client_address: Any) -> None:
        """Serve a connection on a thread."""
        self._connections.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request: Any) -> None:
        """Close a connection."""
        self._connections.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Suppress the error log: routers may close connections at any time."""
