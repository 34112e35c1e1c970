"""Tests of the tuning parameters: documentation and checks of overrides."""

import attrs
import pytest

from martenrun.errors import SettingsError
from martenrun.router.decisions import DEFAULTS, Decisions, load_decisions, read_decisions


def test_every_figure_tells_its_unit_and_origin():
    for group in attrs.fields(Decisions):
        for field in attrs.fields(group.type):
            assert field.metadata["unit"] and field.metadata["origin"], field.name


def test_a_file_overrides_single_figures(tmp_path):
    path = tmp_path / "decisions.toml"
    path.write_text("[roll]\nruns_end_s = 1\n[overload]\nothers_share = 0.5\n")
    made = load_decisions(path)
    assert (made.roll.runs_end_s, made.overload.others_share) == (1.0, 0.5)
    assert made.placement == DEFAULTS.placement
    assert load_decisions(tmp_path / "missing.toml") == DEFAULTS


@pytest.mark.parametrize(
    ("table", "fault"),
    [
        ({"rolls": {}}, "rolls: unknown group"),
        ({"roll": 3}, "roll: is not a table"),
        ({"roll": {"speed": 1}}, "roll.speed: unknown parameter"),
        ({"roll": {"runs_end_s": "soon"}}, "'soon' is not a number"),
        ({"roll": {"runs_end_s": True}}, "True is not a number"),
        ({"roll": {"runs_end_s": -1}}, "roll.runs_end_s"),
        ({"placement": {"fetched_share": 1.1}}, "placement.fetched_share"),
        ({"placement": {"fetched_share": float("nan")}}, "placement.fetched_share"),
    ],
)
def test_faulty_figures_are_named(table, fault):
    with pytest.raises(SettingsError) as raised:
        read_decisions(table)
    assert fault in raised.value.message


def test_every_fault_is_named_at_once_and_an_unreadable_file_too(tmp_path):
    with pytest.raises(SettingsError) as raised:
        read_decisions({"roll": {"a": 1, "b": 2}})
    assert "roll.a" in raised.value.message and "roll.b" in raised.value.message
    path = tmp_path / "decisions.toml"
    path.write_text("[roll")
    with pytest.raises(SettingsError):
        load_decisions(path)
