"""Calls to the store and to other routers: timeouts limit silence, not the response size."""

import pytest

from martenrun.router.store.client import MAX_RESPONSE_S, MAX_STALL_S, ResponseReader

from .fakes import FakeLoop

TIMEOUT_S = 0.9


class Call:
    """One call whose response arrives in parts."""

    def __init__(self, max_response_s=None):
        self.loop = FakeLoop()
        self.responses = []
        self.parts = 0
        self.reader = ResponseReader(
            self.loop,
            TIMEOUT_S,
            self.responses.append,
            self._on_part,
            max_response_s=max_response_s,
        )

    def _on_part(self):
        self.parts += 1

    def run(self, seconds):
        self.loop.run_until(self.loop.now() + seconds)

    def arrive(self, parts, gap_s):
        """Deliver the head and a number of body parts, one after each gap."""
        self.reader.on_head(200, [], None)
        for _ in range(parts):
            self.run(gap_s)
            self.reader.on_body(b"x")


def test_response_that_keeps_arriving_is_not_given_up():
    call = Call()
    call.run(0.8)
    call.arrive(10, MAX_STALL_S * 0.9 / 2)
    call.reader.on_complete()
    assert [response.body for response in call.responses] == [b"x" * 10]
    assert call.parts == 11


def test_parts_of_a_refusal_are_not_reported():
    call = Call()
    call.reader.on_head(503, [], None)
    call.reader.on_body(b"x")
    call.reader.on_complete()
    assert call.parts == 0 and call.responses[0].status == 503


def test_call_without_a_response_times_out():
    call = Call()
    call.run(TIMEOUT_S + 0.01)
    assert call.responses == [None]


def test_stalled_response_is_given_up():
    call = Call()
    call.arrive(3, 0.4)
    call.run(MAX_STALL_S + 0.01)
    assert call.responses == [None]


@pytest.mark.parametrize(
    ("max_response_s", "expected"), [(None, TIMEOUT_S + MAX_RESPONSE_S), (0.9, 0.9)]
)
def test_endless_response_is_given_up(max_response_s, expected):
    call = Call(max_response_s)
    began_at = call.loop.now()
    call.reader.on_head(200, [], None)
    while not call.responses:
        call.run(0.1)
        call.reader.on_body(b"x")
    assert call.responses == [None]
    assert call.loop.now() - began_at == pytest.approx(expected, abs=0.15)
