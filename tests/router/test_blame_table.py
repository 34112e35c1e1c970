"""Tests for the crash table: which requests are blocked, for how long, and what is evicted."""

import random

import pytest
from hypothesis import given, seed
from hypothesis import strategies as st

from martenrun.router.blame_messages import BlameRecord
from martenrun.router.blame_table import (
    CHANCE_WINDOW_S,
    DEADLY_AFTER,
    DEADLY_AFTER_SUCCESS,
    FIRST_HELD_S,
    HELD_AFTER_SUCCESS_S,
    LONGEST_HELD_S,
    MOST_BLAMED,
    MOST_OF_ONE_CALLER,
    MOST_STARTS,
    SUSPECTED_S,
    BlameTable,
)
from martenrun.router.fingerprint import CALLER_BYTES, OUTLINE_BYTES, fingerprint, outline

from .blame_world import admitted, request

DEADLY = fingerprint(request(b"deadly"), admitted())
RUNNERS = 8


def blamed(count, key=DEADLY, at=100.0):
    table = BlameTable()
    table.runners = RUNNERS
    for number in range(count):
        table.note_ended(key, f"i-{number}", at)
    return table


def end_by_chance(table, ends, at):
    """Record crashes that each occur while serving a different request."""
    for number in range(ends):
        table.note_ended(key_of(number, number), f"chance-{number}", at)


def test_a_request_is_held_back_after_the_third_start_that_ended_under_it():
    assert blamed(DEADLY_AFTER - 1).held_for_s(DEADLY, 100.0) == 0.0
    assert blamed(DEADLY_AFTER).held_for_s(DEADLY, 100.0) == FIRST_HELD_S


def test_an_end_that_several_routers_saw_is_one():
    table = BlameTable()
    for at in (100.0, 100.1, 100.2, 100.3):
        table.note_ended(DEADLY, "i-1", at)
    assert table.starts(DEADLY) == 1
    assert not table.note_ended(DEADLY, "i-1", 100.4)


def test_three_routers_that_saw_one_end_each_know_of_three():
    tables = [BlameTable() for _ in range(3)]
    for number, table in enumerate(tables):
        table.note_ended(DEADLY, f"i-{number}", 100.0)
    for table in tables:
        for other in tables:
            table.merge(other.records(101.0), 101.0)
    assert all(table.held_for_s(DEADLY, 101.0) > 0 for table in tables)


def test_a_request_that_runs_whole_is_not_to_blame():
    table = blamed(DEADLY_AFTER - 1)
    assert table.note_whole(DEADLY, 101.0)
    assert table.starts(DEADLY) == 0
    table.note_ended(DEADLY, "i-9", 102.0)
    assert table.held_for_s(DEADLY, 102.0) == 0.0


def test_one_that_ran_whole_takes_more_ends_in_a_row():
    table = blamed(1)
    table.note_whole(DEADLY, 101.0)
    for number in range(DEADLY_AFTER_SUCCESS - 1):
        table.note_ended(DEADLY, f"j-{number}", 102.0)
    assert table.held_for_s(DEADLY, 102.0) == 0.0
    table.note_ended(DEADLY, "j-last", 102.0)
    assert table.held_for_s(DEADLY, 102.0) > 0.0


def test_success_is_told_once_and_clears_everywhere():
    table, other = blamed(2), blamed(2)
    table.note_whole(DEADLY, 101.0)
    assert not table.note_whole(DEADLY, 101.5)
    other.merge(table.records(102.0), 102.0)
    assert other.starts(DEADLY) == 0


def test_a_belief_ends_and_one_more_end_renews_it_for_longer():
    table = blamed(DEADLY_AFTER)
    over = 100.0 + FIRST_HELD_S + 1.0
    assert table.held_for_s(DEADLY, over) == 0.0
    table.note_ended(DEADLY, "i-again", over)
    assert table.held_for_s(DEADLY, over) == 2 * FIRST_HELD_S
    for number in range(3 * MOST_STARTS):
        table.note_ended(DEADLY, f"k-{number}", over)
    assert table.held_for_s(DEADLY, over) == LONGEST_HELD_S


def test_being_told_again_renews_nothing():
    table, other = blamed(DEADLY_AFTER), BlameTable()
    later = 100.0 + FIRST_HELD_S / 2
    other.merge(table.records(later), later)
    table.merge(other.records(later), later)
    assert other.held_for_s(DEADLY, later) == FIRST_HELD_S / 2
    assert table.held_for_s(DEADLY, later) == FIRST_HELD_S / 2


def test_everything_is_forgotten_in_the_end():
    table = blamed(1)
    table.forget(100.0 + SUSPECTED_S + 1.0)
    assert len(table) == 0 and not table.knows_outline(DEADLY[:OUTLINE_BYTES])
    table = blamed(DEADLY_AFTER)
    table.forget(100.0 + FIRST_HELD_S + 1.0)
    assert table.starts(DEADLY) == DEADLY_AFTER


def key_of(caller, number):
    start = caller.to_bytes(CALLER_BYTES) + number.to_bytes(OUTLINE_BYTES - CALLER_BYTES)
    return start + number.to_bytes(16)


def test_one_callers_many_deadly_requests_push_out_nobody_elses():
    table = blamed(2)
    for number in range(2_000):
        for start in range(3):
            table.note_ended(key_of(7, number), f"s-{number}-{start}", 200.0 + number)
    assert table.starts(DEADLY) == 2
    assert len(table) <= MOST_OF_ONE_CALLER + 1


def test_memory_is_bounded_and_those_held_back_stay():
    table = blamed(DEADLY_AFTER)
    for number in range(5_000):
        table.note_ended(key_of(number, number), "s", 200.0 + number)
    assert len(table) <= MOST_BLAMED
    assert table.held_for_s(DEADLY, 300.0) > 0


def test_what_the_store_lacks_is_named():
    table = blamed(2)
    assert table.lacking([]) == {DEADLY}
    assert table.lacking(table.records(101.0)) == set()
    assert table.lacking([BlameRecord(DEADLY, [("i-0", 5)])]) == {DEADLY}
    table.note_whole(DEADLY, 102.0)
    assert table.lacking([BlameRecord(DEADLY, [("i-0", 5), ("i-1", 5)])]) == {DEADLY}


def test_records_that_are_no_fingerprint_are_left_out():
    table = BlameTable()
    assert table.merge([BlameRecord(b"short", [("i-0", 5)])], 100.0) == set()
    assert len(table) == 0


@pytest.mark.parametrize(("ends", "asked_for"), [(0, 3), (3, 3), (8, 4), (30, 5), (500, 5)])
def test_where_runners_end_by_chance_more_ends_are_asked_for(ends, asked_for):
    for count in range(1, 8):
        table = blamed(count)
        end_by_chance(table, ends, 100.0)
        assert (table.held_for_s(DEADLY, 100.0) > 0) == (count >= asked_for)


def test_one_that_ran_whole_is_not_held_back_where_chance_would_do():
    table = blamed(0)
    table.note_ended(DEADLY, "first", 90.0)
    table.note_whole(DEADLY, 91.0)
    end_by_chance(table, 150, 100.0)
    for number in range(MOST_STARTS - 1):
        table.note_ended(DEADLY, f"i-{number}", 100.0)
    assert table.held_for_s(DEADLY, 100.0) == 0.0


def test_one_that_ran_whole_is_held_back_for_seconds_not_hours():
    table = blamed(1)
    table.note_whole(DEADLY, 101.0)
    for number in range(DEADLY_AFTER_SUCCESS):
        table.note_ended(DEADLY, f"j-{number}", 102.0)
    assert table.held_for_s(DEADLY, 102.0) == HELD_AFTER_SUCCESS_S
    table.note_whole(DEADLY, 103.0)
    assert table.held_for_s(DEADLY, 103.0) == 0.0


def test_what_has_ended_three_starts_explains_them():
    """Crashes explained by other crash-causing requests do not raise the threshold."""
    table = blamed(DEADLY_AFTER)
    for number in range(1, 20):
        for start in range(DEADLY_AFTER):
            table.note_ended(key_of(number, number), f"s-{number}-{start}", 100.0)
    assert len(table.held(100.0)) == 20


def test_a_request_that_is_held_back_is_not_let_go_for_what_ends_later():
    """Guards against later unrelated crashes that unblocked a request.

    In the soak one was unblocked 3 s after it was blocked, and crashed one more runner.
    """
    table = blamed(DEADLY_AFTER)
    end_by_chance(table, 100, 101.0)
    assert table.held_for_s(DEADLY, 101.0) > 0


def test_one_that_is_not_held_back_stays_so_when_runners_end_no_longer():
    table = blamed(DEADLY_AFTER)
    end_by_chance(table, 30, 99.0)
    table.forget(100.0 + 2 * CHANCE_WINDOW_S)
    assert table.held_for_s(DEADLY, 100.0 + 2 * CHANCE_WINDOW_S) == 0.0


def test_a_router_that_knows_no_runners_yet_holds_back_what_others_do():
    table = blamed(DEADLY_AFTER)
    table.runners = 0
    end_by_chance(table, 3, 100.0)
    assert table.held_for_s(DEADLY, 100.0) > 0


def test_ends_of_long_ago_are_no_chance_now():
    table = blamed(DEADLY_AFTER, at=200.0)
    end_by_chance(table, 30, 200.0 - CHANCE_WINDOW_S - 1.0)
    assert table.held_for_s(DEADLY, 200.0) > 0


ENDS = st.lists(st.tuples(st.integers(0, 3), st.integers(0, 5), st.floats(0, 50)), max_size=24)


@seed(38)
@given(ENDS, st.integers(0, 2**30))
def test_order_and_doubling_of_what_is_told_change_nothing(ends, shuffling):
    rng = random.Random(shuffling)
    told = []
    for number, start, at in ends:
        table = BlameTable()
        table.note_ended(key_of(number, number), f"i-{start}", at)
        told.append(table.records(100.0))
    one, other = BlameTable(), BlameTable()
    for records in told:
        one.merge(records, 100.0)
    for records in rng.sample(told * 2, 2 * len(told)):
        other.merge(records, 100.0)
    counts = [[table.starts(key_of(n, n)) for n in range(4)] for table in (one, other)]
    assert counts[0] == counts[1]


def test_fingerprints_tell_callers_targets_methods_and_bodies_apart():
    prints = [
        fingerprint(request(b"a"), admitted()),
        fingerprint(request(b"b"), admitted()),
        fingerprint(request(b"a", target=b"/a/y"), admitted()),
        fingerprint(request(b"a", target=b"/a/x?q=1"), admitted()),
        fingerprint(request(b"a", method=b"PUT"), admitted()),
        fingerprint(request(b"a"), admitted("other")),
        fingerprint(request(b"a"), admitted(None)),
        fingerprint(request(b"a"), admitted(host="b.example")),
    ]
    assert len(set(prints)) == len(prints)
    assert fingerprint(request(b"a"), admitted()) == prints[0]
    assert outline(request(b"a"), admitted()) == prints[0][:OUTLINE_BYTES]


def test_requests_that_never_came_again_do_not_hide_how_often_runners_end():
    """Guards against requests with a single crash that hide the rate of unrelated crashes.

    A runner that crashes while serving 500 requests leaves a record of each that is never cleared.
    """
    table = BlameTable()
    table.runners = RUNNERS
    for number in range(MOST_BLAMED):
        table.note_ended(key_of(number, number), "the last one", 100.0)
    for number in range(30):
        key = key_of(1_000 + number, 1_000 + number)
        table.note_ended(key, f"chance-{number}", 200.0)
        table.note_whole(key, 200.5)
    for number in range(DEADLY_AFTER):
        table.note_ended(DEADLY, f"i-{number}", 201.0)
    assert table.held_for_s(DEADLY, 201.0) == 0.0
