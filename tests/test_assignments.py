"""Runners that operators assign to other pools, in virtual time with the real node logic."""

import pytest

from martenrun.configuration.view import ConfigurationView
from martenrun.node.runners import RunnerTable
from martenrun.orders import permits
from martenrun.ownership import owner
from martenrun.simulation.pool_callers import PoolCallers, Service
from martenrun.simulation.pool_world import PoolSetup, PoolWorld
from martenrun.simulation.pooled_engine import Weights

WARM_UP_S = 6.0


def pools(**fields):
    """Two pools whose weights versions have the same name."""
    return [PoolSetup("readers", 4, fields=fields), PoolSetup("desk", 2)]


def started(setups=None, seed=1, **options):
    world = PoolWorld(setups or pools(), seed, **options)
    world.run(WARM_UP_S)
    return world


def has_returned(world):
    assignment = world.assignments()["engine-0"]
    return (assignment["pool"], assignment["arrived"]) == (None, True)


def test_an_assigned_runner_leaves_at_once_and_serves_the_new_pool_after_its_load():
    world = started()
    callers = PoolCallers(world, Service(), seed=2)
    for pool in world.pools:
        callers.load(pool, lambda now: 2.0, until_s=80.0)
    world.run(10.0)
    world.assign("engine-0", "desk")
    assigned_at = world.scheduler.now
    world.run(60.0)
    assert world.engines["engine-0"].loads == [Weights("desk", "v1")]
    assert world.runners_serving("desk") == ["engine-0", "engine-4", "engine-5"]
    assert world.assignments()["engine-0"]["arrived"] is True
    requests = list(callers.requests.values())
    assert not any(request.wrong_weights or request.refused for request in requests)
    moved = [request for request in requests if request.runner == "engine-0"]
    late = [r for r in moved if r.pool == "readers" and r.started_at > assigned_at + 3.0]
    assert late == []
    assert any(request.pool == "desk" for request in moved)
    assert world.permits().permits == ()


def test_a_runner_is_sent_back_and_its_assignment_ends():
    world = started()
    world.assign("engine-0", "desk")
    world.run(40.0)
    world.assign("engine-0", None)
    world.run(40.0)
    assert "engine-0" in world.runners_serving("readers")
    assert has_returned(world)


def test_an_engine_that_dies_in_the_load_or_later_is_brought_back_to_its_assigned_pool():
    world = started()
    world.assign("engine-0", "desk")
    world.run(10.0)
    engine = world.engines["engine-0"]
    assert not engine.is_serving
    for _ in range(2):
        engine.restart()
        assert engine.weights.model == "readers"
        world.run(60.0)
        assert "engine-0" in world.runners_serving("desk")


def test_a_runner_that_cannot_load_can_be_sent_back_with_what_it_had():
    world = started()
    world.missing.add(Weights("desk", "v1"))
    world.assign("engine-0", "desk")
    world.run(40.0)
    engine = world.engines["engine-0"]
    assert (engine.loads, engine.is_serving) == ([], True)
    assert world.assignments()["engine-0"].get("arrived", False) is False
    world.assign("engine-0", None)
    world.run(20.0)
    assert engine.loads == []
    assert has_returned(world)


def test_the_floor_of_the_left_pool_holds_back_the_load():
    world = started(pools(floor=3))
    world.assign("engine-0", "desk")
    world.assign("engine-1", "desk")
    world.run(90.0)
    # Together they leave two of three: neither gives up its model.
    assert [world.engines[f"engine-{index}"].loads for index in (0, 1)] == [[], []]
    world.assign("engine-1", None)
    world.run(60.0)
    assert len(world.runners_serving("readers")) == 3
    assert len(world.runners_serving("desk")) == 3


def test_without_the_left_pools_floor_too_few_would_serve(monkeypatch):
    monkeypatch.setattr(
        permits, "_keeps_left_floor", lambda table, wish, serving: True, raising=True
    )
    world = started(pools(floor=3))
    world.assign("engine-0", "desk")
    world.assign("engine-1", "desk")
    world.run(90.0)
    assert len(world.runners_serving("readers")) == 2


def roll_beside_a_move(floor):
    """The new pool rolls while an assigned runner still waits for its load."""
    world = started([PoolSetup("readers", 4), PoolSetup("desk", 2, fields={"floor": floor})])
    world.missing.add(Weights("desk", "v2"))
    world.assign("engine-0", "desk")
    world.missing.add(Weights("desk", "v1"))
    world.run(5.0)
    world.missing.discard(Weights("desk", "v2"))
    world.pools["desk"] = PoolSetup("desk", 2, version="v2", fields={"floor": floor})
    world.publish("pools", "desk", world.pools["desk"].document())
    fewest = 2
    for _ in range(240):
        world.run(0.5)
        serving = [e for e in world.engines.values() if e.weights.model == "desk" and e.is_serving]
        fewest = min(fewest, len(serving))
    return fewest, world


def test_a_runner_under_way_does_not_count_for_the_new_pools_floor():
    fewest, world = roll_beside_a_move(floor=1)
    assert fewest >= 1
    assert len(world.runners_serving("desk")) == 3


def test_a_runner_under_way_that_counted_would_break_the_new_pools_floor(monkeypatch):
    monkeypatch.setattr(ConfigurationView, "is_moving", lambda view, runner: False)
    assert roll_beside_a_move(floor=1)[0] == 0


def test_all_nodes_restart_in_mid_move():
    world = started()
    world.assign("engine-0", "desk")
    world.run(8.0)
    assert world.loading() == ["engine-0"]
    for node in world.nodes:
        node.restart()
    world.run(90.0)
    assert "engine-0" in world.runners_serving("desk")
    assert world.assignments()["engine-0"]["arrived"] is True
    assert world.engines["engine-0"].loads == [Weights("desk", "v1")]


def test_a_move_goes_on_while_the_store_is_down_and_is_recorded_after():
    world = started()
    world.assign("engine-0", "desk")
    world.run(10.0)
    world.store.faults.down = True
    world.run(60.0)
    assert "engine-0" in world.runners_serving("desk")
    assert world.assignments()["engine-0"].get("arrived", False) is False
    world.store.faults.down = False
    world.run(60.0)
    assert world.assignments()["engine-0"]["arrived"] is True


def moved_unseen(world):
    """Move a runner that another node owns, unseen by the first node; returns both."""
    stale = world.nodes[0]
    stale.parts.configuration.handle = lambda event, now: []
    owned = stale.parts.ownership.owner.owned
    runner = next(name for name in world.runners_serving("readers") if name not in owned)
    world.assign(runner, "desk")
    world.run(60.0)
    assert runner in world.runners_serving("desk")
    return stale, runner


def late_questions(world):
    """Ask for the left pool at a node that does not know of the assignment."""
    callers = PoolCallers(world, Service(prefixes=40), seed=3)
    world.nodes = [moved_unseen(world)[0]]
    callers.load("readers", lambda now: 3.0, until_s=world.scheduler.now + 20.0)
    world.run(40.0)
    return list(callers.requests.values())


def test_a_node_that_missed_the_assignment_sends_nothing_to_the_left_pools_runner():
    requests = late_questions(started())
    assert not any(request.wrong_weights for request in requests)
    assert any(request.finished_at for request in requests)


def test_without_the_pools_identity_old_questions_would_run_with_the_new_model(monkeypatch):
    monkeypatch.setattr(owner, "pool_id", lambda name: 0)
    monkeypatch.setattr("martenrun.ownership.reservations.pool_id", lambda name: 0)
    assert any(request.wrong_weights for request in late_questions(started()))


def test_an_assignment_to_a_pool_that_does_not_exist_selects_nothing():
    world = started()
    world.assign("engine-0", "nowhere")
    world.run(10.0)
    assert "engine-0" in world.runners_serving("readers")
    for node in world.nodes:
        assert node.parts.runners.runners["engine-0"].pool == "readers"


@pytest.mark.parametrize("is_guarded", [True, False])
def test_only_the_look_at_the_model_keeps_work_off_a_runner_that_waits(monkeypatch, is_guarded):
    if not is_guarded:
        monkeypatch.setattr(RunnerTable, "serves_its_pool", lambda table, runner: True)
    world = started()
    world.missing.add(Weights("desk", "v1"))
    callers = PoolCallers(world, Service(), seed=4)
    world.assign("engine-0", "desk")
    world.run(5.0)
    callers.load("desk", lambda now: 8.0, until_s=world.scheduler.now + 20.0)
    world.run(40.0)
    assert any(r.wrong_weights for r in callers.requests.values()) is not is_guarded


def loads_after_a_stale_node_took_over():
    world = started()
    stale, runner = moved_unseen(world)
    for node in world.nodes:
        if node is not stale:
            node.hollow.kill()
    world.run(60.0)
    assert runner in stale.parts.ownership.owner.owned
    return world.engines[runner].loads


def test_an_owner_that_missed_a_move_does_not_undo_it(monkeypatch):
    assert loads_after_a_stale_node_took_over() == [Weights("desk", "v1")]
    monkeypatch.setattr(permits, "_noted_moves", lambda table, wish: {})
    assert loads_after_a_stale_node_took_over()[1:] == [Weights("readers", "v1")]
