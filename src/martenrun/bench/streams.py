"""How many streams one process carries before their quality falls.

Each step starts streams at a fixed rate until a number of them is open at once.  The cost of a
token is that of the time in which all are open; starting a request is no part of it.  A stream's
quality is the time between its tokens, from the first stream's start to the last one's end; a
step is good while every stream is whole and the 95th percentile of the gaps stays below twice the
engine's, so that 95 in 100 tokens are less than one gap late.
"""

import itertools
import math
import time
from dataclasses import dataclass

import click
import msgspec
import urllib3
from prometheus_client.parser import text_string_to_metric_families

from martenrun.bench.path import print_result
from martenrun.bench.process_cost import cpu_s, quantile
from martenrun.load.raw_stream import StreamReader, StreamTarget

GOOD_GAP_FACTOR = 2.0
STARTS_PER_S = 50.0
SETTLE_S = 1.0
WINDOW_S = 6.0
IDLE_S = 3.0
STEP_LIMIT_S = 120.0
_RESIDENT_METRIC = "process_resident_memory_bytes"


class StreamStep(msgspec.Struct):
    """One number of streams; gaps in milliseconds, CPU as a part of one core.

    ``events_per_s``, the CPU and the memory are those of the time in which all streams are open.
    """

    streams: int
    whole: int
    refused: int
    gap_p50_ms: float
    gap_p95_ms: float
    gap_p99_ms: float
    first_token_p50_ms: float
    first_token_p95_ms: float
    first_token_p99_ms: float
    events_per_s: float
    cpu_part: float
    cpu_ms_per_event: float
    memory_kib_per_stream: float
    is_good: bool


class StreamsResult(msgspec.Struct):
    """All steps; ``good_streams`` is the largest number below the first bad step."""

    engine_gap_ms: float
    starts_per_s: float
    idle_cpu_part: float
    idle_memory_kib: float
    good_streams: int
    steps: list[StreamStep]


@dataclass(frozen=True)
class _Spent:
    """What a process has used, at one moment."""

    at_s: float
    cpu_s: float
    memory_kib: float

    @classmethod
    def now(cls, address: str) -> "_Spent":
        response = urllib3.request("GET", f"http://{address}/metrics", timeout=5.0, retries=False)
        found = {
            family.name: family.samples[0].value
            for family in text_string_to_metric_families(response.data.decode())
            if family.samples
        }
        return cls(time.monotonic(), cpu_s(address), found[_RESIDENT_METRIC] / 1_024)


def measure_step(
    target: StreamTarget, streams: int, engine_gap_s: float, idle_memory_kib: float
) -> StreamStep:
    """Keep a number of streams open at once and read them to their ends."""
    reader = StreamReader()
    # One more second: the last stream started must outlast the window.
    least_s = streams / STARTS_PER_S + SETTLE_S + WINDOW_S + 1.0
    for index in range(streams):
        reader.start(target, f"stream {index}", math.ceil(least_s / engine_gap_s))
        reader.read(1.0 / STARTS_PER_S)
    reader.read(SETTLE_S)
    before, events_before = _Spent.now(target.address), _events(reader)
    reader.read(WINDOW_S)
    after, events_after = _Spent.now(target.address), _events(reader)
    reader.read(STEP_LIMIT_S)
    reader.close()
    memory_kib = (after.memory_kib - idle_memory_kib) / streams
    window = _Window(before, after, events_after - events_before, memory_kib)
    return _summary(reader, streams, engine_gap_s, window)


@dataclass(frozen=True)
class _Window:
    """The time in which all streams are open."""

    before: _Spent
    after: _Spent
    events: int
    memory_kib_per_stream: float


def _events(reader: StreamReader) -> int:
    return sum(len(times.events) for times in reader.streams)


def _summary(
    reader: StreamReader, streams: int, engine_gap_s: float, window: _Window
) -> StreamStep:
    served = [times for times in reader.streams if times.events]
    gaps = list(itertools.chain.from_iterable(times.gaps_s for times in served))
    first_tokens = [times.first_token_s for times in served]
    whole = sum(times.is_whole for times in served)
    elapsed_s = window.after.at_s - window.before.at_s
    used_s = window.after.cpu_s - window.before.cpu_s
    p95_s = quantile(gaps, 0.95)
    return StreamStep(
        streams,
        whole,
        sum(times.status not in (0, 200) for times in reader.streams),
        round(quantile(gaps, 0.5) * 1_000, 2),
        round(p95_s * 1_000, 2),
        round(quantile(gaps, 0.99) * 1_000, 2),
        round(quantile(first_tokens, 0.5) * 1_000, 2),
        round(quantile(first_tokens, 0.95) * 1_000, 2),
        round(quantile(first_tokens, 0.99) * 1_000, 2),
        round(window.events / elapsed_s, 1),
        round(used_s / elapsed_s, 3),
        round(used_s / max(1, window.events) * 1_000, 4),
        round(window.memory_kib_per_stream, 1),
        whole == streams and p95_s < GOOD_GAP_FACTOR * engine_gap_s,
    )


@click.command("streams")
@click.option("--edge", required=True, help="IP:port of an agent's or node's HTTP edge.")
@click.option("--model", default="vine-reader", help="Model to ask for.")
@click.option("--key", required=True, help="A caller's key.")
@click.option("--step", "steps", multiple=True, type=click.IntRange(1, 1_000), default=(50, 100))
@click.option("--engine-gap-ms", required=True, type=float, help="The engines' own pace.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def streams(
    edge: str,
    model: str,
    key: str,
    steps: tuple[int, ...],
    engine_gap_ms: float,
    as_json: bool,
) -> None:
    """Measure streams per process (see scripts/bench.py)."""
    target = StreamTarget(edge, model, key)
    idle = _Spent.now(edge)
    time.sleep(IDLE_S)
    rested = _Spent.now(edge)
    idle_cpu_part = (rested.cpu_s - idle.cpu_s) / (rested.at_s - idle.at_s)
    results = [
        measure_step(target, step, engine_gap_ms / 1_000, rested.memory_kib) for step in steps
    ]
    good = itertools.takewhile(lambda step: step.is_good, results)
    result = StreamsResult(
        engine_gap_ms,
        STARTS_PER_S,
        round(idle_cpu_part, 4),
        round(rested.memory_kib, 1),
        max((step.streams for step in good), default=0),
        results,
    )
    print_result(result, as_json)
