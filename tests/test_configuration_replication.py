"""Tests of configuration between the object API, nodes and agents, in virtual time."""

import json
import random
from math import inf

import pytest

from martenrun.agent.configuration import AgentConfigurationLogic
from martenrun.configuration import replica
from martenrun.configuration.first_copy import first_read_delay_s
from martenrun.configuration.state import MAXIMUM_REMOVALS, ConfigurationState
from martenrun.events import PeerMessage, Send, Tick
from martenrun.membership.gossip import GossipMembership
from martenrun.membership.view import Member, StaticMemberView
from martenrun.node.configuration import NodeConfigurationLogic
from martenrun.settings.model import MembershipSettings
from martenrun.simulation.hollow import HollowProcess
from martenrun.simulation.network import LinkFaults, SimulatedNetwork
from martenrun.simulation.scheduler import Scheduler
from martenrun.simulation.store import SimulatedStore, StoreFaults
from martenrun.wire.messages import (
    AttemptReport,
    ConfigurationObject,
    ConfigurationQuery,
    ConfigurationUpdate,
)


class Cluster:
    """Hollow nodes and agents with an object API; revisions in force are seen to only rise."""

    def __init__(self, nodes=8, agents=3, regions=1, loss=0.05, gossip=False):
        self.gossip = gossip
        self.scheduler = Scheduler()
        self.network = SimulatedNetwork(
            self.scheduler, random.Random(1), LinkFaults(loss=loss, duplicate=0.05)
        )
        self.store = SimulatedStore(self.scheduler, random.Random(2), StoreFaults())
        self.members = [
            Member(f"10.0.0.{index}:1", region=f"region-{index % regions}")
            for index in range(nodes)
        ]
        self.logic, self.processes, self.versions = {}, {}, {}
        for member in self.members:
            self.start_node(member)
        for index in range(agents):
            self._start(
                f"agent/{index}",
                AgentConfigurationLogic(
                    [member.address for member in self.members], random.Random(index)
                ),
                {},
            )

    def start_node(self, member, run=0, others_known=True):
        name = member.address
        seeds = [other.address for other in self.members]
        view = StaticMemberView(member, self.members if others_known else [member])
        if self.gossip:
            view = GossipMembership(member, seeds, MembershipSettings(), random.Random(name))
        logic = NodeConfigurationLogic(name, seeds, view, random.Random(f"{name}/{run}"))
        carriers = self.store.carriers(name, lambda e: self.processes[name].tell(e))
        self._start(name, logic, carriers, [view] if self.gossip else [])

    def _start(self, name, logic, carriers, others=()):
        self.logic[name] = logic
        self.processes[name] = HollowProcess(
            name, [*others, logic], self.scheduler, self.network, carriers, tick_interval_s=0.1
        )

    def publish(self, weight, name="a"):
        version = self.versions.get(name, 0)
        document = None if weight is None else json.dumps({"weight": weight}).encode()
        self.versions[name] = self.store.write("tenants", name, version, document)
        if weight is None:
            self.versions[name] = 0

    def weights(self, name="a"):
        found = set()
        for logic in self.logic.values():
            tenants = {key[1]: item for key, item in logic.state.view.documents.items()}
            found.add(tenants[name].weight if name in tenants else None)
        return found

    def run(self, seconds):
        until = self.scheduler.now + seconds
        before = {name: logic.state.revision for name, logic in self.logic.items()}
        while self.scheduler.now < until:
            self.scheduler.run_until(min(until, self.scheduler.now + 0.1))
            after = {name: logic.state.revision for name, logic in self.logic.items()}
            for name, revision in after.items():
                assert revision >= before[name], f"{name} went back"
            before = after

    def run_until(self, condition, seconds):
        until = self.scheduler.now + seconds
        while not condition():
            assert self.scheduler.now < until, f"not within {seconds} s of virtual time"
            self.run(0.1)

    def watchers(self):
        return [
            name
            for name, logic in self.logic.items()
            if isinstance(logic, NodeConfigurationLogic) and logic.watching.holds_lease
        ]


@pytest.fixture
def cluster():
    running = Cluster()
    running.publish(1)
    running.run_until(lambda: running.weights() == {1.0}, 12)
    return running


def test_a_change_is_in_force_everywhere_with_two_watchers(cluster):
    cluster.publish(2)
    cluster.run_until(lambda: cluster.weights() == {2.0}, 12)
    assert len(cluster.watchers()) == 2


def test_a_change_after_a_quiet_time_is_in_force_everywhere(cluster):
    # Meanwhile only leases are written; they move the store's revision.
    cluster.run(30)
    cluster.publish(2)
    cluster.run_until(lambda: cluster.weights() == {2.0}, 12)


def test_removals_missed_during_compaction_are_listed_again(cluster):
    cluster.publish(1, "removed")
    cluster.run_until(lambda: cluster.weights("removed") == {1.0}, 12)
    cluster.store.unreachable = {member.address for member in cluster.members}
    cluster.run(6)
    cluster.publish(None, "removed")
    cluster.store.store.compact()
    cluster.publish(3)
    cluster.store.unreachable = set()
    cluster.run_until(lambda: cluster.weights() == {3.0}, 12)
    assert cluster.weights("removed") == {None}


def test_nodes_restarted_with_the_store_down_learn_from_agents(cluster):
    cluster.store.faults.down = True
    for member in cluster.members:
        cluster.processes[member.address].kill()
        cluster.start_node(member, run=1)
    assert cluster.weights() == {1.0, None}
    cluster.run_until(lambda: cluster.weights() == {1.0}, 8)


def test_nodes_restarted_together_read_a_copy_without_waiting_for_the_lease():
    cluster = Cluster(agents=0)
    cluster.publish(1)
    cluster.run_until(lambda: cluster.weights() == {1.0}, 12)
    watchers = cluster.watchers()
    for member in cluster.members:
        cluster.processes[member.address].kill()
        if member.address in watchers:
            # It does not come back, and its lease lapses only after ten seconds.
            del cluster.logic[member.address]
        else:
            cluster.start_node(member, run=1)
    cluster.run_until(lambda: cluster.weights() == {1.0}, 2.0)


def test_few_nodes_read_a_first_copy_and_no_two_sets_differ():
    seeds = [f"10.0.0.{index}:1" for index in range(40)]
    delays = [first_read_delay_s(own, seeds) for own in seeds]
    assert sorted(delays)[:9] == [0.0, 0.0, 0.5, 0.5, 1.0, 1.0, 1.5, 1.5, inf]
    assert delays == [first_read_delay_s(own, seeds[::-1]) for own in seeds]
    assert first_read_delay_s("10.0.1.1:1", seeds) == inf
    assert first_read_delay_s("10.0.1.1:1", []) == 0.0


def test_a_node_without_a_copy_asks_an_agent_that_sends_anything():
    logic = NodeConfigurationLogic("10.0.0.1:1", [], None, random.Random(0))
    report = PeerMessage("agent/0", AttemptReport("request", 1, "runner", "complete", 1, 0, 1, 0.1))
    assert logic.handle(report, 0.0) == [Send("agent/0", ConfigurationQuery(0))]
    assert logic.handle(report, 0.0) == []


def test_an_agent_that_meets_an_empty_node_offers_its_copy_to_others(cluster):
    nodes = [member.address for member in cluster.members]
    agent = cluster.logic["agent/0"]
    empty = PeerMessage(nodes[0], ConfigurationQuery(0))
    sent = agent.handle(empty, cluster.scheduler.now + 100.0)[1:]
    assert [item.message for item in sent] == [ConfigurationQuery(agent.state.revision)] * 3
    assert len({item.peer for item in sent} & set(nodes[1:])) == 3
    again = agent.handle(empty, cluster.scheduler.now + 100.0)
    assert len(again) == 1


def test_a_restarted_node_takes_the_newest_of_the_offered_copies(cluster):
    # One peer is cut off with the old copy; the restarted node hears it first.
    stale, restarted = cluster.members[0], cluster.members[1]
    cluster.network.cut([[stale.address]])
    cluster.store.unreachable = {stale.address}
    cluster.publish(5)
    cluster.run(12)
    assert cluster.weights() == {1.0, 5.0}
    logic = NodeConfigurationLogic(restarted.address, [], None, random.Random(0))
    old = cluster.logic[stale.address].state.update_since(0)
    new = cluster.logic[restarted.address].state.update_since(0)
    for peer, offer in (("old", old), ("new", new), ("old", old)):
        logic._replica.take_in(peer, offer, 0.0)
        assert logic.state.revision == 0
    logic.handle(Tick(), replica.SETTLE_S)
    assert logic.state.view.tenant("a").weight == 5.0
    cluster.network.heal()
    cluster.run_until(lambda: cluster.weights() == {5.0}, 12)


def test_a_region_that_was_cut_off_catches_up():
    cluster = Cluster(nodes=9, regions=3)
    cluster.publish(1)
    cluster.run_until(lambda: cluster.weights() == {1.0}, 12)
    region = [member.address for member in cluster.members if member.region == "region-1"]
    cluster.network.cut([region])
    cluster.store.unreachable = set(region)
    cluster.publish(2)
    cluster.run(20)
    assert cluster.weights() == {1.0, 2.0}
    cluster.store.unreachable = set()
    cluster.network.heal()
    cluster.run_until(lambda: cluster.weights() == {2.0}, 12)


def test_a_watcher_paused_past_its_lease_is_replaced_and_changes_nothing(cluster):
    cluster.run(2)
    paused = cluster.watchers()
    for name in paused:
        cluster.processes[name].freeze()
    cluster.publish(2)
    others = {name: logic for name, logic in cluster.logic.items() if name not in paused}
    cluster.run_until(
        lambda: all(logic.state.view.tenant("a").weight == 2.0 for logic in others.values()), 60
    )
    for name in paused:
        assert cluster.logic[name].watching.holds_lease
        cluster.processes[name].thaw()
    cluster.run_until(lambda: cluster.weights() == {2.0}, 12)
    cluster.run_until(lambda: len(cluster.watchers()) == 2, 20)


@pytest.mark.parametrize("nodes", [3, 8])
def test_a_change_is_in_force_within_twelve_seconds_although_both_watchers_have_died(nodes):
    cluster = Cluster(nodes, agents=0, gossip=True)
    cluster.publish(1)
    cluster.run(34)
    for name in cluster.watchers():
        cluster.processes[name].kill()
        del cluster.logic[name]
    cluster.publish(2)
    cluster.run_until(lambda: cluster.weights() == {2.0}, 12)
    cluster.run_until(lambda: len(cluster.watchers()) == min(2, nodes - 2), 12)


def test_nodes_that_reach_only_the_object_api_seldom_take_a_lease_from_each_other():
    cluster = Cluster(agents=0, gossip=True)
    cluster.publish(1)
    cluster.run(30)
    cluster.network.cut([[member.address] for member in cluster.members])
    cluster.run(30)
    calls = cluster.store.calls
    cluster.run(100)
    assert cluster.store.calls - calls < 0.75 * 100 * len(cluster.members)


@pytest.mark.parametrize("run", range(1, 6))
def test_a_restarted_watcher_takes_its_own_lease_while_the_other_one_is_paused(run):
    cluster = Cluster(nodes=2, agents=1, loss=0.0)
    cluster.publish(1)
    cluster.run_until(lambda: len(cluster.watchers()) == 2, 12)
    for restarted in range(2):
        member, paused = cluster.members[restarted], cluster.members[1 - restarted].address
        cluster.processes[member.address].kill()
        cluster.processes[paused].freeze()
        cluster.start_node(member, run, others_known=False)
        cluster.run_until(lambda member=member: member.address in cluster.watchers(), 4)
        cluster.processes[paused].thaw()
        cluster.run_until(lambda: len(cluster.watchers()) == 2, 4)


def test_an_agent_without_a_copy_asks_several_nodes_at_once():
    nodes = [f"10.0.0.{index}:1" for index in range(8)]
    sent = AgentConfigurationLogic(nodes, random.Random(1)).handle(Tick(), 0.0)
    assert len({query.peer for query in sent}) == 3


@pytest.mark.parametrize("seed", range(5))
def test_an_agent_asks_every_node_before_a_silent_one_again(seed):
    nodes = [f"10.0.0.{index}:1" for index in range(4)]
    agent = AgentConfigurationLogic(nodes, random.Random(seed))
    agent.state.apply(ConfigurationUpdate(0, 1))
    for start in (0.0, 10.0):
        sent = [agent.handle(Tick(), start + 0.6 * step) for step in range(4)]
        assert {query.peer for (query,) in sent} == set(nodes)


def test_watchers_outlive_lost_answers_of_the_store(cluster):
    cluster.store.faults.lose_write_probability = 0.5
    cluster.store.faults.lose_read_probability = 0.3
    for weight in range(2, 8):
        cluster.publish(weight)
        cluster.run_until(lambda weight=weight: cluster.weights() == {float(weight)}, 30)


def test_an_update_with_a_gap_makes_the_node_ask_its_sender():
    copy = replica.ConfigurationReplica([], random.Random(0))
    late = ConfigurationUpdate(7, 8, [ConfigurationObject("tenants", "a", 8, False, b"{}")])
    assert copy.take_in("sender", late, 0.0) == [Send("sender", replica.ConfigurationQuery(0))]
    assert copy.state.revision == 0


def test_an_older_complete_copy_changes_nothing_and_a_newer_one_removes():
    state = ConfigurationState()
    items = [ConfigurationObject("tenants", name, 4, False, b"{}") for name in ("a", "b")]
    state.apply(ConfigurationUpdate(0, 4, items))
    assert not state.apply(ConfigurationUpdate(0, 3, items[:1], complete=True))
    assert state.apply(ConfigurationUpdate(0, 9, items[:1], complete=True))
    assert [name for _kind, name in state.view.documents] == ["a"]


def test_a_copy_from_before_the_remembered_removals_is_complete():
    state, copy = ConfigurationState(), ConfigurationState()
    state.apply(ConfigurationUpdate(0, 1, [ConfigurationObject("tenants", "a", 1, False, b"{}")]))
    copy.apply(state.update_since(0))
    for revision in range(2, MAXIMUM_REMOVALS + 4):
        name = "a" if revision == 2 else f"r{revision}"
        gone = ConfigurationObject("tenants", name, revision, deleted=True)
        state.apply(ConfigurationUpdate(revision - 1, revision, [gone]))
    update = state.update_since(copy.revision)
    assert update.complete
    copy.apply(update)
    assert copy.view.documents == {}


def replica_with(count):
    full = replica.ConfigurationReplica([], random.Random(0))
    items = [
        ConfigurationObject("tenants", f"t{n}", n, False, b'{"weight":2}')
        for n in range(1, count + 1)
    ]
    full.state.apply(ConfigurationUpdate(0, count, items))
    return full


def test_a_new_process_takes_the_newest_long_copy_in_pages(monkeypatch):
    monkeypatch.setattr(replica, "PAGE_BYTES", 50)
    peers = {"old": replica_with(20), "new": replica_with(29), "older": replica_with(10)}
    empty = replica.ConfigurationReplica([], random.Random(0))
    for name, peer in peers.items():
        (answer,) = peer.answer("empty", replica.ConfigurationQuery(0))
        assert answer.message.continues
        assert empty.take_in(name, answer.message, 0.0) == []
    questions = empty.settle(replica.SETTLE_S)
    pages = 1
    while questions:
        assert empty.state.revision == 0
        assert questions[0].peer == "new"
        (answer,) = peers["new"].answer("empty", questions[0].message)
        # A page that comes twice changes nothing.
        questions = empty.take_in("new", answer.message, replica.SETTLE_S)
        assert empty.take_in("new", answer.message, replica.SETTLE_S) == []
        pages += 1
    assert pages > 3
    assert empty.state.view == peers["new"].state.view


def test_pages_that_stop_coming_are_asked_for_anew(monkeypatch):
    monkeypatch.setattr(replica, "PAGE_BYTES", 50)
    full, behind = replica_with(29), replica_with(2)
    (first,) = full.answer("behind", replica.ConfigurationQuery(2))
    behind.asked(0.0, 0.1)
    assert behind.take_in("dead", first.message, 0.0) != []
    assert not behind.is_question_due(replica.PAGE_TIMEOUT_S)
    late = replica.PAGE_TIMEOUT_S + 0.1
    assert behind.is_question_due(late)
    assert behind.take_in("alive", first.message, late) != []
