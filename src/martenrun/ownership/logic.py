"""Home and owner logic of one node, joined so that messages to itself take no network hop."""

from martenrun.dispatch import kind_of
from martenrun.events import (
    Event,
    Instruction,
    MachinesListed,
    PeerDisconnected,
    PeerMessage,
    QuestionCleared,
    RunnerDescribed,
    Send,
    Tell,
    Tick,
)
from martenrun.ownership.home import HomeLogic
from martenrun.ownership.owner import OwnerLogic
from martenrun.wire.messages import (
    AttemptReport,
    DecideRequest,
    LeasesVoided,
    MachinesUpdate,
    ReleaseSlots,
    RenewLeases,
    ReserveSlot,
    SlotGranted,
    SlotRefused,
    SlotsQueued,
    WithdrawRequest,
)

_TO_OWNER = (ReserveSlot, ReleaseSlots, RenewLeases)
_TO_HOME = (SlotGranted, SlotsQueued, SlotRefused, LeasesVoided)
_OWNER_KINDS = frozenset({RunnerDescribed, MachinesListed, MachinesUpdate, *_TO_OWNER})


class OwnershipLogic:
    """The part of a node's process that decides questions and hands out slots."""

    handles = frozenset(
        {
            Tick,
            PeerDisconnected,
            QuestionCleared,
            DecideRequest,
            AttemptReport,
            WithdrawRequest,
            *_OWNER_KINDS,
            *_TO_HOME,
        }
    )

    def __init__(self, own_address: str, home: HomeLogic, owner: OwnerLogic) -> None:
        self._own_address = own_address
        self.home = home
        self.owner = owner

    def handle(self, event: Event, now: float) -> list[Instruction]:
        """Take in an event; see :class:`martenrun.events.DecisionLogic`."""
        pending = self._handled(event, now)
        instructions: list[Instruction] = []
        while pending:
            instruction = pending.pop(0)
            if isinstance(instruction, Send) and instruction.peer == self._own_address:
                pending += self._deliver(instruction, now)
            else:
                instructions.append(instruction)
        return instructions

    def _handled(self, event: Event, now: float) -> list[Instruction]:
        if isinstance(event, Tick):
            return [*self.owner.handle(event, now), *self.home.handle(event, now)]
        if kind_of(event) in _OWNER_KINDS:
            return self.owner.handle(event, now)
        self.owner.note(event, now)
        return self.home.handle(event, now)

    def _deliver(self, instruction: Send, now: float) -> list[Instruction]:
        event = PeerMessage(instruction.peer, instruction.message)
        if isinstance(instruction.message, _TO_OWNER + _TO_HOME):
            return self._handled(event, now)
        # The node's own front asked the question; its answer goes over the loop.
        return [Tell(event)]
