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


@pytest.mark.parametrize(
    "rows",
    [
        ROW.format("a", "e", "z") + ROW.format("a", "e", "a"),
        ROW.format("a", "e", "z") + ROW.format("z", "e", "a"),
        ROW.format("a", "e", "z") + ROW.format("lost", "e", "z"),
        ROW.format("a", "e", "z") + ROW.format("a", "f", "stuck"),
    ],
    ids=["twice", "leaves-final", "unreachable", "no-way-out"],
)
def test_contradictory_charts_are_refused(rows):
    with pytest.raises(ChartError):
        compile_chart("bad", HEAD + rows)


def test_every_action_of_the_request_chart_is_implemented():
    logic = RequestsLogic(lambda: [])
    assert load_chart("request").actions == set(logic._actions)


def test_every_action_of_the_watcher_chart_is_implemented():
    members = StaticMemberView(Member("node"), [Member("node")])
    watching = StoreWatching(ConfigurationState(), members, random.Random(0))
    assert load_chart("watcher").actions == set(watching._actions)
