"""Tests of the engine adapter against the stand-in engine and its faults."""

import concurrent.futures
import json
import threading
import time

import pytest
import urllib3
from deployment import free_address, wait_until

from engine_server import SLOW, running_engine, served, text_of
from martenrun.backends import attempt as attempt_module
from martenrun.backends.attempt import EngineAttempt
from martenrun.backends.engine import AttemptOutcome, EngineRequest
from martenrun.backends.stream_progress import StreamProgress
from martenrun.standins.engine.refusals import RefusedError
from martenrun.standins.engine.scheduler import Batch, Load, LoadReport


@pytest.fixture(scope="module")
def engine():
    with running_engine() as running:
        yield running


@pytest.fixture(autouse=True)
def no_faults_left(request):
    yield
    if "engine" in request.fixturenames:
        request.getfixturevalue("engine").set_faults()


def test_a_stream_counts_as_complete_only_with_its_terminator(engine):
    events, result = engine.run()
    assert (result.outcome, result.output_tokens, len(events)) == (AttemptOutcome.COMPLETE, 8, 10)
    engine.set_faults(omit_terminator=True)
    events, result = engine.run()
    assert len(text_of(events).split()) == 8
    assert result.outcome is AttemptOutcome.BROKEN


@pytest.mark.parametrize("cut", range(9))
def test_a_stream_cut_anywhere_resumes_at_the_exact_token(engine, cut):
    whole = text_of(engine.run()[0])
    engine.set_faults(cut_after_tokens=cut, cut_streams=1)
    events, result = engine.run()
    assert result.outcome is (AttemptOutcome.BROKEN if cut else AttemptOutcome.UNKNOWN)
    so_far = text_of(events)
    events, result = engine.run(resume_from=cut, resume_text=so_far)
    assert result.outcome is AttemptOutcome.COMPLETE
    assert so_far + text_of(events) == whole
    assert result.output_tokens == 8


@pytest.mark.parametrize(
    "fields",
    [
        {"incarnation": "dead"},
        {"weights_version": "v2"},
        {"resume_from": 2, "resume_text": "not what the engine says "},
    ],
    ids=["incarnation", "weights", "resume"],
)
def test_a_typed_refusal_was_not_run(engine, fields):
    _events, result = engine.run(request_id=f"refused-{fields}", **fields)
    assert result.outcome is AttemptOutcome.NOT_RUN
    assert f"refused-{fields}" not in executed(engine)


def refuse_untyped(environ, start_response):
    start_response(environ["PATH_INFO"].strip("/") + " Refused", [])
    return [b'{"error": {"message": "somebody in between refuses"}}']


def test_a_refused_connection_was_not_run_and_an_untyped_refusal_may_have_been():
    def outcome(address, path):
        attempt = EngineAttempt(address, EngineRequest(path, b"{}", "", True), StreamProgress())
        assert list(attempt.events()) == []
        return attempt.result.outcome

    assert outcome(free_address(), "/v1/completions") is AttemptOutcome.NOT_RUN
    with served(refuse_untyped) as address:
        for status in (412, 429, 500):
            assert outcome(address, f"/{status}") is AttemptOutcome.UNKNOWN


@pytest.mark.parametrize("stream", [True, False])
def test_an_answer_may_begin_later_than_a_connection_may_take(stream, monkeypatch):
    monkeypatch.setattr(attempt_module, "ENGINE_CONNECT_TIMEOUT_S", 0.05)
    late_s = 0.2

    def answer_late(environ, start_response):
        time.sleep(late_s)
        start_response("200 OK", [])
        return iter([b"data: [DONE]\n\n"]) if stream else [b"{}"]

    with served(answer_late) as address:
        for limit_s, expected in (
            (late_s / 2, AttemptOutcome.UNKNOWN),
            (60.0, AttemptOutcome.COMPLETE),
        ):
            request = EngineRequest("/", b"{}", "", stream, first_event_timeout_s=limit_s)
            attempt = EngineAttempt(address, request, StreamProgress())
            list(attempt.events())
            attempt.close()
            assert attempt.result.outcome is expected


def test_a_crash_breaks_streams_and_comes_back_empty_under_the_same_address():
    with running_engine(times=SLOW) as engine:
        engine.run(prompt="x" * 8_000, max_tokens=1)
        before = engine.connections.describe(engine.address)
        assert before.cached_blocks == 2
        attempt = engine.attempt(request_id="cut", max_tokens=1_000)
        events = attempt.events()
        next(events)
        engine.set_faults(crash=True)
        list(events)
        assert attempt.result.outcome is AttemptOutcome.BROKEN
        after = engine.connections.describe(engine.address)
        assert after.incarnation != before.incarnation
        assert after.cached_blocks == 0
        assert engine.run(incarnation=before.incarnation)[1].outcome is AttemptOutcome.NOT_RUN
        assert executed(engine) == ["r", "cut"]


def test_a_cancelled_stream_ends_without_its_terminator_and_frees_its_slot():
    with running_engine(times=SLOW, slots=1) as engine:
        attempt = engine.attempt(request_id="long", max_tokens=1_000)
        events = attempt.events()
        next(events)
        assert engine.run()[1].outcome is AttemptOutcome.NOT_RUN
        engine.connections.cancel(engine.address, "long")
        list(events)
        assert attempt.result.outcome is AttemptOutcome.BROKEN
        assert engine.run(max_tokens=1)[1].outcome is AttemptOutcome.COMPLETE


def test_a_frozen_engine_answers_once_it_goes_on(engine):
    engine.set_faults(freeze=True)
    with concurrent.futures.ThreadPoolExecutor() as threads:
        future = threads.submit(engine.run)
        with pytest.raises(concurrent.futures.TimeoutError):
            future.result(timeout=0.2)
        engine.set_faults()
        assert future.result()[1].outcome is AttemptOutcome.COMPLETE


def test_an_answer_that_is_not_streamed_is_complete_only_as_a_whole():
    with running_engine(times=SLOW) as engine:
        _events, result = engine.run(stream=False)
        assert result.outcome is AttemptOutcome.COMPLETE
        assert json.loads(result.body)["usage"]["completion_tokens"] == 8
        with concurrent.futures.ThreadPoolExecutor() as threads:
            future = threads.submit(engine.run, request_id="lost", stream=False, max_tokens=1_000)
            wait_until(lambda: "lost" in executed(engine), "it runs", 5.0)
            engine.set_faults(crash=True)
            assert future.result()[1].outcome is AttemptOutcome.UNKNOWN


def test_waiting_requests_get_slots_by_priority_and_a_full_queue_refuses():
    batch = Batch(slots=1, queue_depth=3)
    batch.enter(0, lambda: None)
    order = []

    def enter(priority):
        batch.enter(priority, lambda: None)
        order.append(priority)
        batch.leave()

    threads = [threading.Thread(target=enter, args=(priority,)) for priority in (1, 5, 3)]
    for thread in threads:
        thread.start()
    wait_until(lambda: batch.load == Load(running=1, waiting=3), "three wait", 5.0)
    with pytest.raises(RefusedError):
        batch.enter(9, lambda: None)
    batch.leave()
    for thread in threads:
        thread.join()
    assert order == [5, 3, 1]


def test_a_load_report_is_as_old_as_its_lag():
    report = LoadReport(lag_s=2.0)
    report.record(Load(running=3), now=10.0)
    assert report.shown(11.9) == Load()
    assert report.shown(12.0) == Load(running=3)


def executed(engine):
    return urllib3.request("GET", f"http://{engine.address}/v1/executed").json()
