"""Selects the runners that load new weights next.  No I/O or clock.

A load takes a runner out of service for some seconds and empties its cache.  Therefore only a few
runners load at a time, while the others serve on older weights.  Weights may only start requests
for a limited time after a newer version was set, so the number of parallel loads is raised as far
as needed for every runner to start loading before that time.
"""

import math
from collections.abc import Collection, Sequence

import attrs

from martenrun.router.decisions import RollFigures
from martenrun.router.runner_state import RunnerState


@attrs.frozen
class RollQuestion:
    """The state of a rollout from which runners are selected.

    Attributes:
        model: the model.
        version: the target version.
        loading: instances with a load in progress.
        not_before: for each instance the time before which no load is started.
        now: monotonic time, in seconds.
        figures: tuning parameters of rollouts.
        turn_s: recent average time for which a load takes a runner out of service, in seconds.
        namings: time since which each target version of the model is known, latest last.
        bound_s: time for which older weights may start requests after a new target, in seconds.
        ends_at: time from which this router gives no orders; requests must finish before it.
    """

    model: str
    version: int
    loading: Collection[str]
    not_before: dict[str, float]
    now: float
    figures: RollFigures
    turn_s: float
    namings: Sequence[tuple[float, int]] = ()
    bound_s: float = math.inf
    ends_at: float = math.inf


def lacking(states: Sequence[RunnerState], model: str, version: int) -> list[RunnerState]:
    """Return the runners of a model that have older weights than the target and do not drain."""
    found = []
    for state in states:
        has = state.weights_version(model)
        if has is not None and has < version and not state.runner.is_draining:
            found.append(state)
    return found


def runners_to_order(question: RollQuestion, states: Sequence[RunnerState]) -> list[RunnerState]:
    """Return the runners to load now: those with the oldest weights first, then the least busy."""
    if question.now + question.figures.runs_end_s > question.ends_at:
        return []
    candidates = [
        state
        for state in lacking(states, question.model, question.version)
        if state.runner.instance not in question.loading
        and question.now >= question.not_before.get(state.runner.instance, 0.0)
    ]
    candidates.sort(key=lambda state: (state.weights_version(question.model) or 0, state.load))
    places = max(_usual_places(question, states), _needed_places(question, candidates))
    # Runners whose weights are too old to serve load at once, as they get no requests anyway.
    idle = sum(_serves_until(question, state) <= question.now for state in candidates)
    return candidates[: max(0, idle, places - _loading(question, states))]


def _serves_until(question: RollQuestion, state: RunnerState) -> float:
    """Return the time from which a runner's weights are too old to start requests."""
    has = state.weights_version(question.model) or 0
    newer = [since for since, version in question.namings if version > has]
    return min(newer, default=math.inf) + question.bound_s


def _needed_places(question: RollQuestion, candidates: Sequence[RunnerState]) -> int:
    """Return the number of parallel loads with which every load starts before its deadline.

    The deadline of a runner is the time from which its weights are too old to start requests.
    """
    needed = 0
    for before, state in enumerate(candidates):
        left_s = _serves_until(question, state) - question.now
        if left_s <= 0:
            continue
        turns_s = before * question.turn_s * question.figures.hurry_factor
        if left_s < turns_s + question.turn_s:
            needed = max(needed, min(before + 1, math.ceil(turns_s / left_s) or 1))
    return needed


def _usual_places(question: RollQuestion, states: Sequence[RunnerState]) -> int:
    """Return the number of parallel loads in a rollout without time pressure."""
    staying = len(_staying(question, states))
    return max(1, math.floor(staying * question.figures.parallel_share))


def _loading(question: RollQuestion, states: Sequence[RunnerState]) -> int:
    return sum(state.runner.instance in question.loading for state in _staying(question, states))


def _staying(question: RollQuestion, states: Sequence[RunnerState]) -> list[RunnerState]:
    return [
        state
        for state in states
        if state.weights_version(question.model) is not None and not state.runner.is_draining
    ]
