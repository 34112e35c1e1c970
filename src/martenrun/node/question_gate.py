"""Refusing questions that a node can not judge: it leaves, or has only just started.

A refusal by the gate says that the question was not run, and agents ask another node.

See also: :meth:`martenrun.node.process.NodeProcess.drain`, :mod:`martenrun.agent.requests`.
"""

from collections.abc import Callable, Sequence

from martenrun.dispatch import Dispatcher, joined_kinds
from martenrun.errors import MartenrunError, NotReadyError, StoppingError
from martenrun.events import DecisionLogic, Event, Instruction, PeerMessage, Send
from martenrun.wire.messages import DecideRequest
from martenrun.wire.refusals import refusal_of

RETRY_AFTER_S = 1.0
"""When an agent that knows no other node should come back, in seconds."""


def readiness_fault(revision: int, is_listed: bool) -> NotReadyError | None:
    """Return why a node can not judge questions yet, or None if it can.

    Args:
        revision: of the configuration in force; 0 for none.
        is_listed: whether the machine list has arrived.
    """
    if revision == 0:
        return NotReadyError("no configuration has arrived yet", retry_after_s=RETRY_AFTER_S)
    if not is_listed:
        return NotReadyError("the machine list has not arrived yet", retry_after_s=RETRY_AFTER_S)
    return None


class QuestionGate:
    """Parts that decide questions, with a gate before them.

    A leaving node answers a question at once with a refusal that says it was not run; the
    agent asks the next node.  The leaving node's own front passes: its streams end here.  A
    node that has not heard its configuration and machines refuses every question alike, its
    front's too, because it would speak of models and runners that it does not know.
    Everything else passes.

    Args:
        parts: the parts that take questions in.
        own_address: name of the node's own front.
        is_leaving: returns whether this node is leaving.
        readiness_fault: returns why this node can not judge questions yet, or None.
    """

    def __init__(
        self,
        parts: Sequence[DecisionLogic],
        own_address: str,
        is_leaving: Callable[[], bool],
        readiness_fault: Callable[[], NotReadyError | None],
    ) -> None:
        self._dispatcher = Dispatcher(parts)
        self.handles = joined_kinds(parts)
        self._own_address = own_address
        self._is_leaving = is_leaving
        self._readiness_fault = readiness_fault

    def handle(self, event: Event, now: float) -> list[Instruction]:
        """Take in an event; see :class:`martenrun.events.DecisionLogic`."""
        if isinstance(event, PeerMessage) and isinstance(event.message, DecideRequest):
            fault = self._fault(event.peer)
            if fault is not None:
                return [Send(event.peer, refusal_of(event.message, fault))]
        instructions: list[Instruction] = []
        for part in self._dispatcher.parts_for(event):
            instructions += part.handle(event, now)
        return instructions

    def _fault(self, peer: str) -> MartenrunError | None:
        if self._is_leaving() and peer != self._own_address:
            return StoppingError("this node is being stopped", retry_after_s=RETRY_AFTER_S)
        return self._readiness_fault()
