"""Decision logic that brings a node's own runners to what their pools ask for.

Each runner is an instance of the ``runner`` state chart.  A runner that lacks something waits
for a load permit, gets a fenced order and keeps the permit until the engine describes itself
as done.  The engine itself refuses new requests, lets running ones end and forgets its cache.

See also: ``statecharts/runner.toml``, :mod:`martenrun.orders.keeper`, docs/design/orders.md.
"""

import dataclasses
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from martenrun.backends.engine import RunnerDescription, RunnerServingState
from martenrun.backends.engine_orders import EngineOrder, OrderOutcome
from martenrun.configuration.objects import Kind, Pool
from martenrun.configuration.state import ConfigurationState
from martenrun.events import (
    Event,
    Instruction,
    OrderAnswered,
    RunnerDescribed,
    SendOrder,
    StoreAnswered,
    Tick,
)
from martenrun.orders.keeper import PermitKeeper
from martenrun.orders.permits import ANY_STORE, MAXIMUM_LOADS, Permit, PermitWish
from martenrun.orders.target import LOADS, Target, next_target, serves_model
from martenrun.routing.policy import RunnerState
from martenrun.statecharts.compiler import load_chart

CHECK_INTERVAL_S = 0.5
"""Time between two looks at the runners, in seconds."""

ORDER_RETRY_S = 1.0
"""Time after which an unanswered order is sent again, in seconds."""

FAILURE_PAUSE_S = 5.0
"""Pause of a runner whose order failed, in seconds; up to twice as long, drawn evenly."""

_CHART = load_chart("runner")


@dataclass
class RunnerRoll:
    """State of one runner's chart.

    Attributes:
        target: what is being ordered.
        change: identity of the grant asked for.
        order: the order sent last.
        outcome: what became of it, or None while it is not known.
        next_try: nothing is begun, and no order sent again, before then.
    """

    runner: str
    state: str = _CHART.initial
    target: Target | None = None
    change: str = ""
    order: EngineOrder | None = None
    outcome: OrderOutcome | None = None
    next_try: float = 0.0


class RollsLogic:
    """Rolls of all runners that this node owns.

    ``watched`` names the runners whose descriptions this needs besides the owned ones.

    Args:
        holder: identity of this run of the node.
        runners: the node's table of runners, by name.
        configuration: the configuration in force.
        is_owner: whether this node owns a runner; two nodes that both believe so waste
            permits but break nothing.
        rng: for jitter.
        maximum_loads: runners that may load from one store at a time, over all nodes.
    """

    handles = frozenset({Tick, RunnerDescribed, OrderAnswered, StoreAnswered})

    def __init__(
        self,
        holder: str,
        runners: Mapping[str, RunnerState],
        configuration: ConfigurationState,
        is_owner: Callable[[str], bool],
        rng: random.Random,
        maximum_loads: int = MAXIMUM_LOADS,
    ) -> None:
        self.rolls: dict[str, RunnerRoll] = {}
        self.keeper = PermitKeeper(
            holder, rng, self._serving_count, self._is_settled, maximum_loads
        )
        self._holder = holder
        self._runners = runners
        self._configuration = configuration
        self._is_owner = is_owner
        self._rng = rng
        self._descriptions: dict[str, RunnerDescription] = {}
        self.watched: frozenset[str] = frozenset()
        self._changes = 0
        self._next_check = 0.0
        self._actions: dict[str, Callable[[RunnerRoll, float], list[Instruction]]] = {
            "request_permit": self._request_permit,
            "send_order": self._send_order,
            "release_permit": self._release_permit,
            "back_off": self._back_off,
        }

    def handle(self, event: Event, now: float) -> list[Instruction]:
        """Take in an event; see :class:`martenrun.events.DecisionLogic`."""
        match event:
            case RunnerDescribed(runner, description):
                self._described(runner, description)
            case OrderAnswered():
                self._order_answered(event)
            case StoreAnswered():
                return self.keeper.handle(event, now)
            case Tick() if now >= self._next_check:
                self._next_check = now + CHECK_INTERVAL_S
                return self._check(now)
        return []

    def _described(self, runner: str, description: RunnerDescription | None) -> None:
        if description is None:
            self._descriptions.pop(runner, None)
        else:
            self._descriptions[runner] = description

    def _order_answered(self, event: OrderAnswered) -> None:
        roll = self.rolls.get(event.runner)
        if roll is not None and roll.order == event.order:
            roll.outcome = event.outcome

    def _check(self, now: float) -> list[Instruction]:
        for runner in list(self._descriptions):
            if runner in self.watched or self._is_owner(runner):
                self._begin_if_due(runner)
            else:
                # Nobody describes it to this node any more.
                del self._descriptions[runner]
        instructions: list[Instruction] = []
        for roll in list(self.rolls.values()):
            instructions += self._advance(roll, now)
        instructions += self.keeper.tick(now)
        self.watched = frozenset({*self.rolls, *self.keeper.lapsed_runners(now)})
        return instructions

    def _begin_if_due(self, runner: str) -> None:
        if runner not in self.rolls and self._is_due(runner) and self._is_owner(runner):
            self.rolls[runner] = RunnerRoll(runner)

    def _is_due(self, runner: str) -> bool:
        pool = self._pool_of(runner)
        return pool is not None and next_target(pool, self._descriptions[runner]) is not None

    def _advance(self, roll: RunnerRoll, now: float) -> list[Instruction]:
        event = self._next_event(roll, now)
        transition = None if event is None else _CHART.step(roll.state, event)
        if transition is None:
            return []
        roll.state = transition.next_state
        instructions: list[Instruction] = []
        for action in transition.actions:
            instructions += self._actions[action](roll, now)
        if roll.state in _CHART.final:
            del self.rolls[roll.runner]
        return instructions

    def _next_event(self, roll: RunnerRoll, now: float) -> str | None:
        """Return the chart event that the present facts about a runner amount to."""
        description = self._descriptions.get(roll.runner)
        if self._may_be_left(roll, description):
            return "runner_gone"
        pool = self._pool_of(roll.runner)
        if description is None or pool is None:
            return None
        target = next_target(pool, description)
        if roll.state == _CHART.initial:
            if target is None:
                return "nothing_due"
            return "order_due" if now >= roll.next_try else None
        is_done = target is None or (
            roll.target is not None and roll.target.is_reached(description)
        )
        if is_done and _shows_order(description, roll.order):
            return "target_reached"
        if target is not None and (
            roll.target is None or roll.target.is_changed_to(target, description)
        ):
            return "target_changed"
        return self._event_of_permit_holder(roll, description, now)

    def _may_be_left(self, roll: RunnerRoll, description: RunnerDescription | None) -> bool:
        """Whether to drop the runner: never while it may be loading under our permit."""
        listed = self._runners.get(roll.runner)
        if listed is None:
            return True
        if listed.leaving:
            return roll.order is None or description is None
        return roll.order is None and not self._is_owner(roll.runner)

    def _event_of_permit_holder(
        self, roll: RunnerRoll, description: RunnerDescription, now: float
    ) -> str | None:
        is_held = roll.runner in self.keeper.held
        if roll.state == "acquiring":
            if self.keeper.may_order(roll.runner, now) is None or now < roll.next_try:
                return None
            # A runner that did not answer at the grant got its permit whatever the floor.
            return "permit_granted" if self.keeper.keeps_floor(roll.runner) else "floor_broken"
        if not is_held:
            return "permit_lost"
        if roll.order is not None and roll.order.incarnation != description.incarnation:
            return "engine_restarted"
        if roll.state == "ordering":
            return self._event_of_order(roll, now)
        return "load_failed" if self._has_given_up(roll, description) else None

    @staticmethod
    def _has_given_up(roll: RunnerRoll, description: RunnerDescription) -> bool:
        """Whether an engine that took an order is not carrying it out any more."""
        if not _shows_order(description, roll.order):
            return False
        if description.state == RunnerServingState.FAILED:
            return True
        is_for_weights = roll.order is not None and roll.order.action in LOADS
        return is_for_weights and description.state == RunnerServingState.SERVING

    @staticmethod
    def _event_of_order(roll: RunnerRoll, now: float) -> str | None:
        match roll.outcome:
            case OrderOutcome.ACCEPTED:
                return "order_accepted"
            case OrderOutcome.STALE | OrderOutcome.REFUSED:
                return "order_refused"
        return "order_unanswered" if now >= roll.next_try else None

    def _request_permit(self, roll: RunnerRoll, now: float) -> list[Instruction]:
        description = self._descriptions[roll.runner]
        pool = self._pool_of(roll.runner)
        assert pool is not None
        roll.target = next_target(pool, description)
        assert roll.target is not None
        self._changes += 1
        roll.change = f"{self._holder}/{self._changes}"
        listed = self._runners[roll.runner]
        pool_name = listed.pool
        wish = PermitWish(
            roll.runner,
            pool_name,
            self._configuration.revision_of(Kind.POOL, pool_name),
            roll.target.action,
            roll.target.value,
            roll.change,
            pool.floor,
            takes_out=roll.target.action in LOADS,
            store=pool.weight_stores.get(listed.zone, ANY_STORE),
            model=roll.target.model,
            configuration_revision=self._configuration.revision,
        )
        if roll.target.model:
            wish = self._leaving(wish, description)
        self.keeper.wish(wish)
        return []

    def _leaving(self, wish: PermitWish, description: RunnerDescription) -> PermitWish:
        """Return the wish with the pool whose model the engine gives up, if it is known."""
        view = self._configuration.view
        assignment = view.assignments.get(wish.runner)
        told = assignment.left_pool if assignment is not None else None
        held = (description.model, description.weights_version)
        for name in [told or "", *view.pools]:
            pool = view.pool(name)
            if pool is None or name == wish.pool:
                continue
            if (pool.model, pool.weights_version) == held:
                return dataclasses.replace(wish, left_pool=name, left_floor=pool.floor)
        return wish

    def _send_order(self, roll: RunnerRoll, now: float) -> list[Instruction]:
        roll.outcome = None
        roll.next_try = now + ORDER_RETRY_S
        held = self.keeper.may_order(roll.runner, now)
        description = self._descriptions.get(roll.runner)
        if held is None or description is None or roll.target is None:
            return []
        target = roll.target
        roll.order = EngineOrder(
            held.token, description.incarnation, target.action, target.value, target.model
        )
        return [SendOrder(roll.runner, self._runners[roll.runner].address, roll.order)]

    def _release_permit(self, roll: RunnerRoll, now: float) -> list[Instruction]:
        self.keeper.withdraw(roll.runner)
        roll.order = None
        return []

    def _back_off(self, roll: RunnerRoll, now: float) -> list[Instruction]:
        roll.next_try = now + FAILURE_PAUSE_S * (1.0 + self._rng.random())
        return []

    def _pool_of(self, runner: str) -> Pool | None:
        known = self._runners.get(runner)
        name = "" if known is None else known.pool
        return self._configuration.view.pool(name)

    def _serving_count(self, pool: str, excluded: frozenset[str]) -> int:
        """Count listed runners of a pool.

        One of another owner serves unless a permit names it or it has not arrived in the pool.
        """
        return sum(
            1
            for runner in self._runners.values()
            if runner.pool == pool
            and not runner.leaving
            and runner.name not in excluded
            and self._may_serve(runner.name)
        )

    def _may_serve(self, runner: str) -> bool:
        view = self._configuration.view
        description = self._descriptions.get(runner)
        if description is None:
            return not self._is_owner(runner) and not view.is_moving(runner)
        if description.state != RunnerServingState.SERVING:
            return False
        pool = self._pool_of(runner)
        if pool is None:
            return True
        if view.is_moving(runner) and description.weights_version != pool.weights_version:
            return False
        return serves_model(pool, description.model)

    def _is_settled(self, permit: Permit) -> bool:
        """Whether a lapsed permit's runner has gone or holds what was ordered."""
        runner = self._runners.get(permit.runner)
        if runner is None or runner.leaving:
            return True
        description = self._descriptions.get(permit.runner)
        target = Target(permit.action, permit.value, permit.model)
        return description is not None and target.is_reached(description)


def _shows_order(description: RunnerDescription, order: EngineOrder | None) -> bool:
    """Whether a description, which may be old, was made after the engine took an order."""
    if order is None or order.incarnation != description.incarnation:
        return order is None
    return description.fence >= order.fence
