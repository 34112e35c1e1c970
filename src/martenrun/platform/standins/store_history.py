"""The objects of the stand-in for the store over time, so that it can return to an older state."""

import time
from typing import Any

import attrs

Key = tuple[str, str]
"""Kind and name of an object."""


@attrs.frozen
class Write:
    """A change of one object; ``item`` is None if it was deleted, ``at`` is monotonic time."""

    at: float
    revision: int
    key: Key
    item: dict[str, Any] | None


class StoreHistory:
    """All changes of the store's current history, oldest first."""

    def __init__(self) -> None:
        self.writes: list[Write] = []

    def record(self, revision: int, key: Key, item: dict[str, Any] | None) -> None:
        """Record a change that has just been made."""
        self.writes.append(Write(time.monotonic(), revision, key, item))

    def return_to(self, at: float) -> list[Write]:
        """Drop the changes after a time; return them, oldest first."""
        lost = [write for write in self.writes if write.at > at]
        self.writes = [write for write in self.writes if write.at <= at]
        return lost

    def objects(self) -> dict[Key, dict[str, Any]]:
        """Return the objects that exist after all changes."""
        found: dict[Key, dict[str, Any]] = {}
        for write in self.writes:
            if write.item is None:
                found.pop(write.key, None)
            else:
                found[write.key] = write.item
        return found

    @property
    def revision(self) -> int:
        """Revision of the last change, or 0."""
        return self.writes[-1].revision if self.writes else 0
