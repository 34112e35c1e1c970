"""Which runners are to load new weights now: pure, from what is known of versions and runners.

A load takes a runner out of service for a moment and empties its cache.  So few load at a time: the
others serve meanwhile, on older weights.  What must not wait are runners whose weights soon may not
begin requests any more; as many load at a time as it takes for each to begin before that.
"""

import math
from collections.abc import Collection, Sequence

import attrs

from martenrun.router.decisions import RollFigures
from martenrun.router.runner_state import RunnerState


@attrs.frozen
class RollQuestion:
    """What a plan is made from.

    Attributes:
        model: the model.
        version: the version named.
        loading: instances whose load is under way.
        not_before: times before which failed runners are not tried again.
        now: steady time.
        figures: how runners are brought to new weights.
        turn_s: how long a load takes a runner out of service, as seen lately, in seconds.
        namings: since when each version of the model is known, the latest last.
        bound_s: for how long after a naming older weights may begin requests, in seconds.
        ends_at: when this router gives no more orders: runs must end before.
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
    """Return the staying runners of a model that have older weights than named."""
    found = []
    for state in states:
        has = state.weights_version(model)
        if has is not None and has < version and not state.runner.is_draining:
            found.append(state)
    return found


def runners_to_order(question: RollQuestion, states: Sequence[RunnerState]) -> list[RunnerState]:
    """Return the runners that are to load now: the oldest weights first, then the least busy."""
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
    # Those too old to serve lose nothing by loading at once; others stay in service meanwhile.
    idle = sum(_serves_until(question, state) <= question.now for state in candidates)
    return candidates[: max(0, idle, places - _loading(question, states))]


def _serves_until(question: RollQuestion, state: RunnerState) -> float:
    """Return the time from which a runner's weights are too old to begin requests."""
    has = state.weights_version(question.model) or 0
    newer = [since for since, version in question.namings if version > has]
    return min(newer, default=math.inf) + question.bound_s


def _needed_places(question: RollQuestion, candidates: Sequence[RunnerState]) -> int:
    """Return how many must load at a time so that each begins while its weights still serve."""
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
    """Return how many runners load at a time where nothing hurries."""
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
