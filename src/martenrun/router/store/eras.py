"""The era of the platform's store, and which positions of its history are comparable.

The store may return from an older copy.  It then begins a new era: changes made after the copy are
lost and their revisions are assigned again.  Within one era the revision orders all changes.  An
object read in a later era says something new only if it was written after the store's return, that
is, above the revision that the store returned with.
"""

import math
from collections.abc import Callable, Iterable

from martenrun.net.periodic import call_safely
from martenrun.router.log import log_warning
from martenrun.router.messages import StorePosition

UNKNOWN_ERA = 0
"""Era before any response has named one."""

COPIED_ERA = 0
"""Era by which objects from the copy are ordered: before all that was seen of the store."""

REMEMBERED_ERAS = 8

SETTLED_S = 30.0
"""Time after which what the store holds counts, even if it is older than what was known.

Writers repeat what they wrote within a few seconds.
"""


class StoreEras:
    """The newest era of the store that this router knows, and where the last eras began.

    Args:
        now: returns the monotonic time in seconds.

    Attributes:
        current: the newest era.
        on_changed: called with the previous era after a newer one was observed.
    """

    def __init__(self, now: Callable[[], float] = lambda: 0.0) -> None:
        self.current = UNKNOWN_ERA
        self.on_changed: list[Callable[[int], None]] = []
        self._now = now
        self._changed_at = -math.inf
        self._first_positions: dict[int, StorePosition] = {}

    def observe(self, era: int, source: str) -> None:
        """Record an era; ``source`` says where it was learned, for the log."""
        if era <= self.current:
            return
        before, self.current = self.current, era
        self._changed_at = self._now()
        if before != UNKNOWN_ERA:
            log_warning("store_era_changed", before=before, era=era, source=source)
        for call in self.on_changed:
            call_safely("era_changed", call, before)

    def age_s(self) -> float:
        """Return for how long this router has known the current era, in seconds."""
        return self._now() - self._changed_at

    @property
    def is_settled(self) -> bool:
        """Whether all writers have had time to repeat what the store lost."""
        return self.age_s() > SETTLED_S

    def record_position(self, position: StorePosition) -> None:
        """Record a position that the store had; the lowest bounds what it returned with."""
        known = self._first_positions.get(position.era)
        if known is None or position < known:
            self._first_positions[position.era] = position
            for era in sorted(self._first_positions)[:-REMEMBERED_ERAS]:
                del self._first_positions[era]

    def first_positions(self) -> list[StorePosition]:
        """Return the lowest known position of each of the last eras."""
        return list(self._first_positions.values())

    def merge(self, positions: Iterable[StorePosition]) -> None:
        """Merge the lowest positions that another router knows."""
        for position in positions:
            self.record_position(position)

    def order(self, position: StorePosition) -> StorePosition:
        """Return the position by which an object is compared with those of other eras."""
        first = self._first_positions.get(position.era)
        if first is None or position > first:
            return position
        return StorePosition(COPIED_ERA, position.revision)
