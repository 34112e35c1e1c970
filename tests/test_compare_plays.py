"""The comparison of versions on the users' bench: pairs, errors, and what a report says."""

import math
from pathlib import Path

import pytest
from compare_plays import (
    Play,
    Result,
    differences,
    mean_and_error,
    moved_prices,
    read_result,
    table,
)

SITE = Path("site.toml")


def result(arm, day, seed, worth, prices=None, broken=""):
    play = Play(arm, Path(), SITE, day, seed)
    return Result(play, worth, 0.02, 0.01, {"503": 0.02}, {"whole day": 0.9}, prices or {}, broken)


def test_the_error_of_a_mean():
    mean, error = mean_and_error([0.5, 0.7])
    assert mean == pytest.approx(0.6) and error == pytest.approx(0.1)
    assert mean_and_error([0.5])[1] == math.inf


def test_only_plays_of_the_same_day_and_seed_are_compared():
    base = [result("base", "a", 1, 0.5), result("base", "a", 2, 0.9)]
    change = [result("new", "a", 2, 1.0), result("new", "a", 1, 0.7)]
    assert differences(base, change) == pytest.approx([0.1, 0.2])


def test_prices_that_moved_come_largest_first_and_small_ones_not_at_all():
    base = [result("base", "a", 1, 0.5, {"loads": 0.03, "calls": 0.01, "probes": 0.001})]
    change = [result("new", "a", 1, 0.5, {"loads": 0.01, "calls": 0.015, "probes": 0.0})]
    assert [name for name, _ in moved_prices(base, change)] == ["loads", "calls"]


def test_broken_rules_and_floors_stand_in_the_table():
    results = [result("base", "a", 1, 0.5, broken="DRAIN"), result("new", "a", 1, 0.6)]
    lines = "\n".join(table(SITE, ["base", "new"], results))
    assert "BROKEN a/1 DRAIN" in lines and "change +0.1000" in lines


def report(**changes):
    fields = {
        "G": 0.6,
        "unserved": 0.02,
        "unserved_by": [["503", 3, []]],
        "all": {"n": 110, "not_owed": 10, "late": 2},
        "parts": [["whole day", 0.4, 0.9]],
        "prices": [["loads of weights", 19.0, 0.04]],
        "breaks": {},
        "first": [],
        "fault": None,
        "short": [],
    }
    return {**fields, **changes}


@pytest.mark.parametrize(
    ("changes", "broken"),
    [
        ({}, ""),
        ({"breaks": {"DRAIN": 1, "ONE": 2}, "first": ["at 3.0 s"]}, "DRAIN, ONE: ['at 3.0 s']"),
        ({"fault": "does not start"}, "fault"),
        ({"short": ["whole day"]}, "floor"),
    ],
)
def test_a_report_is_read(changes, broken):
    read = read_result(Play("base", Path(), SITE, "a", 1), report(**changes))
    assert (read.worth, read.prices, read.broken) == (0.6, {"loads of weights": 0.04}, broken)
    assert (read.late, read.unserved_by) == (0.02, {"503": 0.03})
