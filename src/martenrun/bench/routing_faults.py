"""Faults of the routing benchmark: engine crashes and node restarts at drawn times."""

import random
from collections.abc import Callable

from martenrun.bench.routing_engine import SimulatedEngine
from martenrun.bench.routing_node import SimulatedNode, incarnation_of
from martenrun.deployments.model import Faults
from martenrun.simulation.scheduler import Scheduler

NODE_DOWN_S = 0.5
"""Time that a restarted node is away, in seconds."""


class RoutingFaults:
    """Crashes engines and restarts nodes; one generator a kind, so every policy meets the same.

    Args:
        engines: all engines by name.
        nodes: all nodes; a restart puts a new one in its place.
        crashed: called after an engine has lost everything.
        make_node: returns a new node of this name and zone.
        replaced: called with the number of a node that is new.
    """

    def __init__(
        self,
        scheduler: Scheduler,
        faults: Faults,
        seed: int,
        engines: dict[str, SimulatedEngine],
        nodes: list[SimulatedNode],
        crashed: Callable[[SimulatedEngine], None],
        make_node: Callable[[str, str], SimulatedNode],
        replaced: Callable[[int], None],
    ) -> None:
        self._scheduler = scheduler
        self._faults = faults
        self._crash_rng = random.Random(f"crashes {seed}")
        self._restart_rng = random.Random(f"restarts {seed}")
        self._engines = engines
        self._nodes = nodes
        self._crashed = crashed
        self._make_node = make_node
        self._replaced = replaced

    def begin(self) -> None:
        """Plan the first crash and the first restart."""
        self._plan(self._crash_rng, self._faults.engine_crash_every_s, self._crash_one)
        self._plan(self._restart_rng, self._faults.node_restart_every_s, self._restart_one)

    def _plan(self, rng: random.Random, mean_s: float, call: Callable[[], None]) -> None:
        self._scheduler.after(rng.expovariate(1.0 / mean_s), call)

    def _crash_one(self) -> None:
        engine = self._crash_rng.choice(list(self._engines.values()))
        self._plan(self._crash_rng, self._faults.engine_crash_every_s, self._crash_one)
        if not engine.is_up:
            return
        self._crashed(engine)
        self._scheduler.after(self._faults.notice_s, lambda: self._notice(engine))
        self._scheduler.after(self._faults.engine_down_s, lambda: self._come_back(engine))

    def _come_back(self, engine: SimulatedEngine) -> None:
        engine.come_back()
        self._scheduler.after(self._faults.notice_s, lambda: self._notice(engine))

    def _notice(self, engine: SimulatedEngine) -> None:
        for node in self._nodes:
            node.runners[engine.name].incarnation = incarnation_of(engine)

    def _restart_one(self) -> None:
        self._plan(self._restart_rng, self._faults.node_restart_every_s, self._restart_one)
        number = self._restart_rng.randrange(len(self._nodes))
        self._nodes[number].is_live = False
        self._scheduler.after(NODE_DOWN_S, lambda: self._replace_node(number))

    def _replace_node(self, number: int) -> None:
        old = self._nodes[number]
        self._nodes[number] = self._make_node(old.name, old.zone)
        self._replaced(number)
