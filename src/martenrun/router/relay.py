"""Knowledge passed between routers, so that few of them read the platform's store.

A router that does not read the store asks one that does for what has changed since a number of
that router's copy; the answer is held back until there is something, and tells how old the
knowledge is.  Ages count durations only, never times of another machine's clock.
"""

import zlib
from collections.abc import Callable, Mapping

import msgspec

from martenrun.net.http import HttpAnswer
from martenrun.net.loop import Loop
from martenrun.net.server import Exchange
from martenrun.router.dataset_copy import Change, DatasetCopy
from martenrun.router.log import log_trouble
from martenrun.router.messages import Dataset, HttpCall, StoredObject
from martenrun.router.store_client import HttpCaller

FOLLOW_PATH = b"/follow"
"""Path of the question on the internal interface."""

HOLD_S = 0.8
"""How long an answer is held back while nothing has changed, in seconds."""

ANSWER_TIMEOUT_S = 0.6
"""How long an answer may not even begin beyond that, in seconds."""

NEW_TIMEOUT_S = 0.4
"""How long an answer to a router that knows nothing yet may not even begin, in seconds."""

OLDEST_RELAYED_S = 3.0
"""Age from which knowledge is not passed on any more, in seconds."""


PACKED_FROM_BYTES = 2_048
"""Size from which objects are compressed on their way.

A configuration of 4,200 routes takes a tenth; 69 routers have it 0.4 s after their two readers
began to tell it instead of 2.6 s (virtual time, links of 10 and 200 Mbit/s, half of each free).
"""

PACKING_LEVEL = 1
"""Level of compression: the fastest; the usual one takes a fifth less for twice the time."""

MOST_UNPACKED_BYTES = 256_000_000
"""Most bytes that objects take unpacked: more is no answer of a router."""


class FollowQuestion(msgspec.Struct, array_like=True):
    """Asks for what has changed; ``numbers`` are those of the answering router's copies.

    A router that knows nothing yet ``accepts_old`` knowledge: its age is told in any case.
    """

    life: int
    numbers: dict[str, int]
    hold_ms: int
    accepts_old: bool


class RelayedObject(msgspec.Struct, array_like=True):
    """One object; ``revision`` 0 says that it is gone.

    ``missing_ms`` is for how long the store has no longer listed it, in milliseconds, where it is
    kept for a time of grace after an outage; None for all others.
    """

    name: str
    revision: int
    spec: object
    missing_ms: int | None = None


class RelayedDataset(msgspec.Struct, array_like=True):
    """Changes of one dataset, or all of it if ``is_whole``.

    ``objects`` is a list of :class:`RelayedObject`, packed by :func:`packed`.
    """

    number: int
    revision: int
    age_ms: int
    is_whole: bool
    objects: bytes


class FollowAnswer(msgspec.Struct, array_like=True):
    """What has changed.

    Attributes:
        life: number of this life of the answering router.
        held_ms: how long the answer was held back, in milliseconds.
        datasets: the changes.
        is_reader: whether the answering router reads the store itself.
    """

    life: int
    held_ms: int
    datasets: dict[str, RelayedDataset]
    is_reader: bool = True


class FollowRefusal(msgspec.Struct, array_like=True):
    """Says that a router does not pass knowledge on: it has lost the store, or does not read it."""

    has_lost_store: bool


_QUESTION = msgspec.msgpack.Decoder(FollowQuestion)
_ANSWER = msgspec.msgpack.Decoder(FollowAnswer)
_OBJECTS = msgspec.msgpack.Decoder(list[RelayedObject])
_REFUSAL = msgspec.msgpack.Decoder(FollowRefusal)
_ENCODE = msgspec.msgpack.Encoder().encode

Copies = Mapping[Dataset, DatasetCopy]

_PLAIN, _COMPRESSED = b"\0", b"\1"
"""First byte of packed objects: how the rest is to be read."""


def packed(objects: list[RelayedObject]) -> bytes:
    """Return objects as bytes, many of them compressed."""
    data = _ENCODE(objects)
    if len(data) < PACKED_FROM_BYTES:
        return _PLAIN + data
    return _COMPRESSED + zlib.compress(data, PACKING_LEVEL)


def unpacked(data: bytes) -> list[RelayedObject]:
    """Read packed objects; raises msgspec.MsgspecError or zlib.error if they are none."""
    rest = data[1:]
    if data[:1] == _COMPRESSED:
        rest = zlib.decompressobj().decompress(rest, MOST_UNPACKED_BYTES)
    return _OBJECTS.decode(rest)


class HeldQuestion:
    """A question whose answer is held back."""

    def __init__(self, exchange: Exchange, question: FollowQuestion, asked_at: float) -> None:
        self.exchange = exchange
        self.question = question
        self.asked_at = asked_at


class RelaySource:
    """Answers other routers' questions from this router's copies.

    Args:
        life: number of this life of the router; numbers of other lives mean nothing.
        may_relay: whether this router is current, by reading the store or following who does.
        has_lost_store: whether it had no good answer of the store lately.
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
        """Answer a question now or later."""
        try:
            question = _QUESTION.decode(exchange.request.body)
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
        """Send the questions that wait to another router: this one has lost the store."""
        for held in list(self._held):
            self._answer(held)

    def copies_changed(self) -> None:
        """Answer the questions that wait for what has changed."""
        for held in [held for held in self._held if self._has_changed(held.question)]:
            self._answer(held)

    def _refuse(self, exchange: Exchange) -> None:
        exchange.respond(503, [], _ENCODE(FollowRefusal(self._has_lost_store())))

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
        held.exchange.respond(200, [], _ENCODE(answer))

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


def _says_store_is_lost(answer: HttpAnswer) -> bool:
    try:
        return _REFUSAL.decode(answer.body).has_lost_store
    except msgspec.MsgspecError:
        return False


class PackedChanges:
    """Packs each change of a copy once for all followers that lack the same."""

    def __init__(self, copy: DatasetCopy) -> None:
        self._copy = copy
        self._number = -1
        self._packed: dict[int | None, tuple[bytes, bool]] = {}

    def after(self, number: int | None, now: float) -> tuple[bytes, bool]:
        """Return what has changed after a number, and whether that is the whole copy."""
        copy = self._copy
        if self._number != copy.number:
            self._number = copy.number
            self._packed.clear()
        found = self._packed.get(number)
        if found is None:
            changes = None if number is None else copy.changes_after(number)
            found = packed(_relayed_objects(copy, changes, now)), changes is None
            if not copy.has_missing:
                # For how long an object is missing is told anew to each.
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
        call = HttpCall(b"POST", FOLLOW_PATH, [], _ENCODE(question))
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

    def _on_answer(self, answer: HttpAnswer | None, address: str, sent_at: float) -> None:
        self._is_asking = False
        if answer is None or answer.status != 200:
            status = None if answer is None else answer.status
            log_trouble("relay_lost", address=address, status=status)
            self._reader_heard_at = None
            self._on_failed(address, answer is not None and _says_store_is_lost(answer))
            return
        try:
            news = _ANSWER.decode(answer.body)
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
