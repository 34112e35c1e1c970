"""The log never blocks on its reader, has bounded memory and keeps lines about failures."""

import json
import os

import pytest

from martenrun.cli.explain import explanation, read_lines
from martenrun.router.log import BUFFERED_BYTES, LINES_PER_KIND_PER_S, EventLog
from martenrun.router.metrics import Metrics, Sample


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    os.set_blocking(reader, False)
    yield reader, writer
    os.close(reader)
    os.close(writer)


def open_log(writer):
    log = EventLog(writer)
    log.open("n1")
    return log


def read_log_lines(reader):
    return [json.loads(line) for line in os.read(reader, 1_000_000).splitlines()]


def test_lines_are_json_objects_without_null_fields(pipe):
    reader, writer = pipe
    open_log(writer).write("served", False, {"request": "r1", "reason": None})
    (line,) = read_log_lines(reader)
    assert line["node"] == "n1" and line["event"] == "served" and line["request"] == "r1"
    assert "reason" not in line


def test_routine_lines_are_limited_and_failures_still_written(pipe, monkeypatch):
    reader, writer = pipe
    clock = [100.0]
    monkeypatch.setattr("martenrun.router.log.clock.now", lambda: clock[0])
    log = open_log(writer)
    for number in range(LINES_PER_KIND_PER_S * 3):
        log.write("served", False, {"request": f"r{number}"})
    log.write("broken_off", True, {"request": "bad"})
    clock[0] = 101.0
    log.write("served", False, {"request": "next"})
    lines = read_log_lines(reader)
    events = [line["event"] for line in lines]
    assert events.count("served") == LINES_PER_KIND_PER_S + 1
    assert "broken_off" in events
    left_out = next(line for line in lines if line["event"] == "lines_left_out")
    assert left_out["count"] == LINES_PER_KIND_PER_S * 2


def test_a_stopped_reader_does_not_block_writes_or_grow_the_buffer(pipe, monkeypatch):
    reader, writer = pipe
    clock = [100.0]
    monkeypatch.setattr("martenrun.router.log.clock.now", lambda: clock[0])
    log = open_log(writer)
    for number in range(20_000):
        clock[0] += 0.01
        log.write("served", False, {"request": f"r{number}", "text": "x" * 50})
    assert len(log._buffer) < BUFFERED_BYTES + 1_000
    output = b""
    for _ in range(50):
        clock[0] += 1.0
        log.write("served", False, {"request": "after"})
        output += os.read(reader, 1_000_000)
        if b"lines_dropped" in output:
            return
    pytest.fail("the dropped lines were never reported")


def test_an_explanation_orders_steps_by_each_nodes_monotonic_clock():
    lines = [
        '  1.5 n2 {"at":200.0,"steady":9.0,"node":"n2","event":"sent","request":"r"}',
        '{"at":100.0,"steady":5.2,"node":"n1","event":"refused","request":"r","reason":"x"}',
        '{"at":100.5,"steady":5.1,"node":"n1","event":"admitted","request":"r"}',
        '{"at":100.5,"steady":5.1,"node":"n1","event":"admitted","request":"other r"}',
        "no json r",
    ]
    steps = explanation(read_lines(lines, "r"))
    assert [line.split()[3] for line in steps] == ["admitted", "refused", "sent"]
    assert steps[1].endswith("reason=x")


def test_metrics_have_counters_and_histogram_buckets():
    metrics = Metrics(lambda: [Sample("runners", 3)])
    metrics.count("requests", outcome="served", kind="safe")
    metrics.count("requests", outcome="served", kind="safe")
    metrics.time("request", 0.03, kind="safe")
    text = metrics.text().decode()
    assert 'martenrun_requests_total{outcome="served",kind="safe"} 2' in text
    assert 'martenrun_request_seconds_bucket{kind="safe",le="0.025"} 0' in text
    assert 'martenrun_request_seconds_bucket{kind="safe",le="0.05"} 1' in text
    assert 'martenrun_request_seconds_bucket{kind="safe",le="+Inf"} 1' in text
    assert "martenrun_runners 3" in text
