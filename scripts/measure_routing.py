"""Runs the routing benchmark over many seeds and prints means; optionally keeps every line.

Example: ``measure_routing.py --policy prefix_aware --policy oracle --seeds 1-10``
"""

import collections
import concurrent.futures
from pathlib import Path

import click
import msgspec

from martenrun.bench.routing import DEPLOYMENTS, DURATION_S, STORES, run_benchmark
from martenrun.bench.routing_figures import RoutingFigures
from martenrun.bench.routing_policies import POLICY_NAMES

WORKERS = 2

Job = tuple[str, str, int, float, str, float, str, int, int]


def run(job: Job) -> RoutingFigures:
    """Run one benchmark."""
    return run_benchmark(*job)


def mean(results: list[RoutingFigures], name: str) -> float:
    """Return the mean of one figure."""
    return sum(getattr(figures, name) for figures in results) / len(results)


def show(results: list[RoutingFigures]) -> None:
    """Print the means of one deployment, policy and load."""
    first = results[0]
    names = (
        "hit_rate",
        "imported",
        "wasted",
        "ttft_p50_s",
        "ttft_p95_s",
        "ttft_p99_s",
        "refused",
        "share_error",
    )
    means = " ".join(f"{name} {mean(results, name):.4f}" for name in names)
    causes: collections.Counter[str] = collections.Counter()
    for figures in results:
        causes.update(figures.late)
    late = " ".join(f"{cause} {count}" for cause, count in causes.most_common())
    title = f"{first.deployment} {first.policy} load {first.load} feeds {first.feeds}"
    title += f" store {first.store} nodes {first.nodes} runners {first.runners}"
    click.echo(f"{title} runs {len(results)}: {means}\n    late {causes.total()}: {late}")


@click.command()
@click.option("--deployment", "deployments", multiple=True, default=DEPLOYMENTS)
@click.option("--policy", "policies", multiple=True, default=POLICY_NAMES)
@click.option("--seeds", default="1-10", show_default=True, help="First and last seed.")
@click.option("--load", "loads", multiple=True, type=float, default=(1.0,))
@click.option("--feeds", default="owner", show_default=True)
@click.option("--store", type=click.Choice(STORES), default="off", show_default=True)
@click.option("--nodes", default=0, help="Number of nodes; 0 for the deployment's.")
@click.option("--scale", default=1, show_default=True, help="Factor on runners, load and nodes.")
@click.option("--duration-s", default=DURATION_S, show_default=True)
@click.option("--out", type=click.Path(path_type=Path), help="File for one JSON line a run.")
def main(
    deployments: tuple[str, ...],
    policies: tuple[str, ...],
    seeds: str,
    loads: tuple[float, ...],
    feeds: str,
    store: str,
    nodes: int,
    scale: int,
    duration_s: float,
    out: Path | None,
) -> None:
    """Measure policies over seeds."""
    first, _, last = seeds.partition("-")
    jobs: list[Job] = [
        (deployment, policy, seed, load, feeds, duration_s, store, nodes, scale)
        for deployment in deployments
        for policy in policies
        for load in loads
        for seed in range(int(first), int(last or first) + 1)
    ]
    groups: dict[tuple[str, str, float], list[RoutingFigures]] = {}
    with concurrent.futures.ProcessPoolExecutor(WORKERS) as pool:
        results = list(pool.map(run, jobs))
    for figures in results:
        key = (figures.deployment, figures.policy, figures.load)
        groups.setdefault(key, []).append(figures)
    for group in groups.values():
        show(group)
    if out is not None:
        out.write_bytes(b"".join(msgspec.json.encode(figures) + b"\n" for figures in results))


if __name__ == "__main__":
    main()
