"""``martenrun blame``: requests and parts of prompts that crash runners, at one router."""

import click
import urllib3

TIMEOUT_S = 5.0
"""How long a router may take to answer, in seconds."""


@click.command()
@click.argument("address")
@click.option("--clear", metavar="FINGERPRINT", help="Clear this request at all routers.")
def blame(address: str, clear: str | None) -> None:
    """List what the router at ADDRESS (IP:PORT of its internal interface) blames, or clear one."""
    url = f"http://{address}/blame"
    http = urllib3.PoolManager(retries=False, timeout=TIMEOUT_S)
    try:
        if clear is None:
            answer = http.request("GET", url)
        else:
            answer = http.request("POST", url, json={"fingerprint": clear})
    except urllib3.exceptions.HTTPError as exc:
        raise click.ClickException(
            f"no answer from {address}: {exc}. Give the first of its internal ports."
        ) from exc
    if answer.status == 404:
        raise click.ClickException(f"{address} knows nothing of {clear}. List what it knows first.")
    if answer.status != 200:
        raise click.ClickException(f"{address} answers {answer.status}. Give a listed fingerprint.")
    if clear is not None:
        click.echo(f"cleared {clear}")
        return
    for item in answer.json()["requests"]:
        held = f"held back for {item['held_for_s']:.0f} s" if item["held_for_s"] else "served"
        whole = ", has run whole" if item["has_run_whole"] else ""
        part = f", part {item['part']} of prompts" if item.get("part") else ""
        beside = ", ".join(item.get("met_beside", ()))
        others = f", met only beside {beside}" if beside else ""
        click.echo(
            f"{item['fingerprint']} {held}, {item['starts']} starts ended{whole}{part}{others}"
        )
