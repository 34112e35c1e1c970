"""Replaces the routers of one version by those of another, one after the other, under traffic.

    scripts/upgrade.py --from CHECKOUT [--to CHECKOUT] [--trouble weights]

CHECKOUT is a folder with another commit of this repository; without --to they become those of this
folder.  Old and new routers run side by side, and the promises of the soak are checked; tenants'
rates are not, since versions of before them count nothing.  A rollback is an upgrade the other way.
Exit status 1 means that a promise was broken or that a router was not replaced.
"""

import sys
from collections.abc import Sequence
from pathlib import Path

import click
from platform_deployment import PlatformDeployment
from router_run import ROOT
from soak import HEAD, Outcome, play

from martenrun.proof.soak_schedule import Step

FIRST_S = 2.0
PAUSE_S = 6.0
"""When the first router is replaced, and the pause until the next, in seconds."""

TROUBLES = {
    "none": [],
    "weights": [("name_weights", 0.0), ("name_weights", 0.0)],
    "keys": [("change_keys", 0.0)],
    "outage": [("store_down", 4.0)],
    "restore": [("restore_store", 0.6), ("name_weights", 0.0)],
}
"""What happens beside, in the middle of the upgrade: kinds of steps, and how long each lasts."""


def program_of(checkout: Path) -> Path:
    """Return the program that a checkout's deploy file starts."""
    return checkout / "deploy" / "router.py"


def steps_of(routers: int, trouble: str) -> list[Step]:
    """Return the schedule: each router stops as planned and comes back as the later program."""
    steps = [
        Step(FIRST_S + number * PAUSE_S, "terminate", (number,), 0.0, 0)
        for number in range(routers)
    ]
    middle_s = FIRST_S + PAUSE_S * (routers // 2) + PAUSE_S / 2
    for number, (kind, lasts_s) in enumerate(TROUBLES[trouble]):
        steps.append(Step(middle_s + number * PAUSE_S, kind, (0,), lasts_s, 1))
    return sorted(steps, key=lambda step: step.at_s)


def upgrade(old: Path, new: Path, trouble: str, routers: int, logs: Path | None) -> Outcome:
    """Replace all routers of a deployment; raises RuntimeError if one was not replaced."""
    deployment = PlatformDeployment(
        routers, 3, 3, has_relays=True, program=program_of(old), later_program=program_of(new)
    )
    outcome = play(steps_of(routers, trouble), 1, deployment, logs, holds_rates=False)
    left = [router.name for router in deployment.routers if router.program != program_of(new)]
    if left:
        raise RuntimeError(f"not replaced: {', '.join(left)}; give more time between two routers")
    return outcome


@click.command()
@click.option("--from", "old", type=click.Path(path_type=Path, exists=True), required=True)
@click.option("--to", "new", type=click.Path(path_type=Path, exists=True), default=ROOT)
@click.option("--trouble", "troubles", multiple=True, type=click.Choice(list(TROUBLES)))
@click.option("--routers", default=4, show_default=True, help="router processes at a time")
@click.option("--keep-logs", type=click.Path(path_type=Path), help="folder for logs of violations")
def main(
    old: Path, new: Path, troubles: Sequence[str], routers: int, keep_logs: Path | None
) -> None:
    """Replace routers one after the other and check the promises."""
    click.echo(HEAD)
    broken = 0
    for trouble in troubles or TROUBLES:
        outcome = upgrade(old, new, trouble, routers, keep_logs)
        click.echo(f"{outcome.row()} {trouble}")
        for text in outcome.violations:
            click.echo(f"  {trouble}: {text}", err=True)
        broken += len(outcome.violations)
    sys.exit(1 if broken else 0)


if __name__ == "__main__":
    main()
