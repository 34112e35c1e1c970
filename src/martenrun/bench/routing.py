"""Benchmark of routing policies over a deployment, in virtual time."""

import click
import msgspec

from martenrun.bench.routing_figures import RoutingFigures
from martenrun.bench.routing_policies import POLICY_NAMES
from martenrun.bench.routing_simulation import RoutingSimulation
from martenrun.deployments.model import load_deployment

DEPLOYMENTS = ("angurlekha", "souk-fellah")
DURATION_S = 60.0
STORES = ("off", "on", "faulty")


def run_benchmark(
    deployment: str,
    policy: str,
    seed: int,
    load: float,
    feeds: str,
    duration_s: float,
    store: str = "off",
    nodes: int = 0,
    scale: int = 1,
) -> RoutingFigures:
    """Run one policy over one deployment; ``nodes`` 0 leaves their number as it is."""
    shape = load_deployment(deployment).scaled(scale)
    shape = shape.with_nodes(nodes) if nodes else shape
    simulation = RoutingSimulation(shape, policy, seed, load, feeds, store)
    return simulation.run(duration_s)


@click.command("routing")
@click.option("--deployment", type=click.Choice(DEPLOYMENTS), required=True)
@click.option("--policy", type=click.Choice(POLICY_NAMES), required=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--load", default=1.0, show_default=True, help="Factor on the request rates.")
@click.option("--feeds", type=click.Choice(["owner", "all"]), default="owner", show_default=True)
@click.option("--store", type=click.Choice(STORES), default="off", show_default=True)
@click.option("--nodes", default=0, help="Number of nodes; 0 for the deployment's.")
@click.option("--scale", default=1, show_default=True, help="Factor on runners, load and nodes.")
@click.option("--duration-s", default=DURATION_S, show_default=True, help="Virtual seconds.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON line.")
def routing_command(
    deployment: str,
    policy: str,
    seed: int,
    load: float,
    feeds: str,
    store: str,
    nodes: int,
    scale: int,
    duration_s: float,
    as_json: bool,
) -> None:
    """Measure a routing policy; same seed, same line."""
    figures = run_benchmark(deployment, policy, seed, load, feeds, duration_s, store, nodes, scale)
    if as_json:
        click.echo(msgspec.json.encode(figures).decode())
    else:
        for name, value in msgspec.structs.asdict(figures).items():
            click.echo(f"{name:<12}{value:>14}")
