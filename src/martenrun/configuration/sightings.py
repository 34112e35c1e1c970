"""What a node has seen of the watchers' leases: their versions, and who held them.

See also: :mod:`martenrun.configuration.watching`.
"""

from collections.abc import Collection
from dataclasses import dataclass

LEASE_TIMEOUT_S = 10.0
"""How long a lease must be seen unchanged before another node takes it, in seconds."""


@dataclass(frozen=True, slots=True)
class _Sighting:
    """The version and holder of a lease, and since when it has been seen unchanged."""

    version: int
    holder: str
    at: float


class LeaseSightings:
    """The last look at the lease of each slot."""

    def __init__(self) -> None:
        self._by_slot: dict[str, _Sighting] = {}

    def saw(self, slot: str, version: int, holder: str, now: float) -> None:
        """Note a lease; one of the version seen before has not changed since."""
        seen = self._by_slot.get(slot)
        if seen is None or seen.version != version:
            self._by_slot[slot] = _Sighting(version, holder, now)

    def forget(self, slot: str) -> None:
        """Note that a slot has no lease."""
        self._by_slot.pop(slot, None)

    def version(self, slot: str) -> int:
        """Return the version of a slot's lease; 0 if none has been seen."""
        seen = self._by_slot.get(slot)
        return seen.version if seen is not None else 0

    def is_lapsed(self, slot: str, now: float) -> bool:
        """Return whether a lease has been seen unchanged for so long that it has ended."""
        seen = self._by_slot.get(slot)
        return seen is not None and now - seen.at >= LEASE_TIMEOUT_S

    def is_lost(self, slot: str, live: Collection[str]) -> bool:
        """Return whether a lease was last seen with a holder that is not among the live."""
        seen = self._by_slot.get(slot)
        return seen is not None and seen.holder not in live
