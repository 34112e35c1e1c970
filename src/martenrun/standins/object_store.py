"""The stored objects of the object API's stand-in: revisions, compare-and-swap, compaction.

The revision is one counter over all objects; an object's version is the revision that last
wrote it.  Only the latest change of each object is kept.  Removals are kept until they are
compacted; a watch from before the compacted revision could miss them and is refused.
"""

import heapq
import threading

import msgspec


class StoredObject(msgspec.Struct):
    """One object as the API shows it; ``change`` is what its writer called the write."""

    kind: str
    name: str
    version: int
    deleted: bool
    document: dict[str, object]
    change: str = ""


class ObjectList(msgspec.Struct):
    """Answer to a list or watch: the objects and the present revision."""

    revision: int
    objects: list[StoredObject]


class CompactedError(Exception):
    """A watch asked for changes after a revision that was compacted."""

    def __init__(self, compacted: int) -> None:
        super().__init__(f"changes up to revision {compacted} were compacted")
        self.compacted = compacted


class ObjectStore:
    """The stored objects and their revision counter; thread-safe.

    Args:
        retained_changes: revisions after which a removal is compacted.
    """

    def __init__(self, retained_changes: int = 10_000) -> None:
        self._changed = threading.Condition()
        self._objects: dict[tuple[str, str], StoredObject] = {}
        self._removals: list[StoredObject] = []
        self._retained_changes = retained_changes
        self._revision = 0
        self._compacted = 0

    def list_all(self, kinds: frozenset[str] = frozenset()) -> ObjectList:
        """Return every object of some kinds, or of all, that exists."""
        with self._changed:
            found = [item for item in self._newer(0, kinds) if not item.deleted]
            return ObjectList(self._revision, found)

    def list_page(self, kind: str, after_name: str, limit: int) -> ObjectList:
        """Return the first objects of a kind whose names come after one, in order."""
        with self._changed:
            later = (
                item
                for item in self._objects.values()
                if item.kind == kind and item.name > after_name and not item.deleted
            )
            found = heapq.nsmallest(limit, later, key=lambda item: item.name)
            return ObjectList(self._revision, found)

    def changes(self, after: int, wait_s: float, kinds: frozenset[str] = frozenset()) -> ObjectList:
        """Return changes after a revision, waiting up to ``wait_s`` for one.

        Raises:
            CompactedError: if removals after that revision may be missing.
        """
        with self._changed:
            self._changed.wait_for(
                lambda: after < self._compacted or bool(self._newer(after, kinds)), timeout=wait_s
            )
            if after < self._compacted:
                raise CompactedError(self._compacted)
            return ObjectList(self._revision, self._newer(after, kinds))

    def get(self, kind: str, name: str) -> StoredObject | None:
        """Return one object or its removal, or None if neither is known."""
        with self._changed:
            return self._objects.get((kind, name))

    def write(
        self,
        kind: str,
        name: str,
        expected: int,
        document: dict[str, object] | None,
        change: str = "",
    ) -> tuple[bool, int]:
        """Compare-and-swap; a document of None removes.

        Returns:
            Whether it was written, and the object's version now (0 if it does not exist).
        """
        with self._changed:
            present = self._objects.get((kind, name))
            version = 0 if present is None or present.deleted else present.version
            if version != expected:
                return False, version
            self._revision += 1
            deleted = document is None
            item = StoredObject(kind, name, self._revision, deleted, document or {}, change)
            # Dictionary order stays the order of revisions.
            self._objects.pop((kind, name), None)
            self._objects[(kind, name)] = item
            if deleted:
                self._removals.append(item)
            self._forget_removals(self._revision - self._retained_changes)
            self._changed.notify_all()
            return True, self._revision

    def compact(self) -> None:
        """Forget every removal and refuse watches from before now."""
        with self._changed:
            self._forget_removals(self._revision)
            self._compacted = self._revision
            self._changed.notify_all()

    def _forget_removals(self, up_to: int) -> None:
        while self._removals and self._removals[0].version <= up_to:
            removal = self._removals.pop(0)
            if self._objects.get((removal.kind, removal.name)) is removal:
                del self._objects[(removal.kind, removal.name)]
            self._compacted = max(self._compacted, removal.version)

    def _newer(self, after: int, kinds: frozenset[str]) -> list[StoredObject]:
        found = []
        for item in reversed(self._objects.values()):
            if item.version <= after:
                break
            if not kinds or item.kind in kinds:
                found.append(item)
        return found[::-1]
