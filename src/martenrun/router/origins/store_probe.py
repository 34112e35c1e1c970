"""Asks the platform's store which software versions a router has not heard of."""

import functools
import math
from collections.abc import Callable

import attrs

from martenrun.net.http import STATUS_OK, HttpResponse
from martenrun.net.loop import Loop
from martenrun.router.messages import Dataset, HttpCall, StorePosition, UnreadableError
from martenrun.router.origins.stored_versions import OBJECT_NAME, STATUS_NOT_FOUND
from martenrun.router.platform_adapter import PlatformAdapter
from martenrun.router.software_history import SoftwareHistory
from martenrun.router.store.client import StoreClient

MIN_CALL_INTERVAL_S = 0.1
"""Minimum interval between two calls of one router to the store, in seconds."""

CALL_TIMEOUT_S = 0.35
"""Time until a response of the store must be complete, in seconds."""

FAILURE_MEMORY_S = 1.0
"""How long after a failure neither readers nor the store are asked again, in seconds."""

OnConfirmed = Callable[[bool], None]
"""Called once with whether all versions listed at the time of the question are known now."""


@attrs.frozen
class ProbedStore:
    """What a probe reads, and how.

    Attributes:
        client: calls the store.
        adapter: encodes the calls and decodes the responses.
        position: returns up to where the list of runners is known, or None.
        is_merging: returns whether the store has just returned from an older copy, which may lack
            what writers will write again.
    """

    client: StoreClient
    adapter: PlatformAdapter
    position: Callable[[], StorePosition | None]
    is_merging: Callable[[], bool]


class StoreProbe:
    """Asks the store which software versions this router has not heard of.

    It reads the entries of runners that have changed since this router's list, and the versions
    that have served lately: one may have joined and left while this router was cut off, so that
    no list shows it.  Questions that arrive during a call wait for the next one, as the call was
    sent before them.
    """

    def __init__(self, loop: Loop, store: ProbedStore, history: SoftwareHistory) -> None:
        self._loop = loop
        self._store = store
        self._history = history
        self._waiting: list[OnConfirmed] = []
        self._is_scheduled = False
        self._next_call_at = 0.0
        self._failed_at = -math.inf

    def run(self, on_confirmed: OnConfirmed) -> None:
        """Confirm the list of runners."""
        if self.has_failed_within(FAILURE_MEMORY_S):
            self._loop.call_later(0.0, lambda: on_confirmed(False))
            return
        self._waiting.append(on_confirmed)
        self._schedule()

    def has_failed_within(self, seconds: float) -> bool:
        """Return whether the last call failed at most this long ago."""
        return self._loop.now() - self._failed_at < seconds

    def _schedule(self) -> None:
        if self._is_scheduled or not self._waiting:
            return
        self._is_scheduled = True
        self._loop.call_later(max(0.0, self._next_call_at - self._loop.now()), self._call)

    def _call(self) -> None:
        waiting, self._waiting = self._waiting, []
        self._next_call_at = self._loop.now() + MIN_CALL_INTERVAL_S
        try:
            self._read_store(waiting)
        except Exception:
            self._finish(waiting, False)
            raise

    def _read_store(self, waiting: list[OnConfirmed]) -> None:
        position = self._store.position()
        if position is None or self._store.is_merging():
            self._finish(waiting, False)
            return
        adapter = self._store.adapter
        unfinished = {Dataset.RUNNERS, Dataset.SOFTWARE_VERSIONS}

        def on_read(dataset: Dataset, is_confirmed: bool) -> None:
            if unfinished and not is_confirmed:
                unfinished.clear()
                self._finish(waiting, False)
            elif dataset in unfinished:
                unfinished.discard(dataset)
                if not unfinished:
                    self._finish(waiting, True)

        self._read(
            adapter.watch_objects(Dataset.RUNNERS, position.revision, 0.0),
            lambda response: self._apply_changes(response, position),
            functools.partial(on_read, Dataset.RUNNERS),
        )
        self._read(
            adapter.read_object(Dataset.SOFTWARE_VERSIONS, OBJECT_NAME),
            self._knows_stored_versions,
            functools.partial(on_read, Dataset.SOFTWARE_VERSIONS),
        )

    def _read(
        self,
        call: HttpCall,
        check: Callable[[HttpResponse], bool],
        on_checked: OnConfirmed,
    ) -> None:
        def on_response(response: HttpResponse | None) -> None:
            is_confirmed = False
            try:
                is_confirmed = response is not None and check(response)
            finally:
                # The questions must not wait forever if the check raises.
                on_checked(is_confirmed)

        self._store.client.call(call, CALL_TIMEOUT_S, on_response, max_response_s=CALL_TIMEOUT_S)

    def _finish(self, waiting: list[OnConfirmed], is_confirmed: bool) -> None:
        self._is_scheduled = False
        self._failed_at = -math.inf if is_confirmed else self._loop.now()
        for on_confirmed in waiting:
            self._loop.call_later(0.0, functools.partial(on_confirmed, is_confirmed))
        self._schedule()

    def _apply_changes(self, response: HttpResponse, position: StorePosition) -> bool:
        """Record versions in changed entries; return whether the response covers all changes."""
        store = self._store
        if response.status != STATUS_OK or store.client.era != position.era:
            return False
        try:
            changes = store.adapter.read_changes(response.body, store.client.era)
        except UnreadableError:
            return False
        for event in changes.events:
            try:
                runner = store.adapter.read_runner(event.stored)
            except UnreadableError:
                # No router uses a runner whose entry cannot be read.
                continue
            self._history.record_version(runner.service, runner.software_id, self._loop.now())
        return True

    def _knows_stored_versions(self, response: HttpResponse) -> bool:
        """Return whether all versions that the store names are known.

        They are not recorded: reading the object again must not prolong them.
        """
        if response.status == STATUS_NOT_FOUND:
            return True
        store = self._store
        try:
            stored = store.adapter.read_stored(response.body, store.client.era)
            versions = store.adapter.read_software_versions(stored)
        except UnreadableError:
            return False
        return all(
            set(names).issubset(self._history.versions(service))
            for service, names in versions.items()
        )
