"""Exchanges the load that each router puts on each runner.

Routers include their loads in their gossiped records.  A prompt is prefilled in a fraction of the
time between two records, so a router that sends a long prompt to a runner broadcasts that at once.
Otherwise a second long prompt may be sent to the same runner, and the streams that run there stall.
In large deployments the loads of other zones are received as sums
(:mod:`martenrun.router.zone_loads`).
"""

from collections.abc import Iterable

from martenrun.router.peer_messages import RouterRecord, RunnerLoad, ZoneLoads
from martenrun.router.peers import Peers
from martenrun.router.runner_pool import RunnerPool
from martenrun.router.runner_state import RunnerState
from martenrun.router.zone_loads import (
    TELL_S,
    HeardSums,
    ToldSums,
    ZoneSums,
    added_up,
    zone_tellers,
)

TOLD_AT_ONCE_TOKENS = 1_000
"""Change of a runner's pending prefill that is broadcast to the other routers, in tokens."""

READING_TOLD_AGAIN_S = 1.2
"""Interval at which a prefill that is still pending is reported again, in seconds.

Short enough for two reports within the time for which they are valid, so that one may be lost.
"""


class LoadExchange:
    """Sends the loads of this router to other routers and merges theirs."""

    def __init__(self, pool: RunnerPool, peers: Peers) -> None:
        self._pool = pool
        self._peers = peers
        self._outdated: set[str] = set()
        self._tellers: dict[str, str] = {}
        self._told = ToldSums()
        self._heard = HeardSums()
        self._to_pass_on: ZoneSums = {}

    def own_loads(self) -> dict[str, RunnerLoad]:
        """Return the load that this router puts on each runner."""
        return {
            state.runner.instance: _own_load(state)
            for state in self._pool.all_states()
            if state.in_flight
        }

    def note_reading(self, state: RunnerState) -> None:
        """Broadcast this router's pending prefill at a runner if it has changed enough."""
        if abs(state.reading - state.reading_told) < TOLD_AT_ONCE_TOKENS:
            return
        self._tell_reading(state)

    def tell_again(self) -> None:
        """Repeat reports of prefills that take long, as other routers let reports expire."""
        long_ago = self._peers.now() - READING_TOLD_AGAIN_S
        for state in self._pool.all_states():
            if state.reading >= TOLD_AT_ONCE_TOKENS and state.reading_told_at < long_ago:
                self._tell_reading(state)

    def _tell_reading(self, state: RunnerState) -> None:
        state.reading_told = state.reading
        state.reading_told_at = self._peers.now()
        self._peers.tell_reading(state.runner.instance, _own_load(state))

    def take_records(self) -> None:
        """Recompute the load of every runner from the records of all live routers."""
        self._outdated.clear()
        records = self._peers.live()
        self._tellers = zone_tellers([self._peers.own, *records]) if self._uses_sums else {}
        self._heard.forget_old(self._peers.now())
        for state in self._pool.all_states():
            self._add_up(state, records)

    def take_reading(self, instance: str) -> None:
        """Record that another router's load on a runner has changed.

        The sums are recomputed by :meth:`refresh`, because with many routers there are far more
        reports than placements.
        """
        self._outdated.add(instance)

    def take_sums(self, news: ZoneLoads) -> None:
        """Merge the sums of other zones, and keep those to forward within this zone.

        Sums received from another zone's reporter are forwarded, forwarded ones are not.
        """
        for zone, sums in news.zones.items():
            if zone == self._peers.own.zone:
                continue
            self._heard.take(zone, sums, self._peers.now())
            self._outdated.update(sums)
            if not news.is_passed_on:
                self._to_pass_on.setdefault(zone, {}).update(sums)

    def refresh(self) -> None:
        """Recompute outdated sums; called before a request is placed."""
        if not self._outdated:
            return
        records = self._peers.live()
        for instance in self._outdated:
            state = self._pool.state(instance)
            if state is not None:
                self._add_up(state, records)
        self._outdated.clear()

    def tell_sums(self) -> float:
        """Send the sums that are due between zones; return the seconds until the next call."""
        own = self._peers.own
        if self._to_pass_on:
            passed_on = ZoneLoads(self._to_pass_on, is_passed_on=True)
            self._peers.tell_sums(self._near_addresses(), passed_on)
            self._to_pass_on = {}
        if self._tellers.get(own.zone) == own.address:
            near = [record.loads for record in self._peers.live() if record.zone == own.zone]
            news = self._told.due(added_up([self.own_loads(), *near]), self._peers.now())
            others = [address for zone, address in self._tellers.items() if zone != own.zone]
            if news:
                self._peers.tell_sums(others, ZoneLoads({own.zone: news}))
        return TELL_S

    @property
    def _uses_sums(self) -> bool:
        return self._peers.tells_own_zone_only()

    def _near_addresses(self) -> list[str]:
        own = self._peers.own
        return [record.address for record in self._peers.live() if record.zone == own.zone]

    def _add_up(self, state: RunnerState, records: Iterable[RouterRecord]) -> None:
        """Set the load that other routers put on a runner to the sum of their reports."""
        instance = state.runner.instance
        requests = reading = held = 0
        for record in records:
            if self._tellers and record.zone != self._peers.own.zone:
                continue
            load = record.loads.get(instance)
            if load is not None:
                requests += load.requests
                reading += load.tokens_to_read
                held += load.tokens_held
        if self._tellers:
            elsewhere = self._heard.at(instance, self._peers.now())
            requests += elsewhere.requests
            reading += elsewhere.tokens_to_read
            held += elsewhere.tokens_held
        state.elsewhere = requests
        state.reading_elsewhere = reading
        state.held_elsewhere = held


def _own_load(state: RunnerState) -> RunnerLoad:
    return RunnerLoad(state.in_flight, int(state.reading), state.held)
