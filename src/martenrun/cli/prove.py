"""Command that checks simulated histories."""

import sys

import click
import msgspec

from martenrun.proof.campaign import Summary, run_campaign

SHOWN_VIOLATIONS = 10


@click.command()
@click.option("--histories", default=100, show_default=True, help="Histories to run.")
@click.option("--seed", default=0, show_default=True, help="First seed; each history adds one.")
@click.option("--json", "as_json", is_flag=True, help="Print the whole summary as one JSON line.")
def prove(histories: int, seed: int, as_json: bool) -> None:
    """Check simulated histories under failure; exits 1 on any violation."""
    summary = run_campaign(range(seed, seed + histories), seed)
    show(summary, as_json)


def show(summary: Summary, as_json: bool) -> None:
    """Print a summary and exit with 1 if it is not clean."""
    if as_json:
        click.echo(msgspec.json.encode(summary).decode())
    else:
        click.echo(f"{summary.histories} histories, {summary.operations} requests")
        click.echo("faults: " + ", ".join(f"{k} {n}" for k, n in summary.faults.items()))
        click.echo(f"violations: {summary.violations_by_promise or 'none'}")
        for item in summary.violations[:SHOWN_VIOLATIONS]:
            found = item.violation
            click.echo(f"  seed {item.seed}: {found.promise}: {found.subject}: {found.detail}")
        for failed, text in summary.crashes.items():
            click.echo(f"  seed {failed} stopped: {text}")
    if not summary.is_clean:
        sys.exit(1)
