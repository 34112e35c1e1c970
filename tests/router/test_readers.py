"""Few routers read the store; readers that lose it are replaced; the others follow a reader."""

import math
import random

from hypothesis import given
from hypothesis import strategies as st

from martenrun.router.readers import (
    READERS,
    READERS_IN_OUTAGE,
    UNREACHED_S,
    UNREACHED_SPREAD_S,
    VACANCY_S,
    Candidate,
    ReaderChoice,
    chosen_readers,
)


def routers(count, lost=()):
    return [Candidate(f"10.0.0.{n}:1", f"10.0.0.{n}:1" not in lost) for n in range(count)]


@given(st.integers(3, 100))
def test_number_of_readers_does_not_grow_with_the_number_of_routers(count):
    reading = [
        item.address
        for item in routers(count)
        if ReaderChoice(item.address, 0.0).plan(routers(count), 0.0).reads_store
    ]
    assert len(reading) == READERS


def test_reader_that_lost_the_store_is_replaced():
    first = chosen_readers(routers(9))
    second = chosen_readers(routers(9, lost=first))
    assert len(second) == READERS
    assert not set(first) & set(second)


def test_few_routers_keep_retrying_while_none_reaches_the_store():
    everyone = routers(79)
    lost = [item.address for item in everyone]
    assert len(chosen_readers(routers(79, lost=lost))) == READERS_IN_OUTAGE


def follower_of(everyone):
    readers = chosen_readers(everyone)
    return next(item.address for item in everyone if item.address not in readers)


def test_follower_switches_to_the_other_reader_after_a_failure():
    everyone = routers(9)
    choice = ReaderChoice(follower_of(everyone), 0.0)
    first = choice.plan(everyone, 0.0).source
    choice.note_failed(first, 0.0)
    second = choice.plan(everyone, 0.1).source
    assert second != first and second in chosen_readers(everyone)


def test_follower_that_reaches_no_reader_reads_the_store():
    everyone = routers(9)
    choice = ReaderChoice(follower_of(everyone), 0.0)
    assert not choice.plan(everyone, UNREACHED_S / 2).reads_store
    latest = UNREACHED_S + UNREACHED_SPREAD_S * math.log(len(everyone)) + 0.01
    assert choice.plan(everyone, latest).reads_store
    choice.note_reached(latest + 0.1)
    assert not choice.plan(everyone, latest + 0.2).reads_store


def test_one_or_two_routers_read_the_store():
    assert ReaderChoice("10.0.0.0:1", 0.0).plan(routers(1), 0.0).reads_store
    assert ReaderChoice("10.0.0.1:1", 0.0).plan(routers(2), 0.0).reads_store


SEEDS = ("10.0.0.0:1", "10.0.0.1:1", "10.0.0.2:1")


def test_current_readers_stay_and_strong_routers_come_first():
    candidates = [Candidate(f"r{n}", True, capacity=0.5) for n in range(20)]
    candidates += [Candidate(f"s{n}", True, capacity=2.0) for n in range(3)]
    assert all(address.startswith("s") for address in chosen_readers(candidates))
    reading = [Candidate("x", True, reads=True, capacity=0.1)]
    assert chosen_readers(candidates + reading)[0] == "x"


def test_starting_router_queries_a_seed_and_does_not_read():
    choice = ReaderChoice("10.0.0.9:1", 0.0, SEEDS)
    plan = choice.plan(routers(10)[9:], 0.0, knows_all=False)
    assert not plan.reads_store and plan.source in SEEDS
    assert ReaderChoice(SEEDS[0], 0.0, SEEDS).plan(routers(1), 0.0, knows_all=False).reads_store


def test_starting_seed_also_queries_others_while_it_has_no_state():
    """The store may be down while routers that have run for long have its state."""
    choice = ReaderChoice(SEEDS[0], 0.0, SEEDS)
    plan = choice.plan(routers(9), 0.0, knows_all=False)
    assert plan.source is not None and plan.source != SEEDS[0]
    assert choice.plan(routers(1), 0.1, knows_all=False).source in SEEDS[1:]


def test_starting_router_reads_if_no_seed_responds():
    choice = ReaderChoice("10.0.0.9:1", 0.0, SEEDS)
    for seed in SEEDS:
        choice.note_failed(seed, 0.1)
    alone = [Candidate("10.0.0.9:1", True)]
    assert not choice.plan(alone, UNREACHED_S, knows_all=False).reads_store
    assert choice.plan(alone, UNREACHED_S + 2.0, knows_all=False).reads_store


def test_served_router_waits_before_it_fills_a_vacancy():
    """It may just not have learned of the current readers yet."""
    everyone = routers(9)
    first = chosen_readers(everyone)[0]
    choice = ReaderChoice(first, 0.0, SEEDS)
    for now in (3.0, 3.0 + VACANCY_S / 2):
        choice.note_reached(now)
        assert not choice.plan(everyone, now).reads_store
    choice.note_reached(3.0 + VACANCY_S)
    assert choice.plan(everyone, 3.0 + VACANCY_S).reads_store


def test_two_routers_replace_failed_readers_at_once_and_the_others_query_them():
    everyone = routers(195)
    gone = chosen_readers(everyone)
    after = [item for item in everyone if item.address not in gone]
    reading, asked = [], set()
    for item in after:
        choice = ReaderChoice(item.address, 0.0, SEEDS)
        choice.note_reached(9.0)
        for address in gone:
            choice.note_failed(address, 9.1)
        plan = choice.plan(everyone, 9.1)
        if plan.reads_store:
            reading.append(item.address)
        else:
            asked.add(plan.source)
    assert sorted(reading) == sorted(chosen_readers(after))
    assert asked == set(reading)


# Guards against 195 routers that all start to read at once when none of their readers responds.
def test_few_routers_start_to_read_at_a_time_when_no_reader_is_reachable():
    rng = random.Random(1)
    everyone = routers(195)
    choices = [ReaderChoice(item.address, 0.0, SEEDS, rng) for item in everyone]
    heard_s = 0.2
    begin = sorted(
        next(
            step / 100 for step in range(600) if choice._is_out_of_reach(len(everyone), step / 100)
        )
        for choice in choices
    )
    assert begin[0] >= UNREACHED_S and begin[-1] <= UNREACHED_S + 1.1
    assert sum(at <= begin[0] + heard_s for at in begin) <= 12
