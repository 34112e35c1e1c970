"""Decision logic of a home node: from an agent's question to a lease, a wait or a refusal.

Each question is an instance of the ``reservation`` state chart.  The home ranks a few
candidates, asks the owners of the best ones for a slot, and answers the agent exactly once
with a grant or a refusal.  Owners' answers are matched by reservation id; a grant that nobody
wants any more is given back.

See also: ``statecharts/reservation.toml``, :mod:`martenrun.ownership.owner`.
"""

import random
from collections.abc import Callable

from martenrun.backends.engine import AttemptOutcome
from martenrun.configuration.view import ConfigurationView
from martenrun.errors import MartenrunError
from martenrun.events import (
    Event,
    Instruction,
    PeerDisconnected,
    PeerMessage,
    QuestionCleared,
    Send,
    Tick,
)
from martenrun.limits.admission import AdmissionLimits
from martenrun.node.runners import RunnerTable
from martenrun.ownership.leases import LeaseKeeper
from martenrun.ownership.loads import LoadBook
from martenrun.ownership.opening import QuestionOpener
from martenrun.ownership.owner_answers import OwnerAnswers
from martenrun.ownership.owners import OwnerMap
from martenrun.ownership.question_steps import QuestionSteps
from martenrun.ownership.questions import OpenQuestion, Reservation, granted_message
from martenrun.ownership.reservations import ReservationTable
from martenrun.routing.policy import RoutingPolicy
from martenrun.wire.messages import (
    AttemptReport,
    DecideRequest,
    LeasesVoided,
    SlotGranted,
    SlotRefused,
    SlotsQueued,
    WithdrawRequest,
)
from martenrun.wire.refusals import refusal_of


class HomeLogic:
    """All questions that agents have asked this node.

    Args:
        owners: who owns which runner.
        table: all runners, with what is known of their loads.
        policy: ranks candidates.
        view: returns the configuration in force.
        zone: this node's zone.
        limits: tenants' limits at this node.
        sends_chain: whether owners are sent the chain, because they know their runners' caches.
    """

    def __init__(
        self,
        owners: OwnerMap,
        table: RunnerTable,
        policy: RoutingPolicy,
        view: Callable[[], ConfigurationView],
        zone: str,
        rng: random.Random,
        limits: AdmissionLimits | None = None,
        sends_chain: bool = False,
    ) -> None:
        self._policy = policy
        self._limits = limits or AdmissionLimits()
        self._loads = LoadBook(table, zone, rng)
        self._opener = QuestionOpener(view, self._limits, self._loads, policy)
        self._steps = QuestionSteps(
            ReservationTable(owners, rng, sends_chain),
            LeaseKeeper(owners),
            self._loads,
            self._limits,
            policy,
            rng,
        )
        self._answers = OwnerAnswers(self._steps, self._loads, table, policy)

    @property
    def actions(self) -> frozenset[str]:
        """Names of the chart's actions that are implemented."""
        return frozenset(self._steps.actions)

    @property
    def open_count(self) -> int:
        """Number of questions that have not ended, granted ones included."""
        return len(self._steps.by_request)

    def handle(self, event: Event, now: float) -> list[Instruction]:
        """Take in an event; see :class:`martenrun.events.DecisionLogic`."""
        match event:
            case PeerMessage(owner, SlotGranted() as granted):
                return self._answers.slot_granted(owner, granted, now)
            case PeerMessage(owner, SlotsQueued() as queued):
                return self._answers.slots_queued(owner, queued, now)
            case PeerMessage(owner, SlotRefused() as refused):
                return self._answers.slot_refused(owner, refused, now)
            case PeerMessage(_, LeasesVoided(identities)):
                return self._answers.leases_voided(identities, now)
            case PeerDisconnected(peer):
                return self._disconnected(peer, now)
            case Tick():
                return self._tick(now)
        return self._agents_message(event, now)

    def _agents_message(self, event: Event, now: float) -> list[Instruction]:
        match event:
            case PeerMessage(_, DecideRequest(idempotency_key=key)) if key:
                return []  # ClaimsLogic clears it first.
            case PeerMessage(agent, DecideRequest() as question):
                return self._asked(agent, question, now)
            case QuestionCleared(agent, question):
                return self._asked(agent, question, now)
            case PeerMessage(_, AttemptReport() as report):
                return self._reported(report, now)
            case PeerMessage(_, WithdrawRequest(request_id, attempt)):
                return self._withdrawn(request_id, attempt, now)
        return []

    # Messages of agents.

    def _asked(self, agent: str, question: DecideRequest, now: float) -> list[Instruction]:
        request_id = question.request_id
        if question.attempt <= self._steps.ended.number(request_id):
            return []
        present = self._steps.by_request.get(request_id)
        instructions: list[Instruction] = []
        if present is not None:
            if question.attempt <= present.question.attempt:
                return self._repeated(present, question)
            instructions += self._steps.step(present, "withdrawn", now)
        try:
            opened = self._opener.open(agent, question, self._steps.initial_state, now)
        except MartenrunError as error:
            self._steps.ended.add(request_id, now, question.attempt)
            return [*instructions, Send(agent, refusal_of(question, error))]
        return instructions + self._steps.begin(opened, now)

    @staticmethod
    def _repeated(present: OpenQuestion, question: DecideRequest) -> list[Instruction]:
        """Give a repeated question the grant that it has got already; it may have been lost.

        A runner that has begun to leave since gets no new work: the agent then asks another node.
        """
        is_same = question.attempt == present.question.attempt
        if not is_same or present.state != "granted" or present.lease is None:
            return []
        if present.lease.choice.runner.leaving:
            return []
        return [Send(present.agent, granted_message(present.question, present.lease))]

    def _reported(self, report: AttemptReport, now: float) -> list[Instruction]:
        question = self._steps.by_request.get(report.request_id)
        if question is None or question.question.attempt != report.attempt:
            return []
        if question.lease is not None:
            self._learn_from(report, now)
        return self._steps.step(question, "attempt_ended", now)

    def _learn_from(self, report: AttemptReport, now: float) -> None:
        self._policy.observe(report, now)
        if report.outcome == AttemptOutcome.NOT_RUN.value:
            self._loads.learn(report.runner, 0, now)
            self._limits.ended(report.request_id, now, 0.0)
        else:
            used_tokens = float(report.prompt_tokens + report.output_tokens)
            self._limits.ended(report.request_id, now, used_tokens)

    def _withdrawn(self, request_id: str, attempt: int, now: float) -> list[Instruction]:
        question = self._steps.by_request.get(request_id)
        if question is None:
            # It may have overtaken its question.
            self._steps.ended.add(request_id, now, attempt)
        elif question.question.attempt == attempt:
            return self._steps.step(question, "withdrawn", now)
        return []

    def _disconnected(self, peer: str, now: float) -> list[Instruction]:
        """Ask others for what an owner was asked over a connection that has ended."""
        instructions: list[Instruction] = []
        for question in list(self._steps.undecided.values()):
            for reservation in list(question.reservations.values()):
                if reservation.owner == peer:
                    self._steps.reservations.disconnected(peer, now)
                    instructions += self._lost(reservation, now)
        return instructions

    def _lost(self, reservation: Reservation, now: float) -> list[Instruction]:
        """Go on without a reservation whose answer is overdue or can not come."""
        released = self._steps.reservations.give_back([reservation])
        return released + self._steps.failed(reservation.question, now)

    # The clock.

    def _tick(self, now: float) -> list[Instruction]:
        instructions = self._steps.leases.renewals(self._steps.reservations.by_id, now)
        has_probed = False
        for question in list(self._steps.undecided.values()):
            if now >= question.deadline:
                instructions += self._steps.step(question, "deadline_passed", now)
                continue
            instructions += self._check_silence(question, now)
            if now >= question.tell_at:
                instructions += self._steps.step(question, "time_to_tell", now)
            if question.state != "waiting" or now < question.probe_at:
                continue
            if not question.reservations:
                question.forget_tries()
                instructions += self._steps.step(question, "queue_lost", now)
            elif not has_probed:
                has_probed = True
                instructions += self._steps.step(question, "time_to_probe", now)
        self._steps.ended.forget_old(now)
        return instructions

    def _check_silence(self, question: OpenQuestion, now: float) -> list[Instruction]:
        instructions: list[Instruction] = []
        for reservation in list(question.reservations.values()):
            if self._steps.reservations.is_overdue(reservation, now):
                instructions += self._lost(reservation, now)
        return instructions
