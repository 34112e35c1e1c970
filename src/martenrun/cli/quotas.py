"""``martenrun quotas``: what tenants and runners with a rate limit have left, by router."""

import click
import urllib3

TIMEOUT_S = 5.0
"""How long a router may take to answer, in seconds."""


@click.command()
@click.argument("addresses", nargs=-1, required=True)
@click.option("--tenant", help="Only this tenant.")
def quotas(addresses: tuple[str, ...], tenant: str | None) -> None:
    """List accounts at the routers at ADDRESSES (IP:PORT of their internal interfaces).

    Each tenant's account is kept by two of all routers; name them all to find a tenant's.  Accounts
    of rate-limited runners are listed as "runner INSTANCE".
    """
    http = urllib3.PoolManager(retries=False, timeout=TIMEOUT_S)
    for address in addresses:
        try:
            answer = http.request("GET", f"http://{address}/quotas")
        except urllib3.exceptions.HTTPError as exc:
            raise click.ClickException(
                f"no answer from {address}: {exc}. Give the first of its internal ports."
            ) from exc
        if answer.status != 200:
            raise click.ClickException(
                f"{address} answers {answer.status}. Its program may be older than this command."
            )
        for item in answer.json()["accounts"]:
            if tenant in (None, item["tenant"]):
                click.echo(
                    f"{address} {item['tenant']} left {item['left']:.0f} of {item['burst']:.0f}, "
                    f"{item['per_s']:.10g} a second, last used {item['idle_s']:.1f} s ago"
                )
