"""The reservations that a home node has asked of owners and not given back."""

import random
from collections.abc import Iterable, Mapping

from martenrun.constants import BLOCK_HASH_BYTES
from martenrun.events import Instruction, Send
from martenrun.limits.cost import expected_tokens
from martenrun.ownership.owners import OwnerMap
from martenrun.ownership.pool_ids import incarnation_id, pool_id
from martenrun.ownership.questions import OpenQuestion, Reservation
from martenrun.routing.policy import RunnerChoice
from martenrun.wire.messages import ReleaseSlots, ReserveSlot

OWNER_TIMEOUT_S = 0.15
"""How long an owner may take to answer before the next candidate is asked, in seconds."""

SUSPECT_S = 1.0
"""How long a silent owner's runners are asked last, in seconds."""

RESERVATIONS_APART_BITS = 16
"""Ids of different runs of a home begin at random multiples of two to this power.

They are 47 bits wide, 7 bytes on the wire.  A restarted home reserves fewer than that many slots
while owners still remember ids of the run before, so that two runs have an id in common with a
probability of about 2**-30.
"""


class ReservationTable:
    """Reservations by id, and which owners have been silent.

    Args:
        rng: draws the first id, which makes ids unique over restarts.
        sends_chain: whether owners are sent the whole chain, because they know their runners'
            caches; else its first block.
    """

    def __init__(self, owners: OwnerMap, rng: random.Random, sends_chain: bool) -> None:
        self._owners = owners
        self._sends_chain = sends_chain
        self._last_id = rng.getrandbits(31) << RESERVATIONS_APART_BITS
        self._by_id: dict[int, Reservation] = {}
        self._suspects: dict[str, float] = {}

    @property
    def by_id(self) -> Mapping[int, Reservation]:
        """All reservations, granted ones included."""
        return self._by_id

    def ask(
        self,
        question: OpenQuestion,
        choice: RunnerChoice,
        may_queue: bool,
        now: float,
        owner: str | None = None,
    ) -> Instruction:
        """Return the message that asks a runner's owner, or ``owner``, for a slot."""
        asked = question.question
        runner = choice.runner.name
        version = "" if question.accept_any_version else asked.weights_version
        self._last_id += 1
        identity = self._last_id
        reservation = Reservation(
            identity,
            question,
            choice,
            owner or self._owners.owner(runner),
            may_queue,
            now + OWNER_TIMEOUT_S,
            is_redirected=owner is not None,
            known_incarnation=choice.runner.incarnation,
            asked_version=version,
        )
        self._by_id[identity] = question.reservations[identity] = reservation
        if reservation.owner in self._suspects:
            # One question finds out whether it answers again; others pass it over meanwhile.
            self._suspects[reservation.owner] = now + SUSPECT_S
        message = ReserveSlot(
            identity,
            runner,
            asked.tenant,
            asked.priority,
            int(expected_tokens(asked)),
            int((question.deadline - now) * 1000),
            may_queue,
            version,
            asked.chain if self._sends_chain else asked.chain[:BLOCK_HASH_BYTES],
            pool_id(question.pool),
            incarnation_id(choice.runner.incarnation),
        )
        return Send(reservation.owner, message)

    def forget(self, identity: int) -> Reservation | None:
        """Remove a reservation that its owner has ended."""
        reservation = self._by_id.pop(identity, None)
        if reservation is not None:
            reservation.question.reservations.pop(identity, None)
        return reservation

    def give_back(self, reservations: Iterable[Reservation]) -> list[Instruction]:
        """Remove reservations and return the messages that tell their owners."""
        instructions: list[Instruction] = []
        for reservation in list(reservations):
            identity = reservation.reservation_id
            self.forget(identity)
            instructions.append(Send(reservation.owner, ReleaseSlots([identity])))
        return instructions

    def is_reachable(self, runner: str, now: float) -> bool:
        """Return whether a runner has an owner that has not been silent a short time ago."""
        owner = self._owners.owner(runner)
        return bool(owner) and self._suspects.get(owner, 0.0) <= now

    def is_overdue(self, reservation: Reservation, now: float) -> bool:
        """Return whether an answer is overdue or can not come; notes the owner's silence."""
        if reservation.is_queued and not self._owners.is_live(reservation.owner):
            return True
        if now < reservation.answer_until:
            return False
        self.disconnected(reservation.owner, now)
        return True

    def disconnected(self, owner: str, now: float) -> None:
        """An owner has not answered in time, or the connection to it has ended."""
        self._suspects[owner] = now + SUSPECT_S

    def heard(self, owner: str) -> None:
        """An owner has answered."""
        self._suspects.pop(owner, None)
