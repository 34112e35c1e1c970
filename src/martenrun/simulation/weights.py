"""Weights of a simulated engine: fenced orders, draining, loading, serving."""

from collections.abc import Callable
from dataclasses import dataclass

from martenrun.backends.engine import RunnerServingState
from martenrun.backends.engine_orders import EngineOrder, OrderAction, OrderOutcome
from martenrun.standins.engine.orders import FenceGuard, Order
from martenrun.standins.engine.orders import OrderAction as StandinAction
from martenrun.standins.engine.refusals import RefusalCode, RefusedError

LOAD_S = 2.0
"""Time that an engine takes to load weights, in seconds."""

FIRST_VERSION = "v1"
"""Weights version that every incarnation starts with."""

_OUTCOMES = {
    RefusalCode.STALE_FENCE: OrderOutcome.STALE,
    RefusalCode.ANOTHER_INCARNATION: OrderOutcome.RESTARTED,
}


@dataclass(frozen=True, slots=True)
class LoadStep:
    """An engine began to leave service for a load, or ended one; ``fence`` is the order's."""

    engine: str
    incarnation: str
    version: str
    fence: int
    is_end: bool


class SimulatedWeights:
    """What one incarnation holds, and the load that is under way.

    Args:
        is_idle: returns whether no request is running; a load waits for it.
        later: makes a call after some seconds unless the incarnation has ended by then.
        clear_cache: forgets the prefix cache.
        observe: is told every step of a load.
    """

    def __init__(
        self,
        engine: str,
        incarnation: str,
        is_idle: Callable[[], bool],
        later: Callable[[float, Callable[[], None]], None],
        clear_cache: Callable[[], None],
        observe: Callable[[LoadStep], None],
    ) -> None:
        self.version = FIRST_VERSION
        self.state = RunnerServingState.SERVING
        self.target_version = FIRST_VERSION
        self._engine = engine
        self._incarnation = incarnation
        self._is_idle = is_idle
        self._later = later
        self._clear_cache = clear_cache
        self._observe = observe
        self._guard = FenceGuard(incarnation)
        self._loads = 0

    @property
    def fence(self) -> int:
        """The highest fencing token seen."""
        return self._guard.fence

    def refusal(self, expected_version: str) -> str:
        """Return why a request that expects a version is not run, or an empty string."""
        if self.state is not RunnerServingState.SERVING:
            return "not serving"
        if expected_version not in ("", self.version):
            return "another weights version"
        return ""

    def take(self, order: EngineOrder) -> OrderOutcome:
        """Take an order; only loads of weights are carried out."""
        action = StandinAction(order.action.value)
        guarded = Order(order.fence, order.incarnation, action, order.value)
        try:
            is_new = self._guard.check(guarded)
        except RefusedError as error:
            return _OUTCOMES.get(error.code, OrderOutcome.REFUSED)
        self._guard.accept(guarded)
        if is_new and order.action is OrderAction.LOAD_WEIGHTS:
            self._begin(order)
        return OrderOutcome.ACCEPTED

    def end(self) -> None:
        """The incarnation ends; so does its load."""
        if self.state is not RunnerServingState.SERVING:
            self._note(self.target_version, self.fence, is_end=True)

    def look(self) -> None:
        """Go on to load once the last request has ended."""
        if self.state is RunnerServingState.DRAINING and self._is_idle():
            self._clear_cache()
            self.version = ""
            self.state = RunnerServingState.LOADING
            load = self._loads
            self._later(LOAD_S, lambda: self._finish(load))

    def _begin(self, order: EngineOrder) -> None:
        is_serving = self.state is RunnerServingState.SERVING
        if order.value == (self.version if is_serving else self.target_version):
            return
        self.end()
        self.target_version = order.value
        self.state = RunnerServingState.DRAINING
        self._loads += 1
        self._note(order.value, order.fence, is_end=False)
        self.look()

    def _finish(self, load: int) -> None:
        if load == self._loads:
            self._note(self.target_version, self.fence, is_end=True)
            self.version = self.target_version
            self.state = RunnerServingState.SERVING

    def _note(self, version: str, fence: int, is_end: bool) -> None:
        self._observe(LoadStep(self._engine, self._incarnation, version, fence, is_end))
