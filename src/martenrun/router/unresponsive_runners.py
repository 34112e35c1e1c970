"""Detects unresponsive runners and applies the reports of other routers about them."""

from martenrun.net.client import CONNECT_TIMEOUT_S
from martenrun.router.log import log_event
from martenrun.router.peer_messages import UnresponsiveRunnerUpdate
from martenrun.router.peers import Peers
from martenrun.router.request_services import RequestServices
from martenrun.router.runner_state import UNRESPONSIVE_AFTER_S, RunnerState

REPORT_INTERVAL_S = 1.5
"""Interval at which a runner that stays unresponsive is reported again, in seconds."""

STALLED_VALIDITY_S = 3.0
"""Time after which a connection attempt that has stalled causes no report, in seconds."""


def report_unresponsive(world: RequestServices, peers: Peers, now: float) -> None:
    """Report the runners that are unresponsive to this router to all routers."""
    for instance in newly_unresponsive(world, now):
        update = UnresponsiveRunnerUpdate(peers.own.address, instance)
        record_unresponsive(world, update, now)
        peers.broadcast(update)


def newly_unresponsive(world: RequestServices, now: float) -> list[str]:
    """Return the unresponsive runners to report, and record them as reported.

    Only runners with more recent data from another runner of their service are reported, because a
    router that gets no data at all has lost its own connection.
    """
    states = world.pool.all_states()
    unresponsive = [state for state in states if _is_report_due(world, state, now)]
    if not unresponsive:
        return []
    reported = [state for state in unresponsive if _has_other_data(state, states)]
    for state in reported:
        state.unresponsive_reported_at = now
        state.connecting_since = None
    return [state.runner.instance for state in reported]


def _is_report_due(world: RequestServices, state: RunnerState, now: float) -> bool:
    if now - state.unresponsive_reported_at < REPORT_INTERVAL_S or now < state.loading_until:
        return False
    is_unreachable = world.reachability.is_unreachable(state.runner.service, now)
    if is_unreachable or state.unresponsive_reports.is_suspected(now):
        state.connecting_since = None
        return False
    if state.connecting_since is not None and now - state.connecting_since > STALLED_VALIDITY_S:
        state.connecting_since = None
    return state.connecting_since is not None or state.is_unresponsive(now)


def _has_other_data(unresponsive: RunnerState, states: list[RunnerState]) -> bool:
    """Return whether another runner has sent data after this one's silence became conclusive.

    Earlier data may be from before this router lost its connection to all runners.
    """
    since = unresponsive.connecting_since or unresponsive.waiting_since
    if since is None:
        return False
    is_stalled = unresponsive.connecting_since is not None
    conclusive_at = since + (CONNECT_TIMEOUT_S if is_stalled else UNRESPONSIVE_AFTER_S)
    return any(
        state.last_data_at > conclusive_at
        for state in states
        if state.runner.service == unresponsive.runner.service
    )


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
