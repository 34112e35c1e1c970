"""How many streams one process carries before their quality falls.

Each step keeps a number of streams open at once.  A stream's quality is the time between its
tokens against the engine's own pace; a step is good while every stream is whole and the
95th percentile of the gaps stays below twice the engine's.
"""

import itertools
import time

import click
import msgspec

from martenrun.bench.path import print_result
from martenrun.bench.process_cost import cpu_s, quantile
from martenrun.load.raw_stream import StreamReader, StreamTarget

GOOD_GAP_FACTOR = 2.0
STEP_LIMIT_S = 60.0
START_SPREAD_S = 1.0


class StreamStep(msgspec.Struct):
    """One number of streams; gaps in milliseconds, CPU as a part of one core."""

    streams: int
    whole: int
    refused: int
    gap_p50_ms: float
    gap_p95_ms: float
    gap_p99_ms: float
    first_token_p95_ms: float
    events_per_s: float
    cpu_part: float
    cpu_ms_per_event: float
    is_good: bool


class StreamsResult(msgspec.Struct):
    """All steps; ``good_streams`` is the largest number below the first bad step."""

    engine_gap_ms: float
    output_tokens: int
    good_streams: int
    steps: list[StreamStep]


def measure_step(
    target: StreamTarget, streams: int, output_tokens: int, engine_gap_s: float
) -> StreamStep:
    """Keep a number of streams open at once and read them to their ends."""
    reader = StreamReader()
    cpu_before, started = cpu_s(target.address), time.monotonic()
    for index in range(streams):
        reader.start(target, f"stream {index}", output_tokens)
        reader.read(START_SPREAD_S / streams)
    reader.read(STEP_LIMIT_S)
    elapsed_s = time.monotonic() - started
    used_s = cpu_s(target.address) - cpu_before
    reader.close()
    return _summary(reader, streams, engine_gap_s, elapsed_s, used_s)


def _summary(
    reader: StreamReader, streams: int, engine_gap_s: float, elapsed_s: float, used_s: float
) -> StreamStep:
    served = [times for times in reader.streams if times.events]
    gaps = list(itertools.chain.from_iterable(times.gaps_s for times in served))
    whole = sum(times.is_whole for times in served)
    events = sum(len(times.events) for times in served)
    p95_s = quantile(gaps, 0.95)
    return StreamStep(
        streams,
        whole,
        sum(times.status not in (0, 200) for times in reader.streams),
        round(quantile(gaps, 0.5) * 1_000, 2),
        round(p95_s * 1_000, 2),
        round(quantile(gaps, 0.99) * 1_000, 2),
        round(quantile([times.first_token_s for times in served], 0.95) * 1_000, 2),
        round(events / elapsed_s, 1),
        round(used_s / elapsed_s, 3),
        round(used_s / max(1, events) * 1_000, 3),
        whole == streams and p95_s < GOOD_GAP_FACTOR * engine_gap_s,
    )


@click.command("streams")
@click.option("--edge", required=True, help="IP:port of an agent's or node's HTTP edge.")
@click.option("--model", default="vine-reader", help="Model to ask for.")
@click.option("--key", required=True, help="A caller's key.")
@click.option("--step", "steps", multiple=True, type=click.IntRange(1, 1_000), default=(50, 100))
@click.option("--output-tokens", default=100, type=click.IntRange(1, 10_000))
@click.option("--engine-gap-ms", required=True, type=float, help="The engines' own pace.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def streams(
    edge: str,
    model: str,
    key: str,
    steps: tuple[int, ...],
    output_tokens: int,
    engine_gap_ms: float,
    as_json: bool,
) -> None:
    """Measure streams per process (see scripts/bench.py)."""
    target = StreamTarget(edge, model, key)
    results = [measure_step(target, step, output_tokens, engine_gap_ms / 1_000) for step in steps]
    good = itertools.takewhile(lambda step: step.is_good, results)
    good_streams = max((step.streams for step in good), default=0)
    print_result(StreamsResult(engine_gap_ms, output_tokens, good_streams, results), as_json)
