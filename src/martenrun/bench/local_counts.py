"""Baseline without owners: each node counts its own grants and polls every runner's load.

This was the first version of routing; it is kept to compare rejections by engines.

See also: :mod:`martenrun.ownership`.
"""

from collections.abc import Callable
from dataclasses import dataclass

from martenrun.configuration.view import ConfigurationView
from martenrun.errors import CapacityError, MartenrunError, NoRunnerError
from martenrun.events import Event, Instruction, PeerMessage, QuestionCleared, Send
from martenrun.node.runners import RunnerTable
from martenrun.routing.policy import RoutingPolicy
from martenrun.wire.messages import AttemptReport, DecideRequest, Grant, Refusal, WithdrawRequest
from martenrun.wire.refusals import refusal_of

RETRY_AFTER_S = 1.0
"""When a refused caller should come back, in seconds."""


@dataclass(frozen=True, slots=True)
class GrantedAttempt:
    """A grant whose end has not been reported."""

    agent: str
    runner: str


class LocalCountsLogic:
    """Answers decision questions and counts the attempts it granted.

    Args:
        table: the runners.
        policy: chooses among usable runners.
        view: returns the configuration in force.
    """

    def __init__(
        self, table: RunnerTable, policy: RoutingPolicy, view: Callable[[], ConfigurationView]
    ) -> None:
        self._table = table
        self._policy = policy
        self._view = view
        self._granted: dict[tuple[str, int], GrantedAttempt] = {}

    def handle(self, event: Event, now: float) -> list[Instruction]:
        """Take in an event; see :class:`martenrun.events.DecisionLogic`."""
        match event:
            case PeerMessage(_, DecideRequest(idempotency_key=key)) if key:
                return []  # ClaimsLogic clears it first.
            case PeerMessage(peer, DecideRequest() as question) | QuestionCleared(peer, question):
                return [Send(peer, self._decide(peer, question, now))]
            case PeerMessage(_, AttemptReport() as report):
                self._end_attempt(report.request_id, report.attempt)
                self._policy.observe(report, now)
            case PeerMessage(_, WithdrawRequest() as withdrawal):
                self._end_attempt(withdrawal.request_id, withdrawal.attempt)
                self._policy.withdrawn(withdrawal.request_id, withdrawal.attempt)
        return []

    def _decide(self, peer: str, question: DecideRequest, now: float) -> Grant | Refusal:
        try:
            return self._grant(peer, question, now)
        except MartenrunError as error:
            return refusal_of(question, error)

    def _grant(self, peer: str, question: DecideRequest, now: float) -> Grant:
        pool_name = self._view().route(question.tenant, question.model).name
        usable = self._table.usable(pool_name, question.excluded_runners)
        if not usable:
            raise NoRunnerError(
                f"pool {pool_name!r} has no usable runner", retry_after_s=RETRY_AFTER_S
            )
        free = [runner for runner in usable if runner.free_slots > 0]
        if not free:
            raise CapacityError(f"pool {pool_name!r} is full", retry_after_s=RETRY_AFTER_S)
        choice = self._policy.route(question, free, now)
        runner = choice.runner
        runner.in_flight += 1
        self._policy.granted(question, choice, now)
        self._granted[(question.request_id, question.attempt)] = GrantedAttempt(peer, runner.name)
        return Grant(
            question.request_id,
            question.attempt,
            runner.name,
            runner.address,
            runner.incarnation,
            runner.weights_version,
            choice.believed_blocks,
            question.priority,
        )

    def _end_attempt(self, request_id: str, attempt: int) -> None:
        granted = self._granted.pop((request_id, attempt), None)
        runner = self._table.runners.get(granted.runner) if granted is not None else None
        if runner is not None:
            runner.in_flight -= 1
