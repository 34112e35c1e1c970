"""Following one dataset of the platform's store: a list, then watches, again after any loss."""

import random
from collections.abc import Callable

import attrs

from martenrun.net.http import HttpAnswer
from martenrun.net.loop import Loop
from martenrun.router.dialect import Dialect
from martenrun.router.log import log_event, log_trouble
from martenrun.router.messages import Dataset, StoredObject, StoreEvent
from martenrun.router.store_client import HttpCaller

ANSWER_TIMEOUT_S = 0.9
"""How long an answer may take beyond the time that a watch asks for, in seconds."""

FIRST_PAUSE_S = 0.08
LONGEST_PAUSE_S = 0.6
"""Pauses between failed calls; they double, and each is drawn from half of it to all."""

HTTP_OK = 200
HTTP_GONE = 410


@attrs.frozen
class FollowSettings:
    """How one dataset is followed.

    Attributes:
        dataset: what is followed.
        wait_s: how long one watch waits for changes, in seconds.
    """

    dataset: Dataset
    wait_s: float


@attrs.frozen
class FollowListener:
    """What is told of a followed dataset.

    Attributes:
        on_list: all objects; after an outage, the second argument is True.
        on_event: one change; the second argument as above.
        on_confirmed: the sending time of a read that is now taken in whole.
    """

    on_list: Callable[[list[StoredObject], bool], None]
    on_event: Callable[[StoreEvent, bool], None]
    on_confirmed: Callable[[float], None]


class StoreFollower:
    """Keeps one dataset current."""

    def __init__(
        self,
        loop: Loop,
        store: HttpCaller,
        dialect: Dialect,
        cfg: FollowSettings,
        listener: FollowListener,
    ) -> None:
        self._loop = loop
        self._store = store
        self._dialect = dialect
        self._cfg = cfg
        self._listener = listener
        self._revision: int | None = None
        self._listed: list[StoredObject] = []
        self._list_revision: int | None = None
        self._pause_s = FIRST_PAUSE_S
        self._failures = 0
        self._returned_at: float | None = None
        self.is_stopped = False

    @property
    def is_failing(self) -> bool:
        """Whether the last call had no good answer."""
        return self._failures > 0

    def start(self) -> None:
        """Begin with a list."""
        self._list(None, self._loop.now())

    def _list(self, after: str | None, began_at: float) -> None:
        if self.is_stopped:
            return
        if after is None:
            self._listed = []
            self._list_revision = None
        call = self._dialect.list_objects(self._cfg.dataset, after)
        self._store.call(call, ANSWER_TIMEOUT_S, lambda answer: self._on_page(answer, began_at))

    def _on_page(self, answer: HttpAnswer | None, began_at: float) -> None:
        if answer is None or answer.status != HTTP_OK:
            self._fail(answer, lambda: self._list(None, self._loop.now()))
            return
        page = self._dialect.read_page(answer.body)
        self._listed += page.objects
        if self._list_revision is None:
            # Later pages may already hold what the watch will tell again; that does no harm.
            self._list_revision = page.revision
        if page.next_after is not None:
            self._list(page.next_after, began_at)
            return
        self._succeed()
        self._revision = self._list_revision
        self._listener.on_list(self._listed, self._is_after_outage())
        self._listed = []
        self._listener.on_confirmed(began_at)
        self._watch()

    def _watch(self) -> None:
        if self.is_stopped or self._revision is None:
            return
        sent_at = self._loop.now()
        # After a failure the store is asked for a quick answer, so that its return is seen at once.
        wait_s = 0.0 if self._failures else self._cfg.wait_s
        call = self._dialect.watch_objects(self._cfg.dataset, self._revision, wait_s)
        timeout_s = wait_s + ANSWER_TIMEOUT_S
        self._store.call(call, timeout_s, lambda answer: self._on_changes(answer, sent_at))

    def _on_changes(self, answer: HttpAnswer | None, sent_at: float) -> None:
        if answer is not None and answer.status == HTTP_GONE:
            log_event("history_gone", dataset=self._cfg.dataset.value)
            self._list(None, self._loop.now())
            return
        if answer is None or answer.status != HTTP_OK:
            self._fail(answer, self._watch)
            return
        self._succeed()
        changes = self._dialect.read_changes(answer.body)
        for event in changes.events:
            self._listener.on_event(event, self._is_after_outage())
        self._revision = max(self._revision or 0, changes.revision)
        self._listener.on_confirmed(sent_at)
        self._watch()

    def _fail(self, answer: HttpAnswer | None, again: Callable[[], None]) -> None:
        self._failures += 1
        if self._failures == 1:
            status = None if answer is None else answer.status
            log_trouble("store_lost", dataset=self._cfg.dataset.value, status=status)
        pause_s = self._pause_s * random.uniform(0.5, 1.0)
        self._pause_s = min(LONGEST_PAUSE_S, self._pause_s * 2)
        self._loop.call_later(pause_s, again)

    def _succeed(self) -> None:
        if self._failures:
            log_trouble("store_regained", dataset=self._cfg.dataset.value, failures=self._failures)
            self._failures = 0
            self._returned_at = self._loop.now()
        self._pause_s = FIRST_PAUSE_S

    def _is_after_outage(self) -> bool:
        """Whether the store has only just returned: entries may be missing for a moment."""
        if self._returned_at is None:
            return False
        return self._loop.now() - self._returned_at < 2.0
