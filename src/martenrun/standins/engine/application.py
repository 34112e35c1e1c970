"""HTTP face of the stand-in engine (the protocol is described in docs/PROTOCOL.md)."""

import dataclasses
import time
from collections.abc import Iterator

import msgspec
from werkzeug.wrappers import Request, Response

from martenrun.standins.engine.description import Description, describe
from martenrun.standins.engine.executions import (
    ExecutionReport,
    ReportExecution,
    report_nothing,
)
from martenrun.standins.engine.faults import ConnectionCutError, Faults
from martenrun.standins.engine.imports import IMPORT_HEADER, parse_offer
from martenrun.standins.engine.incarnation import Generation, Incarnation
from martenrun.standins.engine.messages import TERMINATOR, Completion, EngineBody
from martenrun.standins.engine.orders import FenceGuard, Order
from martenrun.standins.engine.push_stream import PushStream, question_of
from martenrun.standins.engine.refusals import RefusalCode, RefusedError
from martenrun.standins.engine.settings import EngineSettings
from martenrun.standins.engine.synthetic import EventRate, SyntheticEvents
from martenrun.standins.engine.transfers import (
    TransferQuestion,
    export_blocks,
    import_blocks,
    import_offered,
)

FEED_WAIT_S = 0.05
"""How often a waiting feed request looks for entries that have become due, in seconds."""

_FREEZE_CHECK_S = 0.02


class EngineApplication:
    """WSGI application of one engine; a crash gives it another incarnation.

    Args:
        settings: what the engine is started with.
        report_execution: called with every execution before its first token.
    """

    def __init__(
        self, settings: EngineSettings, report_execution: ReportExecution = report_nothing
    ) -> None:
        self._settings = settings
        self._report_execution = report_execution
        self._faults = Faults()
        self._executed: list[str] = []
        self._synthetic = SyntheticEvents(lambda: self._engine)
        self._begin()

    def _begin(self) -> None:
        self._engine = Incarnation(self._settings, self._begin_model)
        self._guard = FenceGuard(self._engine.name)

    def _begin_model(self, ended: Incarnation, model: str, version: str) -> None:
        """Go on as another incarnation, with nothing cached, that loads another model."""
        if self._engine is not ended:
            return
        begun = Incarnation(dataclasses.replace(self._settings, model=model), self._begin_model)
        begun.weights.start_loading(version)
        ended.is_dead.set()
        self._guard = self._guard.renamed(begun.name)
        self._engine = begun

    @property
    def incarnation(self) -> str:
        """The present incarnation."""
        return self._engine.name

    def __call__(self, environ: dict[str, object], start_response: object) -> object:
        """Serve one request."""
        request = Request(environ)
        try:
            response = self._serve(request)
        except RefusedError as error:
            response = _refusal(error)
        except msgspec.MsgspecError as error:
            response = _refusal(RefusedError(RefusalCode.INVALID, str(error)))
        return response(environ, start_response)  # type: ignore[arg-type]

    def _serve(self, request: Request) -> Response:
        control = self._serve_control(request)
        if control is not None:
            return control
        self._hold_up()
        match request.path:
            case "/v1/completions" | "/v1/chat/completions":
                return self._complete(request)
            case "/v1/cancel":
                self._engine.cancelled.add(request.args["request_id"])
                return _json({})
            case "/v1/runner":
                return _json(self._description())
            case "/v1/cache-events":
                return self._cache_events(request)
            case "/v1/runner/stream":
                return self._push_stream(request)
            case "/v1/kv/export" | "/v1/kv/import":
                question = msgspec.json.decode(request.get_data(), type=TransferQuestion)
                move = export_blocks if request.path.endswith("export") else import_blocks
                return _json(move(self._engine, question))
            case "/v1/orders":
                order = msgspec.json.decode(request.get_data(), type=Order)
                self._engine.weights.carry_out(order, self._guard)
                return _json(self._description(), 202)
        return _json({"error": {"message": "not found", "ran": "no"}}, 404)

    def _serve_control(self, request: Request) -> Response | None:
        """Serve what only a stand-in has; also a frozen one answers it."""
        match request.path:
            case "/faults":
                return self._set_faults(request)
            case "/synthetic-events":
                rate = msgspec.json.decode(request.get_data(), type=EventRate)
                self._synthetic.set_rate(rate)
                return _json({})
            case "/v1/executed":
                return _json(self._executed)
        return None

    def _set_faults(self, request: Request) -> Response:
        self._faults = msgspec.json.decode(request.get_data(), type=Faults)
        if self._faults.replay_events:
            self._engine.feed.replay(self._faults.replay_events)
        if self._faults.crash:
            self._engine.is_dead.set()
            self._begin()
        return _json({})

    def _hold_up(self) -> None:
        """Let the frozen time and the set delay pass."""
        time.sleep(self._faults.delay_s)
        while self._faults.freeze:
            time.sleep(_FREEZE_CHECK_S)

    def _description(self) -> Description:
        return describe(self._engine, self._guard.fence, self._faults.draining)

    def _push_stream(self, request: Request) -> Response:
        if self._faults.no_push_stream:
            return _json({"error": {"message": "not found", "ran": "no"}}, 404)
        engine = self._engine
        stream = PushStream(engine, self._description, lambda: self._faults, question_of(request))
        return Response(stream.events(), mimetype="text/event-stream")

    def _cache_events(self, request: Request) -> Response:
        feed = self._engine.feed
        after = int(request.args.get("after", "0"))
        incarnation = request.args.get("incarnation", "")
        until = time.monotonic() + float(request.args.get("wait_s", "0"))
        while True:
            now = time.monotonic()
            answer = feed.read(after, incarnation, now)
            if answer.entries or now >= until:
                return _json(answer)
            feed.wait(min(until - now, FEED_WAIT_S))

    def _complete(self, request: Request) -> Response:
        received_s = time.monotonic()
        engine = self._engine
        expected = request.headers.get("X-Expected-Incarnation", "")
        if expected and expected != engine.name:
            message = f"the engine's incarnation is {engine.name}"
            raise RefusedError(RefusalCode.ANOTHER_INCARNATION, message)
        body = msgspec.json.decode(request.get_data(), type=EngineBody)
        completion = Completion(body, request.path.endswith("chat/completions"))
        version = request.headers.get("X-Expected-Weights-Version", "")
        offer = parse_offer(request.headers.get(IMPORT_HEADER, ""))
        generation = engine.enter(completion, version)
        if offer is not None:
            generation.before_prefill = lambda chain: import_offered(engine, chain, offer)
        self._executed.append(body.request_id)
        self._report_execution(
            ExecutionReport(
                request_id=body.request_id,
                caller_id=body.user,
                tenant=body.cache_salt,
                incarnation=engine.name,
                expected_incarnation=expected,
                weights_version=engine.weights.version,
                received_s=received_s,
                began_s=time.monotonic(),
            )
        )
        if body.stream:
            events = self._events(completion, generation)
            return Response(events, mimetype="text/event-stream")
        text = "".join(generation.run())
        answer = completion.whole(body.resume_text + text, body.max_tokens, generation.details)
        return _json(answer)

    def _events(self, completion: Completion, generation: Generation) -> Iterator[bytes]:
        """Yield server-sent events, broken off as the faults say."""
        for count, token in enumerate(generation.run()):
            while self._faults.freeze:
                time.sleep(_FREEZE_CHECK_S)
            self._cut_if_due(count)
            yield completion.piece(token)
        body = completion.body
        self._cut_if_due(body.max_tokens - body.resume_from)
        yield completion.finish(body.max_tokens, generation.details)
        if not self._faults.omit_terminator:
            yield TERMINATOR

    def _cut_if_due(self, tokens_sent: int) -> None:
        faults = self._faults
        if faults.cut_streams > 0 and tokens_sent == faults.cut_after_tokens:
            faults.cut_streams -= 1
            raise ConnectionCutError


def _refusal(error: RefusedError) -> Response:
    body = {"message": error.message, "code": error.code.value, "ran": "no"}
    return _json({"error": body}, error.status)


def _json(value: object, status: int = 200) -> Response:
    return Response(msgspec.json.encode(value), status=status, mimetype="application/json")
