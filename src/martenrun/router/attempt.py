"""One attempt of a request at one runner, and the runner state learned from its response."""

from collections.abc import Callable
from typing import Protocol

import attrs

from martenrun.net.client import CONNECT_TIMEOUT_S, ClientConnection
from martenrun.net.http import Headers
from martenrun.net.response_limits import BodyBuffer
from martenrun.router.event_stream import BrokenStreamError
from martenrun.router.forwarded_request import with_instance, without_internal_fields
from martenrun.router.log import log_warning
from martenrun.router.messages import AdmittedRequest, RouteKind, unknown_software
from martenrun.router.quotas.gate import Grant
from martenrun.router.request_services import RequestServices
from martenrun.router.response_metadata import ResponseMetadata
from martenrun.router.retry import Failure
from martenrun.router.runner_responses import RunnerResponse, record_response, returned_head
from martenrun.router.runner_state import (
    FULL_RUNNER_INTERVAL_S,
    LOADING_TIMEOUT_S,
    RunnerState,
)

RESTART_NOTICE_S = 3.0
"""Time within which a router learns of a runner's restart, in seconds."""

SUSPENSION_MARGIN_S = 0.2
"""A connect that exceeds CONNECT_TIMEOUT_S by more than this many seconds means the process was
suspended meanwhile.
"""

STATUS_MULTIPLE_CHOICES = 300
STATUS_MISDIRECTED = 421
STATUS_SERVER_ERROR = 500


@attrs.frozen
class AttemptLoad:
    """Load that a request puts on a runner: tokens to prefill and KV cache tokens."""

    prefill_tokens: float
    kv_cache_tokens: int


class SentRequest(Protocol):
    """An attempt at a runner or at another router.

    Attributes:
        target: the runner's instance or the router's address.
        software: software version of the runner; see :attr:`Runner.software_id`.
        was_sent: whether bytes of the request may have been sent.
        was_interrupted: whether a runner's connection broke after that.
        connection_failure: how the connection failed, or an empty string.
        ends_by_connection: whether the response's end is that of the connection to a runner, as if
            the runner had crashed.
    """

    target: str
    software: str
    was_sent: bool
    was_interrupted: bool
    status: int
    headers: Headers
    connection: ClientConnection | None

    @property
    def body(self) -> bytearray:
        """The buffered body of a response that is not streamed."""

    @property
    def connection_failure(self) -> str:
        """How the connection failed, or an empty string."""

    @property
    def ends_by_connection(self) -> bool:
        """Whether the response's end is that of the connection to a runner."""

    def cancel(self) -> None:
        """Cancel the attempt by closing its connection."""


class AttemptListener(Protocol):
    """Callbacks for the events of an attempt."""

    def on_response_head(self, attempt: SentRequest) -> None:
        """Handle the response head of a stream."""

    def on_stream_data(self, data: bytes) -> None:
        """Handle received stream bytes; raises BrokenStreamError if they are invalid."""

    def on_stream_complete(self, attempt: SentRequest) -> None:
        """Handle the regular end of a stream."""

    def on_response_complete(self, attempt: "Attempt") -> None:
        """Handle a runner's complete buffered response."""

    def on_peer_response(self, attempt: SentRequest) -> None:
        """Handle the complete buffered response of another router."""

    def on_failure(self, failure: Failure, attempt: SentRequest) -> None:
        """Handle an attempt that failed without a usable response."""


class Attempt:
    """One attempt of a request at one runner; see :class:`martenrun.net.client.ResponseReader`.

    Args:
        listener: receives the events of the attempt.
        state: state of the runner.
        load: load that the request adds to the runner.
        has_grant: whether the request may be sent even if the runner is rate-limited.
        is_blocked: returns whether the request has become known to crash runners.

    Attributes:
        started_at: monotonic time at which it was started, in seconds.
        permit: grant for a part of the runner's capacity, returned at the end; None if none is
            needed.
    """

    def __init__(
        self,
        services: RequestServices,
        admitted: AdmittedRequest,
        listener: AttemptListener,
        state: RunnerState,
        load: AttemptLoad,
        has_grant: bool = False,
        is_blocked: Callable[[], bool] = lambda: False,
    ) -> None:
        self._services = services
        self._admitted = admitted
        self._listener = listener
        self.state = state
        self.target = state.runner.instance
        self.software = state.software_id
        self._prefill_tokens = load.prefill_tokens
        self._kv_cache_tokens = load.kv_cache_tokens
        self._has_grant = has_grant
        self._is_blocked = is_blocked
        self.has_body_started = False
        self.started_at = self._data_at = services.loop.now()
        self._tokens_ahead = state.backlog_tokens + load.prefill_tokens
        state.pending_prefill_tokens += load.prefill_tokens
        state.kv_cache_tokens += load.kv_cache_tokens
        services.on_prefill_changed(state)
        self.connection: ClientConnection | None = None
        self.was_sent = False
        self.was_interrupted = False
        self.permit: Grant | None = None
        self.status = 0
        self.headers: Headers = []
        self._buffer = BodyBuffer(services.body_memory)
        self.is_streamed = False
        self._metadata: ResponseMetadata | None = None
        self._is_over = False

    @property
    def connection_failure(self) -> str:
        """How the connection failed, or an empty string."""
        return "" if self.connection is None else self.connection.failure

    @property
    def body(self) -> bytearray:
        """The buffered body of a response that is not streamed."""
        return self._buffer.data

    @property
    def ends_by_connection(self) -> bool:
        """Whether the response's end is that of the connection to a runner."""
        return self.connection is not None and self.connection.is_close_delimited

    def is_at_upgraded_runner(self) -> bool:
        """Return whether its runner has restarted with other software, as became known lately.

        The request may have reached the runner before or after that.
        """
        runner = self.state.runner
        if self.software == unknown_software(runner):
            return False
        is_upgraded = self.state.has_restarted or self._services.runners.has_other_software(
            runner, self.software
        )
        is_recent = self._services.loop.now() - self.started_at < RESTART_NOTICE_S
        return is_upgraded and is_recent

    def confirm_software(self, on_confirmed: Callable[[bool], None]) -> None:
        """Find out whether the response was written by the software that its runner's entry shows.

        Passes on False if that is unknown.
        """

        def on_started(is_confirmed: bool) -> None:
            on_confirmed(is_confirmed and not self.is_at_upgraded_runner())

        check = self._services.instance_check
        if check is None or self.connection is None or not self.has_body_started:
            on_started(True)
            return
        opened_at = self.connection.opened_at
        check.confirm_start(self.state, opened_at, self.was_interrupted, on_started)

    def silent_s(self, now: float) -> float:
        """Return the time without data from the runner since the attempt began, in seconds."""
        return now - max(self.started_at, self._data_at)

    def on_sent(self) -> None:
        """Mark the request as sent, unless it must be withdrawn.

        It fails if the process was suspended during the connect, because its deadline header was
        computed before.
        """
        if self._services.loop.now() - self.started_at > CONNECT_TIMEOUT_S + SUSPENSION_MARGIN_S:
            self._fail(Failure.NOT_SENT)
            return
        limits = self._services.runner_limits
        if not self._has_grant and limits.limit(self.state.runner.instance) is not None:
            limits.count("withheld")
            self._withdraw()
        elif self.state.is_backing_off(self._services.loop.now()):
            self._services.count_notice("withheld")
            self._withdraw()
        elif self._is_blocked():
            self._withdraw()
        else:
            self.was_sent = True

    def _withdraw(self) -> None:
        """Send the request elsewhere: what forbids it became known while connecting.

        Not a failure of the runner.
        """
        self.cancel()
        self._listener.on_failure(Failure.NOT_SENT, self)

    def on_head(self, status: int, headers: Headers, length: int | None) -> None:
        """Process the response head; an encoded or unsigned response fails the attempt."""
        now = self._services.loop.now()
        self.state.record_data(now)
        self._data_at = now
        if self.connection is not None:
            self._services.reachability.record_response(
                self._admitted.service, self.connection.opened_at, now
            )
        self.status = status
        metadata = self._services.adapter.read_response_metadata(status, headers)
        self._metadata = metadata
        self.headers = headers
        if self._admitted.call.forwarded is not None:
            # Fields of the runner must not be taken for those that routers add for each other.
            self.headers = without_internal_fields(headers)
            if metadata.is_draining:
                self.headers = with_instance(headers, self.state.runner.instance)
        head = RunnerResponse(headers, metadata, self.started_at)
        record_response(self._services, self.state, head)
        if metadata.is_not_executed:
            return
        self.state.record_accepted(self.started_at)
        if metadata.is_encoded or (status < STATUS_MULTIPLE_CHOICES and not metadata.is_signed):
            self._fail(Failure.BROKEN)
            return
        head = RunnerResponse(self.headers, metadata, self.started_at)
        self.status, self.headers = returned_head(self._services, self.state, head, status)
        is_stream = self._admitted.route.kind is RouteKind.STREAM
        self.is_streamed = is_stream and status < STATUS_MULTIPLE_CHOICES
        if self.is_streamed:
            self._listener.on_response_head(self)
        elif not self._buffer.fits(length or 0):
            self._fail_too_large()

    def on_body(self, data: bytes) -> None:
        """Process received bytes of the body."""
        if self._is_over:
            return
        now = self._services.loop.now()
        self.state.record_data(now)
        self._data_at = now
        if self.is_streamed and not self.has_body_started:
            prefill_rate = self._services.overload_guard(self._admitted.service).prefill_rate
            prefill_rate.add_sample(self._tokens_ahead, now - self.started_at)
        self._finish_prefill()
        self.has_body_started = True
        if not self.is_streamed:
            if not self._buffer.append(data):
                self._fail_too_large()
            return
        try:
            self._listener.on_stream_data(data)
        except BrokenStreamError as exc:
            log_warning("stream_amiss", fault=str(exc), instance=self.state.runner.instance)
            self._fail(Failure.BROKEN)

    def on_complete(self) -> None:
        """Process the end of a complete response."""
        if self._is_over:
            return
        if self._metadata is not None and self._metadata.is_not_executed:
            self._handle_refusal()
            self._finish()
            self._listener.on_failure(Failure.NOT_EXECUTED, self)
            return
        self._finish()
        now = self._services.loop.now()
        if self.status >= STATUS_SERVER_ERROR:
            self.state.record_failure(now)
        else:
            self.state.record_success(now)
        if self.is_streamed:
            self._listener.on_stream_complete(self)
        else:
            self._listener.on_response_complete(self)

    def on_broken(self, was_sent: bool) -> None:
        """Process a connection that closed before the end of the response."""
        now = self._services.loop.now()
        self.state.connection_broken_at = now
        if not was_sent and now - self.started_at >= CONNECT_TIMEOUT_S:
            self.state.connecting_since = self.started_at
        if not self.status and self.connection is not None:
            self._record_failed_connection(self.connection, was_sent)
        self.was_interrupted = was_sent
        self._fail(Failure.BROKEN if was_sent else Failure.NOT_SENT)

    def cancel(self) -> None:
        """Cancel the attempt by closing its connection to the runner."""
        if not self._is_over:
            self._finish()
            if self.connection is not None:
                self.connection.close()

    def _fail_too_large(self) -> None:
        log_warning("response_too_large", instance=self.state.runner.instance)
        self._fail(Failure.BROKEN)

    def _fail(self, failure: Failure) -> None:
        if self._is_over:
            return
        self.cancel()
        self.state.record_failure(self._services.loop.now())
        self._listener.on_failure(failure, self)

    def _finish_prefill(self) -> None:
        """Subtract the prompt from the runner's pending prefill; the first token ends prefill."""
        if not self._prefill_tokens:
            return
        self.state.pending_prefill_tokens -= self._prefill_tokens
        self._prefill_tokens = 0.0
        self._services.on_prefill_changed(self.state)

    def _finish(self) -> None:
        self._is_over = True
        self._buffer.release()
        self._finish_prefill()
        self.state.kv_cache_tokens -= self._kv_cache_tokens
        self.state.record_finished()
        self._return_permit()

    def _return_permit(self) -> None:
        """Return the permit for a part of the runner's capacity.

        It is kept if the runner had no room, so that fewer requests are sent to it for a while.
        """
        permit, self.permit = self.permit, None
        was_rejected = self._metadata is not None and self._metadata.is_not_executed
        had_no_room = was_rejected and self.status != STATUS_MISDIRECTED
        if permit is not None and not had_no_room and self._services.quotas is not None:
            self._services.quotas.give_back(permit)

    def _record_failed_connection(self, connection: ClientConnection, was_sent: bool) -> None:
        """Record a connection that failed before any response.

        A reused connection may only have been stale, and one whose timeout fired late may have
        been established while the process was suspended.
        """
        now = self._services.loop.now()
        if was_sent:
            self._services.pool.record_broken_connection(connection)
        is_late = not was_sent and now - self.started_at > CONNECT_TIMEOUT_S + SUSPENSION_MARGIN_S
        if not connection.was_kept_alive and not is_late:
            self._services.reachability.record_failure(
                self._admitted.service, self.state.runner.instance, now
            )

    def _handle_refusal(self) -> None:
        now = self._services.loop.now()
        if self.status != STATUS_MISDIRECTED:
            if not self.state.is_backing_off(now):
                self.state.record_refusal(self.started_at, now)
            return
        model = self._admitted.call.model
        instance = self._services.adapter.responding_instance(self.headers)
        target = None if model is None else self._services.weights.targets.get(model)
        if instance != self.state.runner.name or model is None or target is None:
            # Another runner uses this address.
            self.state.loading_until = now + LOADING_TIMEOUT_S
        elif target.version > (self.state.weights_version(model) or 0):
            self.state.record_weights(model, target.version)
        else:
            self.state.full_until = now + FULL_RUNNER_INTERVAL_S
