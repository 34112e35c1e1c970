"""Who owns which runner, candidates of a pool, and the feed of the machine list between nodes."""

import random

import pytest

from martenrun.constants import TICK_INTERVAL_S
from martenrun.events import MachinesListed, PeerMessage, Send, Tick
from martenrun.membership.view import Member, StaticMemberView
from martenrun.node.runners import RunnerTable
from martenrun.ownership.candidates import CANDIDATES, PoolIndex
from martenrun.ownership.loads import LoadBook
from martenrun.ownership.machine_feed import ASK_FOR_ALL, MISMATCHES, READERS, MachineFeed
from martenrun.ownership.owners import OwnerMap
from martenrun.routing.policy import RunnerState
from martenrun.simulation.hollow import HollowProcess
from martenrun.simulation.network import LinkFaults, SimulatedNetwork
from martenrun.simulation.scheduler import Scheduler
from martenrun.wire.codec import decode, encode
from martenrun.wire.messages import (
    MachineEntry,
    MachinesQuery,
    MachinesUpdate,
)
from owned_machines import OTHER, OWN, machine


def test_owners_agree_between_nodes_and_move_only_with_their_member():
    members = [Member(f"10.0.0.{n}:7000", "ab"[n % 2]) for n in range(10)]
    table = RunnerTable()
    machines = [machine(f"r{n}", zone="ab"[n % 2]) for n in range(200)]
    table.handle(MachinesListed(machines), 0.0)
    first = StaticMemberView(members[0], members)
    maps = [OwnerMap(first), OwnerMap(StaticMemberView(members[3], members[::-1]))]
    for owners in maps:
        owners.refresh(table)
    names = list(table.runners)
    before = [maps[0].owner(name) for name in names]
    assert before == [maps[1].owner(name) for name in names]
    zones = {member.address: member.zone for member in members}
    assert all(zones[o] == table.runners[n].zone for o, n in zip(before, names, strict=True))
    first.members = members[:-1]
    assert maps[0].refresh(table)
    moved = [o for o, n in zip(before, names, strict=True) if maps[0].owner(n) != o]
    assert moved and set(moved) == {members[-1].address}


def test_runners_of_a_suspected_member_have_a_stand_in_until_it_has_refuted():
    suspected = frozenset({OTHER.address})
    table = RunnerTable()
    table.handle(MachinesListed([machine(f"r{n}") for n in range(20)]), 0.0)
    owners = OwnerMap(StaticMemberView(OWN, [OWN, OTHER]), lambda: suspected)
    owners.refresh(table)
    assert all(owners.owns(name) for name in table.runners)
    suspected = frozenset({OWN.address})
    assert owners.refresh(table)
    assert {owners.owner(name) for name in table.runners} == {OWN.address, OTHER.address}


def test_candidates_of_a_large_pool_are_few_stable_and_partly_near():
    runners = [RunnerState(f"r{n}", "", "ab"[n % 2], "pool") for n in range(500)]
    index = PoolIndex(runners, "a")
    found = index.candidates(b"key")
    assert len({runner.name for runner in found}) == CANDIDATES
    assert [r.name for r in found] == [r.name for r in index.candidates(b"key")]
    assert sum(runner.zone == "a" for runner in found) >= CANDIDATES // 2


@pytest.mark.parametrize("size", [9, 20, 500])
def test_a_runner_that_goes_changes_only_the_candidates_of_the_prefixes_it_served(size):
    runners = [RunnerState(f"r{n}", "", "abc"[n % 3], "pool") for n in range(size)]
    before, after = PoolIndex(runners, "a"), PoolIndex(runners[1:], "a")
    served = 0
    for key in (b"prefix %d" % n for n in range(300)):
        had = {runner.name for runner in before.candidates(key)}
        has = {runner.name for runner in after.candidates(key)}
        served += "r0" in had
        assert len(has) == min(CANDIDATES, size - 1)
        assert len(had - has) <= (2 if "r0" in had else 0)
    assert served


def test_prefixes_are_spread_over_the_runners_of_a_pool():
    runners = [RunnerState(f"r{n}", "", "abc"[n % 3], "pool") for n in range(100)]
    index = PoolIndex(runners, "nowhere")
    counts = dict.fromkeys((runner.name for runner in runners), 0)
    for number in range(10_000):
        for runner in index.candidates(b"prefix %d" % number):
            counts[runner.name] += 1
    mean = 10_000 * CANDIDATES / len(runners)
    assert 0.5 * mean < min(counts.values()) and max(counts.values()) < 1.6 * mean


def test_indexes_follow_runners_that_come_leave_and_go():
    table = RunnerTable()
    book = LoadBook(table, "a", random.Random(1))

    def known(names, **states):
        table.handle(MachinesListed([machine(name, states.get(name, "live")) for name in names]), 0)
        return {runner.name for runner in book.candidates("pool", b"key", (), 0.0)}

    assert known(["r1", "r2"]) == {"r1", "r2"}
    assert known(["r1", "r2", "r3"]) == {"r1", "r2", "r3"}
    assert known(["r1", "r2", "r3"], r2="leaving") == {"r1", "r3"}
    assert known(["r3"]) == {"r3"}
    assert known([]) == set()


def test_three_nodes_read_the_machine_list_and_all_know_a_change_within_three_seconds():
    members = [Member(f"10.0.0.{n}:7000") for n in range(12)]
    scheduler = Scheduler()
    rng = random.Random(5)
    network = SimulatedNetwork(scheduler, rng, LinkFaults(loss=0.02, duplicate=0.05))
    views, feeds, tables, processes = [], [], [], []
    for member in members:
        views.append(StaticMemberView(member, members))
        feeds.append(MachineFeed(views[-1], random.Random(rng.random())))
        tables.append(RunnerTable())
        parts = [tables[-1], feeds[-1]]
        processes.append(HollowProcess(member.address, parts, scheduler, network, {}))
    readers = [n for n, feed in enumerate(feeds) if feed.is_reader()]
    assert len(readers) == READERS

    def list_machines(state):
        for number, feed in enumerate(feeds):
            if feed.is_reader():
                processes[number].tell(MachinesListed([machine("r1", state), machine("r2")]))

    list_machines("live")
    scheduler.run_until(4.0)
    assert all(len(table.runners) == 2 for table in tables)
    processes[readers[0]].kill()
    list_machines("leaving")
    scheduler.run_until(7.0)
    alive = [n for n in range(len(members)) if n != readers[0]]
    assert all(tables[n].runners["r1"].leaving for n in alive)


def test_a_restarted_reader_asks_the_others_while_the_platform_does_not_answer():
    old, new = (
        MachineFeed(StaticMemberView(own, [OWN, OTHER]), random.Random(1)) for own in (OWN, OTHER)
    )
    assert old.is_reader() and new.is_reader()
    old.handle(MachinesListed([machine("r1")]), 0.0)
    (query,) = new.handle(Tick(), 0.0)
    (answer,) = old.handle(PeerMessage(OTHER.address, query.message), 0.0)
    (told,) = new.handle(PeerMessage(OWN.address, answer.message), 0.0)
    assert [listed.name for listed in told.event.machines] == ["r1"]
    new.handle(told.event, 0.0)
    assert new.handle(Tick(), 5.0) == [] and new.must_poll()


def test_a_starting_node_asks_for_the_list_as_soon_as_it_has_met_another():
    view = StaticMemberView(OWN, [OWN])
    feed = MachineFeed(view, random.Random(1))
    assert feed.handle(Tick(), 0.0) == []
    view.members = [OWN, OTHER]
    (query,) = feed.handle(Tick(), TICK_INTERVAL_S)
    assert query == Send(OTHER.address, MachinesQuery(0, True))
    assert feed.handle(Tick(), 2 * TICK_INTERVAL_S) == []


def test_all_other_readers_are_asked_once_one_of_them_is_silent():
    members = [Member(f"10.0.0.{index}:7000", "a") for index in range(1, 5)]
    feeds = [MachineFeed(StaticMemberView(own, members), random.Random(1)) for own in members]
    (feed,) = [feed for feed in feeds if not feed.is_reader()]
    (first,) = feed.handle(Tick(), 0.0)
    assert first.peer in feed.readers()
    assert {query.peer for query in feed.handle(Tick(), 0.5)} == set(feed.readers())


def test_another_reader_continues_without_the_whole_list_and_a_stranger_state_gets_it():
    feeds = [MachineFeed(StaticMemberView(OWN, [OWN]), random.Random(n)) for n in range(2)]
    for feed in feeds:
        feed.handle(MachinesListed([machine("r1"), machine("r2")]), 0.0)
    taker = MachineFeed(StaticMemberView(OTHER, [OWN]), random.Random(2))
    (query,) = taker.handle(Tick(), 0.0)
    (answer,) = feeds[0].handle(PeerMessage("node", query.message), 0.0)
    (told,) = taker.handle(PeerMessage(OWN.address, answer.message), 0.0)
    taker.handle(told.event, 0.0)
    feeds[1].handle(MachinesListed([machine("r2", "leaving")]), 0.0)
    (query,) = taker.handle(Tick(), 5.0)
    (answer,) = feeds[1].handle(PeerMessage("node", query.message), 5.0)
    assert not answer.message.complete
    assert {(e.name, e.state) for e in answer.message.machines} == {
        ("r1", "removed"),
        ("r2", "leaving"),
    }
    (whole,) = feeds[1].handle(PeerMessage("node", MachinesQuery(12345)), 5.0)
    assert whole.message.complete and len(whole.message.machines) == 1


def test_a_list_that_changes_shares_what_stays_the_same():
    reader = MachineFeed(StaticMemberView(OWN, [OWN]), random.Random(1))
    taker = MachineFeed(StaticMemberView(OTHER, [OWN]), random.Random(2))
    known = []
    for state in ("live", "leaving"):
        reader.handle(MachinesListed([machine("r1", state), machine("r2")]), 0.0)
        (query,) = taker.handle(Tick(), len(known) * 5.0)
        (answer,) = reader.handle(PeerMessage(OTHER.address, query.message), 0.0)
        (told,) = taker.handle(PeerMessage(OWN.address, decode(encode(answer.message))), 0.0)
        taker.handle(told.event, 0.0)
        known.append({listed.name: listed for listed in told.event.machines})
    assert known[1]["r2"] is known[0]["r2"]
    assert known[1]["r1"].state == "leaving" and known[1]["r1"].name is known[0]["r1"].name
    assert known[0]["r1"].zone is known[0]["r2"].zone, "few texts that many machines have"


def test_a_whole_list_is_packed_once_and_one_that_can_not_be_read_is_asked_for_again():
    reader = MachineFeed(StaticMemberView(OWN, [OWN]), random.Random(1))
    reader.handle(MachinesListed([machine("r1"), machine("r2", zone="b")]), 0.0)
    asked = PeerMessage("node", MachinesQuery(0, True))
    (first,), (second,) = reader.handle(asked, 0.0), reader.handle(asked, 0.0)
    assert first.message.packed is second.message.packed and not first.message.machines
    taker = MachineFeed(StaticMemberView(OTHER, [OWN]), random.Random(2))
    broken = MachinesUpdate(first.message.digest, True, [], first.message.packed[:-9])
    assert taker.handle(PeerMessage(OWN.address, broken), 0.0) == []
    (query,) = taker.handle(Tick(), 5.0)
    assert query.message == MachinesQuery(ASK_FOR_ALL, True)
    (told,) = taker.handle(PeerMessage(OWN.address, first.message), 5.0)
    assert told.event.machines == [machine("r1"), machine("r2", zone="b")]
    reader.handle(MachinesListed([machine("r1")]), 0.0)
    (changed,) = reader.handle(asked, 0.0)
    (told,) = taker.handle(PeerMessage(OWN.address, changed.message), 5.0)
    assert told.event.machines == [machine("r1")]


@pytest.mark.parametrize("seed", range(3))
def test_digests_kept_from_change_to_change_are_those_of_the_lists(seed):
    rng = random.Random(seed)
    followed = MachineFeed(StaticMemberView(OWN, [OWN]), random.Random(1))
    taker = MachineFeed(StaticMemberView(OTHER, [OWN]), random.Random(2))
    for step in range(40):
        names = rng.sample(range(12), rng.randrange(1, 12))
        listed = [machine(f"r{n}", rng.choice(["live", "leaving"])) for n in names]
        # A machine that is listed twice counts once.
        followed.handle(MachinesListed([*listed, listed[0]]), 0.0)
        (query,) = taker.handle(Tick(), step * 5.0)
        (answer,) = followed.handle(PeerMessage(OTHER.address, query.message), 0.0)
        for told in taker.handle(PeerMessage(OWN.address, answer.message), step * 5.0):
            taker.handle(told.event, step * 5.0)
        fresh = MachineFeed(StaticMemberView(OWN, [OWN]), random.Random(1))
        fresh.handle(MachinesListed(listed), 0.0)
        (whole,) = fresh.handle(PeerMessage("node", MachinesQuery(ASK_FOR_ALL, True)), 0.0)
        (known,) = taker.handle(PeerMessage("node", MachinesQuery(ASK_FOR_ALL, True)), 0.0)
        assert answer.message.digest == known.message.digest == whole.message.digest
        by_name = [sorted(known, key=str) for known in (taker._known, listed)]
        assert by_name[0] == by_name[1]


def test_an_update_that_does_not_lead_to_its_digest_changes_nothing():
    taker = MachineFeed(StaticMemberView(OTHER, [OWN]), random.Random(2))
    wrong = MachinesUpdate(77, False, [MachineEntry("r", "engine", "10.1.0.1:80", "a")])
    for _time in range(MISMATCHES):
        assert taker.handle(PeerMessage(OWN.address, wrong), 0.0) == []
    (query,) = taker.handle(Tick(), 0.0)
    assert query.message == MachinesQuery(ASK_FOR_ALL, True)
