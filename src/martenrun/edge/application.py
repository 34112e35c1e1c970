"""WSGI application of the caller's API, the same on agents and on nodes."""

from collections.abc import Callable, Iterable, Iterator
from typing import Any

from absl import logging
from prometheus_client import generate_latest
from werkzeug.wrappers import Request, Response

from martenrun.configuration.view import ConfigurationView
from martenrun.edge.forward import CallerLeft, EdgePort, Forwarder
from martenrun.edge.request import CallerRequest, bearer_token, parse_request
from martenrun.edge.responses import error_body, error_response, json_response
from martenrun.errors import MartenrunError, NodeUnavailableError
from martenrun.platform.engine import EngineConnections

_COMPLETION_PATHS = ("/v1/completions", "/v1/chat/completions")


class CallerApplication:
    """Serves completions, models, health and metrics.

    Args:
        port: connection to the process's loop.
        view: returns the configuration in force.
        zone: zone of this process.
    """

    def __init__(self, port: EdgePort, view: Callable[[], ConfigurationView], zone: str) -> None:
        self._port = port
        self._view = view
        self._zone = zone
        self._engines = EngineConnections()

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Serve one request."""
        request = Request(environ)
        try:
            response = self._serve(request)
        except MartenrunError as error:
            response = error_response(error)
        except CallerLeft:
            response = Response(status=499)
        return response(environ, start_response)

    def _serve(self, request: Request) -> Response:
        if request.path in _COMPLETION_PATHS and request.method == "POST":
            return self._complete(request)
        if request.path == "/v1/models":
            return self._models(request)
        if request.path == "/healthz":
            return json_response({"status": "ok"})
        if request.path == "/readyz":
            return self._ready()
        if request.path == "/metrics":
            return Response(generate_latest(), mimetype="text/plain")
        return json_response({"error": {"message": "not found", "code": "not_found"}}, 404)

    def _ready(self) -> Response:
        revision = self._view().revision
        if revision == 0:
            raise NodeUnavailableError("no configuration has arrived yet", retry_after_s=1.0)
        return json_response({"status": "ready", "revision": revision})

    def _models(self, request: Request) -> Response:
        view = self._view()
        tenant = view.key_of(bearer_token(request.headers)).tenant
        models = [
            {"id": model, "object": "model", "created": 0, "owned_by": routed.name}
            for model, routed in sorted(view.routes(tenant).items())
        ]
        return json_response({"object": "list", "data": models})

    def _complete(self, request: Request) -> Response:
        caller_request = parse_request(
            request.path, request.headers, request.get_data(), self._view(), self._zone
        )
        caller_gone = request.environ.get("waitress.client_disconnected", lambda: False)
        pieces = Forwarder(self._port, self._engines, caller_request, caller_gone).run()
        # The first piece decides the status: errors before any output become a typed body.
        first = next(pieces, b"")
        headers = {
            "X-Request-Id": caller_request.caller_id,
            "X-Martenrun-Request-Id": caller_request.question.request_id,
        }
        mimetype = "text/event-stream" if caller_request.stream else "application/json"
        content = _PieceStream(first, pieces, caller_request)
        return Response(content, headers=headers, mimetype=mimetype)


class _PieceStream:
    """Iterator over output that ends a broken stream with a typed error event."""

    def __init__(self, first: bytes, rest: Iterator[bytes], request: CallerRequest) -> None:
        self._pieces = self._chained(first, rest)
        self._rest = rest
        self._request = request

    def __iter__(self) -> Iterator[bytes]:
        return self._pieces

    def close(self) -> None:
        """Stop the request; called by the HTTP server also when the caller has gone."""
        self._pieces.close()
        close = getattr(self._rest, "close", None)
        if close is not None:
            close()

    def _chained(self, first: bytes, rest: Iterator[bytes]) -> Any:
        yield first
        try:
            yield from rest
        except MartenrunError as error:
            question = self._request.question
            logging.warning("request %s ended with %s", question.request_id, error.code)
            yield b"event: error\ndata: " + error_body(error) + b"\n\n"
