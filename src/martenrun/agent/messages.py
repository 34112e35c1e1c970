"""Messages by which an edge tells nodes about its requests.

See also: :mod:`martenrun.agent.requests`.
"""

from dataclasses import replace

from martenrun.agent.active import RETRY_AFTER_S, ActiveRequest
from martenrun.backends.engine import AttemptOutcome, AttemptResult
from martenrun.claims.record import ClaimState
from martenrun.errors import NoRunnerError, Ran, StreamBrokenError
from martenrun.events import Instruction, Send
from martenrun.wire.messages import (
    AttemptReport,
    ClaimReport,
    DecideRequest,
    Grant,
    Queued,
    Refusal,
    WithdrawRequest,
)
from martenrun.wire.refusals import refusal_of


def question_message(request: ActiveRequest, now: float) -> Instruction:
    """Return the question to the node that is asked at present."""
    # A copy: a node's own front hands the object itself to the node's decision logic.
    question = replace(
        request.question,
        attempt=request.attempt,
        deadline_s=max(0.0, request.deadline - now),
        excluded_runners=list(request.excluded),
    )
    return Send(request.nodes[0], question)


def withdrawal(request: ActiveRequest) -> list[Instruction]:
    """Take the present question back from the node that was asked, if any was."""
    if not request.nodes:
        return []
    message = WithdrawRequest(request.question.request_id, request.attempt)
    return [Send(request.nodes[0], message)]


def attempt_report(request: ActiveRequest) -> Instruction:
    """Return how an attempt ended, for the node that granted it."""
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
        result.import_held_blocks,
        result.imported_blocks,
        result.import_ms,
    )
    return Send(request.nodes[0], report)


def weights_changed(grant: Grant) -> Refusal:
    """Return the refusal of a grant that would mix the output of two weights versions."""
    message = f"the weights changed to {grant.weights_version!r} while the stream ran"
    return Refusal(grant.request_id, grant.attempt, StreamBrokenError.code, message)


def runner_leaves(grant: Grant) -> Refusal:
    """Return the refusal of a grant of a runner that leaves."""
    error = NoRunnerError(f"runner {grant.runner!r} is leaving", retry_after_s=RETRY_AFTER_S)
    return refusal_of(DecideRequest(grant.request_id, attempt=grant.attempt), error)


def declined(peer: str, answer: Grant | Refusal | Queued) -> list[Instruction]:
    """Give back a grant that nobody waits for any more."""
    if not isinstance(answer, Grant):
        return []
    return [Send(peer, WithdrawRequest(answer.request_id, answer.attempt))]


def claim_report(request: ActiveRequest) -> list[Instruction]:
    """Tell a node how a keyed request ended, unless nobody knows."""
    question = request.question
    if not question.idempotency_key or not request.nodes or request.ran is Ran.UNKNOWN:
        return []
    state = ClaimState.DONE if request.ran is Ran.YES else ClaimState.RELEASED
    report = ClaimReport(
        question.request_id, question.tenant, question.idempotency_key, state.value
    )
    return [Send(request.nodes[0], report)]
