"""Keeps a router's copies of the store's datasets current, from the store or from a reader."""

import random
from collections.abc import Callable, Mapping, Sequence

import attrs

from martenrun.net.loop import Loop
from martenrun.router.dataset_copy import DatasetCopy
from martenrun.router.log import log_event
from martenrun.router.messages import Dataset
from martenrun.router.peers import Peers
from martenrun.router.platform_adapter import PlatformAdapter
from martenrun.router.readers import Candidate, ReaderChoice, ReadingPlan
from martenrun.router.relay import OLDEST_RELAYED_S, RelaySource
from martenrun.router.relay_follower import RelayFollower
from martenrun.router.store_client import HttpCaller
from martenrun.router.store_watch import FollowSettings, StoreFollower

CHECK_S = 0.2
"""How often the way of reading is planned anew, in seconds."""

LOST_MEMORY_S = 5.0
"""How long a router that lost the store is not chosen as a reader, in seconds."""

PAUSE_STEP_S = 0.1
LONGEST_PAUSE_S = 0.4
"""Pause before the next router is asked, for each that gave no good answer in a row but the first.

When many start at a time, or the store is down, nobody has news: without this each would ask all
others in turn.
"""

WAITS_S = {
    Dataset.CONFIGURATION: 0.8,
    Dataset.RUNNERS: 2.0,
    Dataset.WEIGHTS: 2.5,
    Dataset.CRASH_RECORDS: 10.0,
}
"""How long one watch of each dataset waits.

What it tells is as old as its sending, so that knowledge grows as old as two waits.  Of requests
that end runners routers tell each other at once: that watch serves those that come later.
"""

RESTS_S = {Dataset.RUNNERS: 0.2}
"""How long after changes of a dataset the next ones are waited for.

Many runners change at a time, at starts and loads of weights; each change would end a watch and
an answer to every follower.  With ten changes a second two readers make 13 calls a second instead
of 24, and each follower asks 5 times instead of 10 (60 routers in virtual time).  What leaves is
known 0.2 s later.
"""


@attrs.frozen
class KeeperParts:
    """What a keeper works with.

    Attributes:
        seeds: addresses of routers to ask while no other one is known.
        caller: makes what calls one address.
        rng: draws whom this router asks, and when it reads if it reaches nobody.
    """

    loop: Loop
    store: HttpCaller
    dialect: PlatformAdapter
    copies: Mapping[Dataset, DatasetCopy]
    peers: Peers
    seeds: Sequence[str] = ()
    caller: Callable[[Loop, str], HttpCaller] = HttpCaller
    rng: random.Random = attrs.field(factory=random.Random)


class Keeper:
    """Runs the followers of the store and of other routers.

    Args:
        on_confirmed: called after each answer that was taken in.
    """

    def __init__(self, parts: KeeperParts, on_confirmed: Callable[[], None]) -> None:
        self._loop = parts.loop
        self._peers = parts.peers
        self._copies = parts.copies
        self._on_confirmed = on_confirmed
        own = parts.peers.own
        self._choice = ReaderChoice(own.address, self._loop.now(), parts.seeds, parts.rng)
        self._lost_at: float | None = None
        self._source_address: str | None = None
        self._reads_store = False
        self._is_reading_told = False
        self._failures = 0
        self._ask_from = 0.0
        self.relay = RelaySource(
            self._loop,
            parts.copies,
            own.incarnation,
            self._may_relay,
            self._asks_in_vain,
            lambda: self._is_reading(),
        )
        self._relay_follower = RelayFollower(
            self._loop,
            parts.copies,
            lambda: self._source_address,
            self._on_relayed,
            self._on_relay_failed,
            lambda: self._choice.note_heard(self._loop.now()),
            parts.caller,
        )
        self._followers = [
            StoreFollower(
                self._loop,
                parts.store,
                parts.dialect,
                FollowSettings(wait_s, RESTS_S.get(dataset, 0.0)),
                parts.copies[dataset],
                self._on_read,
            )
            for dataset, wait_s in WAITS_S.items()
        ]

    @property
    def _is_all_known(self) -> bool:
        return all(copy.is_known for copy in self._copies.values())

    @property
    def has_lost_store(self) -> bool:
        """Whether this router had no good answer of the store lately."""
        return self._lost_at is not None and self._loop.now() - self._lost_at < LOST_MEMORY_S

    def note_store_lost(self) -> None:
        """Take in that another call to the store had no answer."""
        self._lost_at = self._loop.now()

    @property
    def reads_store(self) -> bool:
        """Whether this router reads the store, with answers."""
        return self._reads_store and self._is_reading()

    def start(self) -> None:
        """Plan how to read, from now on."""
        self._check()

    def _check(self) -> None:
        now = self._loop.now()
        if any(item.is_failing or item.is_overdue(now) for item in self._followers):
            self._lose_store(now)
        for copy in self._copies.values():
            copy.drop_missing(now)
        self._plan(now)
        self._loop.call_later(CHECK_S, self._check)

    def _lose_store(self, now: float) -> None:
        """Tell others at once that this router cannot read for them."""
        is_news = not self.has_lost_store
        self._lost_at = now
        if is_news:
            self._peers.tell_now()
            self.relay.drop_held()

    def _plan_source(self, now: float) -> ReadingPlan:
        own = self._peers.own
        followed = self._source_address if self._relay_follower.follows_reader() else None
        candidates = [
            Candidate(own.address, not self.has_lost_store, self._reads_store, own.capacity)
        ]
        candidates += [
            Candidate(
                record.address,
                not record.has_lost_store,
                record.reads_store or record.address == followed,
                record.capacity,
            )
            for record in self._peers.live()
            if not record.is_leaving
        ]
        plan = self._choice.plan(candidates, now, self._is_all_known)
        self._source_address = plan.source
        return plan

    def _plan(self, now: float) -> None:
        plan = self._plan_source(now)
        if plan.reads_store != self._reads_store:
            log_event("reading_changed", reads_store=plan.reads_store, source=plan.source)
            self._reads_store = plan.reads_store
            self._is_reading_told = False
        if plan.reads_store:
            for follower in self._followers:
                follower.start()
        elif self.has_lost_store:
            # Others try it now; with answers it would go on until another router has news.
            self._stop_reading()
        if self._source_address is None:
            self._relay_follower.stop()
        elif now >= self._ask_from:
            self._relay_follower.start()

    def _stop_reading(self) -> None:
        for follower in self._followers:
            follower.stop()

    def _asks_in_vain(self) -> bool:
        """Whether this router asks the store and has no answers.

        One that has stopped asking must not say so: all would wait for each other's refusals, and
        nobody would ask the store for as long as they are remembered (5 s after an outage).
        """
        return self._reads_store and not self._is_reading()

    def _is_reading(self) -> bool:
        return all(item.is_current for item in self._followers)

    def _may_relay(self) -> bool:
        """Whether this router passes knowledge on: one that reads, or that follows a reader.

        Tables differ for moments, most among many routers: who asks a router that is no reader is
        served all the same.  Followers of such a one do not pass on, so that none follow in a ring.
        """
        if self.has_lost_store:
            return False
        if not self._is_reading() and not self._relay_follower.follows_reader():
            return False
        confirmed_at = self._copies[Dataset.CONFIGURATION].confirmed_at
        return confirmed_at is not None and self._loop.now() - confirmed_at < OLDEST_RELAYED_S

    def _on_read(self) -> None:
        self._lost_at = None
        if self.reads_store and not self._is_reading_told:
            # Others begin to read as well until they hear of it.
            self._is_reading_told = True
            self._peers.tell_now()
        self.relay.copies_changed()
        self._on_confirmed()

    def _on_relayed(self) -> None:
        self._choice.note_reached(self._loop.now())
        self.relay.copies_changed()
        self._failures = 0
        if not self._reads_store:
            self._stop_reading()
        self._on_confirmed()

    def _on_relay_failed(self, address: str, has_lost_store: bool) -> None:
        now = self._loop.now()
        self.relay.drop_held()
        if has_lost_store:
            # It reads, as well as anybody can: no reason to ask the store from here too.
            self._choice.note_reached(now, is_served=False)
        if not has_lost_store or not self._is_all_known:
            self._choice.note_failed(address, now)
        self._failures += 1
        self._ask_from = now + min(LONGEST_PAUSE_S, PAUSE_STEP_S * (self._failures - 1))
        self._plan(now)
