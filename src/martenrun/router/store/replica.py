"""A router's replica of one dataset of the platform's store.

It is fed by the store or by another router, and feeds other routers in turn.  Each change gets a
sequence number of this replica, so that a follower can request the changes after its last one.
An object that is missing after an outage is kept for a grace period.  Followers receive the time
since when it is missing, so that they do not keep it longer, whichever router they follow next.
"""

import collections
from collections.abc import Callable, Mapping

import attrs

from martenrun.router.log import log_warning
from martenrun.router.messages import Dataset, StoredObject

RETURN_GRACE_S = 2.0
"""How long after an outage of the store an object may be missing before it counts as deleted."""

NONE_MISSING: Mapping[str, float] = {}

MAX_CHANGES = 512
"""Maximum number of changes kept for followers; requests for older ones get a snapshot."""


@attrs.frozen
class Change:
    """One change of a replica; ``stored`` is None if the object was deleted."""

    sequence_number: int
    name: str
    stored: StoredObject | None


@attrs.frozen
class ReplicaListener:
    """Callbacks for changes of a replica.

    Attributes:
        on_put: an object is new or has changed.
        on_deleted: an object was deleted.
        on_applied: a complete response has been applied.
    """

    on_put: Callable[[StoredObject], None]
    on_deleted: Callable[[str], None]
    on_applied: Callable[[], None]


class DatasetReplica:
    """Objects of one dataset, the newest revision seen, and when it was last confirmed.

    Args:
        dataset: the replicated dataset.
        listener: receives the changes.
    """

    def __init__(self, dataset: Dataset, listener: ReplicaListener) -> None:
        self.dataset = dataset
        self._listener = listener
        self._objects: dict[str, StoredObject] = {}
        self._missing_since: dict[str, float] = {}
        self._changes: collections.deque[Change] = collections.deque(maxlen=MAX_CHANGES)
        self.sequence_number = 0
        self.revision: int | None = None
        self.confirmed_at: float | None = None

    @property
    def is_loaded(self) -> bool:
        """Whether a complete list has been applied."""
        return self.revision is not None

    @property
    def objects(self) -> list[StoredObject]:
        """All objects, including those that are missing since an outage."""
        return list(self._objects.values())

    @property
    def has_missing(self) -> bool:
        """Whether a missing object is kept for the grace period."""
        return bool(self._missing_since)

    def missing_since(self, name: str) -> float | None:
        """Return since when an object kept for the grace period is missing, or None."""
        return self._missing_since.get(name)

    def replace(
        self,
        objects: list[StoredObject],
        revision: int,
        is_after_outage: bool,
        now: float,
        missing: Mapping[str, float] = NONE_MISSING,
    ) -> None:
        """Apply a complete list, unless it is older than the known state.

        Args:
            missing: since when objects of the list are missing in the store.
        """
        if self.revision is not None and revision < self.revision:
            return
        listed = {stored.name for stored in objects}
        for stored in objects:
            self._put(stored, missing.get(stored.name))
        for name in [name for name in self._objects if name not in listed]:
            self._remove(name, is_after_outage, now)
        self.revision = revision
        self._listener.on_applied()

    def apply(
        self,
        changed: list[StoredObject],
        deleted: list[str],
        revision: int,
        is_after_outage: bool,
        now: float,
        missing: Mapping[str, float] = NONE_MISSING,
    ) -> None:
        """Apply changes: first changed objects, then deletions.

        Args:
            missing: since when changed objects are missing in the store.
        """
        for stored in changed:
            self._put(stored, missing.get(stored.name))
        for name in deleted:
            self._remove(name, is_after_outage, now)
        self.revision = max(revision, self.revision or 0)
        self._listener.on_applied()

    def confirm(self, sent_at: float) -> None:
        """Record that a read sent at ``asked_at`` was applied; the time only increases."""
        if self.confirmed_at is None or sent_at > self.confirmed_at:
            self.confirmed_at = sent_at

    def drop_missing(self, now: float) -> None:
        """Drop objects that have been missing for the whole grace period."""
        late = [key for key, since in self._missing_since.items() if now - since > RETURN_GRACE_S]
        for name in late:
            log_warning("object_lapsed", dataset=self.dataset.value, name=name)
            self._drop(name)
        if late:
            self._listener.on_applied()

    def changes_after(self, number: int) -> list[Change] | None:
        """Return the changes after a sequence number, or None if some are no longer kept."""
        if number == self.sequence_number:
            return []
        if (
            number > self.sequence_number
            or not self._changes
            or self._changes[0].sequence_number > number + 1
        ):
            return None
        return [change for change in self._changes if change.sequence_number > number]

    def _put(self, stored: StoredObject, missing_since: float | None) -> None:
        """Store an object; one that is missing keeps the earliest such time."""
        known = self._objects.get(stored.name)
        if known is not None and known.revision > stored.revision:
            return
        previous_missing_since = self._missing_since.pop(stored.name, None)
        if missing_since is not None:
            earliest = min(missing_since, previous_missing_since or missing_since)
            self._missing_since[stored.name] = earliest
        is_new = known is None or known.revision < stored.revision
        if is_new:
            self._objects[stored.name] = stored
            self._listener.on_put(stored)
        if is_new or previous_missing_since != self._missing_since.get(stored.name):
            self._append_change(stored.name, stored)

    def _remove(self, name: str, is_after_outage: bool, now: float) -> None:
        if name not in self._objects:
            return
        if not is_after_outage:
            self._drop(name)
        elif name not in self._missing_since:
            self._missing_since[name] = now
            self._append_change(name, self._objects[name])

    def _drop(self, name: str) -> None:
        self._missing_since.pop(name, None)
        if self._objects.pop(name, None) is not None:
            self._append_change(name, None)
            self._listener.on_deleted(name)

    def _append_change(self, name: str, stored: StoredObject | None) -> None:
        self.sequence_number += 1
        self._changes.append(Change(self.sequence_number, name, stored))
