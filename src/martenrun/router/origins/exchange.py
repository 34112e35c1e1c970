"""Shares the origins of streams with the routers that keep them, and finds those of others."""

import functools
import itertools
import random
from collections.abc import Callable
from typing import Protocol

import attrs

from martenrun.net.loop import Loop, Timer
from martenrun.router.log import log_event
from martenrun.router.origins.messages import (
    OriginMessage,
    OriginQuery,
    OriginRecord,
    OriginResponse,
    OriginUpdate,
)
from martenrun.router.origins.owners import OriginOwners
from martenrun.router.origins.table import SLOTS, OriginTable, StreamOrigin

BATCH_DELAY_S = 0.005
"""How long new origins are collected before they are sent, in seconds.

Much shorter than the time to the first event of a stream.
"""

REPEAT_DELAY_S = 0.05
"""Time after which a changed origin is sent once more, in seconds.

A router that missed the change would name the wrong software version, one that missed a new origin
only knows nothing.
"""

EXPIRY_INTERVAL_S = 1.0
"""How often expired origins are dropped, in seconds."""

RECORDS_PER_DATAGRAM = 200
"""Maximum number of origins in one datagram, about 50 bytes each."""

RESPONSE_TIMEOUT_S = 0.08
"""Time after which further routers are asked, in seconds."""

MAXIMUM_ASKED = 32
"""Maximum number of routers that are asked once the owners did not know a stream."""

MAXIMUM_WIDE_QUERIES_PER_S = 50
"""Maximum number of streams per second for which more routers than the owners are asked.

Callers can name streams that never existed.
"""

NUMBER_BITS = 48
"""Queries are numbered from a random number, so that responses to a former process fit none."""

MS_PER_S = 1000.0


class OriginPeers(Protocol):
    """The required access to the other routers."""

    def send(self, addresses: list[str], message: OriginMessage) -> None:
        """Send a message to some routers."""


@attrs.define(eq=False)
class Query:
    """A search for a stream's origin.

    Attributes:
        on_found: called once with the origin, or None if no router knows the stream.
        unanswered: the routers whose responses are awaited.
        asked: all routers that were asked.
        responses: number of responses.
        found_at: the router whose response named the origin, or None.
        is_wide: whether more routers than the owners are asked.
    """

    key: int
    on_found: Callable[[StreamOrigin | None], None]
    unanswered: set[str]
    asked: set[str] = attrs.field(factory=set)
    is_wide: bool = False
    timer: Timer | None = None
    responses: int = 0
    found_at: str | None = None


class OriginExchange:
    """The origins that this router keeps, and the search for others.

    Args:
        own_address: internal address of this router.
        needs_sharing: returns whether a router that resumes a stream of a service may have to know
            the software version that began it.
    """

    def __init__(
        self,
        loop: Loop,
        peers: OriginPeers,
        own_address: str,
        owners: OriginOwners,
        needs_sharing: Callable[[str], bool],
    ) -> None:
        self._loop = loop
        self._peers = peers
        self._own = own_address
        self._owners = owners
        self._needs_sharing = needs_sharing
        self._table = OriginTable()
        self._outgoing: dict[str, dict[int, StreamOrigin]] = {}
        self._numbers = itertools.count(random.getrandbits(NUMBER_BITS))
        self._queries: dict[int, Query] = {}
        self._expired_at = 0.0
        self._wide_second = 0
        self._wide_count = 0

    def __len__(self) -> int:
        return len(self._table)

    def record(self, key: int, origin: StreamOrigin, must_share: bool = False) -> None:
        """Record the runner that a stream is sent to, before its first event.

        Args:
            must_share: whether it is shared even if its service has a single software version.
        """
        known = self._table.get(key, self._loop.now())
        is_changed = known is not None and known.software != origin.software
        if known is not None and is_changed:
            # Two sends may fall into the same millisecond.
            origin.sent_after_ms = max(origin.sent_after_ms, known.sent_after_ms + 1)
        origin.is_own = True
        kept = self._table.put(key, origin)
        if not must_share and not self._needs_sharing(kept.service):
            return
        self._share(key, kept)
        if is_changed:
            self._loop.call_later(REPEAT_DELAY_S, lambda: self._share(key, kept))

    def lookup(self, key: int) -> StreamOrigin | None:
        """Return the origin of a stream that this router sent to a runner itself, else None."""
        origin = self._known(key)
        return origin if origin is not None and origin.is_own else None

    def disown(self, key: int) -> None:
        """Record that another router may send a stream again that this one sent."""
        origin = self._known(key)
        if origin is not None:
            origin.is_own = False

    def find(self, key: int, on_found: Callable[[StreamOrigin | None], None]) -> None:
        """Find the origin of a stream; the callback may be called before this returns.

        All routers that keep it are asked, as one of them may have missed a later send.
        """
        origin = self.lookup(key)
        if origin is not None:
            on_found(origin)
            return
        owners = set(self._owners.owners(key % SLOTS)) - {self._own}
        self._ask(Query(key, on_found, owners))

    def run_maintenance(self) -> None:
        """Drop expired origins; share those that new owners, or all owners, do not have yet."""
        now = self._loop.now()
        if now - self._expired_at >= EXPIRY_INTERVAL_S:
            self._expired_at = now
            self._table.drop_expired(now)
        has_changed = self._owners.take_change()
        needs_sharing = functools.cache(self._needs_sharing)
        for slot in self._table.slots():
            new_owners = self._owners.new_owners(slot) if has_changed else []
            for key, origin in self._table.items(slot):
                if origin.is_shared and not new_owners:
                    continue
                if not needs_sharing(origin.service):
                    continue
                if origin.is_shared:
                    self._send_later(new_owners, key, origin)
                else:
                    self._share(key, origin)

    # Messages

    def handle_message(self, message: OriginMessage) -> None:
        """Handle a message from another router."""
        if isinstance(message, OriginUpdate):
            for record in message.records:
                self._put_record(record)
        elif isinstance(message, OriginQuery):
            origin = self._known(message.key)
            found = None if origin is None else self._record_of(message.key, origin)
            response = OriginResponse(message.number, self._own, found)
            self._peers.send([message.requester], response)
        else:
            self._handle_response(message)

    def _handle_response(self, response: OriginResponse) -> None:
        if response.record is not None:
            self._put_record(response.record)
        query = self._queries.get(response.number)
        if query is None:
            return
        query.unanswered.discard(response.sender)
        query.responses += 1
        if response.record is not None and response.record.key == query.key:
            query.found_at = response.sender
        if not query.unanswered:
            self._ask_further(response.number)

    # Sharing

    def _share(self, key: int, origin: StreamOrigin) -> None:
        owners = [address for address in self._owners.owners(key % SLOTS) if address != self._own]
        origin.is_shared = bool(owners)
        self._send_later(owners, key, origin)

    def _send_later(self, addresses: list[str], key: int, origin: StreamOrigin) -> None:
        if not self._outgoing and addresses:
            self._loop.call_later(BATCH_DELAY_S, self._flush)
        for address in addresses:
            self._outgoing.setdefault(address, {})[key] = origin

    def _flush(self) -> None:
        outgoing, self._outgoing = self._outgoing, {}
        for address, origins in outgoing.items():
            records = [self._record_of(key, origin) for key, origin in origins.items()]
            for first in range(0, len(records), RECORDS_PER_DATAGRAM):
                update = OriginUpdate(records[first : first + RECORDS_PER_DATAGRAM])
                self._peers.send([address], update)

    # Searching

    def _ask(self, query: Query) -> None:
        number = next(self._numbers)
        self._queries[number] = query
        query.asked |= query.unanswered
        if not query.unanswered:
            self._ask_further(number)
            return
        query.timer = self._loop.call_later(RESPONSE_TIMEOUT_S, lambda: self._ask_further(number))
        self._peers.send(sorted(query.unanswered), OriginQuery(self._own, number, query.key))

    def _ask_further(self, number: int) -> None:
        """If no origin is known, ask routers beside the owners, and silent owners, once."""
        query = self._queries.get(number)
        if query is None:
            return
        origin = self._known(query.key)
        if origin is not None or query.is_wide or not self._may_ask_widely():
            self._end(number, origin)
            return
        others = [address for address in self._owners.others() if address not in query.asked]
        targets = query.unanswered | set(others[:MAXIMUM_ASKED])
        if not targets:
            self._end(number, None)
            return
        self._close(number)
        wide = attrs.evolve(query, unanswered=targets, is_wide=True, timer=None)
        self._ask(wide)

    def _may_ask_widely(self) -> bool:
        second = int(self._loop.now())
        if second != self._wide_second:
            self._wide_second, self._wide_count = second, 0
        self._wide_count += 1
        return self._wide_count <= MAXIMUM_WIDE_QUERIES_PER_S

    def _end(self, number: int, origin: StreamOrigin | None) -> None:
        query = self._close(number)
        if query is None:
            return
        log_event(
            "stream_origin_searched",
            key=f"{query.key:016x}",
            asked=len(query.asked),
            responses=query.responses,
            found_at=query.found_at,
        )
        query.on_found(origin)

    def _close(self, number: int) -> Query | None:
        query = self._queries.pop(number, None)
        if query is not None and query.timer is not None:
            query.timer.cancel()
        return query

    # Records

    def _known(self, key: int) -> StreamOrigin | None:
        origin = self._table.get(key, self._loop.now())
        return None if origin is None or not origin.software else origin

    def _put_record(self, record: OriginRecord) -> None:
        expires_at = self._loop.now() + record.left_ms / MS_PER_S
        origin = StreamOrigin(
            record.service, record.software, record.sent_after_ms, expires_at, is_shared=True
        )
        self._table.put(record.key, origin)

    def _record_of(self, key: int, origin: StreamOrigin) -> OriginRecord:
        left_ms = max(0, round((origin.expires_at - self._loop.now()) * MS_PER_S))
        return OriginRecord(key, origin.service, origin.software, origin.sent_after_ms, left_ms)
