"""Writes what is known of requests that end runners into the platform's store.

Only who reads the store writes, and only what it lacks: a few routers see each other's writes at
once and have nothing to add then.  Nothing waits for a write.
"""

from collections.abc import Callable

from martenrun.net.http import HttpResponse
from martenrun.net.loop import Loop
from martenrun.router.dataset_replica import DatasetReplica
from martenrun.router.log import log_warning
from martenrun.router.messages import Dataset, HttpCall, StoredObject
from martenrun.router.platform_adapter import PlatformAdapter
from martenrun.router.store_client import HttpClient
from martenrun.router.suspects import Suspects

OBJECT_NAME = "main"

CALL_TIMEOUT_S = 0.7
"""How long a write waits for its answer, in seconds."""

PAUSE_S = 0.3
"""Time between two writes, in seconds: meanwhile the watch tells what the first has changed."""

FAILED_PAUSE_S = 1.0
"""The same after a write without a good answer, in seconds."""

RENEWED_S = 600.0
"""How often ages are written anew, in seconds: time after the last write is lost with all routers.

Beliefs then last at most so much longer for each loss of all.
"""

WRITTEN = (200, 201, 409)
"""Answers after which the object is known: written, or written by another in between."""


class BlameStore:
    """Keeps the stored object as complete as what this router knows.

    Args:
        copy: this router's copy of the stored objects.
        reads_store: whether this router reads the store for others.
    """

    def __init__(
        self,
        loop: Loop,
        store: HttpClient,
        dialect: PlatformAdapter,
        copy: DatasetReplica,
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
        """Write if there is something to be written and no write is under way."""
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
        spec = self._dialect.crash_records_spec(self._suspects.table.records(now))
        if stored is None:
            return self._dialect.create_object(Dataset.CRASH_RECORDS, OBJECT_NAME, spec)
        return self._dialect.replace_object(Dataset.CRASH_RECORDS, stored, spec)

    def _on_written(self, answer: HttpResponse | None) -> None:
        self._is_calling = False
        is_known = answer is not None and answer.status in WRITTEN
        self._not_before = self._loop.now() + (PAUSE_S if is_known else FAILED_PAUSE_S)
        if not is_known:
            status = None if answer is None else answer.status
            log_warning("blame_not_stored", status=status)
