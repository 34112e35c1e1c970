"""What is asked of a placement for a request, and what a runner is told with it."""

from collections.abc import Collection

from martenrun.router.messages import Admitted, Dispatch, Tenant
from martenrun.router.overload import WaitingPrompt
from martenrun.router.placement import PlacementQuestion, shared_prefix
from martenrun.router.runner_state import RunnerState
from martenrun.router.world import World

EXPECTED_ANSWER_TOKENS = 200
"""Tokens of memory that an answer is reckoned to take."""

LEAST_DEADLINE_S = 0.001
"""Shortest deadline that a runner is told, in seconds."""

DEFAULT_TENANT_PRIORITY = 1
ROUTE_PRIORITIES = 3
LAST_PRIORITY = 9
"""An engine's priority is 0 (first) to 9; three levels of routes lie within one of tenants."""


def placement_question(
    world: World, admitted: Admitted, tried: Collection[str], apart_by: bytes | None = None
) -> PlacementQuestion:
    """Return what a placement is asked for a request."""
    now = world.loop.now()
    call = admitted.call
    wanted = world.weights.targets.get(call.model) if call.model else None
    return PlacementQuestion(
        parts=call.parts,
        needed_tokens=call.prompt_tokens + EXPECTED_ANSWER_TOKENS,
        memory_tokens=world.memory_tokens(admitted.service),
        wall=_wall(admitted.tenant).encode(),
        model=call.model,
        wanted_version=None if wanted is None else wanted.version,
        oldest_version=world.oldest_weights(call.model, now) if call.model else 0,
        tried=tried,
        zone=world.settings.zone,
        now=now,
        apart_by=apart_by,
    )


def request_groups(admitted: Admitted) -> tuple[str, ...]:
    """Return the kind and the tenant that a request belongs to, as overload counts them."""
    kind = f"route {admitted.route.name}"
    return (kind,) if admitted.tenant is None else (kind, f"tenant {admitted.tenant.name}")


def waiting_prompt(world: World, admitted: Admitted, state: RunnerState) -> WaitingPrompt:
    """Return what an overloaded service is asked for a request and the best runner for it."""
    table = world.configuration.table
    return WaitingPrompt(
        objective_s=admitted.route.objective_s,
        is_urgent=table is None or table.is_most_urgent(admitted.route, admitted.service),
        groups=request_groups(admitted),
        tokens_ahead=state.backlog_tokens,
    )


def runner_dispatch(
    world: World,
    admitted: Admitted,
    state: RunnerState,
    question: PlacementQuestion,
    last_event_id: int,
) -> Dispatch:
    """Return what a runner is told with a request."""
    call = admitted.call
    tenant = admitted.tenant
    version = None if call.model is None else state.weights_version(call.model)
    has_shared = len(call.parts) > 1
    store = world.cache_store(shared_prefix(call.parts)) if has_shared else None
    left_s = min(admitted.deadline_at, admitted.give_up_at) - question.now
    return Dispatch(
        runner=state.runner.name,
        deadline_s=max(LEAST_DEADLINE_S, left_s),
        tenant=None if tenant is None else tenant.name,
        priority=None if call.model is None else _engine_priority(admitted),
        weights_version=version,
        cache_salt=None if call.model is None else f"{call.model}/{version}/{_wall(tenant)}",
        fetch_from=store or _cache_source(world, admitted, state, question),
        save_to=store if world.placement.needs_saving(question, state) else None,
        last_event_id=last_event_id if last_event_id > 0 else None,
    )


def _cache_source(
    world: World, admitted: Admitted, state: RunnerState, question: PlacementQuestion
) -> str | None:
    """Return the address of a runner to fetch kept parts from where there is no store."""
    states = world.pool.states(admitted.service)
    source = world.placement.cache_source(question, state, states)
    return None if source is None else source.runner.address


def _wall(tenant: Tenant | None) -> str:
    """Return what keeps an isolated tenant's cached parts apart, else an empty text."""
    return tenant.name if tenant is not None and tenant.is_isolated else ""


def _engine_priority(admitted: Admitted) -> int:
    """Return the engine's priority: the tenant's goes before the route's."""
    tenant = admitted.tenant
    by_tenant = DEFAULT_TENANT_PRIORITY
    if tenant is not None and tenant.priority is not None:
        by_tenant = tenant.priority
    by_route = min(ROUTE_PRIORITIES - 1, admitted.route.priority)
    return max(0, min(LAST_PRIORITY, by_tenant * ROUTE_PRIORITIES + by_route))
