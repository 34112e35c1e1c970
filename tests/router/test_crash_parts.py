"""Tests for crash records of parts of prompts: attribution, clearing, trials, exchange, storage."""

import random

import attrs
import pytest

from martenrun.platform import PLATFORM_ADAPTER
from martenrun.router.crashes.features import (
    MAX_PARTS,
    PART_TAG,
    RequestFeatures,
    part_key,
    part_keys,
    part_name,
)
from martenrun.router.crashes.history import (
    COMPLETION_GRACE_S,
    CRASH_THRESHOLD_AFTER_SUCCESS,
    PART_CRASH_THRESHOLD,
)
from martenrun.router.crashes.messages import CrashRecord, CrashUpdate
from martenrun.router.crashes.request_check import RequestCrashCheck
from martenrun.router.crashes.table import MAX_PART_RECORDS, MAX_RECORDS, CrashTable
from martenrun.router.crashes.tracker import TRIAL_INTERVAL_S
from martenrun.router.messages import PromptPart, StoredObject
from martenrun.router.peer_messages import decode, encode

from .builders import state
from .crash_world import Probes, admitted, crash_tracker, request
from .fakes import FakeLoop

FIRST, DEAD, SOUND, COMPANION = (part_key(name) for name in (b"f1", b"dead", b"aa", b"c0"))


def admitted_with(*names):
    """Return an admitted request whose prompt has these shared parts and one of its own."""
    found = admitted()
    parts = tuple(PromptPart(name, 100) for name in (*names, b"own"))
    return attrs.evolve(found, call=attrs.evolve(found.call, parts=parts))


def crash(table, instance, *parts, at=100.0):
    """Record a crash that one request with these parts shares."""
    for key in parts:
        table.record_crash(key, instance, at, frozenset(parts) - {key})


def table_with_crashes(count, *parts):
    table = CrashTable()
    table.runners = 8
    for number in range(count):
        crash(table, f"i-{number}", *parts)
    return table


def test_the_last_part_of_a_prompt_is_no_feature():
    assert part_keys(admitted_with(b"f1", b"dead").call) == (FIRST, DEAD)
    assert part_keys(admitted().call) == ()
    many = [b"%d" % number for number in range(3 * MAX_PARTS)]
    assert len(part_keys(admitted_with(*many).call)) == MAX_PARTS


def test_keys_name_their_parts_and_have_a_bounded_length():
    assert part_name(DEAD) == "dead"
    assert part_name(b"\0" * 24) is None
    assert len(part_key(b"x" * 1_000)) < 64
    assert part_key(b"x" * 1_000) != part_key(b"y" * 1_000)


def test_part_is_blocked_after_enough_crashes_of_different_requests():
    assert table_with_crashes(PART_CRASH_THRESHOLD - 1, DEAD).blocked_for_s(DEAD, 100.0) == 0.0
    assert table_with_crashes(PART_CRASH_THRESHOLD, DEAD).blocked_for_s(DEAD, 100.0) > 0.0


# Guards against sound parts blocked when many runners fail at once while they serve them.
def test_crashes_shortly_after_a_completion_are_no_evidence():
    table = table_with_crashes(0)
    crash(table, "i-first", FIRST, at=90.0)
    table.record_completion(FIRST, 100.0)
    for number in range(20):
        crash(table, f"i-{number}", FIRST, at=100.0 + COMPLETION_GRACE_S / 2)
    assert table.crash_count(FIRST) == 0
    for number in range(CRASH_THRESHOLD_AFTER_SUCCESS):
        crash(table, f"j-{number}", FIRST, at=100.0 + 2 * COMPLETION_GRACE_S)
    assert table.blocked_for_s(FIRST, 102.0) > 0.0


def test_prompt_without_a_companion_of_a_blocked_part_is_ambiguous():
    table = table_with_crashes(PART_CRASH_THRESHOLD, DEAD, COMPANION)
    assert not table.is_ambiguous(DEAD, (DEAD, COMPANION))
    assert table.is_ambiguous(COMPANION, (COMPANION, SOUND))
    assert table.is_ambiguous(DEAD, (DEAD, SOUND))
    assert set(table.blocked(100.0)) == {DEAD, COMPANION}


def test_crash_without_the_companion_is_evidence_against_one_part_alone():
    table = table_with_crashes(PART_CRASH_THRESHOLD, DEAD, COMPANION)
    crash(table, "i-trial", DEAD, SOUND)
    assert not table.is_ambiguous(DEAD, (DEAD, SOUND))
    assert table.is_ambiguous(COMPANION, (COMPANION,))
    table.record_completion(COMPANION, 101.0)
    assert table.blocked_for_s(COMPANION, 101.0) == 0.0
    assert table.blocked_for_s(DEAD, 101.0) > 0.0


def test_cleared_companion_does_not_make_a_part_innocent():
    table = table_with_crashes(PART_CRASH_THRESHOLD, DEAD, FIRST)
    table.record_completion(FIRST, 101.0)
    assert not table.is_ambiguous(DEAD, (DEAD,))


def test_part_on_runners_that_another_part_crashed_is_ambiguous():
    table = table_with_crashes(PART_CRASH_THRESHOLD + 1, DEAD)
    for number in range(PART_CRASH_THRESHOLD):
        crash(table, f"i-{number}", SOUND)
    assert table.is_ambiguous(SOUND, (SOUND,))
    assert not table.is_ambiguous(SOUND, (SOUND, DEAD))
    assert not table.is_ambiguous(DEAD, (DEAD,))
    assert table.blocked(100.0) == [DEAD]


def test_several_crash_causing_parts_are_blocked_side_by_side():
    table = CrashTable()
    table.runners = 8
    keys = [part_key(b"dead%d" % number) for number in range(3)]
    for number in range(3 * PART_CRASH_THRESHOLD):
        crash(table, f"i-{number}", FIRST, keys[number % 3])
        table.record_completion(FIRST, 100.0)
    assert set(table.blocked(100.0)) == set(keys)
    assert not any(table.is_ambiguous(key, (FIRST, key)) for key in keys)


def test_merged_companions_do_not_depend_on_the_order():
    batches = []
    for number, parts in enumerate([(DEAD, COMPANION, FIRST), (DEAD, COMPANION), (DEAD, FIRST)]):
        table = CrashTable()
        crash(table, f"i-{number}", *parts)
        batches.append(table.records(100.0))
    for seed in range(6):
        table = CrashTable()
        for records in random.Random(seed).sample(batches * 2, 6):
            table.merge(records, 100.0)
        [found] = [each for each in table.records(100.0) if each.fingerprint == DEAD]
        assert found.companions == []
        [found] = [each for each in table.records(100.0) if each.fingerprint == COMPANION]
        assert found.companions == [DEAD]


def test_parts_are_bounded_and_evict_no_requests():
    table = CrashTable()
    requests = [number.to_bytes(4) + bytes(20) for number in range(MAX_RECORDS // 2)]
    for key in requests:
        table.record_crash(key, "i", 100.0)
    for number in range(PART_CRASH_THRESHOLD):
        crash(table, f"i-{number}", DEAD)
    for number in range(2 * MAX_PART_RECORDS):
        table.record_crash(part_key(b"%d" % number), "i", 200.0 + number)
    assert all(table.has_record(key) for key in requests)
    assert len(table) <= len(requests) + MAX_PART_RECORDS
    assert table.blocked_for_s(DEAD, 200.0) > 0.0


class World:
    """One router's tracker, and the updates that it broadcasts."""

    def __init__(self, routers=1):
        self.loop = FakeLoop()
        self.sent = []
        probes = Probes()
        probes.refused.add("127.0.0.1:1")
        self.tracker = crash_tracker(self.loop, probes, broadcast=self.sent.append)
        self.tracker._router_count = lambda: routers

    def check(self, *names):
        return RequestCrashCheck(self.tracker, request(b"body"), admitted_with(*names))

    def crash(self, instance, *names, body=None):
        body = instance.encode() if body is None else body
        self.tracker.handle_disconnect(state(instance), request(body), admitted_with(*names))
        self.run(0.01)

    def run(self, seconds):
        self.loop.run_until(self.loop.time + seconds)

    def block(self):
        for number in range(PART_CRASH_THRESHOLD):
            self.crash(f"i-{number}", b"c0", b"dead")


def test_requests_that_have_only_a_part_in_common_are_blocked():
    world = World()
    world.block()
    block = world.check(b"c0", b"dead").block()
    assert block.part in ("dead", "c0") and block.left_s > 60.0
    assert world.check(b"f1", b"aa").block() is None


def test_one_trial_at_a_time_tells_companions_apart():
    world = World()
    world.block()
    trial = world.check(b"c0")
    assert trial.block() is None and trial.block() is None
    assert world.check(b"c0").block().left_s == TRIAL_INTERVAL_S
    trial.record_completion(is_success=True)
    assert world.check(b"c0").block() is None
    assert world.check(b"f1", b"dead").block().part == "dead"


def test_failed_response_does_not_clear_a_part():
    world = World()
    world.block()
    world.check(b"c0").record_completion(is_success=False)
    assert world.tracker.table.crash_count(COMPANION) == PART_CRASH_THRESHOLD


def test_suspected_part_decides_the_runner_and_forbids_repeats():
    world = World()
    world.crash("i-0", b"f1", b"dead")
    assert not world.check(b"f1", b"dead").forbids_sending(1)
    world.crash("i-1", b"aa", b"dead")
    check = world.check(b"bb", b"dead")
    assert check.placement_key() == DEAD
    assert check.forbids_sending(1) and not check.forbids_sending(0)
    world.check(b"f1", b"dead").record_completion(is_success=True)
    assert check.placement_key() is None and not check.forbids_sending(1)


def test_part_that_has_just_completed_here_gets_no_record():
    world = World()
    world.check(b"f1").record_completion(is_success=True)
    world.crash("i-0", b"f1", b"dead")
    assert not world.tracker.table.has_record(FIRST) and world.tracker.table.has_record(DEAD)


# Guards against sound parts blocked at all routers for crashes that only one of them can explain.
def test_router_that_saw_a_part_complete_contradicts_evidence_of_others():
    world = World()
    world.check(b"f1").record_completion(is_success=True)
    world.run(0.1)
    records = [CrashRecord(FIRST, [(f"i-{number}", 1) for number in range(8)])]
    world.tracker.handle_update(CrashUpdate(records))
    assert world.tracker.blocked_for_s(FIRST) == 0.0
    [update] = world.sent
    assert update.records[0].completed_ms == pytest.approx(100, abs=1)


# Guards against routers that answer each other's reports without end.
def test_an_earlier_completion_is_reported_once():
    world = World()
    world.check(b"f1").record_completion(is_success=True)
    world.run(10 * COMPLETION_GRACE_S)
    for number in range(3):
        world.tracker.handle_update(CrashUpdate([CrashRecord(FIRST, [(f"i-{number}", 1)])]))
    assert len(world.sent) == 1
    assert world.tracker.table.crash_count(FIRST) == 3


def test_few_of_many_routers_contradict():
    sent = 0
    for _ in range(400):
        world = World(routers=200)
        world.check(b"f1").record_completion(is_success=True)
        world.tracker.handle_update(CrashUpdate([CrashRecord(FIRST, [("i-0", 1)])]))
        sent += len(world.sent)
    assert 4 <= sent <= 40


def test_only_suspected_parts_are_stored():
    world = World()
    world.crash("i-0", b"aa", b"dead")
    assert not any(key.startswith(PART_TAG) for key in world.tracker.missing_from_store())
    world.crash("i-1", b"bb", b"dead")
    now = world.loop.now()
    stored = world.tracker.records_to_store(now)
    assert {part_name(record.fingerprint) for record in stored} == {None, "dead"}
    world.tracker.merge_stored(stored)
    assert world.tracker.missing_from_store() == set()
    world.check(b"dead").record_completion(is_success=True)
    assert world.tracker.missing_from_store() == {DEAD}


def test_records_of_parts_are_read_back_from_the_store_and_from_datagrams():
    world = World()
    world.block()
    records = world.tracker.records_to_store(world.loop.now())
    spec = PLATFORM_ADAPTER.crash_records_spec(records)
    assert PLATFORM_ADAPTER.read_crash_records(StoredObject("main", 1, spec)) == records
    assert decode(encode(CrashUpdate(records))) == CrashUpdate(records)


def test_records_of_routers_that_know_no_companions_are_read():
    old = {"requests": [{"fingerprint": DEAD.hex(), "ended": [{"start": "i", "age_ms": 1}]}]}
    [record] = PLATFORM_ADAPTER.read_crash_records(StoredObject("main", 1, old))
    assert record.companions == []


def test_crash_of_a_request_records_all_its_features():
    world = World()
    world.crash("i-0", b"f1", b"dead", body=b"x")
    features = RequestFeatures(b"", (FIRST, DEAD))
    assert all(world.tracker.table.crash_count(key) == 1 for key in features.parts)
    assert len(world.tracker.table) == 3
