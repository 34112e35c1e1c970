"""Detects unresponsive runners and applies the reports of other routers about them."""

from martenrun.router.log import log_event
from martenrun.router.peer_messages import SilenceNews
from martenrun.router.runner_state import RunnerState
from martenrun.router.world import World

TOLD_AGAIN_S = 1.5
"""Interval at which a runner that stays unresponsive is reported again, in seconds."""


def newly_silent(world: World, now: float) -> list[str]:
    """Return the unresponsive runners to report, and record them as reported.

    Only runners with more recent data from another runner are reported, because a router that gets
    no data at all has lost its own connection.
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
    """Return whether any runner has sent data since an unresponsive one should have."""
    since = silent.unanswered_since or silent.waiting_since
    return since is not None and any(state.heard_at > since for state in states)


def take_silence(world: World, news: SilenceNews, now: float) -> None:
    """Record the report of a router that gets no data from a runner."""
    state = world.pool.state(news.instance)
    if state is None:
        return
    was_held = state.doubts.hold(now)
    state.doubts.note(news.address, now)
    if not was_held and state.doubts.hold(now):
        log_event("runner_passed_over", instance=news.instance)
