"""Carrying one request's bytes between the caller and an engine.

The code runs on the HTTP server's thread.  It decides nothing: it tells the loop what
happened and does what the loop's instructions say.

See also: :mod:`martenrun.agent.requests`, which decides.
"""

import queue
import time
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field

from martenrun.edge.request import CallerRequest
from martenrun.errors import MartenrunError
from martenrun.events import AttemptEnded, CallerGone, Event, Finish, RequestArrived, RunAttempt
from martenrun.platform.engine import EngineConnections, EngineRequest

Mailbox = queue.SimpleQueue[RunAttempt | Finish]


@dataclass
class EdgePort:
    """Connects edge threads with the loop.

    Attributes:
        tell: gives an event to the loop.
        mailboxes: where each request's instructions are put, by request id.
    """

    tell: Callable[[Event], None]
    mailboxes: dict[str, Mailbox] = field(default_factory=dict)

    def deliver(self, instruction: RunAttempt | Finish) -> None:
        """Hand an instruction of the loop to the thread that carries the request."""
        mailbox = self.mailboxes.get(instruction.request_id)
        if mailbox is not None:
            mailbox.put(instruction)


class Forwarder:
    """Carries one request; use it as an iterator of output pieces, then close it."""

    def __init__(
        self,
        port: EdgePort,
        engines: EngineConnections,
        request: CallerRequest,
        caller_gone: Callable[[], bool],
    ) -> None:
        self._port = port
        self._engines = engines
        self._request = request
        self._caller_gone = caller_gone
        self._mailbox: Mailbox = queue.SimpleQueue()
        self._request_id = request.question.request_id

    def run(self) -> Iterator[bytes]:
        """Yield server-sent events, or one whole body; raises a MartenrunError at the end.

        Closing the iterator, as the HTTP server does when the caller has gone, cancels the
        engine's work.
        """
        self._port.mailboxes[self._request_id] = self._mailbox
        try:
            self._port.tell(RequestArrived(self._request.question, self._request.repeatable))
            while True:
                instruction = self._next_instruction()
                if isinstance(instruction, Finish):
                    break
                yield from self._attempt(instruction)
            yield from _final_pieces(instruction)
        finally:
            del self._port.mailboxes[self._request_id]

    def _next_instruction(self) -> RunAttempt | Finish:
        while True:
            try:
                return self._mailbox.get(timeout=0.5)
            except queue.Empty:
                if self._caller_gone():
                    self._port.tell(CallerGone(self._request_id))
                    raise CallerLeft from None

    def _attempt(self, instruction: RunAttempt) -> Iterator[bytes]:
        grant = instruction.grant
        body = self._request.engine_body(grant.priority)
        engine_request = EngineRequest(
            self._request.path,
            body,
            grant.incarnation,
            self._request.stream,
            grant.weights_version,
        )
        started = time.monotonic()
        first_token_s = 0.0
        attempt = self._engines.start(grant.address, engine_request)
        finished = False
        try:
            for piece in attempt.events():
                first_token_s = first_token_s or time.monotonic() - started
                yield piece
            finished = True
        finally:
            if not finished:
                self._engines.cancel(grant.address, self._request_id)
                self._port.tell(CallerGone(self._request_id))
            attempt.close()
        self._port.tell(
            AttemptEnded(self._request_id, grant.attempt, attempt.result, first_token_s)
        )


class CallerLeft(Exception):  # noqa: N818 - it is not an error
    """The caller closed its connection while its request waited."""


def _final_pieces(finish: Finish) -> Iterator[bytes]:
    error: MartenrunError | None = finish.error
    if error is not None:
        raise error
    if finish.result is not None and finish.result.body:
        yield finish.result.body
