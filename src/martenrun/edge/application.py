"""WSGI application of the caller's API, the same on agents and on nodes."""

from collections.abc import Callable, Iterable
from typing import Any

from prometheus_client.registry import Collector
from werkzeug.wrappers import Request, Response

from martenrun.backends.engine import EngineConnections
from martenrun.configuration.view import ConfigurationView
from martenrun.edge.channel import OUTPUT_KEY
from martenrun.edge.first_copy import wait_for_first_copy
from martenrun.edge.forward import CallerLeft, EdgePort, Forwarder
from martenrun.edge.request import (
    CALLER_ID_HEADER,
    bearer_token,
    deadline_s,
    parse_request,
    read_body,
)
from martenrun.edge.responses import check_method, error_response, json_response
from martenrun.edge.streams import PieceStream, StreamSlot, StreamSlots
from martenrun.errors import MartenrunError, NodeUnavailableError, NotFoundError, StoppingError
from martenrun.observability.metrics import EdgeMetrics
from martenrun.observability.requests import RequestObservation
from martenrun.settings.model import ProcessSettings

CALLER_LEFT_STATUS = 499
"""Status in the logs of a request whose caller left; nobody receives it."""

REQUEST_ID_HEADER = "X-Martenrun-Request-Id"
"""Header of an answer with the request's unique id inside the system."""

_COMPLETION_PATHS = ("/v1/completions", "/v1/chat/completions")
_READ_PATHS = ("/v1/models", "/healthz", "/readyz", "/metrics")


class CallerApplication:
    """Serves completions, models, health and metrics.

    Args:
        port: connection to the process's loop.
        view: returns the configuration in force.
        settings: zone, limits and time-outs of this process.
        readiness_fault: returns why the process can not serve yet, or None.
    """

    def __init__(
        self,
        port: EdgePort,
        view: Callable[[], ConfigurationView],
        settings: ProcessSettings,
        readiness_fault: Callable[[], MartenrunError | None] = lambda: None,
    ) -> None:
        self._port = port
        self._view = view
        self._settings = settings
        self._readiness_fault = readiness_fault
        self._metrics = EdgeMetrics()
        self.slots = StreamSlots(settings.max_streams)
        self._engines = EngineConnections()

    def add_metrics(self, collector: Collector) -> None:
        """Expose further metrics of the process at ``/metrics``."""
        self._metrics.add(collector)

    def __call__(self, environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        """Serve one request."""
        request = Request(environ)
        try:
            response = self._serve(request)
        except MartenrunError as error:
            response = error_response(error)
        except CallerLeft:
            response = Response(status=CALLER_LEFT_STATUS)
        return response(environ, start_response)

    def _serve(self, request: Request) -> Response:
        if request.path in _COMPLETION_PATHS:
            check_method(request, "POST")
            return self._complete(request)
        if request.path not in _READ_PATHS:
            raise NotFoundError(f"nothing is served at {request.path}")
        check_method(request, "GET", "HEAD")
        if request.path == "/v1/models":
            return self._models(request)
        if request.path == "/healthz":
            return json_response({"status": "ok"})
        if request.path == "/readyz":
            return self._ready()
        return Response(self._metrics.exposition(), mimetype="text/plain")

    def _ready(self) -> Response:
        if self.slots.closed:
            raise StoppingError("this process is being stopped", retry_after_s=1.0)
        revision = self._view().revision
        if revision == 0:
            raise NodeUnavailableError("no configuration has arrived yet", retry_after_s=1.0)
        fault = self._readiness_fault()
        if fault is not None:
            raise fault
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
        observation = RequestObservation(self._metrics)
        ids: dict[str, str] = {}
        if caller_id := request.headers.get(CALLER_ID_HEADER, ""):
            ids[CALLER_ID_HEADER] = caller_id
            observation.named(caller_id)
        slot = StreamSlot(None)
        try:
            slot = self.slots.take()
            return self._carry(request, slot, observation, ids)
        except MartenrunError as error:
            slot.give_back()
            observation.failed(error)
            response = error_response(error)
            response.headers.update(ids)
            return response
        except BaseException:
            slot.give_back()
            observation.caller_gone()
            raise

    def _carry(
        self,
        request: Request,
        slot: StreamSlot,
        observation: RequestObservation,
        ids: dict[str, str],
    ) -> Response:
        """Serve one request; puts the headers that name it into ``ids`` as soon as it has them."""
        caller_gone = request.environ.get("waitress.client_disconnected", lambda: False)
        copy = wait_for_first_copy(self._view, deadline_s(request.headers), caller_gone)
        caller_request = parse_request(
            request.path,
            request.headers,
            read_body(request),
            copy.view,
            self._settings.zone,
        )
        ids[CALLER_ID_HEADER] = caller_request.caller_id
        ids[REQUEST_ID_HEADER] = caller_request.question.request_id
        caller_request.question.deadline_s -= copy.held_s
        observation.identified(
            caller_request.question, caller_request.caller_id, caller_request.pool
        )
        pieces = Forwarder(
            self._port,
            self._engines,
            caller_request,
            caller_gone,
            observation,
            self._settings.token_gap_timeout_s,
            request.environ.get(OUTPUT_KEY),
        ).run()
        # The first piece decides the status: errors before any output become a typed body.
        first = next(pieces, b"")
        observation.first_output(caller_request.stream)
        mimetype = "text/event-stream" if caller_request.stream else "application/json"
        content = PieceStream(first, pieces, slot, observation)
        return Response(content, headers=ids, mimetype=mimetype)
