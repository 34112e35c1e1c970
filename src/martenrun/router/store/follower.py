"""Follows one dataset of the platform's store: a list, then watches; relists after a loss."""

import random
from collections.abc import Callable

import attrs

from martenrun.net.http import STATUS_OK, HttpResponse
from martenrun.net.loop import Loop
from martenrun.net.periodic import call_safely
from martenrun.router.log import log_event, log_warning
from martenrun.router.messages import (
    StoreChanges,
    StoredObject,
    StorePage,
    StorePosition,
    UnreadableError,
)
from martenrun.router.platform_adapter import PlatformAdapter
from martenrun.router.store.client import StoreClient
from martenrun.router.store.replica import DatasetReplica

RESPONSE_TIMEOUT_S = 0.9
"""Timeout for the start of a response beyond the requested wait of a watch, in seconds."""

FIRST_PAUSE_S = 0.08
LONGEST_PAUSE_S = 0.6
"""Pauses between failed calls, in seconds; they double, with a jitter of half to all of each."""

OVERDUE_MARGIN_S = 0.3
"""Delay beyond the usual one after which the store counts as lost, in seconds."""

DELAY_WEIGHT = 0.3
"""Weight of the latest delay in the moving average of response delays."""

OUTAGE_MEMORY_S = 2.0
"""How long after an outage the store may miss objects that were not deleted, in seconds."""

HTTP_GONE = 410


@attrs.frozen
class FollowSettings:
    """Settings for following one dataset.

    Attributes:
        wait_s: how long one watch waits for changes.
        rest_s: how long the next watch is delayed after changes, to batch those that follow.
    """

    wait_s: float
    rest_s: float = 0.0


class StoreFollower:
    """Keeps a replica of one dataset current from the store while running.

    Args:
        on_applied: called after each response that was applied completely.
    """

    def __init__(
        self,
        loop: Loop,
        store: StoreClient,
        adapter: PlatformAdapter,
        cfg: FollowSettings,
        replica: DatasetReplica,
        on_applied: Callable[[], None],
    ) -> None:
        self._loop = loop
        self._store = store
        self._adapter = adapter
        self._cfg = cfg
        self._replica = replica
        self._on_applied = on_applied
        self._listed: list[StoredObject] = []
        self._list_position: StorePosition | None = None
        self._gone_pause_s = 0.0
        self._pause_s = FIRST_PAUSE_S
        self._failures = 0
        self._returned_at: float | None = None
        self._generation = 0
        self._due_at: float | None = None
        self._delay_s = 0.0
        self.is_running = False
        self.is_current = False
        replica.eras.on_changed.append(self._restart_in_era)

    @property
    def is_failing(self) -> bool:
        """Whether the latest calls failed."""
        return self.is_running and self._failures > 1

    def is_overdue(self, now: float) -> bool:
        """Return whether a response is later than the usual delay allows."""
        if not self.is_running or self._due_at is None:
            return False
        return now > self._due_at + OVERDUE_MARGIN_S + 2 * self._delay_s

    def start(self) -> None:
        """Start with a list, or with a watch if the replica already has state."""
        if self.is_running:
            return
        self.is_running = True
        self._generation += 1
        if self._replica.is_loaded:
            self._advance(self._watch)
        else:
            self._advance(lambda: self._list(None, self._loop.now()))

    def stop(self) -> None:
        """Stop; responses to pending calls are ignored."""
        self.is_running = False
        self.is_current = False
        self._generation += 1
        self._failures = 0

    def _restart_in_era(self, _before: int) -> None:
        """Read a list at once after the store returned from a copy; pending calls are ignored."""
        if self.is_running and self._replica.position is not None:
            self._generation += 1
            self._advance(lambda: self._list(None, self._loop.now()))

    def _while_running(
        self, due_at: float, call: Callable[[HttpResponse | None], None]
    ) -> tuple[Callable[[HttpResponse | None], None], Callable[[], None]]:
        """Return wrappers for a response and for its parts, inactive after the follower stopped.

        From the first part on, the response is overdue only if its next part is.  ``due_at`` is the
        time at which a response without delay would start.
        """
        generation = self._generation
        self._due_at = due_at
        has_begun = False

        def begin() -> None:
            nonlocal has_begun
            if not has_begun:
                has_begun = True
                delay_s = max(0.0, self._loop.now() - due_at)
                self._delay_s += DELAY_WEIGHT * (delay_s - self._delay_s)

        def handle_part() -> None:
            if self.is_running and generation == self._generation:
                begin()
                self._due_at = self._loop.now()

        def handle_response(response: HttpResponse | None) -> None:
            if self.is_running and generation == self._generation:
                begin()
                self._due_at = None
                self._advance(lambda: call(response))

        return handle_response, handle_part

    def _advance(self, step: Callable[[], None]) -> None:
        """Take a step that makes the next call; if it raises, go on with a list after a pause."""
        if not call_safely("store_follower", step) and self.is_running:
            # A call that was made before the exception must not go on beside the list.
            self._generation += 1
            self._fail(None, lambda: self._list(None, self._loop.now()))

    def _list(self, after: str | None, began_at: float) -> None:
        if not self.is_running:
            return
        if after is None:
            self._listed = []
            self._list_position = None
        call = self._adapter.list_objects(self._replica.dataset, after)
        on_page, on_part = self._while_running(
            self._loop.now(), lambda response: self._on_page(response, began_at)
        )
        self._store.call(call, RESPONSE_TIMEOUT_S, on_page, on_part)

    def _on_page(self, response: HttpResponse | None, began_at: float) -> None:
        if response is None or response.status != STATUS_OK:
            self._fail(response, lambda: self._list(None, self._loop.now()))
            return
        try:
            page = self._adapter.read_page(response.body, self._store.era)
        except UnreadableError as exc:
            self._fail_unreadable(response, exc)
            return
        self._log_faults(page)
        self._replica.eras.record_position(page.position)
        if self._list_position is None:
            # Later pages may include changes that the watch repeats, which is harmless.
            self._list_position = page.position
        if self._list_position.era != page.position.era:
            self._list(None, self._loop.now())
            return
        self._listed += page.objects
        if page.next_after is not None:
            self._list(page.next_after, began_at)
            return
        self._apply_list(self._list_position, began_at)

    def _apply_list(self, position: StorePosition, began_at: float) -> None:
        is_after_outage = self._failures > 0 or self._is_after_outage()
        listed, self._listed = self._listed, []
        if not self._replica.replace(listed, position, is_after_outage, self._loop.now()):
            known = self._replica.position
            log_warning(
                "list_not_applied",
                dataset=self._replica.dataset.value,
                era=position.era,
                revision=position.revision,
                known=None if known is None else known.revision,
            )
            self._fail(None, lambda: self._list(None, self._loop.now()))
            return
        self._succeed()
        self._finish_response(began_at)

    def _watch(self) -> None:
        position = self._replica.position
        if not self.is_running or position is None:
            return
        if position.era != self._store.era:
            self._list(None, self._loop.now())
            return
        sent_at = self._loop.now()
        # After a failure the store is asked to respond at once, to detect its return quickly.
        wait_s = 0.0 if self._failures or not self.is_current else self._cfg.wait_s
        call = self._adapter.watch_objects(self._replica.dataset, position.revision, wait_s)
        on_changes, on_part = self._while_running(
            sent_at + wait_s, lambda response: self._on_changes(response, sent_at)
        )
        self._store.call(call, wait_s + RESPONSE_TIMEOUT_S, on_changes, on_part)

    def _on_changes(self, response: HttpResponse | None, sent_at: float) -> None:
        if response is not None and response.status == HTTP_GONE:
            log_event("history_gone", dataset=self._replica.dataset.value)
            # A list is enough once; a store that goes on to respond so is read with pauses.
            self._call_after(self._gone_pause_s, lambda: self._list(None, self._loop.now()))
            self._gone_pause_s = min(LONGEST_PAUSE_S, max(FIRST_PAUSE_S, 2 * self._gone_pause_s))
            return
        if response is None or response.status != STATUS_OK:
            self._fail(response, self._watch)
            return
        try:
            changes = self._adapter.read_changes(response.body, self._store.era)
        except UnreadableError as exc:
            self._fail_unreadable(response, exc)
            return
        self._gone_pause_s = 0.0
        self._succeed()
        self._log_faults(changes)
        is_after_outage = self._is_after_outage()
        for event in changes.events:
            changed = [] if event.is_deleted else [event.stored]
            deleted = [event.stored.name] if event.is_deleted else []
            self._replica.apply(
                changed, deleted, changes.position, is_after_outage, self._loop.now()
            )
        self._replica.position = max(self._replica.position or changes.position, changes.position)
        self._finish_response(sent_at, self._cfg.rest_s if changes.events else 0.0)

    def _finish_response(self, sent_at: float, rest_s: float = 0.0) -> None:
        self.is_current = True
        self._replica.confirm(sent_at)
        call_safely("state_applied", self._on_applied)
        if rest_s:
            self._call_after(rest_s, self._watch)
        else:
            self._watch()

    def _fail(self, response: HttpResponse | None, retry: Callable[[], None]) -> None:
        self._failures += 1
        self.is_current = self._failures <= 1
        if self._failures == 1:
            status = None if response is None else response.status
            log_warning("store_lost", dataset=self._replica.dataset.value, status=status)
        pause_s = self._pause_s * random.uniform(0.5, 1.0)
        self._pause_s = min(LONGEST_PAUSE_S, self._pause_s * 2)
        self._call_after(pause_s, retry)

    def _fail_unreadable(self, response: HttpResponse, exc: UnreadableError) -> None:
        """Restart from a complete list, since the changes in the response are unknown."""
        log_warning("answer_unreadable", dataset=self._replica.dataset.value, fault=str(exc)[:100])
        self._fail(response, lambda: self._list(None, self._loop.now()))

    def _log_faults(self, read: StorePage | StoreChanges) -> None:
        dataset = self._replica.dataset.value
        if read.is_repaired:
            log_warning("answer_repaired", dataset=dataset, revision=read.position.revision)
        if read.unreadable:
            log_warning("objects_left_out", dataset=dataset, count=read.unreadable)

    def _call_after(self, pause_s: float, retry: Callable[[], None]) -> None:
        """Make the next call after a pause, unless the follower is stopped before."""
        generation = self._generation

        def run_retry() -> None:
            if generation == self._generation:
                self._advance(retry)

        self._loop.call_later(pause_s, run_retry)

    def _succeed(self) -> None:
        if self._failures:
            log_warning(
                "store_regained", dataset=self._replica.dataset.value, failures=self._failures
            )
            self._failures = 0
            self._returned_at = self._loop.now()
        self._pause_s = FIRST_PAUSE_S

    def _is_after_outage(self) -> bool:
        """Return whether the store has just returned, so that objects may be missing briefly."""
        if self._returned_at is None:
            return False
        return self._loop.now() - self._returned_at < OUTAGE_MEMORY_S
