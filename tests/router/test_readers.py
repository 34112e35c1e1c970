"""Few routers read the store; those that lose it are replaced; the rest find a way."""

from hypothesis import given
from hypothesis import strategies as st

from martenrun.router.readers import (
    READERS,
    READERS_IN_OUTAGE,
    UNREACHED_S,
    Candidate,
    ReaderChoice,
    chosen_readers,
)


def routers(count, lost=()):
    return [Candidate(f"10.0.0.{n}:1", f"10.0.0.{n}:1" not in lost) for n in range(count)]


@given(st.integers(3, 100))
def test_readers_do_not_grow_with_the_number_of_routers(count):
    reading = [
        item.address
        for item in routers(count)
        if ReaderChoice(item.address, 0.0).plan(routers(count), 0.0).reads_store
    ]
    assert len(reading) == READERS


def test_a_reader_that_lost_the_store_is_replaced():
    first = chosen_readers(routers(9))
    second = chosen_readers(routers(9, lost=first))
    assert len(second) == READERS
    assert not set(first) & set(second)


def test_a_few_go_on_asking_while_nobody_reaches_the_store():
    everyone = routers(79)
    lost = [item.address for item in everyone]
    assert len(chosen_readers(routers(79, lost=lost))) == READERS_IN_OUTAGE


def follower_of(everyone):
    readers = chosen_readers(everyone)
    return next(item.address for item in everyone if item.address not in readers)


def test_a_follower_goes_to_the_other_reader_after_a_failure():
    everyone = routers(9)
    choice = ReaderChoice(follower_of(everyone), 0.0)
    first = choice.plan(everyone, 0.0).source
    choice.note_failed(first, 0.0)
    second = choice.plan(everyone, 0.1).source
    assert second != first and second in chosen_readers(everyone)


def test_a_follower_that_reaches_no_reader_reads_by_itself():
    everyone = routers(9)
    choice = ReaderChoice(follower_of(everyone), 0.0)
    assert not choice.plan(everyone, UNREACHED_S / 2).reads_store
    assert choice.plan(everyone, UNREACHED_S * 1.1).reads_store
    choice.note_reached(UNREACHED_S * 1.2)
    assert not choice.plan(everyone, UNREACHED_S * 1.3).reads_store


def test_one_or_two_routers_read_by_themselves():
    assert ReaderChoice("10.0.0.0:1", 0.0).plan(routers(1), 0.0).reads_store
    assert ReaderChoice("10.0.0.1:1", 0.0).plan(routers(2), 0.0).reads_store
