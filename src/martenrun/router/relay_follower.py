"""Follows another router's replicas of the platform's store, by long polling for changes."""

import zlib
from collections.abc import Callable

import msgspec

from martenrun.net.http import HttpAnswer
from martenrun.net.loop import Loop
from martenrun.router.dataset_copy import DatasetCopy
from martenrun.router.log import log_trouble
from martenrun.router.messages import Dataset, HttpCall, StoredObject
from martenrun.router.relay import Copies
from martenrun.router.relay_messages import (
    ANSWER,
    ENCODE,
    FOLLOW_PATH,
    REFUSAL,
    FollowQuestion,
    RelayedDataset,
    RelayedObject,
    unpacked,
)
from martenrun.router.store_client import HttpCaller

HOLD_S = 0.8
"""How long the other router may delay a response while nothing has changed, in seconds."""

ANSWER_TIMEOUT_S = 0.6
"""Timeout for the start of a response beyond that, in seconds."""

NEW_TIMEOUT_S = 0.4
"""Timeout for the start of a response to a router that has no state yet, in seconds."""


class RelayFollower:
    """Keeps replicas current from another router while running.

    Args:
        source: returns the address of the router to query now, or None.
        on_taken: called after each response that was applied completely.
        on_failed: called with the address of a router to which a query failed, and whether that
            router reported that it has lost the store.
        on_heard: called whenever a part of a response arrives.
        caller: creates the client for one address.
    """

    def __init__(
        self,
        loop: Loop,
        copies: Copies,
        source: Callable[[], str | None],
        on_taken: Callable[[], None],
        on_failed: Callable[[str, bool], None],
        on_heard: Callable[[], None] = lambda: None,
        caller: Callable[[Loop, str], HttpCaller] = HttpCaller,
    ) -> None:
        self._loop = loop
        self._on_heard = on_heard
        self._copies = copies
        self._source = source
        self._caller = caller
        self._on_taken = on_taken
        self._on_failed = on_failed
        self._callers: dict[str, HttpCaller] = {}
        self._address = ""
        self._life = 0
        self._numbers: dict[str, int] = {}
        self._is_asking = False
        self._reader_heard_at: float | None = None
        self.is_running = False

    def follows_reader(self) -> bool:
        """Return whether the router that this one follows is a store reader and responds."""
        heard_at = self._reader_heard_at
        if not self.is_running or heard_at is None:
            return False
        return self._loop.now() - heard_at <= HOLD_S + ANSWER_TIMEOUT_S

    def start(self) -> None:
        """Start to follow, unless already running."""
        self.is_running = True
        if not self._is_asking:
            self._ask()

    def stop(self) -> None:
        """Stop; a pending response is still applied."""
        self.is_running = False

    def _ask(self) -> None:
        address = self._source()
        if not self.is_running or address is None:
            self._is_asking = False
            return
        if address != self._address:
            self._address = address
            self._life = 0
            self._numbers = {}
        self._is_asking = True
        is_new = not all(copy.is_known for copy in self._copies.values())
        question = FollowQuestion(self._life, self._numbers, int(HOLD_S * 1000), is_new)
        call = HttpCall(b"POST", FOLLOW_PATH, [], ENCODE(question))
        sent_at = self._loop.now()
        caller = self._callers.get(address)
        if caller is None:
            caller = self._callers[address] = self._caller(self._loop, address)
        # A router without state gets its response at once or not at all.
        caller.call(
            call,
            NEW_TIMEOUT_S if is_new else HOLD_S + ANSWER_TIMEOUT_S,
            lambda answer: self._on_answer(answer, address, sent_at),
            self._hear,
        )

    def _hear(self) -> None:
        """Record that a part of a large response arrived, so its sender is alive."""
        if self._reader_heard_at is not None:
            self._reader_heard_at = self._loop.now()
        self._on_heard()

    def _on_answer(self, answer: HttpAnswer | None, address: str, sent_at: float) -> None:
        self._is_asking = False
        if answer is None or answer.status != 200:
            status = None if answer is None else answer.status
            log_trouble("relay_lost", address=address, status=status)
            self._reader_heard_at = None
            self._on_failed(address, answer is not None and _says_store_is_lost(answer))
            return
        try:
            news = ANSWER.decode(answer.body)
            objects = {name: unpacked(item.objects) for name, item in news.datasets.items()}
        except (msgspec.MsgspecError, zlib.error):
            log_trouble("relay_unreadable", address=address)
            self._reader_heard_at = None
            self._on_failed(address, False)
            return
        self._life = news.life
        self._reader_heard_at = self._loop.now() if news.is_reader else None
        for name, dataset in news.datasets.items():
            not_before = sent_at + news.held_ms / 1000.0
            self._take(self._copies[Dataset(name)], dataset, objects[name], not_before)
            self._numbers[name] = dataset.number
        self._on_taken()
        self._ask()

    def _take(
        self,
        copy: DatasetCopy,
        news: RelayedDataset,
        objects: list[RelayedObject],
        not_before: float,
    ) -> None:
        """Apply one dataset; the response was sent at ``not_before`` or later."""
        if copy.revision is not None and news.revision < copy.revision:
            # That router is behind: its changes are outdated, and so is its age.
            return
        now = self._loop.now()
        changed = [
            StoredObject(item.name, item.revision, item.spec) for item in objects if item.revision
        ]
        missing = {
            item.name: now - item.missing_ms / 1000.0
            for item in objects
            if item.missing_ms is not None
        }
        if news.is_whole:
            copy.replace(changed, news.revision, False, now, missing)
        else:
            gone = [item.name for item in objects if not item.revision]
            copy.apply(changed, gone, news.revision, False, now, missing)
        copy.confirm(not_before - news.age_ms / 1000.0)


def _says_store_is_lost(answer: HttpAnswer) -> bool:
    try:
        return REFUSAL.decode(answer.body).has_lost_store
    except msgspec.MsgspecError:
        return False
