"""Which parts of a process an event goes to.

A process has about ten parts, and most events mean something to one or two of them.  A part
that names what it handles is not called for anything else.

See also: :class:`martenrun.events.DecisionLogic`, :mod:`martenrun.process`.
"""

from collections.abc import Sequence
from typing import Any

from martenrun.events import DecisionLogic, Event, PeerMessage


def kind_of(event: Event) -> type[Any]:
    """Return what an event is looked up by: its type, or the type of a peer's message."""
    return type(event.message) if type(event) is PeerMessage else type(event)


def handled_kinds(part: DecisionLogic) -> frozenset[type[Any]] | None:
    """Return the kinds that a part names in ``handles``, None if it takes every event."""
    return getattr(part, "handles", None)


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
