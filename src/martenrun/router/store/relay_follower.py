"""Follows another router's replicas of the platform's store, by long polling for changes."""

import zlib
from collections.abc import Callable

import msgspec

from martenrun.net.http import HttpResponse
from martenrun.net.loop import Loop
from martenrun.net.periodic import call_safely, record_failure
from martenrun.router.log import log_warning
from martenrun.router.messages import Dataset, HttpCall, StoredObject, StorePosition
from martenrun.router.store.client import HttpClient
from martenrun.router.store.eras import UNKNOWN_ERA
from martenrun.router.store.relay import Replicas
from martenrun.router.store.relay_messages import (
    ENCODE,
    FOLLOW_PATH,
    REFUSAL_DECODER,
    RESPONSE_DECODER,
    FollowQuery,
    FollowResponse,
    RelayedDataset,
    RelayedObject,
    decode_objects,
)
from martenrun.router.store.replica import DatasetReplica, Deletion

HOLD_S = 0.8
"""How long the other router may delay a response while nothing has changed, in seconds."""

RESPONSE_TIMEOUT_S = 0.6
"""Timeout for the start of a response beyond that, in seconds."""

INITIAL_TIMEOUT_S = 0.4
"""Timeout for the start of a response to a router that has no state yet, in seconds."""


class RelayFollower:
    """Keeps replicas current from another router while running.

    Args:
        source: returns the address of the router to query now, or None.
        on_applied: called after each response that was applied completely.
        on_failed: called with the address of a router to which a query failed, and whether that
            router reported that it has lost the store.
        on_part: called whenever a part of a response arrives.
        make_client: creates the client for one address.
    """

    def __init__(
        self,
        loop: Loop,
        replicas: Replicas,
        source: Callable[[], str | None],
        on_applied: Callable[[], None],
        on_failed: Callable[[str, bool], None],
        on_part: Callable[[], None] = lambda: None,
        make_client: Callable[[Loop, str], HttpClient] = HttpClient,
    ) -> None:
        self._loop = loop
        self._on_part = on_part
        self._replicas = replicas
        self._source = source
        self._make_client = make_client
        self._on_applied = on_applied
        self._on_failed = on_failed
        self._clients: dict[str, HttpClient] = {}
        self._address = ""
        self._incarnation = 0
        self._sequence_numbers: dict[str, int] = {}
        self._is_querying = False
        self._reader_response_at: float | None = None
        self.is_running = False

    def follows_reader(self) -> bool:
        """Return whether the router that this one follows is a store reader and responds."""
        responded_at = self._reader_response_at
        if not self.is_running or responded_at is None:
            return False
        return self._loop.now() - responded_at <= HOLD_S + RESPONSE_TIMEOUT_S

    def start(self) -> None:
        """Start to follow, unless already running."""
        self.is_running = True
        if not self._is_querying:
            self._send_query()

    def stop(self) -> None:
        """Stop; a pending response is still applied."""
        self.is_running = False

    def _send_query(self) -> None:
        address = self._source()
        if not self.is_running or address is None:
            self._is_querying = False
            return
        if address != self._address:
            self._address = address
            self._incarnation = 0
            self._sequence_numbers = {}
        is_new = not all(replica.is_loaded for replica in self._replicas.values())
        query = FollowQuery(self._incarnation, self._sequence_numbers, int(HOLD_S * 1000), is_new)
        call = HttpCall(b"POST", FOLLOW_PATH, [], ENCODE(query))
        self._is_querying = True
        sent_at = self._loop.now()
        client = self._clients.get(address)
        if client is None:
            client = self._clients[address] = self._make_client(self._loop, address)
        # A router without state gets its response at once or not at all.
        client.call(
            call,
            INITIAL_TIMEOUT_S if is_new else HOLD_S + RESPONSE_TIMEOUT_S,
            lambda response: self._on_response(response, address, sent_at),
            self._record_part,
        )

    def _record_part(self) -> None:
        """Record that a part of a large response arrived, so its sender is alive."""
        if self._reader_response_at is not None:
            self._reader_response_at = self._loop.now()
        self._on_part()

    def _on_response(self, response: HttpResponse | None, address: str, sent_at: float) -> None:
        self._is_querying = False
        if response is None or response.status != 200:
            status = None if response is None else response.status
            log_warning("relay_lost", address=address, status=status)
            self._reader_response_at = None
            self._on_failed(address, response is not None and _reports_lost_store(response))
            return
        try:
            is_applied = self._apply_response(response, address, sent_at)
        except Exception as exc:
            record_failure("apply_relayed", exc)
            is_applied = False
        if not is_applied:
            self._reader_response_at = None
            self._on_failed(address, False)
            return
        call_safely("state_applied", self._on_applied)
        self._send_query()

    def _apply_response(self, response: HttpResponse, address: str, sent_at: float) -> bool:
        """Apply a response; return False if it is unreadable or not comparable."""
        try:
            relayed = RESPONSE_DECODER.decode(response.body)
            objects = {
                name: decode_objects(item.objects) for name, item in relayed.datasets.items()
            }
        except (msgspec.MsgspecError, zlib.error):
            log_warning("relay_unreadable", address=address)
            return False
        if not self._observe_eras(relayed):
            log_warning("relay_without_era", address=address)
            return False
        self._incarnation = relayed.incarnation
        self._reader_response_at = self._loop.now() if relayed.is_reader else None
        for name, dataset in relayed.datasets.items():
            not_before = sent_at + relayed.held_ms / 1000.0
            self._apply(self._replicas[Dataset(name)], dataset, objects[name], not_before)
            self._sequence_numbers[name] = dataset.sequence_number
        return True

    def _observe_eras(self, relayed: FollowResponse) -> bool:
        """Record the eras that a router names; return False if it does not know them.

        Its state is not comparable then: an earlier version does not notice when eras change.
        """
        eras = self._replicas[Dataset.CONFIGURATION].eras
        era = max((item.era for item in relayed.datasets.values()), default=UNKNOWN_ERA)
        if era == UNKNOWN_ERA:
            return eras.current == UNKNOWN_ERA
        eras.observe(era, "router")
        eras.merge(StorePosition(*item) for item in relayed.first_positions)
        return True

    def _apply(
        self,
        replica: DatasetReplica,
        relayed: RelayedDataset,
        objects: list[RelayedObject],
        not_before: float,
    ) -> None:
        """Apply one dataset; the response was sent at ``not_before`` or later."""
        now = self._loop.now()
        position = StorePosition(relayed.era, relayed.revision)
        changed = [
            StoredObject(item.name, item.revision, item.spec, item.era)
            for item in objects
            if item.revision
        ]
        deletions = {
            item.name: Deletion(StorePosition(item.era, item.revision), now - item.age_ms / 1000.0)
            for item in relayed.deletions
        }
        if replica.position is not None and position < replica.position:
            # That router is behind: its changes are outdated, and so is its age.
            if position.era < replica.position.era:
                replica.merge_earlier(changed, deletions, now)
            return
        missing = {
            item.name: now - item.missing_ms / 1000.0
            for item in objects
            if item.missing_ms is not None
        }
        if relayed.is_snapshot:
            replica.replace(changed, position, False, now, missing)
            replica.merge_earlier([], deletions, now)
        else:
            removed = [item for item in objects if not item.revision]
            deleted = [item.name for item in removed if not item.is_lapsed]
            lapsed = [item.name for item in removed if item.is_lapsed]
            replica.apply(changed, deleted, position, False, now, missing, lapsed)
        replica.confirm(not_before - relayed.age_ms / 1000.0)


def _reports_lost_store(response: HttpResponse) -> bool:
    try:
        return REFUSAL_DECODER.decode(response.body).has_lost_store
    except msgspec.MsgspecError:
        return False
