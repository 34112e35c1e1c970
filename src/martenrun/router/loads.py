"""What all routers together have given each runner to do.

Loads travel in the routers' records.  Prompts are read in a fraction of the time between two
records, so a router that gives a runner much to read tells others at once: else two long prompts
meet at one runner, and the streams that run there pause.  Among very many routers those of other
zones are told of in sums (:mod:`martenrun.router.zone_loads`).
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
"""Change of the tokens to be read at a runner that all other routers are told at once."""

READING_TOLD_AGAIN_S = 1.2
"""Time after which a prompt that is still read is told of again, in seconds.

Twice within the time for which others believe it, so that one datagram may be lost.
"""


class LoadExchange:
    """Tells other routers of this one's loads, and takes in theirs."""

    def __init__(self, pool: RunnerPool, peers: Peers) -> None:
        self._pool = pool
        self._peers = peers
        self._outdated: set[str] = set()
        self._tellers: dict[str, str] = {}
        self._told = ToldSums()
        self._heard = HeardSums()
        self._to_pass_on: ZoneSums = {}

    def own_loads(self) -> dict[str, RunnerLoad]:
        """Return what this router has given each runner to do."""
        return {
            state.runner.instance: _own_load(state)
            for state in self._pool.all_states()
            if state.in_flight
        }

    def note_reading(self, state: RunnerState) -> None:
        """Take in that this router's tokens to be read at a runner have changed."""
        if abs(state.reading - state.reading_told) < TOLD_AT_ONCE_TOKENS:
            return
        self._tell_reading(state)

    def tell_again(self) -> None:
        """Tell again of prompts that are read for long: others believe it for a while only."""
        long_ago = self._peers.now() - READING_TOLD_AGAIN_S
        for state in self._pool.all_states():
            if state.reading >= TOLD_AT_ONCE_TOKENS and state.reading_told_at < long_ago:
                self._tell_reading(state)

    def _tell_reading(self, state: RunnerState) -> None:
        state.reading_told = state.reading
        state.reading_told_at = self._peers.now()
        self._peers.broadcast_load(state.runner.instance, _own_load(state))

    def take_records(self) -> None:
        """Take in the loads of all live routers."""
        self._outdated.clear()
        records = self._peers.live()
        self._tellers = zone_tellers([self._peers.own, *records]) if self._uses_sums else {}
        self._heard.forget_old(self._peers.now())
        for state in self._pool.all_states():
            self._add_up(state, records)

    def take_reading(self, instance: str) -> None:
        """Take in that another router's load at one runner has changed.

        Sums are made anew by :meth:`refresh`: among many routers far more is told than placed.
        """
        self._outdated.add(instance)

    def take_sums(self, news: ZoneLoads) -> None:
        """Take in sums over other zones; those told by another zone's teller are passed on."""
        for zone, sums in news.zones.items():
            if zone == self._peers.own.zone:
                continue
            self._heard.take(zone, sums, self._peers.now())
            self._outdated.update(sums)
            if not news.is_forwarded:
                self._to_pass_on.setdefault(zone, {}).update(sums)

    def refresh(self) -> None:
        """Make the sums current; called before a request is placed."""
        if not self._outdated:
            return
        records = self._peers.live()
        for instance in self._outdated:
            state = self._pool.state(instance)
            if state is not None:
                self._add_up(state, records)
        self._outdated.clear()

    def tell_sums(self) -> float:
        """Tell what is due between zones; return after how many seconds to do so again."""
        own = self._peers.own
        if self._to_pass_on:
            passed_on = ZoneLoads(self._to_pass_on, is_forwarded=True)
            self._peers.send_zone_loads(self._near_addresses(), passed_on)
            self._to_pass_on = {}
        if self._tellers.get(own.zone) == own.address:
            near = [record.loads for record in self._peers.live() if record.zone == own.zone]
            news = self._told.due(added_up([self.own_loads(), *near]), self._peers.now())
            others = [address for zone, address in self._tellers.items() if zone != own.zone]
            if news:
                self._peers.send_zone_loads(others, ZoneLoads({own.zone: news}))
        return TELL_S

    @property
    def _uses_sums(self) -> bool:
        return self._peers.sends_loads_to_own_zone_only()

    def _near_addresses(self) -> list[str]:
        own = self._peers.own
        return [record.address for record in self._peers.live() if record.zone == own.zone]

    def _add_up(self, state: RunnerState, records: Iterable[RouterRecord]) -> None:
        """Set what a runner does for other routers to the sum of what these tell."""
        instance = state.runner.instance
        requests = reading = held = 0
        for record in records:
            if self._tellers and record.zone != self._peers.own.zone:
                continue
            load = record.loads.get(instance)
            if load is not None:
                requests += load.requests
                reading += load.prefill_tokens
                held += load.kv_cache_tokens
        if self._tellers:
            elsewhere = self._heard.at(instance, self._peers.now())
            requests += elsewhere.requests
            reading += elsewhere.prefill_tokens
            held += elsewhere.kv_cache_tokens
        state.elsewhere = requests
        state.reading_elsewhere = reading
        state.held_elsewhere = held


def _own_load(state: RunnerState) -> RunnerLoad:
    return RunnerLoad(state.in_flight, int(state.reading), state.held)
