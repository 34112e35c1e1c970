"""Decision logic that keeps the table of runners current."""

from collections.abc import Callable, Iterable, Mapping

from martenrun.backends.engine import RunnerServingState
from martenrun.backends.machine_list import Machine
from martenrun.configuration.objects import Assignment, Pool
from martenrun.configuration.view import ConfigurationView
from martenrun.events import Event, Instruction, MachinesListed, RunnerDescribed, Tick
from martenrun.orders.target import serves_model
from martenrun.routing.policy import RunnerState

LOOK_INTERVAL_S = 0.5
"""Time between two looks at the drained and the assigned runners, in seconds."""


class RunnerTable:
    """Runners by name, from the lagging machine list and the engines' own descriptions.

    ``version`` rises whenever a runner comes, goes, changes its pool, or starts or stops leaving.

    Args:
        drained: returns the names of runners that operators drain; they are leaving too.
        view: returns the configuration in force, which assigns runners to pools.
    """

    handles = frozenset({Tick, MachinesListed, RunnerDescribed})

    def __init__(
        self,
        drained: Callable[[], frozenset[str]] = frozenset,
        view: Callable[[], ConfigurationView] = ConfigurationView,
    ) -> None:
        self.runners: dict[str, RunnerState] = {}
        self.version = 0
        self._drained = drained
        self._drained_before: frozenset[str] = frozenset()
        self._view = view
        self._assigned_before: Mapping[str, Assignment] = {}
        self._pools_before: Mapping[str, Pool] = {}
        self._next_look = 0.0
        self._last_listed: list[Machine] | None = None
        self._listed_leaving: set[str] = set()

    @property
    def is_listed(self) -> bool:
        """Whether the machine list has arrived since the start."""
        return self._last_listed is not None

    def handle(self, event: Event, now: float) -> list[Instruction]:
        """Take in an event; see :class:`martenrun.events.DecisionLogic`."""
        match event:
            case Tick() if now >= self._next_look:
                self._next_look = now + LOOK_INTERVAL_S
                self._look_for_drains()
                self._look_for_assignments()
            case MachinesListed(machines) if machines is not self._last_listed:
                self._last_listed = machines
                self._update_machines(machines)
            case RunnerDescribed():
                self._update_runner(event, now)
        return []

    def is_leaving(self, name: str) -> bool:
        """Return whether a runner is known to be leaving; one that is not known is not."""
        runner = self.runners.get(name)
        return runner is not None and runner.leaving

    def usable(self, pool: str, excluded: list[str]) -> list[RunnerState]:
        """Return the pool's runners that may get new work, without the excluded ones."""
        return [
            runner
            for runner in self.runners.values()
            if runner.pool == pool and runner.is_usable and runner.name not in excluded
        ]

    def serves_its_pool(self, runner: RunnerState) -> bool:
        """Whether a runner's engine can serve its pool, as far as is known here.

        It must have the pool's model and, while it has not arrived, the pool's weights version.
        """
        view = self._view()
        pool = view.pool(runner.pool)
        if pool is None:
            return True
        if view.is_moving(runner.name) and runner.weights_version != pool.weights_version:
            return False
        return serves_model(pool, runner.model)

    def listed_pool(self, runner: str) -> str:
        """Return the pool that the machine list names for a runner; empty if none."""
        found = self.runners.get(runner)
        return "" if found is None else found.listed_pool or ""

    def _update_machines(self, machines: list[Machine]) -> None:
        listed = {machine.name: machine for machine in machines if machine.role == "engine"}
        for name in self.runners.keys() - listed.keys():
            self._remove(name)
        for machine in listed.values():
            runner = self.runners.get(machine.name)
            if runner is None:
                runner = RunnerState(machine.name, machine.address, machine.zone, machine.pool)
                self.runners[machine.name] = runner
                self.version += 1
            runner.address = machine.address
            runner.listed_pool = machine.pool
        self._update_pools(listed.keys())
        self._listed_leaving = {machine.name for machine in machines if machine.is_leaving}
        self._listed_leaving |= self.runners.keys() - listed.keys()
        self._update_leaving()

    def _look_for_assignments(self) -> None:
        """Pass over the assigned runners only if assignments or pools have changed."""
        view = self._view()
        before = self._assigned_before
        if view.assignments is before and view.pools is self._pools_before:
            return
        touched = before.keys() | view.assignments.keys()
        self._assigned_before, self._pools_before = view.assignments, view.pools
        self._update_pools(touched)

    def _update_pools(self, names: Iterable[str]) -> None:
        view = self._view()
        for name in names:
            runner = self.runners.get(name)
            if runner is None or runner.listed_pool is None:
                continue
            pool = view.pool_of_runner(name, runner.listed_pool)
            if runner.pool != pool:
                runner.pool = pool
                self.version += 1

    def _look_for_drains(self) -> None:
        """Pass over all runners only if the drains have changed."""
        if self._drained() != self._drained_before:
            self._update_leaving()

    def _update_leaving(self) -> None:
        self._drained_before = self._drained()
        leaving = self._listed_leaving | self._drained_before
        for runner in self.runners.values():
            if runner.leaving != (runner.name in leaving):
                runner.leaving = not runner.leaving
                self.version += 1

    def _remove(self, name: str) -> None:
        """Forget a runner that is no longer listed once its requests have ended."""
        runner = self.runners[name]
        runner.listed_pool = None
        if not runner.leaving:
            runner.leaving = True
            self.version += 1
        if runner.in_flight <= 0:
            del self.runners[name]
            self.version += 1

    def _update_runner(self, event: RunnerDescribed, now: float) -> None:
        runner = self.runners.get(event.runner)
        if runner is None:
            return
        if event.description is None:
            runner.incarnation = ""
            return
        description = event.description
        runner.incarnation = description.incarnation
        runner.weights_version = description.weights_version
        runner.model = description.model
        runner.accepting = description.state == RunnerServingState.SERVING
        runner.slots = description.slots
        runner.reported_running = description.running
        runner.reported_at = now
        runner.in_flight_at_report = runner.in_flight
