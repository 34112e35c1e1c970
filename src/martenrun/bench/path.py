"""What the path through agent and node adds over a direct call to the engine.

Calls alternate between the two ways, so that noise of the machine meets both alike.  CPU is
what agent and node used during the calls, less what they use when idle.
"""

import time

import click
import msgspec

from martenrun.bench.process_cost import cpu_s, quantile
from martenrun.load.raw_stream import StreamReader, StreamTarget

IDLE_S = 3.0
CALL_LIMIT_S = 30.0
OUTPUT_TOKENS = 8
PROMPT_BYTES = 40_000


class PathResult(msgspec.Struct):
    """One run's figures; times in milliseconds, CPU per request in milliseconds."""

    requests: int
    prompt_bytes: int
    output_tokens: int
    not_whole: int
    direct_first_token_p50_ms: float
    direct_first_token_p95_ms: float
    path_first_token_p50_ms: float
    path_first_token_p95_ms: float
    added_p50_ms: float
    added_p95_ms: float
    agent_cpu_ms_per_request: float
    node_cpu_ms_per_request: float
    agent_idle_cpu_part: float
    node_idle_cpu_part: float


def measure_path(
    engine: StreamTarget, edge: StreamTarget, nodes: list[str], requests: int
) -> PathResult:
    """Call engine and edge in turn; ``nodes`` are the HTTP edges of all nodes."""
    idle = _IdleCost(edge.address, nodes)
    for _ in range(10):
        _first_token_s(engine, "warm")
        _first_token_s(edge, "warm")
    direct: list[float] = []
    through: list[float] = []
    agent_before, nodes_before = cpu_s(edge.address), sum(map(cpu_s, nodes))
    started = time.monotonic()
    for index in range(requests):
        direct.append(_first_token_s(engine, str(index)))
        through.append(_first_token_s(edge, str(index)))
    elapsed_s = time.monotonic() - started
    agent_s = cpu_s(edge.address) - agent_before - idle.agent_part * elapsed_s
    nodes_s = sum(map(cpu_s, nodes)) - nodes_before - idle.nodes_part * elapsed_s
    whole_direct = [value for value in direct if value]
    whole_through = [value for value in through if value]
    direct_p50, direct_p95 = _quantiles_ms(whole_direct)
    through_p50, through_p95 = _quantiles_ms(whole_through)
    return PathResult(
        requests,
        PROMPT_BYTES,
        OUTPUT_TOKENS,
        2 * requests - len(whole_direct) - len(whole_through),
        direct_p50,
        direct_p95,
        through_p50,
        through_p95,
        round(through_p50 - direct_p50, 3),
        round(through_p95 - direct_p95, 3),
        round(agent_s / requests * 1_000, 3),
        round(nodes_s / requests * 1_000, 3),
        round(idle.agent_part, 4),
        round(idle.nodes_part, 4),
    )


def _quantiles_ms(times_s: list[float]) -> tuple[float, float]:
    """Return median and 95th percentile in milliseconds."""
    return round(quantile(times_s, 0.5) * 1_000, 3), round(quantile(times_s, 0.95) * 1_000, 3)


class _IdleCost:
    """Parts of a core that agent and nodes use without requests."""

    def __init__(self, agent: str, nodes: list[str]) -> None:
        agent_before, nodes_before = cpu_s(agent), sum(map(cpu_s, nodes))
        time.sleep(IDLE_S)
        self.agent_part = (cpu_s(agent) - agent_before) / IDLE_S
        self.nodes_part = (sum(map(cpu_s, nodes)) - nodes_before) / IDLE_S


def _first_token_s(target: StreamTarget, question: str) -> float:
    """Return the time to the first token of one whole stream, or 0."""
    reader = StreamReader()
    reader.start(target, "n" * PROMPT_BYTES + question, OUTPUT_TOKENS)
    reader.read(CALL_LIMIT_S)
    reader.close()
    (times,) = reader.streams
    return times.first_token_s if times.is_whole else 0.0


@click.command("path")
@click.option("--engine", required=True, help="IP:port of an engine.")
@click.option("--edge", required=True, help="IP:port of an agent's HTTP edge.")
@click.option(
    "--node", "nodes", multiple=True, required=True, help="IP:port of a node's HTTP edge."
)
@click.option("--model", default="vine-reader", help="Model to ask for.")
@click.option("--key", required=True, help="A caller's key.")
@click.option("--requests", default=300, type=click.IntRange(1, 10_000), help="Calls each way.")
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def path(
    engine: str,
    edge: str,
    nodes: tuple[str, ...],
    model: str,
    key: str,
    requests: int,
    as_json: bool,
) -> None:
    """Measure what the path adds to a direct call (see scripts/bench.py)."""
    result = measure_path(
        StreamTarget(engine, model), StreamTarget(edge, model, key), list(nodes), requests
    )
    print_result(result, as_json)


def print_result(result: msgspec.Struct, as_json: bool) -> None:
    """Print figures as one JSON line or as a table."""
    if as_json:
        click.echo(msgspec.json.encode(result).decode())
        return
    for name, value in msgspec.structs.asdict(result).items():
        click.echo(f"{name:<32}{value}")
