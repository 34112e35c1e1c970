"""Commands of operators, through the administration API of any node.

Exit status: 0 accepted, 1 refused, 3 version conflict, 4 outcome unknown.
"""

import hashlib
import secrets
from pathlib import Path

import click
import msgspec

from martenrun.admin.client import AdminClient
from martenrun.cli.assign import assign
from martenrun.cli.errors import errors_printed
from martenrun.cli.in_force import in_force
from martenrun.configuration.objects import (
    Drain,
    DrainRole,
    Kind,
    Role,
    encode_document,
    parse_document,
)

_KIND = click.argument("kind", type=click.Choice([kind.value for kind in Kind]))
_NAME = click.argument("name")


@click.group()
@click.option(
    "--node", "address", required=True, envvar="MARTENRUN_NODE", help="IP:port of any node's HTTP."
)
@click.option("--key", envvar="MARTENRUN_ADMIN_KEY", required=True, help="Admin key.")
@click.pass_context
def admin(context: click.Context, address: str, key: str) -> None:
    """Administer tenants, keys, pools, policies, routes, drains, retention, assignments."""
    context.obj = AdminClient(address, key)


admin.add_command(in_force)
admin.add_command(assign)


def _echo(value: object) -> None:
    click.echo(msgspec.json.encode(value).decode())


@admin.command("apply")
@_KIND
@_NAME
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--version", default=0, show_default=True, help="Expected version, 0 to create.")
@click.pass_obj
def apply_object(client: AdminClient, kind: str, name: str, file: Path, version: int) -> None:
    """Create or replace an object from a JSON file."""
    with errors_printed():
        accepted = client.apply(kind, name, file.read_bytes(), version)
    click.echo(f"accepted: {kind}/{name} has version {accepted}")


@admin.command("validate")
@_KIND
@_NAME
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--version", default=0, show_default=True, help="Expected version, 0 to create.")
@click.pass_obj
def validate_object(client: AdminClient, kind: str, name: str, file: Path, version: int) -> None:
    """Check what apply would do, references and version included, and change nothing."""
    with errors_printed():
        checked = client.check(kind, name, file.read_bytes(), version)
    deed = f"replace version {checked.replaces}" if checked.replaces else "create it"
    click.echo(f"valid: {kind}/{name} may be applied and would {deed}; nothing was changed")


@admin.command("get")
@_KIND
@_NAME
@click.pass_obj
def get_object(client: AdminClient, kind: str, name: str) -> None:
    """Print an object with its version."""
    with errors_printed():
        _echo(client.get(kind, name))


@admin.command("list")
@_KIND
@click.pass_obj
def list_objects(client: AdminClient, kind: str) -> None:
    """Print every object of a kind, one a line."""
    with errors_printed():
        for item in client.list(kind):
            _echo(item)


@admin.command("delete")
@_KIND
@_NAME
@click.option("--version", required=True, type=int, help="Expected version.")
@click.pass_obj
def delete_object(client: AdminClient, kind: str, name: str, version: int) -> None:
    """Delete an object that nothing refers to."""
    with errors_printed():
        accepted = client.delete(kind, name, version)
    click.echo(f"accepted: {kind}/{name} is deleted in version {accepted}")


@admin.command("new-key")
@_NAME
@click.option("--tenant", required=True)
@click.option("--role", type=click.Choice([role.value for role in Role]), default="caller")
@click.pass_obj
def new_key(client: AdminClient, name: str, tenant: str, role: str) -> None:
    """Make a random key, publish its digest, and print the key; it is not kept anywhere."""
    token = secrets.token_urlsafe(32)
    digest = hashlib.sha256(token.encode()).hexdigest()
    document = {"tenant": tenant, "role": role, "key_sha256": digest}
    with errors_printed():
        client.apply(Kind.API_KEY.value, name, msgspec.json.encode(document), 0)
    click.echo(token)


@admin.command("retire-key")
@_NAME
@click.pass_obj
def retire_key(client: AdminClient, name: str) -> None:
    """Refuse a key from now on; the end of a rotation."""
    with errors_printed():
        present = client.get(Kind.API_KEY.value, name)
        key = parse_document(Kind.API_KEY, bytes(present.document))
        document = encode_document(msgspec.structs.replace(key, retired=True))
        accepted = client.apply(Kind.API_KEY.value, name, document, present.version)
    click.echo(f"accepted: keys/{name} is retired in version {accepted}")


@admin.command("drain")
@_NAME
@click.option("--role", type=click.Choice([role.value for role in DrainRole]), default="runner")
@click.option("--reason", default="", help="Shown to other operators.")
@click.option("--stop", is_flag=True, help="End the drain: the machine may get work again.")
@click.pass_obj
def drain(client: AdminClient, name: str, role: str, reason: str, stop: bool) -> None:
    """Give a runner or node no new work; running requests go on."""
    kind = Kind.DRAIN.value
    with errors_printed():
        if stop:
            client.delete(kind, name, client.get(kind, name).version)
        else:
            document = encode_document(Drain(role=DrainRole(role), reason=reason))
            client.apply(kind, name, document, 0)
    click.echo(f"accepted: the drain of {name} is {'ended' if stop else 'published'}")


@admin.command("status")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON line.")
@click.pass_obj
def status(client: AdminClient, as_json: bool) -> None:
    """Print which revision is in force where, the slowest first."""
    with errors_printed():
        found = client.status()
    if as_json:
        _echo(found)
        return
    click.echo(f"in force on {found.node}: revision {found.revision}")
    click.echo(f"newest anywhere: {found.newest_revision}, slowest: {found.slowest_revision}")
    for label, entries in (("node", found.nodes), ("agent", found.agents)):
        for entry in entries:
            behind = found.newest_revision - entry.revision
            click.echo(f"  {label:<7}{entry.name:<28}{entry.revision:>10}  behind {behind}")
    for watcher in found.watchers:
        click.echo(f"watcher: {watcher.node} holds {watcher.lease}")
    for title, names in (
        ("did not answer", found.silent_nodes),
        ("faulty object, last good one in force", found.faults),
        ("draining", found.drains),
    ):
        for name in names:
            click.echo(f"{title}: {name}")
    for move in found.moves:
        goal = move.pool or "the machine list's pool"
        why = f": {move.reason}" if move.reason else ""
        click.echo(f"moving: {move.runner} to {goal}, by {move.made_by}{why}")
