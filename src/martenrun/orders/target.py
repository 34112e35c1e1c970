"""What a pool asks of a runner, one order at a time."""

from dataclasses import dataclass

from martenrun.configuration.objects import Pool
from martenrun.platform.engine import RunnerDescription, RunnerServingState
from martenrun.platform.engine_orders import OrderAction


@dataclass(frozen=True, slots=True)
class Target:
    """One thing a runner should hold: a weights version, an adapter or a role."""

    action: OrderAction
    value: str

    def is_reached(self, description: RunnerDescription) -> bool:
        """Whether a runner holds it and serves."""
        match self.action:
            case OrderAction.LOAD_WEIGHTS:
                is_held = description.weights_version == self.value
                return is_held and description.state == RunnerServingState.SERVING
            case OrderAction.LOAD_ADAPTER:
                return self.value in description.adapters
            case OrderAction.SET_ROLE:
                return description.role == self.value


def next_target(pool: Pool, description: RunnerDescription) -> Target | None:
    """Return the first thing a runner lacks, weights before adapters and role, or None."""
    targets = [Target(OrderAction.LOAD_WEIGHTS, pool.weights_version)]
    targets += [Target(OrderAction.LOAD_ADAPTER, name) for name in pool.adapters]
    if pool.role is not None:
        targets.append(Target(OrderAction.SET_ROLE, pool.role.value))
    return next((target for target in targets if not target.is_reached(description)), None)
