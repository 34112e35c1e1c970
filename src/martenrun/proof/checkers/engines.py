"""Which engines could have taken new work at a time."""

from martenrun.proof.checkers.disturbance import Disturbances
from martenrun.proof.history import (
    EngineListed,
    History,
    LeavingAnnounced,
    LeavingWithdrawn,
    LoadBegun,
    LoadEnded,
)

KNOWN_BOUND_S = 1.0
"""Longest time until the router knows that an engine can be used again, in seconds."""

RETURN_BOUND_S = 3.0
"""Longest time until the router knows that an engine is no longer leaving, in seconds."""


class EngineAvailability:
    """The engines of a history, their faults and their planned stops."""

    def __init__(self, history: History, disturbances: Disturbances) -> None:
        self._disturbances = disturbances
        self._engines = [listed.process for listed in history.of(EngineListed)]
        self._leaving = history.of(LeavingAnnounced)
        self._begun = history.of(LoadBegun)
        self._ended = history.of(LoadEnded)
        self._withdrawn = history.of(LeavingWithdrawn)

    def none_can_run(self, time_s: float) -> bool:
        """Whether there are engines and no router can know of one that takes new work."""
        return bool(self._engines) and not any(
            self._can_run(engine, time_s) for engine in self._engines
        )

    def _can_run(self, engine: str, time_s: float) -> bool:
        since_s = time_s - KNOWN_BOUND_S
        # A broken connection alone, which takes no time, does not keep an engine from work.
        is_out = any(
            fault.until_s > fault.time_s and fault.time_s <= time_s and fault.until_s >= since_s
            for fault in self._disturbances.of(engine)
        )
        is_out = is_out or self._is_loading(engine, since_s, time_s)
        return not is_out and not self._is_leaving(engine, time_s)

    def _is_loading(self, engine: str, since_s: float, until_s: float) -> bool:
        begun = [load.time_s for load in self._begun if load.engine == engine]
        ended = [load.time_s for load in self._ended if load.engine == engine]
        last_s = max((begun_s for begun_s in begun if begun_s <= until_s), default=None)
        return last_s is not None and not any(last_s <= end_s < since_s for end_s in ended)

    def _is_leaving(self, engine: str, time_s: float) -> bool:
        marks = [mark.time_s for mark in self._leaving if mark.process == engine]
        begun_s = max((mark_s for mark_s in marks if mark_s <= time_s), default=None)
        if begun_s is None:
            return False
        ends = [end.time_s for end in self._withdrawn if end.process == engine]
        end_s = min((end_s for end_s in ends if end_s >= begun_s), default=time_s)
        return time_s <= end_s + RETURN_BOUND_S
