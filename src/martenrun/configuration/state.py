"""The configuration a process has in force: versions only ever go up.

Pure state: updates come in, a typed view comes out.  Every object carries the revision that
last wrote it, so updates may arrive late, repeated or out of order.
"""

from dataclasses import dataclass, field

from martenrun.configuration.objects import Document, Kind
from martenrun.configuration.objects import parse_document as parse
from martenrun.configuration.view import ConfigurationView
from martenrun.errors import InvalidObjectError
from martenrun.wire.messages import ConfigurationObject, ConfigurationUpdate

_KINDS = frozenset(Kind)


@dataclass
class ConfigurationState:
    """Objects in force by kind and name, removals included, and the revision reached.

    ``view`` is replaced, never changed, so other threads may read it.
    """

    revision: int = 0
    nodes: list[str] = field(default_factory=list)
    view: ConfigurationView = field(default_factory=ConfigurationView)
    _objects: dict[tuple[str, str], ConfigurationObject] = field(default_factory=dict)
    _documents: dict[tuple[Kind, str], Document] = field(default_factory=dict)

    def apply(self, update: ConfigurationUpdate) -> bool:
        """Take in an update; returns whether the revision advanced.

        An update that starts after our revision would leave a gap and is not applied.
        """
        if update.nodes:
            self.nodes = list(update.nodes)
        if update.from_revision > self.revision or update.to_revision <= self.revision:
            return False
        for item in update.objects:
            self._apply_object(item)
        self.revision = update.to_revision
        self.view = ConfigurationView.build(self.revision, self._documents)
        return True

    def _apply_object(self, item: ConfigurationObject) -> None:
        present = self._objects.get((item.kind, item.name))
        if present is not None and present.revision >= item.revision:
            return
        self._objects[(item.kind, item.name)] = item
        if item.kind not in _KINDS:
            return
        key = (Kind(item.kind), item.name)
        if item.deleted:
            self._documents.pop(key, None)
            return
        try:
            self._documents[key] = parse(key[0], item.document)
        except InvalidObjectError:
            # Written past the administration API; the last good document stays in force.
            return

    def update_since(self, revision: int) -> ConfigurationUpdate:
        """Return everything newer than ``revision`` for another process."""
        newer = [item for item in self._objects.values() if item.revision > revision]
        newer.sort(key=lambda item: item.revision)
        return ConfigurationUpdate(revision, max(self.revision, revision), newer, self.nodes)

    def revision_of(self, kind: Kind, name: str) -> int:
        """Return the revision that last wrote an object; 0 if it is not known."""
        found = self._objects.get((kind.value, name))
        return 0 if found is None else found.revision
