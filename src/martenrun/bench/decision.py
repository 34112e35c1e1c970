"""Benchmark of one routing decision: CPU time of rank and grant with full knowledge."""

import random
import statistics
import time
from dataclasses import dataclass

import click
import msgspec
import numpy

from martenrun.bench.index import BATCH_BLOCKS, CHAIN_BLOCKS
from martenrun.constants import DEFAULT_BLOCK_BYTES
from martenrun.routing.beliefs import FED_RUNNERS, BeliefBook
from martenrun.routing.policy import RunnerState
from martenrun.routing.prefix_aware import PrefixAwarePolicy
from martenrun.wire.messages import DecideRequest

DECISIONS_PER_S = 62.0
"""Rate at which virtual time passes; a node of the target size decides so often."""

_US_PER_S = 1e6
_HOT_SHARE = 0.7
_HOT_PREFIXES = 20
_EMPTY = numpy.empty(0, dtype="<i8")


@dataclass(frozen=True)
class DecisionFigures:
    """CPU time of a decision: ranking all candidates, and with taking in its grant."""

    runners: int
    blocks: int
    decisions: int
    rank_us_p50: float
    rank_us_p99: float
    decision_us_p50: float
    decision_us_p99: float


def make_policy(
    runners: list[RunnerState], blocks: int, rng: numpy.random.Generator
) -> tuple[PrefixAwarePolicy, list[bytes]]:
    """Return a policy that knows ``blocks`` blocks, and chains of which it knows a part."""
    beliefs = BeliefBook()
    for runner in runners:
        beliefs.identify(runner.name, runner.incarnation, runner.weights_version)
    chains = []
    for number in range(blocks // BATCH_BLOCKS):
        stored = rng.integers(-(2**63), 2**63 - 1, BATCH_BLOCKS, dtype=numpy.int64)
        beliefs.feed(runners[number % len(runners)].name, stored, _EMPTY)
        chain = stored[:CHAIN_BLOCKS].copy()
        chain[-2:] = rng.integers(-(2**63), 2**63 - 1, 2, dtype=numpy.int64)
        chains.append(chain.tobytes())
    return PrefixAwarePolicy(beliefs, random.Random(1)), chains


def measure(blocks: int, decisions: int, seed: int) -> DecisionFigures:
    """Decide for a mix of hot and cold prefixes."""
    runners = [
        RunnerState(f"runner-{number}", "", f"zone-{number % 3}", "pool", "1", "v1", 16)
        for number in range(FED_RUNNERS)
    ]
    policy, chains = make_policy(runners, blocks, numpy.random.default_rng(seed))
    rng = random.Random(seed)
    rank_times, decision_times = [], []
    for number in range(decisions):
        hot = rng.random() < _HOT_SHARE
        chain = chains[rng.randrange(_HOT_PREFIXES if hot else len(chains))]
        question = DecideRequest(
            f"request-{number}", "tenant", "model", "v1", chain, CHAIN_BLOCKS * DEFAULT_BLOCK_BYTES
        )
        start = time.thread_time()
        now = number / DECISIONS_PER_S
        choice = policy.rank(question, runners, now)[0]
        ranked = time.thread_time()
        policy.granted(question, choice, now)
        decision_times.append(time.thread_time() - start)
        rank_times.append(ranked - start)
        policy.withdrawn(question.request_id, question.attempt)
    rank_cuts = statistics.quantiles(rank_times, n=100)
    decision_cuts = statistics.quantiles(decision_times, n=100)
    return DecisionFigures(
        len(runners),
        blocks,
        decisions,
        round(rank_cuts[49] * _US_PER_S, 1),
        round(rank_cuts[98] * _US_PER_S, 1),
        round(decision_cuts[49] * _US_PER_S, 1),
        round(decision_cuts[98] * _US_PER_S, 1),
    )


@click.command("decision")
@click.option("--blocks", default=4_300_000, show_default=True, help="Blocks known.")
@click.option("--decisions", default=5_000, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON line.")
def decision_command(blocks: int, decisions: int, seed: int, as_json: bool) -> None:
    """Measure the CPU time of one routing decision."""
    figures = measure(blocks, decisions, seed)
    if as_json:
        click.echo(msgspec.json.encode(figures).decode())
    else:
        click.echo(figures)
