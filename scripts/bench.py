"""Runs the benchmarks that need real processes, and writes their figures.

Usage: ``bench.py path|streams|front|control [FILE]``; without a file the figures are only printed.
"""

import subprocess
import sys
from collections.abc import Callable
from pathlib import Path

from deployment import CLUSTER_SECRET, Deployment, ended_on_failure

MODEL = "vine-reader"
KEY = "growers-key"
ENGINE_GAP_MS = 68
STREAM_STEPS = (100, 300, 600, 1_000)
STREAM_ENGINES = 6
MAXIMUM_STREAMS = ("--max-streams", "1000")
SLOTS = 1_000
CONTROL_ENGINES = 6
CONTROL_NODES = 3
CONTROL_LIMITS = {"requests_per_s": 1e6, "tokens_per_s": 1e9, "concurrent_streams": 1_000_000}
"""Limits of the asking tenant that are never reached."""


def start(engines: int, decode_s: float, nodes: int = 1, **limits: object) -> Deployment:
    """Start a platform, engines, nodes and one agent, and publish a route and a tenant."""
    deployment = Deployment()
    with ended_on_failure(deployment):
        deployment.start_platform()
        flags = [
            *("--slots", str(SLOTS), "--decode-s-per-token", str(decode_s)),
            *("--prefill-s-per-block", "0", "--slowdown-per-stream", "0"),
        ]
        for _ in range(engines):
            deployment.start_engine("zone-a", "readers", MODEL, *flags)
        deployment.start_nodes(["zone-a"] * nodes, *MAXIMUM_STREAMS)
        deployment.start_agents(["zone-a"], *MAXIMUM_STREAMS)
        deployment.apply_tenant("growers", KEY, **limits)
        deployment.serve_pool("readers", MODEL)
    return deployment


def measured(*arguments: str) -> bytes:
    """Run one benchmark command and return its JSON line."""
    command = [sys.executable, "-m", "martenrun.cli", "bench", *arguments, "--json"]
    return subprocess.run(command, check=True, stdout=subprocess.PIPE).stdout


def path() -> bytes:
    """Measure what the path adds over a direct call."""
    deployment = start(engines=1, decode_s=0.002)
    try:
        nodes = [flag for edge in deployment.node_edges for flag in ("--node", edge)]
        ends = ("--engine", deployment.engines[0], "--edge", deployment.agent_edges[0])
        return measured("path", *ends, *nodes, "--key", KEY)
    finally:
        deployment.stop()


def streams() -> bytes:
    """Measure how many streams one agent carries well."""
    return _streams_of(lambda deployment: deployment.agent_edges[0])


def front() -> bytes:
    """Measure how many streams one node's front carries well."""
    return _streams_of(lambda deployment: deployment.node_edges[0])


def _streams_of(edge_of: Callable[[Deployment], str]) -> bytes:
    deployment = start(STREAM_ENGINES, ENGINE_GAP_MS / 1_000)
    try:
        steps = [flag for step in STREAM_STEPS for flag in ("--step", str(step))]
        edge = ("--edge", edge_of(deployment), "--key", KEY)
        return measured("streams", *edge, *steps, "--engine-gap-ms", str(ENGINE_GAP_MS))
    finally:
        deployment.stop()


def control() -> bytes:
    """Measure what a decision costs real nodes under a steady load."""
    deployment = start(CONTROL_ENGINES, 0.002, CONTROL_NODES, **CONTROL_LIMITS)
    try:
        nodes = [
            flag
            for peer, edge in zip(deployment.node_peers, deployment.node_edges, strict=True)
            for flag in ("--node", peer, edge)
        ]
        secret = ("--cluster-secret", CLUSTER_SECRET, "--tenant", "growers", "--model", MODEL)
        return measured("control", *nodes, *secret)
    finally:
        deployment.stop()


def main() -> int:
    """Run the named benchmark."""
    benchmarks = {"path": path, "streams": streams, "front": front, "control": control}
    if len(sys.argv) not in (2, 3) or sys.argv[1] not in benchmarks:
        print(__doc__, file=sys.stderr)
        return 2
    figures = benchmarks[sys.argv[1]]()
    if len(sys.argv) == 3:
        Path(sys.argv[2]).write_bytes(figures)
    print(figures.decode(), end="")
    return 0


if __name__ == "__main__":
    sys.exit(main())
