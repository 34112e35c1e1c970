"""A soak of real routers under faults that overlap: callers ask, the promises are checked.

    scripts/soak.py --minutes 5 --seed 7
    scripts/soak.py --minutes 0.5 --seed 100 --seeds 50 --routers 5 --keep-logs FOLDER

Starts routers as processes on loopback before stand-ins of the platform, ends only what it has
started, by id, also on Ctrl-C. With --seeds it plays that many seeds in turn and prints a table.
The schedule of a seed is written beside the logs; one that was cut down is played by --schedule.
Exit status 1 means that a promise was broken.
"""

import gc
import itertools
import random
import re
import shutil
import signal
import sys
import time
from collections.abc import Sequence
from pathlib import Path

import attrs
import click
from platform_deployment import LINKED_ROUTER, PlatformDeployment
from resuming_callers import ResumingCallers
from router_partition import link_router
from router_run import ROUTER
from soak_callers import (
    GREEDY,
    GREEDY_RATE,
    GREEDY_TENANT,
    PROMPT_UNITS,
    SLOW_MARK,
    Callers,
    DelayMeter,
    Lookers,
)
from soak_faults import Faults
from soak_history import history_of
from soak_partitions import LeavingCallers

from martenrun.proof.router_checkers import check_all
from martenrun.proof.router_records import (
    LimitBound,
    PromiseBounds,
    RateBound,
    RouterHistory,
    RouterLife,
)
from martenrun.proof.soak_schedule import (
    NOTICE_KINDS,
    PARTITION_KINDS,
    SEPARATION_KINDS,
    SOFTWARE_KINDS,
    Step,
    add_restores,
    add_separations,
    draw_schedule,
    from_text,
    to_text,
)
from martenrun.router.router_table import DEAD_AFTER_S, MAX_DEAD_AFTER_SLOWDOWN, max_detection_s

CALLERS = 12

RESUMING_CALLERS = 10
"""Callers that resume streams, while runners have several software versions."""

LINKED_KINDS = {**PARTITION_KINDS, **NOTICE_KINDS}
"""Kinds for which each router needs links of its own to the runners."""

MODEL_RUNNERS = 3
MODEL_RUNNERS_WITH_VERSIONS = 6
"""Model runners of a deployment, without and with several software versions."""

SETTLE_S = 6.0
"""How long callers go on after the last fault has ended, in seconds."""

MOST_SETTLE_S = 12.0
"""How much longer they go on, at most, until the deployment has come to rest, in seconds."""

MARGIN_S = 1.0
"""Added to bounds for what the looking itself takes, in seconds."""

REVOKE_S = 5.0
DRAIN_S = 2.0
CONTACT_S = 3.0
QUIET_S = 3.5
"""Bounds of the deployment's settings, and how long nothing must be in trouble for them."""

LIMIT_BOUND = LimitBound(
    window_s=4.0, rate_factor=1.5, extra_requests=5, propagation_s=CONTACT_S, reaction_s=0.5
)
"""Bound on the requests that a runner receives while it advertises a rate limit."""

QUOTA_WINDOW_S = 8.0
QUOTA_OVER = 0.1
QUOTA_SLACK = 4000.0
"""What may pass of a tenant's rate, as the deployment's settings say."""

CLOSED_S = 1.2
"""How long work may go on after its caller left: two events of a slow stream and a margin."""

LOOK_S = 0.02

HELD_BACK = re.compile(rb'"request_held_back","fingerprint":"([0-9a-f]+)"')
"""Finds in a log which requests its router held back."""


@attrs.frozen
class Outcome:
    """One seed's result."""

    seed: int
    routers: int
    requests: int
    served: int
    faults: int
    looks: int
    longest_stall_s: float
    delay: str
    violations: Sequence[str]

    def row(self) -> str:
        """Return a line of the table."""
        return (
            f"| {self.seed} | {self.routers} | {self.requests} | {self.served} | {self.faults} "
            f"| {self.looks} | {len(self.violations)} | {self.longest_stall_s:.2f} |"
        )


HEAD = (
    "| seed | routers | requests | served | faults | directory answers | violations "
    "| longest stall, s |\n| --- | --- | --- | --- | --- | --- | --- | --- |"
)


def most_at_once(lives: Sequence[RouterLife]) -> int:
    """Return how many routers lived at a time, those included that others still counted."""
    counted_s = DEAD_AFTER_S * MAX_DEAD_AFTER_SLOWDOWN
    return max(
        len({one.router for one in lives if one.started_at <= at < one.ended_at + counted_s})
        for at in (life.started_at for life in lives)
    )


def bounds_of(routers: int) -> PromiseBounds:
    """Return the bounds for a deployment of so many routers."""
    rate = GREEDY_RATE
    most_units = (rate * QUOTA_WINDOW_S + rate) * (1 + QUOTA_OVER) + QUOTA_SLACK
    return PromiseBounds(
        revoke_s=REVOKE_S,
        drain_s=DRAIN_S,
        quiet_s=QUIET_S,
        named_s=max_detection_s(routers) + MARGIN_S,
        closed_s=CLOSED_S,
        contact_s=CONTACT_S + MARGIN_S,
        rates=(RateBound(GREEDY, PROMPT_UNITS, QUOTA_WINDOW_S, most_units),),
        limit=LIMIT_BOUND,
    )


def play(
    steps: Sequence[Step],
    seed: int,
    deployment: PlatformDeployment,
    logs: Path | None,
    holds_rates: bool = True,
    greedy_callers: int = 1,
    hangs_up_starts: bool = False,
) -> Outcome:
    """Play a schedule on a deployment with relays, and check the promises.

    Args:
        holds_rates: all its routers know of tenants' rates.
        greedy_callers: how many callers of the greedy tenant come, one request at a time each.
        hangs_up_starts: whether each router that starts gets a SIGHUP at a drawn moment.
    """
    gc.collect()
    routers = len(deployment.routers)
    deployment.more_tenants = [GREEDY_TENANT]
    with deployment:
        faults = Faults(deployment, random.Random(seed) if hangs_up_starts else None)
        callers, lookers, meter = Callers(deployment, seed), Lookers(deployment), DelayMeter()
        has_versions = any(step.kind in SOFTWARE_KINDS for step in steps)
        resuming = ResumingCallers(deployment, RESUMING_CALLERS, seed, suffix=SLOW_MARK)
        if any(step.kind in SEPARATION_KINDS for step in steps):
            resuming = LeavingCallers(deployment, seed, faults)
        faults.send_deadly = callers.send_deadly
        faults.send_deadly_part = callers.send_deadly_part
        meter.start()
        callers.start(CALLERS)
        for _ in range(greedy_callers):
            callers.start_greedy()
        lookers.start()
        if has_versions:
            resuming.start()
        try:
            _strike(steps, faults)
        finally:
            if has_versions:
                resuming.stop()
            callers.stop()
            lookers.stop()
            meter.stop()
        history = attrs.evolve(
            history_of(deployment, faults, callers, lookers),
            calls=[*callers.calls, *resuming.calls],
            streams=resuming.streams,
            software_spans=faults.software_spans(),
        )
        bounds = bounds_of(most_at_once(history.lives))
        violations = check_all(history, bounds if holds_rates else attrs.evolve(bounds, rates=()))
        violations += _shut_out(deployment, history)
        violations += [f"own end: {text}" for text in faults.own_ends]
        outcome = Outcome(
            seed=seed,
            routers=routers,
            requests=len(history.calls),
            served=sum(call.status == 200 for call in history.calls),
            faults=len(faults.done),
            looks=len(history.directory),
            longest_stall_s=_longest_stall_s(callers.served_at),
            delay=meter.text(),
            violations=violations,
        )
        if violations and logs is not None:
            folder = logs / f"seed-{seed}"
            shutil.copytree(deployment.folder.name, folder, dirs_exist_ok=True)
            (folder / "schedule.jsonl").write_text(to_text(steps))
            (folder / "violations.txt").write_text("\n".join(violations) + "\n")
            (folder / "troubles.txt").write_text(_record_text(history))
    return outcome


def _strike(steps: Sequence[Step], faults: Faults) -> None:
    began_at = time.monotonic()
    for step in steps:
        while (left_s := began_at + step.at_s - time.monotonic()) > 0:
            faults.go_on()
            time.sleep(min(LOOK_S, left_s))
        faults.strike(step)
    faults.end_all()
    ends_at = time.monotonic() + SETTLE_S
    latest_at = ends_at + MOST_SETTLE_S
    while time.monotonic() < ends_at:
        faults.go_on()
        # A request that first came at the end may still have had runners to end, and a lease that
        # was taken last keeps orders of the newest weights waiting.
        unrest_at = time.monotonic() if faults.has_old_weights() else faults.crashed_at
        ends_at = min(latest_at, max(ends_at, unrest_at + SETTLE_S))
        time.sleep(LOOK_S)


def _shut_out(deployment: PlatformDeployment, history: RouterHistory) -> list[str]:
    """Return a violation if routers held back more requests than there were deadly ones."""
    held = {
        fingerprint.decode()
        for router in deployment.routers
        for fingerprint in HELD_BACK.findall(router.log.read_bytes())
    }
    deadly = {run.deadly or run.deadly_part for run in history.runs} - {""}
    if len(held) <= len(deadly):
        return []
    return [f"shut out: {len(held)} requests held back, {len(deadly)} deadly ones: {held}"]


def _record_text(history: RouterHistory) -> str:
    """Return what was done to routers and runners, for whoever traces a violation."""
    records = [*history.lives, *history.troubles, *history.departures, *history.revocations]
    return "".join(f"{record}\n" for record in records)


def _longest_stall_s(served_at: list[float]) -> float:
    ordered = sorted(served_at)
    return max((b - a for a, b in itertools.pairwise(ordered)), default=0.0)


@click.command()
@click.option("--minutes", default=1.0, show_default=True, help="how long faults strike")
@click.option("--seed", default=1, show_default=True, help="choice of faults and requests")
@click.option("--seeds", default=1, show_default=True, help="seeds in turn, from --seed on")
@click.option("--routers", default=3, show_default=True, help="router processes at a time")
@click.option("--runner-starts", is_flag=True, help="runners start again, entries are broken")
@click.option("--deadly", is_flag=True, help="some requests end each runner that runs them")
@click.option("--deadly-parts", is_flag=True, help="parts of prompts end runners")
@click.option("--limits", is_flag=True, help="runners temporarily advertise rate limits")
@click.option("--partitions", is_flag=True, help="routers are cut off from all runners")
@click.option("--software", is_flag=True, help="runners change their software version")
@click.option("--notices", is_flag=True, help="runners announce drains and request backoffs")
@click.option("--restores", is_flag=True, help="the store returns from older copies")
@click.option("--separations", is_flag=True, help="routers are cut off from store and routers")
@click.option("--hang-up-starts", is_flag=True, help="each router that starts gets a SIGHUP")
@click.option("--schedule", type=click.Path(path_type=Path, exists=True), help="play this one")
@click.option("--keep-logs", type=click.Path(path_type=Path), help="folder for logs of violations")
def soak(
    minutes: float,
    seed: int,
    seeds: int,
    routers: int,
    runner_starts: bool,
    deadly: bool,
    deadly_parts: bool,
    limits: bool,
    partitions: bool,
    software: bool,
    notices: bool,
    restores: bool,
    separations: bool,
    hang_up_starts: bool,
    schedule: Path | None,
    keep_logs: Path | None,
) -> None:
    """Play faults against real routers and check the promises."""
    # Routers would inherit it: under nohup no SIGHUP of a schedule would reach them.
    if signal.getsignal(signal.SIGHUP) == signal.SIG_IGN:
        signal.signal(signal.SIGHUP, signal.SIG_DFL)
    outcomes = []
    click.echo(HEAD)
    for number in range(seed, seed + seeds):
        if schedule is None:
            steps = draw_schedule(
                number,
                minutes * 60,
                runner_starts,
                deadly,
                limits,
                partitions,
                software,
                notices,
                deadly_parts,
            )
            if restores:
                steps = add_restores(steps, number, minutes * 60)
            if separations:
                steps = add_separations(steps, number, minutes * 60)
        else:
            steps = from_text(schedule.read_text())
        has_links = any(step.kind in LINKED_KINDS for step in steps)
        has_versions = any(step.kind in SOFTWARE_KINDS for step in steps)
        has_separations = any(step.kind in SEPARATION_KINDS for step in steps)
        deployment = PlatformDeployment(
            routers,
            MODEL_RUNNERS_WITH_VERSIONS if has_versions else MODEL_RUNNERS,
            3,
            has_relays=True,
            program=LINKED_ROUTER if has_links or has_separations else ROUTER,
            has_links=has_links,
        )
        if has_separations:
            for router in deployment.routers:
                link_router(deployment, router)
        outcome = play(steps, number, deployment, keep_logs, hangs_up_starts=hang_up_starts)
        outcomes.append(outcome)
        click.echo(outcome.row())
        click.echo(f"  {outcome.delay}", err=True)
        for text in outcome.violations:
            click.echo(f"  seed {number}: {text}", err=True)
    total = sum(len(outcome.violations) for outcome in outcomes)
    click.echo(f"{len(outcomes)} seeds, {total} violations")
    sys.exit(1 if total else 0)


if __name__ == "__main__":
    soak()
