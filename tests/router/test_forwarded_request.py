"""Encoding of requests that one router forwards to another."""

import pytest

from martenrun.net.http import HttpRequest
from martenrun.net.server import ServerLimits
from martenrun.router.forwarded_request import (
    STATE_FIELD,
    ForwardedState,
    forwarded_head,
    is_forwarded,
    read_forwarded,
    with_room_for_forwarding,
)

HEADERS = [(b"Host", b"a.example"), (b"X-Key", b"k1"), (b"Connection", b"keep-alive")]


def received(data, at):
    """Return a request as the other router's server parses it."""
    head, _, body = data.partition(b"\r\n\r\n")
    first, *lines = head.split(b"\r\n")
    method, target, _ = first.split(b" ")
    headers = [tuple(line.split(b": ", 1)) for line in lines]
    return HttpRequest(method, target, headers, body, at)


def test_a_forwarded_request_arrives_unchanged_with_its_state():
    request = HttpRequest(b"POST", b"/a/x?b=%20c", HEADERS, b"body", 10.0)
    state = ForwardedState(elapsed_ms=1500, runs=1, last_event_id=7)
    arrived = received(forwarded_head(request, state) + request.body, 50.0)
    assert is_forwarded(arrived)
    original, read = read_forwarded(arrived)
    assert read == state
    assert (original.method, original.target, original.body) == (b"POST", b"/a/x?b=%20c", b"body")
    assert original.headers[:2] == HEADERS[:2]
    assert STATE_FIELD not in [name for name, _ in original.headers]
    assert original.received_at == pytest.approx(48.5)


def test_a_callers_state_field_is_not_forwarded():
    request = HttpRequest(b"GET", b"/a/x", [(b"martenrun-forwarded", b"0,0,0")], b"", 10.0)
    arrived = received(forwarded_head(request, ForwardedState(0, 2, 0)) + request.body, 50.0)
    assert read_forwarded(arrived)[1].runs == 2


def test_other_requests_of_the_internal_interface_are_not_forwarded():
    for target in (b"/metrics", b"/forwarded", b"/follow", b"/forwardedx/a"):
        assert not is_forwarded(HttpRequest(b"GET", target, [], b"", 0.0))


@pytest.mark.parametrize("value", [None, b"", b"1,2", b"1,2,x", b"-1,0,0", b"1,2,3,4"])
def test_an_invalid_state_is_an_error(value):
    headers = [] if value is None else [(STATE_FIELD, value)]
    with pytest.raises(ValueError):
        read_forwarded(HttpRequest(b"GET", b"/forwarded/a", headers, b"", 0.0))


# Guards against forwarded requests that are refused though the first router accepted them.
def test_the_internal_interface_accepts_the_largest_requests_of_callers():
    limits = ServerLimits(maximum_header_bytes=40_000, maximum_body_bytes=9_000_000)
    internal = with_room_for_forwarding(limits)
    assert internal.maximum_header_bytes > 40_000
    assert internal.maximum_body_bytes == 9_000_000
    small = with_room_for_forwarding(ServerLimits(100, 100))
    assert small.maximum_body_bytes == ServerLimits().maximum_body_bytes
