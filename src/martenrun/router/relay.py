"""Relays store state between routers, so that only a few of them read the platform's store.

A router that is no store reader asks a reader for the changes after a sequence number of the
reader's replica.  The response is delayed until there is a change and contains the age of the
state.  This module is the serving side; :mod:`martenrun.router.relay_follower` is the client.
"""

from collections.abc import Callable, Mapping

import msgspec

from martenrun.net.loop import Loop
from martenrun.net.server import Exchange
from martenrun.router.dataset_copy import Change, DatasetCopy
from martenrun.router.messages import Dataset, StoredObject
from martenrun.router.relay_messages import (
    ENCODE,
    FOLLOW_PATH,
    QUESTION,
    FollowAnswer,
    FollowQuestion,
    FollowRefusal,
    RelayedDataset,
    RelayedObject,
    packed,
)

OLDEST_RELAYED_S = 3.0
"""Age from which state is no longer relayed, in seconds."""

Copies = Mapping[Dataset, DatasetCopy]


class HeldQuestion:
    """A query whose response waits for a change."""

    def __init__(self, exchange: Exchange, question: FollowQuestion, asked_at: float) -> None:
        self.exchange = exchange
        self.question = question
        self.asked_at = asked_at


class RelaySource:
    """Serves queries of other routers from this router's replicas.

    Args:
        life: this router's incarnation; sequence numbers of other incarnations are not comparable.
        may_relay: whether this router is current, as a reader or by following one.
        has_lost_store: whether its requests to the store fail.
        reads_store: whether it reads the store itself.
    """

    def __init__(
        self,
        loop: Loop,
        copies: Copies,
        life: int,
        may_relay: Callable[[], bool],
        has_lost_store: Callable[[], bool],
        reads_store: Callable[[], bool],
    ) -> None:
        self._loop = loop
        self._copies = copies
        self._life = life
        self._may_relay = may_relay
        self._has_lost_store = has_lost_store
        self._reads_store = reads_store
        self._held: set[HeldQuestion] = set()
        self._changes = {dataset: PackedChanges(copy) for dataset, copy in copies.items()}

    def serve(self, exchange: Exchange) -> None:
        """Respond to a query, at once or after the next change."""
        try:
            question = QUESTION.decode(exchange.request.body)
        except msgspec.MsgspecError:
            exchange.respond(400, [])
            return
        if exchange.request.target != FOLLOW_PATH or not self._may_answer(question):
            self._refuse(exchange)
            return
        held = HeldQuestion(exchange, question, self._loop.now())
        if question.life != self._life or self._has_changed(question):
            self._answer(held)
            return
        self._held.add(held)
        exchange.on_gone = lambda: self._held.discard(held)
        self._loop.call_later(question.hold_ms / 1000.0, lambda: self._answer(held))

    def drop_held(self) -> None:
        """Refuse all waiting queries, because this router has lost the store."""
        for held in list(self._held):
            self._answer(held)

    def copies_changed(self) -> None:
        """Respond to waiting queries for which there are changes."""
        for held in [held for held in self._held if self._has_changed(held.question)]:
            self._answer(held)

    def _refuse(self, exchange: Exchange) -> None:
        exchange.respond(503, [], ENCODE(FollowRefusal(self._has_lost_store())))

    def _may_answer(self, question: FollowQuestion) -> bool:
        if self._may_relay():
            return True
        return question.accepts_old and all(copy.is_known for copy in self._copies.values())

    def _has_changed(self, question: FollowQuestion) -> bool:
        return any(
            question.numbers.get(dataset.value) != copy.number
            for dataset, copy in self._copies.items()
        )

    def _answer(self, held: HeldQuestion) -> None:
        self._held.discard(held)
        if held.exchange.is_over:
            return
        if not self._may_answer(held.question):
            self._refuse(held.exchange)
            return
        now = self._loop.now()
        question = held.question
        numbers = question.numbers if question.life == self._life else {}
        datasets = {
            dataset.value: self._relayed(dataset, numbers.get(dataset.value), now)
            for dataset in self._copies
        }
        held_ms = int((now - held.asked_at) * 1000)
        answer = FollowAnswer(self._life, held_ms, datasets, self._reads_store())
        held.exchange.respond(200, [], ENCODE(answer))

    def _relayed(self, dataset: Dataset, number: int | None, now: float) -> RelayedDataset:
        copy = self._copies[dataset]
        objects, is_whole = self._changes[dataset].after(number, now)
        confirmed_at = now if copy.confirmed_at is None else copy.confirmed_at
        return RelayedDataset(
            number=copy.number,
            revision=copy.revision or 0,
            age_ms=int((now - confirmed_at) * 1000) + 1,
            is_whole=is_whole,
            objects=objects,
        )


class PackedChanges:
    """Encodes each range of changes of a replica once for all followers that request it."""

    def __init__(self, copy: DatasetCopy) -> None:
        self._copy = copy
        self._number = -1
        self._packed: dict[int | None, tuple[bytes, bool]] = {}

    def after(self, number: int | None, now: float) -> tuple[bytes, bool]:
        """Return the changes after a sequence number, and whether they are a snapshot."""
        copy = self._copy
        if self._number != copy.number:
            self._number = copy.number
            self._packed.clear()
        found = self._packed.get(number)
        if found is None:
            changes = None if number is None else copy.changes_after(number)
            found = packed(_relayed_objects(copy, changes, now)), changes is None
            if not copy.has_missing:
                # The time for which an object has been missing differs in each response.
                self._packed[number] = found
        return found


def _relayed_objects(
    copy: DatasetCopy, changes: list[Change] | None, now: float
) -> list[RelayedObject]:
    if changes is None:
        return [_relayed_object(copy, item, now) for item in copy.objects]
    newest = {change.name: change.stored for change in changes}
    return [
        RelayedObject(name, 0, None) if stored is None else _relayed_object(copy, stored, now)
        for name, stored in newest.items()
    ]


def _relayed_object(copy: DatasetCopy, stored: StoredObject, now: float) -> RelayedObject:
    since = copy.missing_since(stored.name)
    missing_ms = None if since is None else int((now - since) * 1000)
    return RelayedObject(stored.name, stored.revision, stored.spec, missing_ms)
