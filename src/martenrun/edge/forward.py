"""Carrying one request's bytes between the caller and an engine.

The code runs on the HTTP server's thread.  It decides nothing: it tells the loop what
happened and does what the loop's instructions say.  Once a stream flows, the relay's thread moves
its bytes, and the server's thread waits.

See also: :mod:`martenrun.agent.requests`, which decides, :mod:`martenrun.edge.relay`.
"""

import queue
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from martenrun.backends.attempt import EngineAttempt
from martenrun.backends.engine import AttemptOutcome, EngineConnections, EngineRequest
from martenrun.backends.kv_transfers import ImportOffer
from martenrun.backends.stream_progress import StreamProgress
from martenrun.constants import ENGINE_READ_TIMEOUT_S, RESUME_WINDOW_S
from martenrun.edge.relay import CallerOutput, StreamRelay
from martenrun.edge.request import CallerRequest
from martenrun.edge.watch import CallerWatch, WatchedCaller
from martenrun.errors import (
    MartenrunError,
    OutcomeUnknownError,
    StoppingError,
    StreamBrokenError,
)
from martenrun.events import AttemptEnded, CallerGone, Event, Finish, RequestArrived, RunAttempt
from martenrun.observability.requests import RequestObservation
from martenrun.wire.messages import Grant

MINIMUM_WAIT_S = 0.05
"""Shortest time an engine is given for its first token, in seconds."""


RETRY_AFTER_S = 1.0
"""When a caller whose request was cut before it began should come back, in seconds."""


@dataclass(frozen=True)
class CallerNotice:
    """The caller has gone; put into a mailbox to end a wait."""


@dataclass(frozen=True)
class StopNotice:
    """The process stops and its drain time is over; put into a mailbox to end a wait."""


Mailbox = queue.SimpleQueue[RunAttempt | Finish | CallerNotice | StopNotice]


@dataclass
class EdgePort:
    """Connects edge threads with the loop.

    Attributes:
        tell: gives an event to the loop.
        mailboxes: where each request's instructions are put, by request id.
        watch: notices callers who have gone.
        relay: moves the bytes of streams that flow.
    """

    tell: Callable[[Event], None]
    mailboxes: dict[str, Mailbox] = field(default_factory=dict)
    watch: CallerWatch = field(default_factory=CallerWatch)
    relay: StreamRelay = field(default_factory=StreamRelay)

    def deliver(self, instruction: RunAttempt | Finish) -> None:
        """Hand an instruction of the loop to the thread that carries the request."""
        mailbox = self.mailboxes.get(instruction.request_id)
        if mailbox is not None:
            mailbox.put(instruction)


class Forwarder:
    """Carries one request; use it as an iterator of output pieces, then close it.

    With an ``output``, everything after an attempt's first events goes there.
    """

    def __init__(
        self,
        port: EdgePort,
        engines: EngineConnections,
        request: CallerRequest,
        caller_gone: Callable[[], bool],
        observation: RequestObservation,
        token_gap_timeout_s: float,
        output: CallerOutput | None = None,
    ) -> None:
        self._port = port
        self._engines = engines
        self._request = request
        self._caller_gone = caller_gone
        self._observation = observation
        self._token_gap_timeout_s = token_gap_timeout_s
        self._output = output
        self._mailbox: Mailbox = queue.SimpleQueue()
        self._request_id = request.question.request_id
        self._progress = StreamProgress()
        self._deadline = time.monotonic() + request.question.deadline_s
        self._attempt: EngineAttempt | None = None
        self._has_left = False
        self._is_cut = False
        self._attempts = 0
        self._is_complete = False

    def run(self) -> Iterator[bytes]:
        """Yield server-sent events, or one whole body; raises a MartenrunError at the end.

        Closing the iterator, as the HTTP server does when the caller has gone, cancels the
        engine's work.
        """
        self._port.mailboxes[self._request_id] = self._mailbox
        watched = WatchedCaller(self._caller_gone, self._leave, self._cut)
        self._port.watch.add(self._request_id, watched)
        is_over = False
        try:
            self._port.tell(RequestArrived(self._request.question, self._request.repeatable))
            while True:
                instruction = self._mailbox.get()
                if isinstance(instruction, CallerNotice):
                    raise CallerLeft
                if isinstance(instruction, StopNotice):
                    if self._is_complete:
                        continue  # Its final answer is on the way.
                    raise self._cut_error()
                if isinstance(instruction, Finish):
                    break
                yield from self._run_attempt(instruction)
            is_over = True
            yield from _final_pieces(instruction)
        finally:
            if not is_over:
                self._port.tell(CallerGone(self._request_id))
            self._port.watch.remove(self._request_id)
            del self._port.mailboxes[self._request_id]

    def _leave(self) -> None:
        """End every wait of this request; called from the watching thread."""
        self._has_left = True
        self._break_off(CallerNotice())

    def _cut(self) -> None:
        """End this request with a typed error; called from the stopping thread."""
        self._is_cut = True
        self._break_off(StopNotice())

    def _break_off(self, notice: CallerNotice | StopNotice) -> None:
        attempt = self._attempt
        if attempt is not None:
            attempt.abort()
        self._mailbox.put(notice)

    def _cut_error(self) -> MartenrunError:
        """Return what is true of a request that the process's stop has ended."""
        reason = "the process was stopped and the drain time is over"
        if self._progress.has_events:
            return StreamBrokenError(f"the stream is not whole: {reason}")
        if self._attempts:
            return OutcomeUnknownError(reason)
        return StoppingError(reason, retry_after_s=RETRY_AFTER_S)

    def _run_attempt(self, instruction: RunAttempt) -> Iterator[bytes]:
        grant = instruction.grant
        started = time.monotonic()
        first_token_s = 0.0
        attempt = EngineAttempt(grant.address, self._engine_request(instruction), self._progress)
        self._attempt = attempt
        if self._has_left:
            raise CallerLeft
        if self._is_cut:
            raise self._cut_error()
        has_resumed = self._progress.has_events
        self._observation.attempt_started(not self._attempts, has_resumed)
        self._attempts += 1
        try:
            for event in attempt.first_events():
                first_token_s = first_token_s or time.monotonic() - started
                self._passing_on()
                yield event
            if self._output is not None and not attempt.is_over:
                self._port.relay.carry(attempt, self._output, self._passing_on)
            for event in attempt.further_events():
                self._passing_on()
                yield event
        finally:
            self._attempt = None
            if attempt.result.outcome is AttemptOutcome.CALLER_GONE:
                attempt.abort()
                self._engines.cancel(grant.address, self._request_id)
            attempt.close()
        if attempt.result.outcome is AttemptOutcome.CALLER_GONE:
            raise self._cut_error() if self._is_cut else CallerLeft()
        self._observation.attempt_ended(attempt.result, has_resumed)
        self._is_complete = attempt.result.outcome is AttemptOutcome.COMPLETE
        self._port.tell(
            AttemptEnded(
                self._request_id,
                grant.attempt,
                attempt.result,
                first_token_s,
                can_resume=self._progress.can_resume,
            )
        )

    def _passing_on(self) -> None:
        """Count an event that the caller gets."""
        self._observation.output(self._progress.tokens)

    def _engine_request(self, instruction: RunAttempt) -> EngineRequest:
        grant = instruction.grant
        least_s = RESUME_WINDOW_S if self._progress.has_events else MINIMUM_WAIT_S
        left_s = max(least_s, self._deadline - time.monotonic())
        # Only a stream shows that it lives before it is whole.
        silence_s = min(ENGINE_READ_TIMEOUT_S, left_s) if self._request.stream else left_s
        return EngineRequest(
            self._request.path,
            self._request.engine_body(grant.priority, self._progress.resume_fields()),
            grant.incarnation,
            self._request.stream,
            silence_s,
            self._token_gap_timeout_s,
            grant.weights_version,
            _import_header(grant),
        )


def _import_header(grant: Grant) -> str:
    if not grant.import_blocks:
        return ""
    wait_ms = grant.import_wait_ms
    return ImportOffer(grant.import_blocks, grant.import_least_blocks, wait_ms).header()


class CallerLeft(Exception):  # noqa: N818 - it is not an error
    """The caller closed its connection before its request was over."""


def _final_pieces(finish: Finish) -> Iterator[bytes]:
    error: MartenrunError | None = finish.error
    if error is not None:
        raise error
    if finish.result is not None and finish.result.body:
        yield finish.result.body
