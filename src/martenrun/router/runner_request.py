"""Builds the placement query of a request and the values added when it is sent to a runner."""

from collections.abc import Collection

from martenrun.router.messages import AdmittedRequest, Dispatch, Tenant
from martenrun.router.overload import WaitingPrompt
from martenrun.router.placement import PlacementQuery, shared_prefix_id
from martenrun.router.request_services import RequestServices
from martenrun.router.runner_state import RunnerState

EXPECTED_OUTPUT_TOKENS = 200
"""Estimated number of output tokens, for reserving KV cache."""

MIN_DEADLINE_S = 0.001
"""Shortest deadline that is sent to a runner, in seconds."""

DEFAULT_TENANT_PRIORITY = 1
ROUTE_PRIORITIES = 3
LOWEST_PRIORITY = 9
"""Engine priorities range from 0 (highest) to 9; each tenant level has three route levels."""


def placement_query(
    services: RequestServices,
    admitted: AdmittedRequest,
    tried: Collection[str],
    apart_by: bytes | None = None,
) -> PlacementQuery:
    """Return the placement query for a request."""
    now = services.loop.now()
    call = admitted.call
    target = services.weights.targets.get(call.model) if call.model else None
    return PlacementQuery(
        parts=call.parts,
        needed_tokens=call.prompt_tokens + EXPECTED_OUTPUT_TOKENS,
        memory_tokens=services.kv_cache_capacity(admitted.service),
        isolation_key=_cache_isolation_key(admitted.tenant).encode(),
        model=call.model,
        target_version=None if target is None else target.version,
        minimum_version=services.oldest_allowed_weights(call.model, now) if call.model else 0,
        tried_instances=tried,
        zone=services.settings.zone,
        now=now,
        suspect_key=apart_by,
    )


def request_groups(admitted: AdmittedRequest) -> tuple[str, ...]:
    """Return the route and tenant groups by which overload control counts a request."""
    kind = f"route {admitted.route.name}"
    return (kind,) if admitted.tenant is None else (kind, f"tenant {admitted.tenant.name}")


def waiting_prompt(
    services: RequestServices, admitted: AdmittedRequest, state: RunnerState
) -> WaitingPrompt:
    """Return the overload guard's input for a request and the best runner for it."""
    table = services.configuration.table
    return WaitingPrompt(
        objective_s=admitted.route.objective_s,
        is_urgent=table is None or table.is_most_urgent(admitted.route, admitted.service),
        groups=request_groups(admitted),
        backlog_tokens=state.backlog_tokens,
    )


def runner_dispatch(
    services: RequestServices,
    admitted: AdmittedRequest,
    state: RunnerState,
    query: PlacementQuery,
    last_event_id: int,
) -> Dispatch:
    """Return the values that are sent to a runner with a request."""
    call = admitted.call
    tenant = admitted.tenant
    version = None if call.model is None else state.weights_version(call.model)
    has_shared = len(call.parts) > 1
    store = services.kv_cache_store(shared_prefix_id(call.parts)) if has_shared else None
    left_s = min(admitted.deadline_at, admitted.give_up_at) - query.now
    return Dispatch(
        runner=state.runner.name,
        deadline_s=max(MIN_DEADLINE_S, left_s),
        tenant=None if tenant is None else tenant.name,
        priority=None if call.model is None else _engine_priority(admitted),
        weights_version=version,
        cache_salt=None
        if call.model is None
        else f"{call.model}/{version}/{_cache_isolation_key(tenant)}",
        fetch_from=store or _cache_source(services, admitted, state, query),
        save_to=store if services.placement.needs_cache_save(query, state) else None,
        last_event_id=last_event_id if last_event_id > 0 else None,
    )


def _cache_source(
    services: RequestServices, admitted: AdmittedRequest, state: RunnerState, query: PlacementQuery
) -> str | None:
    """Return the address of a runner to fetch KV cache from where there is no store, or None."""
    states = services.pool.states(admitted.service)
    source = services.placement.cache_source(query, state, states)
    return None if source is None else source.runner.address


def _cache_isolation_key(tenant: Tenant | None) -> str:
    """Return the key that separates an isolated tenant's KV cache, else an empty string."""
    return tenant.name if tenant is not None and tenant.is_isolated else ""


def _engine_priority(admitted: AdmittedRequest) -> int:
    """Return the engine priority; the tenant's priority takes precedence over the route's."""
    tenant = admitted.tenant
    by_tenant = DEFAULT_TENANT_PRIORITY
    if tenant is not None and tenant.priority is not None:
        by_tenant = tenant.priority
    by_route = min(ROUTE_PRIORITIES - 1, admitted.route.priority)
    return max(0, min(LOWEST_PRIORITY, by_tenant * ROUTE_PRIORITIES + by_route))
