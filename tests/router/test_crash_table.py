"""Tests for the crash table: which requests are blocked, for how long, and what is evicted."""

import random

import pytest
from hypothesis import given, seed
from hypothesis import strategies as st

from martenrun.router.crashes.fingerprint import (
    CALLER_BYTES,
    PREFIX_BYTES,
    fingerprint_prefix,
    request_fingerprint,
)
from martenrun.router.crashes.history import (
    CRASH_THRESHOLD,
    CRASH_THRESHOLD_AFTER_SUCCESS,
    INITIAL_BLOCK_AFTER_SUCCESS_S,
    INITIAL_BLOCK_S,
    MAX_BLOCK_S,
    MAX_CRASHES_PER_RECORD,
    RETENTION_S,
)
from martenrun.router.crashes.messages import CrashRecord
from martenrun.router.crashes.table import (
    CRASH_RATE_WINDOW_S,
    MAX_RECORDS,
    MAX_RECORDS_PER_CALLER,
    CrashTable,
)

from .crash_world import admitted, request

CRASHING = request_fingerprint(request(b"deadly"), admitted())
RUNNERS = 8


def table_with_crashes(count, key=CRASHING, at=100.0):
    table = CrashTable()
    table.runners = RUNNERS
    for number in range(count):
        table.record_crash(key, f"i-{number}", at)
    return table


def add_unrelated_crashes(table, crashes, at):
    """Record crashes that each occur while serving a different request."""
    for number in range(crashes):
        table.record_crash(fingerprint_of(number, number), f"unrelated-{number}", at)


def test_request_is_blocked_after_the_third_crash():
    assert table_with_crashes(CRASH_THRESHOLD - 1).blocked_for_s(CRASHING, 100.0) == 0.0
    assert table_with_crashes(CRASH_THRESHOLD).blocked_for_s(CRASHING, 100.0) == INITIAL_BLOCK_S


def test_crash_seen_by_several_routers_counts_once():
    table = CrashTable()
    for at in (100.0, 100.1, 100.2, 100.3):
        table.record_crash(CRASHING, "i-1", at)
    assert table.crash_count(CRASHING) == 1
    assert not table.record_crash(CRASHING, "i-1", 100.4)


def test_merged_records_of_three_routers_contain_three_crashes():
    tables = [CrashTable() for _ in range(3)]
    for number, table in enumerate(tables):
        table.record_crash(CRASHING, f"i-{number}", 100.0)
    for table in tables:
        for other in tables:
            table.merge(other.records(101.0), 101.0)
    assert all(table.blocked_for_s(CRASHING, 101.0) > 0 for table in tables)


def test_completion_clears_a_request():
    table = table_with_crashes(CRASH_THRESHOLD - 1)
    assert table.record_completion(CRASHING, 101.0)
    assert table.crash_count(CRASHING) == 0
    table.record_crash(CRASHING, "i-9", 102.0)
    assert table.blocked_for_s(CRASHING, 102.0) == 0.0


def test_completed_request_needs_more_crashes_in_a_row():
    table = table_with_crashes(1)
    table.record_completion(CRASHING, 101.0)
    for number in range(CRASH_THRESHOLD_AFTER_SUCCESS - 1):
        table.record_crash(CRASHING, f"j-{number}", 102.0)
    assert table.blocked_for_s(CRASHING, 102.0) == 0.0
    table.record_crash(CRASHING, "j-last", 102.0)
    assert table.blocked_for_s(CRASHING, 102.0) > 0.0


def test_completion_is_reported_once_and_clears_merged_records():
    table, other = table_with_crashes(2), table_with_crashes(2)
    table.record_completion(CRASHING, 101.0)
    assert not table.record_completion(CRASHING, 101.5)
    other.merge(table.records(102.0), 102.0)
    assert other.crash_count(CRASHING) == 0


def test_block_expires_and_a_further_crash_renews_it_for_longer():
    table = table_with_crashes(CRASH_THRESHOLD)
    expired_at = 100.0 + INITIAL_BLOCK_S + 1.0
    assert table.blocked_for_s(CRASHING, expired_at) == 0.0
    table.record_crash(CRASHING, "i-again", expired_at)
    assert table.blocked_for_s(CRASHING, expired_at) == 2 * INITIAL_BLOCK_S
    for number in range(3 * MAX_CRASHES_PER_RECORD):
        table.record_crash(CRASHING, f"k-{number}", expired_at)
    assert table.blocked_for_s(CRASHING, expired_at) == MAX_BLOCK_S


def test_merging_known_records_does_not_renew_a_block():
    table, other = table_with_crashes(CRASH_THRESHOLD), CrashTable()
    later = 100.0 + INITIAL_BLOCK_S / 2
    other.merge(table.records(later), later)
    table.merge(other.records(later), later)
    assert other.blocked_for_s(CRASHING, later) == INITIAL_BLOCK_S / 2
    assert table.blocked_for_s(CRASHING, later) == INITIAL_BLOCK_S / 2


def test_records_expire():
    table = table_with_crashes(1)
    table.drop_expired(100.0 + RETENTION_S + 1.0)
    assert len(table) == 0 and not table.has_prefix(CRASHING[:PREFIX_BYTES])
    table = table_with_crashes(CRASH_THRESHOLD)
    table.drop_expired(100.0 + INITIAL_BLOCK_S + 1.0)
    assert table.crash_count(CRASHING) == CRASH_THRESHOLD


def fingerprint_of(caller, number):
    start = caller.to_bytes(CALLER_BYTES) + number.to_bytes(PREFIX_BYTES - CALLER_BYTES)
    return start + number.to_bytes(16)


def test_requests_of_one_caller_do_not_evict_those_of_others():
    table = table_with_crashes(2)
    for number in range(2_000):
        for instance in range(3):
            table.record_crash(fingerprint_of(7, number), f"s-{number}-{instance}", 200.0 + number)
    assert table.crash_count(CRASHING) == 2
    assert len(table) <= MAX_RECORDS_PER_CALLER + 1


def test_records_are_bounded_and_blocked_requests_are_kept():
    table = table_with_crashes(CRASH_THRESHOLD)
    for number in range(5_000):
        table.record_crash(fingerprint_of(number, number), "s", 200.0 + number)
    assert len(table) <= MAX_RECORDS
    assert table.blocked_for_s(CRASHING, 300.0) > 0


def test_records_missing_from_the_store_are_returned():
    table = table_with_crashes(2)
    assert table.missing_from([]) == {CRASHING}
    assert table.missing_from(table.records(101.0)) == set()
    assert table.missing_from([CrashRecord(CRASHING, [("i-0", 5)])]) == {CRASHING}
    table.record_completion(CRASHING, 102.0)
    assert table.missing_from([CrashRecord(CRASHING, [("i-0", 5), ("i-1", 5)])]) == {CRASHING}


def test_records_with_invalid_fingerprints_are_ignored():
    table = CrashTable()
    assert table.merge([CrashRecord(b"short", [("i-0", 5)])], 100.0) == set()
    assert len(table) == 0


@pytest.mark.parametrize(("crashes", "threshold"), [(0, 3), (3, 3), (8, 4), (30, 5), (500, 5)])
def test_unrelated_crashes_raise_the_threshold(crashes, threshold):
    for count in range(1, 8):
        table = table_with_crashes(count)
        add_unrelated_crashes(table, crashes, 100.0)
        assert (table.blocked_for_s(CRASHING, 100.0) > 0) == (count >= threshold)


def test_completed_request_is_not_blocked_if_coincidence_explains_the_crashes():
    table = table_with_crashes(0)
    table.record_crash(CRASHING, "first", 90.0)
    table.record_completion(CRASHING, 91.0)
    add_unrelated_crashes(table, 150, 100.0)
    for number in range(MAX_CRASHES_PER_RECORD - 1):
        table.record_crash(CRASHING, f"i-{number}", 100.0)
    assert table.blocked_for_s(CRASHING, 100.0) == 0.0


def test_completed_request_is_blocked_for_seconds():
    table = table_with_crashes(1)
    table.record_completion(CRASHING, 101.0)
    for number in range(CRASH_THRESHOLD_AFTER_SUCCESS):
        table.record_crash(CRASHING, f"j-{number}", 102.0)
    assert table.blocked_for_s(CRASHING, 102.0) == INITIAL_BLOCK_AFTER_SUCCESS_S
    table.record_completion(CRASHING, 103.0)
    assert table.blocked_for_s(CRASHING, 103.0) == 0.0


def test_crash_causing_requests_explain_their_crashes():
    """Crashes explained by other crash-causing requests do not raise the threshold."""
    table = table_with_crashes(CRASH_THRESHOLD)
    for number in range(1, 20):
        for instance in range(CRASH_THRESHOLD):
            table.record_crash(fingerprint_of(number, number), f"s-{number}-{instance}", 100.0)
    assert len(table.blocked(100.0)) == 20


def test_later_unrelated_crashes_do_not_unblock_a_request():
    """Guards against later unrelated crashes that unblocked a request.

    In the soak one was unblocked 3 s after it was blocked, and crashed one more runner.
    """
    table = table_with_crashes(CRASH_THRESHOLD)
    add_unrelated_crashes(table, 100, 101.0)
    assert table.blocked_for_s(CRASHING, 101.0) > 0


def test_request_below_the_threshold_stays_unblocked_when_crashes_stop():
    table = table_with_crashes(CRASH_THRESHOLD)
    add_unrelated_crashes(table, 30, 99.0)
    table.drop_expired(100.0 + 2 * CRASH_RATE_WINDOW_S)
    assert table.blocked_for_s(CRASHING, 100.0 + 2 * CRASH_RATE_WINDOW_S) == 0.0


def test_router_without_a_runner_list_blocks_requests():
    table = table_with_crashes(CRASH_THRESHOLD)
    table.runners = 0
    add_unrelated_crashes(table, 3, 100.0)
    assert table.blocked_for_s(CRASHING, 100.0) > 0


def test_old_crashes_do_not_raise_the_threshold():
    table = table_with_crashes(CRASH_THRESHOLD, at=200.0)
    add_unrelated_crashes(table, 30, 200.0 - CRASH_RATE_WINDOW_S - 1.0)
    assert table.blocked_for_s(CRASHING, 200.0) > 0


CRASHES = st.lists(st.tuples(st.integers(0, 3), st.integers(0, 5), st.floats(0, 50)), max_size=24)


@seed(38)
@given(CRASHES, st.integers(0, 2**30))
def test_merging_is_independent_of_order_and_repetition(crashes, shuffling):
    rng = random.Random(shuffling)
    batches = []
    for number, instance, at in crashes:
        table = CrashTable()
        table.record_crash(fingerprint_of(number, number), f"i-{instance}", at)
        batches.append(table.records(100.0))
    first, second = CrashTable(), CrashTable()
    for records in batches:
        first.merge(records, 100.0)
    for records in rng.sample(batches * 2, 2 * len(batches)):
        second.merge(records, 100.0)
    counts = [
        [table.crash_count(fingerprint_of(n, n)) for n in range(4)] for table in (first, second)
    ]
    assert counts[0] == counts[1]


def test_fingerprints_distinguish_callers_targets_methods_and_bodies():
    fingerprints = [
        request_fingerprint(request(b"a"), admitted()),
        request_fingerprint(request(b"b"), admitted()),
        request_fingerprint(request(b"a", target=b"/a/y"), admitted()),
        request_fingerprint(request(b"a", target=b"/a/x?q=1"), admitted()),
        request_fingerprint(request(b"a", method=b"PUT"), admitted()),
        request_fingerprint(request(b"a"), admitted("other")),
        request_fingerprint(request(b"a"), admitted(None)),
        request_fingerprint(request(b"a"), admitted(host="b.example")),
    ]
    assert len(set(fingerprints)) == len(fingerprints)
    assert request_fingerprint(request(b"a"), admitted()) == fingerprints[0]
    assert fingerprint_prefix(request(b"a"), admitted()) == fingerprints[0][:PREFIX_BYTES]


def test_requests_with_one_crash_do_not_hide_the_crash_rate():
    """Guards against requests with a single crash that hide the rate of unrelated crashes.

    A runner that crashes while serving 500 requests leaves a record of each that is never cleared.
    """
    table = CrashTable()
    table.runners = RUNNERS
    for number in range(MAX_RECORDS):
        table.record_crash(fingerprint_of(number, number), "the last one", 100.0)
    for number in range(30):
        key = fingerprint_of(1_000 + number, 1_000 + number)
        table.record_crash(key, f"unrelated-{number}", 200.0)
        table.record_completion(key, 200.5)
    for number in range(CRASH_THRESHOLD):
        table.record_crash(CRASHING, f"i-{number}", 201.0)
    assert table.blocked_for_s(CRASHING, 201.0) == 0.0
