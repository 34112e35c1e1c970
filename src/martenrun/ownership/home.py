"""Decision logic of a home node: from an agent's question to a lease, a wait or a refusal.

Each question is an instance of the ``reservation`` state chart.  The home ranks a few
candidates, asks the owners of the best ones for a slot, and answers the agent exactly once
with a grant or a refusal.  Owners' answers are matched by reservation id; a grant that nobody
wants any more is given back.

See also: ``statecharts/reservation.toml``, :mod:`martenrun.ownership.owner`.
"""

import random
from collections.abc import Callable

from martenrun.configuration.view import ConfigurationView
from martenrun.errors import DeadlineExceededError, MartenrunError
from martenrun.events import Event, Instruction, PeerMessage, QuestionCleared, Send, Tick
from martenrun.limits.admission import AdmissionLimits
from martenrun.node.runners import RunnerTable
from martenrun.ownership.ended import Ended
from martenrun.ownership.leases import LeaseKeeper
from martenrun.ownership.loads import LoadBook
from martenrun.ownership.opening import QuestionOpener
from martenrun.ownership.owners import OwnerMap
from martenrun.ownership.questions import OpenQuestion, Reservation, granted_message
from martenrun.ownership.reasons import Reason
from martenrun.ownership.reservations import ReservationTable
from martenrun.platform.engine import AttemptOutcome
from martenrun.routing.policy import RoutingPolicy, RunnerChoice
from martenrun.statecharts.compiler import load_chart
from martenrun.wire.messages import (
    AttemptReport,
    DecideRequest,
    LeasesVoided,
    Queued,
    ReleaseSlots,
    SlotGranted,
    SlotRefused,
    SlotsQueued,
    WithdrawRequest,
)
from martenrun.wire.refusals import refusal_of

OWNER_SILENCE_S = 1.5
"""Silence about a waiting reservation after which it counts as lost, in seconds."""

TELL_INTERVAL_S = 0.4
"""Time between two Queued messages to an agent, in seconds; agents expect one each second."""

PROBE_INTERVAL_S = 0.25
"""Shortest time between two tries of a waiting question, in seconds.

It tries another runner, or, if no owner has answered it, all candidates again.
"""

ENDED_S = 30.0
"""How long an ended question is remembered against repeated messages, in seconds."""

_CHART = load_chart("reservation")


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
        self._table = table
        self._policy = policy
        self._rng = rng
        self._limits = limits or AdmissionLimits()
        self._loads = LoadBook(table, zone, rng)
        self._leases = LeaseKeeper(owners)
        self._opener = QuestionOpener(view, self._limits, self._loads, policy)
        self._reservations = ReservationTable(owners, rng, sends_chain)
        self._questions: dict[str, OpenQuestion] = {}
        self._undecided: dict[str, OpenQuestion] = {}
        self._ended: Ended[str] = Ended(ENDED_S)
        self._actions: dict[str, Callable[[OpenQuestion, float], list[Instruction]]] = {
            "reserve_next": self._reserve_next,
            "answer_grant": self._answer_grant,
            "answer_queued": self._answer_queued,
            "answer_refusal": self._answer_refusal,
            "answer_deadline": self._answer_deadline,
            "give_back": self._give_back,
            "give_back_others": self._give_back_others,
            "probe": self._probe,
            "queue_twice": self._queue_twice,
        }

    @property
    def open_count(self) -> int:
        """Number of questions that have not ended, granted ones included."""
        return len(self._questions)

    def handle(self, event: Event, now: float) -> list[Instruction]:
        """Take in an event; see :class:`martenrun.events.DecisionLogic`."""
        match event:
            case PeerMessage(owner, SlotGranted() as granted):
                return self._slot_granted(owner, granted, now)
            case PeerMessage(owner, SlotsQueued() as queued):
                return self._slots_queued(owner, queued, now)
            case PeerMessage(owner, SlotRefused() as refused):
                return self._slot_refused(owner, refused, now)
            case PeerMessage(_, LeasesVoided(identities)):
                return self._leases_voided(identities, now)
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
        if question.attempt <= self._ended.number(request_id):
            return []
        present = self._questions.get(request_id)
        instructions: list[Instruction] = []
        if present is not None:
            if question.attempt <= present.question.attempt:
                return []
            instructions += self._step(present, "withdrawn", now)
        try:
            opened = self._opener.open(agent, question, _CHART.initial, now)
        except MartenrunError as error:
            self._ended.add(request_id, now, question.attempt)
            return [*instructions, Send(agent, refusal_of(question, error))]
        opened.tell_at = now + TELL_INTERVAL_S
        self._questions[request_id] = self._undecided[request_id] = opened
        return instructions + self._reserve_next(opened, now)

    def _reported(self, report: AttemptReport, now: float) -> list[Instruction]:
        question = self._questions.get(report.request_id)
        if question is None or question.question.attempt != report.attempt:
            return []
        if question.lease is not None:
            self._learn_from(report, now)
        return self._step(question, "attempt_ended", now)

    def _learn_from(self, report: AttemptReport, now: float) -> None:
        self._policy.observe(report, now)
        if report.outcome == AttemptOutcome.NOT_RUN.value:
            self._loads.learn(report.runner, 0, now)
            self._limits.ended(report.request_id, now, 0.0)
        else:
            used_tokens = float(report.prompt_tokens + report.output_tokens)
            self._limits.ended(report.request_id, now, used_tokens)

    def _withdrawn(self, request_id: str, attempt: int, now: float) -> list[Instruction]:
        question = self._questions.get(request_id)
        if question is None:
            # It may have overtaken its question.
            self._ended.add(request_id, now, attempt)
        elif question.question.attempt == attempt:
            return self._step(question, "withdrawn", now)
        return []

    # Messages of owners.

    def _slot_granted(self, owner: str, granted: SlotGranted, now: float) -> list[Instruction]:
        reservation = self._reservations.by_id.get(granted.reservation_id)
        if reservation is None:
            return [Send(owner, ReleaseSlots([granted.reservation_id]))]
        self._reservations.heard(owner)
        question = reservation.question
        if question.lease is not None:
            return []
        reservation.choice = reservation.choice.granted_at(
            granted.incarnation, granted.weights_version
        )
        runner = reservation.choice.runner
        runner.incarnation = granted.incarnation
        runner.weights_version = granted.weights_version
        self._loads.learn(runner.name, granted.free_slots, now)
        reservation.owner = owner
        reservation.incarnation = granted.incarnation
        question.lease = reservation
        if granted.cached_blocks:
            self._policy.corrected(question.question, runner.name, granted.cached_blocks)
        return self._step(question, "slot_granted", now)

    def _slots_queued(self, owner: str, queued: SlotsQueued, now: float) -> list[Instruction]:
        self._reservations.heard(owner)
        instructions: list[Instruction] = []
        waits = zip(queued.reservation_ids, queued.expected_waits_ms, strict=False)
        for identity, wait_ms in waits:
            reservation = self._reservations.by_id.get(identity)
            if reservation is None:
                instructions.append(Send(owner, ReleaseSlots([identity])))
                continue
            question = reservation.question
            reservation.is_queued = True
            reservation.answer_until = now + OWNER_SILENCE_S
            question.expected_wait_s = wait_ms / 1000
            if question.state == "reserving":
                instructions += self._queue(question, now)
        return instructions

    def _queue(
        self, question: OpenQuestion, now: float, event: str = "slot_queued"
    ) -> list[Instruction]:
        self._plan_probe(question, now)
        try:
            self._limits.queued(question.question.request_id, now)
        except MartenrunError as error:
            # The tenant has too many waiting; not one of the chart's own reasons.
            instructions = self._step(question, "withdrawn", now)
            return [*instructions, Send(question.agent, refusal_of(question.question, error))]
        return self._step(question, event, now)

    def _slot_refused(self, owner: str, refused: SlotRefused, now: float) -> list[Instruction]:
        self._reservations.heard(owner)
        for load in refused.loads:
            self._loads.learn(load.runner, load.free_slots, now)
        reservation = self._reservations.forget(refused.reservation_id)
        if reservation is None:
            return []
        question = reservation.question
        self._note_refusal(question, reservation, refused, now)
        if refused.owner and not reservation.is_redirected:
            choice, may_queue = reservation.choice, reservation.may_queue
            return [self._reservations.ask(question, choice, may_queue, now, refused.owner)]
        return self._failed(question, now)

    def _note_refusal(
        self, question: OpenQuestion, reservation: Reservation, refused: SlotRefused, now: float
    ) -> None:
        reason = Reason(refused.reason)
        question.refused_by_owner(reservation.runner, reason)
        question.waits_s[reservation.runner] = refused.expected_wait_ms / 1000
        loads = {load.runner: load.free_slots for load in refused.loads}
        if reservation.runner not in loads:
            self._loads.learn(reservation.runner, 0, now)
        for name, free_slots in loads.items():
            runner = self._table.runners.get(name)
            if free_slots > 0 and runner is not None and runner.pool == question.pool:
                question.hinted(RunnerChoice(runner))

    def _failed(self, question: OpenQuestion, now: float) -> list[Instruction]:
        """One of the question's reservations is gone: go on unless another one waits."""
        if question.state == "reserving":
            return self._step(question, "candidate_failed", now)
        if any(other.is_queued for other in question.reservations.values()):
            return []
        question.forget_tries()
        return self._step(question, "queue_lost", now)

    def _leases_voided(self, identities: list[int], now: float) -> list[Instruction]:
        instructions: list[Instruction] = []
        for identity in identities:
            reservation = self._reservations.by_id.get(identity)
            if reservation is not None:
                instructions += self._step(reservation.question, "lease_voided", now)
        return instructions

    # The clock.

    def _tick(self, now: float) -> list[Instruction]:
        instructions = self._leases.renewals(self._reservations.by_id, now)
        has_probed = False
        for question in list(self._undecided.values()):
            if now >= question.deadline:
                instructions += self._step(question, "deadline_passed", now)
                continue
            instructions += self._check_silence(question, now)
            if now >= question.tell_at:
                instructions += self._step(question, "time_to_tell", now)
            if question.state != "waiting" or now < question.probe_at:
                continue
            if not question.reservations:
                question.forget_tries()
                instructions += self._step(question, "queue_lost", now)
            elif not has_probed:
                has_probed = True
                instructions += self._step(question, "time_to_probe", now)
        self._ended.forget_old(now)
        return instructions

    def _check_silence(self, question: OpenQuestion, now: float) -> list[Instruction]:
        instructions: list[Instruction] = []
        for reservation in list(question.reservations.values()):
            if self._reservations.is_overdue(reservation, now):
                instructions += self._reservations.give_back([reservation])
                instructions += self._failed(question, now)
        return instructions

    # The chart and its actions.

    def _step(self, question: OpenQuestion, event: str, now: float) -> list[Instruction]:
        transition = _CHART.step(question.state, event)
        if transition is None:
            return []
        was_granted = question.state == "granted"
        question.state = transition.next_state
        instructions: list[Instruction] = []
        for action in transition.actions:
            instructions += self._actions[action](question, now)
        if question.state in _CHART.final:
            self._end(question, was_granted, now)
        return instructions

    def _end(self, question: OpenQuestion, was_granted: bool, now: float) -> None:
        asked = question.question
        if self._questions.get(asked.request_id) is not question:
            return
        del self._questions[asked.request_id]
        self._undecided.pop(asked.request_id, None)
        for identity in list(question.reservations):
            self._reservations.forget(identity)
        self._ended.add(asked.request_id, now, asked.attempt)
        self._limits.ended(asked.request_id, now, None if was_granted else 0.0)
        if was_granted and question.lease is not None:
            question.lease.choice.runner.in_flight -= 1
            self._policy.withdrawn(asked.request_id, asked.attempt)
        question.lease = None  # Question and lease name each other: no cycle is left.

    def _reserve_next(self, question: OpenQuestion, now: float) -> list[Instruction]:
        found = question.next_choice(lambda runner: self._reservations.is_reachable(runner, now))
        if found is None and question.awaits_owner(now):
            return self._queue(question, now, "owners_silent")
        if found is None:
            return self._step(question, "no_candidate_left", now)
        choice, may_queue = found
        return [self._reservations.ask(question, choice, may_queue, now)]

    def _answer_grant(self, question: OpenQuestion, now: float) -> list[Instruction]:
        asked, lease = question.question, question.lease
        assert lease is not None
        runner = lease.choice.runner
        runner.in_flight += 1
        self._undecided.pop(asked.request_id, None)
        self._limits.started(asked.request_id, now)
        self._policy.granted(asked, lease.choice, now)
        self._leases.granted(lease, now)
        return [Send(question.agent, granted_message(asked, lease))]

    def _answer_queued(self, question: OpenQuestion, now: float) -> list[Instruction]:
        question.tell_at = now + TELL_INTERVAL_S
        asked = question.question
        return [
            Send(question.agent, Queued(asked.request_id, asked.attempt, question.expected_wait_s))
        ]

    def _answer_refusal(self, question: OpenQuestion, now: float) -> list[Instruction]:
        return [Send(question.agent, refusal_of(question.question, question.error(now)))]

    def _answer_deadline(self, question: OpenQuestion, now: float) -> list[Instruction]:
        error = DeadlineExceededError("the deadline passed in the queue")
        return [Send(question.agent, refusal_of(question.question, error))]

    def _give_back(self, question: OpenQuestion, now: float) -> list[Instruction]:
        return self._reservations.give_back(question.reservations.values())

    def _give_back_others(self, question: OpenQuestion, now: float) -> list[Instruction]:
        lease = question.lease
        return self._reservations.give_back(
            other for other in list(question.reservations.values()) if other is not lease
        )

    def _plan_probe(self, question: OpenQuestion, now: float) -> None:
        question.probe_at = now + PROBE_INTERVAL_S * self._rng.uniform(1.0, 2.0)

    def _queue_twice(self, question: OpenQuestion, now: float) -> list[Instruction]:
        """Wait at a second runner as well; the first grant gives the other place back."""
        found = question.second_places(lambda name: self._reservations.is_reachable(name, now))
        return (
            [self._reservations.ask(question, self._rng.choice(found), True, now)] if found else []
        )

    def _probe(self, question: OpenQuestion, now: float) -> list[Instruction]:
        """Try another runner that may be free, and keep the place in the queue."""
        self._plan_probe(question, now)
        if any(not reservation.is_queued for reservation in question.reservations.values()):
            return []
        waiting = {reservation.runner for reservation in question.reservations.values()}
        excluded = waiting.union(question.question.excluded_runners)
        runner = self._loads.probe(question.pool, lambda found: found.name not in excluded, now)
        if runner is None or not self._reservations.is_reachable(runner.name, now):
            return []
        return [self._reservations.ask(question, RunnerChoice(runner), False, now)]
