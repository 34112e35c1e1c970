"""One request on its way, against runners that answer as told, in virtual time."""

import attrs
import pytest

from martenrun.net.http import HttpRequest
from martenrun.platform import DIALECT
from martenrun.router import trail
from martenrun.router.decisions import DEFAULTS
from martenrun.router.fingerprint import request_fingerprint
from martenrun.router.forwarding import Forwarding
from martenrun.router.knowledge import ConfigurationKnowledge, RunnerDirectory, WeightsKnowledge
from martenrun.router.messages import Admitted, Call, PromptPart, RouteKind, WantedWeights
from martenrun.router.placement import Placement
from martenrun.router.reading_speed import LEAST_SAMPLES
from martenrun.router.world import World

from .builders import bounds, configuration, route, state
from .crash_world import Probes, crash_tracker
from .fakes import FakeLoop

PARTS = (PromptPart(b"aa", 100), PromptPart(b"bb", 10))
FULL = (503, [(b"X-Not-Executed", b"1")], b"")
GOOD = (200, [(b"X-Response-Stamp", b"s")], b"ok")


@attrs.define
class FakeExchange:
    """The caller's side."""

    request: HttpRequest
    answers: list = attrs.field(factory=list)
    has_started: bool = False
    is_over: bool = False
    is_congested: bool = False
    is_aborted: bool = False
    on_gone: object = None
    on_drained: object = None

    def respond(self, status, headers, body=b"", is_closing=False):
        self.answers.append((status, dict(headers), body))
        self.is_over = True

    def start(self, status, headers, length):
        self.has_started = True

    def send(self, data):
        self.answers.append(data)

    def end(self):
        self.is_over = True

    def abort(self):
        self.is_aborted = self.is_over = True


class FakeConnection:
    def __init__(self):
        self.is_closed = False

    def close(self):
        self.is_closed = True

    def pause(self, is_paused):
        pass


class FakePool:
    """Runners that answer from a script, or stay silent at its end."""

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

    def note_broken(self, connection):
        pass

    def send(self, chosen, data, reader, expected_id, may_repeat):
        self.sent.append(chosen.runner.instance)
        connection = FakeConnection()
        self.connections.append(connection)
        self.readers.append(reader)
        reader.on_sent()
        if self.script:
            answer = self.script.pop(0)
            self._loop.call_later(0.001, lambda: self._answer(reader, answer))
        return connection

    @staticmethod
    def _answer(reader, answer):
        if answer is None:
            reader.on_broken(True)
            return
        status, headers, body = answer
        reader.on_head(status, headers, len(body))
        reader.on_body(body)
        reader.on_complete()


class Played:
    def __init__(
        self,
        script=(),
        budget_slack=54.0,
        the_route=None,
        states=None,
        model=None,
        refresh_loads=lambda: None,
        tokens_per_s=0,
        before=lambda _played: None,
    ):
        self.loop = FakeLoop()
        self.states = [state(f"i-{n}") for n in range(3)] if states is None else states
        self.pool = FakePool(self.loop, self.states, script)
        limits = bounds(budget_slack=budget_slack, budget_ratio=0.0)
        settings = type("Settings", (), {"bounds": limits, "zone": "z1"})()
        self.weights = WeightsKnowledge()
        knowledge = ConfigurationKnowledge()
        knowledge.take(configuration(1))
        knowledge.confirm(self.loop.now())
        self.ends = []
        self.probes = Probes()
        self.world = World(
            loop=self.loop,
            settings=settings,
            dialect=DIALECT,
            configuration=knowledge,
            runners=RunnerDirectory(),
            weights=self.weights,
            pool=self.pool,
            placement=Placement(),
            suspects=crash_tracker(self.loop, self.probes),
            node_count=lambda: 1,
            count=lambda outcome, _route, _seconds: self.ends.append(outcome),
            store_works=lambda _store: True,
            note_reading=lambda _state: None,
            refresh_loads=refresh_loads,
        )
        now = self.loop.now()
        self.exchange = FakeExchange(HttpRequest(b"POST", b"/a/x", [], b"b", now))
        parts = PARTS if model else ()
        call = Call(b"r1", "a.example", "/a/x", b"k1", 3.0, model, parts, 110, 0)
        self.route = the_route or route()
        admitted = Admitted(call, self.route, None, "s", now + 3.0, now + self.route.timeout_s)
        for _ in range(tokens_per_s and LEAST_SAMPLES):
            self.world.guard("s").speed.note(tokens_per_s, 1.0)
        self.forwarding = Forwarding(self.world, self.exchange, admitted, lambda _f: None)
        before(self)
        self.forwarding.start()

    def run(self, seconds):
        self.loop.run_until(self.loop.now() + seconds)
        return self


def test_a_good_answer_is_passed_on():
    played = Played([GOOD]).run(0.1)
    assert played.exchange.answers[0][0] == 200
    assert played.ends == ["served"]
    assert all(item.in_flight == 0 and item.reading == 0 for item in played.states)


def test_a_request_that_waits_for_a_runner_keeps_within_the_retry_budget():
    """It was sent again after each wait without asking the budget: BUDGET on the bench."""
    played = Played([FULL] * 9, budget_slack=0.0).run(1.0)
    assert len(played.pool.sent) == 1
    assert played.exchange.answers[0][0] == 503


def test_a_refusal_names_a_time_and_comes_within_a_fifth_of_the_objective():
    nobody = [state("i-0", is_draining=True)]
    played = Played(states=nobody)
    played.run(DEFAULTS.forwarding.waiting_share * played.route.objective_s + 0.01)
    status, headers, _ = played.exchange.answers[0]
    assert status == 503 and float(headers[b"Retry-After"]) > 0
    assert played.pool.sent == []


def test_a_request_finds_the_runner_that_becomes_free_while_it_waits():
    only = [state("i-0")]
    only[0].loading_until = FakeLoop().now() + 0.03
    played = Played([GOOD], states=only).run(0.2)
    assert played.exchange.answers[0][0] == 200


@pytest.mark.parametrize("kind", [RouteKind.UNSAFE, RouteKind.STREAM])
def test_what_must_not_repeat_ends_as_unknown_once_it_may_have_run(kind):
    played = Played([None, GOOD], the_route=route(kind=kind)).run(0.1)
    assert len(played.pool.sent) == 1
    assert played.exchange.answers[0][0] == 502


def test_a_failed_run_of_a_safe_request_goes_to_another_runner():
    failed = (500, [(b"X-Response-Stamp", b"s")], b"no")
    played = Played([failed, GOOD]).run(0.1)
    assert len(set(played.pool.sent)) == 2
    assert played.exchange.answers[0][0] == 200


def test_the_last_failed_run_is_passed_on_as_it_is():
    failed = (500, [(b"X-Response-Stamp", b"s")], b"no")
    played = Played([failed, failed]).run(0.1)
    assert played.exchange.answers[0][0] == 500 and played.exchange.answers[0][2] == b"no"


def test_a_caller_that_leaves_closes_the_runners_connection_at_once():
    played = Played().run(0.01)
    played.exchange.on_gone()
    assert played.pool.connections[0].is_closed
    assert played.states[0].in_flight + played.states[1].in_flight == 0


def test_a_silent_runners_request_is_answered_at_the_routes_timeout():
    played = Played(the_route=route(kind=RouteKind.UNSAFE, timeout_s=0.5))
    played.run(0.49)
    assert played.exchange.answers == []
    played.run(0.02)
    assert played.exchange.answers[0][0] == 504
    assert played.pool.connections[0].is_closed


def test_a_request_is_placed_by_the_loads_that_other_routers_told_last():
    states = [state("i-0"), state("i-1")]

    def told():
        states[0].elsewhere = 6

    played = Played([GOOD], states=states, refresh_loads=told).run(0.1)
    assert played.pool.sent == ["i-1"]


def test_the_longest_pause_of_a_stream_is_told_when_it_ends(monkeypatch):
    lines = []
    monkeypatch.setattr(trail, "log_event", lambda event, **fields: lines.append((event, fields)))
    stream = route(kind=RouteKind.STREAM, timeout_s=20.0)
    played = Played(the_route=stream)
    reader = played.pool.readers[0]
    head = [(b"X-Response-Stamp", b"s"), (b"Content-Type", b"text/event-stream")]
    reader.on_head(200, head, None)
    for number, pause_s in enumerate((0.3, 0.1, 0.6, 0.2), start=1):
        played.loop.time += pause_s
        reader.on_body(b"id: %d\ndata: x\n\n" % number)
    reader.on_complete()
    event, fields = lines[-1]
    assert event == "served"
    assert fields["first_ms"] == 300 and fields["longest_gap_ms"] == 600


def test_a_request_that_waits_at_overdue_weights_is_sent_elsewhere():
    old, new = state("i-0", weights={"m": 1}), state("i-1", weights={"m": 1})
    resumable = route(kind=RouteKind.STREAM, is_resumable=True, timeout_s=20.0)
    played = Played(the_route=resumable, states=[old, new], model="m").run(0.01)
    first = played.pool.sent[0]
    other = new if first == "i-0" else old
    other.learn_weights("m", 2)
    played.weights.take(WantedWeights("m", 2), played.loop.now())
    played.forwarding.leave_old_weights(played.loop.now() + 7.0)
    assert len(played.pool.sent) == 1
    played.loop.time += 7.5
    played.forwarding.leave_old_weights(played.loop.now())
    assert played.pool.sent == [first, other.runner.instance]
    assert played.pool.connections[0].is_closed


def test_a_prompt_that_all_runners_would_read_late_is_refused_before_it_is_sent():
    """Twice the traffic that the runners can read made nearly every answer late or fail."""
    busy = [state("i-0"), state("i-1")]
    for item in busy:
        item.reading_elsewhere = 60_000
    played = Played(states=busy, model="m", tokens_per_s=40_000).run(0.2)
    status, headers, _ = played.exchange.answers[0]
    assert (status, played.pool.sent) == (503, [])
    assert float(headers[b"Retry-After"]) == 1.5


def test_a_prompt_is_held_back_at_once_not_until_the_backlog_is_read(monkeypatch):
    """Among 79 routers the prompts that waited all went to the runner that became free first."""
    lines = []
    monkeypatch.setattr(trail, "log_trouble", lambda event, **fields: lines.append((event, fields)))
    busy = [state("i-0")]
    busy[0].reading_elsewhere = 60_000
    played = Played([GOOD], states=busy, model="m", tokens_per_s=40_000)
    assert played.exchange.answers[0][0] == 503
    held_back = next(fields for event, fields in lines if event == "held_back")
    assert (held_back["backlog"], held_back["wait_ms"]) == (60_000, 1_500)
    busy[0].reading_elsewhere = 0
    assert played.run(0.1).pool.sent == []


def test_requests_without_a_prompt_do_not_wait_for_prompts():
    busy = [state("i-0")]
    busy[0].reading_elsewhere = 60_000
    assert Played([GOOD], states=busy, tokens_per_s=40_000).run(0.01).pool.sent == ["i-0"]


def test_the_speed_of_reading_is_learned_from_first_tokens():
    stream = route(kind=RouteKind.STREAM, timeout_s=20.0)
    only = [state("i-0")]
    only[0].reading_elsewhere = 4_000
    played = Played(the_route=stream, states=only, model="m")
    played.loop.time += 0.25
    reader = played.pool.readers[0]
    reader.on_head(200, [(b"X-Response-Stamp", b"s")], None)
    reader.on_body(b"id: 1\ndata: x\n\n")
    played.loop.time += 5.0
    reader.on_body(b"id: 2\ndata: x\n\n")
    speed = played.world.guard("s").speed
    assert speed.samples == 1
    assert speed.tokens / speed.seconds == pytest.approx(4_110 / 0.25)


LOST = None
"""An answer that never comes: its connection ends."""


def blamed_for(starts, runners_end=False):
    """Let some starts have ended under the request before it comes."""

    def blame(played):
        run = request_fingerprint(played.exchange.request, played.forwarding.admitted)
        for number in range(starts):
            played.world.suspects.table.record_crash(run, f"gone-{number}", played.loop.now())
        if runners_end:
            played.probes.refused.add(played.states[0].runner.address)

    return blame


def test_a_request_that_has_ended_three_runners_is_refused_at_once_and_not_sent():
    played = Played([GOOD], before=blamed_for(3))
    assert played.pool.sent == [] and played.ends == ["refused"]
    status, headers, _ = played.exchange.answers[0]
    assert status == 503
    assert float(headers[b"Retry-After"]) > 3_000


def test_a_request_that_ends_a_third_runner_is_not_sent_to_a_fourth():
    thrice = route(maximum_attempts=3)
    played = Played([LOST, GOOD], the_route=thrice, before=blamed_for(2, True)).run(0.1)
    assert len(played.pool.sent) == 1
    assert played.exchange.answers[0][0] == 502


def test_a_request_whose_connection_was_reset_goes_on_elsewhere():
    played = Played([LOST, GOOD], before=blamed_for(2)).run(0.1)
    assert len(played.pool.sent) == 2 and played.ends == ["served"]


def test_a_suspect_that_runs_whole_is_cleared():
    played = Played([GOOD], before=blamed_for(2)).run(0.1)
    run = request_fingerprint(played.exchange.request, played.forwarding.admitted)
    assert played.ends == ["served"]
    assert played.world.suspects.table.crash_count(run) == 0


def test_all_routers_give_a_suspect_to_one_runner():
    loads = [(0, 5, 9), (9, 0, 5), (5, 9, 0)]
    chosen = set()
    for load in loads:
        states = [state(f"i-{n}") for n in range(3)]
        for each, in_flight in zip(states, load, strict=True):
            each.elsewhere = in_flight
        chosen.update(Played([GOOD], states=states, before=blamed_for(1)).run(0.1).pool.sent)
    assert len(chosen) == 1


def test_a_runner_that_started_anew_under_a_request_blames_it():
    played = Played(states=[state("i-0~1", name="i-0")])
    played.world.runners.put(played.states[0].runner)
    played.world.runners.put(state("i-0~2", name="i-0").runner)
    played.forwarding.leave_ended_runner()
    run = request_fingerprint(played.exchange.request, played.forwarding.admitted)
    assert played.world.suspects.table.crash_count(run) == 1
