"""A simulated machine list: what the platform decides shows some time later."""

from dataclasses import replace

from martenrun.platform.machine_list import Machine
from martenrun.simulation.scheduler import Scheduler


class SimulatedMachines:
    """Machines by name; every change shows after ``lag_s`` of virtual time."""

    def __init__(self, scheduler: Scheduler, lag_s: float) -> None:
        self._scheduler = scheduler
        self._lag_s = lag_s
        self._decided: dict[str, Machine] = {}
        self._shown: dict[str, Machine] = {}

    def machines(self) -> list[Machine]:
        """Return the machines as the platform shows them."""
        return list(self._shown.values())

    def put(self, machine: Machine) -> None:
        """Register or change a machine."""
        self._decided[machine.name] = machine
        self._scheduler.after(self._lag_s, lambda: self._show(machine))

    def mark(self, name: str, state: str) -> None:
        """Change a machine's state."""
        self.put(replace(self._decided[name], state=state))

    def _show(self, machine: Machine) -> None:
        self._shown[machine.name] = machine
