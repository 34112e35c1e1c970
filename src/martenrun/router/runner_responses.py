"""Records what the responses of a runner say about the runner itself."""

import attrs

from martenrun.net.http import Headers, HttpResponse
from martenrun.router.drain_messages import DrainUpdate
from martenrun.router.log import log_event, log_warning
from martenrun.router.request_services import RequestServices
from martenrun.router.response_metadata import ResponseMetadata
from martenrun.router.runner_state import RunnerState

INSTANCES_PER_DATAGRAM = 1_000
"""Maximum number of instances in one datagram."""

STATUS_REQUEST_TIMEOUT = 408
STATUS_BAD_GATEWAY = 502
STATUS_GATEWAY_TIMEOUT = 504


@attrs.frozen
class RunnerResponse:
    """The head of a runner's response to a caller's request.

    Attributes:
        sent_at: monotonic time at which the request was sent, in seconds.
    """

    headers: Headers
    metadata: ResponseMetadata
    sent_at: float


def returned_head(
    services: RequestServices, state: RunnerState, head: RunnerResponse, status: int
) -> tuple[int, Headers]:
    """Return the status and header fields with which a response is returned to the caller.

    Callers repeat what was refused.  Where the runner does not state that it has not run the
    request, the response is returned as a failure, which promises nothing.
    """
    if not head.metadata.is_unconfirmed_refusal:
        return status, head.headers
    services.count_notice("refusal_unconfirmed")
    log_event("refusal_unconfirmed", instance=state.runner.instance, status=status)
    failure = STATUS_GATEWAY_TIMEOUT if status == STATUS_REQUEST_TIMEOUT else STATUS_BAD_GATEWAY
    return failure, services.adapter.without_status_fields(head.headers)


def record_response(services: RequestServices, state: RunnerState, head: RunnerResponse) -> None:
    """Record what a response to a caller's request says about its runner.

    A response that names another instance comes from a runner that now has the address.
    """
    instance = services.adapter.responding_instance(head.headers)
    if instance not in (None, state.runner.name):
        return
    now = services.loop.now()
    metadata = head.metadata
    _record_rate_limit(services, state, head, now)
    if metadata.tolerated_rejections_per_s is not None:
        services.brittle.record_advertised(
            state.runner.service, metadata.tolerated_rejections_per_s, now
        )
    _record_notices(services, state, metadata, now)


def record_control_response(
    services: RequestServices, state: RunnerState, response: HttpResponse | None
) -> None:
    """Record what a response of a runner's control interface says about the runner."""
    if response is None:
        return
    metadata = services.adapter.read_response_metadata(response.status, response.headers)
    _record_notices(services, state, metadata, services.loop.now())


def record_drain(services: RequestServices, instance: str, source: str) -> None:
    """Record that another router told of the drain of a runner instance.

    Args:
        source: how it told, for the log.
    """
    state = services.pool.recent_state(instance)
    if state is not None:
        services.pool.record_draining(state, source)


def drains_for_new_router(services: RequestServices) -> DrainUpdate | None:
    """Return the drains that a new router may not know of from the store, or None."""
    instances = [
        state.runner.instance
        for state in services.pool.all_states()
        if state.is_draining and not state.runner.is_draining
    ]
    return DrainUpdate(instances[:INSTANCES_PER_DATAGRAM]) if instances else None


def _record_rate_limit(
    services: RequestServices, state: RunnerState, head: RunnerResponse, now: float
) -> None:
    """Record the rate limit that a response advertises, or its absence.

    The absence of a limit counts only in signed responses: unsigned ones may not come from the
    runner.
    """
    limits = services.runner_limits
    if head.metadata.rate_limit is not None:
        limits.record_advertised(state.runner.instance, head.metadata.rate_limit, now)
    elif head.metadata.is_signed:
        limits.record_absent(state.runner.instance, head.sent_at, now)


def _record_notices(
    services: RequestServices, state: RunnerState, metadata: ResponseMetadata, now: float
) -> None:
    """Record the announcement of a stop and the request for a backoff."""
    instance = state.runner.instance
    if metadata.is_draining and state.draining_since is None:
        services.pool.record_draining(state, "response")
        services.count_notice("draining")
        services.broadcast_drains(DrainUpdate([instance]))
    if metadata.backoff is None:
        return
    if metadata.backoff.seconds is None:
        services.count_notice("backoff_unreadable")
        log_warning("runner_backoff_unreadable", instance=instance, value=metadata.backoff.text)
        return
    is_repeated = state.is_backing_off(now)
    state.record_backoff(now + metadata.backoff.seconds)
    services.count_notice("backoff_repeated" if is_repeated else "backoff")
    log_event("runner_backoff", instance=instance, seconds=metadata.backoff.seconds)
