"""A simulated machine list: what the platform decides shows some time later."""

from msgspec.structs import replace

from martenrun.backends.machine_list import Machine
from martenrun.simulation.scheduler import Scheduler


class SimulatedMachines:
    """Machines by name; every change shows after ``lag_s`` of virtual time.

    Attributes:
        usual_lag_s: how late changes show if no fault makes them later.
        lag_s: how late changes made from now on show.
        is_down: the list cannot be read.
    """

    def __init__(self, scheduler: Scheduler, lag_s: float) -> None:
        self.usual_lag_s = lag_s
        self.lag_s = lag_s
        self.is_down = False
        self._scheduler = scheduler
        self._decided: dict[str, Machine] = {}
        self._shown: dict[str, Machine] = {}
        self._changes = 0
        self._shown_changes: dict[str, int] = {}

    def machines(self) -> list[Machine]:
        """Return the machines as the platform shows them."""
        return list(self._shown.values())

    def put(self, machine: Machine) -> None:
        """Register or change a machine."""
        self._decided[machine.name] = machine
        self._changes += 1
        change = self._changes
        self._scheduler.after(self.lag_s, lambda: self._show(machine, change))

    def mark(self, name: str, state: str) -> None:
        """Change a machine's state."""
        self.put(replace(self._decided[name], state=state))

    def _show(self, machine: Machine, change: int) -> None:
        """Show a change, unless a later one of the same machine shows already."""
        if change > self._shown_changes.get(machine.name, 0):
            self._shown_changes[machine.name] = change
            self._shown[machine.name] = machine
