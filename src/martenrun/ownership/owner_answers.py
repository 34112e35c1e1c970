"""What owners answer to a home node's reservations.

Answers are matched by reservation id; a grant that nobody wants any more is given back.

See also: :mod:`martenrun.ownership.home`, :mod:`martenrun.ownership.owner`.
"""

from martenrun.events import Instruction, Send
from martenrun.node.runners import RunnerTable
from martenrun.ownership.loads import LoadBook
from martenrun.ownership.question_steps import QuestionSteps
from martenrun.ownership.questions import OpenQuestion, Reservation
from martenrun.ownership.reasons import Reason
from martenrun.routing.policy import RoutingPolicy
from martenrun.wire.messages import ReleaseSlots, SlotGranted, SlotRefused, SlotsQueued

OWNER_SILENCE_S = 1.5
"""Silence about a waiting reservation after which it counts as lost, in seconds."""


class OwnerAnswers:
    """Takes in owners' messages and makes them events of the questions' chart.

    Args:
        steps: the open questions and their chart.
        loads: learns the loads that owners tell.
        table: all runners.
        policy: is told what owners know of caches.
    """

    def __init__(
        self, steps: QuestionSteps, loads: LoadBook, table: RunnerTable, policy: RoutingPolicy
    ) -> None:
        self._steps = steps
        self._loads = loads
        self._table = table
        self._policy = policy

    def slot_granted(self, owner: str, granted: SlotGranted, now: float) -> list[Instruction]:
        """A slot is leased; nobody may wait for it any more."""
        reservation = self._steps.reservations.by_id.get(granted.reservation_id)
        if reservation is None:
            return [Send(owner, ReleaseSlots([granted.reservation_id]))]
        self._steps.reservations.heard(owner)
        question = reservation.question
        if question.lease is not None:
            return []
        if reservation.choice.runner.leaving:
            return self._decline(reservation, now)
        incarnation = granted.incarnation or reservation.known_incarnation
        version = granted.weights_version or reservation.asked_version
        reservation.choice = reservation.choice.granted_at(incarnation, version)
        runner = reservation.choice.runner
        runner.incarnation = incarnation
        runner.weights_version = version
        self._loads.learn(runner.name, granted.free_slots, now)
        reservation.owner = owner
        reservation.incarnation = incarnation
        question.lease = reservation
        if granted.placed_blocks:
            self._policy.told_placed(runner.name, granted.placed_blocks, now)
        if granted.cached_blocks:
            self._policy.corrected(question.question, runner.name, granted.cached_blocks)
        return self._steps.step(question, "slot_granted", now)

    def _decline(self, reservation: Reservation, now: float) -> list[Instruction]:
        """Give back a slot of a runner that leaves by this node's list; its owner's is older."""
        instructions = self._steps.reservations.give_back([reservation])
        question = reservation.question
        question.refused_by_owner(reservation.runner, Reason.LEAVING)
        return instructions + self._steps.failed(question, now)

    def slots_queued(self, owner: str, queued: SlotsQueued, now: float) -> list[Instruction]:
        """Reservations wait in an owner's queues."""
        self._steps.reservations.heard(owner)
        instructions: list[Instruction] = []
        free = queued.free_slots or [0] * len(queued.reservation_ids)
        waits = zip(queued.reservation_ids, queued.expected_waits_ms, free, strict=False)
        for identity, wait_ms, free_slots in waits:
            reservation = self._steps.reservations.by_id.get(identity)
            if reservation is None:
                instructions.append(Send(owner, ReleaseSlots([identity])))
                continue
            self._loads.learn(reservation.runner, free_slots, now)
            question = reservation.question
            reservation.is_queued = True
            reservation.answer_until = now + OWNER_SILENCE_S
            question.expected_wait_s = wait_ms / 1000
            if question.state == "reserving":
                instructions += self._steps.queue(question, now)
        return instructions

    def slot_refused(self, owner: str, refused: SlotRefused, now: float) -> list[Instruction]:
        """A reservation is refused: go on with the next candidate."""
        self._steps.reservations.heard(owner)
        for load in refused.loads:
            self._loads.learn(load.runner, load.free_slots, now)
        reservation = self._steps.reservations.forget(refused.reservation_id)
        if reservation is None:
            return []
        question = reservation.question
        self._note_refusal(question, reservation, refused, now)
        if refused.owner and not reservation.is_redirected:
            choice, may_queue = reservation.choice, reservation.may_queue
            return [self._steps.reservations.ask(question, choice, may_queue, now, refused.owner)]
        return self._steps.failed(question, now)

    def _note_refusal(
        self, question: OpenQuestion, reservation: Reservation, refused: SlotRefused, now: float
    ) -> None:
        question.refused_by_owner(reservation.runner, Reason(refused.reason))
        question.waits_s[reservation.runner] = refused.expected_wait_ms / 1000
        loads = {load.runner: load.free_slots for load in refused.loads}
        if reservation.runner not in loads:
            self._loads.learn(reservation.runner, min(0, refused.free_slots), now)
        for name, free_slots in loads.items():
            runner = self._table.runners.get(name)
            if free_slots > 0 and runner is not None and runner.pool == question.pool:
                question.hinted(runner)

    def leases_voided(self, identities: list[int], now: float) -> list[Instruction]:
        """Leases have ended at their owner."""
        instructions: list[Instruction] = []
        for identity in identities:
            reservation = self._steps.reservations.by_id.get(identity)
            if reservation is not None:
                instructions += self._steps.step(reservation.question, "lease_voided", now)
        return instructions
