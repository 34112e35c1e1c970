"""Few routers read the store; readers that lose it are replaced; the others follow a reader."""

import math
import random

from hypothesis import given, settings
from hypothesis import strategies as st

from martenrun.router.store.planner import (
    READERS,
    READERS_IN_OUTAGE,
    UNREACHABLE_S,
    UNREACHABLE_SPREAD_S,
    VACANCY_S,
    Candidate,
    ReadPlanner,
    select_readers,
)


def routers(count, lost=()):
    return [Candidate(f"10.0.0.{n}:1", f"10.0.0.{n}:1" not in lost) for n in range(count)]


@settings(deadline=None)
@given(st.integers(3, 100))
def test_number_of_readers_does_not_grow_with_the_number_of_routers(count):
    readers = [
        item.address
        for item in routers(count)
        if ReadPlanner(item.address, 0.0).plan(routers(count), 0.0).reads_store
    ]
    assert len(readers) == READERS


def test_reader_that_lost_the_store_is_replaced():
    first = select_readers(routers(9))
    second = select_readers(routers(9, lost=first))
    assert len(second) == READERS
    assert not set(first) & set(second)


def test_few_routers_keep_retrying_while_none_reaches_the_store():
    candidates = routers(79)
    lost = [item.address for item in candidates]
    assert len(select_readers(routers(79, lost=lost))) == READERS_IN_OUTAGE


def find_follower(candidates):
    readers = select_readers(candidates)
    return next(item.address for item in candidates if item.address not in readers)


def test_follower_switches_to_the_other_reader_after_a_failure():
    candidates = routers(9)
    planner = ReadPlanner(find_follower(candidates), 0.0)
    first = planner.plan(candidates, 0.0).source
    planner.record_failure(first, 0.0)
    second = planner.plan(candidates, 0.1).source
    assert second != first and second in select_readers(candidates)


def test_follower_that_reaches_no_reader_reads_the_store():
    candidates = routers(9)
    planner = ReadPlanner(find_follower(candidates), 0.0)
    assert not planner.plan(candidates, UNREACHABLE_S / 2).reads_store
    latest = UNREACHABLE_S + UNREACHABLE_SPREAD_S * math.log(len(candidates)) + 0.01
    assert planner.plan(candidates, latest).reads_store
    planner.record_response(latest + 0.1)
    assert not planner.plan(candidates, latest + 0.2).reads_store


def test_one_or_two_routers_read_the_store():
    assert ReadPlanner("10.0.0.0:1", 0.0).plan(routers(1), 0.0).reads_store
    assert ReadPlanner("10.0.0.1:1", 0.0).plan(routers(2), 0.0).reads_store


SEEDS = ("10.0.0.0:1", "10.0.0.1:1", "10.0.0.2:1")


def test_current_readers_stay_and_strong_routers_come_first():
    candidates = [Candidate(f"r{n}", True, capacity=0.5) for n in range(20)]
    candidates += [Candidate(f"s{n}", True, capacity=2.0) for n in range(3)]
    assert all(address.startswith("s") for address in select_readers(candidates))
    current_readers = [Candidate("x", True, is_reader=True, capacity=0.1)]
    assert select_readers(candidates + current_readers)[0] == "x"


def test_starting_router_queries_a_seed_and_does_not_read():
    planner = ReadPlanner("10.0.0.9:1", 0.0, SEEDS)
    plan = planner.plan(routers(10)[9:], 0.0, has_all_datasets=False)
    assert not plan.reads_store and plan.source in SEEDS
    assert (
        ReadPlanner(SEEDS[0], 0.0, SEEDS).plan(routers(1), 0.0, has_all_datasets=False).reads_store
    )


def test_starting_seed_also_queries_others_while_it_has_no_state():
    """The store may be down while routers that have run for long have its state."""
    planner = ReadPlanner(SEEDS[0], 0.0, SEEDS)
    plan = planner.plan(routers(9), 0.0, has_all_datasets=False)
    assert plan.source is not None and plan.source != SEEDS[0]
    assert planner.plan(routers(1), 0.1, has_all_datasets=False).source in SEEDS[1:]


def test_starting_router_reads_if_no_seed_responds():
    planner = ReadPlanner("10.0.0.9:1", 0.0, SEEDS)
    for seed in SEEDS:
        planner.record_failure(seed, 0.1)
    alone = [Candidate("10.0.0.9:1", True)]
    assert not planner.plan(alone, UNREACHABLE_S, has_all_datasets=False).reads_store
    assert planner.plan(alone, UNREACHABLE_S + 2.0, has_all_datasets=False).reads_store


def test_served_router_waits_before_it_fills_a_vacancy():
    """It may just not have learned of the current readers yet."""
    candidates = routers(9)
    first = select_readers(candidates)[0]
    planner = ReadPlanner(first, 0.0, SEEDS)
    for now in (3.0, 3.0 + VACANCY_S / 2):
        planner.record_response(now)
        assert not planner.plan(candidates, now).reads_store
    planner.record_response(3.0 + VACANCY_S)
    assert planner.plan(candidates, 3.0 + VACANCY_S).reads_store


def test_two_routers_replace_failed_readers_at_once_and_the_others_query_them():
    candidates = routers(195)
    failed_readers = select_readers(candidates)
    remaining = [item for item in candidates if item.address not in failed_readers]
    new_readers, queried = [], set()
    for item in remaining:
        planner = ReadPlanner(item.address, 0.0, SEEDS)
        planner.record_response(9.0)
        for address in failed_readers:
            planner.record_failure(address, 9.1)
        plan = planner.plan(candidates, 9.1)
        if plan.reads_store:
            new_readers.append(item.address)
        else:
            queried.add(plan.source)
    assert sorted(new_readers) == sorted(select_readers(remaining))
    assert queried == set(new_readers)


# Guards against 195 routers that all start to read at once when none of their readers responds.
def test_few_routers_start_to_read_at_a_time_when_no_reader_is_reachable():
    rng = random.Random(1)
    candidates = routers(195)
    planners = [ReadPlanner(item.address, 0.0, SEEDS, rng) for item in candidates]
    learned_s = 0.2
    starts = sorted(
        next(
            step / 100
            for step in range(600)
            if planner._is_unreachable(len(candidates), step / 100)
        )
        for planner in planners
    )
    assert starts[0] >= UNREACHABLE_S and starts[-1] <= UNREACHABLE_S + 1.1
    assert sum(at <= starts[0] + learned_s for at in starts) <= 12
