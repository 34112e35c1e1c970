"""Detects unresponsive runners and applies the reports of other routers about them."""

from martenrun.router.log import log_event
from martenrun.router.peer_messages import UnresponsiveRunnerUpdate
from martenrun.router.request_services import RequestServices
from martenrun.router.runner_state import RunnerState

REPORT_INTERVAL_S = 1.5
"""Interval at which a runner that stays unresponsive is reported again, in seconds."""


def newly_unresponsive(world: RequestServices, now: float) -> list[str]:
    """Return the unresponsive runners to report, and record them as reported.

    Only runners with more recent data from another runner are reported, because a router that gets
    no data at all has lost its own connection.
    """
    states = world.pool.all_states()
    unresponsive = [state for state in states if _is_report_due(state, now)]
    if not unresponsive:
        return []
    reported = [state for state in unresponsive if _has_other_data(state, states)]
    for state in reported:
        state.unresponsive_reported_at = now
        state.connecting_since = None
    return [state.runner.instance for state in reported]


def _is_report_due(state: RunnerState, now: float) -> bool:
    if now - state.unresponsive_reported_at < REPORT_INTERVAL_S or now < state.loading_until:
        return False
    if state.unresponsive_reports.is_suspected(now):
        state.connecting_since = None
        return False
    return state.connecting_since is not None or state.is_unresponsive(now)


def _has_other_data(unresponsive: RunnerState, states: list[RunnerState]) -> bool:
    """Return whether any runner has sent data since an unresponsive one should have."""
    since = unresponsive.connecting_since or unresponsive.waiting_since
    return since is not None and any(state.last_data_at > since for state in states)


def record_unresponsive(
    world: RequestServices, update: UnresponsiveRunnerUpdate, now: float
) -> None:
    """Record the report of a router that gets no data from a runner."""
    state = world.pool.state(update.instance)
    if state is None:
        return
    was_suspected = state.unresponsive_reports.is_suspected(now)
    state.unresponsive_reports.record(update.address, now)
    if not was_suspected and state.unresponsive_reports.is_suspected(now):
        log_event("runner_passed_over", instance=update.instance)
