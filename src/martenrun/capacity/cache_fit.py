"""Slopes of what a node learns of caches: feeds of engines, the index of blocks."""

from pathlib import Path

from martenrun.capacity.model import Driver, Figure, Slope
from martenrun.capacity.results import (
    FeedResult,
    IndexResult,
    median_of,
    read_lines,
    read_result,
)

FEEDS_FILE = "engine-feeds.json"
HELD_WAY = "held"
MICROSECONDS_PER_MS = 1_000
NANOSECONDS_PER_MICROSECOND = 1_000
_FEED_RUN = "scripts/measure_feeds.py 32 --way held"
_FEED_MECHANISM = "src/martenrun/node/feeds.py"


def cache_slopes(measurements: Path) -> list[Slope]:
    """Return the lines of engine feeds and of the index."""
    return [*_feeds(measurements), *_index(measurements)]


def _feeds(measurements: Path) -> list[Slope]:
    path = measurements / FEEDS_FILE
    found = read_result(path, list[FeedResult]) if path.exists() else []
    held = [result for result in found if result.way == HELD_WAY]
    idle = [result for result in held if result.events_per_s == 0]
    busy = [result for result in held if result.events_per_s > 0]
    if not idle or not busy:
        return [
            Slope("node", name, driver, "src/martenrun/node/polls.py", _FEED_RUN, "",
                  unmeasured=[Figure.CPU])
            for name, driver in (
                ("engine feeds, quiet", Driver.RUNNERS),
                ("engine feeds, cache events", Driver.CACHE_EVENTS_PER_S),
            )
        ]  # fmt: skip
    quiet_ms = median_of(idle, lambda result: result.cpu_ms_per_s)
    engines = median_of(idle, lambda result: float(result.engines))
    events = median_of(busy, lambda result: result.events_per_s)
    events_ms = median_of(busy, lambda result: result.cpu_ms_per_s) - quiet_ms
    file = f"docs/measurements/{FEEDS_FILE}"
    return [
        Slope("node", "engine feeds, quiet", Driver.RUNNERS, _FEED_MECHANISM, _FEED_RUN, file,
              cpu_us=quiet_ms * MICROSECONDS_PER_MS / engines,
              note="sockets, threads and loop of a real process"),
        Slope("node", "engine feeds, cache events", Driver.CACHE_EVENTS_PER_S, _FEED_MECHANISM,
              _FEED_RUN, file, cpu_us=events_ms * MICROSECONDS_PER_MS / events,
              note="reading, decoding and taking them into the index"),
    ]  # fmt: skip


def _index(measurements: Path) -> list[Slope]:
    name = "routing-index.json"
    lines = [
        result for result in read_lines(measurements / name, IndexResult) if result.kind == "arrays"
    ]
    run = "martenrun bench index --json"
    files = f"docs/measurements/{name}"
    mechanism = "src/martenrun/routing/prefix_index.py"
    blocks = Slope(
        "node", "believed blocks", Driver.BLOCKS, mechanism, run, files,
        state_bytes=median_of(lines, lambda result: result.bytes_per_block),
    )  # fmt: skip
    if (measurements / FEEDS_FILE).exists():
        # The feeds' lines hold the index.
        return [blocks]
    stored_ns = median_of(lines, lambda result: result.stored_ns_per_event)
    removed_ns = median_of(lines, lambda result: result.removed_ns_per_event)
    cpu_us = (stored_ns + removed_ns) / 2 / NANOSECONDS_PER_MICROSECOND
    index = Slope(
        "node", "cache events, index only", Driver.CACHE_EVENTS_PER_S, mechanism, run, files,
        cpu_us=cpu_us,
    )  # fmt: skip
    return [index, blocks]
