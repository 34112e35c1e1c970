"""Loads between zones of a large deployment: known soon, told once, ended by themselves.

The load: prompts of 9,000 tokens that 195 routers in five zones begin at drawn times, each read in
0.24 s, as where runners read 38 tokens in a millisecond.
"""

from hypothesis import given
from hypothesis import strategies as st

from martenrun.router.loads import LoadExchange
from martenrun.router.peer_messages import RunnerLoad, ZoneLoads
from martenrun.router.runner_pool import RunnerPool
from martenrun.router.zone_loads import (
    BELIEVED_S,
    LEAST_CHANGE_TOKENS,
    NOTHING,
    TELL_S,
    TOLD_AGAIN_S,
    HeardSums,
    ToldSums,
    added_up,
    zone_tellers,
)

from .builders import runner
from .fakes import FakeLoop, FakePeers
from .gossip_world import GossipWorld
from .test_peers import record

PROMPT_TOKENS = 9_000
READING_S = 0.24
PROMPTS_PER_S = 1.0
"""Long prompts that one router sends in a second."""


def test_the_strong_come_first_and_the_leaving_never():
    records = [
        record("a", zone="x", capacity=0.5),
        record("b", zone="x", capacity=2.0),
        record("c", zone="x", capacity=2.0, is_leaving=True),
        record("d", zone="y", capacity=0.5),
    ]
    assert zone_tellers(records) == {"x": "b", "y": "d"}


def test_only_what_changed_is_told_and_what_did_not_is_told_again():
    told = ToldSums()
    sums = {"i-0": RunnerLoad(1, PROMPT_TOKENS, 0), "i-1": RunnerLoad(1, 10, 0)}
    assert set(told.due(sums, 10.0)) == {"i-0", "i-1"}
    assert told.due(sums, 10.0 + TELL_S) == {}
    sums["i-0"] = RunnerLoad(1, PROMPT_TOKENS - LEAST_CHANGE_TOKENS, 0)
    assert set(told.due(sums, 10.0 + 2 * TELL_S)) == {"i-0"}
    assert set(told.due(sums, 10.0 + TOLD_AGAIN_S)) == {"i-1"}


def test_that_a_runner_has_nothing_more_to_read_is_told_at_once_and_once_again():
    told = ToldSums()
    told.due({"i-0": RunnerLoad(1, PROMPT_TOKENS, 0)}, 10.0)
    assert told.due({}, 10.1) == {"i-0": NOTHING}
    assert told.due({}, 10.1 + TOLD_AGAIN_S) == {"i-0": NOTHING}
    assert told.due({}, 20.0) == {}


def test_what_is_not_told_again_ends_by_itself():
    heard = HeardSums()
    heard.take("x", {"i-0": RunnerLoad(1, PROMPT_TOKENS, 0)}, 10.0)
    heard.take("y", {"i-0": RunnerLoad(2, 500, 0)}, 11.0)
    assert heard.at("i-0", 11.0) == RunnerLoad(3, PROMPT_TOKENS + 500, 0)
    assert heard.at("i-0", 10.1 + BELIEVED_S) == RunnerLoad(2, 500, 0)
    heard.forget_old(11.1 + BELIEVED_S)
    assert heard.at("i-0", 11.0) == NOTHING


@given(st.lists(st.dictionaries(st.sampled_from("abc"), st.integers(0, 9))))
def test_sums_are_those_of_all_tables(tables):
    loads = [{name: RunnerLoad(n, n * 2, n * 3) for name, n in table.items()} for table in tables]
    sums = added_up(loads)
    for name in "abc":
        total = sum(table.get(name, 0) for table in tables)
        assert sums.get(name, NOTHING) == RunnerLoad(total, total * 2, total * 3)


def exchange():
    """Return an exchange of a router in zone z of a large deployment, its peers and a state."""
    pool = RunnerPool(FakeLoop())
    pool.update({"i-0": runner("i-0")})
    peers = FakePeers(record("own"))
    peers.is_large = True
    return LoadExchange(pool, peers), peers, pool.state("i-0")


def test_sums_of_another_zone_are_passed_on_once_and_the_own_zone_is_not_counted_twice():
    loads, peers, state = exchange()
    near = record("near", loads={"i-0": RunnerLoad(1, 100, 0)})
    far = record("far", zone="y", loads={"i-0": RunnerLoad(1, 7_000, 0)})
    peers.records = [near, far]
    loads.take_records()
    loads.take_sums(ZoneLoads({"y": {"i-0": RunnerLoad(2, 9_000, 0)}, "z": {"i-0": NOTHING}}))
    loads.refresh()
    assert state.backlog_tokens == 9_100
    loads.tell_sums()
    passed_on = [news for addresses, news in peers.zone_loads if addresses == ["near"]]
    assert passed_on == [ZoneLoads({"y": {"i-0": RunnerLoad(2, 9_000, 0)}}, is_forwarded=True)]
    peers.zone_loads.clear()
    loads.take_sums(passed_on[0])
    loads.tell_sums()
    assert [addresses for addresses, _ in peers.zone_loads if addresses == ["near"]] == []


class LoadedFleet:
    """Routers that gossip and tell of prompts which they have runners read."""

    def __init__(self, seed, count, runners):
        self.world = GossipWorld(seed)
        self.now = self.world.loop.now
        self.instances = [f"i-{n}" for n in range(runners)]
        self.exchanges = {}
        self.pools = {}
        addresses = [f"r{n}" for n in range(count)]
        for number, address in enumerate(addresses):
            self._start(address, addresses[:3], f"z{number % 5}")

    def _start(self, address, seeds, zone):
        self.world.start(address, seeds, zone)
        peers = self.world.routers[address]
        pool = RunnerPool(self.world.loop)
        pool.update({name: runner(name) for name in self.instances})
        loads = LoadExchange(pool, peers)
        peers._refresh = lambda own: setattr(own, "loads", loads.own_loads())
        peers._on_records = loads.take_records
        peers._on_load_update = loads.take_reading
        peers._on_zone_loads = loads.take_sums
        self.exchanges[address] = loads
        self.pools[address] = pool
        self._keep_telling(loads)

    def _keep_telling(self, loads):
        self.world.loop.call_later(loads.tell_sums(), lambda: self._keep_telling(loads))

    def send_prompts(self, address):
        """Let a router send prompts from now on."""
        pause_s = self.world.rng.expovariate(PROMPTS_PER_S)
        self.world.loop.call_later(pause_s, lambda: self._send_prompt(address))

    def _send_prompt(self, address):
        state = self.pools[address].state(self.world.rng.choice(self.instances))
        state.note_sent(self.now())
        self._read(address, state, PROMPT_TOKENS)
        self.world.loop.call_later(READING_S, lambda: self._read(address, state, -PROMPT_TOKENS))
        self.world.loop.call_later(READING_S, state.note_ended)
        self.send_prompts(address)

    def _read(self, address, state, tokens):
        state.reading += tokens
        self.exchanges[address].note_reading(state)

    def error_tokens(self):
        """Return the mean error of what a router believes a runner still has to read."""
        errors = []
        for address, loads in self.exchanges.items():
            loads.refresh()
            for name in self.instances:
                true = sum(pool.state(name).reading for pool in self.pools.values())
                errors.append(abs(self.pools[address].state(name).backlog_tokens - true))
        return sum(errors) / len(errors)


def test_among_many_routers_backlogs_are_known_while_the_prompts_are_read():
    """A prompt known late is wrong twice: it is missed while read, and believed when read.

    Where other zones are known by records only, some seconds old, the mean error is 0.84 of the
    mean backlog; with sums 0.46.
    """
    fleet = LoadedFleet(1, 110, runners=20)
    fleet.world.run(5.0)
    for address in fleet.exchanges:
        fleet.send_prompts(address)
    fleet.world.run(3.0)
    errors = []
    for _ in range(5):
        fleet.world.run(0.37)
        errors.append(fleet.error_tokens())
    mean_backlog = 110 * PROMPTS_PER_S * READING_S * PROMPT_TOKENS / 20
    assert sum(errors) / len(errors) < 0.6 * mean_backlog
