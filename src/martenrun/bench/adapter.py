"""Benchmark: CPU time of the engine adapter for each streamed piece.

A server within this process streams prepared pieces; the CPU time is that of the reading
thread alone.  Unpaced pieces arrive many at a time; paced ones are read one by one.
"""

import json
import statistics
import time
from collections.abc import Callable, Iterable, Iterator
from dataclasses import asdict, dataclass
from typing import Any

import click

from martenrun.backends.attempt import EngineAttempt
from martenrun.backends.engine import AttemptOutcome, EngineRequest
from martenrun.backends.stream_progress import StreamProgress
from martenrun.edge.server import HttpServer

_PIECE = (
    b'data: {"id":"r","object":"chat.completion.chunk","created":0,"model":"m","choices":'
    b'[{"index":0,"finish_reason":null,"delta":{"content":"season-17 ","role":"assistant"}}]}\n\n'
)
_TERMINATOR = b"data: [DONE]\n\n"


@dataclass(frozen=True)
class AdapterMeasurement:
    """Result: CPU microseconds for each piece, median and extremes over the runs."""

    pieces: int
    pause_ms: float
    runs: int
    median_us: float
    least_us: float
    most_us: float


def _application(pieces: int, pause_s: float) -> Callable[..., Iterable[bytes]]:
    def stream() -> Iterator[bytes]:
        for _index in range(pieces):
            if pause_s:
                time.sleep(pause_s)
            yield _PIECE
        yield _TERMINATOR

    def application(environ: dict[str, Any], start_response: Any) -> Iterable[bytes]:
        start_response("200 OK", [("Content-Type", "text/event-stream")])
        return stream()

    return application


def measure(pieces: int, pause_ms: float, runs: int) -> AdapterMeasurement:
    """Read some streams and return the CPU time for each piece."""
    server = HttpServer(_application(pieces, pause_ms / 1000), "127.0.0.1:0", threads=4)
    server.start()
    times_us = []
    try:
        for _run in range(runs):
            request = EngineRequest("/v1/chat/completions", b"{}", "", True)
            address = f"127.0.0.1:{server.port}"
            attempt = EngineAttempt(address, request, StreamProgress())
            started = time.thread_time()
            read = sum(1 for _event in attempt.events())
            times_us.append((time.thread_time() - started) / pieces * 1e6)
            attempt.close()
            if attempt.result.outcome is not AttemptOutcome.COMPLETE or read != pieces + 1:
                raise RuntimeError(f"the stream was not whole: {attempt.result}")
    finally:
        server.stop()
    return AdapterMeasurement(
        pieces,
        pause_ms,
        runs,
        round(statistics.median(times_us), 1),
        round(min(times_us), 1),
        round(max(times_us), 1),
    )


@click.command()
@click.option("--pieces", default=2_000, show_default=True)
@click.option("--pause-ms", default=0.0, show_default=True, help="Time between two pieces.")
@click.option("--runs", default=5, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON line.")
def adapter(pieces: int, pause_ms: float, runs: int, as_json: bool) -> None:
    """Measure the engine adapter's CPU time for each streamed piece."""
    result = asdict(measure(pieces, pause_ms, runs))
    line = " ".join(f"{name}={value}" for name, value in result.items())
    click.echo(json.dumps(result) if as_json else line)
