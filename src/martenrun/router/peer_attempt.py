"""One attempt to forward a request through another router that reaches the runners."""

from martenrun.net.client import ClientConnection
from martenrun.net.http import Headers
from martenrun.net.response_limits import BodyBuffer
from martenrun.router.attempt import STATUS_MULTIPLE_CHOICES, AttemptListener
from martenrun.router.event_stream import BrokenStreamError
from martenrun.router.forwarded_request import (
    read_instance,
    read_software,
    without_internal_fields,
)
from martenrun.router.log import log_warning
from martenrun.router.messages import AdmittedRequest, RouteKind
from martenrun.router.request_services import RequestServices
from martenrun.router.retry import Failure
from martenrun.router.runner_responses import record_drain


class PeerAttempt:
    """An attempt at another router; see :class:`martenrun.net.client.ResponseReader`.

    The other router places the request and repeats failed attempts, so its response is final.

    Args:
        address: internal address of the other router.
    """

    was_interrupted = False
    """A broken connection to a router does not show that a runner crashed."""

    ends_by_connection = False
    """Routers frame every response: the one that received it from a runner has checked its end."""

    def __init__(
        self,
        services: RequestServices,
        admitted: AdmittedRequest,
        listener: AttemptListener,
        address: str,
    ) -> None:
        self._services = services
        self._admitted = admitted
        self._listener = listener
        self.target = address
        self.software = f"unknown at {address}"
        self.was_sent = False
        self.status = 0
        self.headers: Headers = []
        self._buffer = BodyBuffer(services.body_memory)
        self._is_streamed = False
        self._is_over = False
        self.connection: ClientConnection | None = None

    @property
    def body(self) -> bytearray:
        """The buffered body of a response that is not streamed."""
        return self._buffer.data

    @property
    def connection_failure(self) -> str:
        """How the connection failed, or an empty string."""
        return "" if self.connection is None else self.connection.failure

    def send(self, head: bytes, body: bytes | bytearray = b"") -> None:
        """Send the request on a new connection, which cannot be stale."""
        try:
            self.connection = ClientConnection(
                self._services.loop, self.target, ClientConnection.close, _ignore
            )
        except OSError:
            self._services.loop.call_later(0.0, lambda: self.on_broken(False))
            return
        self.connection.send(head, self, body=body)

    def on_sent(self) -> None:
        """Record that the request may reach the other router."""
        self.was_sent = True

    def on_head(self, status: int, headers: Headers, length: int | None) -> None:
        """Record the response head; only a runner's success is streamed."""
        self.status = status
        self.headers = without_internal_fields(headers)
        self.software = read_software(headers) or self.software
        metadata = self._services.adapter.read_response_metadata(status, headers)
        instance = read_instance(headers)
        if metadata.is_draining and instance is not None:
            record_drain(self._services, instance, "forwarded response")
        if status < STATUS_MULTIPLE_CHOICES and not metadata.is_signed:
            self._fail(Failure.BROKEN)
            return
        is_stream = self._admitted.route.kind is RouteKind.STREAM
        self._is_streamed = is_stream and status < STATUS_MULTIPLE_CHOICES
        if self._is_streamed:
            self._listener.on_response_head(self)

    def on_body(self, data: bytes) -> None:
        """Process received bytes of the body."""
        if self._is_over:
            return
        if not self._is_streamed:
            if not self._buffer.append(data):
                log_warning("response_too_large", instance=self.target)
                self._fail(Failure.BROKEN)
            return
        try:
            self._listener.on_stream_data(data)
        except BrokenStreamError as exc:
            log_warning("stream_amiss", fault=str(exc), instance=self.target)
            self._fail(Failure.BROKEN)

    def on_complete(self) -> None:
        """Process the end of a response; one that ends with its connection was cut."""
        if self._is_over:
            return
        if self.connection is not None and self.connection.is_close_delimited:
            self._fail(Failure.BROKEN)
            return
        self._is_over = True
        self._buffer.release()
        if self._is_streamed:
            self._listener.on_stream_complete(self)
        else:
            self._listener.on_peer_response(self)

    def on_broken(self, was_sent: bool) -> None:
        """Process a connection that closed before the end of the response."""
        self._fail(Failure.BROKEN if was_sent else Failure.NOT_SENT)

    def cancel(self) -> None:
        """Cancel the attempt; the other router notices the closed connection."""
        self._is_over = True
        self._buffer.release()
        if self.connection is not None:
            self.connection.close()

    def _fail(self, failure: Failure) -> None:
        if not self._is_over:
            self.cancel()
            self._listener.on_failure(failure, self)


def _ignore(_connection: ClientConnection) -> None:
    return None
