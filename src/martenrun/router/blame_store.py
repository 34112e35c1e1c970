"""Writes the crash records of requests to the platform's store.

Only store readers write, and only records that the store lacks.  There are few of them and each
sees the others' writes at once, so duplicate writes are rare.  No request waits for a write.
"""

from collections.abc import Callable

from martenrun.net.http import HttpAnswer
from martenrun.net.loop import Loop
from martenrun.router.dataset_copy import DatasetCopy
from martenrun.router.dialect import Dialect
from martenrun.router.log import log_trouble
from martenrun.router.messages import Dataset, HttpCall, StoredObject
from martenrun.router.store_client import HttpCaller
from martenrun.router.suspects import Suspects

OBJECT_NAME = "main"

CALL_TIMEOUT_S = 0.7
"""Timeout of a write, in seconds."""

PAUSE_S = 0.3
"""Delay after a successful write, in seconds, in which the watch delivers the change."""

FAILED_PAUSE_S = 1.0
"""Delay after a failed write, in seconds."""

RENEWED_S = 600.0
"""How often the ages of stored records are refreshed, in seconds.

If all routers stop, the time since the last write is missing from the ages.  Blocks last longer by
at most this interval each time that happens.
"""

WRITTEN = (200, 201, 409)
"""Statuses after which the object is known to exist; 409 means that another router wrote it."""


class BlameStore:
    """Keeps the stored object as complete as this router's crash records.

    Args:
        replica: this router's replica of the stored objects.
        reads_store: returns whether this router is a store reader.
    """

    def __init__(
        self,
        loop: Loop,
        store: HttpCaller,
        dialect: Dialect,
        copy: DatasetCopy,
        suspects: Suspects,
        reads_store: Callable[[], bool],
    ) -> None:
        self._loop = loop
        self._store = store
        self._dialect = dialect
        self._copy = copy
        self._suspects = suspects
        self._reads_store = reads_store
        self._not_before = 0.0
        self._seen: tuple[int, float] = (0, 0.0)
        self._is_calling = False

    def check(self) -> None:
        """Write if records are missing from the store and no write is in progress."""
        now = self._loop.now()
        if self._is_calling or now < self._not_before or not self._reads_store():
            return
        stored = next((item for item in self._copy.objects if item.name == OBJECT_NAME), None)
        if not self._suspects.lacking_in_store() and not self._is_old(stored, now):
            return
        self._is_calling = True
        self._store.call(self._write_call(stored, now), CALL_TIMEOUT_S, self._on_written)

    def _is_old(self, stored: StoredObject | None, now: float) -> bool:
        if stored is None or not len(self._suspects.table):
            return False
        revision, seen_at = self._seen
        if stored.revision != revision:
            self._seen = (stored.revision, now)
            return False
        return now - seen_at > RENEWED_S

    def _write_call(self, stored: StoredObject | None, now: float) -> HttpCall:
        spec = self._dialect.blame_spec(self._suspects.table.records(now))
        if stored is None:
            return self._dialect.create_object(Dataset.BLAME, OBJECT_NAME, spec)
        return self._dialect.replace_object(Dataset.BLAME, stored, spec)

    def _on_written(self, answer: HttpAnswer | None) -> None:
        self._is_calling = False
        is_known = answer is not None and answer.status in WRITTEN
        self._not_before = self._loop.now() + (PAUSE_S if is_known else FAILED_PAUSE_S)
        if not is_known:
            status = None if answer is None else answer.status
            log_trouble("blame_not_stored", status=status)
