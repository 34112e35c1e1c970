"""The configuration a process has in force: versions only ever go up.

Pure state: updates come in, a typed view comes out.  Every object carries the revision that
last wrote it, so updates may arrive late, repeated or out of order.

See also: :mod:`martenrun.configuration.replica`, which decides when to take updates in.
"""

import sys
from collections import deque
from dataclasses import dataclass, field
from typing import cast

import msgspec

from martenrun.configuration.objects import Document, Kind
from martenrun.configuration.objects import parse_document as parse
from martenrun.configuration.view import ConfigurationView
from martenrun.errors import InvalidObjectError
from martenrun.wire.messages import ConfigurationObject, ConfigurationUpdate

MAXIMUM_REMOVALS = 1_000
"""Removals remembered; who asks for changes from before them gets a complete copy."""

_KINDS = {kind.value: kind for kind in Kind}

ObjectKey = tuple[str, str]
"""Kind and name; one tuple serves as the key of the object and of its document in the view."""


class HeldObject(msgspec.Struct, frozen=True, gc=False):
    """What is held of an object beside its key; a document of None means that it was removed.

    A process holds thousands of objects, and a message's dataclass takes twice the memory.
    """

    revision: int
    document: bytes | None


def object_key(kind: str, name: str) -> ObjectKey:
    """Return an object's key, whose kind is the same text in all keys."""
    return _KINDS.get(kind) or sys.intern(kind), name


@dataclass
class ConfigurationState:
    """Objects in force by kind and name, latest removals included, and the revision reached.

    ``view`` is replaced, never changed, so other threads may read it.  Removals up to
    ``compacted`` may be unknown here: they were forgotten, or came before a complete copy.
    ``faults`` names the objects whose newest document does not fit its schema; their last good
    document stays in force.
    """

    revision: int = 0
    nodes: list[str] = field(default_factory=list)
    view: ConfigurationView = field(default_factory=ConfigurationView)
    compacted: int = 0
    faults: set[str] = field(default_factory=set)
    # Ordered by revision: a changed object moves to the end.
    _objects: dict[ObjectKey, HeldObject] = field(default_factory=dict)
    _removals: deque[tuple[ObjectKey, HeldObject]] = field(default_factory=deque)
    _changes: dict[tuple[Kind, str], Document | None] = field(default_factory=dict)

    def leaves_gap(self, update: ConfigurationUpdate) -> bool:
        """Whether changes are missing between the revision reached and an update."""
        return not update.complete and update.from_revision > self.revision

    def apply(self, update: ConfigurationUpdate) -> bool:
        """Take in an update; returns whether the revision advanced.

        An update that would leave a gap is not applied.  A complete copy that is newer than
        the revision reached also removes what it does not list.
        """
        if update.nodes:
            self.nodes = list(update.nodes)
        if self.leaves_gap(update) or update.to_revision <= self.revision:
            return False
        for item in sorted(update.objects, key=lambda item: item.revision):
            self._apply_object(item)
        if update.complete:
            self._remove_unlisted(update)
            # Which objects were removed before the copy, it does not tell.
            self.compacted = max(self.compacted, update.to_revision)
        self.revision = update.to_revision
        self.view = self.view.changed(self.revision, self._changes)
        self._changes = {}
        return True

    def newer_than(self, revision: int) -> list[ConfigurationObject]:
        """Return objects and known removals newer than a revision, oldest first."""
        found = []
        for key, held in reversed(self._objects.items()):
            if held.revision <= revision:
                break
            found.append(_as_message(key, held))
        return found[::-1]

    def update_since(self, revision: int) -> ConfigurationUpdate:
        """Return everything newer than ``revision`` for another process."""
        if revision < self.compacted:
            # Known removals go along: one may happen between two pages of the copy.
            known = [_as_message(key, held) for key, held in self._objects.items()]
            return ConfigurationUpdate(0, self.revision, known, self.nodes, complete=True)
        return ConfigurationUpdate(revision, self.revision, self.newer_than(revision), self.nodes)

    def state_bytes(self) -> int:
        """Return the bytes of names and documents held, without the objects' overhead."""
        return sum(
            len(kind) + len(name) + len(held.document or b"")
            for (kind, name), held in self._objects.items()
        )

    def _apply_object(self, item: ConfigurationObject) -> None:
        key = object_key(item.kind, item.name)
        present = self._objects.get(key)
        if present is not None and present.revision >= item.revision:
            return
        self._objects.pop(key, None)
        held = HeldObject(item.revision, None if item.deleted else item.document)
        self._objects[key] = held
        if held.document is None:
            self._remember_removal(key, held)
        if isinstance(key[0], Kind):
            self._apply_document(cast(tuple[Kind, str], key), held.document)

    def _apply_document(self, key: tuple[Kind, str], data: bytes | None) -> None:
        kind, name = key
        label = f"{kind}/{name}"
        self.faults.discard(label)
        if data is None:
            self._changes[key] = None
            return
        try:
            self._changes[key] = parse(kind, data)
        except InvalidObjectError:
            # Written past the administration API; the last good document stays in force.
            self.faults.add(label)

    def _remove_unlisted(self, update: ConfigurationUpdate) -> None:
        listed = {(item.kind, item.name) for item in update.objects}
        present = [key for key, held in self._objects.items() if held.document is not None]
        for kind, name in present:
            if (kind, name) not in listed:
                removal = ConfigurationObject(kind, name, update.to_revision, deleted=True)
                self._apply_object(removal)

    def _remember_removal(self, key: ObjectKey, held: HeldObject) -> None:
        self._removals.append((key, held))
        while len(self._removals) > MAXIMUM_REMOVALS:
            oldest_key, oldest = self._removals.popleft()
            self.compacted = max(self.compacted, oldest.revision)
            if self._objects.get(oldest_key) is oldest:
                del self._objects[oldest_key]

    def revision_of(self, kind: Kind, name: str) -> int:
        """Return the revision that last wrote an object; 0 if it is not known."""
        found = self._objects.get((kind.value, name))
        return 0 if found is None else found.revision


def _as_message(key: ObjectKey, held: HeldObject) -> ConfigurationObject:
    kind, name = key
    document = held.document
    return ConfigurationObject(str(kind), name, held.revision, document is None, document or b"")
