"""A node owns nothing until it knows the members that it shares the runners with."""

import random

import pytest

from martenrun.backends.machine_list import Machine
from martenrun.bench.scale.cluster import ScaleCluster
from martenrun.events import MachinesListed, PeerMessage, Tick
from martenrun.membership.gossip import GossipMembership
from martenrun.membership.joining import JOIN_WAIT_S, QUIET_S, SETTLE_LIMIT_S, Joining
from martenrun.membership.record import MemberStatus
from martenrun.membership.view import Member, StaticMemberView
from martenrun.node.runners import RunnerTable
from martenrun.ownership.owner import OwnerLogic
from martenrun.ownership.owners import OwnerMap
from martenrun.settings.model import MembershipSettings
from martenrun.wire.messages import MemberClaim, MemberList, ReserveSlot

OWN = Member("a:1", "zone")
TICK_S = 0.05


def settled_after_s(seeds, answer_at_s=None, remembered=()):
    view = GossipMembership(OWN, seeds, MembershipSettings(), random.Random(1))
    for step in range(200):
        if step * TICK_S == answer_at_s:
            claims = [MemberClaim("b:1", "zone", "", 0, 0), *remembered]
            view.handle(PeerMessage("b:1", MemberList(False, claims)), answer_at_s)
        view.handle(Tick(), step * TICK_S)
        if view.is_settled:
            return pytest.approx(step * TICK_S)
    raise AssertionError("it never settled")


def test_a_node_without_other_seeds_is_settled_at_once():
    assert settled_after_s([]) == 0.0
    assert settled_after_s([OWN.address]) == 0.0


def test_a_node_whose_seeds_are_dead_goes_on_alone():
    assert settled_after_s(["b:1"]) == JOIN_WAIT_S


def test_a_node_is_settled_soon_after_a_member_has_told_it_the_others():
    assert settled_after_s(["b:1"], answer_at_s=2 * TICK_S) == 2 * TICK_S + QUIET_S


def test_a_restarted_node_is_settled_with_the_answer_of_a_member_that_remembers_it():
    earlier = MemberClaim(OWN.address, OWN.zone, "", 0, int(MemberStatus.SUSPECTED))
    assert settled_after_s(["b:1"], 2 * TICK_S, [earlier]) == 2 * TICK_S


def test_members_that_never_stop_to_change_delay_a_node_for_a_bounded_time():
    joining = Joining(has_seeds=True)
    joining.answered(False, 1.0)
    joining.update(members_changed_at=2.9, now=2.9)
    assert not joining.is_settled
    joining.update(members_changed_at=1.0 + SETTLE_LIMIT_S, now=1.0 + SETTLE_LIMIT_S)
    assert joining.is_settled


def test_an_owner_that_is_not_settled_owns_nothing_and_says_nothing_of_its_runners():
    view = StaticMemberView(OWN, [OWN], is_settled=False)
    table, owners = RunnerTable(), OwnerMap(view)
    logic = OwnerLogic(owners, table)
    table.handle(MachinesListed([Machine("r", "engine", "c:1", "zone", "pool")]), 0.0)
    logic.handle(Tick(), 0.0)
    reservation = PeerMessage("home", ReserveSlot(1, "r", "t", 0, 10, 5_000, True, ""))
    assert (logic.owned, owners.owned(), owners.owns("r")) == ({}, set(), False)
    assert logic.handle(reservation, 0.1) == []
    view.is_settled = True
    assert logic.handle(reservation, 0.2)
    assert owners.owns("r") and set(logic.owned) == {"r"}


def test_nodes_of_a_herd_never_own_much_more_than_their_share():
    cluster = ScaleCluster(nodes=24, runners=240, agents=0, seed=2)
    most = 0
    while cluster.scheduler.now < 5.0:
        cluster.scheduler.run_until(cluster.scheduler.now + TICK_S)
        owned = [len(node.parts.ownership.owner.owned) for node in cluster.nodes.values()]
        most = max(most, *owned)
    assert sum(owned) == 240
    assert most <= 40, "a zone's runners, not those of all"
