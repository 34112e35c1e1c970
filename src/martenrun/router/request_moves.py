"""Moves requests in progress off runners that can no longer serve them."""

from martenrun.router.forwarding import RequestForwarder
from martenrun.router.request_services import RequestServices

RUNNER_SILENCE_S = 1.5
"""Silence after which a runner that accepts no connections is given up, in seconds.

Sound runners may be silent for about a second.
"""


def move_off_runners(services: RequestServices, forwarder: RequestForwarder, now: float) -> None:
    """Move a request off its runner if that has old weights, was replaced or is down."""
    move_off_old_weights(services, forwarder, now)
    move_off_replaced_runner(services, forwarder)
    move_off_silent_runner(services, forwarder, now)


def move_off_old_weights(
    services: RequestServices, forwarder: RequestForwarder, now: float
) -> None:
    """Move a request off a runner whose weights are too old to start it."""
    attempt, model = forwarder.runner_attempt, forwarder.admitted.call.model
    if attempt is None or model is None or attempt.has_body_started:
        return
    version = attempt.state.weights_version(model)
    if version is not None and version < services.oldest_startable_weights(model, now):
        forwarder.break_attempt(attempt)


def move_off_replaced_runner(services: RequestServices, forwarder: RequestForwarder) -> None:
    """Move a request to another runner if its runner instance has been replaced.

    The run on the old instance is lost even if its connection has not been closed.  If the new one
    has other software and the request was sent shortly before that became known, either may have
    received it: its stream is left where it is.
    """
    attempt = forwarder.runner_attempt
    if attempt is None or forwarder.is_software_unknown:
        return
    is_replaced = services.runners.is_replaced(attempt.state.runner)
    is_upgraded = forwarder.admitted.route.is_resumable and attempt.is_at_upgraded_runner()
    if is_replaced:
        forwarder.record_restart(attempt)
    if is_upgraded and attempt.has_body_started:
        forwarder.mark_software_unknown(attempt)
    elif is_replaced or is_upgraded:
        forwarder.break_attempt(attempt)


def move_off_silent_runner(
    services: RequestServices, forwarder: RequestForwarder, now: float
) -> None:
    """Repeat a request elsewhere if its runner has been silent for long and is down."""
    attempt = forwarder.runner_attempt
    if attempt is None or attempt.silent_s(now) <= RUNNER_SILENCE_S:
        return
    if services.silent_runners.is_down(attempt.state, now) and forwarder.may_repeat(now):
        forwarder.break_attempt(attempt)
