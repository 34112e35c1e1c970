"""Tests of the capacity table."""

from pathlib import Path

import pytest

from martenrun.capacity.fit import fit_slopes
from martenrun.capacity.model import Driver, Slope, load_target
from martenrun.capacity.table import (
    TABLE_END,
    TABLE_START,
    as_markdown,
    read_slopes,
    replace_table,
    work_out,
)

DOCS = Path(__file__).parent.parent / "docs"


def slope(**costs):
    return Slope("node", "line", Driver.RUNNERS, "file.py", "run", "result.json", **costs)


def test_a_line_is_its_slope_times_the_units_of_one_node():
    line = work_out([slope(cpu_us=10.0, state_bytes=100.0)], load_target()).lines[0]
    assert line.units == pytest.approx(12_000 / 370, rel=1e-3)
    assert line.cpu_share == pytest.approx(10e-6 * 12_000 / 370)
    assert line.state_bytes == pytest.approx(100 * 12_000 / 370)


def test_a_role_over_its_allowance_is_marked_with_what_exceeds_it():
    table = work_out([slope(sent_bytes=300.0), slope(sent_bytes=300.0)], load_target())
    assert table.totals[0].over == ["bytes"]
    assert "| bytes |" in as_markdown(table, load_target().allowance)


def test_only_the_table_of_a_page_is_replaced():
    page = f"before\n{TABLE_START}\nold\n{TABLE_END}\nafter\n"
    replaced = replace_table(page, f"{TABLE_START}\nnew\n{TABLE_END}")
    assert replaced == f"before\n{TABLE_START}\nnew\n{TABLE_END}\nafter\n"


def test_page_slopes_and_results_agree():
    slopes = read_slopes(DOCS / "measurements" / "slopes.json")
    assert slopes == fit_slopes(DOCS / "measurements")
    target = load_target()
    table = as_markdown(work_out(slopes, target), target.allowance)
    assert table in (DOCS / "CAPACITY.md").read_text(encoding="utf-8")


def test_only_nodes_are_held_to_the_allowance():
    agents = Slope("agents, all", "x", Driver.TOKENS_PER_S, "f", "r", "d", cpu_us=400.0)
    assert work_out([agents], load_target()).totals[0].over == []
