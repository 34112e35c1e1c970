"""Working out the capacity table from a slope file, and writing it as Markdown."""

from pathlib import Path

import msgspec

from martenrun.capacity.model import (
    Allowance,
    Figure,
    Line,
    Slope,
    Spread,
    Target,
    units_at,
)

MICROSECONDS_PER_S = 1_000_000
NODE_ROLE = "node"
"""The role that the allowance is for."""

NOT_MEASURED = "not measured"
WHOLE_UNITS_FROM = 1_000
"""Units from which on no fractions are shown."""


TABLE_START = "<!-- table: martenrun capacity -->"
TABLE_END = "<!-- end of table -->"


class RoleTotal(msgspec.Struct, frozen=True):
    """Sum of a role's lines against the allowance.

    ``unmeasured`` names the lines that lack a figure: the true sum is greater.  ``partial`` are
    figures that some lines lack, ``missing`` those that all lack.
    """

    role: str
    cpu_share: float
    bytes_per_s: float
    state_bytes: float
    over: list[str]
    unmeasured: list[str] = []
    partial: list[Figure] = []
    missing: list[Figure] = []


class CapacityTable(msgspec.Struct, frozen=True):
    """Every line, and the sum of each role."""

    lines: list[Line]
    totals: list[RoleTotal]


def read_slopes(path: Path) -> list[Slope]:
    """Read a slope file; raises msgspec.MsgspecError for a faulty one."""
    return msgspec.json.decode(path.read_bytes(), type=list[Slope])


def work_out(slopes: list[Slope], target: Target) -> CapacityTable:
    """Multiply each slope with its driver at the target size and sum up by role."""
    lines = [_line(slope, target) for slope in slopes]
    roles = sorted({line.role for line in lines})
    totals = [_total(role, lines, target.allowance) for role in roles]
    return CapacityTable(lines, totals)


def _line(slope: Slope, target: Target) -> Line:
    units = units_at(slope.driver, target.size)
    return Line(
        role=slope.role,
        name=slope.name,
        driver=slope.driver.value,
        units=round(units, 3),
        cpu_share=slope.cpu_us * units / MICROSECONDS_PER_S,
        bytes_per_s=slope.sent_bytes * units,
        messages_per_s=slope.messages * units,
        state_bytes=slope.state_bytes * units,
        mechanism=slope.mechanism,
        result=slope.result,
        note=slope.note,
        unmeasured=slope.unmeasured,
        cpu_share_spread=_share_spread(slope.cpu_us_spread, units),
    )


def _total(role: str, lines: list[Line], allowance: Allowance) -> RoleTotal:
    own = [line for line in lines if line.role == role]
    cpu_share = sum(line.cpu_share for line in own)
    bytes_per_s = sum(line.bytes_per_s for line in own)
    state_bytes = sum(line.state_bytes for line in own)
    measures = {
        "cpu": cpu_share > allowance.cpu_share,
        "bytes": bytes_per_s > allowance.bytes_per_s,
        "memory": state_bytes > allowance.memory_bytes,
    }
    is_held_to_it = role == NODE_ROLE
    over = [name for name, exceeded in measures.items() if exceeded and is_held_to_it]
    unmeasured = [line.name for line in own if line.unmeasured]
    lacking = {f: sum(f in line.unmeasured for line in own) for f in Figure}
    return RoleTotal(
        role,
        cpu_share,
        bytes_per_s,
        state_bytes,
        over,
        unmeasured,
        partial=[figure for figure, count in lacking.items() if 0 < count < len(own)],
        missing=[figure for figure, count in lacking.items() if count == len(own)],
    )


def _share_spread(spread: Spread | None, units: float) -> Spread | None:
    if spread is None:
        return None
    scale = units / MICROSECONDS_PER_S
    return Spread(spread.least * scale, spread.greatest * scale, spread.runs)


def as_markdown(table: CapacityTable, allowance: Allowance) -> str:
    """Write the table as it stands in docs/CAPACITY.md, markers included."""
    rows = [
        TABLE_START,
        "",
        "| role | line | grows with | units | % of a core | bytes/s | messages/s | memory MB "
        "| mechanism | measured by |",
        "| --- | --- | --- | ---: | ---: | ---: | ---: | ---: | --- | --- |",
    ]
    rows += [_line_row(line) for line in table.lines]
    rows += [
        "",
        "| role | % of a core | bytes/s | memory MB | over the allowance | not wholly measured |",
        "| --- | ---: | ---: | ---: | --- | --- |",
        f"| allowance | {allowance.cpu_share * 100:.3f} | {allowance.bytes_per_s:,.0f} "
        f"| {allowance.memory_bytes / 1e6:,.2f} | | |",
    ]
    for total in table.totals:
        rows.append(_total_row(total))
    return "\n".join([*rows, "", TABLE_END])


def _total_row(total: RoleTotal) -> str:
    def cell(figure: Figure, text: str) -> str:
        if figure in total.missing:
            return NOT_MEASURED
        return f"at least {text}" if figure in total.partial else text

    return (
        f"| {total.role} | {cell(Figure.CPU, f'{total.cpu_share * 100:.3f}')} "
        f"| {cell(Figure.BYTES, f'{total.bytes_per_s:,.0f}')} "
        f"| {cell(Figure.MEMORY, f'{total.state_bytes / 1e6:,.2f}')} | {_verdict(total)} "
        f"| {', '.join(total.unmeasured)} |"
    )


def _units(units: float) -> str:
    return f"{units:,.0f}" if units >= WHOLE_UNITS_FROM else f"{units:,.4g}"


def _line_row(line: Line) -> str:
    def cell(figure: Figure, text: str) -> str:
        return NOT_MEASURED if figure in line.unmeasured else text

    cpu = f"{line.cpu_share * 100:.3f}"
    if line.cpu_share_spread is not None:
        spread = line.cpu_share_spread
        cpu += f" ({spread.least * 100:.3f} to {spread.greatest * 100:.3f})"
    return (
        f"| {line.role} | {line.name} | {line.driver} | {_units(line.units)} "
        f"| {cell(Figure.CPU, cpu)} | {cell(Figure.BYTES, f'{line.bytes_per_s:,.0f}')} "
        f"| {cell(Figure.MESSAGES, f'{line.messages_per_s:,.1f}')} "
        f"| {cell(Figure.MEMORY, f'{line.state_bytes / 1e6:,.2f}')} "
        f"| `{line.mechanism}` | {f'`{line.result}`' if line.result else NOT_MEASURED} |"
    )


def _verdict(total: RoleTotal) -> str:
    if total.role != NODE_ROLE:
        return "not held to it"
    return ", ".join(total.over) or "no"


def replace_table(page: str, table_text: str) -> str:
    """Return the page with its table replaced; raises ValueError without markers."""
    start = page.index(TABLE_START)
    end = page.index(TABLE_END) + len(TABLE_END)
    return page[:start] + table_text + page[end:]
