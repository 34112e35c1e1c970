"""Tests of the capacity table."""

import json
import subprocess
import sys
from pathlib import Path

import measure_capacity
import pytest
from click.testing import CliRunner

from martenrun.bench import configuration, index, node_state
from martenrun.capacity.fit import fit_slopes
from martenrun.capacity.model import Driver, Figure, Slope, Spread, load_target
from martenrun.capacity.results import UnlikeResultError
from martenrun.capacity.table import (
    TABLE_END,
    TABLE_START,
    as_markdown,
    read_slopes,
    replace_table,
    work_out,
)
from martenrun.routing.beliefs import FED_MEMORY_BYTES
from martenrun.routing.prefix_index import PrefixIndex

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


def test_memory_results_are_those_of_the_present_code():
    """Memory that is counted hardly differs from run to run; what differs is to be measured again.

    The whole process is left out: what is resident depends on the machine.
    """
    held = {slope.name: slope.state_bytes for slope in fit_slopes(DOCS / "measurements")}
    blocks = index.measure("arrays", lambda: PrefixIndex(FED_MEMORY_BYTES), 4_300_000, seed=1)
    state = node_state.run(nodes=370, runners=12_000)
    per_object, _cpu_ms = configuration.state_costs()
    found = {
        "believed blocks": blocks.bytes_per_block,
        "members known": state.bytes_per_member,
        "runners known": state.bytes_per_runner,
        "chains sent": state.routed_bytes,
        "configuration state": 2 * per_object,
    }
    assert {name: held[name] for name in found} == pytest.approx(found, rel=0.03)


def test_a_process_that_compiled_at_each_start_is_no_measurement_of_its_memory(tmp_path):
    for file in (DOCS / "measurements").iterdir():
        (tmp_path / file.name).write_bytes(file.read_bytes())
    states = json.loads((tmp_path / "restart.json").read_bytes())
    states.append({**states[-1], "bytecode_is_cached": False})
    (tmp_path / "restart.json").write_text(json.dumps(states))
    with pytest.raises(UnlikeResultError):
        fit_slopes(tmp_path)


def test_only_nodes_are_held_to_the_allowance():
    agents = Slope("agents, all", "x", Driver.TOKENS_PER_S, "f", "r", "d", cpu_us=400.0)
    assert work_out([agents], load_target()).totals[0].over == []


def test_a_figure_that_nobody_measured_is_told_and_never_shown_as_nothing():
    table = work_out([slope(cpu_us=1.0, unmeasured=[Figure.BYTES])], load_target())
    row = next(
        r
        for r in as_markdown(table, load_target().allowance).splitlines()
        if "| line | runners" in r
    )
    assert row.split("|")[5:8] == [" 0.003 ", " not measured ", " 0.0 "]
    assert table.totals[0].unmeasured == ["line"]
    total = as_markdown(table, load_target().allowance).splitlines()[-3]
    assert total.startswith("| node | 0.003 | not measured | 0.00 |")
    partly = work_out([slope(unmeasured=[Figure.BYTES]), slope(sent_bytes=1.0)], load_target())
    assert "| at least 32 |" in as_markdown(partly, load_target().allowance)


def test_a_spread_is_scaled_like_its_line():
    spread = Spread(5.0, 20.0, 3)
    line = work_out([slope(cpu_us=10.0, cpu_us_spread=spread)], load_target()).lines[0]
    assert line.cpu_share_spread.least == pytest.approx(line.cpu_share / 2)
    assert line.cpu_share_spread.greatest == pytest.approx(line.cpu_share * 2)


def test_a_real_process_cheaper_than_its_logic_is_no_measurement_of_its_drivers(tmp_path):
    for file in (DOCS / "measurements").iterdir():
        (tmp_path / file.name).write_bytes(file.read_bytes())
    control = json.loads((tmp_path / "control-node.json").read_bytes())
    cheap = {**control, "steps": [{"rate": 60.0, "cpu_us": 10.0}]}
    (tmp_path / "control-node.json").write_text(json.dumps(cheap))
    (line,) = [entry for entry in fit_slopes(tmp_path) if entry.name == "sockets, threads, loop"]
    assert line.unmeasured == [Figure.CPU]


def test_feeds_without_a_result_are_lines_that_are_not_measured(tmp_path):
    for file in (DOCS / "measurements").iterdir():
        if file.name != "engine-feeds.json":
            (tmp_path / file.name).write_bytes(file.read_bytes())
    feeds = [entry for entry in fit_slopes(tmp_path) if entry.name.startswith("engine feeds")]
    assert feeds and all(entry.unmeasured == [Figure.CPU] for entry in feeds)


def test_a_result_replaces_the_one_of_the_same_size_and_seed(tmp_path):
    file = tmp_path / "scale.jsonl"
    for nodes, seed, value in ((10, 1, "a"), (10, 2, "b"), (10, 1, "c")):
        result = {"scenario": {"nodes": nodes, "seed": seed}, "value": value}
        measure_capacity.replace_line(file, (), json.dumps(result))
    assert [json.loads(line)["value"] for line in file.read_text().splitlines()] == ["b", "c"]


def test_a_measuring_that_was_cut_short_goes_on_where_it_stopped(tmp_path, monkeypatch):
    ran = []

    def step(name, code):
        def write(path, command, output):
            ran.append((name, output))

        return measure_capacity.Step(name, (sys.executable, "-c", code), "f", write, 1.0)

    steps = [step("good", "print(1)"), step("bad", "raise SystemExit(1)")]
    monkeypatch.setattr(measure_capacity, "steps", lambda: steps)
    arguments = ["--limit-s", "20", "--out", str(tmp_path), "--state", str(tmp_path / "state")]
    for _ in range(2):
        result = CliRunner().invoke(measure_capacity.main, arguments)
        assert result.exit_code == 1 and "bad" in str(result.exception)
    assert ran == [("good", "1\n")]


def test_a_small_trial_adds_its_arguments_leaves_steps_out_and_keeps_no_result(
    tmp_path, monkeypatch
):
    ran = []

    def step(name):
        def write(path, command, output):
            ran.append((name, output))
            assert path.parent != measure_capacity.RESULTS

        code = "import sys; print(sys.argv[1:])"
        command = (sys.executable, "-c", code, "--nodes", "370")
        return measure_capacity.Step(name, command, "trial.json", write, 1.0, ("--nodes", "6"))

    monkeypatch.setattr(measure_capacity, "steps", lambda: [step("one"), step("scale full")])
    state = tmp_path / "state"
    arguments = ["--small", "--skip", "full", "--state", str(state)]
    result = CliRunner().invoke(measure_capacity.main, arguments)
    assert result.exit_code == 0, result.output
    assert ran == [("one", "['--nodes', '370', '--nodes', '6']\n")]
    assert not state.exists()


def test_a_run_out_of_time_may_end_what_it_has_started(tmp_path):
    ended = tmp_path / "ended"
    code = (
        "import pathlib, time\n"
        "try:\n    time.sleep(60)\n"
        f"finally:\n    pathlib.Path({str(ended)!r}).touch()"
    )
    with pytest.raises(subprocess.TimeoutExpired):
        measure_capacity.output_of((sys.executable, "-c", code), 1.0)
    assert ended.exists()


def test_whole_lists_of_a_herd_are_shared_by_the_readers(tmp_path):
    for file in (DOCS / "measurements").iterdir():
        (tmp_path / file.name).write_bytes(file.read_bytes())
    cost = {"reader_us": 60.0, "asker_us": 9_000.0, "answer_bytes": 30_000}
    result = {"whole": cost, "change": cost, "unchanged": {**cost, "reader_us": 9.0}}
    (tmp_path / "machine-list.json").write_text(json.dumps(result))
    lines = {line.role: line for line in work_out(fit_slopes(tmp_path), load_target()).lines}
    assert lines["bad day, all restarted"].bytes_per_s == pytest.approx(370 / 3 * 30_000)
    assert lines["bad day, a tenth restarted"].cpu_share == pytest.approx(37 / 3 * 60e-6)
    assert lines["bad day, a restarted node"].cpu_share == pytest.approx(9e-3)
    reader = lines["machine list reader, three"]
    assert reader.cpu_share == pytest.approx(370 / 3 / 0.75 * 9e-6) and not reader.unmeasured
