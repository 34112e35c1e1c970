"""Which parts of a process an event goes to.

A process has about ten parts, and most events mean something to one or two of them.  A part
that names what it handles is not called for anything else.  Most parts act each half second or
more rarely, and to be called and to find that nothing is due costs a tick more than what is due:
such a part names ``has_coarse_ticks`` and is told the time more rarely.  Parts that draw from the
process's random source keep every tick, so that seeded histories stay what they are.

See also: :class:`martenrun.events.DecisionLogic`, :mod:`martenrun.process`.
"""

from collections.abc import Sequence
from typing import Any

from martenrun.constants import COARSE_TICK_INTERVAL_S
from martenrun.events import DecisionLogic, Event, PeerMessage, Tick


def kind_of(event: Event) -> type[Any]:
    """Return what an event is looked up by: its type, or the type of a peer's message."""
    return type(event.message) if type(event) is PeerMessage else type(event)


def handled_kinds(part: DecisionLogic) -> frozenset[type[Any]] | None:
    """Return the kinds that a part names in ``handles``, None if it takes every event."""
    return getattr(part, "handles", None)


def has_coarse_ticks(part: DecisionLogic) -> bool:
    """Return whether a part needs to be told the time each COARSE_TICK_INTERVAL_S only."""
    return getattr(part, "has_coarse_ticks", False)


def joined_kinds(parts: Sequence[DecisionLogic]) -> frozenset[type[Any]] | None:
    """Return the kinds that any of the parts handles, None if one takes every event."""
    joined: frozenset[type[Any]] = frozenset()
    for part in parts:
        kinds = handled_kinds(part)
        if kinds is None:
            return None
        joined |= kinds
    return joined


class Dispatcher:
    """Finds the parts for an event by a table, which is filled kind by kind.

    Args:
        parts: decision logic, in the order in which it handles an event.
    """

    def __init__(self, parts: Sequence[DecisionLogic]) -> None:
        self._parts = tuple((part, handled_kinds(part)) for part in parts)
        self._by_kind: dict[type[Any], tuple[DecisionLogic, ...]] = {}
        self._ticked = self.parts_for(Tick())
        self._finely_ticked = tuple(part for part in self._ticked if not has_coarse_ticks(part))
        self._next_coarse_tick = 0.0

    def ticked(self, now: float) -> tuple[DecisionLogic, ...]:
        """Return the parts to which the clock event of this time goes, in order."""
        if now < self._next_coarse_tick:
            return self._finely_ticked
        self._next_coarse_tick = now + COARSE_TICK_INTERVAL_S
        return self._ticked

    def parts_for(self, event: Event) -> tuple[DecisionLogic, ...]:
        """Return the parts that handle an event, in order."""
        kind = kind_of(event)
        found = self._by_kind.get(kind)
        if found is None:
            found = tuple(
                part for part, handles in self._parts if handles is None or kind in handles
            )
            self._by_kind[kind] = found
        return found
