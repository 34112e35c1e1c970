"""Peer addresses in the platform's store, for routers whose seeds are all dead.

Seeds are fixed when a router starts and may all have been replaced by then.  A router without peers
would act as the only one: it would own every tenant's account and the whole retry budget.  One of
the store readers keeps the object with the addresses current; an isolated router reads it and
sends its record to the addresses found there.
"""

import random
from collections.abc import Callable, Sequence

import attrs

from martenrun.net.http import STATUS_OK, HttpResponse
from martenrun.net.loop import Loop
from martenrun.net.periodic import PeriodicCall
from martenrun.router.log import log_event, log_warning
from martenrun.router.messages import Dataset, HttpCall, StoredObject
from martenrun.router.peers import Peers
from martenrun.router.platform_adapter import PlatformAdapter
from martenrun.router.store.client import StoreClient
from martenrun.router.store.state import decode_or_log

OBJECT_NAME = "main"

MAX_STORED_ADDRESSES = 8
"""Maximum number of addresses in the store."""

CHECK_S = 0.5
"""How often a router checks whether it is isolated or has to write, in seconds."""

CALL_TIMEOUT_S = 0.7
"""Timeout of a call to the store, in seconds."""

RETRY_PAUSE_S = 1.0
"""Minimum time between two calls of one router, in seconds."""

REREAD_S = 5.0
"""How often the writer rereads the object, in seconds: routers unknown to it may write as well."""

SEARCH_S = 0.5
"""How long a router that starts waits for responses from stored addresses, in seconds."""

RESPONSE_GRACE_S = 2.0
"""How long a stored address may stay unresponsive before it is replaced, in seconds."""

STATUS_CREATED = 201
STATUS_NOT_FOUND = 404
STATUS_CONFLICT = 409


@attrs.frozen
class StoredAddresses:
    """The object as last read or written; ``read_at`` is monotonic time, in seconds."""

    stored: StoredObject | None
    addresses: tuple[str, ...]
    read_at: float


def choose_addresses(
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
    return tuple((kept + added)[:MAX_STORED_ADDRESSES])


class PeerAddressDirectory:
    """Reads the stored addresses while this router is isolated, otherwise keeps them current.

    Args:
        reads_store: whether this router is a store reader.
        must_wait: returns whether other objects must be written first.  The addresses tell routers
            that start that this deployment is not new.
    """

    def __init__(
        self,
        loop: Loop,
        store: StoreClient,
        adapter: PlatformAdapter,
        peers: Peers,
        reads_store: Callable[[], bool],
        rng: random.Random | None = None,
        must_wait: Callable[[], bool] = lambda: False,
    ) -> None:
        self._loop = loop
        self._store = store
        self._adapter = adapter
        self._peers = peers
        self._reads_store = reads_store
        self._rng = rng or random.Random()
        self._must_wait = must_wait
        self._known: StoredAddresses | None = None
        self._is_calling = False
        self._next_call_at = 0.0
        self._is_resolved = False
        self._was_absent: bool | None = None
        self._checks = PeriodicCall(
            loop, "peer_addresses", lambda: CHECK_S * self._rng.uniform(0.8, 1.2), self._check
        )

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
                not self._other_addresses(known.addresses) or waited_s >= RESPONSE_GRACE_S
            )
            self._is_resolved = is_alone or bool(self._peers.live())
        return self._is_resolved

    @property
    def was_absent(self) -> bool | None:
        """Whether the store had no addresses when this router started; None if unknown."""
        return self._was_absent

    @property
    def is_writer(self) -> bool:
        """Whether this router is the one that writes, as far as it knows."""
        if not self._reads_store():
            return False
        readers = [item.address for item in self._peers.live() if item.reads_store]
        return self._peers.own.address <= min(readers, default=self._peers.own.address)

    def has_found_peers(self) -> bool:
        """Return whether each stored address is alive or has not responded in time.

        Reads the object if it is unknown.
        """
        now = self._loop.now()
        known = self._known
        if known is None:
            if not self._is_calling and now >= self._next_call_at:
                self._read()
            return False
        living = {record.address for record in self._peers.live()}
        has_found_all = living.issuperset(self._other_addresses(known.addresses))
        return has_found_all or now - known.read_at >= SEARCH_S

    def begin_era(self, _before: int) -> None:
        """Read the object again before the next write: the store returned from an older copy."""
        self._known = None

    def start(self) -> None:
        """Start the periodic checks."""
        self._checks.start_later()

    def _check(self) -> None:
        now = self._loop.now()
        if not self._is_calling and now >= self._next_call_at:
            self._read_or_write(now)

    def _read_or_write(self, now: float) -> None:
        known = self._known
        is_writer = self.is_writer
        is_isolated = not self._peers.live()
        if (is_writer or is_isolated) and (known is None or now - known.read_at >= REREAD_S):
            self._read()
            return
        if known is None or not is_writer or self._peers.own.is_leaving:
            return
        target = self._target_addresses(known, now)
        if set(target) != set(known.addresses) and not self._must_wait():
            self._write(known, target)

    def _target_addresses(self, known: StoredAddresses, now: float) -> tuple[str, ...]:
        records = [item for item in self._peers.live() if not item.is_leaving]
        alive = [self._peers.own.address, *sorted(item.address for item in records)]
        has_time = now - known.read_at < RESPONSE_GRACE_S
        return choose_addresses(known.addresses, alive, known.addresses if has_time else ())

    def _other_addresses(self, addresses: Sequence[str]) -> list[str]:
        return [address for address in addresses if address != self._peers.own.address]

    def _read(self) -> None:
        self._call(self._adapter.read_object(Dataset.PEER_ADDRESSES, OBJECT_NAME), self._on_read)

    def _on_read(self, response: HttpResponse | None) -> None:
        if response is not None and response.status == STATUS_NOT_FOUND:
            self._known = StoredAddresses(None, (), self._loop.now())
            self._was_absent = self._was_absent in (None, True)
        elif response is not None and response.status == STATUS_OK:
            self._apply_stored(response)
        else:
            log_warning("contacts_not_read", status=None if response is None else response.status)

    def _apply_stored(self, response: HttpResponse) -> None:
        """Merge the stored object and send the own record to the unknown routers it lists."""
        now = self._loop.now()
        self._was_absent = self._was_absent or False
        read_stored = self._adapter.read_stored
        stored = decode_or_log(response.body, lambda data: read_stored(data, self._store.era))
        if stored is None:
            return
        addresses = tuple(decode_or_log(stored, self._adapter.read_peer_addresses) or ())
        self._known = StoredAddresses(stored, addresses, now)
        known = self._peers.table.addresses()
        unknown = [address for address in self._other_addresses(addresses) if address not in known]
        if unknown:
            log_event("contacts_tried", addresses=",".join(unknown))
            self._peers.send_record(unknown)

    def _write(self, known: StoredAddresses, target: tuple[str, ...]) -> None:
        spec = self._adapter.peer_addresses_spec(target)
        if known.stored is None:
            call = self._adapter.create_object(Dataset.PEER_ADDRESSES, OBJECT_NAME, spec)
        else:
            call = self._adapter.replace_object(Dataset.PEER_ADDRESSES, known.stored, spec)
        self._call(call, self._on_written)

    def _on_written(self, response: HttpResponse | None) -> None:
        status = None if response is None else response.status
        if response is not None and status in (STATUS_OK, STATUS_CREATED, STATUS_CONFLICT):
            self._apply_stored(response)
            return
        # The write may have succeeded or the object may be deleted: read it before the next write.
        self._known = None
        log_warning("contacts_not_written", status=status)

    def _call(self, call: HttpCall, on_response: Callable[[HttpResponse | None], None]) -> None:
        self._is_calling = True

        def handle_response(response: HttpResponse | None) -> None:
            self._is_calling = False
            self._next_call_at = self._loop.now() + RETRY_PAUSE_S
            on_response(response)

        self._store.call(call, CALL_TIMEOUT_S, handle_response)
