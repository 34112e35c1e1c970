"""A lease in the platform's store, taken and renewed under its revision.

The holder counts from the sending of its last successful write; others wait for the whole lease
from when they first saw the revision that they replace, unless its holder gave it up or was an
earlier life of the same router.  Each take-over raises the fencing token.
"""

import math
from collections.abc import Callable, Collection

import attrs

from martenrun.net.http import HttpAnswer
from martenrun.net.loop import Loop
from martenrun.router.dialect import Dialect
from martenrun.router.log import log_event, log_trouble
from martenrun.router.messages import (
    Dataset,
    HttpCall,
    LeaseRecord,
    StoredObject,
    VersionAges,
)
from martenrun.router.order_turns import OrderTurns
from martenrun.router.store_client import HttpClient
from martenrun.router.store_state import decode_or_log

CALL_TIMEOUT_S = 0.7
"""How long a call about the lease waits for its answer, in seconds."""

HOLDER_MARGIN_S = 0.4
"""How long before its end the holder no longer acts on the lease, in seconds."""

TAKER_MARGIN_S = 0.15
"""How long after its end another takes it over, in seconds."""

RANK_DELAY_S = 0.25
"""How much later each next router takes over a free lease, in seconds."""

PAUSE_S = 0.15
"""Pause after a call that failed or found the lease held, in seconds."""


@attrs.frozen
class SeenLease:
    """A lease object as last seen.

    Attributes:
        seen_at: when its revision was first seen.
        is_read: whether the record was read from the store; what other routers tell of it is less.
    """

    stored: StoredObject
    record: LeaseRecord
    seen_at: float
    is_read: bool = True


def free_at(seen: SeenLease, router: str, rank: int, lease_s: float) -> float:
    """Return when a router may take the lease over; the higher its rank, the later."""
    if seen.record.router == router:
        # An earlier life of this router, which has ended.
        return seen.seen_at
    delay_s = rank * RANK_DELAY_S
    if seen.record.released_idle_s is not None:
        return seen.seen_at + delay_s
    return seen.seen_at + lease_s + TAKER_MARGIN_S + delay_s


def last_order_at(seen: SeenLease, lease_s: float) -> float:
    """Return until when the holder of a lease may have given orders under it."""
    if seen.record.released_idle_s is not None:
        return seen.seen_at - seen.record.released_idle_s + TAKER_MARGIN_S
    return seen.seen_at + lease_s - HOLDER_MARGIN_S


def note_earlier_orders(turns: OrderTurns, seen: SeenLease, router: str, lease_s: float) -> None:
    """Take in which runners may not be ordered yet by a router that takes a lease over.

    All lives of one router count as one.
    """
    record = seen.record
    ordered_until = last_order_at(seen, lease_s)
    if record.router == router:
        turns.resume(record.ordered_ms, seen.seen_at, ordered_until, record.pause_s)
    elif record.ordered_ms is None:
        turns.block_all(ordered_until)
    else:
        turns.block(record.ordered_ms, seen.seen_at, ordered_until)


class Lease:
    """One lease, as one router sees it.

    Args:
        name: name of the lease object.
        holder: what this life of this router calls itself: its address, ``#``, its incarnation.
        lease_s: length of the lease, in seconds.
        ages_ms: returns how long versions of weights have been known, to be written with the lease.
        on_ages: called with what the lease object tells of that.

    Attributes:
        fencing_token: token to be used while it is held.
        turns: which runners may be ordered from when, once they are reserved.
    """

    def __init__(
        self,
        loop: Loop,
        store: HttpClient,
        dialect: Dialect,
        name: str,
        holder: str,
        lease_s: float,
        ages_ms: Callable[[], VersionAges] = dict,
        on_ages: Callable[[VersionAges], None] = lambda _ages: None,
    ) -> None:
        self._loop = loop
        self._store = store
        self._ages_ms = ages_ms
        self._on_ages = on_ages
        self._dialect = dialect
        self._name = name
        self._holder = holder
        self._router = LeaseRecord(holder, 0).router
        self._lease_s = lease_s
        self._seen: SeenLease | None = None
        self._held_until = 0.0
        self._is_calling = False
        self._not_before = 0.0
        self._renewals = 0
        self._last_order_at = -math.inf
        self._on_reserved: list[tuple[Collection[str], Callable[[bool], None]]] = []
        self.fencing_token = 0
        self.turns = OrderTurns(lease_s)

    @property
    def revision(self) -> int:
        """Revision last written by this router while it holds the lease, else 0."""
        return 0 if self._seen is None or not self.is_held() else self._seen.stored.revision

    def is_held(self) -> bool:
        """Return whether this router may act on the lease now."""
        return self._loop.now() < self._held_until - HOLDER_MARGIN_S

    def last_router(self) -> str | None:
        """Return the address of the router that was last seen to hold it."""
        return None if self._seen is None else self._seen.record.router

    def may_order(self, instance: str) -> bool:
        """Return whether an order may be given to a runner now."""
        now = self._loop.now()
        is_turn = now >= self.turns.orders_from(instance)
        return self.is_held() and is_turn and self.turns.is_confirmed(instance)

    def reserve(self, instances: Collection[str], on_done: Callable[[bool], None]) -> None:
        """Write into the lease object that runners are to be ordered.

        Args:
            on_done: called with whether that is stored.
        """
        self.turns.reserve(instances)
        self._on_reserved.append((instances, on_done))
        if not self._is_calling and self.is_held():
            self._write(self.fencing_token)

    def note_order(self, instance: str) -> None:
        """Take in that an order to a runner is given under it, or may arrive as late as now."""
        self._last_order_at = self._loop.now()
        self.turns.note_order(instance, self._last_order_at)

    def note_revision(self, record: LeaseRecord, revision: int) -> None:
        """Take in that another router tells of a revision that it has written."""
        if self.is_held() or (self._seen is not None and revision <= self._seen.stored.revision):
            return
        stored = StoredObject(self._name, revision, None)
        self._seen = SeenLease(stored, record, self._loop.now(), is_read=False)

    def pursue(self, rank: int) -> None:
        """Take the lease or renew it, as far as it is time for that.

        A router takes a free lease the later, the higher its ``rank``.
        """
        now = self._loop.now()
        seen = self._seen
        if self._is_calling or now < self._not_before:
            return
        if now < self._held_until:
            if now > self._held_until - self._lease_s / 2 or self._on_reserved:
                self._write(self.fencing_token)
        elif seen is None:
            self._read()
        elif seen.record.holder == self._holder:
            # Nobody has taken it since: it is still this router's under its own token.
            self._write(seen.record.fencing_token)
        elif now >= free_at(seen, self._router, rank, self._lease_s):
            if not seen.is_read:
                self._read()
                return
            # It holds whether or not the write is answered.
            note_earlier_orders(self.turns, seen, self._router, self._lease_s)
            self.turns.finish_all()
            self._end_reservations(False)
            self._write(max(seen.record.fencing_token, self.fencing_token) + 1)

    def release(self, on_released: Callable[[LeaseRecord, int], None]) -> None:
        """Give the lease up if it is held; ``on_released`` gets what others need to take it.

        No order may be given after this.  A write that fails is not repeated: the lease then ends
        by itself.
        """
        if not self.is_held() or self._is_calling:
            return
        # Before its own first order, the last one was that of a holder before.
        ordered_at = max(self._last_order_at, self.turns.latest_block() - self._lease_s)
        idle_s = min(self._lease_s, self._loop.now() - ordered_at)
        self.turns.finish_all()
        record = attrs.evolve(self._own_record(self.fencing_token), released_idle_s=idle_s)
        self._held_until = 0.0
        self._not_before = math.inf

        def answered(answer: HttpAnswer | None) -> None:
            if answer is not None and answer.status == 200:
                log_event("lease_released", token=record.fencing_token)
                stored = decode_or_log(answer.body, self._dialect.read_stored)
                if stored is not None:
                    on_released(record, stored.revision)

        self._call(self._write_call(record), answered)

    def _own_record(self, token: int) -> LeaseRecord:
        self._renewals += 1
        now = self._loop.now()
        return LeaseRecord(
            self._holder,
            token,
            self._renewals,
            pause_s=max(0.0, self.turns.latest_block() - now),
            ages_ms=self._ages_ms(),
            ordered_ms=self.turns.ages_ms(now),
        )

    def _read(self) -> None:
        self._call(self._dialect.read_object(Dataset.LEASES, self._name), self._on_read)

    def _write(self, token: int) -> None:
        record = self._own_record(token)
        sent_at = self._loop.now()
        self._call(
            self._write_call(record), lambda answer: self._on_written(answer, record, sent_at)
        )

    def _write_call(self, record: LeaseRecord) -> HttpCall:
        spec = self._dialect.lease_spec(record)
        if self._seen is None:
            return self._dialect.create_object(Dataset.LEASES, self._name, spec)
        return self._dialect.replace_object(Dataset.LEASES, self._seen.stored, spec)

    def _call(self, call: HttpCall, on_answer: Callable[[HttpAnswer | None], None]) -> None:
        self._is_calling = True

        def answered(answer: HttpAnswer | None) -> None:
            self._is_calling = False
            on_answer(answer)

        self._store.call(call, CALL_TIMEOUT_S, answered)

    def _on_read(self, answer: HttpAnswer | None) -> None:
        if answer is not None and answer.status == 404:
            self._write(self.fencing_token + 1)
        elif answer is not None and answer.status == 200:
            self._see(answer)
        else:
            self._not_before = self._loop.now() + PAUSE_S

    def _on_written(self, answer: HttpAnswer | None, record: LeaseRecord, sent_at: float) -> None:
        if answer is not None and answer.status in (200, 201):
            self._see(answer)
            self._held_until = sent_at + self._lease_s
            if record.fencing_token != self.fencing_token:
                pause_ms = round(record.pause_s * 1000)
                log_event("lease_taken", token=record.fencing_token, pause_ms=pause_ms)
            self.fencing_token = record.fencing_token
            self.turns.confirm(record.ordered_ms)
            self._end_reservations(True)
            return
        status = None if answer is None else answer.status
        log_trouble("lease_write_failed", status=status, token=record.fencing_token)
        self._not_before = self._loop.now() + PAUSE_S
        self._end_reservations(False)
        # What the object holds now is not known: read it again, and never use that token again.
        self.fencing_token = max(self.fencing_token, record.fencing_token)
        if status not in (429, 503):
            self._seen = None
            if status == 409 and answer is not None:
                self._see(answer)
                if self._seen is None or self._seen.record.holder != self._holder:
                    self._held_until = 0.0

    def _end_reservations(self, is_stored: bool) -> None:
        """Tell those that wait for reservations what has become of them."""
        waiting, self._on_reserved = self._on_reserved, []
        for instances, on_done in waiting:
            if is_stored and any(self.turns.is_unconfirmed(instance) for instance in instances):
                self._on_reserved.append((instances, on_done))
            else:
                on_done(is_stored)

    def _see(self, answer: HttpAnswer) -> None:
        stored = decode_or_log(answer.body, self._dialect.read_stored)
        if stored is None:
            self._not_before = self._loop.now() + PAUSE_S
            return
        seen_at = self._loop.now()
        if self._seen is not None and stored.revision == self._seen.stored.revision:
            seen_at = self._seen.seen_at
        record = decode_or_log(stored, self._dialect.read_lease) or LeaseRecord(
            "", self.fencing_token
        )
        self._seen = SeenLease(stored, record, seen_at)
        self._on_ages(record.ages_ms)
