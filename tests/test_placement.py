"""Tests of the placement of cold prefixes."""

import random

import numpy

from martenrun.routing import served_prefixes
from martenrun.routing.placement import UNUSED_S, Placement
from martenrun.routing.served_prefixes import PrefixKey, ServedPrefix, ServedPrefixes

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


def test_a_home_that_has_forgotten_takes_in_what_owners_tell_unless_it_knows_better():
    rng, placement = random.Random(6), Placement()
    told, known = make_chain(rng, 9), make_chain(rng, 9)
    first = place(placement, known)
    other = next(name for name in NAMES if name != first)
    for chain, served_at in ((told, 1.0), (known, 2.0)):
        placement.settle(chain[:8], other, served_at)
    placement.settle(told[:8], "r0", 0.5)
    assert (place(placement, told), place(placement, known)) == (other, first)


def make_served(number, runner="r1", incarnation="1", tenant="a"):
    key = PrefixKey(tenant, "m", number.to_bytes(8, "little"))
    return ServedPrefix(key, runner, incarnation, float(number))


def test_an_owner_tells_a_home_its_prefixes_that_present_runs_served_last():
    served = ServedPrefixes()
    served.served(make_served(1, "r1"))
    served.served(make_served(2, "r2", incarnation="old"))
    served.served(make_served(3, tenant="b"))
    served.served(make_served(4))
    served.served(make_served(1, "r3"))
    found = served.of_home(lambda key: key.tenant == "a", lambda runner: "1")
    assert found == [make_served(1, "r3"), make_served(4)]


def test_an_owner_remembers_and_tells_a_bounded_number(monkeypatch):
    monkeypatch.setattr(served_prefixes, "MAXIMUM_SERVED", 3)
    monkeypatch.setattr(served_prefixes, "MAXIMUM_TOLD", 2)
    served = ServedPrefixes()
    for number in range(5):
        served.served(make_served(number))
    found = served.of_home(lambda key: True, lambda runner: "1")
    assert found == [make_served(4), make_served(3)]


def test_unused_prefixes_and_forgotten_ones_no_longer_count():
    rng, placement = random.Random(5), Placement()
    for _ in range(20):
        place(placement, make_chain(rng, 40))
    chain = make_chain(rng, 8)
    place(placement, chain, now=UNUSED_S)
    assert placement.blocks_on(NAMES) == 8
    placement.forget(chain)
    assert placement.blocks_on(NAMES) == 0
