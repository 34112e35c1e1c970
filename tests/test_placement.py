"""Tests of the placement of cold prefixes."""

import random

import numpy
import pytest

from martenrun.events import PeerMessage, Send
from martenrun.routing import served_prefixes
from martenrun.routing.placement import UNUSED_S, Placement
from martenrun.routing.served_prefixes import ServedPrefixes, ServedPrefixesLogic
from martenrun.wire.messages import DecideRequest, PrefixesQuery, PrefixesServed

NAMES = [f"r{number}" for number in range(6)]


def make_chain(rng, blocks):
    return numpy.array([rng.getrandbits(63) for _ in range(blocks)], "<i8").tobytes()


def place(placement, chain, names=NAMES, now=0.0, believed=None):
    return placement.runner_for(chain, names, believed or [0] * len(names), now)


def test_prefixes_fill_runners_evenly_and_stay_where_they_are():
    rng, placement = random.Random(1), Placement()
    chains = [make_chain(rng, 40) for _ in range(60)]
    placed = [place(placement, chain) for chain in chains]
    counts = [placed.count(name) for name in NAMES]
    assert max(counts) - min(counts) <= 4
    assert [place(placement, chain, now=1.0) for chain in chains] == placed


def test_a_home_that_has_forgotten_places_more_prefixes_where_they_were_than_by_chance():
    same = 0
    for seed in range(6):
        rng, before, after = random.Random(seed), Placement(), Placement()
        chains = [make_chain(rng, 40) for _ in range(60)]
        placed = [place(before, chain) for chain in chains]
        again = [place(after, chain) for chain in reversed(chains)]
        same += sum(a == b for a, b in zip(placed, reversed(again), strict=True))
    assert same > 1.5 * 6 * 60 / len(NAMES)


def test_a_new_prefix_goes_to_the_runner_that_is_believed_to_hold_it():
    chain = make_chain(random.Random(3), 9)
    assert place(Placement(), chain, believed=[0, 2, 9, 0, 0, 0]) == "r2"


def test_a_prefix_moves_when_its_runner_is_not_offered_and_its_blocks_count_there():
    rng, placement = random.Random(4), Placement()
    chain = make_chain(rng, 40)
    first = place(placement, chain)
    others = [name for name in NAMES if name != first]
    second = place(placement, chain, others)
    assert second != first
    assert place(placement, chain) == second


@pytest.fixture
def served():
    return ServedPrefixes()


def test_a_home_that_has_restarted_places_prefixes_where_owners_saw_them(served):
    rng, placement = random.Random(6), Placement()
    told, known = make_chain(rng, 9), make_chain(rng, 9)
    first = place(placement, known)
    other = next(name for name in NAMES if name != first)
    for chain in (told, known):
        served.granted("home", other, "1", chain, 9, 1.0)
    logic = ServedPrefixesLogic(ServedPrefixes(), placement, list)
    for message in served.of_home("home", 4.0):
        logic.handle(PeerMessage("owner", message), 0.0)
    assert (place(placement, told), place(placement, known)) == (other, first)


def test_an_owner_tells_only_what_the_home_was_granted_by_present_runs(served):
    for home, runner, incarnation, chain in [
        ("home", "r1", "old", b"a" * 80),
        ("home", "r2", "1", b"b" * 80),
        ("other", "r2", "1", b"c" * 80),
        ("home", "r1", "new", b"d" * 80),
        ("home", "r3", "1", b"d" * 80),
        ("home", "r3", "1", b""),
    ]:
        served.granted(home, runner, incarnation, chain, 9, 1.0)
    answers = [PrefixesServed("r3", b"d" * 8, [3000]), PrefixesServed("r2", b"b" * 8, [3000])]
    assert served.of_home("home", 4.0) == answers
    logic = ServedPrefixesLogic(served, Placement(), list)
    asked = logic.handle(PeerMessage("home", PrefixesQuery()), 4.0)
    assert asked == [Send("home", answer) for answer in answers]


def test_an_owner_remembers_and_tells_a_bounded_number(served, monkeypatch):
    monkeypatch.setattr(served_prefixes, "MAXIMUM_SERVED", 3)
    monkeypatch.setattr(served_prefixes, "MAXIMUM_TOLD", 2)
    for number in range(5):
        served.granted("home", "r1", "1", bytes([number]) * 8, 1, float(number))
    assert served.of_home("home", 4.0) == [
        PrefixesServed("r1", bytes([4]) * 8 + bytes([3]) * 8, [0, 1000])
    ]


def test_the_latest_place_that_owners_tell_counts():
    placement, chain = Placement(), make_chain(random.Random(7), 9)
    for runner, served_at in [("r1", 1.0), ("r2", 2.0), ("r3", 0.5)]:
        placement.settle(chain[:8], runner, served_at)
    assert place(placement, chain) == "r2"


def test_a_home_asks_each_node_once_after_its_first_question(served):
    live = ["n1"]
    logic = ServedPrefixesLogic(served, Placement(), lambda: live)
    question = PeerMessage("agent", DecideRequest("q"))
    assert logic.handle(question, 0.0) == [Send("n1", PrefixesQuery())]
    live.append("n2")
    assert logic.handle(question, 1.0) == [Send("n2", PrefixesQuery())]
    live.append("n3")
    assert logic.handle(question, 1.0 + served_prefixes.ASKING_S) == []


def test_new_prefixes_go_where_all_homes_have_placed_least():
    rng, placement = random.Random(8), Placement()
    for name in NAMES[:4]:
        placement.told(name, 400, 0.0)
    placement.told("r4", 40, 0.0)
    placed = [place(placement, make_chain(rng, 40), now=1.0) for _ in range(6)]
    assert set(placed) <= {"r4", "r5"}  # r5, of which nothing was told, is taken for a mean one
    rest = [place(placement, make_chain(rng, 40), now=UNUSED_S) for _ in range(30)]
    assert max(rest.count(name) for name in NAMES) < 9  # What was told is too old to count.


def test_an_owner_counts_the_longest_prompt_of_each_prefix_at_its_last_runner(served):
    served.granted("home", "r1", "1", b"a" * 80, 10, 0.0)
    served.granted("home", "r1", "1", b"a" * 80, 4, 1.0)
    served.granted("other", "r1", "1", b"b" * 8, 5, 2.0)
    assert (served.blocks_on("r1", 2.0), served.blocks_on("r2", 2.0)) == (15, 0)
    served.granted("home", "r2", "1", b"a" * 80, 1, 3.0)
    assert (served.blocks_on("r1", 3.0), served.blocks_on("r2", 3.0)) == (5, 10)
    assert (served.blocks_on("r1", UNUSED_S + 2.0), served.blocks_on("r2", UNUSED_S)) == (0, 10)


def test_unused_prefixes_and_forgotten_ones_no_longer_count():
    rng, placement = random.Random(5), Placement()
    for _ in range(20):
        place(placement, make_chain(rng, 40))
    chain = make_chain(rng, 8)
    place(placement, chain, now=UNUSED_S)
    assert placement.blocks_on(NAMES) == 8
    placement.forget(chain)
    assert placement.blocks_on(NAMES) == 0
