"""Numbers in header fields and events that have more digits than any counter."""

import pytest

from martenrun.net.http import HttpRequest
from martenrun.platform import PLATFORM_ADAPTER
from martenrun.router.event_stream import BrokenStreamError, EventSplitter

DIGITS = b"9" * 5_000
TOO_LARGE = [b"9223372036854775808", b"18446744073709551616", DIGITS]


def request(*headers):
    return HttpRequest(b"POST", b"/a/", [(b"Host", b"h"), *headers], b"", 0.0)


# Guards against a caller's number that no message between routers can carry.
@pytest.mark.parametrize("value", TOO_LARGE)
@pytest.mark.parametrize(
    ("name", "text"),
    [
        (b"Last-Event-Id", b"%s"),
        (b"X-Token-Usage", b"1,%s"),
        (b"X-Prefix-Hash", b"aa:%s"),
    ],
)
def test_number_of_a_caller_out_of_range_is_an_error_of_the_caller(name, text, value):
    with pytest.raises(ValueError):
        PLATFORM_ADAPTER.read_call(request((name, text % value)))


@pytest.mark.parametrize("value", [b"-1", b"-18446744073709551616"])
def test_negative_event_id_is_an_error_of_the_caller(value):
    with pytest.raises(ValueError):
        PLATFORM_ADAPTER.read_call(request((b"Last-Event-Id", value)))


def test_largest_event_id_is_accepted():
    call = PLATFORM_ADAPTER.read_call(request((b"Last-Event-Id", b"9223372036854775807")))
    assert call.last_event_id == 2**63 - 1


# Guards against a runner's event id whose conversion ends the handling of its response.
@pytest.mark.parametrize("value", TOO_LARGE)
def test_event_id_out_of_range_is_malformed(value):
    splitter = EventSplitter(0)
    with pytest.raises(BrokenStreamError):
        list(splitter.feed(b"id: %s\ndata: x\n\n" % value))


@pytest.mark.parametrize("field", [b"Server-Limit", b"Server-Brittle", b"Retry-After"])
@pytest.mark.parametrize("value", [DIGITS, b"1e999999999", b"0." + DIGITS, b"1" + b"0" * 400])
def test_long_numbers_in_responses_of_runners_raise_nothing(field, value):
    metadata = PLATFORM_ADAPTER.read_response_metadata(503, [(field, value)])
    assert not metadata.is_draining


@pytest.mark.parametrize("value", [DIGITS, b"-1", b"1_0", b"\xb2", b""])
def test_invalid_era_is_none(value):
    assert PLATFORM_ADAPTER.read_era([(b"Store-Era", value)]) is None
