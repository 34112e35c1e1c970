"""Demand of pools over all nodes: sums that heal after losses, repetitions and deaths."""

import random

from martenrun.backends.engine import RunnerDescription
from martenrun.backends.machine_list import Machine
from martenrun.configuration.objects import Kind, Pool
from martenrun.configuration.view import ConfigurationView
from martenrun.events import MachinesListed, PeerMessage, RunnerDescribed, Tick
from martenrun.membership.view import Member, StaticMemberView
from martenrun.node.runners import RunnerTable
from martenrun.ownership.pool_ids import pool_id
from martenrun.ownership.slots import RunnerSlots
from martenrun.scaling.demand import HOLD_S, DemandExchange, total
from martenrun.scaling.limits import ScalingLimits
from martenrun.wire.messages import PoolDemand

NODES, ZONES = 8, 2
POOL = Pool(
    model="m",
    weights_version="v1",
    minimum_runners=1,
    maximum_runners=9,
    scaling=ScalingLimits(),
)


class Cluster:
    """Nodes with one runner each; messages are lost, repeated and late."""

    def __init__(self, seed, loss=0.0, copies=1):
        self.rng, self.loss, self.copies = random.Random(seed), loss, copies
        self.now = 0.0
        self.members = [Member(f"n{i}", f"zone-{i % ZONES}") for i in range(NODES)]
        self.nodes = {member.address: self.node(member) for member in self.members}

    def node(self, member):
        view = ConfigurationView.build(1, {(Kind.POOL, "readers"): POOL})
        table, name = RunnerTable(view=lambda: view), f"runner-{member.address}"
        table.handle(MachinesListed([Machine(name, "engine", "a", member.zone, "readers")]), 0.0)
        described = RunnerDescription("one", "m", "v1", 3, 8, 5)
        slots = RunnerSlots(name)
        slots.described_as(described, 0.0)
        exchange = DemandExchange(
            StaticMemberView(member, self.members),
            table,
            lambda: view,
            lambda: {name: slots},
            random.Random(self.rng.random()),
        )
        exchange.handle(RunnerDescribed(name, described), 0.0)
        return exchange

    def run(self, time_s):
        until = self.now + time_s
        while self.now < until:
            self.now += 0.5
            for address, node in list(self.nodes.items()):
                for sent in node.handle(Tick(), self.now):
                    for _ in range(self.copies):
                        if self.rng.random() >= self.loss and sent.peer in self.nodes:
                            event = PeerMessage(address, sent.message)
                            self.nodes[sent.peer].handle(event, self.now)

    def kill(self, address):
        del self.nodes[address]
        self.members = [member for member in self.members if member.address != address]
        for node in self.nodes.values():
            node._members.members = self.members

    def known(self):
        decider = next(node for node in self.nodes.values() if node.is_decider)
        zones = decider.zones(self.now).values()
        return total(demand for zone in zones for demand in zone.values()).get(pool_id("readers"))


def test_sums_are_right_under_loss_and_repetition():
    cluster = Cluster(seed=1, loss=0.1, copies=2)
    cluster.run(20.0)
    found = cluster.known()
    assert (found.runners, found.slots, found.used_slots) == (8, 64, 24)
    assert (found.spare_runner.startswith("runner-"), found.spare_blocks) == (True, 5)


def test_dead_nodes_parts_end_and_others_take_their_place():
    cluster = Cluster(seed=2)
    cluster.run(20.0)
    adders = {node._adder for node in cluster.nodes.values()}
    decider = next(name for name, node in cluster.nodes.items() if node.is_decider)
    for address in {*adders, decider}:
        cluster.kill(address)
    cluster.run(2 * HOLD_S)
    assert cluster.known().runners == len(cluster.nodes)


def test_the_wait_is_the_mean_by_slots():
    found = total([PoolDemand(7, 1, 2, wait_ms=900), PoolDemand(7, 1, 4, wait_ms=300)])
    assert found[7].wait_ms == 500
