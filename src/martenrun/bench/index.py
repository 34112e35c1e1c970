"""Benchmark of the prefix index: bytes a block, CPU time an event and a match, beside a dict."""

import dataclasses
import statistics
import time
import tracemalloc
from collections.abc import Callable
from dataclasses import dataclass

import click
import msgspec
import numpy

from martenrun.identity.chain import BlockHashes
from martenrun.routing.beliefs import FED_MEMORY_BYTES
from martenrun.routing.dict_index import DictPrefixIndex
from martenrun.routing.prefix_index import PrefixIndex, PrefixKnowledge, RunnerIdentity
from martenrun.routing.prefix_table import SLOTS_PER_TABLE

BATCH_BLOCKS = 340
"""Events of one runner in a read: 10,800 a second from 32 runners, read once a second."""

CHAIN_BLOCKS = 60
_MATCHES = 2_000
_UNKNOWN_BLOCKS = 1_000_000
_NS_PER_S = 1e9
_MS_PER_S = 1e3
_US_PER_S = 1e6


@dataclass(frozen=True)
class IndexFigures:
    """What one implementation costs.

    Attributes:
        longest_add_ms: longest batch while the index was filled, growth included.
        drop_ms: forgetting everything about one runner.
        lost: share of told blocks that were overwritten for want of room.
        false_matches: share of unknown blocks that some runner is believed to hold.
    """

    kind: str
    blocks: int
    bytes_per_block: float
    stored_ns_per_event: float
    removed_ns_per_event: float
    match_us_p50: float
    match_us_p99: float
    longest_add_ms: float
    drop_ms: float
    lost: float
    false_matches: float


def make_batches(
    index: PrefixKnowledge, blocks: int, rng: numpy.random.Generator
) -> list[tuple[str, BlockHashes]]:
    """Return every runner's blocks in batches, none shared; no runner holds them yet."""
    batches = []
    for runner in range(SLOTS_PER_TABLE):
        index.identify(f"runner-{runner}", RunnerIdentity("1", "v1"))
    for number in range(blocks // BATCH_BLOCKS):
        hashes = rng.integers(-(2**63), 2**63 - 1, BATCH_BLOCKS, dtype=numpy.int64)
        batches.append((f"runner-{number % SLOTS_PER_TABLE}", hashes))
    return batches


def measure(kind: str, make: Callable[[], PrefixKnowledge], blocks: int, seed: int) -> IndexFigures:
    """Fill an index, replace a tenth of its blocks and match chains."""
    rng = numpy.random.default_rng(seed)
    if kind == "dict":
        tracemalloc.start()
    index = make()
    lost = 0
    batches = make_batches(index, blocks, rng)
    add_times = [_cpu_s(index.add, [batch]) for batch in batches]
    if kind == "dict":
        held_bytes = tracemalloc.get_traced_memory()[0] - blocks * 8
        tracemalloc.stop()
    else:
        assert isinstance(index, PrefixIndex)
        held_bytes = index.memory_bytes
        lost = index.overwritten
    turnover = batches[: len(batches) // 10]
    removed_s = _cpu_s(index.remove, turnover)
    stored_s = _cpu_s(index.add, turnover)
    events = len(turnover) * BATCH_BLOCKS
    chains = [hashes[:CHAIN_BLOCKS] for _name, hashes in batches[-_MATCHES:]]
    times = []
    for chain in chains:
        start = time.thread_time()
        index.match(chain)
        times.append(time.thread_time() - start)
    cuts = statistics.quantiles(times, n=100)
    false_matches = _false_matches(index, rng)
    start = time.thread_time()
    index.drop("runner-0")
    drop_s = time.thread_time() - start
    return IndexFigures(
        kind,
        blocks,
        round(held_bytes / blocks, 2),
        round(stored_s / events * _NS_PER_S, 1),
        round(removed_s / events * _NS_PER_S, 1),
        round(cuts[49] * _US_PER_S, 1),
        round(cuts[98] * _US_PER_S, 1),
        round(max(add_times) * _MS_PER_S, 2),
        round(drop_s * _MS_PER_S, 2),
        round(lost / blocks, 5),
        false_matches,
    )


def _false_matches(index: PrefixKnowledge, rng: numpy.random.Generator) -> float:
    """Return the share of unknown blocks that some runner is believed to hold."""
    if not isinstance(index, PrefixIndex):
        return 0.0
    unknown = rng.integers(-(2**63), 2**63 - 1, _UNKNOWN_BLOCKS, dtype=numpy.int64)
    return index.held(unknown) / _UNKNOWN_BLOCKS


def _cpu_s(
    apply: Callable[[str, BlockHashes], None], batches: list[tuple[str, BlockHashes]]
) -> float:
    start = time.thread_time()
    for runner, hashes in batches:
        apply(runner, hashes)
    return time.thread_time() - start


@click.command("index")
@click.option("--blocks", default=4_300_000, show_default=True, help="Blocks known, none shared.")
@click.option("--memory-bytes", default=FED_MEMORY_BYTES, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON line each.")
def index_command(blocks: int, memory_bytes: int, seed: int, as_json: bool) -> None:
    """Measure the prefix index and its dictionary baseline."""
    for kind, make in (
        ("arrays", lambda: PrefixIndex(memory_bytes)),
        ("dict", DictPrefixIndex),
    ):
        figures = dataclasses.asdict(measure(kind, make, blocks, seed))
        if as_json:
            click.echo(msgspec.json.encode(figures).decode())
        else:
            click.echo("  ".join(f"{name} {value}" for name, value in figures.items()))
