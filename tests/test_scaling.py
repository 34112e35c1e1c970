"""Runners that the system moves by demand, in virtual time with the real node logic."""

import dataclasses
import random

import msgspec
import pytest

from martenrun.configuration.objects import Kind, parse_document
from martenrun.errors import InvalidObjectError
from martenrun.events import StoreWrite
from martenrun.observability.scaling import ScalingCollector
from martenrun.scaling import decider, watch
from martenrun.scaling.decider import ScalingLogic
from martenrun.scaling.demand import DemandExchange
from martenrun.simulation.pool_callers import PoolCallers, Service
from martenrun.simulation.pool_world import PoolSetup, PoolWorld
from martenrun.simulation.pooled_engine import Weights
from martenrun.statecharts.compiler import load_chart

LIMITS = {
    "wait_s": 2.0,
    "pressure_s": 10,
    "load_s": 10,
    "room_s": 30,
    "cool_down_s": 60,
    "give_up_s": 60,
}
BUSY, QUIET = 2.5, 0.1
READERS, DESK = 5, 2
SERVICE = Service(prefill_s=2.0, output_s=2.0, deadline_s=8.0)


def scaled(minimum=2, maximum=6, **fields):
    return {
        "minimum_runners": minimum,
        "maximum_runners": maximum,
        "scaling": LIMITS,
        **fields,
    }


class Demand(PoolCallers):
    """Callers whose rates the tests set."""

    def __init__(self, world):
        super().__init__(world, SERVICE, seed=5)
        self.rates = {"readers": QUIET, "desk": QUIET}
        for pool in self.rates:
            self.load(pool, lambda now, pool=pool: self.rates[pool], until_s=1e9)


def started(seed=1, fields=None, **options):
    fields = fields or scaled()
    pools = [
        PoolSetup("readers", READERS, fields=fields),
        PoolSetup("desk", DESK, fields={**fields, "minimum_runners": 1}),
    ]
    world = PoolWorld(pools, seed, load_s=10.0, slots=2, **options)
    demand = Demand(world)
    world.run(40.0)
    return world, demand


def deciders(world):
    return [node for node in world.nodes if node.parts.demand.is_decider]


def moves(world):
    """Return the runners that the system has put elsewhere than the machine list says."""
    found = world.assignments()
    return sorted(n for n, a in found.items() if a["made_by"] == "scaling" and a["pool"])


def test_every_action_of_the_scaling_chart_is_implemented():
    world, _demand = started()
    assert load_chart("scaling").actions == set(world.nodes[0].parts.scaling._actions)


@pytest.mark.parametrize(
    "fields",
    [
        {"scaling": {}},
        {"scaling": {}, "minimum_runners": 3, "maximum_runners": 2},
        {"scaling": {}, "minimum_runners": 1, "maximum_runners": 2, "floor": 2},
        {"scaling": {"wait": 3}, "minimum_runners": 1, "maximum_runners": 2},
    ],
)
def test_faulty_limits_are_refused(fields):
    document = {"model": "m", "weights_version": "v1", **fields}
    with pytest.raises(InvalidObjectError):
        parse_document(Kind.POOL, msgspec.json.encode(document))


def test_a_pool_under_pressure_gets_runners_and_gives_them_back_when_demand_turns():
    world, demand = started()
    assert len(deciders(world)) == 1
    demand.rates["desk"] = BUSY
    world.run(20.0)
    (scaling,) = [node.parts.scaling for node in deciders(world)]
    metrics = {metric.name: metric for metric in ScalingCollector(scaling).collect()}
    pressure = metrics["martenrun:pool_pressure_seconds"].samples
    assert [sample.labels["pool"] for sample in pressure if sample.value > 0] == ["desk"]
    world.run(100.0)
    assert 4 <= len(world.runners_serving("desk")) <= 5
    assert len(world.runners_serving("readers")) >= 2
    assert all(item["reason"] for item in world.assignments().values())
    waits = [r.started_at - r.asked_at for r in list(demand.requests.values())[-100:] if r.runner]
    assert max(waits) < 5.0
    demand.rates.update(desk=QUIET, readers=BUSY)
    world.run(200.0)
    assert len(world.runners_serving("readers")) >= 5
    assert len(world.runners_serving("desk")) >= 1
    assert not any(request.wrong_weights for request in demand.requests.values())


def test_without_limits_nothing_moves():
    world, demand = started(fields={"floor": 0, "minimum_runners": 1})
    demand.rates["desk"] = BUSY
    world.run(60.0)
    assert world.assignments() == {}


def test_demand_that_flips_each_few_seconds_moves_nothing():
    world, demand = started()
    for turn in range(40):
        demand.rates.update(
            desk=BUSY if turn % 2 else QUIET, readers=QUIET if turn % 2 else 2.0 * BUSY
        )
        world.run(5.0)
    assert len(world.assignments()) <= 1


def test_operators_assignments_are_never_undone():
    world, demand = started()
    for index in range(READERS - 1):
        world.assign(f"engine-{index}", "readers")
    world.run(5.0)
    demand.rates["desk"] = BUSY
    world.run(60.0)
    assert moves(world) == ["engine-4"]
    world.assign("engine-4", "readers")
    world.run(60.0)
    assert moves(world) == []
    assert len(world.runners_serving("readers")) == READERS


def test_a_move_that_cannot_be_loaded_is_sent_back():
    world, demand = started()
    world.missing.add(Weights("desk", "v1"))
    demand.rates["desk"] = BUSY
    world.run(50.0)
    assert moves(world)
    demand.rates["desk"] = QUIET
    world.run(200.0)
    # The pressure lasted long, but it is over when the pool may get a runner again.
    assert moves(world) == []
    assert len(world.runners_serving("readers")) == READERS
    assert all(not engine.loads for engine in world.engines.values())


def test_while_the_store_is_down_nothing_moves_and_requests_are_served():
    world, demand = started()
    world.store.faults.down = True
    demand.rates["desk"] = BUSY
    world.run(60.0)
    assert (world.assignments(), world.loading()) == ({}, [])
    readers = [r for r in demand.requests.values() if r.pool == "readers"]
    assert not any(request.refused for request in readers)
    world.store.faults.down = False
    world.run(80.0)
    assert len(world.runners_serving("desk")) >= 4


@pytest.mark.parametrize("seed", range(2))
def test_lost_answers_change_nothing_about_the_bounds(seed):
    world, demand = started(seed)
    world.store.faults.lose_write_probability = 0.5
    world.store.faults.lose_read_probability = 0.2
    demand.rates["desk"] = BUSY
    for _ in range(60):
        world.run(2.0)
        assert len(unfinished(world)) <= watch.MAXIMUM_MOVES
    assert len(world.runners_serving("desk")) >= 4
    assert len(world.runners_serving("readers")) >= 2


def unfinished(world):
    found = world.assignments().items()
    return [n for n, a in found if a["made_by"] == "scaling" and not a.get("arrived")]


@pytest.fixture
def every_node_decides(monkeypatch):
    """Every node decides by the same figures, and draws the runner itself."""
    zones = {}

    def handle(exchange, event, now):
        instructions = original(exchange, event, now)
        zones.update(exchange._zones)
        exchange._zones = zones
        return instructions

    def choose_any(figures, is_movable, now):
        choice = choose(figures, is_movable, now)
        if choice is None:
            return None
        others = filter(is_movable, (f"engine-{index}" for index in range(READERS)))
        return dataclasses.replace(choice, runner=rng.choice(list(others)))

    rng, choose, original = random.Random(9), watch.choose, DemandExchange.handle
    monkeypatch.setattr(DemandExchange, "is_decider", property(lambda exchange: True))
    monkeypatch.setattr(DemandExchange, "handle", handle)
    monkeypatch.setattr(watch, "choose", choose_any)


def most_at_a_time(world, demand):
    world.store.faults.delay_s = 2.0
    demand.rates["desk"] = BUSY
    most = 0
    for _ in range(200):
        world.run(0.5)
        most = max(most, len(unfinished(world)))
    return most


@pytest.mark.usefixtures("every_node_decides")
def test_many_deciding_nodes_move_no_more_than_one():
    world, demand = started(nodes=5)
    assert most_at_a_time(world, demand) <= watch.MAXIMUM_MOVES
    assert len(world.runners_serving("readers")) >= 2


@pytest.mark.usefixtures("every_node_decides")
def test_without_the_record_deciding_nodes_would_move_too_many(monkeypatch):
    def record_alone(logic, now):
        call = original(logic, now)[0]
        return [StoreWrite(call.call_id, call.kind, call.call_id, 0, call.document)]

    def settled(logic, now):
        return logic._step("record_settled", now)

    original = ScalingLogic._record_decision
    monkeypatch.setattr(ScalingLogic, "_record_decision", record_alone)
    monkeypatch.setattr(ScalingLogic, "_read_record", settled)
    world, demand = started(nodes=5)
    assert most_at_a_time(world, demand) > watch.MAXIMUM_MOVES


def moved_after_a_pause(seed=1):
    """Pause a deciding node while it records; the demand is gone when it wakes."""
    world, demand = started(seed)
    node = deciders(world)[0]
    demand.rates["desk"] = BUSY
    while node.parts.scaling.state != "recording":
        world.run(0.001)
    node.hollow.freeze()
    demand.rates["desk"] = QUIET
    world.run(60.0)
    assert moves(world) == []
    node.hollow.thaw()
    world.run(10.0)
    return moves(world)


def test_a_paused_deciding_node_that_wakes_changes_nothing():
    assert moved_after_a_pause() == []


def test_without_settling_the_record_a_paused_node_would_move_a_runner_late(monkeypatch):
    def leave(logic, now):
        return logic._step("assignment_decided", now)

    monkeypatch.setattr(ScalingLogic, "_settle_record", leave)
    monkeypatch.setattr(decider, "DECISION_LIFETIME_S", 1e9)
    assert moved_after_a_pause() != []


def test_across_a_region_cut_neither_side_decides_by_half_of_the_runners():
    world, demand = started(nodes=4, zones=2)
    world.places.cut_regions()
    world.run(25.0)
    demand.rates["desk"] = BUSY
    world.run(50.0)
    assert world.assignments() == {}
    world.places.join_regions()
    world.run(100.0)
    assert len(world.runners_serving("desk")) >= 3


def test_without_the_look_at_the_coverage_half_of_the_runners_would_decide(monkeypatch):
    monkeypatch.setattr(watch, "COVERAGE", 0.0)
    world, demand = started(nodes=4, zones=2)
    world.places.cut_regions()
    world.run(25.0)
    demand.rates["desk"] = BUSY
    world.run(50.0)
    assert world.assignments() != {}


def test_all_nodes_restart_in_mid_move_and_the_move_ends():
    world, demand = started()
    demand.rates["desk"] = BUSY
    while not world.loading():
        world.run(1.0)
    for node in world.nodes:
        node.restart()
    world.run(100.0)
    assert len(world.runners_serving("desk")) >= 3
    assert len(world.runners_serving("readers")) >= 2


def test_a_crashed_runner_is_replaced():
    world, demand = started(fields=scaled(minimum=2))
    demand.rates["desk"] = 0.7
    world.run(20.0)
    for name in world.runners_serving("desk"):
        world.engines[name].is_up = False
        world.listed = [machine for machine in world.listed if machine.name != name]
    world.run(120.0)
    assert len(world.runners_serving("desk")) >= 1


def test_an_engine_that_dies_in_the_load_is_brought_up_again():
    world, demand = started()
    demand.rates["desk"] = BUSY
    while not world.loading():
        world.run(1.0)
    name = world.loading()[0]
    world.engines[name].restart()
    world.run(60.0)
    assert name in world.runners_serving("desk")
