"""Encodes requests that one router forwards to another over the internal interface.

The forwarded request keeps its method, target, headers and body.  Its target is prefixed by
``FORWARD_PREFIX``, and one header field carries what the first router knows about it.
"""

import attrs

from martenrun.net.http import HttpRequest, end_to_end, find_header, request_bytes
from martenrun.net.server import ServerLimits

FORWARD_PREFIX = b"/forwarded"
"""Prefix of the target of a forwarded request."""

STATE_FIELD = b"Martenrun-Forwarded"
"""Header field with the three numbers of :class:`ForwardedState`, separated by commas."""


@attrs.frozen
class ForwardedState:
    """State of a request when it is forwarded.

    Attributes:
        elapsed_ms: time since the first router received it, in milliseconds.
        runs: number of runners that may have executed it.
        last_event_id: id of the last event that the caller has received.
    """

    elapsed_ms: int
    runs: int
    last_event_id: int


MAXIMUM_STATE_BYTES = 256
"""Room for the prefix and the state in the head of a forwarded request."""


def with_room_for_forwarding(limits: ServerLimits) -> ServerLimits:
    """Return the limits of the internal interface, given those of callers' requests."""
    default = ServerLimits()
    header_bytes = max(default.maximum_header_bytes, limits.maximum_header_bytes)
    return attrs.evolve(
        default,
        maximum_header_bytes=header_bytes + MAXIMUM_STATE_BYTES,
        maximum_body_bytes=max(default.maximum_body_bytes, limits.maximum_body_bytes),
    )


def is_forwarded(request: HttpRequest) -> bool:
    """Return whether a request on the internal interface was forwarded by another router."""
    return request.target.startswith(FORWARD_PREFIX + b"/")


def forwarded_bytes(request: HttpRequest, state: ForwardedState) -> bytes:
    """Return the bytes of a request that is forwarded to another router."""
    numbers = b"%d,%d,%d" % (state.elapsed_ms, state.runs, state.last_event_id)
    headers = [
        (name, value)
        for name, value in end_to_end(request.headers)
        if name.lower() != STATE_FIELD.lower()
    ]
    headers += [(STATE_FIELD, numbers), (b"Connection", b"close")]
    return request_bytes(request.method, FORWARD_PREFIX + request.target, headers, request.body)


def read_forwarded(request: HttpRequest) -> tuple[HttpRequest, ForwardedState]:
    """Return a forwarded request as the first router received it, and its state.

    Its time of receipt is that of the first router.  Raises ValueError if the state is invalid.
    """
    numbers = (find_header(request.headers, STATE_FIELD.lower()) or b"").split(b",")
    elapsed_ms, runs, last_event_id = (int(number) for number in numbers)
    if min(elapsed_ms, runs, last_event_id) < 0:
        raise ValueError("the state of a forwarded request has a negative number")
    headers = [item for item in request.headers if item[0].lower() != STATE_FIELD.lower()]
    original = HttpRequest(
        request.method,
        request.target[len(FORWARD_PREFIX) :],
        headers,
        request.body,
        request.received_at - elapsed_ms / 1000.0,
    )
    return original, ForwardedState(elapsed_ms, runs, last_event_id)
