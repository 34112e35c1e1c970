"""A lease in the platform's store, taken and renewed under its revision.

The holder counts from the sending of its last successful write; others wait for the whole lease
from when they first saw the revision that they replace.  Each take-over raises the fencing token.
"""

from collections.abc import Callable

from martenrun.net.http import HttpAnswer
from martenrun.net.loop import Loop
from martenrun.router.dialect import Dialect
from martenrun.router.log import log_event, log_trouble
from martenrun.router.messages import Dataset, HttpCall, LeaseRecord, StoredObject
from martenrun.router.store_client import HttpCaller

CALL_TIMEOUT_S = 0.7
"""How long a call about the lease waits for its answer, in seconds."""

HOLDER_MARGIN_S = 0.4
"""How long before its end the holder no longer acts on the lease, in seconds."""

TAKER_MARGIN_S = 0.15
"""How long after its end another takes it over, in seconds."""

RANK_DELAY_S = 0.25
"""How much later each next router takes over an expired lease, in seconds."""

PAUSE_S = 0.15
"""Pause after a call that failed or found the lease held, in seconds."""


class Lease:
    """One lease, as one router sees it.

    Args:
        name: name of the lease object.
        holder: what this life of this router calls itself.
        lease_s: length of the lease, in seconds.

    Attributes:
        fencing_token: token to be used while it is held.
        orders_from: steady time before which a new holder gives no orders.
    """

    def __init__(
        self,
        loop: Loop,
        store: HttpCaller,
        dialect: Dialect,
        name: str,
        holder: str,
        lease_s: float,
    ) -> None:
        self._loop = loop
        self._store = store
        self._dialect = dialect
        self._name = name
        self._holder = holder
        self._lease_s = lease_s
        self._seen: StoredObject | None = None
        self._seen_at = 0.0
        self._seen_record: LeaseRecord | None = None
        self._held_until = 0.0
        self._is_calling = False
        self._not_before = 0.0
        self._renewals = 0
        self.fencing_token = 0
        self.orders_from = 0.0

    @property
    def revision(self) -> int:
        """Revision last written by this router while it holds the lease, else 0."""
        return 0 if self._seen is None or not self.is_held() else self._seen.revision

    def is_held(self) -> bool:
        """Return whether this router may act on the lease now."""
        return self._loop.now() < self._held_until - HOLDER_MARGIN_S

    def last_holder(self) -> str | None:
        """Return who was last seen to hold it."""
        return None if self._seen_record is None else self._seen_record.holder

    def note_revision(self, record: LeaseRecord, revision: int) -> None:
        """Take in that another router tells of a revision that it has written."""
        if self.is_held() or (self._seen is not None and revision <= self._seen.revision):
            return
        self._seen = StoredObject(self._name, revision, None)
        self._seen_record = record
        self._seen_at = self._loop.now()

    def pursue(self, rank: int) -> None:
        """Take the lease or renew it, as far as it is time for that.

        A router takes an expired lease the later, the higher its ``rank``.
        """
        now = self._loop.now()
        if self._is_calling or now < self._not_before:
            return
        if now < self._held_until:
            if now > self._held_until - self._lease_s / 2:
                self._write(self.fencing_token)
            return
        if self._seen is None:
            self._call(self._dialect.read_object(Dataset.LEASES, self._name), self._on_read)
        elif self._seen_record is not None and self._seen_record.holder == self._holder:
            # Nobody has taken it since: it is still this router's under its own token.
            self._write(self._seen_record.fencing_token)
        elif now - self._seen_at >= self._lease_s + TAKER_MARGIN_S + rank * RANK_DELAY_S:
            token = self._seen_record.fencing_token if self._seen_record is not None else 0
            self._write(max(token, self.fencing_token) + 1)

    def _write(self, token: int) -> None:
        self._renewals += 1
        record = LeaseRecord(self._holder, token, self._renewals)
        spec = self._dialect.lease_spec(record)
        if self._seen is None:
            call = self._dialect.create_object(Dataset.LEASES, self._name, spec)
        else:
            call = self._dialect.replace_object(Dataset.LEASES, self._seen, spec)
        sent_at = self._loop.now()
        self._call(call, lambda answer: self._on_written(answer, record, sent_at))

    def _order_pause_s(self, record: LeaseRecord) -> float:
        """Return how long a new holder gives no orders, in seconds.

        The last order of the one before may have come shortly before its lease ended; orders of
        two holders must lie the whole length of the lease apart.
        """
        is_first = record.fencing_token == 1
        return 0.0 if is_first else self._lease_s - HOLDER_MARGIN_S - TAKER_MARGIN_S

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
                log_event("lease_taken", token=record.fencing_token)
                self.orders_from = self._loop.now() + self._order_pause_s(record)
            self.fencing_token = record.fencing_token
            return
        status = None if answer is None else answer.status
        log_trouble("lease_write_failed", status=status, token=record.fencing_token)
        self._not_before = self._loop.now() + PAUSE_S
        # What the object holds now is not known: read it again, and never use that token again.
        self.fencing_token = max(self.fencing_token, record.fencing_token)
        if status not in (429, 503):
            self._seen = None
            if status == 409 and answer is not None:
                self._see(answer)
                if self._seen_record is None or self._seen_record.holder != self._holder:
                    self._held_until = 0.0

    def _see(self, answer: HttpAnswer) -> None:
        stored = self._dialect.read_stored(answer.body)
        if self._seen is None or stored.revision != self._seen.revision:
            self._seen_at = self._loop.now()
        self._seen = stored
        try:
            self._seen_record = self._dialect.read_lease(stored)
        except (KeyError, TypeError, ValueError):
            self._seen_record = LeaseRecord("", self.fencing_token)
