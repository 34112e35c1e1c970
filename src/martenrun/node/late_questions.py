"""Refusing questions that reach a node after it has begun to leave.

See also: :meth:`martenrun.node.process.NodeProcess.drain`.
"""

from collections.abc import Callable, Sequence

from martenrun.dispatch import Dispatcher, joined_kinds
from martenrun.errors import StoppingError
from martenrun.events import DecisionLogic, Event, Instruction, PeerMessage, Send
from martenrun.wire.messages import DecideRequest
from martenrun.wire.refusals import refusal_of

RETRY_AFTER_S = 1.0
"""When an agent that knows no other node should come back, in seconds."""


class LateQuestions:
    """Parts that decide questions, with a gate before them.

    A leaving node answers a question at once with a refusal that says it was not run; the
    agent asks the next node.  Everything else, and the node's own front, passes.

    Args:
        parts: the parts that take questions in.
        own_address: name of the node's own front.
        is_leaving: returns whether this node is leaving.
    """

    def __init__(
        self, parts: Sequence[DecisionLogic], own_address: str, is_leaving: Callable[[], bool]
    ) -> None:
        self._dispatcher = Dispatcher(parts)
        self.handles = joined_kinds(parts)
        self._own_address = own_address
        self._is_leaving = is_leaving

    def handle(self, event: Event, now: float) -> list[Instruction]:
        """Take in an event; see :class:`martenrun.events.DecisionLogic`."""
        match event:
            case PeerMessage(peer, DecideRequest() as question) if self._refuses(peer):
                error = StoppingError("this node is being stopped", retry_after_s=RETRY_AFTER_S)
                return [Send(peer, refusal_of(question, error))]
        instructions: list[Instruction] = []
        for part in self._dispatcher.parts_for(event):
            instructions += part.handle(event, now)
        return instructions

    def _refuses(self, peer: str) -> bool:
        return self._is_leaving() and peer != self._own_address
