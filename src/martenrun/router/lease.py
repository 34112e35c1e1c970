"""A lease in the platform's store, acquired and renewed by conditional writes.

For its holder the lease runs from the time at which it sent its last successful write.  Other
routers wait for the full length of the lease from when they first saw the revision that they
replace, unless its holder released it or was an earlier incarnation of the same router.  Each
takeover raises the fencing token.

When the store returns from an older copy, the lease may be an earlier holder's, or gone.  Then it
ends for its holder, nobody acquires it for its full length, and the next token is above all that
were used before, because the era of the store is its most significant part.
"""

import math
from collections.abc import Callable, Collection

import attrs

from martenrun.net.http import HttpResponse
from martenrun.net.loop import Loop
from martenrun.router.log import log_event, log_warning
from martenrun.router.messages import (
    Dataset,
    HttpCall,
    LeaseRecord,
    StoredObject,
    StorePosition,
    VersionAges,
)
from martenrun.router.observed_lease import (
    HOLDER_MARGIN_S,
    RANK_DELAY_S,
    TAKEOVER_MARGIN_S,
    TOKENS_PER_ERA,
    ObservedLease,
    block_earlier_orders,
    era_of_token,
    takeover_at,
)
from martenrun.router.order_schedule import OrderSchedule
from martenrun.router.peer_messages import RouterRecord
from martenrun.router.platform_adapter import PlatformAdapter
from martenrun.router.store.client import StoreClient
from martenrun.router.store.eras import UNKNOWN_ERA, StoreEras
from martenrun.router.store.state import decode_or_log

CALL_TIMEOUT_S = 0.7
"""Timeout of a call to the store, in seconds."""

ABSENT_CHECK_S = 1.0
"""Interval of reads while the lease object is absent and may not be created yet, in seconds."""

RETRY_PAUSE_S = 0.15
"""Pause before the next call after a failed one, in seconds."""


class Lease:
    """A lease from the view of one router.

    Args:
        name: name of the lease object.
        holder: identity of this incarnation of the router: its address, ``#`` and its incarnation.
        lease_s: length of the lease, in seconds.
        ages_ms: returns how long versions of weights have been known, to be stored in the lease.
        on_ages: called with the version ages that the lease object contains.
        eras: the eras of the store.

    Attributes:
        fencing_token: token of orders while the lease is held.
        order_schedule: times from which reserved runners may be ordered.
    """

    def __init__(
        self,
        loop: Loop,
        store: StoreClient,
        dialect: PlatformAdapter,
        name: str,
        holder: str,
        lease_s: float,
        ages_ms: Callable[[], VersionAges] = dict,
        on_ages: Callable[[VersionAges], None] = lambda _ages: None,
        eras: StoreEras | None = None,
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
        self._eras = eras or StoreEras()
        self._eras.on_changed.append(self._begin_era)
        self._observed: ObservedLease | None = None
        self._last_router: str | None = None
        self._held_until = 0.0
        self._era_free_from = 0.0
        self._held_at_change = False
        self._other_held_since = False
        self._highest_token = 0
        self._is_call_pending = False
        self._not_before = 0.0
        self._renewals = 0
        self._last_order_at = -math.inf
        self._pending_reservations: list[tuple[Collection[str], Callable[[bool], None]]] = []
        self.fencing_token = 0
        self.order_schedule = OrderSchedule(lease_s)

    @property
    def position(self) -> StorePosition | None:
        """Position last written by this router while it holds the lease, else None."""
        return (
            None if self._observed is None or not self.is_held() else self._observed.stored.position
        )

    def _begin_era(self, _before: int) -> None:
        """End the lease: the store returned from a copy, whose holder may be an earlier one.

        Its last holder may not have noticed yet and act until the end of its last renewal.
        """
        self._era_free_from = self._loop.now() + self._lease_s + TAKEOVER_MARGIN_S
        self._held_at_change = self.is_held()
        self._other_held_since = False
        if self._held_at_change:
            log_warning("lease_lost_with_store", token=self.fencing_token)
        self._last_router = self.last_holder_address()
        self._observed = None
        self._held_until = 0.0
        self.order_schedule.cancel_all()
        self._finish_reservations(False)

    def _next_token(self) -> int:
        """Return a token above all that this router knows and above all of earlier eras."""
        return max(self._highest_token, self.fencing_token, self._eras.current * TOKENS_PER_ERA) + 1

    def _is_of_this_era(self, record: LeaseRecord) -> bool:
        """Return whether a lease object was written in this era; a copy's may be outdated."""
        return era_of_token(record.fencing_token) >= self._eras.current

    def _block_unknown_orders(self, seen_at: float) -> None:
        """Block all runners, any of which an unknown holder may have ordered until its lease ended.

        The router that held the lease when the era changed knows all orders of the last era.  If
        another one has held it since, a late write of the last era has replaced its record.

        Args:
            seen_at: when the present state of the lease object was first seen.
        """
        if self._other_held_since:
            self.order_schedule.block_all(seen_at + self._lease_s - HOLDER_MARGIN_S)
        elif not self._held_at_change:
            last_order_at = self._era_free_from - TAKEOVER_MARGIN_S - HOLDER_MARGIN_S
            self.order_schedule.block_all(last_order_at)

    def _record_holder(self, record: LeaseRecord) -> None:
        """Record the token of a holder, and whether another router holds the lease in this era."""
        self._highest_token = max(self._highest_token, record.fencing_token)
        if record.router != self._router and self._is_of_this_era(record):
            self._other_held_since = True

    def record_holder(self, record: RouterRecord) -> None:
        """Record the lease that another router says it holds."""
        if record.lease_revision:
            holder = f"{record.address}#{record.incarnation}"
            position = StorePosition(record.store_era, record.lease_revision)
            self.record_position(LeaseRecord(holder, record.lease_token), position)

    def is_held(self) -> bool:
        """Return whether this router may act on the lease now."""
        return self._loop.now() < self._held_until - HOLDER_MARGIN_S

    def last_holder_address(self) -> str | None:
        """Return the address of the last known holder, or None if there is none."""
        return self._last_router if self._observed is None else self._observed.record.router

    def may_order(self, instance: str) -> bool:
        """Return whether a runner may be ordered now."""
        now = self._loop.now()
        is_due = now >= self.order_schedule.earliest_order_at(instance)
        return self.is_held() and is_due and self.order_schedule.is_confirmed(instance)

    def reserve(self, instances: Collection[str], on_done: Callable[[bool], None]) -> None:
        """Store in the lease object that this router is going to order runners.

        Args:
            on_done: called with whether the reservation has been stored.
        """
        self.order_schedule.reserve(instances)
        self._pending_reservations.append((instances, on_done))
        if not self._is_call_pending and self.is_held():
            self._write(self.fencing_token)

    def record_order(self, instance: str) -> None:
        """Record that an order to a runner is sent, or may have arrived as late as now."""
        self._last_order_at = self._loop.now()
        self.order_schedule.record_order(instance, self._last_order_at)

    def record_position(self, record: LeaseRecord, position: StorePosition) -> None:
        """Record the position at which another router reports to have written the lease object.

        Positions of another era than the current one are ignored: that lease has ended.
        """
        self._record_holder(record)
        if self.is_held() or position.era != self._eras.current:
            return
        if self._observed is not None and position <= self._observed.stored.position:
            return
        stored = StoredObject(self._name, position.revision, None, position.era)
        self._observed = ObservedLease(stored, record, self._loop.now(), is_from_store=False)

    def acquire_or_renew(self, rank: int) -> None:
        """Acquire the lease or renew it if that is due.

        A router with a higher ``rank`` acquires a free lease later.
        """
        now = self._loop.now()
        observed = self._observed
        if self._is_call_pending or now < self._not_before:
            return
        if now < self._held_until:
            if now > self._held_until - self._lease_s / 2 or self._pending_reservations:
                self._write(self.fencing_token)
        elif observed is None:
            self._read()
        elif observed.record.holder == self._holder and self._is_of_this_era(observed.record):
            # No other router has acquired it since, so the token of this router is still valid.
            self._write(observed.record.fencing_token)
        elif now >= self._takeover_at(observed, rank):
            if not observed.is_from_store:
                self._read()
                return
            # Block earlier orders now: the write may succeed even if its response is lost.
            if self._is_of_this_era(observed.record):
                block_earlier_orders(self.order_schedule, observed, self._router, self._lease_s)
            else:
                self._block_unknown_orders(observed.first_seen_at)
            self.order_schedule.cancel_all()
            self._finish_reservations(False)
            self._write(self._next_token())

    def _takeover_at(self, observed: ObservedLease, rank: int) -> float:
        """Return when this router may take the lease over."""
        at = takeover_at(observed, self._router, rank, self._lease_s)
        if self._is_of_this_era(observed.record):
            return at
        return max(at, self._era_free_from + rank * RANK_DELAY_S)

    def release(self, on_released: Callable[[LeaseRecord, StorePosition], None]) -> None:
        """Release the lease if it is held.

        No orders may be given afterwards.  A failed write is not repeated; the lease then expires.

        Args:
            on_released: called with the record and position that other routers need to acquire it.
        """
        if not self.is_held() or self._is_call_pending:
            return
        # Without an order of its own, the last order was that of a previous holder.
        ordered_at = max(self._last_order_at, self.order_schedule.unblocked_at() - self._lease_s)
        idle_s = min(self._lease_s, self._loop.now() - ordered_at)
        self.order_schedule.cancel_all()
        record = attrs.evolve(self._new_record(self.fencing_token), released_idle_s=idle_s)
        self._held_until = 0.0
        self._not_before = math.inf

        def on_response(response: HttpResponse | None) -> None:
            if response is not None and response.status == 200:
                log_event("lease_released", token=record.fencing_token)
                stored = self._decode(response.body)
                if stored is not None:
                    on_released(record, stored.position)

        self._call(self._write_call(record), on_response)

    def _new_record(self, token: int) -> LeaseRecord:
        self._renewals += 1
        now = self._loop.now()
        return LeaseRecord(
            self._holder,
            token,
            self._renewals,
            pause_s=max(0.0, self.order_schedule.unblocked_at() - now),
            ages_ms=self._ages_ms(),
            ordered_ms=self.order_schedule.order_ages_ms(now),
        )

    def _read(self) -> None:
        self._call(self._dialect.read_object(Dataset.LEASES, self._name), self._on_read)

    def _write(self, token: int) -> None:
        record = self._new_record(token)
        sent_at = self._loop.now()
        self._call(
            self._write_call(record), lambda response: self._on_written(response, record, sent_at)
        )

    def _write_call(self, record: LeaseRecord) -> HttpCall:
        spec = self._dialect.lease_spec(record)
        if self._observed is None:
            return self._dialect.create_object(Dataset.LEASES, self._name, spec)
        return self._dialect.replace_object(Dataset.LEASES, self._observed.stored, spec)

    def _call(self, call: HttpCall, on_result: Callable[[HttpResponse | None], None]) -> None:
        self._is_call_pending = True

        def on_response(response: HttpResponse | None) -> None:
            self._is_call_pending = False
            on_result(response)

        self._store.call(call, CALL_TIMEOUT_S, on_response)

    def _on_read(self, response: HttpResponse | None) -> None:
        if response is not None and response.status == 404:
            self._create()
        elif response is not None and response.status == 200:
            self._observe(response)
        else:
            self._not_before = self._loop.now() + RETRY_PAUSE_S

    def _create(self) -> None:
        """Create the lease object, unless a holder of the last era may still act."""
        now = self._loop.now()
        if now < self._era_free_from:
            self._not_before = min(self._era_free_from, now + ABSENT_CHECK_S)
            return
        if self._eras.current != UNKNOWN_ERA:
            self._block_unknown_orders(now)
        self._write(self._next_token())

    def _on_written(
        self, response: HttpResponse | None, record: LeaseRecord, sent_at: float
    ) -> None:
        if response is not None and response.status in (200, 201):
            self._observe(response)
            self._held_until = sent_at + self._lease_s
            if record.fencing_token != self.fencing_token:
                pause_ms = round(record.pause_s * 1000)
                log_event("lease_taken", token=record.fencing_token, pause_ms=pause_ms)
            self.fencing_token = record.fencing_token
            self.order_schedule.confirm(record.ordered_ms)
            self._finish_reservations(True)
            return
        status = None if response is None else response.status
        log_warning("lease_write_failed", status=status, token=record.fencing_token)
        self._not_before = self._loop.now() + RETRY_PAUSE_S
        self._finish_reservations(False)
        # The content of the object is unknown now: read it again, and never reuse that token.
        self.fencing_token = max(self.fencing_token, record.fencing_token)
        if status not in (429, 503):
            self._observed = None
            if status == 409 and response is not None:
                self._observe(response)
                if self._observed is None or self._observed.record.holder != self._holder:
                    self._held_until = 0.0

    def _finish_reservations(self, is_stored: bool) -> None:
        """Report the outcome of pending reservations to their callers."""
        reservations, self._pending_reservations = self._pending_reservations, []
        for instances, on_done in reservations:
            if is_stored and any(
                self.order_schedule.is_unconfirmed(instance) for instance in instances
            ):
                self._pending_reservations.append((instances, on_done))
            else:
                on_done(is_stored)

    def _observe(self, response: HttpResponse) -> None:
        stored = self._decode(response.body)
        if stored is None:
            self._not_before = self._loop.now() + RETRY_PAUSE_S
            return
        seen_at = self._loop.now()
        if self._observed is not None and stored.position == self._observed.stored.position:
            seen_at = self._observed.first_seen_at
        record = decode_or_log(stored, self._dialect.read_lease) or LeaseRecord(
            "", self.fencing_token
        )
        self._observed = ObservedLease(stored, record, seen_at)
        self._record_holder(record)
        self._on_ages(record.ages_ms)

    def _decode(self, body: bytes) -> StoredObject | None:
        read_stored = self._dialect.read_stored
        return decode_or_log(body, lambda data: read_stored(data, self._eras.current))
