"""Which runners this router hears nothing from, and what other routers tell of that."""

from martenrun.router.log import log_event
from martenrun.router.peer_messages import UnresponsiveRunnerUpdate
from martenrun.router.runner_state import RunnerState
from martenrun.router.world import World

TOLD_AGAIN_S = 1.5
"""After how long a runner that stays silent is told of again, in seconds."""


def newly_silent(world: World, now: float) -> list[str]:
    """Return the runners to tell of, and take them for told.

    Only while others answer: a router that hears from none is cut off itself.
    """
    states = world.pool.all_states()
    silent = [state for state in states if _is_to_be_told(state, now)]
    if not silent:
        return []
    told = [state for state in silent if _hears_from_another(state, states)]
    for state in told:
        state.doubt_told_at = now
        state.unanswered_since = None
    return [state.runner.instance for state in told]


def _is_to_be_told(state: RunnerState, now: float) -> bool:
    if now - state.doubt_told_at < TOLD_AGAIN_S or now < state.loading_until:
        return False
    if state.doubts.hold(now):
        state.unanswered_since = None
        return False
    return state.unanswered_since is not None or state.is_silent(now)


def _hears_from_another(silent: RunnerState, states: list[RunnerState]) -> bool:
    """Whether any runner has sent something since the silent one has owed answers."""
    since = silent.unanswered_since or silent.waiting_since
    return since is not None and any(state.heard_at > since for state in states)


def take_silence(world: World, news: UnresponsiveRunnerUpdate, now: float) -> None:
    """Take in that a router hears nothing from a runner."""
    state = world.pool.state(news.instance)
    if state is None:
        return
    was_held = state.doubts.hold(now)
    state.doubts.note(news.address, now)
    if not was_held and state.doubts.hold(now):
        log_event("runner_passed_over", instance=news.instance)
