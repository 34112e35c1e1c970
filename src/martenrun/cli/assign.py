"""Command that puts a runner into a pool, or back into the machine list's."""

import click

from martenrun.admin.client import AdminClient
from martenrun.cli.errors import errors_printed
from martenrun.configuration.objects import Assignment, Kind, encode_document
from martenrun.errors import ObjectNotFoundError


@click.command("assign")
@click.argument("runner")
@click.argument("pool", required=False)
@click.option("--reason", default="", help="Shown to other operators.")
@click.option("--back", is_flag=True, help="Send the runner back to the machine list's pool.")
@click.pass_obj
def assign(client: AdminClient, runner: str, pool: str | None, reason: str, back: bool) -> None:
    """Put a runner into a pool; its engine loads the pool's model.

    The runner's running requests end, and it serves the new pool once the weights are loaded.
    The system never changes what an operator assigned.
    """
    if back == (pool is not None):
        raise click.UsageError("Give a pool, or --back, and not both.")
    document = encode_document(Assignment(pool=pool, reason=reason))
    with errors_printed():
        version = _present_version(client, runner)
        accepted = client.apply(Kind.ASSIGNMENT.value, runner, document, version)
    goal = "the machine list's pool" if pool is None else f"pool {pool}"
    click.echo(f"accepted: {runner} goes to {goal} in version {accepted}")


def _present_version(client: AdminClient, runner: str) -> int:
    try:
        return client.get(Kind.ASSIGNMENT.value, runner).version
    except ObjectNotFoundError:
        return 0
