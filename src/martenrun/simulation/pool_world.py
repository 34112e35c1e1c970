"""Pools of runners in virtual time: real node logic, engines that change models, callers.

Used by the tests and the benchmark of scaling.  Callers ask nodes for decisions and count as
requests at the engines; no bytes are carried.

See also: :mod:`martenrun.simulation.pooled_engine`, :mod:`martenrun.bench.scaling`.
"""

import random
from collections.abc import Mapping
from dataclasses import dataclass, field

import msgspec

from martenrun.backends.engine_orders import OrderOutcome
from martenrun.backends.machine_list import Machine
from martenrun.events import MachinesListed, OrderAnswered, RunnerDescribed, SendOrder
from martenrun.node.parts import NodeParts, node_parts
from martenrun.orders.permits import PERMITS_KIND, PERMITS_NAME, PermitTable
from martenrun.settings.model import NodeSettings
from martenrun.simulation.hollow import HollowProcess
from martenrun.simulation.network import LinkFaults, SimulatedNetwork
from martenrun.simulation.places import PLATFORM, Place, Places
from martenrun.simulation.pooled_engine import PooledEngine, Weights
from martenrun.simulation.scheduler import Scheduler
from martenrun.simulation.store import SimulatedStore, StoreFaults

POLL_S = 0.5
DESCRIBE_S = 1.0
CALL_DELAY_S = 0.005
TICK_S = 0.2
"""Coarser than a process's tick, in seconds; it only adds to times."""

REGIONS = 2


@dataclass(frozen=True)
class PoolSetup:
    """A pool at the start: its runners by the machine list, and fields of its object.

    ``model`` is the pool's name unless it is given.
    """

    name: str
    runners: int
    model: str = ""
    version: str = "v1"
    fields: Mapping[str, object] = field(default_factory=dict)

    @property
    def weights(self) -> Weights:
        """The weights that the pool asks for."""
        return Weights(self.model or self.name, self.version)

    def document(self) -> dict[str, object]:
        """Return the pool's object."""
        weights = self.weights
        return {"model": weights.model, "weights_version": weights.version, **self.fields}


class PoolNode:
    """A node over all its runs, with the pollers that its real process has."""

    def __init__(self, index: int, world: "PoolWorld") -> None:
        self.name = f"node-{index}"
        self.peer = world.peers[index]
        self.place = world.place(index)
        self._world = world
        self._runs = 0
        world.places.put(self.place, self.name, self.peer)
        self.start()

    def start(self) -> None:
        """Start a run with nothing kept from the one before."""
        self._runs += 1
        world, run = self._world, self._runs
        settings = NodeSettings(
            name=self.name,
            zone=self.place.zone,
            region=self.place.region,
            cluster_secret="simulated-secret",
            http_address="10.0.0.1:8000",
            seed_nodes=world.peers[:3],
            peer_address=self.peer,
            object_api="10.0.1.1:8000",
            machine_list="10.0.1.2:8000",
        )
        rng = random.Random(world.rng.randrange(1 << 30))
        self.parts: NodeParts = node_parts(settings, f"{self.name}.{run}", rng)
        hollow = HollowProcess(
            self.peer,
            self.parts.in_order(),
            world.scheduler,
            world.network,
            {
                SendOrder: self._carry_order,
                **world.store.carriers(self.name, lambda event: hollow.tell(event)),
            },
            TICK_S,
        )
        self.hollow = hollow
        self._poll(run, POLL_S, self._list_machines)
        self._poll(run, DESCRIBE_S, self._describe_runners)

    def restart(self) -> None:
        """End the process at once and start it again, empty."""
        self.hollow.kill()
        self.start()

    def _poll(self, run: int, interval_s: float, poll: object) -> None:
        if run != self._runs or not self.hollow.is_alive:
            return
        if not self.hollow.is_frozen:
            assert callable(poll)
            poll()
        self._world.scheduler.after(interval_s, lambda: self._poll(run, interval_s, poll))

    def _list_machines(self) -> None:
        is_cut = self._world.places.are_cut(self.peer, PLATFORM)
        if not is_cut and self.parts.machine_feed.must_poll():
            self.hollow.tell(MachinesListed(self._world.listed))

    def _describe_runners(self) -> None:
        for name in sorted({*self.parts.ownership.owner.owned, *self.parts.rolls.watched}):
            engine = self._world.engines.get(name)
            if engine is not None:
                is_cut = self._world.places.are_cut(self.peer, engine.address)
                self.hollow.tell(RunnerDescribed(name, None if is_cut else engine.describe()))

    def _carry_order(self, instruction: SendOrder) -> None:
        hollow, world = self.hollow, self._world

        def send() -> None:
            is_cut = world.places.are_cut(self.peer, instruction.address)
            outcome = OrderOutcome.UNKNOWN
            if not is_cut:
                outcome = world.engines[instruction.runner].take_order(instruction.order)
            hollow.tell(OrderAnswered(instruction.runner, instruction.order, outcome))

        world.scheduler.after(CALL_DELAY_S, send)


class PoolWorld:
    """A whole simulated deployment.

    Attributes:
        missing: weights that the weight store does not have.
        listed: the machine list.

    Args:
        pools: the pools at the start; runners are spread over the zones in turn.
        load_s: time of one load of weights, in seconds.
    """

    def __init__(
        self,
        pools: list[PoolSetup],
        seed: int,
        nodes: int = 3,
        zones: int = 2,
        slots: int = 4,
        load_s: float = 20.0,
    ) -> None:
        self.rng = random.Random(seed)
        self.scheduler = Scheduler()
        self.places = Places()
        self.places.put(Place("", "region-0"), PLATFORM)
        self.network = SimulatedNetwork(self.scheduler, self.rng, LinkFaults(), self.places)
        self.store = SimulatedStore(self.scheduler, self.rng, StoreFaults())
        self.store.is_cut = lambda name: self.places.are_cut(name, PLATFORM)
        self.pools = {pool.name: pool for pool in pools}
        self.missing: set[Weights] = set()
        self.engines: dict[str, PooledEngine] = {}
        self.listed: list[Machine] = []
        self._zones = zones
        for pool in pools:
            for _ in range(pool.runners):
                self._add_engine(pool, slots, load_s)
        self._publish_all()
        self.peers = [f"10.0.{index // 250}.{index % 250 + 1}:7000" for index in range(nodes)]
        self.nodes = [PoolNode(index, self) for index in range(nodes)]

    # The operators' side.

    def publish(self, kind: str, name: str, document: object | None) -> int:
        """Write an object over whatever is there, as an operator; returns its version."""
        present = self.store.store.get(kind, name)
        expected = 0 if present is None or present.deleted else present.version
        data = None if document is None else msgspec.json.encode(document)
        return self.store.write(kind, name, expected, data)

    def assign(self, runner: str, pool: str | None) -> int:
        """Assign a runner as an operator does."""
        return self.publish("assignments", runner, {"pool": pool})

    def assignments(self) -> dict[str, dict[str, object]]:
        """Return the assignments in the store, by runner."""
        found = self.store.store.list_all(frozenset({"assignments"}))
        return {item.name: dict(item.document) for item in found.objects}

    # Time, and what is to be seen.

    def run(self, time_s: float) -> None:
        """Let virtual time pass."""
        self.scheduler.run_until(self.scheduler.now + time_s)

    def runners_serving(self, pool: str) -> list[str]:
        """Return the runners whose engines serve with a pool's weights."""
        wanted = self.pools[pool].weights
        return [e.name for e in self.engines.values() if e.is_serving and e.weights == wanted]

    def loading(self) -> list[str]:
        """Return the runners that are out of service for a load."""
        return [e.name for e in self.engines.values() if e.is_up and not e.is_serving]

    def permits(self) -> PermitTable:
        """Return the table of load permits."""
        found = self.store.store.get(PERMITS_KIND, PERMITS_NAME)
        if found is None or found.deleted:
            return PermitTable()
        return msgspec.convert(found.document, type=PermitTable)

    def place(self, index: int) -> Place:
        """Return the place of the machine of some kind with a number."""
        zone = index % self._zones
        return Place(f"zone-{zone}", f"region-{zone % REGIONS}")

    def _add_engine(self, pool: PoolSetup, slots: int, load_s: float) -> None:
        index = len(self.engines)
        name, address = f"engine-{index}", f"10.0.2.{index + 1}:8000"
        self.engines[name] = PooledEngine(
            name,
            address,
            pool.weights,
            slots,
            load_s,
            self.scheduler,
            lambda weights: weights not in self.missing,
        )
        place = self.place(index)
        self.places.put(place, name, address)
        self.listed.append(Machine(name, "engine", address, place.zone, pool.name))

    def _publish_all(self) -> None:
        unlimited = {
            "requests_per_s": 1e6,
            "tokens_per_s": 1e9,
            "concurrent_streams": 10**6,
            "queue_length": 10**6,
        }
        self.publish("tenants", "growers", unlimited)
        for pool in self.pools.values():
            self.publish("pools", pool.name, pool.document())
            self.publish("routes", pool.name, {"model": pool.name, "pool": pool.name})
