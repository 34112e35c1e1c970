"""The configuration a process has in force: versions only ever go up.

Pure state: updates come in, a typed view comes out.  Every object carries the revision that
last wrote it, so updates may arrive late, repeated or out of order.

See also: :mod:`martenrun.configuration.replica`, which decides when to take updates in.
"""

from collections import deque
from dataclasses import dataclass, field

from martenrun.configuration.objects import Document, Kind
from martenrun.configuration.objects import parse_document as parse
from martenrun.configuration.view import ConfigurationView
from martenrun.errors import InvalidObjectError
from martenrun.wire.messages import ConfigurationObject, ConfigurationUpdate

MAXIMUM_REMOVALS = 1_000
"""Removals remembered; who asks for changes from before them gets a complete copy."""

_KINDS = frozenset(Kind)


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
    _objects: dict[tuple[str, str], ConfigurationObject] = field(default_factory=dict)
    _removals: deque[ConfigurationObject] = field(default_factory=deque)
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
        for item in reversed(self._objects.values()):
            if item.revision <= revision:
                break
            found.append(item)
        return found[::-1]

    def update_since(self, revision: int) -> ConfigurationUpdate:
        """Return everything newer than ``revision`` for another process."""
        if revision < self.compacted:
            # Known removals go along: one may happen between two pages of the copy.
            known = list(self._objects.values())
            return ConfigurationUpdate(0, self.revision, known, self.nodes, complete=True)
        return ConfigurationUpdate(revision, self.revision, self.newer_than(revision), self.nodes)

    def state_bytes(self) -> int:
        """Return the bytes of names and documents held, without the objects' overhead."""
        return sum(
            len(item.kind) + len(item.name) + len(item.document) for item in self._objects.values()
        )

    def _apply_object(self, item: ConfigurationObject) -> None:
        present = self._objects.get((item.kind, item.name))
        if present is not None and present.revision >= item.revision:
            return
        self._objects.pop((item.kind, item.name), None)
        self._objects[(item.kind, item.name)] = item
        if item.deleted:
            self._remember_removal(item)
        if item.kind in _KINDS:
            self._apply_document(Kind(item.kind), item)

    def _apply_document(self, kind: Kind, item: ConfigurationObject) -> None:
        label = f"{item.kind}/{item.name}"
        self.faults.discard(label)
        if item.deleted:
            self._changes[(kind, item.name)] = None
            return
        try:
            self._changes[(kind, item.name)] = parse(kind, item.document)
        except InvalidObjectError:
            # Written past the administration API; the last good document stays in force.
            self.faults.add(label)

    def _remove_unlisted(self, update: ConfigurationUpdate) -> None:
        listed = {(item.kind, item.name) for item in update.objects}
        present = [key for key, item in self._objects.items() if not item.deleted]
        for kind, name in present:
            if (kind, name) not in listed:
                removal = ConfigurationObject(kind, name, update.to_revision, deleted=True)
                self._apply_object(removal)

    def _remember_removal(self, item: ConfigurationObject) -> None:
        self._removals.append(item)
        while len(self._removals) > MAXIMUM_REMOVALS:
            oldest = self._removals.popleft()
            self.compacted = max(self.compacted, oldest.revision)
            if self._objects.get((oldest.kind, oldest.name)) is oldest:
                del self._objects[(oldest.kind, oldest.name)]

    def revision_of(self, kind: Kind, name: str) -> int:
        """Return the revision that last wrote an object; 0 if it is not known."""
        found = self._objects.get((kind.value, name))
        return 0 if found is None else found.revision
