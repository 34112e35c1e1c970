"""A router's replica of one dataset of the platform's store.

It is fed by the store or by another router, and feeds other routers in turn.  Each change gets a
sequence number of this replica, so that a follower can request the changes after its last one.
An object that is missing after an outage is kept for a grace period.  Followers receive the time
since when it is missing, so that they do not keep it longer, whichever router they follow next.

When the store returns from an older copy, what is known to be newer than the copy stays until its
writer has written it again, and a deleted object stays deleted.
"""

import collections
import contextlib
import math
from collections.abc import Callable, Collection, Iterator, Mapping

import attrs

from martenrun.net.periodic import call_safely
from martenrun.router.log import log_warning
from martenrun.router.messages import Dataset, StoredObject, StorePosition
from martenrun.router.store.eras import StoreEras

RETURN_GRACE_S = 2.0
"""How long after an outage of the store an object may be missing before it counts as deleted."""

NONE_MISSING: Mapping[str, float] = {}

DELETED_MEMORY_S = 60.0
"""How long a deletion is remembered, in seconds: longer than a copy of the store is old."""

MAX_CHANGES = 512
"""Maximum number of changes kept for followers; requests for older ones get a snapshot."""


@attrs.frozen
class Change:
    """One change of a replica; ``stored`` is None if the object was deleted or has lapsed.

    An object lapses if the store goes on to lack it, without a word of its deletion.
    """

    sequence_number: int
    name: str
    stored: StoredObject | None
    is_lapsed: bool = False


@attrs.frozen
class Deletion:
    """A deleted object: the store's position then, and the monotonic time in seconds."""

    position: StorePosition
    at: float


def _undecided(_later: StoredObject, _earlier: StoredObject) -> bool | None:
    return None


@attrs.frozen
class ReplicaListener:
    """Callbacks for changes of a replica.

    Attributes:
        on_put: an object is new or has changed.
        on_deleted: an object was deleted.
        on_applied: a complete response has been applied.
        supersedes: returns whether an object of a later era replaces one of an earlier era with the
            same name, or None if its content does not tell.
        keeps_lost: whether an object that the store lost with an era stays until it is written
            again, however long that takes.
    """

    on_put: Callable[[StoredObject], None]
    on_deleted: Callable[[str], None]
    on_applied: Callable[[], None]
    supersedes: Callable[[StoredObject, StoredObject], bool | None] = _undecided
    keeps_lost: bool = False


class DatasetReplica:
    """Objects of one dataset, the newest position seen, and when it was last confirmed.

    Args:
        dataset: the replicated dataset.
        listener: receives the changes.

    Attributes:
        position: of the newest response that was applied, or None.
        read_at: when the newest read that was applied was sent.
        confirmed_at: the same of the reads after which the replica was as new as the store.
    """

    def __init__(
        self, dataset: Dataset, listener: ReplicaListener, eras: StoreEras | None = None
    ) -> None:
        self.dataset = dataset
        self.eras = eras or StoreEras()
        self._listener = listener
        self._objects: dict[str, StoredObject] = {}
        self._outdated: dict[str, StoredObject] = {}
        self._deletions: dict[str, Deletion] = {}
        self._missing_since: dict[str, float] = {}
        self._missing_deleted: set[str] = set()
        self._changes: collections.deque[Change] = collections.deque(maxlen=MAX_CHANGES)
        self.sequence_number = 0
        self.position: StorePosition | None = None
        self.read_at: float | None = None
        self.confirmed_at: float | None = None

    @property
    def is_loaded(self) -> bool:
        """Whether a complete list has been applied."""
        return self.position is not None

    def age_s(self, now: float) -> float:
        """Return the age of the replica in seconds; infinite before it is first confirmed."""
        return math.inf if self.confirmed_at is None else now - self.confirmed_at

    @property
    def is_behind(self) -> bool:
        """Whether the store has lost an object that is in force and not written again yet."""
        if self.position is None or not self._listener.keeps_lost:
            return False
        return any(stored.era < self.position.era for stored in self._objects.values())

    @property
    def deletions(self) -> Mapping[str, Deletion]:
        """The remembered deletions, by the object's name."""
        return self._deletions

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
        position: StorePosition,
        is_after_outage: bool,
        now: float,
        missing: Mapping[str, float] = NONE_MISSING,
    ) -> bool:
        """Apply a complete list, unless it is older than the known state; return whether it was.

        Args:
            missing: since when objects of the list are missing in the store.
        """
        known = self.position
        if known is not None and position < known:
            return False
        is_new_era = known is not None and known.era < position.era
        listed = {stored.name for stored in objects}
        self._outdated = {name: item for name, item in self._outdated.items() if name in listed}
        with self._moved_to(position):
            for stored in objects:
                self._put(stored, missing.get(stored.name))
            for name in [name for name in self._objects if name not in listed]:
                self._remove(name, is_after_outage or is_new_era, now, is_lapsed=True)
        call_safely("objects_applied", self._listener.on_applied)
        if is_new_era:
            self._log_era(position, listed)
        return True

    def apply(
        self,
        changed: list[StoredObject],
        deleted: list[str],
        position: StorePosition,
        is_after_outage: bool,
        now: float,
        missing: Mapping[str, float] = NONE_MISSING,
        lapsed: Collection[str] = (),
    ) -> None:
        """Apply changes: first changed objects, then deletions.

        Args:
            missing: since when changed objects are missing in the store.
            lapsed: objects that another router dropped since the store lacks them.
        """
        with self._moved_to(max(position, self.position or position)):
            for stored in changed:
                self._put(stored, missing.get(stored.name))
            for name in deleted:
                self._outdated.pop(name, None)
                self._remove(name, is_after_outage, now)
            for name in lapsed:
                self._remove(name, is_after_outage, now, is_lapsed=True)
        call_safely("objects_applied", self._listener.on_applied)

    @contextlib.contextmanager
    def _moved_to(self, position: StorePosition) -> Iterator[None]:
        """Apply changes at a position; it is kept only if none of them raises."""
        before, self.position = self.position, position
        try:
            yield
        except BaseException:
            self.position = before
            raise

    def merge_earlier(
        self, objects: list[StoredObject], deletions: Mapping[str, Deletion], now: float
    ) -> None:
        """Merge objects and deletions that another router knows from an earlier era.

        An object that the store lacks is kept for the grace period.
        """
        for name, deletion in deletions.items():
            self._merge_deletion(name, deletion, now)
        for stored in objects:
            is_missing = stored.name not in self._objects and not self._listener.keeps_lost
            since = now if is_missing else self._missing_since.get(stored.name)
            self._put(stored, since)
        call_safely("objects_applied", self._listener.on_applied)

    def confirm(self, sent_at: float) -> None:
        """Record that a read sent at ``sent_at`` was applied; the times only increase.

        A store that has lost what is in force confirms nothing.
        """
        if self.read_at is None or sent_at > self.read_at:
            self.read_at = sent_at
        if not self.is_behind and (self.confirmed_at is None or sent_at > self.confirmed_at):
            self.confirmed_at = sent_at

    def update(self, now: float) -> None:
        """Drop objects whose grace period has ended, and objects kept for too long after a copy."""
        late = [key for key, since in self._missing_since.items() if now - since > RETURN_GRACE_S]
        for name in late:
            log_warning("object_lapsed", dataset=self.dataset.value, name=name)
            self._drop(name, now, is_lapsed=name not in self._missing_deleted)
        self._deletions = {
            name: item
            for name, item in self._deletions.items()
            if now - item.at <= DELETED_MEMORY_S
        }
        before = self.sequence_number
        for stored in list(self._outdated.values()):
            self._put(stored, None)
        if late or before != self.sequence_number:
            call_safely("objects_applied", self._listener.on_applied)

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
        if self._is_outdated(stored, known):
            if known is None or known.era < stored.era:
                self._outdated[stored.name] = stored
            return
        self._outdated.pop(stored.name, None)
        self._deletions.pop(stored.name, None)
        self._missing_deleted.discard(stored.name)
        if known is not None and stored.era < known.era:
            self._outdated[stored.name] = known
        previous_missing_since = self._missing_since.pop(stored.name, None)
        if missing_since is not None:
            earliest = min(missing_since, previous_missing_since or missing_since)
            self._missing_since[stored.name] = earliest
        is_new = known is None or known.position != stored.position
        if is_new:
            self._objects[stored.name] = stored
            call_safely("object_put", self._listener.on_put, stored)
        if is_new or previous_missing_since != self._missing_since.get(stored.name):
            self._append_change(stored.name, stored)

    def _is_outdated(self, stored: StoredObject, known: StoredObject | None) -> bool:
        """Return whether an object is older than the known one or than its deletion."""
        if known is None:
            deletion = self._deletions.get(stored.name)
            if deletion is None or deletion.position.era == stored.era:
                return False
            return not self._is_written_since(stored, deletion.position)
        if stored.era == known.era:
            return stored.position < known.position
        later, earlier = (stored, known) if stored.era > known.era else (known, stored)
        return self._supersedes(later, earlier) == (later is known)

    def _supersedes(self, later: StoredObject, earlier: StoredObject) -> bool:
        """Return whether an object of a later era replaces one of an earlier era."""
        if later.spec == earlier.spec:
            return True
        is_superseding = self._listener.supersedes(later, earlier)
        if is_superseding is None:
            return self.eras.is_settled or self._is_written_since(later, earlier.position)
        return is_superseding

    def _is_written_since(self, stored: StoredObject, position: StorePosition) -> bool:
        """Return whether an object was written after a position, perhaps of another era."""
        if stored.era <= position.era:
            return stored.position > position
        return self.eras.order(stored.position) > self.eras.order(position)

    def _merge_deletion(self, name: str, deletion: Deletion, now: float) -> None:
        known = self._objects.get(name)
        if known is not None:
            if self._is_written_since(known, deletion.position):
                return
            self._drop(name, now)
            del self._deletions[name]
            if known.era > deletion.position.era:
                self._outdated[name] = known
        remembered = self._deletions.get(name)
        if remembered is None or remembered.position < deletion.position:
            self._deletions[name] = deletion

    def _remove(
        self, name: str, is_after_outage: bool, now: float, is_lapsed: bool = False
    ) -> None:
        known = self._objects.get(name)
        if known is None:
            return
        if self._listener.keeps_lost and self.position and known.era < self.position.era:
            return
        if not is_after_outage:
            self._drop(name, now, is_lapsed)
            return
        if not is_lapsed:
            self._missing_deleted.add(name)
        if name not in self._missing_since:
            self._missing_since[name] = now
            self._append_change(name, self._objects[name])

    def _drop(self, name: str, now: float, is_lapsed: bool = False) -> None:
        """Drop an object; only a deletion, not a lapse, counts against copies that list it."""
        self._missing_since.pop(name, None)
        self._missing_deleted.discard(name)
        known = self._objects.pop(name, None)
        if known is not None:
            if not is_lapsed:
                self._deletions[name] = Deletion(self.position or known.position, now)
            self._append_change(name, None, is_lapsed)
            call_safely("object_deleted", self._listener.on_deleted, name)

    def _log_era(self, position: StorePosition, listed: set[str]) -> None:
        """Log what the store lost when it returned from a copy, as far as it is known here."""
        lost = [name for name, item in self._objects.items() if item.era < position.era]
        log_warning(
            "store_copy_applied",
            dataset=self.dataset.value,
            era=position.era,
            revision=position.revision,
            listed=len(listed),
            kept=",".join(name for name in lost if name in listed)[:200],
            missing=",".join(name for name in self._objects if name not in listed)[:200],
            dropped=",".join(name for name in self._outdated if name not in self._objects)[:200],
        )

    def _append_change(
        self, name: str, stored: StoredObject | None, is_lapsed: bool = False
    ) -> None:
        self.sequence_number += 1
        self._changes.append(Change(self.sequence_number, name, stored, is_lapsed))
