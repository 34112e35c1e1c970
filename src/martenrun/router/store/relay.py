"""Relays store state between routers, so that only a few of them read the platform's store.

A router that is no store reader asks a reader for the changes after a sequence number of the
reader's replica.  The response is delayed until there is a change and contains the age of the
state.  This module is the serving side; :mod:`martenrun.router.store.relay_follower` is the client.
"""

from collections.abc import Callable, Mapping

import msgspec

from martenrun.net.exchange import Exchange
from martenrun.net.loop import Loop, Timer
from martenrun.net.periodic import call_safely
from martenrun.router.messages import Dataset, StoredObject, StorePosition
from martenrun.router.store.relay_messages import (
    ENCODE,
    FOLLOW_PATH,
    QUERY_DECODER,
    FollowQuery,
    FollowRefusal,
    FollowResponse,
    RelayedDataset,
    RelayedDeletion,
    RelayedObject,
    encode_objects,
)
from martenrun.router.store.replica import Change, DatasetReplica

MAX_RELAYED_AGE_S = 3.0
"""Age from which state is no longer relayed, in seconds."""

Replicas = Mapping[Dataset, DatasetReplica]


MAXIMUM_HOLD_S = 10.0
"""Longest time for which a query waits for a change, in seconds."""


class PendingQuery:
    """A query whose response waits for a change.

    Attributes:
        timer: ends the wait; None before it begins.
    """

    def __init__(self, exchange: Exchange, query: FollowQuery, received_at: float) -> None:
        self.exchange = exchange
        self.query = query
        self.received_at = received_at
        self.timer: Timer | None = None


class RelayServer:
    """Serves queries of other routers from this router's replicas.

    Args:
        incarnation: of this router; sequence numbers of other incarnations are not comparable.
        may_relay: whether this router is current, as a reader or by following one.
        has_lost_store: whether its requests to the store fail.
        reads_store: whether it reads the store itself.
    """

    def __init__(
        self,
        loop: Loop,
        replicas: Replicas,
        incarnation: int,
        may_relay: Callable[[], bool],
        has_lost_store: Callable[[], bool],
        reads_store: Callable[[], bool],
    ) -> None:
        self._loop = loop
        self._replicas = replicas
        self._incarnation = incarnation
        self._may_relay = may_relay
        self._has_lost_store = has_lost_store
        self._reads_store = reads_store
        self._pending: set[PendingQuery] = set()
        self._changes = {dataset: EncodedChanges(replica) for dataset, replica in replicas.items()}

    def serve(self, exchange: Exchange) -> None:
        """Respond to a query, at once or after the next change."""
        try:
            query = QUERY_DECODER.decode(exchange.request.body)
        except msgspec.MsgspecError:
            exchange.respond(400, [])
            return
        if exchange.request.target != FOLLOW_PATH or not self._may_respond(query):
            self._refuse(exchange)
            return
        pending = PendingQuery(exchange, query, self._loop.now())
        if query.incarnation != self._incarnation or self._has_changed(query):
            self._respond(pending)
            return
        hold_s = max(0.0, min(MAXIMUM_HOLD_S, query.hold_ms / 1000.0))
        pending.timer = self._loop.call_later(hold_s, lambda: self._respond(pending))
        self._pending.add(pending)
        exchange.on_disconnect = lambda: self._end(pending)

    def refuse_pending(self) -> None:
        """Refuse all waiting queries, because this router has lost the store."""
        for pending in list(self._pending):
            self._respond(pending)

    def respond_with_changes(self) -> None:
        """Respond to waiting queries for which there are changes."""
        for pending in [pending for pending in self._pending if self._has_changed(pending.query)]:
            self._respond(pending)

    def _refuse(self, exchange: Exchange) -> None:
        exchange.respond(503, [], ENCODE(FollowRefusal(self._has_lost_store())))

    def _may_respond(self, query: FollowQuery) -> bool:
        if self._may_relay():
            return True
        return query.accepts_stale and all(replica.is_loaded for replica in self._replicas.values())

    def _has_changed(self, query: FollowQuery) -> bool:
        return any(
            query.sequence_numbers.get(dataset.value) != replica.sequence_number
            for dataset, replica in self._replicas.items()
        )

    def _end(self, pending: PendingQuery) -> None:
        """End the wait of a query, so that nothing refers to it any more."""
        self._pending.discard(pending)
        if pending.timer is not None:
            pending.timer.cancel()

    def _respond(self, pending: PendingQuery) -> None:
        self._end(pending)
        if pending.exchange.is_over:
            return
        if not self._may_respond(pending.query):
            self._refuse(pending.exchange)
        elif not call_safely("relay_state", self._send_state, pending):
            # The other router asks another one, or the store.
            self._refuse(pending.exchange)

    def _send_state(self, pending: PendingQuery) -> None:
        now = self._loop.now()
        query = pending.query
        sequence_numbers = query.sequence_numbers if query.incarnation == self._incarnation else {}
        datasets = {
            dataset.value: self._build_dataset(dataset, sequence_numbers.get(dataset.value), now)
            for dataset in self._replicas
        }
        held_ms = int((now - pending.received_at) * 1000)
        eras = self._replicas[Dataset.CONFIGURATION].eras
        first_positions = [(item.era, item.revision) for item in eras.first_positions()]
        response = FollowResponse(
            self._incarnation, held_ms, datasets, self._reads_store(), first_positions
        )
        pending.exchange.respond(200, [], ENCODE(response))

    def _build_dataset(
        self, dataset: Dataset, sequence_number: int | None, now: float
    ) -> RelayedDataset:
        replica = self._replicas[dataset]
        objects, is_snapshot = self._changes[dataset].after(sequence_number, now)
        confirmed_at = now if replica.confirmed_at is None else replica.confirmed_at
        position = replica.position or StorePosition(0, 0)
        return RelayedDataset(
            sequence_number=replica.sequence_number,
            revision=position.revision,
            age_ms=int((now - confirmed_at) * 1000) + 1,
            is_snapshot=is_snapshot,
            objects=objects,
            era=position.era,
            deletions=_relayed_deletions(replica, now) if is_snapshot else [],
        )


class EncodedChanges:
    """Encodes each range of changes of a replica once for all followers that request it."""

    def __init__(self, replica: DatasetReplica) -> None:
        self._replica = replica
        self._sequence_number = -1
        self._encoded: dict[int | None, tuple[bytes, bool]] = {}

    def after(self, sequence_number: int | None, now: float) -> tuple[bytes, bool]:
        """Return the changes after a sequence number, and whether they are a snapshot."""
        replica = self._replica
        if self._sequence_number != replica.sequence_number:
            self._sequence_number = replica.sequence_number
            self._encoded.clear()
        found = self._encoded.get(sequence_number)
        if found is None:
            changes = None if sequence_number is None else replica.changes_after(sequence_number)
            found = encode_objects(_relayed_objects(replica, changes, now)), changes is None
            if not replica.has_missing:
                # The time for which an object has been missing differs in each response.
                self._encoded[sequence_number] = found
        return found


def _relayed_objects(
    replica: DatasetReplica, changes: list[Change] | None, now: float
) -> list[RelayedObject]:
    if changes is None:
        return [_relayed_object(replica, item, now) for item in replica.objects]
    newest = {change.name: change for change in changes}
    return [
        RelayedObject(change.name, 0, None, is_lapsed=change.is_lapsed)
        if change.stored is None
        else _relayed_object(replica, change.stored, now)
        for change in newest.values()
    ]


def _relayed_deletions(replica: DatasetReplica, now: float) -> list[RelayedDeletion]:
    return [
        RelayedDeletion(
            name, item.position.era, item.position.revision, int((now - item.at) * 1000)
        )
        for name, item in replica.deletions.items()
    ]


def _relayed_object(replica: DatasetReplica, stored: StoredObject, now: float) -> RelayedObject:
    since = replica.missing_since(stored.name)
    missing_ms = None if since is None else int((now - since) * 1000)
    return RelayedObject(stored.name, stored.revision, stored.spec, missing_ms, stored.era)
