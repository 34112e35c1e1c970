"""Adapter of model engines: one attempt at running a request.

Every attempt has a connection of its own.  A kept connection that the engine closes while
the request is on its way cannot be told from a request that ran, which would cost a
non-repeatable request its answer.

A streamed answer is read by whoever has its socket: :meth:`EngineAttempt.first_events` and
:meth:`EngineAttempt.further_events` wait for it, and one that follows many streams waits for all
of them and calls :meth:`EngineAttempt.read_ready`.

See also: :mod:`martenrun.backends.engine`, :mod:`martenrun.backends.streamed_answer`.
"""

import contextlib
import http.client
import socket
from collections.abc import Iterator

import msgspec
from urllib3.connection import HTTPConnection
from urllib3.exceptions import HTTPError

from martenrun.backends.engine import AttemptOutcome, AttemptResult, EngineRequest
from martenrun.backends.http_stream import HttpStreamError
from martenrun.backends.kv_transfers import IMPORT_HEADER
from martenrun.backends.stream_progress import StreamProgress
from martenrun.backends.streamed_answer import StreamedAnswer, UsageHolder, take_usage
from martenrun.constants import ENGINE_CONNECT_TIMEOUT_S

READ_BYTES = 64 * 1024
"""Most bytes read of a stream at a time."""

OK_STATUS = 200
"""Status of an answer that holds output."""

_FAILURES = (HTTPError, http.client.HTTPException, HttpStreamError, OSError)


class _ErrorDetail(msgspec.Struct):
    ran: str = ""


class _ErrorHolder(msgspec.Struct):
    error: _ErrorDetail


class EngineAttempt:
    """One attempt at an engine.

    Attributes:
        is_over: whether it has ended; ``result`` is final then.
        result: how it ended.

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
        self.is_over = False
        self.result = AttemptResult(AttemptOutcome.CALLER_GONE)
        self._answer = StreamedAnswer(progress, self.result)

    @property
    def silence_s(self) -> float:
        """Longest time between two reads of a stream, in seconds."""
        return self._request.token_gap_timeout_s

    def events(self) -> Iterator[bytes]:
        """Send the request and yield each whole server-sent event that the caller lacks.

        Failures do not raise; they end the iteration and show in ``result``.
        """
        yield from self.first_events()
        yield from self.further_events()

    def first_events(self) -> Iterator[bytes]:
        """Send the request; yield the events of the first read that has any."""
        try:
            self._connect()
        except _FAILURES as error:
            self._end(AttemptOutcome.NOT_RUN, f"no connection: {error}")
            return
        try:
            self._send()
        except _FAILURES as error:
            self._end(AttemptOutcome.UNKNOWN, f"no answer: {error!r}")
            return
        if not self._request.stream:
            self._read_whole()
        has_event = False
        while not self.is_over and not has_event:
            for event in self._wait_and_read():
                has_event = True
                yield event

    def further_events(self) -> Iterator[bytes]:
        """Wait for the rest of the stream and yield its events."""
        while not self.is_over:
            yield from self._wait_and_read()

    def follow(self) -> int:
        """Let :meth:`read_ready` never wait; returns the descriptor to wait on."""
        assert self._socket is not None
        self._socket.setblocking(False)
        return self._socket.fileno()

    def read_ready(self) -> Iterator[bytes]:
        """Read what has arrived, once, and yield the events that it completes."""
        assert self._socket is not None
        try:
            data = self._socket.recv(READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self.broke(repr(error))
            return
        yield from self._received(data)

    def broke(self, reason: str) -> None:
        """End the attempt: its stream cannot be read on."""
        is_broken = self._progress.has_events and self._answer.status
        outcome = AttemptOutcome.BROKEN if is_broken else AttemptOutcome.UNKNOWN
        self._end(outcome, f"the stream broke: {reason}")

    def abort(self) -> None:
        """Break the connection, from any thread; a blocked read ends at once."""
        self._aborted = True
        if self._socket is not None:
            with contextlib.suppress(OSError):
                self._socket.shutdown(socket.SHUT_RDWR)

    def leave(self) -> None:
        """End the attempt: the caller cannot be written to."""
        self.abort()
        self._end(AttemptOutcome.CALLER_GONE, "")

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

    def _send(self) -> None:
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

    def _wait_and_read(self) -> Iterator[bytes]:
        assert self._socket is not None
        had_head = self._answer.status != 0
        try:
            data = self._socket.recv(READ_BYTES)
        except OSError as error:
            self.broke(repr(error))
            return
        yield from self._received(data)
        if not had_head and self._answer.status:
            self._socket.settimeout(self._request.token_gap_timeout_s)

    def _received(self, data: bytes) -> Iterator[bytes]:
        """Take in what a read returned; an end without the terminator is not whole."""
        try:
            yield from self._answer.received(data)
        except HttpStreamError as error:
            self.broke(repr(error))
            return
        if self._answer.is_done:
            self._end(AttemptOutcome.COMPLETE, "")
        elif data and not self._answer.has_ended:
            return
        elif self._answer.status not in (0, OK_STATUS):
            self._refused(self._answer.status, self._answer.refusal)
        else:
            self.broke("it ended without its terminator")

    def _end(self, outcome: AttemptOutcome, message: str) -> None:
        if self._aborted:
            outcome = AttemptOutcome.CALLER_GONE
        self.is_over = True
        self.result.outcome = outcome
        self.result.message = message

    def _refused(self, status: int, body: bytes) -> None:
        """Take in an answer other than 200; only one that says so was certainly not run."""
        not_run = False
        with contextlib.suppress(msgspec.MsgspecError):
            not_run = msgspec.json.decode(body, type=_ErrorHolder).error.ran == "no"
        outcome = AttemptOutcome.NOT_RUN if not_run else AttemptOutcome.UNKNOWN
        self._end(outcome, f"the engine answered {status}")

    def _read_whole(self) -> None:
        """Read an answer that is not streamed."""
        try:
            response = self._connection.getresponse()
            body = response.read()
        except _FAILURES as error:
            self._end(AttemptOutcome.UNKNOWN, f"no whole answer: {error!r}")
            return
        if response.status != OK_STATUS:
            self._refused(response.status, body)
            return
        try:
            usage = msgspec.json.decode(body, type=UsageHolder).usage
        except msgspec.MsgspecError as error:
            self._end(AttemptOutcome.UNKNOWN, f"the answer cannot be read: {error}")
            return
        self.result.body = body
        take_usage(self.result, usage)
        self._end(AttemptOutcome.COMPLETE, "")
