"""Commands of operators, through the administration API of any node."""

import sys
from pathlib import Path

import click
import msgspec
import urllib3

from martenrun.admin.application import ADMIN_PREFIX

_TIMEOUT_S = 10.0


@click.group()
@click.option("--node", "node_address", required=True, help="IP:port of a node's HTTP edge.")
@click.option("--key", envvar="MARTENRUN_ADMIN_KEY", required=True, help="Admin key.")
@click.pass_context
def admin(context: click.Context, node_address: str, key: str) -> None:
    """Administer tenants, keys, pools, policies and routes."""
    context.obj = AdminClient(node_address, key)


class AdminClient:
    """Calls the administration API of one node."""

    def __init__(self, address: str, key: str) -> None:
        self._base = f"http://{address}{ADMIN_PREFIX}"
        self._headers = {"Authorization": f"Bearer {key}"}
        self._http = urllib3.PoolManager(timeout=_TIMEOUT_S, retries=False)

    def call(
        self, method: str, path: str, body: bytes | None = None, version: int | None = None
    ) -> bytes:
        """Call the API; exits with status 1 and the typed error if it is refused."""
        headers = dict(self._headers)
        if version is not None:
            headers["If-Match"] = str(version)
        response = self._http.request(method, self._base + path, body=body, headers=headers)
        if response.status >= 400:
            click.echo(response.data.decode(), err=True)
            sys.exit(1)
        return response.data


@admin.command("apply")
@click.argument("kind")
@click.argument("name")
@click.argument("file", type=click.Path(exists=True, dir_okay=False, path_type=Path))
@click.option("--version", default=0, show_default=True, help="Expected version, 0 to create.")
@click.pass_obj
def apply_object(client: AdminClient, kind: str, name: str, file: Path, version: int) -> None:
    """Create or replace an object from a JSON file."""
    click.echo(client.call("PUT", f"{kind}/{name}", file.read_bytes(), version).decode())


@admin.command("get")
@click.argument("kind")
@click.argument("name")
@click.pass_obj
def get_object(client: AdminClient, kind: str, name: str) -> None:
    """Print an object with its version."""
    click.echo(client.call("GET", f"{kind}/{name}").decode())


@admin.command("list")
@click.argument("kind")
@click.pass_obj
def list_objects(client: AdminClient, kind: str) -> None:
    """Print every object of a kind."""
    for item in msgspec.json.decode(client.call("GET", kind), type=list[msgspec.Raw]):
        click.echo(bytes(item).decode())


@admin.command("delete")
@click.argument("kind")
@click.argument("name")
@click.option("--version", required=True, type=int, help="Expected version.")
@click.pass_obj
def delete_object(client: AdminClient, kind: str, name: str, version: int) -> None:
    """Remove an object."""
    click.echo(client.call("DELETE", f"{kind}/{name}", version=version).decode())


@admin.command("status")
@click.pass_obj
def status(client: AdminClient) -> None:
    """Print the node's status."""
    click.echo(client.call("GET", "status").decode())
