"""State of one request at an agent, and how its errors are told truly.

See also: :mod:`martenrun.agent.requests`.
"""

from dataclasses import dataclass, field
from math import inf

from martenrun.backends.engine import AttemptOutcome, AttemptResult
from martenrun.errors import (
    DeadlineExceededError,
    EngineError,
    MartenrunError,
    OutcomeUnknownError,
    Ran,
    StreamBrokenError,
    error_classes,
)
from martenrun.wire.messages import DecideRequest, Grant, Refusal

RETRY_AFTER_S = 1.0
"""When to come back after a failure that may pass, in seconds."""

REPEAT_SHARE = 0.5
"""Part of the time for an answer after which an unanswered question is sent once more."""

_ERRORS = error_classes()
_RAN_BY_OUTCOME = {
    AttemptOutcome.COMPLETE: Ran.YES,
    AttemptOutcome.BROKEN: Ran.YES,
    AttemptOutcome.UNKNOWN: Ran.UNKNOWN,
    AttemptOutcome.CALLER_GONE: Ran.UNKNOWN,
    AttemptOutcome.NOT_RUN: Ran.NO,
}
_RAN_ORDER = (Ran.NO, Ran.UNKNOWN, Ran.YES)


@dataclass
class ActiveRequest:
    """State of one request; ``attempt`` counts questions so that late answers do not match.

    Attributes:
        nodes: nodes to ask, the present one first.
        asked: nodes that were silent in the present round.
        deadline: when the request must have begun to answer, on the loop's clock.
        asked_until: when the present node counts as silent.
        repeat_at: when to send the present question once more.
        resume_at: when a pause before the next question is over.
        search_until: when to give up asking nodes in rounds; 0 while some node decides.
        rounds: rounds over all nodes since one of them has decided.
        late_nodes: nodes that have answered a question after it was withdrawn.
        attempts: attempts at engines that have ended.
        ran: whether any attempt ran it, as far as is known.
        has_output: whether the caller has received output.
    """

    question: DecideRequest
    repeatable: bool
    state: str
    nodes: list[str]
    deadline: float
    asked_until: float = 0.0
    repeat_at: float = inf
    resume_at: float = 0.0
    search_until: float = 0.0
    rounds: int = 0
    attempt: int = 0
    attempts: int = 0
    grant: Grant | None = None
    refusal: Refusal | None = None
    result: AttemptResult | None = None
    first_token_s: float = 0.0
    can_resume: bool = False
    asked: list[str] = field(default_factory=list)
    late_nodes: set[str] = field(default_factory=set)
    excluded: list[str] = field(default_factory=list)
    ran: Ran = Ran.NO
    has_output: bool = False

    def take_result(self, result: AttemptResult) -> None:
        """Record how an attempt ended."""
        self.result = result
        self.attempts += 1
        self.ran = later_ran(self.ran, _RAN_BY_OUTCOME[result.outcome])
        self.has_output = self.has_output or result.outcome is AttemptOutcome.BROKEN

    def may_run_again(self) -> bool:
        """Whether another attempt is right.

        A request that certainly was not run may always be tried again.  One that may have
        run must be repeatable, and one whose caller has output must be resumable.
        """
        if self.has_output and not self.can_resume:
            return False
        return self.ran is Ran.NO or self.repeatable

    def note_late(self, node: str, attempt: int) -> None:
        """Take note of an answer to an earlier question, unless it is the grant used last."""
        if self.grant is None or attempt > self.grant.attempt:
            self.late_nodes.add(node)

    def search_end(self) -> float:
        """Return when to give up asking nodes; where one has answered late, nodes live."""
        return self.deadline if self.late_nodes else min(self.search_until, self.deadline)

    def await_answer(self, now: float, patience_s: float, times: int) -> None:
        """Wait for the present node's answer, so many times as long as at first.

        The question is sent again within the first time, in which most answers come.
        """
        self.asked_until = now + times * patience_s
        self.repeat_at = now + REPEAT_SHARE * patience_s

    def weights_differ(self, grant: Grant) -> bool:
        """Whether going on there would mix the output of two weights versions."""
        if not self.has_output or self.grant is None:
            return False
        return grant.weights_version != self.grant.weights_version

    def told(self, error: MartenrunError) -> MartenrunError:
        """Return an error that is true of all attempts, not only of the last step."""
        if self.has_output:
            return StreamBrokenError(f"the stream broke and could not go on: {error.message}")
        error.ran = later_ran(error.ran, self.ran)
        return error

    def refusal_error(self) -> MartenrunError:
        """Return the error that a node's refusal names."""
        assert self.refusal is not None
        refusal = self.refusal
        kind = _ERRORS.get(refusal.code, MartenrunError)
        error = MartenrunError.__new__(kind)
        MartenrunError.__init__(
            error,
            refusal.message,
            remedy=refusal.remedy or None,
            ran=Ran(refusal.ran),
            retry_after_s=refusal.retry_after_s if refusal.retry_after_s >= 0 else None,
        )
        return error

    def failure_error(self, now: float) -> MartenrunError:
        """Return the error of the last attempt."""
        assert self.result is not None
        message = self.result.message
        if self.result.outcome is AttemptOutcome.BROKEN:
            return StreamBrokenError(message)
        if now >= self.deadline:
            return DeadlineExceededError(message, ran=self.ran)
        if self.result.outcome is AttemptOutcome.NOT_RUN:
            return EngineError(message, ran=Ran.NO, retry_after_s=RETRY_AFTER_S)
        return OutcomeUnknownError(message)


def later_ran(first: Ran, second: Ran) -> Ran:
    """Return the stronger of two: yes before unknown before no."""
    return max(first, second, key=_RAN_ORDER.index)
