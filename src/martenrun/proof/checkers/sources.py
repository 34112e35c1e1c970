"""Whether a process could learn the configuration from anybody."""

from martenrun.proof.checkers.disturbance import Disturbances
from martenrun.proof.history import (
    ISOLATED,
    OBJECT_API,
    STOPPED,
    ConfigurationInForce,
    CutFromObjectApi,
    History,
    ProcessStarted,
)

SIGHTING_INTERVAL_S = 0.5
"""Longest time between two sightings of a process's configuration, in seconds."""

_ENDS = frozenset({"kill", STOPPED})
_ABSENCES = _ENDS | {ISOLATED, "freeze"}


class ConfigurationSources:
    """Who held a copy of the configuration, and who could read it from the object API."""

    def __init__(self, history: History, disturbances: Disturbances) -> None:
        self._disturbances = disturbances
        self._copies = [seen for seen in history.of(ConfigurationInForce) if seen.revision > 0]
        self._cuts = history.of(CutFromObjectApi)
        self._nodes = {start.process for start in history.of(ProcessStarted) if start.is_node}

    def none_for(self, process: str, since_s: float, until_s: float) -> bool:
        """Whether a process could learn the configuration from nobody in a span.

        Only what holds from the first to the last moment of the span keeps somebody from telling
        it, except an end, which loses a copy, and a fault of the object API itself.
        """
        if any(self._tells(seen, since_s, until_s) for seen in self._copies):
            return False
        return not self._is_read(process, since_s, until_s)

    def _tells(self, seen: ConfigurationInForce, since_s: float, until_s: float) -> bool:
        """Whether a process that was seen with a copy kept it and could tell others."""
        if not since_s - SIGHTING_INTERVAL_S <= seen.time_s <= since_s:
            return False
        is_ended = any(
            fault.kind in _ENDS and seen.time_s <= fault.time_s <= since_s
            for fault in self._disturbances.of(seen.process)
        )
        return not is_ended and not self._is_absent(seen.process, since_s, until_s)

    def _is_read(self, process: str, since_s: float, until_s: float) -> bool:
        """Whether the process itself, or a node that can tell it, could read the object API."""
        if self._disturbances.touch(OBJECT_API, since_s, until_s):
            return False
        if process not in self._nodes:
            return True
        readers = [node for node in self._nodes if not self._is_cut(node, since_s, until_s)]
        return any(
            node == process or not self._is_absent(node, since_s, until_s) for node in readers
        )

    def _is_absent(self, process: str, since_s: float, until_s: float) -> bool:
        return any(
            fault.kind in _ABSENCES and fault.time_s <= since_s and fault.until_s >= until_s
            for fault in self._disturbances.of(process)
        )

    def _is_cut(self, node: str, since_s: float, until_s: float) -> bool:
        return any(
            cut.process == node and cut.time_s <= since_s and cut.until_s >= until_s
            for cut in self._cuts
        )
