"""Slopes of what happens on an ordinary and on a bad day."""

from pathlib import Path

from martenrun.capacity.model import Driver, Figure, Slope
from martenrun.capacity.results import (
    MembershipCost,
    MembershipFile,
    MembershipResult,
    read_result,
)

ORDINARY_DAY = "ordinary day, each node"
_FILE = "membership.json"
_RUN = "martenrun bench membership --nodes 370 --json"
_MECHANISM = "src/martenrun/membership/gossip.py"


def day_slopes(measurements: Path) -> list[Slope]:
    """Return the lines of failures and restarts; bad days are lines that do not add up."""
    largest = _largest(measurements)
    file = f"docs/measurements/{_FILE}"
    restart = largest.restart
    # A difference to the cost without changes: one that is not positive is no figure.
    differences = {Figure.BYTES: restart.sent_bytes, Figure.MESSAGES: restart.sent_messages}
    no_figures = [figure for figure, value in differences.items() if value <= 0]
    ordinary = Slope(
        ORDINARY_DAY, "failures and restarts", Driver.MEMBER_CHANGES_PER_S, _MECHANISM, _RUN, file,
        sent_bytes=max(0.0, restart.sent_bytes), messages=max(0.0, restart.sent_messages),
        unmeasured=[Figure.CPU, *no_figures],
        note="news of members; as if every machine that fails or restarts were a node",
    )  # fmt: skip
    bad_days = (
        ("zone lost", largest.zone),
        ("region cut off", largest.cut),
        ("region merged", largest.heal),
    )
    return [ordinary, *(_bad_day(name, cost, largest, file) for name, cost in bad_days)]


def _largest(measurements: Path) -> MembershipResult:
    runs = [run.result for run in read_result(measurements / _FILE, MembershipFile).runs]
    return max(runs, key=lambda result: (result.nodes, -result.loss))


def _bad_day(name: str, cost: MembershipCost, result: MembershipResult, file: str) -> Slope:
    return Slope(
        f"bad day, {name}", "membership until all nodes agree", Driver.CONSTANT, _MECHANISM, _RUN,
        file, cpu_us=cost.cpu_us, sent_bytes=cost.sent_bytes, messages=cost.sent_messages,
        note=f"mean node at {result.nodes} nodes, simulation included in the processor time; "
        f"the busiest sends {cost.busiest_bytes:,.0f} bytes/s",
    )  # fmt: skip
