"""Calls to the store and to other routers: timeouts limit silence, not the response size."""

import pytest

from martenrun.router.store_client import LONGEST_ANSWER_S, SILENCE_S, CallReader

from .fakes import FakeLoop

TIMEOUT_S = 0.9


class Call:
    """One call whose response arrives in parts."""

    def __init__(self, longest_s=None):
        self.loop = FakeLoop()
        self.answers = []
        self.heard = 0
        self.reader = CallReader(
            self.loop, TIMEOUT_S, self.answers.append, self._hear, longest_s=longest_s
        )

    def _hear(self):
        self.heard += 1

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
    call.arrive(10, SILENCE_S * 0.9 / 2)
    call.reader.on_complete()
    assert [answer.body for answer in call.answers] == [b"x" * 10]
    assert call.heard == 11


def test_parts_of_a_refusal_are_not_reported():
    call = Call()
    call.reader.on_head(503, [], None)
    call.reader.on_body(b"x")
    call.reader.on_complete()
    assert call.heard == 0 and call.answers[0].status == 503


def test_call_without_a_response_times_out():
    call = Call()
    call.run(TIMEOUT_S + 0.01)
    assert call.answers == [None]


def test_stalled_response_is_given_up():
    call = Call()
    call.arrive(3, 0.4)
    call.run(SILENCE_S + 0.01)
    assert call.answers == [None]


@pytest.mark.parametrize(
    ("longest_s", "expected"), [(None, TIMEOUT_S + LONGEST_ANSWER_S), (0.9, 0.9)]
)
def test_endless_response_is_given_up(longest_s, expected):
    call = Call(longest_s)
    began_at = call.loop.now()
    call.reader.on_head(200, [], None)
    while not call.answers:
        call.run(0.1)
        call.reader.on_body(b"x")
    assert call.answers == [None]
    assert call.loop.now() - began_at == pytest.approx(expected, abs=0.15)
