"""Encodes requests that one router forwards to another over the internal interface.

The forwarded request keeps its method, target, headers and body.  Its target is prefixed by
``FORWARD_PREFIX``, and one header field carries what the first router knows about it.
"""

from urllib.parse import quote, unquote

import attrs

from martenrun.net.http import Headers, HttpRequest, end_to_end, find_header, request_head
from martenrun.net.server import ServerLimits

FORWARD_PREFIX = b"/forwarded"
"""Prefix of the target of a forwarded request."""

STATE_FIELD = b"Martenrun-Forwarded"
"""Header field with the three numbers of :class:`ForwardedState`, separated by commas.

Routers of earlier versions accept exactly three.
"""

SOFTWARE_FIELD = b"Martenrun-Software"
"""Header field with the percent-encoded software version that writes a stream's events.

In a forwarded request it is required of runners, in the response it is that of the first runner.
"""

SERVICE_FIELD = b"Martenrun-Service"
"""Header field with the percent-encoded service that the first router chose."""

INSTANCE_FIELD = b"Martenrun-Instance"
"""Header field of a response with the percent-encoded instance of the runner that sent it.

Only responses in which the runner announces that it will stop carry it.
"""

_INTERNAL_FIELDS = frozenset(
    field.lower() for field in (STATE_FIELD, SOFTWARE_FIELD, SERVICE_FIELD, INSTANCE_FIELD)
)


@attrs.frozen
class ForwardedState:
    """State of a request when it is forwarded.

    Attributes:
        elapsed_ms: time since the first router received it, in milliseconds.
        runs: number of runners that may have executed it.
        last_event_id: id of the last event that the caller has received.
        software: software version that wrote the events so far; None if there are none.
        service: service that the first router chose; None if that is of an earlier version.
    """

    elapsed_ms: int
    runs: int
    last_event_id: int
    software: str | None = None
    service: str | None = None


MAXIMUM_STATE_BYTES = 1_280
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


def forwarded_head(request: HttpRequest, state: ForwardedState) -> bytes:
    """Return the head of a request that is forwarded to another router."""
    progress = b"%d,%d,%d" % (state.elapsed_ms, state.runs, state.last_event_id)
    headers = without_internal_fields(end_to_end(request.headers))
    headers += [(STATE_FIELD, progress), (b"Connection", b"close")]
    if state.software is not None:
        headers.append(software_field(state.software))
    if state.service is not None:
        headers.append((SERVICE_FIELD, _encode(state.service)))
    target = FORWARD_PREFIX + request.target
    return request_head(request.method, target, headers, len(request.body))


def read_forwarded(request: HttpRequest) -> tuple[HttpRequest, ForwardedState]:
    """Return a forwarded request as the first router received it, and its state.

    Its time of receipt is that of the first router.  Raises ValueError if the state is invalid.
    """
    numbers = (find_header(request.headers, STATE_FIELD.lower()) or b"").split(b",")
    elapsed_ms, runs, last_event_id = (int(number) for number in numbers)
    if min(elapsed_ms, runs, last_event_id) < 0:
        raise ValueError("the state of a forwarded request has a negative number")
    software = read_software(request.headers)
    service = _read_text(request.headers, SERVICE_FIELD)
    headers = without_internal_fields(request.headers)
    original = HttpRequest(
        request.method,
        request.target[len(FORWARD_PREFIX) :],
        headers,
        request.body,
        request.received_at - elapsed_ms / 1000.0,
    )
    return original, ForwardedState(elapsed_ms, runs, last_event_id, software, service)


def software_field(software: str) -> tuple[bytes, bytes]:
    """Return the header field that names a software version."""
    return SOFTWARE_FIELD, _encode(software)


def read_software(headers: Headers) -> str | None:
    """Return the software version that a header field names, or None."""
    return _read_text(headers, SOFTWARE_FIELD)


def with_instance(headers: Headers, instance: str) -> Headers:
    """Return a runner's response headers with the field that names its instance."""
    return [*without_internal_fields(headers), (INSTANCE_FIELD, _encode(instance))]


def read_instance(headers: Headers) -> str | None:
    """Return the runner instance that a forwarded response names, or None."""
    return _read_text(headers, INSTANCE_FIELD)


def _encode(text: str) -> bytes:
    return quote(text, safe="").encode()


def _read_text(headers: Headers, field: bytes) -> str | None:
    value = find_header(headers, field.lower())
    return None if value is None else unquote(value.decode("latin-1"))


def without_internal_fields(headers: Headers) -> Headers:
    """Return header fields without those that routers add for each other."""
    return [item for item in headers if item[0].lower() not in _INTERNAL_FIELDS]
