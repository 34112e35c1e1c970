"""Forwarding of one request to scripted runners in virtual time."""

import attrs
import pytest

from martenrun.net.http import HttpRequest
from martenrun.platform import PLATFORM_ADAPTER
from martenrun.router import request_trace
from martenrun.router.crashes.fingerprint import request_fingerprint
from martenrun.router.forwarding import RequestForwarder
from martenrun.router.messages import AdmittedRequest, Call, PromptPart, RouteKind, TargetWeights
from martenrun.router.placement import Placement
from martenrun.router.prefill_rate import MINIMUM_SAMPLES
from martenrun.router.request_moves import move_off_old_weights, move_off_replaced_runner
from martenrun.router.request_services import RequestServices
from martenrun.router.store.state import ConfigurationState, RunnerDirectory, WeightsState
from martenrun.router.tuning import DEFAULTS

from .builders import bounds, configuration, route, state
from .crash_world import Probes, crash_tracker
from .fakes import FakeLoop

PARTS = (PromptPart(b"aa", 100), PromptPart(b"bb", 10))
FULL = (503, [(b"X-Not-Executed", b"1")], b"")
GOOD = (200, [(b"X-Response-Stamp", b"s")], b"ok")


@attrs.define
class FakeExchange:
    """Records what is sent to the caller."""

    request: HttpRequest
    responses: list = attrs.field(factory=list)
    has_started: bool = False
    is_over: bool = False
    is_congested: bool = False
    is_aborted: bool = False
    started_headers: list = attrs.field(factory=list)
    on_disconnect: object = None
    on_drained: object = None
    earlier_requests: int = 0

    def respond(self, status, headers, body=b"", is_closing=False):
        self.responses.append((status, dict(headers), body))
        self.is_over = True

    def start(self, status, headers, length):
        self.has_started = True
        self.started_headers = headers

    def send(self, data):
        self.responses.append(data)

    def end(self):
        self.is_over = True

    def abort(self):
        self.is_aborted = self.is_over = True


class FakeConnection:
    def __init__(self):
        self.is_closed = False
        self.was_kept_alive = False
        self.opened_at = 0.0
        self.failure = ""
        self.is_close_delimited = False

    def close(self):
        self.is_closed = True

    def pause(self, is_paused):
        pass


class FakePool:
    """Runners that send scripted responses, and none at the end of the script."""

    def __init__(self, loop, states, script=()):
        self._loop = loop
        self._states = states
        self.script = list(script)
        self.sent = []
        self.connections = []
        self.readers = []

    def states(self, service):
        return self._states

    def state(self, instance):
        return next((s for s in self._states if s.runner.instance == instance), None)

    def recent_state(self, instance):
        return self.state(instance)

    def record_broken_connection(self, connection):
        pass

    def record_draining(self, state, source):
        state.record_draining(self._loop.now())

    def send(self, chosen, data, reader, expected_id, may_repeat, body):
        self.sent.append(chosen.runner.instance)
        connection = FakeConnection()
        self.connections.append(connection)
        self.readers.append(reader)
        reader.on_sent()
        if self.script:
            response = self.script.pop(0)
            self._loop.call_later(0.001, lambda: self._respond(reader, response))
        return connection

    @staticmethod
    def _respond(reader, response):
        if response is None:
            reader.on_broken(True)
            return
        status, headers, body = response
        reader.on_head(status, headers, len(body))
        reader.on_body(body)
        reader.on_complete()


class ForwardingCase:
    def __init__(
        self,
        script=(),
        budget_slack=54.0,
        custom_route=None,
        states=None,
        model=None,
        refresh_loads=lambda: None,
        tokens_per_s=0,
        setup=lambda _case: None,
    ):
        self.loop = FakeLoop()
        self.states = [state(f"i-{n}") for n in range(3)] if states is None else states
        self.pool = FakePool(self.loop, self.states, script)
        limits = bounds(budget_slack=budget_slack, budget_ratio=0.0)
        settings = type("Settings", (), {"bounds": limits, "zone": "z1"})()
        self.weights = WeightsState()
        configuration_state = ConfigurationState()
        configuration_state.put(configuration(1))
        configuration_state.confirm(self.loop.now())
        self.outcomes = []
        self.probes = Probes()
        self.services = RequestServices(
            loop=self.loop,
            settings=settings,
            adapter=PLATFORM_ADAPTER,
            configuration=configuration_state,
            runners=RunnerDirectory(),
            weights=self.weights,
            pool=self.pool,
            placement=Placement(),
            suspects=crash_tracker(self.loop, self.probes),
            router_count=lambda: 1,
            record_outcome=lambda outcome, _route, _seconds: self.outcomes.append(outcome),
            is_store_available=lambda _store: True,
            on_prefill_changed=lambda _state: None,
            refresh_loads=refresh_loads,
        )
        now = self.loop.now()
        self.exchange = FakeExchange(HttpRequest(b"POST", b"/a/x", [], b"b", now))
        parts = PARTS if model else ()
        call = Call(b"r1", "a.example", "/a/x", b"k1", 3.0, model, parts, 110, 0)
        self.route = custom_route or route()
        admitted = AdmittedRequest(
            call, self.route, None, "s", now + 3.0, now + self.route.timeout_s
        )
        for _ in range(tokens_per_s and MINIMUM_SAMPLES):
            self.services.overload_guard("s").prefill_rate.add_sample(tokens_per_s, 1.0)
        self.forwarder = RequestForwarder(self.services, self.exchange, admitted, lambda _f: None)
        setup(self)
        self.forwarder.start()

    def run(self, seconds):
        self.loop.run_until(self.loop.now() + seconds)
        return self


def test_a_complete_response_is_returned():
    case = ForwardingCase([GOOD]).run(0.1)
    assert case.exchange.responses[0][0] == 200
    assert case.outcomes == ["served"]
    assert all(item.in_flight == 0 and item.pending_prefill_tokens == 0 for item in case.states)


def test_a_waiting_request_is_not_repeated_beyond_the_retry_budget():
    """Guards against retries after each wait that are not counted against the retry budget."""
    case = ForwardingCase([FULL] * 9, budget_slack=0.0).run(1.0)
    assert len(case.pool.sent) == 1
    assert case.exchange.responses[0][0] == 503


def test_a_refusal_has_a_retry_time_and_is_sent_within_the_waiting_share():
    draining = [state("i-0", is_draining=True)]
    case = ForwardingCase(states=draining)
    case.run(DEFAULTS.forwarding.waiting_share * case.route.objective_s + 0.01)
    status, headers, _ = case.exchange.responses[0]
    assert status == 503 and float(headers[b"Retry-After"]) > 0
    assert case.pool.sent == []


def test_a_waiting_request_is_sent_to_a_runner_that_becomes_available():
    runners = [state("i-0")]
    runners[0].loading_until = FakeLoop().now() + 0.03
    case = ForwardingCase([GOOD], states=runners).run(0.2)
    assert case.exchange.responses[0][0] == 200


@pytest.mark.parametrize("kind", [RouteKind.UNSAFE, RouteKind.STREAM])
def test_an_unrepeatable_request_that_may_have_run_gets_an_unknown_outcome(kind):
    case = ForwardingCase([None, GOOD], custom_route=route(kind=kind)).run(0.1)
    assert len(case.pool.sent) == 1
    assert case.exchange.responses[0][0] == 502


def test_a_safe_request_is_repeated_at_another_runner_after_a_server_error():
    failed = (500, [(b"X-Response-Stamp", b"s")], b"no")
    case = ForwardingCase([failed, GOOD]).run(0.1)
    assert len(set(case.pool.sent)) == 2
    assert case.exchange.responses[0][0] == 200


def test_the_server_error_of_the_last_attempt_is_returned_unchanged():
    failed = (500, [(b"X-Response-Stamp", b"s")], b"no")
    case = ForwardingCase([failed, failed]).run(0.1)
    assert case.exchange.responses[0][0] == 500 and case.exchange.responses[0][2] == b"no"


def test_a_callers_disconnect_closes_the_runner_connection_at_once():
    case = ForwardingCase().run(0.01)
    case.exchange.on_disconnect()
    assert case.pool.connections[0].is_closed
    assert case.states[0].in_flight + case.states[1].in_flight == 0


def test_a_request_without_a_runner_response_ends_at_the_routes_timeout():
    case = ForwardingCase(custom_route=route(kind=RouteKind.UNSAFE, timeout_s=0.5))
    case.run(0.49)
    assert case.exchange.responses == []
    case.run(0.02)
    assert case.exchange.responses[0][0] == 504
    assert case.pool.connections[0].is_closed


def test_placement_uses_the_latest_loads_of_other_routers():
    states = [state("i-0"), state("i-1")]

    def report_load():
        states[0].other_requests = 6

    case = ForwardingCase([GOOD], states=states, refresh_loads=report_load).run(0.1)
    assert case.pool.sent == ["i-1"]


def test_the_longest_gap_of_a_stream_is_logged_at_its_end(monkeypatch):
    lines = []
    monkeypatch.setattr(
        request_trace, "log_event", lambda event, **fields: lines.append((event, fields))
    )
    stream = route(kind=RouteKind.STREAM, timeout_s=20.0)
    case = ForwardingCase(custom_route=stream)
    reader = case.pool.readers[0]
    head = [(b"X-Response-Stamp", b"s"), (b"Content-Type", b"text/event-stream")]
    reader.on_head(200, head, None)
    for number, pause_s in enumerate((0.3, 0.1, 0.6, 0.2), start=1):
        case.loop.time += pause_s
        reader.on_body(b"id: %d\ndata: x\n\n" % number)
    reader.on_complete()
    event, fields = lines[-1]
    assert event == "served"
    assert fields["first_ms"] == 300 and fields["longest_gap_ms"] == 600


def test_a_request_queued_at_overdue_weights_moves_to_another_runner():
    old, new = state("i-0", weights={"m": 1}), state("i-1", weights={"m": 1})
    resumable = route(kind=RouteKind.STREAM, is_resumable=True, timeout_s=20.0)
    case = ForwardingCase(custom_route=resumable, states=[old, new], model="m").run(0.01)
    first = case.pool.sent[0]
    other = new if first == "i-0" else old
    other.record_weights("m", 2)
    case.weights.put(TargetWeights("m", 2), case.loop.now())
    move_off_old_weights(case.services, case.forwarder, case.loop.now() + 7.0)
    assert len(case.pool.sent) == 1
    case.loop.time += 7.5
    move_off_old_weights(case.services, case.forwarder, case.loop.now())
    assert case.pool.sent == [first, other.runner.instance]
    assert case.pool.connections[0].is_closed


def test_a_prompt_is_refused_unsent_if_every_runner_would_prefill_it_late():
    """Guards against overload: at twice the prefill capacity nearly all responses were late."""
    busy = [state("i-0"), state("i-1")]
    for item in busy:
        item.other_prefill_tokens = 60_000
    case = ForwardingCase(states=busy, model="m", tokens_per_s=40_000).run(0.2)
    status, headers, _ = case.exchange.responses[0]
    assert (status, case.pool.sent) == (503, [])
    assert float(headers[b"Retry-After"]) == 1.5


def test_a_prompt_is_rejected_at_once_under_overload(monkeypatch):
    """Guards against waiting prompts of 79 routers all sent to the first runner that got free."""
    lines = []
    monkeypatch.setattr(
        request_trace, "log_warning", lambda event, **fields: lines.append((event, fields))
    )
    busy = [state("i-0")]
    busy[0].other_prefill_tokens = 60_000
    case = ForwardingCase([GOOD], states=busy, model="m", tokens_per_s=40_000)
    assert case.exchange.responses[0][0] == 503
    held_back = next(fields for event, fields in lines if event == "held_back")
    assert (held_back["backlog"], held_back["wait_ms"]) == (60_000, 1_500)
    busy[0].other_prefill_tokens = 0
    assert case.run(0.1).pool.sent == []


def test_requests_without_a_prompt_ignore_the_prefill_backlog():
    busy = [state("i-0")]
    busy[0].other_prefill_tokens = 60_000
    assert ForwardingCase([GOOD], states=busy, tokens_per_s=40_000).run(0.01).pool.sent == ["i-0"]


def test_the_prefill_rate_is_measured_from_first_tokens():
    stream = route(kind=RouteKind.STREAM, timeout_s=20.0)
    runners = [state("i-0")]
    runners[0].other_prefill_tokens = 4_000
    case = ForwardingCase(custom_route=stream, states=runners, model="m")
    case.loop.time += 0.25
    reader = case.pool.readers[0]
    reader.on_head(200, [(b"X-Response-Stamp", b"s")], None)
    reader.on_body(b"id: 1\ndata: x\n\n")
    case.loop.time += 5.0
    reader.on_body(b"id: 2\ndata: x\n\n")
    speed = case.services.overload_guard("s").prefill_rate
    assert speed.samples == 1
    assert speed.tokens / speed.seconds == pytest.approx(4_110 / 0.25)


LOST_RESPONSE = None
"""A script entry for a connection that closes without a response."""


def with_crash_records(crashes, runner_crashes=False):
    """Return a setup that records crashes of earlier runner instances under the request."""

    def record_crashes(case):
        fingerprint = request_fingerprint(case.exchange.request, case.forwarder.admitted)
        for number in range(crashes):
            case.services.suspects.table.record_crash(
                fingerprint, f"gone-{number}", case.loop.now()
            )
        if runner_crashes:
            case.probes.refused.add(case.states[0].runner.address)

    return record_crashes


def test_a_request_that_crashed_three_runners_is_refused_unsent():
    case = ForwardingCase([GOOD], setup=with_crash_records(3))
    assert case.pool.sent == [] and case.outcomes == ["refused"]
    status, headers, _ = case.exchange.responses[0]
    assert status == 503
    assert float(headers[b"Retry-After"]) > 3_000


def test_a_request_that_crashes_a_third_runner_is_not_sent_to_a_fourth():
    thrice = route(maximum_attempts=3)
    case = ForwardingCase(
        [LOST_RESPONSE, GOOD], custom_route=thrice, setup=with_crash_records(2, True)
    ).run(0.1)
    assert len(case.pool.sent) == 1
    assert case.exchange.responses[0][0] == 502


def test_a_request_is_repeated_if_its_connection_was_reset_without_a_crash():
    case = ForwardingCase([LOST_RESPONSE, GOOD], setup=with_crash_records(2)).run(0.1)
    assert len(case.pool.sent) == 2 and case.outcomes == ["served"]


def test_a_complete_run_clears_the_crash_records_of_a_request():
    case = ForwardingCase([GOOD], setup=with_crash_records(2)).run(0.1)
    fingerprint = request_fingerprint(case.exchange.request, case.forwarder.admitted)
    assert case.outcomes == ["served"]
    assert case.services.suspects.table.crash_count(fingerprint) == 0


def test_all_routers_send_a_suspect_request_to_the_same_runner():
    loads = [(0, 5, 9), (9, 0, 5), (5, 9, 0)]
    chosen = set()
    for load in loads:
        states = [state(f"i-{n}") for n in range(3)]
        for each, in_flight in zip(states, load, strict=True):
            each.other_requests = in_flight
        chosen.update(
            ForwardingCase([GOOD], states=states, setup=with_crash_records(1)).run(0.1).pool.sent
        )
    assert len(chosen) == 1


def test_a_runner_restart_during_a_request_is_recorded_as_its_crash():
    case = ForwardingCase(states=[state("i-0~1", name="i-0")])
    case.services.runners.put(case.states[0].runner)
    case.services.runners.put(state("i-0~2", name="i-0").runner)
    move_off_replaced_runner(case.services, case.forwarder)
    fingerprint = request_fingerprint(case.exchange.request, case.forwarder.admitted)
    assert case.services.suspects.table.crash_count(fingerprint) == 1
