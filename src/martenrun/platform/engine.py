"""Adapter of model engines: describing a runner, running one attempt, cancelling it."""

import contextlib
import enum
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec
import urllib3
from urllib3.exceptions import ConnectTimeoutError, HTTPError, NewConnectionError

from martenrun.constants import ENGINE_READ_TIMEOUT_S
from martenrun.platform.http import connection_pool

_CONTROL_TIMEOUT_S = 2.0
_DONE = b"data: [DONE]"
_EVENT_END = b"\n\n"
_DATA = b"data: "
_REFUSAL_STATUSES = (412, 429)


class AttemptOutcome(enum.StrEnum):
    """How an attempt at an engine ended.

    ``COMPLETE``: the whole answer came, a stream's terminator included.  ``NOT_RUN``: the
    engine certainly did not run it.  ``UNKNOWN``: no output came, but it may have run.
    ``BROKEN``: output came, but not all of it.
    """

    COMPLETE = "complete"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    BROKEN = "broken"
    CALLER_GONE = "caller_gone"


class RunnerServingState(enum.StrEnum):
    """Whether an engine takes requests."""

    SERVING = "serving"
    DRAINING = "draining"
    LOADING = "loading"
    FAILED = "failed"


@dataclass(frozen=True)
class RunnerDescription:
    """What an engine tells about itself; loads lag.

    Attributes:
        weights_version: weights it serves with; empty while it loads others.
        state: ``serving``, or why it takes no requests (see :class:`RunnerServingState`).
        target_version: the weights version last ordered.
        fence: the highest fencing token it has seen in this incarnation.
    """

    incarnation: str
    model: str
    weights_version: str
    running: int
    slots: int
    cached_blocks: int
    waiting: int = 0
    state: str = RunnerServingState.SERVING
    target_version: str = ""
    fence: int = 0
    role: str = ""
    adapters: tuple[str, ...] = ()


@dataclass(frozen=True)
class EngineRequest:
    """One attempt: the caller's path and body with the router's fields added.

    The engine refuses it, without running it, unless its incarnation and, if one is given,
    its weights version are the expected ones.
    """

    path: str
    body: bytes
    incarnation: str
    stream: bool
    weights_version: str = ""


@dataclass
class AttemptResult:
    """Outcome of an attempt and the usage the engine reported."""

    outcome: AttemptOutcome
    message: str = ""
    body: bytes = b""
    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0


class _PromptDetails(msgspec.Struct):
    cached_tokens: int = 0


class _Usage(msgspec.Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: _PromptDetails = msgspec.field(default_factory=_PromptDetails)


class _UsageHolder(msgspec.Struct):
    usage: _Usage | None = None


class _RefusalDetails(msgspec.Struct):
    ran: str = ""
    message: str = ""


class _Refusal(msgspec.Struct):
    error: _RefusalDetails


class EngineConnections:
    """Connection pools to engines, by address; used from driver threads."""

    def __init__(self) -> None:
        self._pools: dict[str, urllib3.HTTPConnectionPool] = {}

    def pool(self, address: str) -> urllib3.HTTPConnectionPool:
        """Return the pool of one engine."""
        if address not in self._pools:
            self._pools[address] = connection_pool(address, ENGINE_READ_TIMEOUT_S, size=256)
        return self._pools[address]

    def describe(self, address: str) -> RunnerDescription:
        """Ask an engine for its incarnation, version and load; raises HTTPError."""
        response = self.pool(address).request("GET", "/v1/runner", timeout=_CONTROL_TIMEOUT_S)
        if response.status != 200:
            raise HTTPError(f"the engine answered {response.status}")
        return msgspec.json.decode(response.data, type=RunnerDescription)

    def cancel(self, address: str, request_id: str) -> None:
        """Ask an engine to stop a stream; failures are ignored, the stream is closed anyway."""
        with contextlib.suppress(HTTPError):
            path = f"/v1/cancel?request_id={request_id}"
            self.pool(address).request("POST", path, timeout=_CONTROL_TIMEOUT_S)

    def start(self, address: str, request: EngineRequest) -> "EngineAttempt":
        """Prepare one attempt; nothing is sent before its events are read."""
        return EngineAttempt(self.pool(address), request)


class EngineAttempt:
    """One attempt at an engine; ``result`` is final once :meth:`events` is exhausted."""

    def __init__(self, pool: urllib3.HTTPConnectionPool, request: EngineRequest) -> None:
        self._pool = pool
        self._request = request
        self._response: urllib3.BaseHTTPResponse | None = None
        self.result = AttemptResult(AttemptOutcome.CALLER_GONE)

    def events(self) -> Iterator[bytes]:
        """Send the request and yield each whole server-sent event.

        Failures do not raise; they end the iteration and show in ``result``.
        """
        headers = {
            "Content-Type": "application/json",
            "X-Expected-Incarnation": self._request.incarnation,
        }
        if self._request.weights_version:
            headers["X-Expected-Weights-Version"] = self._request.weights_version
        try:
            response = self._pool.request(
                "POST",
                self._request.path,
                body=self._request.body,
                headers=headers,
                preload_content=False,
            )
        except (NewConnectionError, ConnectTimeoutError) as error:
            # No connection, so not a byte of the request has left.
            self._end(AttemptOutcome.NOT_RUN, f"no connection: {error}")
            return
        except HTTPError as error:
            self._end(AttemptOutcome.UNKNOWN, f"no answer: {error}")
            return
        self._response = response
        if response.status != 200:
            self._take_refusal(response)
        elif self._request.stream:
            yield from self._stream(response)
        else:
            self._read_whole(response)

    def close(self) -> None:
        """Release the connection; an unread stream is closed, not returned to the pool."""
        if self._response is None:
            return
        if self.result.outcome is AttemptOutcome.COMPLETE:
            self._response.release_conn()
        else:
            self._response.close()

    def _end(self, outcome: AttemptOutcome, message: str) -> None:
        self.result.outcome = outcome
        self.result.message = message

    def _take_refusal(self, response: urllib3.BaseHTTPResponse) -> None:
        """Only a typed refusal shows that the request was not run."""
        try:
            refusal = msgspec.json.decode(response.read(), type=_Refusal).error
        except (HTTPError, msgspec.MsgspecError):
            refusal = _RefusalDetails()
        is_not_run = response.status in _REFUSAL_STATUSES and refusal.ran == "no"
        outcome = AttemptOutcome.NOT_RUN if is_not_run else AttemptOutcome.UNKNOWN
        self._end(outcome, f"the engine answered {response.status}: {refusal.message}")

    def _read_whole(self, response: urllib3.BaseHTTPResponse) -> None:
        try:
            self.result.body = response.read()
        except HTTPError as error:
            self._end(AttemptOutcome.UNKNOWN, f"the answer ended early: {error}")
            return
        if self._take_usage(self.result.body):
            self._end(AttemptOutcome.COMPLETE, "")
        else:
            self.result.body = b""
            self._end(AttemptOutcome.UNKNOWN, "the answer is not a whole JSON document")

    def _stream(self, response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
        """Pass events on until the terminator; a stream without one is not whole."""
        ended_early = AttemptOutcome.UNKNOWN
        message = "the stream ended without its terminator"
        try:
            for event in _events(response):
                if event.startswith(_DONE):
                    yield event
                    self._end(AttemptOutcome.COMPLETE, "")
                    return
                if b'"usage"' in event:
                    self._take_usage(event.removeprefix(_DATA).strip())
                yield event
                ended_early = AttemptOutcome.BROKEN
        except HTTPError as error:
            message = f"the stream broke: {error}"
        self._end(ended_early, message)

    def _take_usage(self, document: bytes) -> bool:
        """Take the usage from a document; returns whether it is a whole JSON document."""
        try:
            usage = msgspec.json.decode(document, type=_UsageHolder).usage
        except msgspec.MsgspecError:
            return False
        if usage is not None:
            self.result.prompt_tokens = usage.prompt_tokens
            self.result.output_tokens = usage.completion_tokens
            self.result.cached_tokens = usage.prompt_tokens_details.cached_tokens
        return True


def _events(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    buffer = b""
    for data in response.stream(amt=None):
        buffer += data
        while _EVENT_END in buffer:
            event, buffer = buffer.split(_EVENT_END, 1)
            yield event + _EVENT_END
