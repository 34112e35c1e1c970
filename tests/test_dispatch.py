"""Events go only to parts that handle them, and no part names too few."""

import ast
import inspect
import random
from pathlib import Path

import martenrun
from martenrun import events
from martenrun.dispatch import Dispatcher, handled_kinds
from martenrun.events import PeerMessage, Tick
from martenrun.node.parts import node_parts
from martenrun.settings.model import NodeSettings
from martenrun.wire import messages
from martenrun.wire.messages import NodeStatus, StatusQuery

OWN = "127.0.0.1:1"
KINDS = {
    name: kind
    for module in (events, messages)
    for name, kind in inspect.getmembers(module, inspect.isclass)
    if kind.__module__ == module.__name__
}
INNER_MODULES = {
    "OwnershipLogic": ["ownership/home.py", "ownership/owner.py"],
    "NodeConfigurationLogic": ["configuration/watching.py"],
    "SharingLogic": ["sharing/usage.py"],
    "QuestionGate": ["claims/logic.py", "ownership/home.py", "ownership/owner.py"],
}
"""Modules whose ``handle`` a part calls with the events it is given."""


class Recorder:
    def __init__(self, handles=None):
        self.seen = []
        if handles is not None:
            self.handles = frozenset(handles)

    def handle(self, event, now):
        self.seen.append(event)
        return []


def parts():
    settings = NodeSettings(
        name="node-a",
        zone="zone-a",
        http_address="127.0.0.1:2",
        peer_address=OWN,
        object_api="127.0.0.1:3",
        machine_list="127.0.0.1:4",
        cluster_secret="s" * 32,
    )
    return node_parts(settings, "run-1", random.Random(1)).in_order()


def names_in(pattern):
    """Return the classes a pattern matches, and those of its inner patterns."""
    return {
        node.cls.id
        for node in ast.walk(pattern)
        if isinstance(node, ast.MatchClass) and isinstance(node.cls, ast.Name)
    }


def kinds_matched(path):
    """Return the events and messages that a module's ``case`` lines name."""
    tree = ast.parse(path.read_text(encoding="utf-8"))
    cases = [node for node in ast.walk(tree) if isinstance(node, ast.match_case)]
    names = set().union(*(names_in(case.pattern) for case in cases)) - {"PeerMessage"}
    return {KINDS[name] for name in names & KINDS.keys()}


def test_every_part_of_a_node_names_all_that_its_modules_match():
    root = Path(martenrun.__file__).parent
    for part in parts():
        kinds = handled_kinds(part)
        assert kinds, type(part).__name__
        paths = [Path(inspect.getfile(type(part)))]
        paths += [root / name for name in INNER_MODULES.get(type(part).__name__, [])]
        for path in paths:
            assert kinds_matched(path) <= kinds, (type(part).__name__, path.name)


def test_messages_are_dispatched_by_their_own_type_and_in_order():
    everything, ticks, statuses = Recorder(), Recorder([Tick]), Recorder([NodeStatus])
    dispatcher = Dispatcher([statuses, everything, ticks])
    status = PeerMessage("peer", NodeStatus("query"))
    assert dispatcher.parts_for(status) == (statuses, everything)
    assert dispatcher.parts_for(Tick()) == (everything, ticks)
    assert dispatcher.parts_for(PeerMessage("peer", StatusQuery("query"))) == (everything,)
    assert dispatcher.parts_for(status) == (statuses, everything)
