"""Usage over all nodes: sums, lost and repeated digests, node death, restarts."""

import random

import pytest

from martenrun.events import PeerMessage, Send, Tick
from martenrun.membership.view import Member, StaticMemberView
from martenrun.sharing.aggregation import REPORT_INTERVAL_S
from martenrun.sharing.decay import kept
from martenrun.sharing.records import (
    UsageRecord,
    as_told,
    pack,
    pack_rates,
    tenant_id,
    unpack,
    unpack_rates,
)
from martenrun.sharing.usage import RECORDS_PER_REPORT, UsageExchange
from martenrun.simulation.hollow import HollowProcess
from martenrun.simulation.network import LinkFaults, SimulatedNetwork
from martenrun.simulation.scheduler import Scheduler
from martenrun.wire.messages import UsageDigest, UsageTotals


class Cluster:
    """Hollow nodes in zones that serve steady rates."""

    def __init__(self, zones: list[str], faults: LinkFaults | None = None) -> None:
        self.scheduler = Scheduler()
        faults = faults or LinkFaults()
        self.network = SimulatedNetwork(self.scheduler, random.Random(1), faults)
        self.members = [Member(f"10.0.0.{i}:1", zone) for i, zone in enumerate(zones)]
        self.views = [StaticMemberView(member, self.members) for member in self.members]
        self.rates: dict[tuple[int, str], float] = {}
        self.nodes: list[UsageExchange] = []
        self.processes: list[HollowProcess] = []
        for index in range(len(zones)):
            self.start(index)
        self.scheduler.after(0.0, self.work)

    def start(self, index: int, seed: int = 0) -> None:
        node = UsageExchange(self.views[index], random.Random(100 * seed + index))
        name = self.members[index].address
        process = HollowProcess(name, [node], self.scheduler, self.network, {})
        self.nodes[index : index + 1] = [node]
        self.processes[index : index + 1] = [process]

    def work(self) -> None:
        for (index, tenant), rate in self.rates.items():
            self.nodes[index].served(tenant, rate / 10, self.scheduler.now)
            self.nodes[index].demanded(tenant, rate / 5, self.scheduler.now)
        self.scheduler.after(0.1, self.work)

    def run(self, seconds: float) -> None:
        self.scheduler.run_until(self.scheduler.now + seconds)

    def total(self, index: int, tenant: str) -> float:
        return self.nodes[index].usage(tenant, self.scheduler.now).all_usage

    def share(self, index: int, tenant: str) -> float:
        usage = self.nodes[index].usage(tenant, self.scheduler.now)
        return self.nodes[index].share_of(usage.own_demand, usage.all_demand)


ZONES = ["a", "a", "a", "b", "b", "c"]


@pytest.mark.parametrize(
    "faults", [LinkFaults(), LinkFaults(loss=0.2, duplicate=0.2, jitter_s=0.5)], ids=["good", "bad"]
)
def test_every_node_learns_the_sum_over_all_zones(faults):
    cluster = Cluster(ZONES, faults)
    cluster.rates = {(index, "big"): 100.0 * (index + 1) for index in range(6)}
    cluster.run(90.0)
    for index in range(6):
        assert cluster.total(index, "big") == pytest.approx(2_100.0, rel=0.12)


def test_limits_are_divided_in_proportion_to_demand():
    cluster = Cluster(ZONES)
    cluster.rates = {(0, "t"): 300.0, (5, "t"): 100.0, (1, "lone"): 50.0}
    cluster.run(90.0)
    assert cluster.share(0, "t") == pytest.approx(0.75, rel=0.1)
    assert cluster.share(5, "t") == pytest.approx(0.25, rel=0.12)
    assert cluster.share(1, "lone") == pytest.approx(1.0, rel=0.1)
    assert cluster.share(2, "never seen") == 1.0
    assert 0 < cluster.nodes[2].share_of(0.0, 500.0) < 1 / 6


def test_the_part_of_a_dead_node_ages_out_also_while_it_is_still_listed():
    cluster = Cluster(ZONES)
    cluster.rates = {(0, "t"): 100.0, (4, "t"): 100.0}
    cluster.run(60.0)
    assert cluster.total(0, "t") == pytest.approx(200.0, rel=0.12)
    cluster.processes[4].kill()
    del cluster.rates[(4, "t")]
    cluster.run(60.0)
    assert cluster.total(0, "t") == pytest.approx(100.0, rel=0.12)


def test_another_member_takes_over_the_shard_of_a_dead_node():
    cluster = Cluster(ZONES)
    cluster.rates = {(index, "t"): 100.0 for index in range(6)}
    cluster.run(60.0)
    adder = cluster.nodes[0]._adder("a", tenant_id("t"))
    dead = next(i for i, member in enumerate(cluster.members) if member.address == adder)
    cluster.processes[dead].kill()
    for tenant_node in [key for key in cluster.rates if key[0] == dead]:
        del cluster.rates[tenant_node]
    left = [member for member in cluster.members if member.address != adder]
    for view in cluster.views:
        view.members = left
    cluster.run(60.0)
    assert cluster.total((dead + 1) % 3, "t") == pytest.approx(500.0, rel=0.12)


def test_a_restarted_node_is_heard_although_its_sequence_starts_again():
    cluster = Cluster(ZONES)
    cluster.rates = {(0, "t"): 100.0, (1, "t"): 100.0}
    cluster.run(60.0)
    cluster.processes[1].kill()
    cluster.start(1, seed=1)
    cluster.run(60.0)
    assert cluster.total(0, "t") == pytest.approx(200.0, rel=0.12)


def test_a_cut_lets_each_side_share_by_what_it_sees_and_heals():
    cluster = Cluster(ZONES)
    cluster.rates = {(0, "t"): 100.0, (5, "t"): 100.0}
    cluster.run(60.0)
    cluster.network.cut([[cluster.members[5].address]])
    cluster.run(60.0)
    assert cluster.total(0, "t") == pytest.approx(100.0, rel=0.12)
    cluster.network.heal()
    cluster.run(60.0)
    assert cluster.total(0, "t") == pytest.approx(200.0, rel=0.12)


def test_a_node_that_serves_nothing_of_a_tenant_learns_its_sum_by_watching():
    cluster = Cluster(ZONES)
    cluster.rates = {(0, "t"): 300.0, (1, "t"): -100.0}
    cluster.run(60.0)
    assert cluster.total(5, "t") == 0.0
    for _ in range(20):
        cluster.nodes[5].watch("t", cluster.scheduler.now)
        cluster.run(1.0)
    assert cluster.total(5, "t") == pytest.approx(200.0, rel=0.12)


def adder(records: list[UsageRecord]) -> tuple[UsageExchange, UsageDigest]:
    own = Member("10.0.0.1:1", "a")
    node = UsageExchange(StaticMemberView(own, [own]), random.Random(1))
    return node, UsageDigest(7, 1, "", pack(records))


def test_a_repeated_or_overtaken_digest_is_not_taken_in_or_answered():
    node, digest = adder([UsageRecord(5, 100.0, 0.0)])
    assert len(node.handle(PeerMessage("peer", digest), 0.0)) == 1
    assert node.handle(PeerMessage("peer", digest), 0.0) == []
    older = UsageDigest(7, 0, "", pack([UsageRecord(5, 900.0, 0.0)]))
    assert node.handle(PeerMessage("peer", older), 0.0) == []
    newer = UsageDigest(7, 2, "", pack([UsageRecord(5, 100.0, 0.0)]))
    (answer,) = node.handle(PeerMessage("peer", newer), 0.0)
    assert isinstance(answer, Send)
    (total,) = unpack_rates([5], answer.message.records)
    assert total.usage == pytest.approx(100.0)


def test_a_report_whose_answer_was_lost_is_repeated_and_an_answered_one_is_not():
    own, adder = Member("10.0.0.1:1", "a"), Member("10.0.0.2:1", "a")
    node = UsageExchange(StaticMemberView(own, [own, adder]), random.Random(1))
    node.served("t", 10_000.0, 0.0)

    node.handle(Tick(), 0.0)
    step_s = 1.2 * REPORT_INTERVAL_S

    def reports(turn):
        node.served("t", 10_000.0 * (1.0 - kept(step_s)), turn * step_s)  # A steady rate.
        return [item for item in node.handle(Tick(), turn * step_s) if isinstance(item, Send)]

    first, repeated = reports(1), reports(2)
    assert len(first) == len(repeated) == 1
    asked = repeated[0].message
    totals = pack_rates(unpack(asked.records))
    for malformed in (totals + b"\0" * 4, b"\xff" * 4):
        broken = UsageTotals(asked.incarnation, asked.sequence, 0.0, malformed)
        node.handle(PeerMessage(repeated[0].peer, broken), 2.1 * step_s)
        assert "t" in node._unanswered
    answer = UsageTotals(asked.incarnation, asked.sequence, 0.0, totals)
    node.handle(PeerMessage(repeated[0].peer, answer), 2.1 * step_s)
    assert reports(3) == []


def test_a_tenant_that_no_other_node_uses_has_its_whole_limits_whatever_its_rates():
    cluster = Cluster(ZONES)
    cluster.rates = {(0, f"t{number}"): 10.0 + 7.7**number for number in range(5)}
    cluster.run(30.0)
    assert [cluster.share(0, f"t{number}") for number in range(5)] == [1.0] * 5


@pytest.mark.parametrize("rate", [0.0, 1.0, -3.3, 257.0, 1e9 + 1])
def test_a_rate_is_told_within_two_to_the_minus_eight(rate):
    assert as_told(rate) == pytest.approx(rate, rel=2**-8)
    assert as_told(as_told(rate)) == as_told(rate)
    assert unpack(pack([UsageRecord(2**48 - 1, rate, 1.0)])) == [
        UsageRecord(2**48 - 1, as_told(rate), 1.0)
    ]


def test_malformed_records_are_dropped():
    bad = [
        UsageRecord(1, float("nan"), 0.0),
        UsageRecord(2, float("-inf"), 0.0),
        UsageRecord(3, 1e15, 0.0),
    ]
    assert unpack(pack([*bad, UsageRecord(4, 1.0, 2.0)]) + b"tail") == [UsageRecord(4, 1.0, 2.0)]


def test_a_report_is_bounded_and_large_tenants_go_first():
    own = Member("10.0.0.1:1", "a")
    node = UsageExchange(StaticMemberView(own, [own]), random.Random(1))
    for number in range(500):
        node.served(f"t{number}", 1_000.0 + number, 0.0)
    node.handle(Tick(), 0.0)
    sent = [
        item.message for item in node.handle(Tick(), REPORT_INTERVAL_S) if isinstance(item, Send)
    ]
    reported = {record.tenant_id for digest in sent for record in unpack(digest.records)}
    assert reported == {tenant_id(f"t{number}") for number in range(500 - RECORDS_PER_REPORT, 500)}
