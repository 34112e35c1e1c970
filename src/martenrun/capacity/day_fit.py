"""Slopes of what happens on an ordinary and on a bad day."""

from pathlib import Path

from martenrun.capacity.model import Driver, Figure, Slope
from martenrun.capacity.results import (
    MachineListResult,
    MembershipCost,
    MembershipFile,
    MembershipResult,
    read_result,
)
from martenrun.ownership.machine_feed import READERS

ORDINARY_DAY = "ordinary day, each node"
_FILE = "membership.json"
_LIST_FILE = "machine-list.json"
_RUN = "martenrun bench membership --nodes 370 --json"
_MECHANISM = "src/martenrun/membership/gossip.py"


def day_slopes(measurements: Path) -> list[Slope]:
    """Return the lines of failures and restarts; bad days are lines that do not add up."""
    largest = _largest(measurements)
    file = f"docs/measurements/{_FILE}"
    repeated = max(_results(measurements), key=lambda result: result.restart.restarts)
    restart = (repeated if repeated.restart.restarts else largest).restart
    # A difference to the cost without changes: one that is not positive is no figure.
    differences = {
        Figure.CPU: restart.cpu_us or 0.0,
        Figure.BYTES: restart.sent_bytes,
        Figure.MESSAGES: restart.sent_messages,
    }
    no_figures = [figure for figure, value in differences.items() if value <= 0]
    ordinary = Slope(
        ORDINARY_DAY, "failures and restarts", Driver.MEMBER_CHANGES_PER_S, _MECHANISM, _RUN, file,
        cpu_us=max(0.0, restart.cpu_us or 0.0),
        sent_bytes=max(0.0, restart.sent_bytes), messages=max(0.0, restart.sent_messages),
        unmeasured=no_figures,
        note="news of members; as if every machine that fails or restarts were a node; "
        f"mean of {restart.restarts or 3} restarts",
    )  # fmt: skip
    bad_days = (
        ("zone lost", largest.zone),
        ("region cut off", largest.cut),
        ("region merged", largest.heal),
    )
    return [
        ordinary,
        *(_bad_day(name, cost, largest, file) for name, cost in bad_days),
        *_herds(measurements),
    ]


def _herds(measurements: Path) -> list[Slope]:
    """Return what whole machine lists cost in the second in which restarted nodes ask for them."""
    path = measurements / _LIST_FILE
    if not path.exists():
        return []
    whole = read_result(path, MachineListResult).whole
    run, file = "martenrun bench machine-list --json", f"docs/measurements/{_LIST_FILE}"
    mechanism = "src/martenrun/ownership/packed_machines.py"
    lines = [
        Slope(
            f"bad day, {name}", "whole machine lists, each of three readers", Driver.NODES,
            mechanism, run, file, cpu_us=share / READERS * whole.reader_us,
            sent_bytes=share / READERS * whole.answer_bytes, messages=share / READERS,
            note="as if all asked within one second; bytes and time are of that second",
        )
        for name, share in (("a tenth restarted", 0.1), ("all restarted", 1.0))
    ]  # fmt: skip
    asker = Slope(
        "bad day, a restarted node", "its whole machine list", Driver.CONSTANT, mechanism, run,
        file, cpu_us=whole.asker_us, messages=1.0, note="once; in the second of its start",
    )  # fmt: skip
    return [*lines, asker]


def _results(measurements: Path) -> list[MembershipResult]:
    return [run.result for run in read_result(measurements / _FILE, MembershipFile).runs]


def _largest(measurements: Path) -> MembershipResult:
    return max(_results(measurements), key=lambda result: (result.nodes, -result.loss))


def _bad_day(name: str, cost: MembershipCost, result: MembershipResult, file: str) -> Slope:
    return Slope(
        f"bad day, {name}", "membership until all nodes agree", Driver.CONSTANT, _MECHANISM, _RUN,
        file, cpu_us=cost.cpu_us, sent_bytes=cost.sent_bytes, messages=cost.sent_messages,
        note=f"mean node at {result.nodes} nodes, simulation included in the processor time; "
        f"the busiest sends {cost.busiest_bytes:,.0f} bytes/s",
    )  # fmt: skip
