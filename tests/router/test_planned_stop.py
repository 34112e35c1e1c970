"""Requests that a router accepts after a stop was requested."""

import attrs
import pytest

from martenrun.router.messages import AdmittedRequest, Call
from martenrun.router.planned_stop import ACCEPT_ALL_S, PlannedStop

from .builders import route

STOP = PlannedStop(requested_at=100.0, grace_s=8.0)


def admitted(received_at, timeout_s):
    call = Call(b"1", "a.example", "/a/", None, 15.0, None, (), 0, 0)
    give_up_at = received_at + timeout_s
    return AdmittedRequest(
        call, route(timeout_s=timeout_s), None, "s", received_at + 15.0, give_up_at
    )


@pytest.mark.parametrize("timeout_s", [2.0, 15.0])
def test_every_request_is_accepted_while_callers_may_not_know_of_the_stop(timeout_s):
    received_at = STOP.requested_at + ACCEPT_ALL_S - 0.01
    assert STOP.may_accept(admitted(received_at, timeout_s), received_at)


def test_a_late_stream_that_may_outlast_the_grace_period_is_refused():
    """Guards against aborted streams when three routers stop at once and none is left to retry."""
    received_at = STOP.requested_at + 5.2
    assert not STOP.may_accept(admitted(received_at, 15.0), received_at)


def test_a_late_request_with_a_short_timeout_is_accepted():
    received_at = STOP.requested_at + 5.1
    assert STOP.may_accept(admitted(received_at, 2.0), received_at)
    received_at = STOP.requested_at + 5.3
    assert not STOP.may_accept(admitted(received_at, 2.0), received_at)


def test_remaining_requests_are_aborted_within_the_grace_period():
    shorter = attrs.evolve(STOP, grace_s=5.0)
    assert STOP.closes_idle_at < STOP.aborts_at < STOP.requested_at + STOP.grace_s
    assert shorter.aborts_at < shorter.requested_at + 5.0
