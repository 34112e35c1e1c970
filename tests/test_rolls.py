"""Tests of fenced orders, load permits and rolls under the failures they are meant for."""

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from martenrun.orders import permits, rolls
from martenrun.orders.rolls import RollsLogic
from martenrun.standins.engine.orders import FenceGuard
from martenrun.statecharts.compiler import load_chart
from rolls_world import World


def test_every_action_of_the_runner_chart_is_implemented():
    logic = World(seed=0).nodes[0].logic
    assert isinstance(logic, RollsLogic)
    assert load_chart("runner").actions == set(logic._actions)


@pytest.mark.parametrize(("floor", "most"), [(0, 2), (5, 1), (4, 2)])
def test_a_roll_keeps_to_the_loads_and_to_the_floor(floor, most):
    world = World(seed=1, floor=floor)
    world.publish("v2", 7)
    world.run_until(lambda: world.all_serve("v2"))
    assert world.most_loads == most
    assert world.fewest_serving >= floor
    world.run(30.0)
    assert world.permits() == ()


def roll_over_stores(floor=0, store_faults=0.0):
    world = World(seed=1, engines=12, floor=floor, store_faults=store_faults, stores=3)
    world.publish("v2", 7)
    world.run_until(lambda: world.all_serve("v2"))
    return world


@pytest.mark.parametrize(("floor", "store_faults"), [(0, 0.0), (0, 0.2), (9, 0.0), (9, 0.2)])
def test_a_roll_keeps_to_the_loads_of_each_store_and_to_the_floor_over_all(floor, store_faults):
    world = roll_over_stores(floor, store_faults)
    assert world.most_loads_of_a_store <= permits.MAXIMUM_LOADS
    assert world.most_loads == (3 if floor else 6)
    assert world.fewest_serving >= floor
    assert world.unpermitted == set()


def test_without_the_count_of_a_store_too_many_would_load(monkeypatch):
    monkeypatch.setattr(permits, "_loads", lambda permits, store: 0)
    assert roll_over_stores().most_loads_of_a_store > permits.MAXIMUM_LOADS


def test_a_runner_whose_store_nobody_named_counts_at_every_store():
    def wish(runner, store):
        return permits.PermitWish(runner, "p", 1, "load_weights", "v2", runner, store=store)

    def grant(table, runner, store):
        return permits.granted(table, wish(runner, store), "n", frozenset(), lambda *_: 9)

    table = permits.PermitTable()
    for runner, store in [("a", "east"), ("b", "west"), ("c", "")]:
        table = grant(table, runner, store)
    assert [permit.runner for permit in table.permits] == ["a", "b"]
    table = grant(permits.without(table, {"a"}), "c", "")
    assert grant(table, "d", "west") == table
    assert grant(table, "d", "east").permit_of("d") is not None


def test_a_permit_moves_to_another_store_only_if_there_is_room():
    def grant(table, runner, change, store):
        wish = permits.PermitWish(runner, "p", 1, "load_weights", "v2", change, store=store)
        return permits.granted(table, wish, "n", frozenset(), lambda *_: 9)

    table = permits.PermitTable()
    for runner, store in [("a", "east"), ("b", "east"), ("c", "west")]:
        table = grant(table, runner, runner, store)
    assert grant(table, "c", "again", "east") == table
    moved = grant(permits.without(table, {"a"}), "c", "again", "east")
    assert moved.permit_of("c").store == "east"


def test_without_the_floor_too_few_would_serve(monkeypatch):
    monkeypatch.setattr(permits, "_keeps_floor", lambda *arguments: True)
    world = World(seed=1, floor=5)
    world.publish("v2", 7)
    world.run_until(lambda: world.all_serve("v2"))
    assert world.fewest_serving < 5


def test_a_runner_that_did_not_answer_at_the_grant_is_not_ordered_below_the_floor():
    world = World(seed=1, engines=2, nodes=2, floor=1)
    world.publish("v2", 7)
    world.run_until(lambda: world.permits())
    (loading,) = (permit.runner for permit in world.permits())
    (paused,) = (engine for engine in world.engines.values() if engine.name != loading)
    paused.describe = lambda: None
    world.run_until(lambda: len(world.permits()) == 2)
    del paused.describe
    world.run_until(lambda: world.all_serve("v2"))
    assert world.fewest_serving == 1


def test_a_floor_that_allows_no_roll_stops_none_of_the_serving():
    world = World(seed=1, floor=6)
    world.publish("v2", 7)
    world.run(300.0)
    assert world.all_serve("v1")


def take_over_a_paused_holder():
    """A holder's orders are on their way for long; it is paused and another takes over."""
    world = World(seed=2, engines=3, nodes=2)
    world.owners = dict.fromkeys(world.engines, "n0")
    world.order_delay_s = 3 * permits.LEASE_S
    world.publish("v2", 7)
    world.run_until(lambda: len(world.permits()) == permits.MAXIMUM_LOADS)
    world.run(1.0)
    first = world.nodes[0]
    first.is_paused = True
    world.order_delay_s = 0.0
    world.publish("v3", 9, nodes=[world.nodes[1]])
    world.owners = dict.fromkeys(world.engines, "n1")
    world.run_until(lambda: world.all_serve("v3"))
    first.resume()
    world.run(6 * permits.LEASE_S)
    return world


def test_a_paused_holder_is_taken_over_and_its_late_orders_are_refused():
    world = take_over_a_paused_holder()
    assert [engine.loads for engine in world.engines.values()] == [["v3"]] * 3
    assert world.most_loads <= permits.MAXIMUM_LOADS


def test_without_fencing_tokens_late_orders_load_again(monkeypatch):
    def accept(guard, order):
        guard.fence = max(guard.fence, order.fence)
        return True

    monkeypatch.setattr(FenceGuard, "check", accept)
    world = take_over_a_paused_holder()
    assert ["v3", "v2", "v3"] in [engine.loads for engine in world.engines.values()]


def lose_ownership_in_mid_load():
    world = World(seed=3, engines=4, nodes=2)
    world.publish("v2", 7)
    world.run_until(lambda: world.most_loads == 2)
    world.owners = {name: f"n{(int(name[1:]) + 1) % 2}" for name in world.engines}
    world.run_until(lambda: world.all_serve("v2"))
    return world


def test_a_node_that_loses_ownership_in_mid_load_keeps_its_permit_until_the_end():
    world = lose_ownership_in_mid_load()
    assert (world.most_loads, world.unpermitted) == (2, set())


def test_leaving_a_loading_runner_would_give_its_permit_away(monkeypatch):
    def left(logic, roll, description):
        return not logic._is_owner(roll.runner)

    monkeypatch.setattr(RollsLogic, "_may_be_left", left)
    assert lose_ownership_in_mid_load().unpermitted


def test_an_engine_that_crashes_in_mid_load_is_ordered_again_under_the_same_permit():
    world = World(seed=4)
    world.publish("v2", 7)
    world.run_until(lambda: world.most_loads == 2)
    loading = next(e for e in world.engines.values() if e.state == "loading")
    loading.crash()
    assert loading.version == "v1"
    world.run_until(lambda: world.all_serve("v2"))
    assert loading.loads == ["v2", "v2"]
    assert world.most_loads == 2


def fail_some_loads():
    world = World(seed=5)
    world.failing_loads = 3
    world.publish("v2", 7)
    world.run_until(lambda: world.all_serve("v2"))
    return world


def test_a_load_that_fails_gives_its_permit_back_and_is_tried_again():
    world = fail_some_loads()
    assert world.most_loads == 2
    assert sum(len(engine.loads) for engine in world.engines.values()) == 6 + 3


def publish_and_take_back():
    """The older version is published again before the engine describes its load."""
    world = World(seed=8, engines=1, nodes=1)
    world.publish("v2", 7)
    world.run_until(lambda: world.most_loads == 1)
    world.publish("v1", 9)
    world.run_until(lambda: world.all_serve("v1"))
    return world


def test_a_version_that_is_taken_back_in_mid_load_keeps_the_permit():
    assert publish_and_take_back().unpermitted == set()


def test_believing_descriptions_older_than_the_order_would_lose_the_permit(monkeypatch):
    monkeypatch.setattr(rolls, "_shows_order", lambda description, order: True)
    assert publish_and_take_back().unpermitted == {"e0"}


def test_weights_that_fail_to_load_take_out_no_more_than_may_load():
    world = World(seed=9)
    world.failing_loads = 1_000
    world.publish("bad", 7)
    world.run(300.0)
    assert sum(engine.state == "serving" for engine in world.engines.values()) == 4
    world.failing_loads = 0
    world.publish("v1", 9)
    world.run_until(lambda: world.all_serve("v1"))


def test_a_permit_of_a_dead_holder_whose_runner_is_done_is_cleared_by_another():
    world = World(seed=10, engines=4, nodes=2)
    world.owners = {"e0": "n0", "e1": "n0", "e2": "n1", "e3": "n1"}
    world.publish("v2", 7, nodes=[world.nodes[0]])
    world.run_until(lambda: world.most_loads == 2)
    world.nodes[0].is_paused = True
    world.publish("v2", 7)
    world.run_until(lambda: world.all_serve("v2"))
    assert world.most_loads == 2


def test_a_second_operator_publishes_another_version_in_mid_roll():
    world = World(seed=6)
    world.publish("v2", 7)
    world.run_until(lambda: world.most_loads == 2)
    # One node hears of the newer version only later and still wants the older one.
    world.publish("v3", 9, nodes=world.nodes[1:])
    world.run(200.0)
    late = {name for name in world.engines if world.owner_of(name) == "n0"}
    assert all(world.engines[name].version == "v3" for name in world.engines if name not in late)
    world.publish("v3", 9)
    world.run_until(lambda: world.all_serve("v3"))
    assert world.most_loads == 2


def follow_an_older_pool():
    world = World(seed=7, engines=2, nodes=2)
    world.publish("v3", 9, nodes=[world.nodes[1]])
    world.run_until(lambda: world.engines["e1"].version == "v3")
    world.publish("v2", 7, nodes=[world.nodes[0]])
    world.owners = dict.fromkeys(world.engines, "n0")
    world.run(300.0)
    return world.engines["e1"].loads


def test_only_the_pool_revision_keeps_an_older_pool_from_being_rolled_back_to(monkeypatch):
    assert follow_an_older_pool() == ["v3"]
    granted = permits.granted

    def forgetful(table, *arguments):
        return granted(permits.PermitTable(table.permits), *arguments)

    monkeypatch.setattr(permits, "granted", forgetful)
    assert follow_an_older_pool() == ["v3", "v2"]


@given(st.integers(0, 10_000))
@settings(derandomize=True, deadline=None, max_examples=15)
def test_faults_together_never_break_the_limits(seed):
    world = World(seed, engines=4, nodes=3, floor=1, store_faults=0.3)
    rng = world.rng
    crashed = False
    world.publish("v2", 7)
    for step in range(12):
        fault = rng.randrange(6)
        node = rng.choice(world.nodes)
        if fault == 0:
            node.is_paused = True
        elif fault == 1:
            node.resume()
        elif fault == 2:
            rng.choice(list(world.engines.values())).crash()
            crashed = True
        elif fault == 3:
            world.owners = {e: f"n{rng.randrange(3)}" for e in world.engines}
        elif fault == 4:
            world.order_delay_s = rng.choice([0.0, 1.0, 40.0])
        else:
            world.publish(f"v{3 + step}", 8 + step, nodes=[node])
        world.run(rng.uniform(1.0, 40.0))
    world.order_delay_s = 0.0
    world.store_faults = 0.0
    for node in world.nodes:
        node.resume()
    world.publish("last", 100)
    world.run_until(lambda: world.all_serve("last"))
    assert world.most_loads <= permits.MAXIMUM_LOADS
    assert world.unpermitted == set()
    assert crashed or world.fewest_serving >= world.floor


def test_permits_do_not_lie_idle_while_many_nodes_wait_for_one():
    world = World(seed=3, engines=24, nodes=8)
    world.publish("v2", 7)
    world.run_until(lambda: world.all_serve("v2"))
    # 240 s of loading for two at a time; the rest is descriptions, checks and calls.
    assert world.clock.now < 300.0
