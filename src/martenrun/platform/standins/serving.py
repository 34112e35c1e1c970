"""The HTTP server of the stand-ins: a thread a connection, silent about peers that leave."""

import contextlib
import socket
import threading
import time
from http.server import ThreadingHTTPServer
from typing import Any

STOP_CHECK_S = 0.01
"""How often a server looks whether it is to stop, in seconds."""


HOLD_S = 2.0
"""For how long a port is tried to be held whose server has just ended, in seconds."""


def held_port(address: tuple[str, int]) -> socket.socket:
    """Return a socket that keeps a port: connections to it are refused until it listens.

    A port that nobody holds may be given to any connection that a process of this machine opens.
    """
    until = time.monotonic() + HOLD_S
    while True:
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        try:
            sock.bind(address)
        except OSError:
            sock.close()
            if time.monotonic() > until:
                raise
            time.sleep(STOP_CHECK_S)
        else:
            return sock


class QuietServer(ThreadingHTTPServer):
    """A server whose connections may break at any time, and that can end as a crash ends it."""

    daemon_threads = True

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self._open: set[socket.socket] = set()

    def start(self) -> None:
        """Serve on a thread of its own."""
        threading.Thread(target=self.serve_forever, args=(STOP_CHECK_S,), daemon=True).start()

    @classmethod
    def at(cls, held: socket.socket, handler: Any) -> "QuietServer":
        """Return a server at a port that was held."""
        server = cls(held.getsockname(), handler, False)
        server.socket.close()
        server.socket = held
        server.server_activate()
        return server

    def crash(self) -> socket.socket:
        """End at once: every connection is reset, new ones are refused; return the held port."""
        self.shutdown()
        self.server_close()
        held = held_port(self.server_address[:2])  # type: ignore[arg-type]
        for sock in list(self._open):
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01" + bytes(7))
                # A handler still holds the socket: its own end is what sends the reset.
                sock.shutdown(socket.SHUT_RDWR)
        return held

    def process_request(self, request: Any, client_address: Any) -> None:
        """Serve a connection on a thread."""
        self._open.add(request)
        super().process_request(request, client_address)

    def shutdown_request(self, request: Any) -> None:
        """End a connection."""
        self._open.discard(request)
        super().shutdown_request(request)

    def handle_error(self, request: Any, client_address: Any) -> None:
        """Write nothing: routers close connections when they like."""
