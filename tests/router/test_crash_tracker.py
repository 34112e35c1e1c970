"""Tests that crash records reach all routers and the store."""

import random

import pytest

from martenrun.platform import PLATFORM_ADAPTER
from martenrun.router.crashes.fingerprint import request_fingerprint
from martenrun.router.crashes.history import CRASH_THRESHOLD
from martenrun.router.crashes.messages import CrashUpdate
from martenrun.router.crashes.record_writer import (
    REFRESH_INTERVAL_S,
    RETRY_INTERVAL_S,
    WRITE_INTERVAL_S,
    CrashRecordWriter,
)
from martenrun.router.crashes.tracker import REBROADCAST_INTERVAL_S, REBROADCAST_PERIOD_S
from martenrun.router.messages import Dataset, StoredObject, UnreadableError
from martenrun.router.peer_messages import decode, encode
from martenrun.router.store.replica import DatasetReplica, ReplicaListener

from .builders import state
from .crash_world import Probes, admitted, crash_tracker, request
from .fakes import FakeLoop, FakeStore, at

CRASHING = request(b"deadly")
FINGERPRINT = request_fingerprint(CRASHING, admitted())


class Routers:
    """Routers whose updates reach each other with a given loss."""

    def __init__(self, count, lost_share=0.0, seed=1):
        self.loop = FakeLoop()
        self.rng = random.Random(seed)
        self.lost_share = lost_share
        self.probes = Probes()
        self.probes.refused.add("127.0.0.1:1")
        self.sent = 0
        self.trackers = [
            crash_tracker(
                self.loop, self.probes, broadcast=lambda update, n=n: self._deliver(n, update)
            )
            for n in range(count)
        ]
        for tracker in self.trackers:
            self._run_maintenance(tracker)

    def _run_maintenance(self, tracker):
        tracker.run_maintenance()
        self.loop.call_later(0.25, lambda: self._run_maintenance(tracker))

    def _deliver(self, sender, update):
        data = encode(update)
        for number, other in enumerate(self.trackers):
            if number != sender:
                self.sent += 1
                if self.rng.random() >= self.lost_share:
                    self.loop.call_later(0.002, lambda o=other: o.handle_update(decode(data)))

    def crash(self, router, instance):
        """Let a runner crash while serving the crash-causing request at one router."""
        self.trackers[router].handle_disconnect(state(instance), CRASHING, admitted())

    def run(self, seconds):
        self.loop.run_until(self.loop.time + seconds)

    def blocking_count(self):
        return sum(tracker.blocked_for_s(FINGERPRINT) > 0 for tracker in self.trackers)


def test_three_crashes_seen_by_three_routers_block_the_request_everywhere():
    routers = Routers(7)
    for number in range(CRASH_THRESHOLD):
        routers.crash(number, f"i-{number}")
    routers.run(0.01)
    assert routers.blocking_count() == 7


@pytest.mark.parametrize("seed", range(20))
def test_lost_updates_are_broadcast_again_until_all_routers_block(seed):
    routers = Routers(7, lost_share=0.5, seed=seed)
    for number in range(CRASH_THRESHOLD):
        routers.crash(number, f"i-{number}")
    routers.run(10.0)
    assert routers.blocking_count() == 7


def test_stored_records_are_not_broadcast_again():
    routers = Routers(3)
    routers.crash(0, "i-0")
    routers.run(0.01)
    for tracker in routers.trackers:
        tracker.merge_stored(tracker.table.records(routers.loop.now()))
    sent = routers.sent
    routers.run(5.0)
    assert routers.sent == sent


def test_rebroadcast_stops_during_a_long_store_outage():
    routers = Routers(2)
    routers.crash(0, "i-0")
    routers.run(REBROADCAST_PERIOD_S + 1.0)
    sent = routers.sent
    assert sent <= 1 + REBROADCAST_PERIOD_S / REBROADCAST_INTERVAL_S
    routers.run(60.0)
    assert routers.sent == sent


def test_completion_at_one_router_clears_everywhere():
    routers = Routers(3)
    routers.crash(0, "i-0")
    routers.run(0.01)
    routers.trackers[1].record_completion(
        routers.trackers[1].known_fingerprint(CRASHING, admitted())
    )
    routers.run(0.01)
    assert [tracker.table.crash_count(FINGERPRINT) for tracker in routers.trackers] == [0, 0, 0]


def test_digest_is_computed_only_for_known_prefixes():
    tracker = crash_tracker(FakeLoop())
    assert tracker.known_fingerprint(CRASHING, admitted()) is None
    tracker.table.record_crash(FINGERPRINT, "i-1", 100.0)
    assert tracker.known_fingerprint(request(b"another length"), admitted()) is None
    assert tracker.known_fingerprint(request(b"deadlY"), admitted()) is None
    assert tracker.known_fingerprint(CRASHING, admitted()) == FINGERPRINT


def test_few_routers_send_records_to_a_joining_router():
    tracker = crash_tracker(FakeLoop())
    assert tracker.update_for_joining_router(7) is None
    tracker.table.record_crash(FINGERPRINT, "i-1", 100.0)
    assert tracker.update_for_joining_router(7).records[0].fingerprint == FINGERPRINT
    senders = sum(tracker.update_for_joining_router(195) is not None for _ in range(1_950))
    assert 40 < senders < 130


class StoreReader:
    """A store reader and the store."""

    def __init__(self):
        self.loop = FakeLoop()
        self.store = FakeStore(self.loop)
        self.tracker = crash_tracker(self.loop)
        self.replica = DatasetReplica(
            Dataset.CRASH_RECORDS, ReplicaListener(self._put, lambda _name: None, lambda: None)
        )
        self.reads_store = True
        self.writer = CrashRecordWriter(
            self.loop,
            self.store,
            PLATFORM_ADAPTER,
            self.replica,
            self.tracker,
            lambda: self.reads_store,
        )
        self._check()

    def _put(self, stored):
        self.tracker.merge_stored(PLATFORM_ADAPTER.read_crash_records(stored))

    def _check(self):
        item = self.store.objects.get("main")
        if item is not None:
            revision = item["metadata"]["revision"]
            stored = StoredObject("main", revision, item["spec"])
            self.replica.apply([stored], [], at(revision), False, self.loop.now())
        self.writer.write_if_due()
        self.loop.call_later(0.25, self._check)

    def run(self, seconds):
        self.loop.run_until(self.loop.time + seconds)


def test_records_are_stored_once_and_outlast_all_routers():
    reader = StoreReader()
    reader.tracker.table.record_crash(FINGERPRINT, "i-1", reader.loop.now())
    reader.run(5.0)
    assert len(reader.store.writes) == 1
    restarted = crash_tracker(reader.loop)
    spec = reader.store.objects["main"]["spec"]
    restarted.merge_stored(PLATFORM_ADAPTER.read_crash_records(StoredObject("main", 1, spec)))
    assert restarted.table.crash_count(FINGERPRINT) == 1


def test_only_store_readers_write():
    reader = StoreReader()
    reader.reads_store = False
    reader.tracker.table.record_crash(FINGERPRINT, "i-1", reader.loop.now())
    reader.run(5.0)
    assert reader.store.writes == []


def test_conflicting_write_merges_both_records():
    reader = StoreReader()
    other = request_fingerprint(request(b"other"), admitted())
    other_tracker = crash_tracker(reader.loop)
    other_tracker.table.record_crash(other, "i-9", reader.loop.now())
    reader.tracker.table.record_crash(FINGERPRINT, "i-1", reader.loop.now())
    call = PLATFORM_ADAPTER.create_object(
        Dataset.CRASH_RECORDS,
        "main",
        PLATFORM_ADAPTER.crash_records_spec(other_tracker.table.records(reader.loop.now())),
    )
    reader.store.call(call, 1.0, lambda _response: None)
    reader.run(5.0)
    spec = reader.store.objects["main"]["spec"]
    assert {item["fingerprint"] for item in spec["requests"]} == {FINGERPRINT.hex(), other.hex()}


def test_writes_are_limited_during_many_crashes_and_store_outages():
    reader = StoreReader()
    for number in range(100):
        reader.tracker.table.record_crash(FINGERPRINT, f"i-{number}", reader.loop.now())
        reader.run(0.05)
    assert len(reader.store.writes) <= 5.0 / WRITE_INTERVAL_S + 1
    reader.store.is_silent = True
    reader.tracker.table.record_crash(FINGERPRINT, "more", reader.loop.now())
    before = reader.loop.now()
    reader.run(10.0)
    assert reader.loop.now() - before >= RETRY_INTERVAL_S


# Guards against crash records that are presumed stored after the store returned without them.
def test_records_are_written_again_when_the_store_has_lost_them():
    reader = StoreReader()
    reader.tracker.table.record_crash(FINGERPRINT, "i-1", reader.loop.now())
    reader.run(5.0)
    assert len(reader.store.writes) == 1
    reader.store.objects.clear()
    reader.replica.replace([], at(1, era=2), False, reader.loop.now())
    reader.run(0.5)
    assert len(reader.store.writes) == 2
    assert "main" in reader.store.objects


def test_stored_ages_are_refreshed_periodically():
    reader = StoreReader()
    reader.tracker.table.record_crash(FINGERPRINT, "i-1", reader.loop.now())
    reader.run(2 * REFRESH_INTERVAL_S + 10.0)
    assert len(reader.store.writes) == 3


@pytest.mark.parametrize(
    "content",
    [
        None,
        {"requests": 7},
        {"requests": [{"fingerprint": "zz", "ended": []}]},
        {"requests": [{"fingerprint": "aa"}]},
        {"requests": [{"fingerprint": "aa", "ended": [{"start": "", "age_ms": 1}]}]},
        {"requests": [{"fingerprint": "aa", "ended": [{"start": "i", "age_ms": -1}]}]},
    ],
)
def test_invalid_stored_records_are_rejected(content):
    with pytest.raises(UnreadableError):
        PLATFORM_ADAPTER.read_crash_records(StoredObject("main", 1, content))


def test_update_is_encoded_as_a_datagram():
    tracker = crash_tracker(FakeLoop())
    tracker.table.record_crash(FINGERPRINT, "i-1", 100.0)
    update = CrashUpdate(tracker.table.records(101.0))
    assert decode(encode(update)) == update
