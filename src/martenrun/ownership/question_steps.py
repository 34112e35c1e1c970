"""The ``reservation`` chart of a home's questions: its transitions and their actions.

See also: ``statecharts/reservation.toml``, :mod:`martenrun.ownership.home`.
"""

import random
from collections.abc import Callable

from martenrun.errors import DeadlineExceededError, MartenrunError
from martenrun.events import Instruction, Send
from martenrun.limits.admission import AdmissionLimits
from martenrun.ownership.ended import Ended
from martenrun.ownership.leases import LeaseKeeper
from martenrun.ownership.loads import LoadBook
from martenrun.ownership.questions import OpenQuestion, granted_message
from martenrun.ownership.reservations import ReservationTable
from martenrun.routing.policy import RoutingPolicy, RunnerChoice
from martenrun.statecharts.compiler import load_chart
from martenrun.wire.messages import Queued
from martenrun.wire.refusals import refusal_of

TELL_INTERVAL_S = 0.4
"""Time between two Queued messages to an agent, in seconds; agents expect one each second."""

PROBE_INTERVAL_S = 0.25
"""Shortest time between two tries of a waiting question, in seconds.

It tries another runner, or, if no owner has answered it, all candidates again.
"""

ENDED_S = 30.0
"""How long an ended question is remembered against repeated messages, in seconds."""

_CHART = load_chart("reservation")

Action = Callable[[OpenQuestion, float], list[Instruction]]
"""An action of the chart: (question, now) -> instructions."""


class QuestionSteps:
    """All open questions of a home, and what each event of their chart does.

    Args:
        reservations: what was asked of owners.
        leases: keeps granted leases alive.
        loads: what is known of runners' loads.
        limits: tenants' limits at this node.
        policy: is told of grants and their ends.
        rng: source of jitter.

    Attributes:
        by_request: open questions by request id, granted ones included.
        undecided: those of them that are neither granted nor refused.
        ended: ended attempts, by request id.
        actions: the chart's actions by name.
    """

    def __init__(
        self,
        reservations: ReservationTable,
        leases: LeaseKeeper,
        loads: LoadBook,
        limits: AdmissionLimits,
        policy: RoutingPolicy,
        rng: random.Random,
    ) -> None:
        self.reservations = reservations
        self.leases = leases
        self._loads = loads
        self._limits = limits
        self._policy = policy
        self._rng = rng
        self.by_request: dict[str, OpenQuestion] = {}
        self.undecided: dict[str, OpenQuestion] = {}
        self.ended: Ended[str] = Ended(ENDED_S)
        self.actions: dict[str, Action] = {
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
    def initial_state(self) -> str:
        """State of a question that has just been opened."""
        return _CHART.initial

    def begin(self, question: OpenQuestion, now: float) -> list[Instruction]:
        """Take a question up and ask its first owner."""
        question.tell_at = now + TELL_INTERVAL_S
        request_id = question.question.request_id
        self.by_request[request_id] = self.undecided[request_id] = question
        return self._reserve_next(question, now)

    def queue(
        self, question: OpenQuestion, now: float, event: str = "slot_queued"
    ) -> list[Instruction]:
        """Let a question wait, if its tenant may have one more waiting."""
        self._plan_probe(question, now)
        try:
            self._limits.queued(question.question.request_id, now)
        except MartenrunError as error:
            # The tenant has too many waiting; not one of the chart's own reasons.
            instructions = self.step(question, "withdrawn", now)
            return [*instructions, Send(question.agent, refusal_of(question.question, error))]
        return self.step(question, event, now)

    def failed(self, question: OpenQuestion, now: float) -> list[Instruction]:
        """One of the question's reservations is gone: go on unless another one waits."""
        if question.state == "reserving":
            return self.step(question, "candidate_failed", now)
        if any(other.is_queued for other in question.reservations.values()):
            return []
        question.forget_tries()
        return self.step(question, "queue_lost", now)

    def step(self, question: OpenQuestion, event: str, now: float) -> list[Instruction]:
        """Carry out the chart's transition for an event; none changes nothing."""
        transition = _CHART.step(question.state, event)
        if transition is None:
            return []
        was_granted = question.state == "granted"
        question.state = transition.next_state
        instructions: list[Instruction] = []
        for action in transition.actions:
            instructions += self.actions[action](question, now)
        if question.state in _CHART.final:
            self._end(question, was_granted, now)
        return instructions

    def _end(self, question: OpenQuestion, was_granted: bool, now: float) -> None:
        asked = question.question
        if self.by_request.get(asked.request_id) is not question:
            return
        del self.by_request[asked.request_id]
        self.undecided.pop(asked.request_id, None)
        for identity in list(question.reservations):
            self.reservations.forget(identity)
        self.ended.add(asked.request_id, now, asked.attempt)
        self._limits.ended(asked.request_id, now, None if was_granted else 0.0)
        if was_granted and question.lease is not None:
            question.lease.choice.runner.in_flight -= 1
            self._policy.withdrawn(asked.request_id, asked.attempt)
        question.lease = None  # Question and lease name each other: no cycle is left.

    def _reserve_next(self, question: OpenQuestion, now: float) -> list[Instruction]:
        found = question.next_choice(lambda runner: self.reservations.is_reachable(runner, now))
        if found is None and question.awaits_owner(now):
            return self.queue(question, now, "owners_silent")
        if found is None and question.readmit():
            return self._reserve_next(question, now)
        if found is None:
            return self.step(question, "no_candidate_left", now)
        choice, may_queue = found
        return [self.reservations.ask(question, choice, may_queue, now)]

    def _answer_grant(self, question: OpenQuestion, now: float) -> list[Instruction]:
        asked, lease = question.question, question.lease
        assert lease is not None
        runner = lease.choice.runner
        runner.in_flight += 1
        self.undecided.pop(asked.request_id, None)
        self._limits.started(asked.request_id, now)
        self._policy.granted(asked, lease.choice, now)
        self.leases.granted(lease, now)
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
        return self.reservations.give_back(question.reservations.values())

    def _give_back_others(self, question: OpenQuestion, now: float) -> list[Instruction]:
        lease = question.lease
        return self.reservations.give_back(
            other for other in list(question.reservations.values()) if other is not lease
        )

    def _plan_probe(self, question: OpenQuestion, now: float) -> None:
        question.probe_at = now + PROBE_INTERVAL_S * self._rng.uniform(1.0, 2.0)

    def _queue_twice(self, question: OpenQuestion, now: float) -> list[Instruction]:
        """Wait at a second runner as well; the first grant gives the other place back."""
        found = question.second_places(lambda name: self.reservations.is_reachable(name, now))
        return (
            [self.reservations.ask(question, self._rng.choice(found), True, now)] if found else []
        )

    def _probe(self, question: OpenQuestion, now: float) -> list[Instruction]:
        """Try another runner that may be free, and keep the place in the queue."""
        self._plan_probe(question, now)
        if any(not reservation.is_queued for reservation in question.reservations.values()):
            return []
        waiting = {reservation.runner for reservation in question.reservations.values()}
        excluded = waiting.union(question.question.excluded_runners)
        runner = self._loads.probe(question.pool, lambda found: found.name not in excluded, now)
        if runner is None or not self.reservations.is_reachable(runner.name, now):
            return []
        return [self.reservations.ask(question, RunnerChoice(runner), False, now)]
