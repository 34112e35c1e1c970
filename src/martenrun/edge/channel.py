"""Connections of the HTTP server: bounded times to receive a request, and typed refusals.

A request that is being received holds no thread: the server's own thread collects its bytes,
and only a whole request, or its refusal, is given to a worker.

See also: :mod:`martenrun.edge.server`.
"""

import math
import select
import socket
import time
from http import HTTPStatus
from typing import Any

from waitress.channel import ClientDisconnected, HTTPChannel
from waitress.task import ErrorTask, WSGITask
from waitress.utilities import (
    Error,
    RequestEntityTooLarge,
    RequestHeaderFieldsTooLarge,
    ServerNotImplemented,
)

from martenrun.constants import MAXIMUM_BODY_BYTES
from martenrun.edge.responses import error_body
from martenrun.errors import (
    BodyTooLargeError,
    HeadersTooLargeError,
    InvalidRequestError,
    MartenrunError,
    Ran,
    RequestTimeoutError,
)

MAXIMUM_HEADER_BYTES = 64 * 1024
"""Largest request line and headers accepted, in bytes."""

MINIMUM_BYTES_PER_S = 16 * 1024
"""Pace, in bytes a second, at which a request that is being received earns more time."""

REFUSED_RECEIVE_S = 2.0
"""Time to send a request on a connection that is to be refused, or in a stop, in seconds."""

LINGER_S = 2.0
"""Longest time a refused connection is read on after its answer, in seconds.

Closing a connection with unread bytes resets it, and the caller may lose the answer.
"""

RETRY_AFTER_S = 1.0
"""When a caller whose request was not received in time should come back, in seconds."""

OUTPUT_KEY = "martenrun.output"
"""Key of the WSGI environment under which a :class:`TaskOutput` is found."""

_READ_BYTES = 65_536


class _TypedFaultError(Error):
    """A typed error in the form in which waitress keeps the faults of a request."""

    def __init__(self, error: MartenrunError) -> None:
        super().__init__(error.message)
        self.code = error.http_status
        self.reason = HTTPStatus(error.http_status).phrase
        self.error = error


class _TypedErrorTask(ErrorTask):
    """Answers a request that could not be read, or is refused, with a typed error body."""

    def execute(self) -> None:
        error = _typed(self.request.error)
        body = error_body(error)
        self.status = f"{error.http_status} {HTTPStatus(error.http_status).phrase}"
        self.response_headers.append(("Content-Type", "application/json"))
        if error.retry_after_s is not None:
            seconds = max(1, math.ceil(error.retry_after_s))
            self.response_headers.append(("Retry-After", str(seconds)))
        self.set_close_on_finish()
        self.channel.lingers = True
        self.content_length = len(body)
        self.write(body)


class TaskOutput:
    """The body of an answer that has begun, written from another thread than the worker's.

    The worker writes nothing meanwhile.
    """

    def __init__(self, task: WSGITask) -> None:
        self._task = task

    def write(self, data: bytes) -> bool:
        """Send or buffer a part of the body; returns False if the caller has gone.

        Never waits while the backlog is below waitress's high-water mark of 16 MB.
        """
        try:
            self._task.write(data)
        except ClientDisconnected:
            return False
        return True

    @property
    def backlog_bytes(self) -> int:
        """Bytes that wait for the caller to read."""
        return int(self._task.channel.total_outbufs_len)


class _Task(WSGITask):
    """Runs the application; tells the caller to leave the connection if the server stops."""

    def get_environment(self) -> dict[str, Any]:
        environ: dict[str, Any] = super().get_environment()
        environ[OUTPUT_KEY] = TaskOutput(self)
        return environ

    def build_response_header(self) -> bytes:
        if self.channel.server.is_stopping:
            self.set_close_on_finish()
        return bytes(super().build_response_header())


class Channel(HTTPChannel):
    """One connection.

    Attributes:
        lingers: whether the connection is read on for a while after its last answer.
        refusal: the answer to whatever is asked here; None serves requests.
    """

    request: Any
    task_class = _Task
    error_task_class = _TypedErrorTask

    def __init__(self, *arguments: Any, **named: Any) -> None:
        super().__init__(*arguments, **named)
        self.lingers = False
        self.refusal: MartenrunError | None = None
        self._has_served = False
        self._linger_until: float | None = None
        self._received_request: Any = None
        self._receive_started = time.monotonic()

    def received(self, data: bytes) -> bool:
        """Take in bytes; a request's time starts with its first byte."""
        accepted = bool(super().received(data))
        if self.request is not self._received_request:
            self._received_request = self.request
            self._receive_started = time.monotonic()
        if self.refusal is not None and self.request is not None and self.request.headers_finished:
            self._refuse(self.refusal)
        return accepted

    def service(self) -> None:
        """Answer one request, on a worker's thread."""
        if self.refusal is not None and self.requests:
            self.requests[0].error = _TypedFaultError(self.refusal)
        super().service()
        self._has_served = True

    def check_times(self, now: float, receive_timeout_s: float) -> None:
        """Refuse a request that is not received in time; close an idle connection."""
        if self._linger_until is not None:
            if now >= self._linger_until:
                self.handle_close()
        elif self.requests:
            # What follows waits unread behind the request that is served.
            self._receive_started = now
        elif self.request is not None:
            self._check_receiving(now, receive_timeout_s)
        elif time.time() - self.last_activity > receive_timeout_s:
            self.will_close = True

    def close_if_idle(self) -> None:
        """Close the connection unless it has a request, an answer, or unread bytes.

        One that has never been used may have a request on its way: its time limit closes it.
        """
        if not self._has_served:
            return
        is_used = self.requests or self.request is not None or self.total_outbufs_len
        if is_used or self.close_when_flushed or self._linger_until is not None:
            return
        if not self._has_unread_bytes():
            self.handle_close()

    def _check_receiving(self, now: float, receive_timeout_s: float) -> None:
        request = self.request
        received_bytes = request.header_bytes_received + request.body_bytes_received
        limit_s = receive_timeout_s + received_bytes / MINIMUM_BYTES_PER_S
        if now - self._receive_started >= limit_s:
            message = f"the request was not received whole within {limit_s:.1f} s"
            self._refuse(RequestTimeoutError(message, retry_after_s=RETRY_AFTER_S))

    def _refuse(self, error: MartenrunError) -> None:
        """Answer the request that is being received, without its rest."""
        with self.requests_lock:
            request, self.request = self.request, None
            request.error = _TypedFaultError(error)
            request.completed = True
            self.requests.append(request)
            if len(self.requests) == 1:
                self.server.add_task(self)

    def _has_unread_bytes(self) -> bool:
        poll = select.poll()
        poll.register(self.socket, select.POLLIN)
        return bool(poll.poll(0))

    def readable(self) -> bool:
        """Return whether the server should read from the connection."""
        return self._linger_until is not None or bool(super().readable())

    def writable(self) -> bool:
        """Return whether the server should write to the connection, or close it."""
        return self._linger_until is None and bool(super().writable())

    def handle_read(self) -> None:
        """Read what has come; after the last answer it is dropped."""
        if self._linger_until is None:
            super().handle_read()
        else:
            self.recv(_READ_BYTES)

    def handle_close(self) -> None:
        """Close the connection; one that lingers only ends its own side at first."""
        if self.lingers and self._linger_until is None:
            try:
                self.socket.shutdown(socket.SHUT_WR)
            except OSError:
                pass
            else:
                self._linger_until = time.monotonic() + LINGER_S
                self.will_close = False
                return
        super().handle_close()


def _typed(error: Any) -> MartenrunError:
    if isinstance(error, _TypedFaultError):
        return error.error
    if isinstance(error, RequestEntityTooLarge):
        return BodyTooLargeError(f"the body is over {MAXIMUM_BODY_BYTES} bytes")
    if isinstance(error, RequestHeaderFieldsTooLarge):
        return HeadersTooLargeError(f"the headers are over {MAXIMUM_HEADER_BYTES} bytes")
    if error.code >= 500 and not isinstance(error, ServerNotImplemented):
        # The application failed anywhere on its way: the request may have been run.
        return MartenrunError(str(error.body), ran=Ran.UNKNOWN)
    return InvalidRequestError(f"the request cannot be read: {error.body}")
