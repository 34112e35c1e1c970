"""Adapter of model engines: describing a runner, running one attempt, cancelling it."""

import contextlib
import enum
from collections.abc import Iterator
from dataclasses import dataclass

import msgspec
import urllib3
from urllib3.exceptions import HTTPError, NewConnectionError

from martenrun.constants import ENGINE_READ_TIMEOUT_S
from martenrun.platform.http import connection_pool

_DONE = b"data: [DONE]"
_EVENT_END = b"\n\n"
_DATA = b"data: "
_NOT_RUN_STATUSES = (412, 429)


class AttemptOutcome(enum.StrEnum):
    """How an attempt at an engine ended."""

    COMPLETE = "complete"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"
    BROKEN = "broken"
    CALLER_GONE = "caller_gone"


@dataclass(frozen=True)
class RunnerDescription:
    """What an engine tells about itself; loads lag."""

    incarnation: str
    model: str
    weights_version: str
    running: int
    slots: int
    cached_blocks: int


@dataclass(frozen=True)
class EngineRequest:
    """One attempt: the caller's path and body with the router's fields added."""

    path: str
    body: bytes
    incarnation: str
    stream: bool


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
        response = self.pool(address).request("GET", "/v1/runner", timeout=2.0)
        return msgspec.json.decode(response.data, type=RunnerDescription)

    def cancel(self, address: str, request_id: str) -> None:
        """Ask an engine to stop a stream; failures are ignored, the stream is closed anyway."""
        with contextlib.suppress(HTTPError):
            self.pool(address).request("POST", f"/v1/cancel?request_id={request_id}", timeout=2.0)

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
        try:
            response = self._pool.request(
                "POST",
                self._request.path,
                body=self._request.body,
                headers=headers,
                preload_content=False,
            )
        except NewConnectionError as error:
            self._end(AttemptOutcome.NOT_RUN, f"connection refused: {error}")
            return
        except HTTPError as error:
            self._end(AttemptOutcome.UNKNOWN, f"no answer: {error}")
            return
        self._response = response
        if response.status in _NOT_RUN_STATUSES:
            self._end(AttemptOutcome.NOT_RUN, f"engine refused with {response.status}")
        elif response.status != 200:
            self._end(AttemptOutcome.UNKNOWN, f"engine answered {response.status}")
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

    def _read_whole(self, response: urllib3.BaseHTTPResponse) -> None:
        try:
            self.result.body = response.read()
        except HTTPError as error:
            self._end(AttemptOutcome.UNKNOWN, f"the answer ended early: {error}")
            return
        self._take_usage(self.result.body)
        self._end(AttemptOutcome.COMPLETE, "")

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

    def _take_usage(self, document: bytes) -> None:
        try:
            usage = msgspec.json.decode(document, type=_UsageHolder).usage
        except msgspec.MsgspecError:
            return
        if usage is not None:
            self.result.prompt_tokens = usage.prompt_tokens
            self.result.output_tokens = usage.completion_tokens
            self.result.cached_tokens = usage.prompt_tokens_details.cached_tokens


def _events(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    buffer = b""
    for data in response.stream(amt=None):
        buffer += data
        while _EVENT_END in buffer:
            event, buffer = buffer.split(_EVENT_END, 1)
            yield event + _EVENT_END
