"""Which runners are a node's own, while members and machines change."""

import random

from martenrun.backends.machine_list import Machine
from martenrun.events import MachinesListed
from martenrun.membership.view import Member, StaticMemberView
from martenrun.node.runners import RunnerTable
from martenrun.ownership.owners import OwnerMap

ZONES = "abc"


def machine(number):
    return Machine(f"r{number}", "engine", f"10.1.0.{number}:80", ZONES[number % 3], "pool")


def test_the_own_runners_are_those_whose_owner_this_node_is_after_any_change():
    rng = random.Random(5)
    members = [Member(f"10.0.0.{n}:7000", ZONES[n % 3]) for n in range(9)]
    view = StaticMemberView(members[0], members)
    table = RunnerTable()
    owners = OwnerMap(view)
    for step in range(30):
        others = rng.sample(members[1:], rng.randrange(8))
        view.members = [*others, members[0]] if rng.random() < 0.9 else others
        listed = [machine(n) for n in rng.sample(range(60), rng.randrange(60))]
        table.handle(MachinesListed(listed), float(step))
        owners.refresh(table)
        assert owners.owned() == {name for name in table.runners if owners.owns(name)}
        fresh = OwnerMap(view)
        fresh.refresh(table)
        assert [fresh.owner(name) for name in table.runners] == [
            owners.owner(name) for name in table.runners
        ]
