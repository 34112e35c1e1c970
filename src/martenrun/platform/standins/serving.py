"""The HTTP server of the stand-ins: a thread a connection, silent about peers that leave."""

import contextlib
import socket
import threading
from http.server import ThreadingHTTPServer
from typing import Any

STOP_CHECK_S = 0.01
"""How often a server looks whether it is to stop, in seconds."""


class QuietServer(ThreadingHTTPServer):
    """A server whose connections may break at any time, and that can end as a crash ends it."""

    daemon_threads = True

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self._open: set[socket.socket] = set()

    def start(self) -> None:
        """Serve on a thread of its own."""
        threading.Thread(target=self.serve_forever, args=(STOP_CHECK_S,), daemon=True).start()

    def crash(self) -> None:
        """End at once: every connection is reset, new ones are refused."""
        self.shutdown()
        self.server_close()
        for sock in list(self._open):
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01" + bytes(7))
                # A handler still holds the socket: its own end is what sends the reset.
                sock.shutdown(socket.SHUT_RDWR)

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
