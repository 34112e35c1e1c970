"""A runner that has restarted under its id is recognized by its report while its entry is old."""

import msgspec
import pytest

from martenrun.net.http import HttpResponse
from martenrun.platform import PLATFORM_ADAPTER
from martenrun.router.instance_check import CHECK_VALIDITY_S, InstanceCheck

from .builders import state
from .fakes import FakeLoop
from .test_stream_forwarding import begin, is_broken_off, runner_break, stream_case

BORN_MS = 1_000
RTT_S = 0.003


class Reports:
    """Answers requests for reports with the start times by address; None does not respond."""

    def __init__(self, loop):
        self._loop = loop
        self.born_ms = {}
        self.asked = []

    def __call__(self, address, call, on_response):
        self.asked.append(address)
        born_ms = self.born_ms.get(address)
        body = {"busy": False, "call_seq": 0, "active": 0, "models": [], "born": born_ms}
        response = HttpResponse(200, [], msgspec.json.encode(body))
        if born_ms is None:
            self._loop.call_later(0.5, lambda: on_response(None))
        else:
            self._loop.call_later(RTT_S, lambda: on_response(response))


def instance_check(loop, reports, is_mixed=True, on_restarted=lambda _runner: None):
    adapter = PLATFORM_ADAPTER
    return InstanceCheck(
        loop,
        reports,
        adapter.report_request,
        adapter.read_report,
        lambda _service: is_mixed,
        on_restarted,
    )


def checked_case(software, born_ms, is_mixed=True):
    """Return a stream case whose runners have addresses of their own and report start times."""

    def setup(case):
        case.reports = Reports(case.loop)
        for number, item in enumerate(case.states):
            item.runner = state(
                item.runner.instance,
                software=item.runner.software,
                address=f"10.0.0.{number}:1",
                started_at_ms=BORN_MS,
            ).runner
            case.reports.born_ms[item.runner.address] = born_ms[number]
        case.services.instance_check = instance_check(case.loop, case.reports, is_mixed)

    return stream_case(software, setup)


# Guards against a begun stream that reaches a restarted runner by its old entry, also if no second
# version is known yet.
@pytest.mark.parametrize("is_mixed", [True, False], ids=["several versions", "one known version"])
def test_a_begun_stream_is_not_sent_to_a_runner_that_has_restarted(is_mixed):
    case = checked_case(["v1", "v1", "v1"], [BORN_MS, 2_000, BORN_MS], is_mixed)
    case.states[2].in_flight = 6
    begin(case)
    runner_break(case)
    case.run(0.05)
    assert case.pool.sent == ["i-0", "i-2"]
    assert case.states[1].software_id == "unknown at i-1"


# Guards against a new stream whose origin is recorded by an old entry.
def test_a_stream_begun_at_a_runner_that_has_restarted_goes_on_nowhere_else():
    case = checked_case(["v1", "v1"], [2_000, BORN_MS])
    begin(case)
    case.run(0.01)
    runner_break(case)
    assert case.pool.sent == ["i-0"] and is_broken_off(case)


# Guards against a stream that goes on at a runner whose check failed and that has restarted.
def test_a_begun_stream_is_not_sent_to_a_runner_that_has_not_confirmed_its_start():
    case = checked_case(["v1", "v1"], [BORN_MS, None])
    case.states[0].loading_until = case.loop.now() + 60.0
    begin(case)
    runner_break(case)
    case.run(0.6)
    case.reports.born_ms[case.states[1].runner.address] = 2_000
    case.run(0.6)
    assert case.pool.sent == ["i-0"]
    assert case.states[1].software_id == "unknown at i-1"


# Guards against a runner that restarts just after a check and gets the stream that it cut back.
def test_a_begun_stream_is_checked_again_after_a_broken_connection():
    case = checked_case(["v1", "v1"], [BORN_MS, BORN_MS])
    case.states[0].loading_until = case.loop.now() + 60.0
    begin(case)
    runner_break(case)
    case.run(0.05)
    assert case.pool.sent == ["i-0", "i-1"]
    case.reports.born_ms[case.states[1].runner.address] = 2_000
    runner_break(case)
    case.run(0.3)
    assert case.pool.sent == ["i-0", "i-1"]
    assert case.states[1].software_id == "unknown at i-1"


# Guards against a stream that a restarted runner began, without a report, and another one resumes.
@pytest.mark.parametrize("wait_s", [0.1, 0.6], ids=["check pending", "check failed"])
def test_a_stream_begun_at_an_unconfirmed_runner_goes_on_nowhere_else(wait_s):
    case = checked_case(["v1", "v1"], [None, BORN_MS])
    begin(case)
    case.run(wait_s)
    runner_break(case)
    case.run(0.6)
    assert case.pool.sent == ["i-0"] and is_broken_off(case)


# Guards against a stream begun by a restarted runner, whose new version is the first other one, and
# resumed by the version of its old entry.
def test_a_stream_begun_by_the_first_other_version_goes_on_nowhere_else():
    case = checked_case(["v1", "v1"], [2_000, BORN_MS], is_mixed=False)
    begin(case)
    case.run(0.01)
    runner_break(case)
    case.run(0.6)
    assert case.pool.sent == ["i-0"] and is_broken_off(case)


# Guards against a failed check of a new connection that is not repeated while it is in use.
def test_a_failed_check_is_repeated_with_the_next_stream_on_the_connection():
    loop = FakeLoop()
    reports = Reports(loop)
    check = instance_check(loop, reports)
    runner = state("i-0", started_at_ms=BORN_MS)
    opened_at = loop.now() - 0.001
    check.run_for_connection(runner, opened_at)
    loop.run_until(loop.now() + 0.6)
    reports.born_ms[runner.runner.address] = 2_000
    check.run_for_connection(runner, opened_at)
    loop.run_until(loop.now() + 0.1)
    assert runner.has_restarted


def test_a_runner_that_sends_no_report_is_not_taken_as_restarted():
    case = checked_case(["v1", "v1"], [BORN_MS, None])
    case.states[0].loading_until = case.loop.now() + 60.0
    begin(case)
    runner_break(case)
    case.run(0.6)
    assert case.states[1].software_id == "v1"
    case.reports.born_ms[case.states[1].runner.address] = BORN_MS
    case.run(0.6)
    assert case.pool.sent == ["i-0", "i-1"]


def test_a_runner_is_checked_once_for_connections_opened_before():
    loop = FakeLoop()
    reports = Reports(loop)
    check = instance_check(loop, reports)
    runner = state("i-0", started_at_ms=BORN_MS)
    reports.born_ms[runner.runner.address] = BORN_MS
    opened_at = loop.now()
    check.run_for_connection(runner, opened_at)
    check.run_for_connection(runner, opened_at)
    loop.run_until(loop.now() + 0.1)
    assert len(reports.asked) == 1 and not check.is_due(runner)
    check.run_for_connection(runner, opened_at - 1.0)
    assert len(reports.asked) == 1
    check.run_for_connection(runner, loop.now())
    assert len(reports.asked) == 2
    loop.run_until(loop.now() + CHECK_VALIDITY_S + 0.1)
    assert check.is_due(runner)


def test_no_report_is_requested_for_new_streams_while_one_version_serves():
    loop = FakeLoop()
    reports = Reports(loop)
    check = instance_check(loop, reports, is_mixed=False)
    check.run_for_connection(state("i-0", started_at_ms=BORN_MS), loop.now())
    assert reports.asked == []


@pytest.mark.parametrize("is_mixed", [True, False])
def test_no_report_is_requested_of_runners_without_a_start_time(is_mixed):
    loop = FakeLoop()
    reports = Reports(loop)
    check = instance_check(loop, reports, is_mixed)
    runner = state("i-0", started_at_ms=None)
    check.run_for_connection(runner, loop.now())
    assert not check.is_due(runner) and reports.asked == []
