"""Follows another router's knowledge of the platform's store: asks what has changed, in turns."""

import zlib
from collections.abc import Callable

import msgspec

from martenrun.net.http import HttpResponse
from martenrun.net.loop import Loop
from martenrun.router.dataset_copy import DatasetCopy
from martenrun.router.log import log_warning
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
"""How long an answer is held back while nothing has changed, in seconds."""

ANSWER_TIMEOUT_S = 0.6
"""How long an answer may not even begin beyond that, in seconds."""

NEW_TIMEOUT_S = 0.4
"""How long an answer to a router that knows nothing yet may not even begin, in seconds."""


class RelayFollower:
    """Keeps copies current from another router, while it is wanted.

    Args:
        source: returns the address of the router to ask now, or None.
        on_taken: called after each answer that was taken in whole.
        on_failed: called with the address of a router that gave no good answer, and whether it
            said that it has lost the store.
        on_heard: called whenever a part of an answer has come.
        caller: makes what calls one address.
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
        """Whether this router now follows one that reads the store itself, and hears from it."""
        heard_at = self._reader_heard_at
        if not self.is_running or heard_at is None:
            return False
        return self._loop.now() - heard_at <= HOLD_S + ANSWER_TIMEOUT_S

    def start(self) -> None:
        """Begin to follow, unless it does already."""
        self.is_running = True
        if not self._is_asking:
            self._ask()

    def stop(self) -> None:
        """Stop; the answer under way is still taken in."""
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
        # Who knows nothing is answered at once or not at all.
        caller.call(
            call,
            NEW_TIMEOUT_S if is_new else HOLD_S + ANSWER_TIMEOUT_S,
            lambda answer: self._on_answer(answer, address, sent_at),
            self._hear,
        )

    def _hear(self) -> None:
        """A large answer is on its way: whoever sends it lives."""
        if self._reader_heard_at is not None:
            self._reader_heard_at = self._loop.now()
        self._on_heard()

    def _on_answer(self, answer: HttpResponse | None, address: str, sent_at: float) -> None:
        self._is_asking = False
        if answer is None or answer.status != 200:
            status = None if answer is None else answer.status
            log_warning("relay_lost", address=address, status=status)
            self._reader_heard_at = None
            self._on_failed(address, answer is not None and _says_store_is_lost(answer))
            return
        try:
            news = ANSWER.decode(answer.body)
            objects = {name: unpacked(item.objects) for name, item in news.datasets.items()}
        except (msgspec.MsgspecError, zlib.error):
            log_warning("relay_unreadable", address=address)
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
        """Take in one dataset; it was answered at ``not_before`` or later."""
        if copy.revision is not None and news.revision < copy.revision:
            # That router is behind: what it tells, its age included, says nothing new.
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


def _says_store_is_lost(answer: HttpResponse) -> bool:
    try:
        return REFUSAL.decode(answer.body).has_lost_store
    except msgspec.MsgspecError:
        return False
