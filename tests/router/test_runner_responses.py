"""What responses of runners say about the runners themselves, in virtual time."""

import pytest

from martenrun.net.http import HttpResponse
from martenrun.router.placement import Placement
from martenrun.router.rollout_plan import outdated_runners
from martenrun.router.runner_pool import RunnerPool
from martenrun.router.runner_responses import record_control_response

from .builders import placement_query, route, runner, state
from .fakes import FakeLoop
from .test_crash_detector import FINGERPRINT, Harness
from .test_forwarding import GOOD, ForwardingCase

LEAVING = (b"Server-Leaving", b"1")
STAMP = (b"X-Response-Stamp", b"s")
NOT_EXECUTED = (b"X-Not-Executed", b"1")


def draining_state(instance):
    found = state(instance)
    found.record_draining(100.0)
    return found


# Guards against announcements that are ignored because of the response that carries them.
@pytest.mark.parametrize(
    "response",
    [
        pytest.param((200, [STAMP, LEAVING], b"ok"), id="success"),
        pytest.param((500, [STAMP, LEAVING], b"no"), id="server error"),
        pytest.param((404, [STAMP, LEAVING], b"no"), id="client error"),
        pytest.param((503, [NOT_EXECUTED, LEAVING], b""), id="refusal"),
        pytest.param((408, [NOT_EXECUTED, LEAVING], b""), id="timeout"),
        pytest.param((421, [(b"X-Instance-Id", b"i-0"), LEAVING], b""), id="misdirected"),
        pytest.param((200, [LEAVING], b"forged"), id="without signature"),
    ],
)
def test_a_drain_is_learned_from_any_response(response):
    case = ForwardingCase([response, GOOD], states=[state("i-0")]).run(0.1)
    assert case.states[0].is_draining


def test_a_drain_is_learned_from_a_response_that_breaks_after_its_head():
    case = ForwardingCase(states=[state("i-0"), state("i-1")]).run(0.01)
    reader = case.pool.readers[0]
    reader.on_head(200, [STAMP, LEAVING], 100)
    reader.on_broken(True)
    case.run(0.1)
    assert case.pool.state(case.pool.sent[0]).is_draining


def test_a_response_of_another_instance_says_nothing_about_the_runner():
    """Guards against a drain of the runner that took over the address."""
    other = (421, [(b"X-Instance-Id", b"i-9"), LEAVING], b"")
    case = ForwardingCase([other], states=[state("i-0")]).run(0.1)
    assert not case.pool.state("i-0").is_draining


def test_a_drain_is_learned_from_the_control_interface():
    case = ForwardingCase(states=[state("i-0")])
    record_control_response(case.services, case.states[0], HttpResponse(200, [LEAVING], b""))
    assert case.states[0].is_draining


def test_a_drain_is_not_taken_back():
    case = ForwardingCase([(200, [STAMP, LEAVING], b"ok")], states=[state("i-0")]).run(0.1)
    record_control_response(case.services, case.states[0], HttpResponse(200, [], b""))
    assert case.states[0].is_draining


# Guards against components that ask the entry alone whether a runner drains.
def test_a_drain_known_from_a_response_counts_like_that_of_the_entry():
    draining, ready = draining_state("i-0"), state("i-1")
    assert Placement().choose(placement_query(), [draining, ready]) is ready
    assert outdated_runners([draining, ready], "m", 2) == [ready]
    harness = Harness()
    harness.detector.handle_disconnect(draining, FINGERPRINT)
    assert harness.probes.probed == []


def test_connections_to_a_draining_runner_are_closed_and_not_kept(monkeypatch):
    pool = RunnerPool(FakeLoop())
    pool.update({"i-0": runner("i-0"), "i-1": runner("i-1", address="127.0.0.1:2")})
    pool.record_draining(pool.state("i-0"), "response")
    assert pool.other_addresses("i-1") == []
    assert pool.other_addresses("i-9") == ["127.0.0.1:2"]


# Guards against refusing requests although a runner that drains still serves them.
def test_a_runner_that_just_began_to_drain_is_the_last_choice():
    draining = draining_state("i-0")
    query = placement_query(longest_drain_s=0.8, now=100.5)
    assert Placement().choose(query, [draining]) is draining
    assert Placement().choose(query, [draining, state("i-1")]).runner.instance == "i-1"
    late = placement_query(longest_drain_s=0.8, now=100.9)
    assert Placement().choose(late, [draining]) is None


def test_requests_are_refused_at_once_when_all_runners_drain():
    """Guards against requests held for a runner that cannot come."""
    draining = [state("i-0"), state("i-1")]
    for item in draining:
        item.record_draining(90.0)
    case = ForwardingCase(states=draining, custom_route=route(objective_s=2.0)).run(0.001)
    status, headers, _ = case.exchange.responses[0]
    assert status == 503 and float(headers[b"Retry-After"]) > 0
    assert case.pool.sent == []
