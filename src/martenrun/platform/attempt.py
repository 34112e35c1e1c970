"""Adapter of model engines: one attempt at running a request.

Every attempt has a connection of its own.  A kept connection that the engine closes while
the request is on its way cannot be told from a request that ran, which would cost a
non-repeatable request its answer.

See also: :mod:`martenrun.platform.engine`, :mod:`martenrun.platform.stream_progress`.
"""

import contextlib
import http.client
import socket
from collections.abc import Iterator

import msgspec
import urllib3
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError, NewConnectionError

from martenrun.constants import ENGINE_CONNECT_TIMEOUT_S
from martenrun.platform.engine import AttemptOutcome, AttemptResult, EngineRequest
from martenrun.platform.kv_transfers import IMPORT_HEADER
from martenrun.platform.stream_progress import StreamProgress

_DONE = b"data: [DONE]"
_EVENT_END = b"\n\n"
_DATA = b"data: "
_FAILURES = (HTTPError, http.client.HTTPException, OSError)


class _PromptDetails(msgspec.Struct):
    cached_tokens: int = 0
    import_held_blocks: int = 0
    imported_blocks: int = 0
    import_ms: int = 0


class _Usage(msgspec.Struct):
    prompt_tokens: int = 0
    completion_tokens: int = 0
    prompt_tokens_details: _PromptDetails = msgspec.field(default_factory=_PromptDetails)


class _UsageHolder(msgspec.Struct):
    usage: _Usage | None = None


class _ErrorDetail(msgspec.Struct):
    ran: str = ""


class _ErrorHolder(msgspec.Struct):
    error: _ErrorDetail


class EngineAttempt:
    """One attempt at an engine; ``result`` is final once :meth:`events` is exhausted.

    Args:
        address: ``IP:port`` of the engine.
        request: what to send.
        progress: what the caller has received of earlier attempts; goes on counting.
    """

    def __init__(self, address: str, request: EngineRequest, progress: StreamProgress) -> None:
        host, _, port = address.rpartition(":")
        self._connection = HTTPConnection(host, int(port), timeout=ENGINE_CONNECT_TIMEOUT_S)
        self._request = request
        self._progress = progress
        self._socket: socket.socket | None = None
        self._aborted = False
        self.result = AttemptResult(AttemptOutcome.CALLER_GONE)

    def events(self) -> Iterator[bytes]:
        """Send the request and yield each whole server-sent event that the caller lacks.

        Failures do not raise; they end the iteration and show in ``result``.
        """
        try:
            self._connect()
        except _FAILURES as error:
            self._end(AttemptOutcome.NOT_RUN, f"no connection: {error}")
            return
        try:
            response = self._send()
        except NewConnectionError as error:
            self._end(AttemptOutcome.NOT_RUN, f"no connection: {error}")
        except _FAILURES as error:
            self._end(AttemptOutcome.UNKNOWN, f"no answer: {error!r}")
        else:
            yield from self._answer(response)

    def abort(self) -> None:
        """Break the connection, from any thread; a blocked read ends at once."""
        self._aborted = True
        if self._socket is not None:
            with contextlib.suppress(OSError):
                self._socket.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Close the connection; the engine stops what it has not finished."""
        if self.result.outcome is not AttemptOutcome.COMPLETE:
            self.abort()
        self._connection.close()

    def _connect(self) -> None:
        self._connection.connect()
        self._socket = self._connection.sock
        assert self._socket is not None
        # urllib3 sets this on the socket again when it sends, and when it reads an answer's head.
        self._connection.timeout = self._request.first_event_timeout_s
        self._socket.settimeout(self._request.first_event_timeout_s)
        if self._aborted:
            raise ConnectionAbortedError("aborted before anything was sent")

    def _send(self) -> urllib3.BaseHTTPResponse:
        headers = {
            "Content-Type": "application/json",
            "X-Expected-Incarnation": self._request.incarnation,
        }
        if self._request.weights_version:
            headers["X-Expected-Weights-Version"] = self._request.weights_version
        if self._request.import_header:
            headers[IMPORT_HEADER] = self._request.import_header
        self._connection.request(
            "POST",
            self._request.path,
            body=self._request.body,
            headers=headers,
            preload_content=False,
        )
        return self._connection.getresponse()

    def _answer(self, response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
        if response.status != 200:
            self._refused(response)
        elif self._request.stream:
            assert self._socket is not None
            self._socket.settimeout(self._request.token_gap_timeout_s)
            yield from self._stream(response)
        else:
            self._read_whole(response)

    def _end(self, outcome: AttemptOutcome, message: str) -> None:
        if self._aborted:
            outcome = AttemptOutcome.CALLER_GONE
        self.result.outcome = outcome
        self.result.message = message

    def _refused(self, response: urllib3.BaseHTTPResponse) -> None:
        """Take in an answer other than 200; only one that says so was certainly not run."""
        message = f"the engine answered {response.status}"
        not_run = False
        with contextlib.suppress(msgspec.MsgspecError, *_FAILURES):
            error = msgspec.json.decode(response.read(), type=_ErrorHolder).error
            not_run = error.ran == "no"
        self._end(AttemptOutcome.NOT_RUN if not_run else AttemptOutcome.UNKNOWN, message)

    def _read_whole(self, response: urllib3.BaseHTTPResponse) -> None:
        try:
            body = response.read()
            usage = msgspec.json.decode(body, type=_UsageHolder).usage
        except (*_FAILURES, msgspec.MsgspecError) as error:
            self._end(AttemptOutcome.UNKNOWN, f"the answer was not whole: {error!r}")
            return
        self.result.body = body
        self._take_usage(usage)
        self._end(AttemptOutcome.COMPLETE, "")

    def _stream(self, response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
        """Pass events on until the terminator; a stream without one is not whole."""
        message = "the stream ended without its terminator"
        try:
            for event in _events(response):
                if event.startswith(_DONE):
                    yield event
                    self._end(AttemptOutcome.COMPLETE, "")
                    return
                if b'"usage"' in event:
                    self._take_usage(_usage_of(event))
                if self._progress.take(event):
                    yield event
        except _FAILURES as error:
            message = f"the stream broke: {error!r}"
        broken = self._progress.has_events
        self._end(AttemptOutcome.BROKEN if broken else AttemptOutcome.UNKNOWN, message)

    def _take_usage(self, usage: _Usage | None) -> None:
        if usage is not None:
            self.result.prompt_tokens = usage.prompt_tokens
            self.result.output_tokens = usage.completion_tokens
            details = usage.prompt_tokens_details
            self.result.cached_tokens = details.cached_tokens
            self.result.import_held_blocks = details.import_held_blocks
            self.result.imported_blocks = details.imported_blocks
            self.result.import_ms = details.import_ms


def _usage_of(event: bytes) -> _Usage | None:
    try:
        return msgspec.json.decode(event.removeprefix(_DATA).strip(), type=_UsageHolder).usage
    except msgspec.MsgspecError:
        return None


def _events(response: urllib3.BaseHTTPResponse) -> Iterator[bytes]:
    buffer = b""
    for data in response.stream(amt=None):
        buffer += data
        while _EVENT_END in buffer:
            event, buffer = buffer.split(_EVENT_END, 1)
            yield event + _EVENT_END
