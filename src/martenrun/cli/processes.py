"""Commands that run a node or an agent, and that check their settings."""

from pathlib import Path

import click

from martenrun.cli.collector import collect_seldom
from martenrun.cli.libraries import give_back_large_blocks, limit_native_threads
from martenrun.cli.listening import check_can_listen
from martenrun.cli.run import faults_printed, run_until_signal
from martenrun.platform.settings import is_router_settings_file, load_settings
from martenrun.settings.load import check_file, read_settings
from martenrun.settings.model import AgentSettings, NodeSettings

_SETTINGS_FILE = click.Path(dir_okay=False, path_type=Path)


def _common(command: click.decorators.FC) -> click.decorators.FC:
    """Add the flags that every process has."""
    options = [
        click.option("--settings", type=_SETTINGS_FILE, help="Settings file (TOML)."),
        click.option("--name", help="Unique name of this process."),
        click.option("--zone", help="Zone of this machine."),
        click.option("--region", help="Region of this machine."),
        click.option("--http-address", help="IP:port of the HTTP edge."),
        click.option("--seed-nodes", multiple=True, help="IP:port of a node; repeatable."),
        click.option("--max-streams", type=int, help="Requests carried at a time."),
        click.option("--token-gap-timeout-s", type=float, help="Longest silence between tokens."),
        click.option("--cluster-secret", envvar="MARTENRUN_CLUSTER_SECRET", help="Secret."),
    ]
    for option in reversed(options):
        command = option(command)
    return command


@click.command()
@_common
@click.option("--peer-address", help="IP:port of the internal protocol.")
@click.option("--object-api", help="IP:port of the platform's object API.")
@click.option("--machine-list", help="IP:port of the platform's machine list.")
@click.option("--weight-store", help="IP:port of the weight store; pools are checked against it.")
@click.option("--bootstrap-key-sha256", help="Digest of the first admin key.")
def node(settings: Path | None, **flags: object) -> None:
    """Run a node."""
    limit_native_threads()
    give_back_large_blocks()
    collect_seldom()
    # Imported here so that neither process loads the other's modules.
    from martenrun.node.process import NodeProcess

    with faults_printed():
        values = read_settings(NodeSettings, settings, flags)
        check_can_listen({"http_address": values.http_address, "peer_address": values.peer_address})
        run_until_signal(NodeProcess(values), f"node {values.name}")


@click.command()
@_common
def agent(settings: Path | None, **flags: object) -> None:
    """Run an agent."""
    limit_native_threads()
    give_back_large_blocks()
    from martenrun.agent.process import AgentProcess

    with faults_printed():
        values = read_settings(AgentSettings, settings, flags)
        check_can_listen({"http_address": values.http_address})
        run_until_signal(AgentProcess(values), f"agent {values.name}")


@click.command("check-settings")
@click.argument("file", type=_SETTINGS_FILE)
def check_settings(file: Path) -> None:
    """Check a settings file and print every fault with its remedy."""
    with faults_printed():
        if is_router_settings_file(str(file)):
            load_settings(str(file))
        else:
            check_file(file)
    click.echo(f"{file}: no faults")
