"""Selects the runners that load new weights next.  No I/O or clock.

A load takes a runner out of service for some seconds and empties its cache.  Therefore only a few
runners load at a time, while the others serve on older weights.  Weights may only start requests
for a limited time after a newer version was set, so the number of parallel loads is raised as far
as needed for every runner to start loading before that time.
"""

import math
from collections.abc import Collection, Sequence

import attrs

from martenrun.router.runner_state import RunnerState
from martenrun.router.tuning import RolloutParameters


@attrs.frozen
class RolloutQuery:
    """The state of a rollout from which runners are selected.

    Attributes:
        model: the model.
        version: the target version.
        loading: instances with a load in progress.
        not_before: for each instance the time before which no load is started.
        now: monotonic time, in seconds.
        parameters: tuning parameters of rollouts.
        load_time_s: recent average time for which a load takes a runner out of service, in seconds.
        target_changes: time since which each target version of the model is known, latest last.
        old_weights_bound_s: time after a new target in which older weights may start requests, in
            seconds.
        stops_at: time from which this router gives no orders; requests must finish before it.
    """

    model: str
    version: int
    loading: Collection[str]
    not_before: dict[str, float]
    now: float
    parameters: RolloutParameters
    load_time_s: float
    target_changes: Sequence[tuple[float, int]] = ()
    old_weights_bound_s: float = math.inf
    stops_at: float = math.inf


def outdated_runners(states: Sequence[RunnerState], model: str, version: int) -> list[RunnerState]:
    """Return the runners of a model that have older weights than the target and do not drain."""
    found = []
    for state in states:
        current = state.weights_version(model)
        if current is not None and current < version and not state.is_draining:
            found.append(state)
    return found


def runners_to_load(query: RolloutQuery, states: Sequence[RunnerState]) -> list[RunnerState]:
    """Return the runners to load now: those with the oldest weights first, then the least busy.

    Runners that have asked this router for no requests come last.
    """
    if query.now + query.parameters.runs_end_s > query.stops_at:
        return []
    candidates = [
        state
        for state in outdated_runners(states, query.model, query.version)
        if state.runner.instance not in query.loading
        and query.now >= query.not_before.get(state.runner.instance, 0.0)
    ]

    def order(state: RunnerState) -> tuple[bool, int, int]:
        version = state.weights_version(query.model) or 0
        return state.is_backing_off(query.now), version, state.load

    candidates.sort(key=order)
    limit = max(_default_parallel_loads(query, states), _required_parallel_loads(query, candidates))
    # Runners whose weights are too old to serve load at once, as they get no requests anyway.
    expired = sum(_serves_until(query, state) <= query.now for state in candidates)
    return candidates[: max(0, expired, limit - _loading_count(query, states))]


def _serves_until(query: RolloutQuery, state: RunnerState) -> float:
    """Return the time from which a runner's weights are too old to start requests."""
    current = state.weights_version(query.model) or 0
    newer = [since for since, version in query.target_changes if version > current]
    return min(newer, default=math.inf) + query.old_weights_bound_s


def _required_parallel_loads(query: RolloutQuery, candidates: Sequence[RunnerState]) -> int:
    """Return the number of parallel loads with which every load starts before its deadline.

    The deadline of a runner is the time from which its weights are too old to start requests.
    """
    needed = 0
    for position, state in enumerate(candidates):
        left_s = _serves_until(query, state) - query.now
        if left_s <= 0:
            continue
        queue_s = position * query.load_time_s * query.parameters.hurry_factor
        if left_s < queue_s + query.load_time_s:
            needed = max(needed, min(position + 1, math.ceil(queue_s / left_s) or 1))
    return needed


def _default_parallel_loads(query: RolloutQuery, states: Sequence[RunnerState]) -> int:
    """Return the number of parallel loads in a rollout without time pressure."""
    staying = len(_staying_runners(query, states))
    return max(1, math.floor(staying * query.parameters.parallel_share))


def _loading_count(query: RolloutQuery, states: Sequence[RunnerState]) -> int:
    return sum(state.runner.instance in query.loading for state in _staying_runners(query, states))


def _staying_runners(query: RolloutQuery, states: Sequence[RunnerState]) -> list[RunnerState]:
    return [
        state
        for state in states
        if state.weights_version(query.model) is not None and not state.is_draining
    ]
