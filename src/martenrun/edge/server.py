"""Serving WSGI applications with waitress."""

import threading
from collections.abc import Callable, Iterable
from typing import Any

from waitress.server import create_server

from martenrun.constants import MAXIMUM_BODY_BYTES
from martenrun.wire.transport import parse_address

WsgiApplication = Callable[..., Iterable[bytes]]

_MAXIMUM_HEADER_BYTES = 64 * 1024
_CHANNEL_TIMEOUT_S = 60


class HttpServer:
    """A waitress server on its own driver thread."""

    def __init__(self, application: WsgiApplication, address: str, threads: int) -> None:
        host, port = parse_address(address)
        self._server: Any = create_server(
            application,
            host=host,
            port=port,
            threads=threads,
            connection_limit=threads * 4,
            max_request_body_size=MAXIMUM_BODY_BYTES,
            max_request_header_size=_MAXIMUM_HEADER_BYTES,
            channel_timeout=_CHANNEL_TIMEOUT_S,
            channel_request_lookahead=1,
            ident="martenrun",
        )
        self._thread = threading.Thread(target=self._server.run, name="http", daemon=True)

    @property
    def port(self) -> int:
        """Port the server listens on."""
        return int(self._server.effective_port)

    def start(self) -> None:
        """Serve on a background thread."""
        self._thread.start()

    def stop(self) -> None:
        """Stop accepting and close every connection."""
        self._server.close()
