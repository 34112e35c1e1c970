"""Decision logic that makes a node leave when an operator drains it."""

from collections.abc import Callable

from martenrun.configuration.objects import DrainRole
from martenrun.configuration.view import ConfigurationView
from martenrun.events import Event, Instruction, LeaveRequested, Tell, Tick


class NodeDrainLogic:
    """Tells the process to leave once its name is among the drained nodes.

    A node that left stays so until it is restarted; one that is restarted while the drain is
    still published leaves again.

    Args:
        name: the node's name in its settings.
        view: returns the configuration in force.
    """

    handles = frozenset({Tick})

    def __init__(self, name: str, view: Callable[[], ConfigurationView]) -> None:
        self._name = name
        self._view = view
        self._has_left = False

    def handle(self, event: Event, now: float) -> list[Instruction]:
        """Take in an event; see :class:`martenrun.events.DecisionLogic`."""
        if self._has_left or not isinstance(event, Tick):
            return []
        if self._name not in self._view().drained(DrainRole.NODE):
            return []
        self._has_left = True
        return [Tell(LeaveRequested())]
