"""Software versions in the platform's store, for routers that all start at once.

A router that has just started sees the versions of the runners listed now, but not those that have
left lately and whose streams may be resumed.  Routers that are running tell it; if all stopped at
once, only the store can.  One of the store readers keeps an object there with the versions of each
service that have served lately.  It is written when they change: twice for each new version.
"""

import random
from collections.abc import Callable, Mapping

import attrs

from martenrun.net.http import STATUS_OK, HttpResponse
from martenrun.net.loop import Loop
from martenrun.router.log import log_event, log_warning
from martenrun.router.messages import Dataset, HttpCall, StoredObject
from martenrun.router.platform_adapter import PlatformAdapter
from martenrun.router.software_history import RETENTION_S, SoftwareHistory
from martenrun.router.store.client import StoreClient
from martenrun.router.store.state import decode_or_log

OBJECT_NAME = "main"

CALL_TIMEOUT_S = 0.7
"""Timeout of a call to the store, in seconds."""

FIRST_PAUSE_S = 0.5
LONGEST_PAUSE_S = 4.0
"""Pauses between calls that did not succeed, in seconds; they double, with a jitter."""

CREATION_LIMIT_S = 5.0
"""How long other objects wait for the creation of this one, in seconds."""

STATUS_CREATED = 201
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409

ServiceVersions = Mapping[str, tuple[str, ...]]
"""For each service the sorted software versions that have served lately."""


@attrs.frozen
class StoredVersions:
    """The object as last read or written; ``stored`` is None if there is none."""

    stored: StoredObject | None
    versions: ServiceVersions


@attrs.frozen
class FleetView:
    """What is known of the other routers.

    Attributes:
        is_writer: returns whether this router is the one that writes.
        is_first: returns whether no router has used the store before; None if that is unknown.
        has_informed_peer: returns whether a live router knows which versions served lately.
    """

    is_writer: Callable[[], bool]
    is_first: Callable[[], bool | None]
    has_informed_peer: Callable[[], bool]


class VersionStore:
    """Reads the stored versions at the start of a router, and keeps them current as their writer.

    Args:
        history: the versions that this router knows.

    Attributes:
        knows_past: whether this router knows all versions that served in the last RETENTION_S.
        is_informed: whether it knows them by itself, not only from another router.
    """

    def __init__(
        self,
        loop: Loop,
        store: StoreClient,
        adapter: PlatformAdapter,
        history: SoftwareHistory,
        fleet: FleetView,
        rng: random.Random | None = None,
    ) -> None:
        self._loop = loop
        self._store = store
        self._adapter = adapter
        self._history = history
        self._fleet = fleet
        self._rng = rng or random.Random()
        self._began_at = loop.now()
        self._known: StoredVersions | None = None
        self._was_writer = False
        self._is_calling = False
        self._not_before = 0.0
        self._pause_s = FIRST_PAUSE_S
        self.is_informed = False
        self.knows_past = False

    @property
    def is_pending(self) -> bool:
        """Whether this router is about to create the object in a new deployment."""
        known = self._known
        is_late = self._loop.now() - self._began_at > CREATION_LIMIT_S
        return (
            bool(self._fleet.is_first()) and not is_late and (known is None or not known.versions)
        )

    def begin_era(self, _before: int) -> None:
        """Read the object again before the next write: the store returned from an older copy."""
        self._known = None

    def run_maintenance(self) -> None:
        """Read the object if the past is unknown; as the writer, keep it current."""
        now = self._loop.now()
        if not self.is_informed and now - self._began_at > RETENTION_S:
            self._become_informed("observed")
        if not self.knows_past and self._fleet.has_informed_peer():
            self.knows_past = True
        if self._is_calling or now < self._not_before:
            return
        had_been_writer, self._was_writer = self._was_writer, self._fleet.is_writer()
        if self._was_writer and not had_been_writer:
            # Another router may have changed the object since this one read it.
            self._known = None
        if not self.is_informed or (self._was_writer and self._known is None):
            self._read()
        elif self._was_writer and self._known is not None:
            self._write_changes(self._known)

    def _become_informed(self, source: str) -> None:
        if not self.is_informed:
            log_event("software_history_known", source=source)
        self.is_informed = self.knows_past = True

    def _write_changes(self, known: StoredVersions) -> None:
        target = self._history.all_versions()
        if target == known.versions:
            return
        spec = self._adapter.software_versions_spec(target)
        if known.stored is None:
            call = self._adapter.create_object(Dataset.SOFTWARE_VERSIONS, OBJECT_NAME, spec)
        else:
            call = self._adapter.replace_object(Dataset.SOFTWARE_VERSIONS, known.stored, spec)
        self._call(call)

    def _read(self) -> None:
        self._call(self._adapter.read_object(Dataset.SOFTWARE_VERSIONS, OBJECT_NAME))

    def _call(self, call: HttpCall) -> None:
        self._is_calling = True
        self._store.call(call, CALL_TIMEOUT_S, self._on_response)

    def _on_response(self, response: HttpResponse | None) -> None:
        self._is_calling = False
        pause_s = self._pause_s
        self._not_before = self._loop.now() + pause_s * self._rng.uniform(0.5, 1.0)
        self._pause_s = min(LONGEST_PAUSE_S, 2 * pause_s)
        if self._handle_response(response):
            self._not_before = 0.0
            self._pause_s = FIRST_PAUSE_S

    def _handle_response(self, response: HttpResponse | None) -> bool:
        """Apply a response; return False if the next call has to wait."""
        status = None if response is None else response.status
        if response is not None and status in (STATUS_OK, STATUS_CREATED, STATUS_CONFLICT):
            return self._apply(response)
        if status == STATUS_NOT_FOUND:
            return self._apply_missing()
        # A write may have succeeded, or the object may be deleted: it is read again.
        self._known = None
        log_warning("software_versions_not_stored", status=status)
        return False

    def _apply(self, response: HttpResponse) -> bool:
        read_stored = self._adapter.read_stored
        stored = decode_or_log(response.body, lambda data: read_stored(data, self._store.era))
        if stored is None:
            return False
        versions = decode_or_log(stored, self._adapter.read_software_versions)
        if versions is None:
            # What it listed is unknown; it is replaced once this router knows the past by itself.
            self._known = StoredVersions(stored, {})
            return False
        self._known = StoredVersions(stored, versions)
        for service, names in versions.items():
            for name in set(names).difference(self._history.versions(service)):
                self._history.record_version(service, name, self._loop.now())
        self._become_informed("store")
        return True

    def _apply_missing(self) -> bool:
        """Handle that there is no object: in a new deployment no other version has served."""
        self._known = StoredVersions(None, {})
        if self._fleet.is_first():
            self._become_informed("first router")
        return self.is_informed
