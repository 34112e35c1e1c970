"""Tests of chart files and their compiler."""

import random

import pytest

from martenrun.agent.requests import RequestsLogic
from martenrun.configuration.state import ConfigurationState
from martenrun.configuration.watching import StoreWatching
from martenrun.membership.view import Member, StaticMemberView
from martenrun.statecharts.compiler import ChartError, compile_chart, load_chart

ROW = '[[transition]]\nstate="{}"\nevent="{}"\nnext="{}"\n'
HEAD = 'initial="a"\nfinal=["z"]\n'


CHART = HEAD + ROW.format("a", "e", "b") + ROW.format("b", "f", "z") + "[ignored]\n"


@pytest.mark.parametrize(
    ("rows", "fault"),
    [
        (HEAD + ROW.format("a", "e", "z") + ROW.format("a", "e", "a"), "stands twice"),
        (HEAD + ROW.format("a", "e", "z") + ROW.format("z", "e", "a"), "final state z has"),
        (HEAD + ROW.format("a", "e", "z") + ROW.format("lost", "e", "z"), "unreachable.*lost"),
        (
            HEAD + ROW.format("a", "e", "z") + ROW.format("a", "f", "stuck"),
            "without a way out.*stuck",
        ),
        (CHART + 'a=["f"]', "unhandled events .*'b', 'e'"),
        (CHART + 'a=["f", "e"]\nb=["e"]', "ignored events .*'a', 'e'"),
        (CHART + 'a=["f", "g"]\nb=["e"]', "ignored events .*'a', 'g'"),
    ],
    ids=["twice", "leaves-final", "unreachable", "no-way-out", "unhandled", "handled", "unknown"],
)
def test_contradictory_charts_are_refused(rows, fault):
    with pytest.raises(ChartError, match=fault):
        compile_chart("bad", rows)
    assert compile_chart("good", CHART + 'a=["f"]\nb=["e"]').step("a", "f") is None


def test_every_action_of_the_request_chart_is_implemented():
    logic = RequestsLogic(lambda: [])
    assert load_chart("request").actions == set(logic._actions)


def test_every_action_of_the_watcher_chart_is_implemented():
    members = StaticMemberView(Member("node"), [Member("node")])
    watching = StoreWatching(ConfigurationState(), members, random.Random(0))
    assert load_chart("watcher").actions == set(watching._actions)
