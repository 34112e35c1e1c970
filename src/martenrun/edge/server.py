"""Serving WSGI applications with waitress."""

import threading
from collections.abc import Callable, Iterable
from typing import Any

from waitress import wasyncore
from waitress.channel import HTTPChannel
from waitress.server import TcpWSGIServer, create_server
from waitress.task import ErrorTask
from waitress.utilities import RequestEntityTooLarge, RequestHeaderFieldsTooLarge

from martenrun.constants import MAXIMUM_BODY_BYTES
from martenrun.edge.dispatcher import OnDemandDispatcher
from martenrun.edge.responses import error_body
from martenrun.errors import (
    BodyTooLargeError,
    HeadersTooLargeError,
    InvalidRequestError,
    MartenrunError,
    Ran,
)
from martenrun.wire.transport import parse_address

WsgiApplication = Callable[..., Iterable[bytes]]

MAXIMUM_HEADER_BYTES = 64 * 1024
"""Largest request line and headers accepted, in bytes."""

CHANNEL_TIMEOUT_S = 30
"""Time after which a connection that sends nothing, or half a request, is closed."""


STOP_LIMIT_S = 5.0
"""Longest time that stopping waits for the server's thread."""


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
            max_request_header_size=MAXIMUM_HEADER_BYTES,
            channel_timeout=CHANNEL_TIMEOUT_S,
            channel_request_lookahead=1,
            # select() ends at file descriptor 1,023; a full process has more.
            asyncore_use_poll=True,
            ident="martenrun",
            _dispatcher=OnDemandDispatcher(threads),
        )
        assert isinstance(self._server, TcpWSGIServer)
        self._server.channel_class = _Channel
        self._thread = threading.Thread(target=self._server.run, name="http", daemon=True)

    @property
    def port(self) -> int:
        """Port the server listens on."""
        return int(self._server.effective_port)

    def start(self) -> None:
        """Serve on a background thread."""
        self._thread.start()

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


class _TypedErrorTask(ErrorTask):
    """Answers a request that could not be read with a typed error body."""

    def execute(self) -> None:
        error = _typed(self.request.error)
        body = error_body(error)
        self.status = f"{error.http_status} {self.request.error.reason}"
        self.response_headers.append(("Content-Type", "application/json"))
        self.set_close_on_finish()
        self.content_length = len(body)
        self.write(body)


class _Channel(HTTPChannel):
    error_task_class = _TypedErrorTask


def _typed(error: Any) -> MartenrunError:
    if isinstance(error, RequestEntityTooLarge):
        return BodyTooLargeError(f"the body is over {MAXIMUM_BODY_BYTES} bytes")
    if isinstance(error, RequestHeaderFieldsTooLarge):
        return HeadersTooLargeError(f"the headers are over {MAXIMUM_HEADER_BYTES} bytes")
    if error.code >= 500:
        # The application failed anywhere on its way: the request may have been run.
        return MartenrunError(str(error.body), ran=Ran.UNKNOWN)
    return InvalidRequestError(f"the request cannot be read: {error.body}")
