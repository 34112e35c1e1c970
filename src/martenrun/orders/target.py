"""What a pool asks of a runner, one order at a time."""

from dataclasses import dataclass

from martenrun.backends.engine import RunnerDescription, RunnerServingState
from martenrun.backends.engine_orders import OrderAction
from martenrun.configuration.objects import Pool

LOADS = frozenset({OrderAction.LOAD_WEIGHTS, OrderAction.LOAD_MODEL})
"""Actions during which a runner does not serve."""


@dataclass(frozen=True, slots=True)
class Target:
    """One thing a runner should hold: a weights version, an adapter or a role.

    ``model`` is given if the weights are another model's than the engine's present one.
    """

    action: OrderAction
    value: str
    model: str = ""

    def is_reached(self, description: RunnerDescription) -> bool:
        """Whether a runner holds it and serves."""
        match self.action:
            case OrderAction.LOAD_WEIGHTS | OrderAction.LOAD_MODEL:
                is_held = description.weights_version == self.value
                is_held = is_held and self.model in ("", description.model)
                return is_held and description.state == RunnerServingState.SERVING
            case OrderAction.LOAD_ADAPTER:
                return self.value in description.adapters
            case OrderAction.SET_ROLE:
                return description.role == self.value

    def is_changed_to(self, target: "Target", description: RunnerDescription) -> bool:
        """Whether an order for this does not lead to ``target``.

        An engine that has begun to load another model lacks only that model's weights.
        """
        if self.model and self.model == description.model:
            return target != Target(OrderAction.LOAD_WEIGHTS, self.value)
        return target != self


def serves_model(pool: Pool, model: str) -> bool:
    """Whether an engine of a model can serve a pool; an empty one is not known yet."""
    return model in ("", pool.model)


def next_target(pool: Pool, description: RunnerDescription) -> Target | None:
    """Return the first thing a runner lacks, weights before adapters and role, or None."""
    weights = Target(OrderAction.LOAD_WEIGHTS, pool.weights_version)
    if not serves_model(pool, description.model):
        weights = Target(OrderAction.LOAD_MODEL, pool.weights_version, pool.model)
    targets = [weights]
    targets += [Target(OrderAction.LOAD_ADAPTER, name) for name in pool.adapters]
    if pool.role is not None:
        targets.append(Target(OrderAction.SET_ROLE, pool.role.value))
    return next((target for target in targets if not target.is_reached(description)), None)
