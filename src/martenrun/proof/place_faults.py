"""Faults of whole places: a zone lost, the regions cut from each other, the machine list."""

from collections.abc import Callable, Sequence
from dataclasses import dataclass

from martenrun.proof.history import ISOLATED, MACHINE_LIST
from martenrun.proof.processes import SimulatedNode, SimulatedProcess, Surroundings
from martenrun.simulation.engine import SimulatedEngine
from martenrun.simulation.places import PLATFORM

MACHINES_LATE_S = 4.0
"""Lag of the machine list while it lags more, in seconds."""


@dataclass(frozen=True)
class PlaceFaults:
    """Brings them about; ``disturb`` records that a fault hits a process for some seconds."""

    around: Surroundings
    nodes: Sequence[SimulatedNode]
    agents: Sequence[SimulatedProcess]
    engines: Sequence[SimulatedEngine]
    disturb: Callable[[str, str, float], None]

    def zone_of(self, target: int) -> str:
        """Return the zone that a fault's target chooses among those with machines."""
        zones = sorted({process.place.zone for process in [*self.nodes, *self.agents]})
        return zones[target % len(zones)]

    def nodes_in(self, zone: str) -> list[SimulatedNode]:
        """Return the nodes of a zone."""
        return [node for node in self.nodes if node.place.zone == zone]

    def engines_in(self, zone: str) -> list[SimulatedEngine]:
        """Return the engines of a zone."""
        places = self.around.places
        return [engine for engine in self.engines if places.zone_of(engine.name) == zone]

    def cut_zone(self, zone: str, duration_s: float) -> None:
        """Cut every machine of a zone off from all others."""
        for process in [*self.nodes, *self.agents]:
            if process.place.zone == zone:
                self.disturb(process.name, ISOLATED, duration_s)
        for engine in self.engines_in(zone):
            self.disturb(engine.name, "cut", duration_s)
        places = self.around.places
        places.lose_zone(zone)
        self.around.scheduler.after(duration_s, lambda: places.return_zone(zone))

    def cut_regions(self, duration_s: float) -> None:
        """Cut the regions from each other; the platform stays with one of them.

        On the platform's side everything must go on, unless it has no node or no engine.
        """
        places = self.around.places
        side = places.region_of(PLATFORM)
        has_node = any(node.place.region == side for node in self.nodes)
        has_engine = any(places.region_of(engine.name) == side for engine in self.engines)
        for process in [*self.nodes, *self.agents]:
            if process.place.region != side:
                self.disturb(process.name, ISOLATED, duration_s)
            elif not (has_node and has_engine):
                self.disturb(process.name, "cut", duration_s)
        for engine in self.engines:
            if places.region_of(engine.name) != side:
                self.disturb(engine.name, "cut", duration_s)
        places.cut_regions()
        self.around.scheduler.after(duration_s, places.join_regions)

    def machines_down(self, duration_s: float) -> None:
        """Make the machine list unreadable."""
        machines = self.around.machines
        self.disturb(MACHINE_LIST, "down", duration_s)
        machines.is_down = True

        def recover() -> None:
            machines.is_down = False

        self.around.scheduler.after(duration_s, recover)

    def machines_late(self, duration_s: float) -> None:
        """Let the machine list lag more."""
        machines = self.around.machines
        usual_s = machines.usual_lag_s
        self.disturb(MACHINE_LIST, "late", duration_s + MACHINES_LATE_S)
        machines.lag_s = MACHINES_LATE_S

        def recover() -> None:
            machines.lag_s = usual_s

        self.around.scheduler.after(duration_s, recover)
