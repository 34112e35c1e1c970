"""Decision logic that records when an assigned runner serves its new pool.

The runner's owner node sees the engine's descriptions.  Once one shows the pool's model and
weights version, it writes ``arrived`` into the assignment by compare-and-swap.  Until then
nobody counts on the runner for a floor.  The object stays, also of a runner that was sent back:
its versions only go up, so a late write of an earlier decision always conflicts.

A write that conflicts or whose answer is lost is not repeated blindly: what became of it is
read from the configuration, and only an assignment that is still unfinished is written again.
"""

import random
from collections.abc import Callable

import msgspec

from martenrun.backends.engine import RunnerDescription, RunnerServingState
from martenrun.configuration.objects import Assignment, Kind, Pool, encode_document
from martenrun.configuration.state import ConfigurationState
from martenrun.events import Event, Instruction, RunnerDescribed, StoreWrite, Tick
from martenrun.node.runners import RunnerTable

LOOK_INTERVAL_S = 0.5
"""Time between two looks at the unfinished assignments, in seconds."""

RETRY_S = 5.0
"""Least time between two writes of one assignment, in seconds; up to twice as long.

Longer than a write takes to come back as configuration.
"""


class ArrivalsLogic:
    """Finishes the assignments of the runners that this node owns.

    Args:
        holder: identity of this run of the node.
        table: the node's runners.
        configuration: the configuration in force.
        is_owner: whether this node owns a runner.
        rng: for jitter.
    """

    handles = frozenset({Tick, RunnerDescribed})

    def __init__(
        self,
        holder: str,
        table: RunnerTable,
        configuration: ConfigurationState,
        is_owner: Callable[[str], bool],
        rng: random.Random,
    ) -> None:
        self._prefix = f"arrival/{holder}/"
        self._table = table
        self._configuration = configuration
        self._is_owner = is_owner
        self._rng = rng
        self._descriptions: dict[str, RunnerDescription] = {}
        self._next_look = 0.0
        self._next_write: dict[str, float] = {}
        self._calls = 0

    def handle(self, event: Event, now: float) -> list[Instruction]:
        """Take in an event; see :class:`martenrun.events.DecisionLogic`."""
        match event:
            case RunnerDescribed(runner, description):
                self._described(runner, description)
            case Tick() if now >= self._next_look:
                self._next_look = now + LOOK_INTERVAL_S
                return self._look(now)
        return []

    def _described(self, runner: str, description: RunnerDescription | None) -> None:
        is_moving = self._configuration.view.is_moving(runner)
        if description is None or not is_moving or not self._is_owner(runner):
            self._descriptions.pop(runner, None)
        else:
            self._descriptions[runner] = description

    def _look(self, now: float) -> list[Instruction]:
        view = self._configuration.view
        self._next_write = {
            runner: time for runner, time in self._next_write.items() if view.is_moving(runner)
        }
        instructions: list[Instruction] = []
        for runner in list(self._descriptions):
            if not view.is_moving(runner) or not self._is_owner(runner):
                del self._descriptions[runner]
            elif now >= self._next_write.get(runner, now) and self._has_arrived(runner):
                self._next_write[runner] = now + RETRY_S * self._rng.uniform(1.0, 2.0)
                instructions.append(self._write(runner, view.assignments[runner]))
        return instructions

    def _has_arrived(self, runner: str) -> bool:
        view = self._configuration.view
        wanted = view.assignments[runner].pool or self._table.listed_pool(runner)
        known = self._table.runners.get(runner)
        pool = view.pool(wanted)
        if known is None or pool is None or known.pool != wanted:
            # The table is about to take the assignment in, or it selects nothing.
            return False
        return has_arrived(pool, self._descriptions[runner])

    def _write(self, runner: str, assignment: Assignment) -> Instruction:
        self._calls += 1
        document = encode_document(msgspec.structs.replace(assignment, arrived=True))
        kind = Kind.ASSIGNMENT
        expected = self._configuration.revision_of(kind, runner)
        return StoreWrite(f"{self._prefix}{self._calls}", kind.value, runner, expected, document)


def has_arrived(pool: Pool, description: RunnerDescription) -> bool:
    """Whether an engine serves with a pool's model and weights."""
    held = (description.model, description.weights_version)
    is_serving = description.state == RunnerServingState.SERVING
    return is_serving and held == (pool.model, pool.weights_version)
