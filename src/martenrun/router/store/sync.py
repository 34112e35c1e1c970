"""Keeps a router's replicas of the store's datasets current, from the store or from a reader."""

import random
from collections.abc import Callable, Mapping, Sequence

import attrs

from martenrun.net.loop import Loop
from martenrun.net.periodic import PeriodicCall, call_safely
from martenrun.router.log import log_event
from martenrun.router.messages import Dataset
from martenrun.router.peer_messages import RouterRecord
from martenrun.router.peers import Peers
from martenrun.router.platform_adapter import PlatformAdapter
from martenrun.router.store.client import HttpClient, StoreClient
from martenrun.router.store.eras import UNKNOWN_ERA
from martenrun.router.store.follower import FollowSettings, StoreFollower
from martenrun.router.store.planner import Candidate, ReadPlan, ReadPlanner
from martenrun.router.store.relay import MAX_RELAYED_AGE_S, RelayServer
from martenrun.router.store.relay_follower import RelayFollower
from martenrun.router.store.replica import DatasetReplica

CHECK_S = 0.2
"""Interval between two read plans, in seconds."""

MAX_ASK_S = 2.0
"""How long a router that starts asks others before it relies on the store alone, in seconds.

The store may just have returned from an older copy; other routers know what it has lost.
"""

MAX_ASK_SEEDS_S = 0.5
"""How long of that it waits for seeds that nobody has heard from, in seconds."""

MERGE_S = 2.0
"""How long readers also follow another router after the store returned from a copy, in seconds."""

LOST_MEMORY_S = 5.0
"""How long a router that lost the store is not chosen as a store reader, in seconds."""

PAUSE_STEP_S = 0.1
LONGEST_PAUSE_S = 0.4
"""Pause before another router is queried, per consecutive failure after the first, in seconds.

When many routers start at once, or the store is down, none has current state: without the pause
each would query all others in turn.
"""

WATCH_WAITS_S = {
    Dataset.CONFIGURATION: 0.8,
    Dataset.RUNNERS: 2.0,
    Dataset.WEIGHTS: 2.5,
    Dataset.CRASH_RECORDS: 10.0,
}
"""How long one watch of each dataset waits, in seconds.

The result of a watch is as old as its request, so state can become as old as two waits.  Routers
broadcast crash-causing requests; the blame watch only serves routers that join later.
"""

WATCH_DELAYS_S = {Dataset.RUNNERS: 0.2}
"""How long the next watch of a dataset is delayed after changes, in seconds.

Many runners change at once when they start or load weights; each change would end a watch and cause
a response to every follower.  With ten changes a second two readers make 13 calls a second instead
of 24, and each follower sends 5 queries instead of 10 (60 routers in virtual time).  In return,
removed runners are noticed 0.2 s later.
"""


@attrs.frozen
class StoreSyncParts:
    """Collaborators of :class:`StoreSync`.

    Attributes:
        seeds: addresses of routers to query while no other one is known.
        has_found_peers: searches for the routers that the store lists; returns whether each is
            known or has not responded in time.
        make_client: creates the client for one address.
        rng: chooses the routers to query, and when to read if none can be reached.
    """

    loop: Loop
    store: StoreClient
    adapter: PlatformAdapter
    replicas: Mapping[Dataset, DatasetReplica]
    peers: Peers
    seeds: Sequence[str] = ()
    has_found_peers: Callable[[], bool] = lambda: True
    make_client: Callable[[Loop, str], HttpClient] = HttpClient
    rng: random.Random = attrs.field(factory=random.Random)


class StoreSync:
    """Runs the followers of the store and of other routers.

    Args:
        on_confirmed: called after each response that was applied.
    """

    def __init__(self, parts: StoreSyncParts, on_confirmed: Callable[[], None]) -> None:
        self._loop = parts.loop
        self._peers = parts.peers
        self._replicas = parts.replicas
        self._on_confirmed = on_confirmed
        own = parts.peers.own
        self._planner = ReadPlanner(own.address, self._loop.now(), parts.seeds, parts.rng)
        self._lost_at: float | None = None
        self._source_address: str | None = None
        self._reads_store = False
        self._is_reading_announced = False
        self._failures = 0
        self._query_from = 0.0
        self._seeds = {seed for seed in parts.seeds if seed != own.address}
        self._has_found_peers = parts.has_found_peers
        self._began_at = self._loop.now()
        self._has_followed = False
        self._failed_addresses: set[str] = set()
        self._eras = parts.replicas[Dataset.CONFIGURATION].eras
        self.relay = RelayServer(
            self._loop,
            parts.replicas,
            own.incarnation,
            self._may_relay,
            self._is_failing_to_read,
            lambda: self._is_current(),
        )
        self._relay_follower = RelayFollower(
            self._loop,
            parts.replicas,
            lambda: self._source_address,
            self._on_relayed,
            self._on_relay_failed,
            lambda: self._planner.record_partial_response(self._loop.now()),
            parts.make_client,
        )
        self._checks = PeriodicCall(self._loop, "plan_reads", CHECK_S, self._check)
        self._followers = [
            StoreFollower(
                self._loop,
                parts.store,
                parts.adapter,
                FollowSettings(wait_s, WATCH_DELAYS_S.get(dataset, 0.0)),
                parts.replicas[dataset],
                self._on_read,
            )
            for dataset, wait_s in WATCH_WAITS_S.items()
        ]

    @property
    def has_state(self) -> bool:
        """Whether this router has some state of every dataset."""
        return all(replica.is_loaded for replica in self._replicas.values())

    @property
    def has_lost_store(self) -> bool:
        """Whether a call of this router to the store failed recently."""
        return self._lost_at is not None and self._loop.now() - self._lost_at < LOST_MEMORY_S

    def record_store_failure(self) -> None:
        """Record that another call to the store failed."""
        self._lost_at = self._loop.now()

    @property
    def reads_store(self) -> bool:
        """Whether this router is a store reader and receives responses."""
        return self._reads_store and self._is_current()

    def start(self) -> None:
        """Start the periodic planning."""
        self._checks.start()

    def _check(self) -> None:
        now = self._loop.now()
        if any(item.is_failing or item.is_overdue(now) for item in self._followers):
            call_safely("mark_store_lost", self._mark_store_lost, now)
        for replica in self._replicas.values():
            call_safely("update_replica", replica.update, now)
        self._plan(now)

    def _mark_store_lost(self, now: float) -> None:
        """Broadcast at once that this router cannot read for others."""
        is_first = not self.has_lost_store
        self._lost_at = now
        if is_first:
            call_safely("broadcast_record", self._peers.broadcast_record)
            self.relay.refuse_pending()

    def _plan_source(self, now: float) -> ReadPlan:
        own = self._peers.own
        followed = self._source_address if self._relay_follower.follows_reader() else None
        candidates = [
            Candidate(own.address, not self.has_lost_store, self._reads_store, own.capacity)
        ]
        candidates += [
            Candidate(
                record.address,
                not record.has_lost_store and self._knows_eras(record),
                record.reads_store or record.address == followed,
                record.capacity,
                record.has_state,
            )
            for record in self._peers.live()
            if not record.is_leaving
        ]
        plan = self._planner.plan(candidates, now, self.has_state)
        if plan.reads_store and plan.source is None and self._is_merging():
            plan = attrs.evolve(plan, source=self._planner.choose_helper(candidates, now))
        self._source_address = plan.source
        return plan

    def _knows_eras(self, record: RouterRecord) -> bool:
        """Return whether a router's state is comparable; earlier versions read no eras."""
        return record.store_era != UNKNOWN_ERA or self._eras.current == UNKNOWN_ERA

    def _is_merging(self) -> bool:
        """Return whether other routers may know changes that the store has lost."""
        return self.has_state and self._eras.age_s() < MERGE_S

    def _has_asked_others(self, now: float) -> bool:
        """Return whether others have been asked for what the store may have lost."""
        waited_s = now - self._began_at
        if self._has_followed or waited_s >= MAX_ASK_S:
            return True
        live = self._peers.live()
        if any(record.has_state for record in live) or not self._has_found_peers():
            return False
        unheard = self._seeds.difference(record.address for record in live)
        return waited_s >= MAX_ASK_SEEDS_S or unheard <= self._failed_addresses

    def _plan(self, now: float) -> None:
        plan = self._plan_source(now)
        if plan.reads_store != self._reads_store:
            log_event("reading_changed", reads_store=plan.reads_store, source=plan.source)
            self._reads_store = plan.reads_store
            self._is_reading_announced = False
        if plan.reads_store and self._has_asked_others(now):
            for follower in self._followers:
                follower.start()
        elif not plan.reads_store and self.has_lost_store:
            # Other readers try instead.  With responses, reading would go on until another router
            # has newer state.
            self._stop_reading()
        if self._source_address is None:
            self._relay_follower.stop()
        elif now >= self._query_from:
            self._relay_follower.start()

    def _stop_reading(self) -> None:
        for follower in self._followers:
            follower.stop()

    def _is_failing_to_read(self) -> bool:
        """Return whether this router's requests to the store fail.

        A router that has stopped sending requests must not claim this: all routers would wait for
        each other's refusals, and no router would query the store while these are remembered (5 s
        after an outage).
        """
        return self._reads_store and not self._is_current()

    def _is_current(self) -> bool:
        return all(item.is_current for item in self._followers)

    def _may_relay(self) -> bool:
        """Return whether this router relays state: if it is a reader or follows one.

        Router tables differ for moments, mostly in large deployments, so a router may be queried
        although it is no reader.  Followers of such a router do not relay, which prevents cycles.
        """
        if self.has_lost_store:
            return False
        if not self._is_current() and not self._relay_follower.follows_reader():
            return False
        read_at = self._replicas[Dataset.CONFIGURATION].read_at
        return read_at is not None and self._loop.now() - read_at < MAX_RELAYED_AGE_S

    def _on_read(self) -> None:
        self._lost_at = None
        if self.reads_store and not self._is_reading_announced:
            # Until they learn of it, other routers start to read as well.
            self._is_reading_announced = True
            call_safely("broadcast_record", self._peers.broadcast_record)
        call_safely("relay_changes", self.relay.respond_with_changes)
        self._on_confirmed()

    def _on_relayed(self) -> None:
        self._has_followed = True
        self._planner.record_response(self._loop.now())
        call_safely("relay_changes", self.relay.respond_with_changes)
        self._failures = 0
        if not self._reads_store:
            self._stop_reading()
        self._on_confirmed()

    def _on_relay_failed(self, address: str, has_lost_store: bool) -> None:
        now = self._loop.now()
        if not self.reads_store:
            self.relay.refuse_pending()
        if has_lost_store:
            # That router reads as well as any can: no reason to query the store from here too.
            self._planner.record_response(now, is_served=False)
        if not has_lost_store or not self.has_state:
            self._planner.record_failure(address, now)
        self._failures += 1
        is_first_of_address = address not in self._failed_addresses and not self._has_followed
        self._failed_addresses.add(address)
        pause_s = min(LONGEST_PAUSE_S, PAUSE_STEP_S * (self._failures - 1))
        self._query_from = now if is_first_of_address else now + pause_s
        self._plan(now)
