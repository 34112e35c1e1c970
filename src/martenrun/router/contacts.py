"""Peer addresses in the platform's store, for routers whose seeds are all dead.

Seeds are fixed when a router starts and may all have been replaced by then.  A router without peers
would act as the only one: it would own every tenant's account and the whole retry budget.  One of
the store readers keeps the object with the addresses current; an isolated router reads it and
sends its record to the addresses found there.
"""

import random
from collections.abc import Callable, Sequence

import attrs

from martenrun.net.http import STATUS_OK, HttpAnswer
from martenrun.net.loop import Loop
from martenrun.router.dialect import Dialect
from martenrun.router.knowledge import decoded
from martenrun.router.log import log_event, log_trouble
from martenrun.router.messages import Dataset, HttpCall, StoredObject
from martenrun.router.peers import Peers
from martenrun.router.store_client import HttpCaller

OBJECT_NAME = "main"

STORED_CONTACTS = 8
"""Maximum number of addresses in the store."""

CHECK_S = 0.5
"""How often a router checks whether it is isolated or has to write, in seconds."""

CALL_TIMEOUT_S = 0.7
"""Timeout of a call to the store, in seconds."""

RETRY_PAUSE_S = 1.0
"""Minimum time between two calls of one router, in seconds."""

REREAD_S = 5.0
"""How often the writer rereads the object, in seconds: routers unknown to it may write as well."""

ANSWER_GRACE_S = 2.0
"""How long a stored address may stay unresponsive before it is replaced, in seconds."""

STATUS_CREATED = 201
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409


@attrs.frozen
class StoredContacts:
    """The object as last read or written; ``read_at`` is monotonic time, in seconds."""

    stored: StoredObject | None
    addresses: tuple[str, ...]
    read_at: float


def choose_contacts(
    stored: Sequence[str], alive: Sequence[str], unverified: Sequence[str]
) -> tuple[str, ...]:
    """Return the addresses to store.

    Stored addresses of live routers are kept, so that the object rarely changes.

    Args:
        stored: addresses in the object.
        alive: addresses of the live routers, including the writer.
        unverified: stored addresses that still have time to respond.
    """
    living = set(alive)
    kept = [address for address in stored if address in living or address in unverified]
    added = [address for address in alive if address not in kept]
    return tuple((kept + added)[:STORED_CONTACTS])


class ContactDirectory:
    """Reads the stored addresses while this router is isolated, otherwise keeps them current.

    Args:
        reads_store: whether this router is a store reader.
    """

    def __init__(
        self,
        loop: Loop,
        store: HttpCaller,
        dialect: Dialect,
        peers: Peers,
        reads_store: Callable[[], bool],
        rng: random.Random | None = None,
    ) -> None:
        self._loop = loop
        self._store = store
        self._dialect = dialect
        self._peers = peers
        self._reads_store = reads_store
        self._rng = rng or random.Random()
        self._known: StoredContacts | None = None
        self._is_calling = False
        self._not_before = 0.0
        self._is_resolved = False

    @property
    def is_resolved(self) -> bool:
        """Whether this router knows if there are other routers.

        True once it has heard from one, or has read the object and no router listed there has
        responded in time.
        """
        if not self._is_resolved:
            known = self._known
            waited_s = 0.0 if known is None else self._loop.now() - known.read_at
            is_alone = known is not None and (
                not self._others(known.addresses) or waited_s >= ANSWER_GRACE_S
            )
            self._is_resolved = is_alone or bool(self._peers.live())
        return self._is_resolved

    def start(self) -> None:
        """Start the periodic checks."""
        self._loop.call_later(CHECK_S * self._rng.uniform(0.8, 1.2), self._check)

    def _check(self) -> None:
        now = self._loop.now()
        if not self._is_calling and now >= self._not_before:
            self._act(now)
        self._loop.call_later(CHECK_S * self._rng.uniform(0.8, 1.2), self._check)

    def _act(self, now: float) -> None:
        known = self._known
        is_writer = self._is_writer()
        is_isolated = not self._peers.live()
        if (is_writer or is_isolated) and (known is None or now - known.read_at >= REREAD_S):
            self._read()
            return
        if known is None or not is_writer or self._peers.own.is_leaving:
            return
        wanted = self._wanted(known, now)
        if set(wanted) != set(known.addresses):
            self._write(known, wanted)

    def _is_writer(self) -> bool:
        """Return whether this router is the one that writes, as far as it knows."""
        if not self._reads_store():
            return False
        readers = [item.address for item in self._peers.live() if item.reads_store]
        return self._peers.own.address <= min(readers, default=self._peers.own.address)

    def _wanted(self, known: StoredContacts, now: float) -> tuple[str, ...]:
        records = [item for item in self._peers.live() if not item.is_leaving]
        alive = [self._peers.own.address, *sorted(item.address for item in records)]
        has_time = now - known.read_at < ANSWER_GRACE_S
        return choose_contacts(known.addresses, alive, known.addresses if has_time else ())

    def _others(self, addresses: Sequence[str]) -> list[str]:
        return [address for address in addresses if address != self._peers.own.address]

    def _read(self) -> None:
        self._call(self._dialect.read_object(Dataset.CONTACTS, OBJECT_NAME), self._on_read)

    def _on_read(self, answer: HttpAnswer | None) -> None:
        if answer is not None and answer.status == STATUS_NOT_FOUND:
            self._known = StoredContacts(None, (), self._loop.now())
        elif answer is not None and answer.status == STATUS_OK:
            self._take_stored(answer)
        else:
            log_trouble("contacts_not_read", status=None if answer is None else answer.status)

    def _take_stored(self, answer: HttpAnswer) -> None:
        """Merge the stored object and send the own record to the unknown routers it lists."""
        now = self._loop.now()
        stored = decoded(answer.body, self._dialect.read_stored)
        if stored is None:
            return
        addresses = tuple(decoded(stored, self._dialect.read_contacts) or ())
        self._known = StoredContacts(stored, addresses, now)
        known = self._peers.table.addresses()
        strangers = [address for address in self._others(addresses) if address not in known]
        if strangers:
            log_event("contacts_tried", addresses=",".join(strangers))
            self._peers.introduce(strangers)

    def _write(self, known: StoredContacts, wanted: tuple[str, ...]) -> None:
        spec = self._dialect.contacts_spec(wanted)
        if known.stored is None:
            call = self._dialect.create_object(Dataset.CONTACTS, OBJECT_NAME, spec)
        else:
            call = self._dialect.replace_object(Dataset.CONTACTS, known.stored, spec)
        self._call(call, self._on_written)

    def _on_written(self, answer: HttpAnswer | None) -> None:
        status = None if answer is None else answer.status
        if answer is not None and status in (STATUS_OK, STATUS_CREATED, STATUS_CONFLICT):
            self._take_stored(answer)
            return
        # The write may have succeeded or the object may be deleted: read it before the next write.
        self._known = None
        log_trouble("contacts_not_written", status=status)

    def _call(self, call: HttpCall, on_answer: Callable[[HttpAnswer | None], None]) -> None:
        self._is_calling = True

        def answered(answer: HttpAnswer | None) -> None:
            self._is_calling = False
            self._not_before = self._loop.now() + RETRY_PAUSE_S
            on_answer(answer)

        self._store.call(call, CALL_TIMEOUT_S, answered)
