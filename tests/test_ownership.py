"""Nodes that share runners' slots: leases, queues, failures; in virtual time."""

import random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from martenrun.errors import error_classes
from martenrun.simulation.network import LinkFaults
from martenrun.simulation.ownership_cluster import OwnershipCluster

FAULTY = LinkFaults(delay_s=0.001, jitter_s=0.02, loss=0.02, duplicate=0.05)
RECOVERY_S = 75.0
"""Two lifetimes of a lease and some: after it nothing may be left."""


def finish(cluster, load_ends_s):
    cluster.scheduler.run_until(load_ends_s + RECOVERY_S)
    unfinished = [r for r in cluster.requests.values() if r.finished_at is None]
    assert not unfinished
    assert cluster.open_questions() == 0
    assert cluster.open_leases() == 0


def assert_typed_refusals(cluster):
    for request in cluster.requests.values():
        if request.refusal is not None:
            assert request.refusal.code in error_classes()
            assert request.refusal.ran == "no"


def test_without_failures_no_engine_refuses_and_nothing_leaks():
    cluster = OwnershipCluster(nodes=6, runners=24, seed=1)
    cluster.load(40.0, until_s=20.0, prefixes=100, service_s=2.0)
    for second in range(1, 20):
        cluster.scheduler.run_until(second)
        for node in cluster.nodes.values():
            for name, slots in node.ownership.owner.owned.items():
                assert len(slots.leases) <= cluster.engines[name].slots
    finish(cluster, 20.0)
    assert sum(engine.rejected for engine in cluster.engines.values()) == 0
    assert all(request.refusal is None for request in cluster.requests.values())


@settings(derandomize=True, deadline=None, max_examples=8)
@given(
    seed=st.integers(0, 10_000),
    noticed_s=st.sampled_from([0.5, 3.0]),
    has_split_views=st.booleans(),
)
def test_every_question_ends_once_and_all_leases_return(seed, noticed_s, has_split_views):
    cluster = OwnershipCluster(nodes=5, runners=10, seed=seed, faults=FAULTY)
    rng = random.Random(seed)
    cluster.load(12.0, until_s=15.0, prefixes=30, service_s=1.5)
    cluster.scheduler.run_until(3.0)
    killed = rng.choice(cluster.members)
    cluster.kill_node(killed.address, noticed_s)
    cluster.scheduler.run_until(6.0)
    cluster.engines["runner-1"].restart()
    cluster.change_machine("runner-2", "leaving")
    if has_split_views:
        for node in cluster.nodes.values():
            node.view.members = rng.sample(cluster.members, 3)
    cluster.scheduler.run_until(9.0)
    cluster.start_node(killed)
    finish(cluster, 15.0)
    assert_typed_refusals(cluster)
    late = [r for r in cluster.requests.values() if r.refusal and r.finished_at > r.deadline + 0.2]
    assert not late


def test_a_leaving_runner_gets_no_new_work_after_three_seconds():
    cluster = OwnershipCluster(nodes=4, runners=8, seed=3)
    cluster.load(15.0, until_s=15.0, prefixes=50, service_s=1.0)
    cluster.scheduler.run_until(5.0)
    assert cluster.engines["runner-0"].last_start > 4.0
    cluster.change_machine("runner-0", "leaving")
    finish(cluster, 15.0)
    assert cluster.engines["runner-0"].last_start < 8.0
    assert all(request.refusal is None for request in cluster.requests.values())


def test_an_overfull_pool_refuses_at_once_and_tells_waiting_agents():
    cluster = OwnershipCluster(nodes=3, runners=4, seed=4)
    for number in range(400):
        cluster.ask(number, service_s=2.0, deadline_s=6.0)
    finish(cluster, 6.0)
    assert_typed_refusals(cluster)
    requests = cluster.requests.values()
    refused = [request for request in requests if request.refusal is not None]
    assert 0 < len(refused) < len(requests)
    assert all(
        request.refusal.retry_after_s > 0
        for request in refused
        if request.refusal.code == "over_capacity"
    )
    assert any(request.queued_messages > 1 for request in requests)
    # No agent waited in silence long enough to ask another node.
    assert all(r.question.attempt == 1 + r.refused_retries for r in requests)
    assert sum(engine.rejected for engine in cluster.engines.values()) == 0


def test_waiting_questions_move_to_runners_that_become_free():
    cluster = OwnershipCluster(nodes=3, runners=4, seed=5)
    for _number in range(16):
        cluster.ask(1, service_s=100.0, deadline_s=200.0)
    cluster.scheduler.run_until(2.0)
    blocked = [cluster.ask(1, service_s=0.1, deadline_s=60.0) for _number in range(3)]
    cluster.scheduler.run_until(4.0)
    assert all(request.finished_at is None for request in blocked)
    cluster.engines["runner-3"].slots = 8
    cluster.scheduler.run_until(9.0)
    assert all(request.finished_at is not None for request in blocked)
    assert all(request.refusal is None for request in blocked)


def test_a_restarted_engine_is_granted_again_under_its_new_incarnation():
    cluster = OwnershipCluster(nodes=3, runners=1, seed=6)
    for _number in range(4):
        cluster.ask(1, service_s=100.0)
    cluster.scheduler.run_until(1.0)
    assert cluster.open_leases() == 4
    cluster.engines["runner-0"].restart()
    cluster.scheduler.run_until(3.0)
    assert cluster.open_leases() == 0
    request = cluster.ask(2, service_s=0.1)
    cluster.scheduler.run_until(5.0)
    assert request.finished_at is not None and request.refusal is None


@pytest.mark.parametrize("end", ["home", "owner"])
def test_leases_of_a_killed_node_do_not_overload_or_block_a_runner(end):
    cluster = OwnershipCluster(nodes=4, runners=1, seed=7)
    requests = [cluster.ask(n, service_s=12.0, deadline_s=60.0) for n in range(4)]
    cluster.scheduler.run_until(2.0)
    assert cluster.open_leases() == 4
    owner = next(a for a, n in cluster.nodes.items() if n.ownership.owner.owned)
    homes = {request.nodes[0] for request in requests} - {owner}
    cluster.kill_node(owner if end == "owner" else homes.pop(), noticed_after_s=1.0)
    cluster.scheduler.run_until(4.0)
    late = [cluster.ask(n, service_s=0.5, deadline_s=30.0) for n in range(4)]
    cluster.scheduler.run_until(11.0)
    # The four streams still run; the new or old owner must know.
    assert sum(engine.rejected for engine in cluster.engines.values()) == 0
    assert all(request.finished_at is None for request in late)
    finish(cluster, 34.0)
    assert all(request.refusal is None for request in late)


def test_an_owner_whose_death_nobody_has_noticed_delays_questions_by_little():
    cluster = OwnershipCluster(nodes=4, runners=16, seed=9)
    cluster.scheduler.run_until(1.0)
    owner = max(cluster.nodes, key=lambda a: len(cluster.nodes[a].ownership.owner.owned))
    cluster.kill_node(owner, noticed_after_s=1_000.0)
    requests = [cluster.ask(n, service_s=0.5) for n in range(30)]
    cluster.scheduler.run_until(5.0)
    assert all(request.finished_at is not None for request in requests)
    assert all(request.refusal is None for request in requests)
    to_live_homes = [request for request in requests if request.question.attempt == 1]
    assert len(to_live_homes) >= 15
    # Each silent owner costs its timeout of 0.15 s and a tick; service takes 0.5 s.
    assert all(request.finished_at < 1.0 + 0.5 + 3 * 0.25 for request in to_live_homes)


@pytest.mark.parametrize("seed", [11, 12])
def test_a_node_that_was_paused_while_others_took_over_leaves_no_lease(seed):
    faults = LinkFaults(delay_s=0.001, jitter_s=0.03, loss=0.05, duplicate=0.1)
    cluster = OwnershipCluster(nodes=5, runners=10, seed=seed, faults=faults, load_lag_s=1.0)
    cluster.load(14.0, until_s=15.0, prefixes=30, service_s=1.5)
    cluster.scheduler.run_until(3.0)
    paused = cluster.members[seed % 5].address
    cluster.nodes[paused].process.freeze()
    cluster.scheduler.run_until(5.0)
    everyone = {member.address for member in cluster.members}
    cluster.see_members(everyone - {paused})
    cluster.nodes[paused].view.members = cluster.members
    cluster.scheduler.run_until(9.0)
    cluster.nodes[paused].process.thaw()
    cluster.scheduler.run_until(10.0)
    cluster.see_members(everyone)
    finish(cluster, 15.0)
    assert_typed_refusals(cluster)


@pytest.mark.parametrize(("end", "noticed_s"), [("left", 0.0), ("killed", 0.0), ("killed", 3.0)])
def test_the_only_runner_stays_usable_while_its_owner_changes(end, noticed_s):
    cluster = OwnershipCluster(nodes=2, runners=1, seed=5, slots=8, zones=1)
    cluster.scheduler.run_until(1.6)
    (owner,) = (address for address, node in cluster.nodes.items() if node.ownership.owner.owned)
    if end == "left":
        cluster.see_members(cluster.nodes.keys() - {owner})
    else:
        cluster.kill_node(owner, noticed_s)
    for step in range(20):
        cluster.scheduler.after(0.05 * step, lambda step=step: cluster.ask(step, service_s=0.2))
    cluster.scheduler.run_until(20.0)
    assert len(cluster.requests) == 20
    assert [r.refusal.code for r in cluster.requests.values() if r.refusal] == []
    assert all(r.first_grant_s <= noticed_s + 2.5 for r in cluster.requests.values())
    assert sum(engine.rejected for engine in cluster.engines.values()) == 0


def test_a_question_at_a_silent_owner_waits_and_ends_with_its_deadline():
    cluster = OwnershipCluster(nodes=2, runners=1, seed=5, zones=1)
    cluster.scheduler.run_until(1.6)
    (owner,) = (address for address, node in cluster.nodes.items() if node.ownership.owner.owned)
    cluster.kill_node(owner, noticed_after_s=60.0)
    request = cluster.ask(1, service_s=0.2, deadline_s=4.0)
    cluster.scheduler.run_until(10.0)
    assert request.queued_messages > 0
    assert request.refusal.code == "deadline_exceeded"
    assert request.finished_at <= request.deadline + 0.2
    assert cluster.open_questions() == 0


def test_a_runner_that_never_describes_itself_is_refused_and_not_waited_for():
    cluster = OwnershipCluster(nodes=1, runners=1, seed=5, zones=1)
    cluster.engines["runner-0"].is_down = True
    request = cluster.ask(1, service_s=0.2, deadline_s=20.0)
    cluster.scheduler.run_until(3.0)
    assert request.refusal.code == "no_runner"


def owned_by_others(cluster):
    """Return a node, and a runner that another node owns."""
    first, second = cluster.nodes.values()
    runner = next(iter(second.ownership.owner.owned))
    return first, second, runner


@pytest.mark.parametrize("slow_s", [0.4, 2.0])
def test_the_last_live_engine_is_waited_for_while_its_owner_is_slow(slow_s):
    cluster = OwnershipCluster(nodes=2, runners=4, seed=5, zones=1)
    cluster.scheduler.run_until(1.6)
    home, owner, live = owned_by_others(cluster)
    for name, engine in cluster.engines.items():
        engine.is_down = name != live
    cluster.scheduler.run_until(3.0)
    owner.process.freeze()
    cluster.scheduler.after(slow_s, owner.process.thaw)
    requests = [cluster.ask(number, service_s=0.1) for number in range(8)]
    cluster.scheduler.run_until(6.0)
    at_home = [r for r in requests if r.nodes[0] == home.member.address]
    assert at_home
    assert [r.refusal.code for r in requests if r.refusal] == []
    assert all(r.grants for r in requests)


def test_when_the_owner_of_the_last_engine_stays_silent_the_others_word_decides():
    cluster = OwnershipCluster(nodes=2, runners=4, seed=5, zones=1)
    cluster.scheduler.run_until(1.6)
    _home, owner, live = owned_by_others(cluster)
    for name, engine in cluster.engines.items():
        engine.is_down = name != live
    cluster.scheduler.run_until(3.0)
    cluster.kill_node(owner.member.address, noticed_after_s=60.0)
    request = cluster.ask(1, service_s=0.1, deadline_s=50.0)
    cluster.scheduler.run_until(15.0)
    assert (request.refusal.code, request.finished_at < 11.0) == ("no_runner", True)


def test_dead_engines_before_it_in_rank_do_not_hide_the_live_one():
    cluster = OwnershipCluster(nodes=2, runners=8, seed=5, zones=1)
    for name, engine in cluster.engines.items():
        engine.is_down = name != "runner-5"
    cluster.scheduler.run_until(1.6)
    requests = [cluster.ask(number, service_s=0.01) for number in range(8)]
    cluster.scheduler.run_until(4.0)
    assert [r.refusal.code for r in requests if r.refusal] == []
    assert all(r.finished_at is not None for r in requests)


def test_one_question_a_second_finds_out_whether_a_silent_owner_answers_again():
    cluster = OwnershipCluster(nodes=2, runners=4, seed=5, zones=1, slots=50)
    cluster.scheduler.run_until(1.6)
    owner, _home = cluster.nodes.values()
    cluster.kill_node(owner.member.address, noticed_after_s=60.0)
    requests = []
    for number in range(300):
        cluster.scheduler.run_until(2.0 + 0.02 * number)
        requests.append(cluster.ask(number, service_s=0.1))
    cluster.scheduler.run_until(10.0)
    calm = [r for r in requests if r.started_at > 2.5 and r.question.attempt == 1]
    slow = [r for r in calm if r.first_grant_s > 0.1]
    assert len(calm) > 100
    assert 1 <= len(slow) <= 3


@pytest.mark.parametrize("runners", [1, 4])
def test_runners_with_other_weights_serve_where_none_has_the_asked_ones(runners):
    cluster = OwnershipCluster(nodes=2, runners=runners, seed=5, zones=1)
    for engine in cluster.engines.values():
        engine.version = "v2"
    cluster.scheduler.run_until(1.6)
    requests = [cluster.ask(number, service_s=0.01) for number in range(4)]
    cluster.scheduler.run_until(4.0)
    assert [r.refusal.code for r in requests if r.refusal] == []
    assert all(r.grants == 1 for r in requests)
