"""Decision logic of requests at an agent (or a node's front), from arrival to final answer.

Each request is an instance of the ``request`` state chart.  This module turns events into
the chart's events and carries out the chart's actions as instructions.

See also: ``statecharts/request.toml``, :mod:`martenrun.edge.forward`.
"""

from collections.abc import Callable
from dataclasses import dataclass, field, replace

from martenrun.claims.record import ClaimState
from martenrun.constants import DECISION_TIMEOUT_S
from martenrun.errors import (
    DeadlineExceededError,
    EngineError,
    MartenrunError,
    NodeUnavailableError,
    OutcomeUnknownError,
    Ran,
    StreamBrokenError,
    error_classes,
)
from martenrun.events import (
    AttemptEnded,
    CallerGone,
    Event,
    Finish,
    Instruction,
    PeerMessage,
    RequestArrived,
    RunAttempt,
    Send,
    Tick,
)
from martenrun.identity.rendezvous import ranked
from martenrun.platform.engine import AttemptOutcome, AttemptResult
from martenrun.statecharts.compiler import load_chart
from martenrun.wire.messages import (
    AttemptReport,
    ClaimReport,
    DecideRequest,
    Grant,
    Queued,
    Refusal,
)
from martenrun.wire.messages import WithdrawRequest as Withdraw

MAXIMUM_ATTEMPTS = 4
"""Attempts at engines for one request, the first included."""

_CHART = load_chart("request")
_ERRORS = error_classes()


@dataclass
class ActiveRequest:
    """State of one request; ``attempt`` counts questions so that late answers do not match."""

    question: DecideRequest
    repeatable: bool
    state: str
    nodes: list[str]
    deadline: float
    asked_until: float = 0.0
    attempt: int = 0
    grant: Grant | None = None
    refusal: Refusal | None = None
    result: AttemptResult | None = None
    first_token_s: float = 0.0
    excluded: list[str] = field(default_factory=list)
    ran: Ran = Ran.NO


class RequestsLogic:
    """All requests in progress at one edge.

    Args:
        live_nodes: returns the addresses of nodes that may be asked.
    """

    def __init__(self, live_nodes: Callable[[], list[str]]) -> None:
        self._live_nodes = live_nodes
        self._active: dict[str, ActiveRequest] = {}
        self._actions: dict[str, Callable[[ActiveRequest, float], list[Instruction]]] = {
            "run_attempt": self._run_attempt,
            "wait_longer": self._wait_longer,
            "answer_refusal": self._answer_refusal,
            "withdraw": self._withdraw,
            "ask_next_node": self._ask_next_node,
            "answer_node_unavailable": self._answer_node_unavailable,
            "answer_deadline": self._answer_deadline,
            "report": self._report,
            "answer_complete": self._answer_complete,
            "exclude_runner": self._exclude_runner,
            "ask_again": self._ask_again,
            "answer_failure": self._answer_failure,
        }

    @property
    def active_count(self) -> int:
        """Number of requests without a final answer."""
        return len(self._active)

    def handle(self, event: Event, now: float) -> list[Instruction]:
        """Take in an event; see :class:`martenrun.events.DecisionLogic`."""
        match event:
            case RequestArrived():
                return self._arrived(event, now)
            case PeerMessage(peer, Grant() | Refusal() | Queued() as answer):
                return self._answered(peer, answer, now)
            case AttemptEnded():
                return self._attempt_ended(event, now)
            case CallerGone():
                return self._step(event.request_id, "caller_gone", now)
            case Tick():
                return self._check_times(now)
            case _:
                return []

    def _arrived(self, event: RequestArrived, now: float) -> list[Instruction]:
        question = event.question
        key = f"{question.tenant}\0{question.model}\0".encode() + question.chain[:8]
        request = ActiveRequest(
            question,
            event.repeatable,
            _CHART.initial,
            ranked(key, self._live_nodes()),
            now + question.deadline_s,
        )
        self._active[question.request_id] = request
        if not request.nodes:
            return self._step(question.request_id, "no_node_left", now)
        return self._ask(request, now)

    def _answered(
        self, peer: str, answer: Grant | Refusal | Queued, now: float
    ) -> list[Instruction]:
        request = self._active.get(answer.request_id)
        if request is None or answer.attempt != request.attempt:
            return _declined(peer, answer)
        if request.state != "deciding":
            return []  # The same answer again.
        if isinstance(answer, Grant):
            request.grant = answer
            return self._step(answer.request_id, "granted", now)
        if isinstance(answer, Queued):
            return self._step(answer.request_id, "queued", now)
        request.refusal = answer
        return self._step(answer.request_id, "refused", now)

    def _attempt_ended(self, event: AttemptEnded, now: float) -> list[Instruction]:
        request = self._active.get(event.request_id)
        if request is None or event.attempt != request.attempt:
            return []
        request.result = event.result
        request.first_token_s = event.first_token_s
        return self._step(event.request_id, self._classified(request), now)

    def _classified(self, request: ActiveRequest) -> str:
        """Return the chart event for the attempt's outcome.

        A non-repeatable request is tried again only if it certainly was not run; a
        repeatable one also if no output has reached the caller.
        """
        assert request.result is not None
        outcome = request.result.outcome
        if outcome is AttemptOutcome.COMPLETE:
            return "completed"
        if outcome is AttemptOutcome.CALLER_GONE:
            return "caller_gone"
        attempts_left = len(request.excluded) + 1 < MAXIMUM_ATTEMPTS
        may_repeat = outcome is AttemptOutcome.NOT_RUN or (
            outcome is AttemptOutcome.UNKNOWN and request.repeatable
        )
        return "may_retry" if attempts_left and may_repeat else "failed"

    def _check_times(self, now: float) -> list[Instruction]:
        instructions: list[Instruction] = []
        for request_id, request in list(self._active.items()):
            if request.state != "deciding":
                continue
            if now >= request.deadline:
                instructions += self._step(request_id, "deadline_passed", now)
            elif now >= request.asked_until:
                event = "node_silent" if len(request.nodes) > 1 else "no_node_left"
                instructions += self._step(request_id, event, now)
        return instructions

    def _step(self, request_id: str, event: str, now: float) -> list[Instruction]:
        request = self._active.get(request_id)
        if request is None:
            return []
        transition = _CHART.step(request.state, event)
        if transition is None:
            return []
        request.state = transition.next_state
        instructions: list[Instruction] = []
        for action in transition.actions:
            instructions += self._actions[action](request, now)
        if request.state in _CHART.final:
            self._active.pop(request_id, None)
            instructions += _claim_report(request)
        return instructions

    def _ask(self, request: ActiveRequest, now: float) -> list[Instruction]:
        request.attempt += 1
        request.asked_until = now + DECISION_TIMEOUT_S
        # A copy: a node's own front hands the object itself to the node's decision logic.
        question = replace(
            request.question,
            attempt=request.attempt,
            deadline_s=max(0.0, request.deadline - now),
            excluded_runners=list(request.excluded),
        )
        return [Send(request.nodes[0], question)]

    def _run_attempt(self, request: ActiveRequest, now: float) -> list[Instruction]:
        assert request.grant is not None
        request.ran = Ran.UNKNOWN
        return [RunAttempt(request.question.request_id, request.grant)]

    def _wait_longer(self, request: ActiveRequest, now: float) -> list[Instruction]:
        request.asked_until = now + DECISION_TIMEOUT_S
        return []

    def _withdraw(self, request: ActiveRequest, now: float) -> list[Instruction]:
        if not request.nodes:
            return []
        withdrawal = Withdraw(request.question.request_id, request.attempt)
        return [Send(request.nodes[0], withdrawal)]

    def _ask_next_node(self, request: ActiveRequest, now: float) -> list[Instruction]:
        request.nodes.pop(0)
        return self._ask(request, now)

    def _ask_again(self, request: ActiveRequest, now: float) -> list[Instruction]:
        return self._ask(request, now)

    def _exclude_runner(self, request: ActiveRequest, now: float) -> list[Instruction]:
        assert request.grant is not None
        request.excluded.append(request.grant.runner)
        return []

    def _report(self, request: ActiveRequest, now: float) -> list[Instruction]:
        assert request.grant is not None
        result = request.result or AttemptResult(AttemptOutcome.CALLER_GONE)
        report = AttemptReport(
            request.question.request_id,
            request.attempt,
            request.grant.runner,
            result.outcome.value,
            result.prompt_tokens,
            result.cached_tokens,
            result.output_tokens,
            request.first_token_s,
        )
        return [Send(request.nodes[0], report)]

    def _finish(self, request: ActiveRequest, error: MartenrunError | None) -> list[Instruction]:
        request.ran = Ran.YES if error is None else error.ran
        return [Finish(request.question.request_id, error, request.result)]

    def _answer_complete(self, request: ActiveRequest, now: float) -> list[Instruction]:
        return self._finish(request, None)

    def _answer_refusal(self, request: ActiveRequest, now: float) -> list[Instruction]:
        assert request.refusal is not None
        refusal = request.refusal
        kind = _ERRORS.get(refusal.code, MartenrunError)
        retry_after_s = refusal.retry_after_s if refusal.retry_after_s >= 0 else None
        error = MartenrunError.__new__(kind)
        MartenrunError.__init__(
            error,
            refusal.message,
            remedy=refusal.remedy or None,
            ran=Ran(refusal.ran),
            retry_after_s=retry_after_s,
        )
        return self._finish(request, error)

    def _answer_node_unavailable(self, request: ActiveRequest, now: float) -> list[Instruction]:
        error = NodeUnavailableError("no node answered in time", retry_after_s=1.0)
        return self._finish(request, error)

    def _answer_deadline(self, request: ActiveRequest, now: float) -> list[Instruction]:
        return self._finish(request, DeadlineExceededError("the deadline passed in the queue"))

    def _answer_failure(self, request: ActiveRequest, now: float) -> list[Instruction]:
        assert request.result is not None
        message = request.result.message
        error: MartenrunError
        if request.result.outcome is AttemptOutcome.NOT_RUN:
            error = EngineError(message, ran=Ran.NO, retry_after_s=1.0)
        elif request.result.outcome is AttemptOutcome.BROKEN:
            error = StreamBrokenError(message)
        else:
            error = OutcomeUnknownError(message)
        return self._finish(request, error)


def _declined(peer: str, answer: Grant | Refusal | Queued) -> list[Instruction]:
    """Give back a grant that nobody waits for any more."""
    if not isinstance(answer, Grant):
        return []
    return [Send(peer, Withdraw(answer.request_id, answer.attempt))]


def _claim_report(request: ActiveRequest) -> list[Instruction]:
    """Tell a node how a keyed request ended, unless nobody knows."""
    question = request.question
    if not question.idempotency_key or not request.nodes or request.ran is Ran.UNKNOWN:
        return []
    state = ClaimState.DONE if request.ran is Ran.YES else ClaimState.RELEASED
    report = ClaimReport(
        question.request_id, question.tenant, question.idempotency_key, state.value
    )
    return [Send(request.nodes[0], report)]
