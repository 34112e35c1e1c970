"""Tests of responses that end with their connection, as they also do if their runner crashes.

Guards against such responses that were returned as complete: 36 of 70 crash-causing requests got
an empty response with status 200, and each of them cleared the crash records.
"""

import pytest

from martenrun.router.crashes import tracker
from martenrun.router.crashes.outcome_check import (
    BUFFERED_CONFIRMATION_S,
    STREAM_CONFIRMATION_S,
    RunnerOutcome,
)
from martenrun.router.messages import RouteKind

from .builders import route, state
from .crash_world import PROBE_S, Probes, admitted, crash_tracker
from .fakes import FakeLoop
from .test_crash_detector import Harness
from .test_forwarding import ForwardingCase, with_crash_records
from .test_stream_forwarding import SIGNED, begin, event, stream_case

ADDRESS = "127.0.0.1:1"
CONFIRMATION_S = 0.1


def close(case, is_close_delimited=True):
    """End the response of the last attempt."""
    case.pool.connections[-1].is_close_delimited = is_close_delimited
    case.pool.readers[-1].on_complete()


def outcomes_of(harness, runner=None):
    found = []
    harness.detector.check_outcome(runner or state("i-1"), CONFIRMATION_S, found.append)
    harness.run(3.0)
    return found


@pytest.mark.parametrize(
    ("probe", "outcome"),
    [
        ("refused", RunnerOutcome.CRASHED),
        ("accepted", RunnerOutcome.ALIVE),
        ("inconclusive", RunnerOutcome.UNKNOWN),
        ("suspended", RunnerOutcome.UNKNOWN),
    ],
)
def test_a_probe_tells_a_crash_from_the_end_of_a_response(probe, outcome):
    harness = Harness()
    if probe != "accepted":
        getattr(harness.probes, probe).add(ADDRESS)
    assert outcomes_of(harness) == [outcome]
    assert harness.crashes == []


# Guards against a cut response passed on as complete: the exiting runner accepted the first probe.
def test_a_runner_that_closes_probes_before_it_refuses_them_has_crashed():
    harness = Harness()
    harness.probes.inconclusive.add(ADDRESS)
    found = []
    harness.detector.check_outcome(state("i-1"), CONFIRMATION_S, found.append)
    harness.run(PROBE_S + 0.001)
    assert found == []
    harness.probes.inconclusive.clear()
    harness.probes.refused.add(ADDRESS)
    harness.run(3.0)
    assert found == [RunnerOutcome.CRASHED]


# Guards against a cut response passed on as complete: the machine accepted a probe for a process
# that was suspended while it exited.
def test_a_suspended_runner_that_accepts_connections_may_have_crashed():
    harness = Harness()
    harness.probes.suspended.add(ADDRESS)
    found = []
    harness.detector.check_outcome(state("i-1"), CONFIRMATION_S, found.append)
    harness.run(0.3)
    assert found == []
    harness.probes.refused.add(ADDRESS)
    harness.run(3.0)
    assert found == [RunnerOutcome.CRASHED]


# Guards against a response cut by a crash whose runner is back before it is looked at.
@pytest.mark.parametrize(
    ("listed_ms", "reported_ms", "outcome"),
    [
        (1_000, 2_000, RunnerOutcome.CRASHED),
        (1_000, 1_000, RunnerOutcome.ALIVE),
        (1_000, None, RunnerOutcome.ALIVE),
        (None, 2_000, RunnerOutcome.ALIVE),
    ],
)
def test_a_runner_whose_report_names_another_start_has_crashed(listed_ms, reported_ms, outcome):
    harness = Harness()
    harness.probes.started_at_ms[ADDRESS] = reported_ms
    assert outcomes_of(harness, state("i-1", started_at_ms=listed_ms)) == [outcome]


def test_draining_runners_may_exit_after_their_last_response():
    harness = Harness()
    harness.probes.refused.add(ADDRESS)
    assert outcomes_of(harness, state("i-1", is_draining=True)) == [RunnerOutcome.UNKNOWN]
    assert harness.crashes == []


def respond_unframed(case):
    reader = case.pool.readers[-1]
    reader.on_head(200, SIGNED, None)
    reader.on_body(b"answer")
    close(case)


def test_a_closed_response_of_a_living_runner_is_returned():
    case = ForwardingCase()
    respond_unframed(case)
    case.run(BUFFERED_CONFIRMATION_S)
    assert case.exchange.responses == []
    case.run(2 * PROBE_S)
    assert case.exchange.responses[0][0] == 200 and case.outcomes == ["served"]


def test_a_closed_response_of_a_crashed_runner_is_repeated():
    case = ForwardingCase()
    case.probes.refused.add(case.states[0].runner.address)
    respond_unframed(case)
    case.run(0.1)
    assert len(set(case.pool.sent)) == 2 and case.exchange.responses == []


def test_a_closed_response_of_a_crashed_runner_has_an_unknown_outcome_if_it_runs_once():
    case = ForwardingCase(custom_route=route(kind=RouteKind.UNSAFE))
    case.probes.refused.add(case.states[0].runner.address)
    respond_unframed(case)
    case.run(0.1)
    assert case.exchange.responses[0][0] == 502


def test_a_framed_response_is_returned_at_once():
    case = ForwardingCase()
    case.pool.readers[-1].on_head(200, SIGNED, 6)
    case.pool.readers[-1].on_body(b"answer")
    close(case, is_close_delimited=False)
    assert case.outcomes == ["served"] and case.probes.probed == []


def test_a_closed_stream_ends_once_its_runner_is_known_to_live():
    case = stream_case(["v1", "v1"])
    begin(case)
    close(case)
    case.run(STREAM_CONFIRMATION_S)
    assert case.exchange.responses == [event(1)] and case.outcomes == []
    case.run(2 * PROBE_S)
    assert case.outcomes == ["served"]


def test_a_closed_stream_of_a_crashed_runner_goes_on_elsewhere():
    case = stream_case(["v1", "v1"])
    case.probes.refused.add(case.states[0].runner.address)
    begin(case)
    close(case)
    case.run(0.1)
    assert case.pool.sent == ["i-0", "i-1"]
    begin(case, 2)
    close(case, is_close_delimited=False)
    assert case.exchange.responses == [event(1), event(2)] and case.outcomes == ["served"]


def test_a_crash_behind_a_closed_response_is_recorded_once():
    case = ForwardingCase()
    case.probes.refused.add(case.states[0].runner.address)
    respond_unframed(case)
    case.run(0.1)
    [record] = case.services.suspects.summaries()
    assert record.starts == 1


# Guards against a check that ends late and takes the place of a later attempt.
def test_a_stream_moved_elsewhere_during_the_check_goes_on_there():
    case = stream_case(["v1", "v1"])
    case.probes.refused.add(case.states[0].runner.address)
    begin(case)
    close(case)
    case.forwarder.break_attempt(case.forwarder.runner_attempt)
    assert case.pool.sent == ["i-0", "i-1"]
    case.run(0.1)
    assert case.pool.sent == ["i-0", "i-1"]
    begin(case, 2)
    close(case, is_close_delimited=False)
    assert case.exchange.responses == [event(1), event(2)] and case.outcomes == ["served"]


def test_a_closed_stream_without_events_is_broken():
    case = stream_case(["v1", "v1"])
    case.pool.readers[-1].on_head(200, SIGNED, None)
    close(case)
    case.run(0.1)
    assert case.pool.sent == ["i-0", "i-1"]


def test_a_stream_that_ends_inside_an_event_goes_on_elsewhere():
    case = stream_case(["v1", "v1"])
    begin(case)
    case.pool.readers[-1].on_body(b"id: 2\nda")
    close(case, is_close_delimited=False)
    case.run(0.1)
    assert case.pool.sent == ["i-0", "i-1"]


def test_a_caller_that_leaves_during_the_check_ends_the_request():
    case = stream_case(["v1", "v1"])
    begin(case)
    close(case)
    case.exchange.on_disconnect()
    case.run(0.1)
    assert case.outcomes == ["caller_left"]


@pytest.mark.parametrize("probe", ["accepted", "inconclusive"])
def test_a_closed_response_clears_records_only_if_the_runner_lives(probe):
    case = ForwardingCase(
        setup=with_crash_records(2), custom_route=route(kind=RouteKind.UNSAFE, timeout_s=6.0)
    )
    chosen = next(each for each in case.states if each.runner.instance == case.pool.sent[0])
    if probe == "inconclusive":
        case.probes.inconclusive.add(chosen.runner.address)
    respond_unframed(case)
    case.run(3.0)
    assert case.outcomes == ["served" if probe == "accepted" else "unknown"]
    [record] = case.services.suspects.summaries()
    assert record.has_run_whole == (probe == "accepted")


# Guards against closed responses that no log line or figure tells from framed ones.
@pytest.mark.parametrize(("probe", "outcome"), [("accepted", "alive"), ("refused", "crashed")])
def test_the_check_of_a_closed_response_is_logged_and_counted(monkeypatch, probe, outcome):
    lines, counted = [], []
    monkeypatch.setattr(tracker, "log_event", lambda event, **fields: lines.append((event, fields)))
    probes = Probes()
    getattr(probes, probe, set()).add(ADDRESS)
    loop = FakeLoop()
    suspects = crash_tracker(loop, probes, count_closed_response=counted.append)
    suspects.check_outcome(state("i-1"), admitted(), CONFIRMATION_S, lambda _outcome: None)
    loop.run_until(loop.time + 3.0)
    [(event, fields)] = lines
    assert event == "closed_response_checked" and counted == [outcome]
    assert fields["request"] == "r1" and fields["instance"] == "i-1"
    assert fields["outcome"] == outcome and fields["wait_ms"] > 0


PROBED_S = 4.0
"""Longer than a check of a runner that says nothing, in seconds."""


def chosen_address(case):
    return next(s for s in case.states if s.runner.instance == case.pool.sent[0]).runner.address


# Guards against a response cut by its runner's end that passes as complete as no probe says so.
@pytest.mark.parametrize("probe", ["inconclusive", "suspended", "silent"])
@pytest.mark.parametrize("kind", [RouteKind.SAFE, RouteKind.UNSAFE])
def test_a_closed_response_without_evidence_is_not_returned(probe, kind):
    case = ForwardingCase(custom_route=route(kind=kind, timeout_s=6.0))
    getattr(case.probes, probe).add(chosen_address(case))
    respond_unframed(case)
    case.run(PROBED_S)
    assert all(status != 200 for status, _, _ in case.exchange.responses)
    if kind is RouteKind.SAFE:
        assert len(set(case.pool.sent)) == 2
    else:
        assert case.exchange.responses[0][0] == 502 and len(case.pool.sent) == 1


# Guards against a stream that a leaving runner left unfinished and that looks complete.
@pytest.mark.parametrize("probe", ["refused", "inconclusive", "suspended", "silent"])
@pytest.mark.parametrize("is_draining", [False, True], ids=["staying", "draining"])
def test_a_closed_stream_without_evidence_is_broken_off(probe, is_draining):
    once = route(kind=RouteKind.STREAM, timeout_s=6.0)
    case = ForwardingCase(custom_route=once)
    if is_draining:
        for each in case.states:
            each.record_draining(case.loop.now())
    getattr(case.probes, probe).add(chosen_address(case))
    begin(case)
    close(case)
    case.run(PROBED_S)
    assert case.exchange.responses == [event(1)] and case.exchange.is_aborted
    assert case.outcomes == ["broken_off"]


def test_a_closed_stream_of_a_leaving_runner_goes_on_elsewhere():
    case = stream_case(["v1", "v1"])
    case.states[0].record_draining(case.loop.now())
    case.probes.refused.add(chosen_address(case))
    begin(case)
    close(case)
    case.run(0.1)
    assert case.pool.sent == ["i-0", "i-1"]


# Guards against complete responses of draining runners that are lost, although these serve on.
def test_a_closed_stream_of_a_runner_that_serves_on_while_it_drains_is_complete():
    case = ForwardingCase(custom_route=route(kind=RouteKind.STREAM, timeout_s=6.0))
    for each in case.states:
        each.record_draining(case.loop.now())
    begin(case)
    close(case)
    case.run(1.0)
    assert case.outcomes == ["served"] and not case.exchange.is_aborted


# Guards against a cut response that passes as complete as its runner, which closes its responses
# first and ends a moment later, sends its report in between.
@pytest.mark.parametrize("ends_after_s", [0.01, 0.03, 0.06])
def test_a_runner_that_ends_shortly_after_its_report_has_cut_its_response(ends_after_s):
    case = stream_case(["v1", "v1"])
    begin(case)
    close(case)
    case.run(ends_after_s)
    assert case.pool.sent == ["i-0"] and case.exchange.responses == [event(1)]
    case.probes.refused.add(chosen_address(case))
    case.run(1.0)
    assert case.pool.sent == ["i-0", "i-1"]
    [record] = case.services.suspects.summaries()
    assert record.starts == 1


# Guards against a complete response that is lost because one report was.
@pytest.mark.parametrize("lost", [1, 2, 3])
def test_a_closed_response_outlasts_lost_reports(lost):
    case = ForwardingCase(custom_route=route(kind=RouteKind.UNSAFE))
    address = chosen_address(case)
    case.probes.lose_reports(address, lost)
    respond_unframed(case)
    case.run(1.0)
    assert case.exchange.responses[0][0] == 200 and case.outcomes == ["served"]


# Guards against a head that its runner sent before it broke off, passed on as an empty response.
@pytest.mark.parametrize("kind", [RouteKind.SAFE, RouteKind.UNSAFE])
def test_a_closed_success_without_a_body_is_broken(kind):
    case = ForwardingCase(custom_route=route(kind=kind))
    case.pool.readers[-1].on_head(200, SIGNED, None)
    close(case)
    case.run(1.0)
    assert all(status == 502 for status, _, _ in case.exchange.responses)
    if kind is RouteKind.SAFE:
        assert len(set(case.pool.sent)) == 2
    else:
        assert case.outcomes == ["unknown"]


# Guards against responses that have no body by their method and are taken for cut ones.
def test_a_closed_response_to_a_head_request_has_no_body():
    def set_method(case):
        case.exchange.request.method = b"HEAD"

    case = ForwardingCase(custom_route=route(kind=RouteKind.UNSAFE), setup=set_method)
    case.pool.readers[-1].on_head(200, SIGNED, None)
    close(case)
    case.run(1.0)
    assert case.exchange.responses[0][0] == 200


def test_a_closed_failure_without_a_body_is_returned():
    case = ForwardingCase(custom_route=route(kind=RouteKind.UNSAFE))
    case.pool.readers[-1].on_head(500, SIGNED, None)
    close(case)
    case.run(1.0)
    assert case.exchange.responses[0][0] == 500
