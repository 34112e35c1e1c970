"""The ``bench scale`` command."""

import click
import msgspec

from martenrun.bench.scale.report import Scenario
from martenrun.bench.scale.run import ScaleRun

RUNNERS_PER_NODE = 32


@click.command()
@click.option("--nodes", default=40, show_default=True)
@click.option("--runners", type=int, help="By default 32 for each node.")
@click.option("--agents", type=int, help="By default one for each node.")
@click.option("--tenants", default=200, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--loss", default=0.05, show_default=True, help="Per message, with changes and faults."
)
@click.option("--requests-per-node-s", default=10.0, show_default=True)
@click.option("--phase-s", default=5.0, show_default=True, help="Virtual time of a phase.")
@click.option("--changes", default=10, show_default=True, help="Configuration changes.")
@click.option("--faults/--no-faults", "with_faults", default=True, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON line.")
def scale(
    nodes: int,
    runners: int | None,
    agents: int | None,
    tenants: int,
    seed: int,
    loss: float,
    requests_per_node_s: float,
    phase_s: float,
    changes: int,
    with_faults: bool,
    as_json: bool,
) -> None:
    """Run hollow nodes, agents and runners in virtual time and report what they cost."""
    scenario = Scenario(
        nodes,
        nodes * RUNNERS_PER_NODE if runners is None else runners,
        nodes if agents is None else agents,
        tenants,
        seed,
        loss,
        requests_per_node_s,
        phase_s,
        changes,
        with_faults,
    )
    run = ScaleRun(scenario, progress=lambda line: click.echo(line, err=True))
    encoded = msgspec.json.encode(run.run())
    text = encoded if as_json else msgspec.json.format(encoded)
    click.echo(text.decode())
