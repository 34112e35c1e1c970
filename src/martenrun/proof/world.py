"""A simulated world: nodes, agents, engines, object API and machine list in virtual time.

See also: :mod:`martenrun.proof.injector`, which brings the faults about.
"""

import random
from math import inf

import msgspec

from martenrun.backends.machine_list import Machine
from martenrun.proof.callers import Callers
from martenrun.proof.checkers import Violation, check_all
from martenrun.proof.history import EngineListed, History, ProcessStarted
from martenrun.proof.injector import FaultInjector
from martenrun.proof.operators import Operators
from martenrun.proof.processes import (
    SimulatedAgent,
    SimulatedNode,
    SimulatedProcess,
    Surroundings,
)
from martenrun.proof.recorder import Recorder
from martenrun.proof.schedule import Schedule
from martenrun.simulation.engine import SimulatedEngine
from martenrun.simulation.machines import SimulatedMachines
from martenrun.simulation.network import LinkFaults, SimulatedNetwork
from martenrun.simulation.places import PLATFORM, Place, Places
from martenrun.simulation.scheduler import Scheduler
from martenrun.simulation.store import SimulatedStore, StoreFaults

MACHINE_LAG_S = 1.0
OBSERVE_INTERVAL_S = 0.5
WARM_UP_S = 3.0
"""Time for configuration and runners to become known before the load, in seconds."""

QUIET_S = 14.0
"""Time without load after the last fault, in which everything must come right, in seconds."""

SETTLED_S = 4.0
"""How long all must have been right for the quiet to end sooner, in seconds."""

LOOK_INTERVAL_S = 0.5

LONGEST_RUN_S = 120.0

REGIONS = 2


class World:
    """One history: build it from a schedule, then :meth:`run` it."""

    def __init__(self, schedule: Schedule) -> None:
        self._schedule = schedule
        rng = random.Random(schedule.seed)
        self.scheduler = Scheduler()
        self.recorder = Recorder(lambda: self.scheduler.now)
        self._build_platform(rng)
        self._build_processes()
        members: list[SimulatedProcess] = [*self.agents, *self.nodes]
        self.members = members
        self.recorder.names.update({member.peer: member.name for member in members})
        self.callers = Callers(self.scheduler, self.recorder, rng, members, schedule.copy_share)
        self.operators = Operators(self.scheduler, self.recorder, rng, self.nodes)
        self.injector = FaultInjector(
            self.around, self.nodes, self.agents, self.engines, self.callers, self.operators
        )

    def run(self) -> History:
        """Run to the end and return what was recorded."""
        schedule = self._schedule
        self._record_starts()
        self.operators.publish_all()
        self._observe()
        self.scheduler.run_until(WARM_UP_S)
        load_until_s = WARM_UP_S + schedule.load_s
        self.callers.run(schedule.requests_per_s, load_until_s)
        self.injector.plan(schedule.faults)
        faults_until_s = max(
            (fault.at_s + fault.duration_s for fault in schedule.faults), default=0
        )
        self.scheduler.run_until(max(load_until_s, WARM_UP_S + faults_until_s))
        self._come_to_rest()
        return self.recorder.history()

    def _come_to_rest(self) -> None:
        """Run until all has been right for some time, at the latest when the quiet end is over."""
        quiet_until_s = self.scheduler.now + QUIET_S
        right_since_s = inf
        while self.scheduler.now < LONGEST_RUN_S:
            now = self.scheduler.now
            right_since_s = min(right_since_s, now) if self._is_right() else inf
            is_over = now >= quiet_until_s and not self._is_busy()
            if is_over or now - right_since_s >= SETTLED_S:
                return
            self.scheduler.run_until(now + LOOK_INTERVAL_S)

    def _is_right(self) -> bool:
        """Whether everything runs, nothing is in progress and all have one configuration."""
        if self._is_busy() or not all(member.is_serving for member in self.members):
            return False
        if self.injector.leaving or not all(map(self._is_at_rest, self.engines)):
            return False
        newest = self.operators.newest_accepted
        views = [member.parts.view() for member in self.members]
        first = views[0]
        return first.revision >= newest and all(
            view.revision == first.revision and view.documents == first.documents for view in views
        )

    def _build_platform(self, rng: random.Random) -> None:
        machines = SimulatedMachines(self.scheduler, MACHINE_LAG_S)
        self.engines = [
            SimulatedEngine(
                f"engine-{index}",
                f"10.0.2.{index + 1}:8000",
                self.scheduler,
                self.recorder.executed,
                self.recorder.load_step,
            )
            for index in range(self._schedule.engines)
        ]
        places = Places()
        platform_region = _region(self._schedule.seed % REGIONS)
        places.put(Place("", platform_region if self._schedule.zones > 1 else _region(0)), PLATFORM)
        for index, engine in enumerate(self.engines):
            place = self._place(index)
            places.put(place, engine.name, engine.address)
            machines.put(Machine(engine.name, "engine", engine.address, place.zone, "pool"))
            self.recorder.add(EngineListed(time_s=0.0, process=engine.name))
        store = SimulatedStore(self.scheduler, rng, StoreFaults())
        store.is_cut = lambda name: places.are_cut(name, PLATFORM)
        self.around = Surroundings(
            self.scheduler,
            SimulatedNetwork(self.scheduler, rng, LinkFaults(), places),
            places,
            store,
            machines,
            {engine.address: engine for engine in self.engines},
            self.recorder,
            rng,
        )

    def _place(self, index: int) -> Place:
        """Return the place of the machine of some kind with a number."""
        zone = index % self._schedule.zones
        return Place(f"zone-{zone}", _region(zone % REGIONS))

    def _build_processes(self) -> None:
        peers = [f"10.0.0.{index + 1}:7000" for index in range(self._schedule.nodes)]
        self.nodes = [
            SimulatedNode(f"node-{index}", peer, peers, self._place(index), self.around)
            for index, peer in enumerate(peers)
        ]
        self.agents = [
            SimulatedAgent(f"agent-{index}", peers, self._place(index), self.around)
            for index in range(self._schedule.agents)
        ]

    def _record_starts(self) -> None:
        for member in self.members:
            is_node = isinstance(member, SimulatedNode)
            self.recorder.add(
                ProcessStarted(time_s=0.0, process=member.name, restarted=False, is_node=is_node)
            )

    def _observe(self) -> None:
        for member in self.members:
            if member.is_serving:
                self.recorder.in_force(member.name, member.incarnation, member.parts.view())
        self.scheduler.after(OBSERVE_INTERVAL_S, self._observe)

    def _is_at_rest(self, engine: SimulatedEngine) -> bool:
        """Whether an engine answers, runs nothing and has the weights published last."""
        has_weights = engine.weights.version == self.operators.weights_version
        return engine.answers and engine.running == 0 and has_weights

    def _is_busy(self) -> bool:
        return any(member.edge.active_count or member.is_draining for member in self.members)


def _region(number: int) -> str:
    return f"region-{number}"


class Outcome(msgspec.Struct, frozen=True):
    """What one history came to."""

    schedule: Schedule
    operations: int
    violations: list[Violation]


def run_schedule(schedule: Schedule) -> Outcome:
    """Run one history and check every promise."""
    world = World(schedule)
    history = world.run()
    return Outcome(schedule, world.callers.sent, check_all(history))
