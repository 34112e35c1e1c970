"""A simulated engine that can load other models: slots, prefixes held, fenced orders.

Requests are counted, not generated.  See also: :mod:`martenrun.simulation.pool_world`.
"""

from collections.abc import Callable
from dataclasses import dataclass

from martenrun.backends.engine import RunnerDescription, RunnerServingState
from martenrun.backends.engine_orders import EngineOrder, OrderAction, OrderOutcome
from martenrun.simulation.scheduler import Scheduler
from martenrun.standins.engine.orders import FenceGuard, Order
from martenrun.standins.engine.orders import OrderAction as StandinAction
from martenrun.standins.engine.refusals import RefusalCode, RefusedError

_LOADS = (OrderAction.LOAD_WEIGHTS, OrderAction.LOAD_MODEL)
_OUTCOMES = {
    RefusalCode.STALE_FENCE: OrderOutcome.STALE,
    RefusalCode.ANOTHER_INCARNATION: OrderOutcome.RESTARTED,
}


@dataclass(frozen=True, slots=True)
class Weights:
    """A weights version of a model."""

    model: str
    version: str


class PooledEngine:
    """One engine machine over all its incarnations.

    Attributes:
        weights: what it serves with or, while it loads, what it is to serve with.
        running: identities of the requests in its slots.
        held_prefixes: prefixes that the present incarnation has cached.
        loads: what it began to load, in order.
        is_up: whether it answers.

    Args:
        first: weights after every start.
        load_s: time of one load, in seconds.
        exists: whether the weight store has some weights.
    """

    def __init__(
        self,
        name: str,
        address: str,
        first: Weights,
        slots: int,
        load_s: float,
        scheduler: Scheduler,
        exists: Callable[[Weights], bool],
    ) -> None:
        self.name = name
        self.address = address
        self.slots = slots
        self.load_s = load_s
        self.loads: list[Weights] = []
        self.is_up = True
        self._first = first
        self._scheduler = scheduler
        self._exists = exists
        self._runs = 0
        self._target: Weights | None = None
        self.restart()

    @property
    def incarnation(self) -> str:
        """Identity of the present run."""
        return f"{self.name}.{self._runs}"

    @property
    def is_serving(self) -> bool:
        """Whether it takes requests."""
        return self.is_up and self.state is RunnerServingState.SERVING

    def restart(self) -> None:
        """Come back empty, with the first weights."""
        self._begin_run(self._first, RunnerServingState.SERVING)
        self.guard = FenceGuard(self.incarnation)

    def describe(self) -> RunnerDescription | None:
        """Return the engine's own description, or None if it does not answer."""
        if not self.is_up:
            return None
        is_loading = self.state in (RunnerServingState.LOADING, RunnerServingState.FAILED)
        return RunnerDescription(
            self.incarnation,
            self.weights.model,
            "" if is_loading else self.weights.version,
            len(self.running),
            self.slots,
            0,
            state=self.state,
            fence=self.guard.fence,
        )

    def take_order(self, order: EngineOrder) -> OrderOutcome:
        """Take an order; only loads are carried out."""
        if not self.is_up:
            return OrderOutcome.UNKNOWN
        wanted = Weights(order.model or self.weights.model, order.value)
        if order.action in _LOADS and not self._exists(wanted):
            return OrderOutcome.REFUSED
        action = StandinAction(order.action.value)
        guarded = Order(order.fence, order.incarnation, action, order.value, order.model)
        try:
            is_new = self.guard.check(guarded)
        except RefusedError as error:
            return _OUTCOMES.get(error.code, OrderOutcome.REFUSED)
        self.guard.accept(guarded)
        present = self._target or (self.weights if self.is_serving else None)
        if is_new and order.action in _LOADS and wanted != present:
            self._target = wanted
            self.state = RunnerServingState.DRAINING
            self._load_if_idle()
        return OrderOutcome.ACCEPTED

    def start(self, request: str, incarnation: str, version: str) -> bool:
        """Start a request if the engine may run it; returns whether it does."""
        is_meant = (incarnation, version) == (self.incarnation, self.weights.version)
        if not self.is_serving or not is_meant or len(self.running) >= self.slots:
            return False
        self.running.add(request)
        return True

    def finish(self, request: str, incarnation: str) -> None:
        """End a request."""
        if incarnation == self.incarnation:
            self.running.discard(request)
            self._load_if_idle()

    def _begin_run(self, weights: Weights, state: RunnerServingState) -> None:
        self._runs += 1
        self.weights = weights
        self.state = state
        self.running: set[str] = set()
        self.held_prefixes: set[int] = set()
        self._target = None

    def _load_if_idle(self) -> None:
        target = self._target
        if target is None or self.running or self.state is not RunnerServingState.DRAINING:
            return
        if target.model != self.weights.model:
            guard = self.guard
            self._begin_run(target, RunnerServingState.LOADING)
            self.guard = guard.renamed(self.incarnation)
        self.weights, self._target = target, target
        self.state = RunnerServingState.LOADING
        self.held_prefixes.clear()
        self.loads.append(target)
        run, number = self._runs, len(self.loads)
        self._scheduler.after(self.load_s, lambda: self._loaded(run, number))

    def _loaded(self, run: int, number: int) -> None:
        is_present = (run, number) == (self._runs, len(self.loads))
        if is_present and self.is_up and self.state is RunnerServingState.LOADING:
            self.state = RunnerServingState.SERVING
            self._target = None
