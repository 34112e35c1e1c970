"""Waiting until an accepted change is in force everywhere.

See also: :mod:`martenrun.cli.admin`.
"""

import time

import click

from martenrun.admin.client import AdminClient
from martenrun.admin.messages import Status
from martenrun.cli.errors import errors_printed

LOOK_INTERVAL_S = 0.5
"""Time between two looks at the status, in seconds."""


@click.command("in-force")
@click.argument("kind")
@click.argument("name")
@click.option("--timeout-s", default=30.0, show_default=True, help="Longest wait.")
@click.pass_obj
def in_force(client: AdminClient, kind: str, name: str, timeout_s: float) -> None:
    """Wait until the present version of an object is in force on every node and agent.

    Agents that have asked no node for 10 s are not known to the nodes and not waited for.
    """
    until = time.monotonic() + timeout_s
    with errors_printed():
        version = client.get(kind, name).version
        while behind := _behind(client.status(), version):
            if time.monotonic() > until:
                raise click.ClickException(
                    f"version {version} is not in force after {timeout_s:g} s on: "
                    f"{', '.join(behind)}; see `martenrun admin status`"
                )
            time.sleep(LOOK_INTERVAL_S)
    click.echo(f"{kind}/{name} is in force everywhere in version {version}")


def _behind(status: Status, version: int) -> list[str]:
    """Return the nodes and agents that may not have a version in force."""
    known = [*status.nodes, *status.agents]
    return [entry.name for entry in known if entry.revision < version] + status.silent_nodes
