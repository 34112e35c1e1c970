"""Brings the faults of a schedule about in a simulated world."""

import functools
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from martenrun.proof.callers import Callers
from martenrun.proof.history import (
    NETWORK,
    OBJECT_API,
    STOPPED,
    CutFromObjectApi,
    LeavingAnnounced,
    LeavingWithdrawn,
    PlannedStop,
    ProcessDisturbed,
    ProcessStarted,
)
from martenrun.proof.operators import Operators
from martenrun.proof.place_faults import PlaceFaults
from martenrun.proof.processes import SimulatedNode, SimulatedProcess, Surroundings
from martenrun.proof.schedule import Fault, FaultKind
from martenrun.simulation.engine import SimulatedEngine

LEAVING_GRACE_S = 8.0
"""Time after which the platform ends a leaving machine, busy or not, in seconds."""

REPLACEMENT_S = 1.0
"""Time until a machine that left is replaced, in seconds."""

PROBE_AFTER_S = 1.1
"""A restarted process is sent a request this long after its start, in seconds."""

SECOND_ROLL_S = 2.0
"""Time from the pause of a permit's holder to the next weights version, in seconds."""

LOSS = 0.2
DUPLICATES = 0.2
LOST_ANSWERS = 0.5
JITTERS_S = (0.1, 1.5)
"""Longest added delays of messages; the larger one makes answers come after their timeout."""


@dataclass
class FaultInjector:
    """The machines that faults hit and what is needed to hit them.

    Attributes:
        leaving: names of the engines that are leaving or not yet replaced.
    """

    around: Surroundings
    nodes: Sequence[SimulatedNode]
    agents: Sequence[SimulatedProcess]
    engines: Sequence[SimulatedEngine]
    callers: Callers
    operators: Operators
    leaving: set[str] = field(default_factory=set)
    _places: PlaceFaults = field(init=False)

    def __post_init__(self) -> None:
        self._places = PlaceFaults(
            self.around, self.nodes, self.agents, self.engines, self._disturb
        )

    def plan(self, faults: Sequence[Fault]) -> None:
        """Schedule every fault."""
        for fault in faults:
            self.around.scheduler.after(fault.at_s, self._action(fault))

    def _action(self, fault: Fault) -> Callable[[], None]:
        node = self.nodes[fault.target % len(self.nodes)]
        agent = self.agents[fault.target % len(self.agents)]
        engine = self.engines[fault.target % len(self.engines)]
        duration_s = fault.duration_s
        actions: dict[FaultKind, Callable[[], None]] = {
            FaultKind.KILL_NODE: lambda: self._kill(node, duration_s),
            FaultKind.KILL_AGENT: lambda: self._kill(agent, duration_s),
            FaultKind.CRASH_ENGINE: lambda: self._crash(engine, duration_s),
            FaultKind.FREEZE_NODE: lambda: self._freeze(node, duration_s),
            FaultKind.FREEZE_AGENT: lambda: self._freeze(agent, duration_s),
            FaultKind.FREEZE_ENGINE: lambda: self._freeze_engine(engine, duration_s),
            FaultKind.CUT_CONNECTIONS: lambda: self._cut_connections(engine),
            FaultKind.CUT_NETWORK: lambda: self._cut_network(fault),
            FaultKind.LOSE_MESSAGES: lambda: self._lose_messages(fault),
            FaultKind.STORE_DOWN: lambda: self._store_down(duration_s),
            FaultKind.LOSE_ANSWERS: lambda: self._lose_answers(duration_s),
            FaultKind.COMPACT_STORE: self.around.store.store.compact,
            FaultKind.CUT_FROM_STORE: lambda: self._cut_from_store(node, duration_s),
            FaultKind.LOSE_CACHE_EVENTS: lambda: self._lose_cache_events(engine, duration_s),
            FaultKind.ENGINE_LEAVES: lambda: self._leave(engine),
            FaultKind.RESTART_ALL_NODES: lambda: self._kill_all(duration_s),
            FaultKind.RACE_OPERATORS: self.operators.race,
            FaultKind.SHIFT_HOT_PREFIX: self._shift,
            FaultKind.ROLL_WEIGHTS: self.operators.roll,
            FaultKind.PAUSE_PERMIT_HOLDER: lambda: self._pause_holder(duration_s),
            FaultKind.STOP_NODE: lambda: self._stop(node, duration_s),
            FaultKind.STOP_AGENT: lambda: self._stop(agent, duration_s),
            FaultKind.LOSE_ZONE: lambda: self._lose_zone(fault),
            FaultKind.CUT_REGIONS: lambda: self._places.cut_regions(duration_s),
            FaultKind.MACHINES_DOWN: lambda: self._places.machines_down(duration_s),
            FaultKind.MACHINES_LATE: lambda: self._places.machines_late(duration_s),
        }
        return actions[fault.kind]

    def _later(self, delay_s: float, call: Callable[[], None]) -> None:
        self.around.scheduler.after(delay_s, call)

    def _disturb(self, process: str, kind: str, duration_s: float) -> None:
        now = self.around.scheduler.now
        self.around.recorder.add(
            ProcessDisturbed(time_s=now, process=process, kind=kind, until_s=now + duration_s)
        )

    def _kill(self, process: SimulatedProcess, duration_s: float) -> None:
        if process.hollow.is_alive:
            self._disturb(process.name, "kill", duration_s)
            process.kill()
            self._later(duration_s, lambda: self._start(process))

    def _start(self, process: SimulatedProcess) -> None:
        process.start()
        now = self.around.scheduler.now
        is_node = isinstance(process, SimulatedNode)
        self.around.recorder.add(
            ProcessStarted(time_s=now, process=process.name, restarted=True, is_node=is_node)
        )
        self._later(PROBE_AFTER_S, lambda: self.callers.probe(process))

    def _stop(self, process: SimulatedProcess, duration_s: float) -> None:
        """Stop a process as planned; it starts again some time after it has ended."""
        if not process.is_serving or process.is_draining:
            return
        begun_s = self.around.scheduler.now

        def ended() -> None:
            now = self.around.scheduler.now
            self.around.recorder.add(PlannedStop(time_s=begun_s, process=process.name, until_s=now))
            self._disturb(process.name, STOPPED, duration_s)
            self._later(duration_s, lambda: self._start(process))

        process.drain(ended)

    def _kill_all(self, duration_s: float) -> None:
        for node in self.nodes:
            self._kill(node, duration_s)

    def _lose_zone(self, fault: Fault) -> None:
        """Lose a zone's nodes and engines, and the links of its agents."""
        zone = self._places.zone_of(fault.target)
        self._places.cut_zone(zone, fault.duration_s)
        for node in self._places.nodes_in(zone):
            self._kill(node, fault.duration_s)
        for engine in self._places.engines_in(zone):
            self._crash(engine, fault.duration_s)

    def _freeze(self, process: SimulatedProcess, duration_s: float) -> None:
        if process.is_serving:
            self._disturb(process.name, "freeze", duration_s)
            process.freeze()
            self._later(duration_s, process.thaw)

    def _pause_holder(self, duration_s: float) -> None:
        """Pause the next node that gives an order, with the order on its way out.

        Meanwhile operators publish another version, so that a late order would undo it.
        """

        def pause(holder: SimulatedNode) -> None:
            for node in self.nodes:
                node.on_order = _do_nothing
            self._freeze(holder, duration_s)
            self._later(SECOND_ROLL_S, self.operators.roll)

        for node in self.nodes:
            node.on_order = functools.partial(pause, node)
        self.operators.roll()

    def _crash(self, engine: SimulatedEngine, duration_s: float) -> None:
        if engine.is_up:
            self._disturb(engine.name, "kill", duration_s)
            engine.crash()
            self._later(duration_s, engine.restart)

    def _freeze_engine(self, engine: SimulatedEngine, duration_s: float) -> None:
        self._disturb(engine.name, "freeze", duration_s)
        engine.freeze()
        self._later(duration_s, engine.thaw)

    def _cut_connections(self, engine: SimulatedEngine) -> None:
        self._disturb(engine.name, "cut", 0.0)
        engine.cut_connections()

    def _cut_network(self, fault: Fault) -> None:
        members: list[SimulatedProcess] = [*self.nodes, *self.agents]
        side = [member for i, member in enumerate(members) if fault.target >> (i % 10) & 1]
        for member in members:
            self._disturb(member.name, "cut", fault.duration_s)
        self.around.network.cut([[member.peer for member in side]])
        self._later(fault.duration_s, self.around.network.heal)

    def _lose_messages(self, fault: Fault) -> None:
        faults = self.around.network.faults
        jitter_s = JITTERS_S[fault.target % len(JITTERS_S)]
        faults.loss, faults.duplicate, faults.jitter_s = LOSS, DUPLICATES, jitter_s
        self._disturb(NETWORK, "loss", fault.duration_s + jitter_s)
        self._later(fault.duration_s, self._heal_messages)

    def _heal_messages(self) -> None:
        faults = self.around.network.faults
        faults.loss, faults.duplicate, faults.jitter_s = 0.0, 0.0, 0.001

    def _store_down(self, duration_s: float) -> None:
        self._disturb(OBJECT_API, "down", duration_s)
        self.around.store.faults.down = True
        self._later(duration_s, self._store_up)

    def _store_up(self) -> None:
        self.around.store.faults.down = False

    def _cut_from_store(self, node: SimulatedNode, duration_s: float) -> None:
        unreachable = self.around.store.unreachable
        if node.name in unreachable:
            return
        unreachable.add(node.name)
        now = self.around.scheduler.now
        self.around.recorder.add(
            CutFromObjectApi(time_s=now, process=node.name, until_s=now + duration_s)
        )
        self._later(duration_s, lambda: unreachable.discard(node.name))

    def _lose_answers(self, duration_s: float) -> None:
        faults = self.around.store.faults
        faults.lose_write_probability = faults.lose_read_probability = LOST_ANSWERS
        self.operators.race()
        self._later(duration_s, self._stop_losing_answers)

    def _stop_losing_answers(self) -> None:
        faults = self.around.store.faults
        faults.lose_write_probability = faults.lose_read_probability = 0.0

    def _lose_cache_events(self, engine: SimulatedEngine, duration_s: float) -> None:
        feed = engine.feed
        feed.is_losing = True

        def recover() -> None:
            feed.is_losing = False

        self._later(duration_s, recover)

    def _shift(self) -> None:
        self.callers.hot_prefix += 1

    def _leave(self, engine: SimulatedEngine) -> None:
        now = self.around.scheduler.now
        if not engine.is_up or engine.name in self.leaving:
            return
        self.leaving.add(engine.name)
        self.around.machines.mark(engine.name, "leaving")
        self.around.recorder.add(LeavingAnnounced(time_s=now, process=engine.name))
        self._later(LEAVING_GRACE_S, lambda: self._end(engine, now))

    def _end(self, engine: SimulatedEngine, since_s: float) -> None:
        """End a leaving engine: the platform's patience is over."""
        now = self.around.scheduler.now
        self.around.recorder.add(PlannedStop(time_s=since_s, process=engine.name, until_s=now))
        engine.crash()
        self._later(REPLACEMENT_S, lambda: self._return(engine))

    def _return(self, engine: SimulatedEngine) -> None:
        """Replace the machine by a new one under the same name."""
        engine.restart()
        self.leaving.discard(engine.name)
        self.around.machines.mark(engine.name, "live")
        now = self.around.scheduler.now
        self.around.recorder.add(LeavingWithdrawn(time_s=now, process=engine.name))


def _do_nothing() -> None:
    pass
