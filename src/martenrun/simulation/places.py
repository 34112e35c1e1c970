"""Zones and regions of simulated machines, and which machines cannot reach each other."""

from dataclasses import dataclass

OTHER_ZONE_DELAY_S = 0.0018
"""Time that a message between two zones takes more, one way, in seconds."""

PLATFORM = "platform"
"""Name of the place of the object API and the machine list."""


@dataclass(frozen=True)
class Place:
    """Where a machine stands."""

    zone: str
    region: str


class Places:
    """Places of all machines by name or address; machines without a place are near everything.

    Cuts may overlap: each one ends only itself.
    """

    def __init__(self) -> None:
        self._places: dict[str, Place] = {}
        self._region_cuts = 0
        self._lost_zones: list[str] = []

    def put(self, place: Place, *names: str) -> None:
        """Place a machine; ``names`` are its name and its addresses."""
        for name in names:
            self._places[name] = place

    def zone_of(self, name: str) -> str:
        """Return a machine's zone, or an empty string."""
        place = self._places.get(name)
        return "" if place is None else place.zone

    def region_of(self, name: str) -> str:
        """Return a machine's region, or an empty string."""
        place = self._places.get(name)
        return "" if place is None else place.region

    def cut_regions(self) -> None:
        """Let no machine of one region reach one of another."""
        self._region_cuts += 1

    def join_regions(self) -> None:
        """End one cut between the regions."""
        self._region_cuts -= 1

    def lose_zone(self, zone: str) -> None:
        """Cut every machine of a zone off from all others."""
        self._lost_zones.append(zone)

    def return_zone(self, zone: str) -> None:
        """End one loss of a zone."""
        self._lost_zones.remove(zone)

    def are_cut(self, one: str, other: str) -> bool:
        """Return whether nothing sent between two machines arrives."""
        if not self._region_cuts and not self._lost_zones:
            return False
        first, second = self._places.get(one), self._places.get(other)
        if first is None or second is None or one == other:
            return False
        if first.zone in self._lost_zones or second.zone in self._lost_zones:
            return True
        return self._region_cuts > 0 and first.region != second.region

    def delay_s(self, one: str, other: str) -> float:
        """Return what the distance of two machines adds to the time of a message."""
        first, second = self._places.get(one), self._places.get(other)
        if first is None or second is None or first.zone == second.zone:
            return 0.0
        return OTHER_ZONE_DELAY_S
