"""What responses of runners say about the runners themselves, in virtual time."""

import pytest

from martenrun.net.http import HttpResponse
from martenrun.router.messages import TargetWeights
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


# Requested backoffs


def refusal(retry_after):
    return 503, [NOT_EXECUTED, (b"Retry-After", retry_after)], b""


def sends_to(case, instance):
    return case.pool.sent.count(instance)


def test_a_runner_that_requested_a_backoff_is_not_the_last_choice_either():
    case = ForwardingCase([refusal(b"3")] * 5, states=[state("i-0")]).run(1.0)
    assert case.pool.sent == ["i-0"]
    assert case.exchange.responses[0][0] == 503


def test_a_request_is_refused_at_once_when_all_runners_back_off():
    """Guards against requests that wait for a runner whose backoff outlasts their patience."""
    runners = [state("i-0"), state("i-1")]
    runners[0].record_backoff(103.0)
    runners[1].record_backoff(107.0)
    case = ForwardingCase(states=runners).run(0.001)
    status, headers, _ = case.exchange.responses[0]
    assert status == 503 and 3.0 <= float(headers[b"Retry-After"]) <= 5.0
    assert case.pool.sent == []


@pytest.mark.parametrize("later", [b"1", b"0", b"soon", b"-5", b""])
def test_a_later_response_does_not_shorten_a_backoff(later):
    case = ForwardingCase(states=[state("i-0")])
    for value in (b"3", later):
        response = HttpResponse(503, [(b"Retry-After", value)], b"")
        record_control_response(case.services, case.states[0], response)
    assert case.states[0].is_backing_off(102.9) and not case.states[0].is_backing_off(103.1)


def test_a_success_does_not_end_a_backoff():
    """Guards against a response to an earlier request that lifts the backoff."""
    case = ForwardingCase(states=[state("i-0")]).run(0.01)
    case.states[0].record_backoff(103.0)
    reader = case.pool.readers[0]
    reader.on_head(200, [STAMP], 2)
    reader.on_body(b"ok")
    reader.on_complete()
    assert case.exchange.responses[0][0] == 200
    assert case.states[0].is_blocked(102.9)


def test_a_request_is_withdrawn_if_its_runner_requests_a_backoff_while_connecting():
    case = ForwardingCase([], states=[state("i-0"), state("i-1")]).run(0.01)
    first = case.pool.state(case.pool.sent[0])
    first.record_backoff(103.0)
    failures_before = first.failure_score(100.0)
    case.pool.readers[0].on_sent()
    assert case.pool.connections[0].is_closed
    assert len(case.pool.sent) == 2 and case.pool.sent[0] != case.pool.sent[1]
    assert first.failure_score(100.0) == failures_before


def test_after_a_backoff_a_runner_gets_a_single_request_until_it_accepts_one():
    """Guards against a burst of refused requests when a backoff ends."""
    known = state("i-0")
    known.record_backoff(103.0)
    assert not known.is_blocked(103.1)
    known.record_sent(103.1)
    assert known.is_blocked(103.2)
    known.record_accepted(102.0)
    assert known.is_blocked(103.2)
    known.record_accepted(103.1)
    assert not known.is_blocked(103.2)


def test_a_runner_that_is_silent_after_its_backoff_is_tried_again():
    known = state("i-0")
    known.record_backoff(103.0)
    known.record_sent(103.1)
    assert not known.is_blocked(104.2)


# Guards against newer weights of a runner that stay unknown because it backs off.
def test_a_misdirected_request_shows_newer_weights_within_a_backoff():
    def setup(case):
        case.services.weights.put(TargetWeights("m", 2), case.loop.now())

    case = ForwardingCase(model="m", states=[state("i-0")], setup=setup).run(0.01)
    case.states[0].record_backoff(103.0)
    reader = case.pool.readers[0]
    reader.on_head(421, [(b"X-Instance-Id", b"i-0")], 0)
    reader.on_complete()
    assert case.states[0].weights_version("m") == 2


def test_a_waiting_request_is_sent_once_a_runner_has_accepted_another_after_its_backoff():
    known = state("i-0")
    known.record_backoff(100.0)
    known.record_sent(100.0)
    case = ForwardingCase([GOOD], states=[known]).run(0.03)
    assert case.pool.sent == []
    known.record_accepted(100.0)
    case.run(0.05)
    assert case.exchange.responses[0][0] == 200


def test_a_runner_that_is_full_for_a_moment_bounds_the_wait_for_one_that_backs_off():
    backing_off, full = state("i-0"), state("i-1")
    backing_off.record_backoff(130.0)
    full.full_until = 100.15
    waited_s = Placement().blocked_for_s(placement_query(), [backing_off, full])
    assert waited_s == pytest.approx(0.15)
    unreliable = state("i-2")
    unreliable.record_failure(100.0, 5.0)
    assert Placement().blocked_for_s(placement_query(), [backing_off, unreliable]) == 30.0
    assert Placement().blocked_for_s(placement_query(), [backing_off, state("i-3")]) is None


# Refusals without a backoff

FULL = 503, [NOT_EXECUTED], b""


# Guards against requests that are tried at runners which refuse everything while others are free.
def test_a_runner_is_avoided_longer_with_each_refusal_in_a_row():
    known = state("i-0")
    avoided_s = []
    now = 100.0
    for _ in range(4):
        known.record_refusal(now, now)
        since = now
        while known.is_avoided(now):
            now += 0.01
        avoided_s.append(now - since)
    assert avoided_s == pytest.approx([0.15, 1.2, 4.8, 4.8], abs=0.02)
    known.record_accepted(now)
    known.record_refusal(now, now)
    assert known.is_avoided(now + 0.1) and not known.is_avoided(now + 0.2)


def test_requests_refused_at_the_same_time_count_as_one_refusal():
    """Guards against a runner that is full for a moment and avoided for seconds."""
    known = state("i-0")
    for at in (100.0, 100.001, 100.002):
        known.record_refusal(99.9, at)
    assert not known.is_avoided(100.2)


def test_a_refusing_runner_is_chosen_if_no_other_is_left():
    """Guards against refusals of callers although a runner may have room again."""
    refusing, other = state("i-0"), state("i-1")
    for at in (99.0, 99.3, 99.8):
        refusing.record_refusal(at, at)
    query = placement_query(now=100.0)
    assert Placement().choose(query, [refusing, other]) is other
    assert Placement().choose(query, [refusing]) is refusing


def test_a_request_goes_to_a_runner_that_accepts_once_others_refuse_in_a_row():
    runners = [state("i-0"), state("i-1")]
    case = ForwardingCase([FULL, GOOD], states=runners).run(0.1)
    assert case.exchange.responses[0][0] == 200
    first = case.pool.state(case.pool.sent[0])
    assert first.refusals == 1 and not first.is_avoided(case.loop.now() + 0.2)
