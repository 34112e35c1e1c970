"""Nodes, engines and a store in virtual time for the tests of rolls, with faults."""

import random

import msgspec

from martenrun.backends.engine import RunnerDescription
from martenrun.backends.engine_orders import OrderOutcome
from martenrun.configuration.state import ConfigurationState
from martenrun.events import (
    OrderAnswered,
    RunnerDescribed,
    SendOrder,
    StoreAnswered,
    StoreOutcome,
    StoreRead,
    Tick,
)
from martenrun.orders.permits import PermitTable
from martenrun.orders.rolls import RollsLogic
from martenrun.routing.policy import RunnerState
from martenrun.simulation.scheduler import Scheduler
from martenrun.standins.engine.orders import FenceGuard, Order
from martenrun.standins.engine.refusals import RefusalCode, RefusedError
from martenrun.wire.messages import ConfigurationObject, ConfigurationUpdate

LOAD_S = 20.0
DESCRIBE_S = 2.0
POOL = "readers"


class VirtualEngine:
    def __init__(self, world, name):
        self.world, self.name, self.runs = world, name, 0
        self.loads = []
        self.start()

    def start(self):
        self.runs += 1
        self.guard = FenceGuard(f"{self.name}/{self.runs}")
        self.version, self.state, self.load = "v1", "serving", 0

    def crash(self):
        self.start()
        self.world.check()

    def describe(self):
        incarnation = f"{self.name}/{self.runs}"
        return RunnerDescription(
            incarnation, "m", self.version, 0, 8, 0, state=self.state, fence=self.guard.fence
        )

    def take(self, order):
        order = Order(order.fence, order.incarnation, order.action, order.value)
        try:
            is_new = self.guard.check(order)
        except RefusedError as error:
            is_stale = error.code is RefusalCode.STALE_FENCE
            return OrderOutcome.STALE if is_stale else OrderOutcome.RESTARTED
        self.guard.accept(order)
        is_held = self.state == "serving" and self.version == order.value
        if is_new and not is_held and self.target != order.value:
            self.begin(order.value)
        return OrderOutcome.ACCEPTED

    @property
    def target(self):
        return self.loading if self.state == "loading" else ""

    def begin(self, version):
        self.version, self.state, self.loading = "", "loading", version
        self.load += 1
        self.loads.append(version)
        run, load = self.runs, self.load
        self.world.clock.after(LOAD_S, lambda: self.finish(run, load, version))
        self.world.check()

    def finish(self, run, load, version):
        if (run, load) == (self.runs, self.load):
            fails = self.world.failing_loads > 0
            self.world.failing_loads -= fails
            self.state = "failed" if fails else "serving"
            self.version = "" if fails else version


class VirtualNode:
    def __init__(self, world, name):
        self.world, self.name = world, name
        self.is_paused, self.kept = False, []
        self.configuration = ConfigurationState()
        table = {e: RunnerState(e, e, world.zone_of(e), POOL) for e in world.engines}
        self.logic = RollsLogic(
            name,
            table,
            self.configuration,
            lambda runner: world.owner_of(runner) == name,
            random.Random(world.rng.random()),
        )
        world.clock.after(0.0, self.tick)

    def tick(self):
        if not self.is_paused:
            for engine in self.world.engines.values():
                is_described = self.world.owner_of(engine.name) == self.name
                is_described |= engine.name in self.logic.watched
                if is_described and self.world.clock.now % DESCRIBE_S < 0.1:
                    self.tell(RunnerDescribed(engine.name, engine.describe()))
            self.tell(Tick())
        self.world.clock.after(0.1, self.tick)

    def tell(self, event):
        if self.is_paused:
            self.kept.append(event)
            return
        for instruction in self.logic.handle(event, self.world.clock.now):
            self.world.carry(self, instruction)

    def resume(self):
        self.is_paused = False
        kept, self.kept = self.kept, []
        for event in kept:
            self.tell(event)


class World:
    """``store_faults`` is the share of writes whose answer, or effect too, is lost or late.

    With ``stores``, zones have weight stores of their own, one each; else all have one.
    """

    def __init__(self, seed, engines=6, nodes=3, floor=0, store_faults=0.0, stores=0):
        self.stores = stores
        self.clock, self.rng = Scheduler(), random.Random(seed)
        self.floor, self.store_faults = floor, store_faults
        self.version, self.document = 0, None
        self.most_loads, self.fewest_serving, self.failing_loads = 0, engines, 0
        self.most_loads_of_a_store, self.calls = 0, 0
        self.order_delay_s, self.unpermitted = 0.0, set()
        self.owners = {}
        self.engines = {f"e{i}": VirtualEngine(self, f"e{i}") for i in range(engines)}
        self.nodes = [VirtualNode(self, f"n{i}") for i in range(nodes)]

    def owner_of(self, runner):
        return self.owners.get(runner, f"n{int(runner[1:]) % len(self.nodes)}")

    def zone_of(self, runner):
        return f"zone-{int(runner[1:]) % max(1, self.stores)}"

    def publish(self, version, revision, nodes=None):
        stores = {f"zone-{index}": f"store-{index}" for index in range(self.stores)}
        document = msgspec.json.encode(
            {
                "model": "m",
                "weights_version": version,
                "floor": self.floor,
                "weight_stores": stores,
            }
        )
        item = ConfigurationObject("pools", POOL, revision, False, document)
        for node in self.nodes if nodes is None else nodes:
            known = node.configuration.revision
            node.configuration.apply(ConfigurationUpdate(known, revision, [item]))

    def carry(self, node, instruction):
        if isinstance(instruction, SendOrder):
            engine = self.engines[instruction.runner]
            delay_s = 0.01 + self.order_delay_s

            def deliver():
                outcome = engine.take(instruction.order)
                node.tell(OrderAnswered(instruction.runner, instruction.order, outcome))

            self.clock.after(delay_s, deliver)
            return
        self.clock.after(self.rng.uniform(0.01, 0.3), lambda: self.call(node, instruction))

    def call(self, node, call):
        self.calls += 1
        if isinstance(call, StoreRead):
            found = ConfigurationObject("", "", self.version, False, self.document or b"")
            answer = StoreAnswered(call.call_id, StoreOutcome.DONE, self.version, found)
            if self.document is None:
                answer = StoreAnswered(call.call_id, StoreOutcome.NOT_FOUND)
            node.tell(answer)
        elif self.rng.random() < self.store_faults:
            delay_s = self.rng.choice([0.0, 2.0, 1e9])
            self.clock.after(delay_s, lambda: self.write(call))
            node.tell(StoreAnswered(call.call_id, StoreOutcome.UNKNOWN))
        else:
            done = self.write(call)
            outcome = StoreOutcome.DONE if done else StoreOutcome.CONFLICT
            node.tell(StoreAnswered(call.call_id, outcome, self.version))

    def write(self, call):
        if call.expected != self.version:
            return False
        self.version += 1
        self.document = call.document
        return True

    def check(self):
        """Note how many load and serve now; called whenever that may have become worse."""
        states = [engine.state for engine in self.engines.values()]
        self.most_loads = max(self.most_loads, states.count("loading"))
        zones = [self.zone_of(e.name) for e in self.engines.values() if e.state == "loading"]
        of_a_store = max((zones.count(zone) for zone in zones), default=0)
        self.most_loads_of_a_store = max(self.most_loads_of_a_store, of_a_store)
        self.fewest_serving = min(self.fewest_serving, states.count("serving"))
        permitted = {permit.runner for permit in self.permits()}
        loading = {engine.name for engine in self.engines.values() if engine.state == "loading"}
        self.unpermitted |= loading - permitted

    def run_until(self, condition, limit_s=2_000.0):
        until = self.clock.now + limit_s
        while not condition():
            assert self.clock.now < until, self.state()
            self.clock.run_until(self.clock.now + 0.5)
            self.check()

    def run(self, time_s):
        until = self.clock.now + time_s
        self.run_until(lambda: self.clock.now >= until)

    def all_serve(self, version):
        return all((e.version, e.state) == (version, "serving") for e in self.engines.values())

    def permits(self):
        if self.document is None:
            return ()
        return msgspec.json.decode(self.document, type=PermitTable).permits

    def state(self):
        return {e.name: (e.version, e.state) for e in self.engines.values()}, self.permits()
