"""Decision logic that lets a non-repeatable request go on only while it holds its claim.

A question with an idempotency key waits here until the object API shows that the claim of
that key belongs to the asking request.  Only then does :class:`QuestionCleared` pass it to
routing.  A write whose answer was lost is read back before anything else is done; a claim
that is not certainly held is never acted upon.

One request asks under one unique id and itself uses at most one grant at a time, so a claim
found under the same id, from an earlier attempt or through another node, is its own.

See also: ``docs/design/claims.md``, :mod:`martenrun.claims.release`.
"""

import itertools
from collections.abc import Callable
from dataclasses import dataclass

from martenrun.claims.record import (
    ClaimRecord,
    ClaimState,
    claim_name,
    decode_claim,
    encode_claim,
)
from martenrun.claims.release import ClaimEnd, ClaimEnds
from martenrun.constants import CLAIM_KIND
from martenrun.errors import (
    DuplicateRequestError,
    MartenrunError,
    Ran,
    StoreUnavailableError,
)
from martenrun.events import (
    Event,
    Instruction,
    PeerMessage,
    QuestionCleared,
    Send,
    StoreAnswered,
    StoreOutcome,
    StoreRead,
    StoreWrite,
    Tell,
    Tick,
)
from martenrun.wire.messages import (
    ClaimReport,
    DecideRequest,
    Queued,
    WithdrawRequest,
)
from martenrun.wire.refusals import refusal_of

CLAIM_LIMIT_S = 2.0
"""Longest time a question waits for its claim before it is refused, in seconds."""

NOTICE_INTERVAL_S = 0.4
"""Time between two messages that tell the agent its question still waits, in seconds."""

RETRY_PAUSE_S = 0.1
"""Pause after a call of the object API whose outcome is unknown, in seconds."""

MAXIMUM_CALLS = 256
"""Calls of the object API in progress before further keyed questions are refused."""

RETRY_AFTER_S = 2.0
"""When a caller refused for want of the object API should come back, in seconds."""


@dataclass(slots=True)
class PendingClaim:
    """A question that waits for its claim.

    Attributes:
        name: name of the claim object.
        version: version to replace, 0 to create.
        resume_at: when to read back after an unknown outcome, or None while a call runs.
    """

    peer: str
    question: DecideRequest
    name: str
    give_up_at: float
    notice_at: float
    version: int = 0
    resume_at: float | None = None

    @property
    def holder(self) -> str:
        """Id that the claim must carry for the question to go on."""
        return self.question.request_id


class ClaimsLogic:
    """Claims of the questions that reached this node.

    Args:
        own_name: a name unique to this process, for the ids of its calls.
    """

    handles = frozenset({Tick, StoreAnswered, DecideRequest, WithdrawRequest, ClaimReport})

    def __init__(self, own_name: str) -> None:
        self._prefix = f"claim/{own_name}/"
        self._counter = itertools.count()
        self._pending: dict[tuple[str, int], PendingClaim] = {}
        self._calls: dict[str, PendingClaim | ClaimEnd] = {}
        self._ends = ClaimEnds(self._call)
        self._on_outcome: dict[StoreOutcome, Callable[..., list[Instruction]]] = {
            StoreOutcome.DONE: self._done,
            StoreOutcome.CONFLICT: self._read,
            StoreOutcome.NOT_FOUND: self._not_found,
            StoreOutcome.UNKNOWN: self._pause,
        }

    @property
    def pending_count(self) -> int:
        """Questions that wait for their claim."""
        return len(self._pending)

    def handle(self, event: Event, now: float) -> list[Instruction]:
        """Take in an event; see :class:`martenrun.events.DecisionLogic`."""
        match event:
            case PeerMessage(peer, DecideRequest() as question) if question.idempotency_key:
                return self._asked(peer, question, now)
            case PeerMessage(_, WithdrawRequest(request_id, attempt)):
                self._pending.pop((request_id, attempt), None)
            case PeerMessage(_, ClaimReport() as report):
                return self._ends.reported(report, self._calls_of(report.request_id))
            case StoreAnswered() if event.call_id in self._calls:
                return self._answered(event, now)
            case Tick():
                return self._check_times(now)
        return []

    def _asked(self, peer: str, question: DecideRequest, now: float) -> list[Instruction]:
        identity = (question.request_id, question.attempt)
        if identity in self._pending:
            return []
        name = claim_name(question.tenant, question.idempotency_key)
        pending = PendingClaim(peer, question, name, now + CLAIM_LIMIT_S, now + NOTICE_INTERVAL_S)
        if len(self._calls) >= MAXIMUM_CALLS:
            return [_refused(pending, _store_unavailable("too many claims are in progress"))]
        self._pending[identity] = pending
        return self._write(pending)

    def _answered(self, event: StoreAnswered, now: float) -> list[Instruction]:
        call = self._calls.pop(event.call_id)
        if isinstance(call, ClaimEnd):
            return self._ends.answered(call, event)
        settled = self._ends.calls_settled(call.holder, self._calls_of(call.holder))
        if self._pending.get((call.holder, call.question.attempt)) is not call:
            return settled  # Withdrawn or refused meanwhile: whatever the store says, it stops.
        return settled + self._on_outcome[event.outcome](call, event, now)

    def _done(self, pending: PendingClaim, event: StoreAnswered, now: float) -> list[Instruction]:
        if event.found is None:
            return self._clear(pending)
        return self._judge(pending, decode_claim(event.found.document), event.version)

    def _judge(self, pending: PendingClaim, record: ClaimRecord, version: int) -> list[Instruction]:
        """Decide by the claim found in the object API."""
        if record.state is ClaimState.DONE:
            return self._refuse(pending, _duplicate("has been run", Ran.YES))
        if record.holder == pending.holder:
            if record.state is ClaimState.HELD:
                return self._clear(pending)
            return self._refuse(pending, _duplicate("was given up", Ran.NO))
        if record.state is ClaimState.HELD:
            return self._refuse(pending, _duplicate("may be running or have run", Ran.UNKNOWN))
        pending.version = version
        return self._write(pending)

    def _not_found(
        self, pending: PendingClaim, event: StoreAnswered, now: float
    ) -> list[Instruction]:
        # An unanswered create may still land; creating again under the same id is harmless.
        pending.version = 0
        return self._write(pending)

    def _pause(self, pending: PendingClaim, event: StoreAnswered, now: float) -> list[Instruction]:
        pending.resume_at = now + RETRY_PAUSE_S
        return []

    def _check_times(self, now: float) -> list[Instruction]:
        instructions = self._ends.resume(now)
        for pending in list(self._pending.values()):
            if now >= pending.give_up_at:
                error = _store_unavailable("the claim of the key could not be settled in time")
                instructions += self._refuse(pending, error)
                continue
            if pending.resume_at is not None and now >= pending.resume_at:
                pending.resume_at = None
                instructions += self._read(pending)
            if now >= pending.notice_at:
                pending.notice_at = now + NOTICE_INTERVAL_S
                instructions.append(_notice(pending, now))
        return instructions

    def _clear(self, pending: PendingClaim) -> list[Instruction]:
        self._drop(pending)
        return [Tell(QuestionCleared(pending.peer, pending.question))]

    def _refuse(self, pending: PendingClaim, error: MartenrunError) -> list[Instruction]:
        self._drop(pending)
        return [_refused(pending, error)]

    def _drop(self, pending: PendingClaim) -> None:
        self._pending.pop((pending.holder, pending.question.attempt), None)

    def _write(self, pending: PendingClaim) -> list[Instruction]:
        document = encode_claim(ClaimRecord(pending.holder, ClaimState.HELD))
        call_id = self._call(pending)
        return [StoreWrite(call_id, CLAIM_KIND, pending.name, pending.version, document)]

    def _read(self, pending: PendingClaim, *_: object) -> list[Instruction]:
        return [StoreRead(self._call(pending), CLAIM_KIND, pending.name)]

    def _call(self, call: PendingClaim | ClaimEnd) -> str:
        call_id = f"{self._prefix}{next(self._counter)}"
        self._calls[call_id] = call
        return call_id

    def _calls_of(self, holder: str) -> int:
        """Count the claiming calls of a request whose answers are outstanding."""
        return sum(
            isinstance(call, PendingClaim) and call.holder == holder
            for call in self._calls.values()
        )


def _store_unavailable(reason: str) -> StoreUnavailableError:
    message = f"{reason}; this arrival was not run, an earlier one of the same key may have been"
    remedy = "Send it again with the same idempotency key after Retry-After."
    return StoreUnavailableError(message, remedy=remedy, retry_after_s=RETRY_AFTER_S)


def _duplicate(what: str, ran: Ran) -> DuplicateRequestError:
    return DuplicateRequestError(f"a request with this idempotency key {what}", ran=ran)


def _refused(pending: PendingClaim, error: MartenrunError) -> Send:
    return Send(pending.peer, refusal_of(pending.question, error))


def _notice(pending: PendingClaim, now: float) -> Send:
    question = pending.question
    expected_wait_s = pending.give_up_at - now
    return Send(pending.peer, Queued(question.request_id, question.attempt, expected_wait_s))
