"""Writes the crash records of requests to the platform's store.

Only store readers write, and only records that the store lacks.  There are few of them and each
sees the others' writes at once, so duplicate writes are rare.  No request waits for a write.
"""

from collections.abc import Callable

from martenrun.net.http import HttpResponse
from martenrun.net.loop import Loop
from martenrun.router.crashes.tracker import CrashTracker
from martenrun.router.log import log_warning
from martenrun.router.messages import Dataset, HttpCall, StoredObject, StorePosition
from martenrun.router.platform_adapter import PlatformAdapter
from martenrun.router.store.client import StoreClient
from martenrun.router.store.replica import DatasetReplica

OBJECT_NAME = "main"

WRITE_TIMEOUT_S = 0.7
"""Timeout of a write, in seconds."""

WRITE_INTERVAL_S = 0.3
"""Delay after a successful write, in seconds, in which the watch delivers the change."""

RETRY_INTERVAL_S = 1.0
"""Delay after a failed write, in seconds."""

REFRESH_INTERVAL_S = 600.0
"""How often the ages of stored records are refreshed, in seconds.

If all routers stop, the time since the last write is missing from the ages.  Blocks last longer by
at most this interval each time that happens.
"""

WRITTEN_STATUSES = (200, 201, 409)
"""Statuses after which the object is known to exist; 409 means that another router wrote it."""


class CrashRecordWriter:
    """Keeps the stored object as complete as this router's crash records.

    Args:
        replica: this router's replica of the stored objects.
        reads_store: returns whether this router is a store reader.
    """

    def __init__(
        self,
        loop: Loop,
        store: StoreClient,
        adapter: PlatformAdapter,
        replica: DatasetReplica,
        tracker: CrashTracker,
        reads_store: Callable[[], bool],
    ) -> None:
        self._loop = loop
        self._store = store
        self._adapter = adapter
        self._replica = replica
        self._tracker = tracker
        self._reads_store = reads_store
        self._not_before = 0.0
        self._seen_position: tuple[StorePosition, float] = (StorePosition(0, 0), 0.0)
        self._is_calling = False

    def write_if_due(self) -> None:
        """Write if records are missing from the store and no write is in progress."""
        now = self._loop.now()
        if self._is_calling or now < self._not_before or not self._reads_store():
            return
        stored = self._stored()
        if stored is None and self._tracker.stored_records:
            self._tracker.merge_stored([])
        if not self._tracker.missing_from_store() and not self._needs_refresh(stored, now):
            return
        call = self._write_call(stored, now)
        self._is_calling = True
        self._store.call(call, WRITE_TIMEOUT_S, self._on_written)

    def _stored(self) -> StoredObject | None:
        """Return the object as the store has it, not as it had it before it lost changes."""
        position = self._replica.position
        for item in self._replica.objects:
            if item.name == OBJECT_NAME and position is not None and item.era == position.era:
                return item
        return None

    def _needs_refresh(self, stored: StoredObject | None, now: float) -> bool:
        if stored is None or not len(self._tracker.table):
            return False
        position, seen_at = self._seen_position
        if stored.position != position:
            self._seen_position = (stored.position, now)
            return False
        return now - seen_at > REFRESH_INTERVAL_S

    def _write_call(self, stored: StoredObject | None, now: float) -> HttpCall:
        spec = self._adapter.crash_records_spec(self._tracker.records_to_store(now))
        if stored is None:
            return self._adapter.create_object(Dataset.CRASH_RECORDS, OBJECT_NAME, spec)
        return self._adapter.replace_object(Dataset.CRASH_RECORDS, stored, spec)

    def _on_written(self, response: HttpResponse | None) -> None:
        self._is_calling = False
        is_written = response is not None and response.status in WRITTEN_STATUSES
        self._not_before = self._loop.now() + (WRITE_INTERVAL_S if is_written else RETRY_INTERVAL_S)
        if not is_written:
            status = None if response is None else response.status
            log_warning("blame_not_stored", status=status)
