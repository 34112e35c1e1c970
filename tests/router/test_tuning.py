"""Tests of the tuning parameters: documentation and checks of overrides."""

import attrs
import pytest

from martenrun.errors import SettingsError
from martenrun.router.tuning import (
    DEFAULTS,
    TuningParameters,
    load_tuning_parameters,
    read_tuning_parameters,
)


def test_every_parameter_has_a_unit_and_an_origin():
    for group in attrs.fields(TuningParameters):
        for field in attrs.fields(group.type):
            assert field.metadata["unit"] and field.metadata["origin"], field.name


def test_file_overrides_single_parameters(tmp_path):
    path = tmp_path / "decisions.toml"
    path.write_text("[roll]\nruns_end_s = 1\n[overload]\nothers_share = 0.5\n")
    tuning = load_tuning_parameters(path)
    assert (tuning.roll.runs_end_s, tuning.overload.others_share) == (1.0, 0.5)
    assert tuning.placement == DEFAULTS.placement
    assert load_tuning_parameters(tmp_path / "missing.toml") == DEFAULTS


@pytest.mark.parametrize(
    ("table", "error"),
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
def test_invalid_overrides_are_reported(table, error):
    with pytest.raises(SettingsError) as raised:
        read_tuning_parameters(table)
    assert error in raised.value.message


def test_all_errors_are_reported_and_an_unreadable_file_is_an_error(tmp_path):
    with pytest.raises(SettingsError) as raised:
        read_tuning_parameters({"roll": {"a": 1, "b": 2}})
    assert "roll.a" in raised.value.message and "roll.b" in raised.value.message
    path = tmp_path / "decisions.toml"
    path.write_text("[roll")
    with pytest.raises(SettingsError):
        load_tuning_parameters(path)
