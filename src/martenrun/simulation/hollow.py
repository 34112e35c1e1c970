"""A hollow process: real decision logic, run by the virtual clock instead of an actor."""

from collections.abc import Callable, Mapping
from typing import Any

from martenrun.constants import TICK_INTERVAL_S
from martenrun.dispatch import Dispatcher
from martenrun.events import (
    DecisionLogic,
    Event,
    Instruction,
    PeerDisconnected,
    PeerMessage,
    Send,
    SendDatagram,
    Tell,
    Tick,
)
from martenrun.process import Carrier
from martenrun.simulation.network import SimulatedNetwork
from martenrun.simulation.scheduler import Scheduler
from martenrun.wire.messages import Message

_TICK = Tick()


class HollowProcess:
    """Runs decision logic as :class:`martenrun.process.LoopActor` does, in virtual time.

    Args:
        name: peer name on the network.
        parts: decision logic; each event goes to those that handle it, in order.
        carriers: what carries out each type of instruction; Send, SendDatagram and
            Tell need none.
        observe: is told the receiver and the message of everything that is sent, to the
            process itself too.
    """

    def __init__(
        self,
        name: str,
        parts: list[DecisionLogic],
        scheduler: Scheduler,
        network: SimulatedNetwork,
        carriers: Mapping[type[Any], Carrier],
        tick_interval_s: float = TICK_INTERVAL_S,
        observe: Callable[[str, Message], None] | None = None,
    ) -> None:
        self.name = name
        self._dispatcher = Dispatcher(parts)
        self._tick_handlers = [part.handle for part in self._dispatcher.parts_for(_TICK)]
        self._scheduler = scheduler
        self._network = network
        self._carriers = carriers
        self._tick_interval_s = tick_interval_s
        self._observe = observe
        self._alive = True
        self._frozen_events: list[Event] | None = None
        network.attach(
            name,
            lambda peer, message: self.tell(PeerMessage(peer, message)),
            lambda peer: self.tell(PeerDisconnected(peer)),
        )
        scheduler.after(0.0, self._tick)

    def tell(self, event: Event) -> None:
        """Handle an event now, or after the freeze."""
        if not self._alive:
            return
        if self._frozen_events is not None:
            self._frozen_events.append(event)
            return
        now = self._scheduler.now
        for part in self._dispatcher.parts_for(event):
            for instruction in part.handle(event, now):
                self._carry_out(instruction)

    def _carry_out(self, instruction: Instruction) -> None:
        if isinstance(instruction, Send):
            if self._observe is not None:
                self._observe(instruction.peer, instruction.message)
            self._send(instruction)
        elif isinstance(instruction, SendDatagram):
            self._network.send_datagram(self.name, instruction.peer, instruction.message)
        elif isinstance(instruction, Tell):
            event = instruction.event
            if self._observe is not None and isinstance(event, PeerMessage):
                # A node's answer to its own front does not pass the network.
                self._observe(self.name, event.message)
            self._scheduler.after(0.0, lambda: self.tell(event))
        else:
            self._carriers[type(instruction)](instruction)

    def _send(self, instruction: Send) -> None:
        if instruction.peer != self.name:
            self._network.send(self.name, instruction.peer, instruction.message)
            return
        # As in message_carrier: messages to the process itself skip the network.
        event = PeerMessage(instruction.peer, instruction.message)
        self._scheduler.after(0.0, lambda: self.tell(event))

    @property
    def is_alive(self) -> bool:
        """Whether the process has not been killed."""
        return self._alive

    @property
    def is_frozen(self) -> bool:
        """Whether the process is paused."""
        return self._frozen_events is not None

    def kill(self) -> None:
        """End the process at once; its state is lost."""
        self._alive = False
        self._network.detach(self.name)

    def freeze(self) -> None:
        """Pause the process; events wait."""
        self._frozen_events = []

    def thaw(self) -> None:
        """Continue after a freeze with the events that waited."""
        waiting, self._frozen_events = self._frozen_events or [], None
        for event in waiting:
            self.tell(event)

    def _tick(self) -> None:
        if self._alive:
            if self._frozen_events is None:
                # Most events are ticks that change nothing: no look-up for each.
                now = self._scheduler.now
                for handle in self._tick_handlers:
                    for instruction in handle(_TICK, now):
                        self._carry_out(instruction)
            self._scheduler.after(self._tick_interval_s, self._tick)
