"""Refusals of runners that do not state that they have not run the request, in virtual time."""

import pytest

from martenrun.router import runner_responses
from martenrun.router.messages import RouteKind

from .builders import route, state
from .test_forwarding import GOOD, ForwardingCase
from .test_peer_forwarding import forwarded_case

STAMP = (b"X-Response-Stamp", b"s")
OWN = (b"X-Own", b"1")
NOT_EXECUTED = (b"X-Not-Executed", b"1")
RETURNED = [(408, 504), (429, 502), (503, 502)]


def refusal(status, *headers):
    return status, [STAMP, OWN, (b"Retry-After", b"0"), *headers], b"down"


# Guards against the promise "not run" for a request that has run, which its caller repeats.
@pytest.mark.parametrize(("status", "returned"), RETURNED)
@pytest.mark.parametrize("kind", [RouteKind.UNSAFE, RouteKind.STREAM])
def test_an_unrepeatable_request_gets_no_promise_that_its_runner_has_not_made(
    kind, status, returned
):
    case = ForwardingCase([refusal(status), GOOD], custom_route=route(kind=kind)).run(0.1)
    assert case.exchange.responses == [(returned, {OWN[0]: OWN[1]}, b"down")]
    assert len(case.pool.sent) == 1


def test_a_request_of_another_router_gets_no_promise_either():
    unsafe = route(kind=RouteKind.UNSAFE)
    case = forwarded_case([refusal(503)], custom_route=unsafe, states=[state("i-0")]).run(0.1)
    assert case.exchange.responses == [(502, {OWN[0]: OWN[1]}, b"down")]


@pytest.mark.parametrize(("status", "_returned"), RETURNED)
def test_a_repeatable_request_is_served_by_another_runner(status, _returned):
    case = ForwardingCase([refusal(status), GOOD]).run(0.1)
    assert len(set(case.pool.sent)) == 2
    assert case.exchange.responses[0][0] == 200


@pytest.mark.parametrize(("status", "returned"), RETURNED)
def test_the_last_refusal_of_a_repeatable_request_is_returned_without_a_promise(status, returned):
    case = ForwardingCase([refusal(status)] * 2).run(0.1)
    assert case.exchange.responses == [(returned, {OWN[0]: OWN[1]}, b"down")]


@pytest.mark.parametrize(("status", "_returned"), RETURNED)
def test_an_unrepeatable_request_that_was_not_executed_is_sent_to_another_runner(status, _returned):
    unsafe = route(kind=RouteKind.UNSAFE)
    case = ForwardingCase([refusal(status, NOT_EXECUTED), GOOD], custom_route=unsafe).run(0.1)
    assert len(case.pool.sent) == 2
    assert case.exchange.responses[0][0] == 200


# Guards against responses of runners that lose more than a promise that may be false.
@pytest.mark.parametrize("status", [200, 400, 404, 409, 500, 502, 504])
def test_other_responses_are_returned_unchanged(status):
    unsafe = route(kind=RouteKind.UNSAFE)
    case = ForwardingCase([refusal(status)], custom_route=unsafe).run(0.1)
    _, headers, body = refusal(status)
    assert case.exchange.responses == [(status, dict(headers), body)]


def test_a_backoff_is_also_requested_by_an_unconfirmed_refusal():
    unsafe = route(kind=RouteKind.UNSAFE)
    response = 503, [STAMP, (b"Retry-After", b"3")], b""
    case = ForwardingCase([response], custom_route=unsafe, states=[state("i-0")]).run(0.1)
    assert case.states[0].is_backing_off(case.loop.now())


def test_an_unconfirmed_refusal_is_logged_and_counted(monkeypatch):
    lines, notices = [], []
    monkeypatch.setattr(
        runner_responses, "log_event", lambda event, **fields: lines.append((event, fields))
    )

    def setup(case):
        case.services.count_notice = notices.append

    unsafe = route(kind=RouteKind.UNSAFE)
    states = [state("i-0")]
    ForwardingCase([refusal(429)], custom_route=unsafe, states=states, setup=setup).run(0.1)
    assert lines == [("refusal_unconfirmed", {"instance": "i-0", "status": 429})]
    assert notices == ["refusal_unconfirmed"]
