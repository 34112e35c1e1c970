"""Checks histories of real processes under failure: the second half of ``make prove``.

One deployment serves many short runs and is restored between them.  Exit status 1 means that
a violation was found or that the harness failed; everything started is ended, also on Ctrl-C.
"""

import argparse
import signal
import sys
import time
from collections.abc import Iterable

import msgspec
from process_run import ProcessRun
from proved_deployment import ProvedDeployment

from martenrun.proof.history import AnyRecord
from martenrun.proof.process_campaign import ProcessCampaign, ProcessSummary
from martenrun.proof.process_schedule import ProcessSchedule, draw_process_schedule

SHOWN_VIOLATIONS = 20
INTERRUPTED_STATUS = 130


def run_campaign(
    schedules: Iterable[ProcessSchedule],
    first_seed: int,
    limit_s: float,
    entries: dict[str, tuple[str, ...]] | None = None,
) -> ProcessSummary:
    """Run schedules one after another until the time has passed.

    A run that the harness cannot finish counts as crashed, and the deployment is replaced.
    ``entries`` are those of the deployment.
    """
    until = time.monotonic() + limit_s
    campaign = ProcessCampaign(first_seed)
    deployment: ProvedDeployment | None = None
    try:
        for schedule in schedules:
            if time.monotonic() > until:
                campaign.summary.stopped_early = True
                break
            if deployment is None:
                deployment = ProvedDeployment(entries=entries or {})
                deployment.start()
            try:
                history = ProcessRun(deployment, schedule).run()
                campaign.add(schedule.seed, schedule.faults, history)
            except Exception as error:
                campaign.crashed(schedule.seed, error)
                deployment.stop()
                campaign.finish(executions_of(deployment))
                deployment = None
    finally:
        if deployment is not None:
            deployment.stop()
    return campaign.finish([] if deployment is None else executions_of(deployment))


def executions_of(deployment: ProvedDeployment) -> list[AnyRecord]:
    """Return all executions that a deployment's engines have reported."""
    return [record for record in deployment.executions if record.request_id != "probe"]


def show(summary: ProcessSummary, as_json: bool) -> None:
    """Print a summary."""
    if as_json:
        print(msgspec.json.encode(summary).decode())
        return
    early = " (the time ended it)" if summary.stopped_early else ""
    print(f"{summary.runs} runs over real processes{early}, {summary.requests} requests")
    print("answers: " + ", ".join(f"{kind} {n}" for kind, n in summary.answers.items()))
    print("faults: " + ", ".join(f"{kind} {n}" for kind, n in summary.faults.items()))
    print(f"violations: {summary.violations_by_promise or 'none'}")
    for item in summary.violations[:SHOWN_VIOLATIONS]:
        found = item.violation
        print(f"  seed {item.seed}: {found.promise}: {found.subject}: {found.detail}")
    for seed, text in summary.crashes.items():
        print(f"  seed {seed} stopped: {text}")


def _interrupt(_number: int, _frame: object) -> None:
    raise KeyboardInterrupt


def main() -> None:
    """Run until the number of runs or the time is reached, and print the summary."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--runs", type=int, default=200)
    parser.add_argument("--seed", type=int, default=0)
    parser.add_argument("--limit-s", type=float, default=600.0)
    parser.add_argument("--json", action="store_true")
    arguments = parser.parse_args()
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, _interrupt)
    seeds = range(arguments.seed, arguments.seed + arguments.runs)
    schedules = (draw_process_schedule(seed) for seed in seeds)
    try:
        summary = run_campaign(schedules, arguments.seed, arguments.limit_s)
    except KeyboardInterrupt:
        sys.exit(INTERRUPTED_STATUS)
    show(summary, arguments.json)
    sys.exit(0 if summary.is_clean else 1)


if __name__ == "__main__":
    main()
