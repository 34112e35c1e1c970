"""State relayed between routers is complete, timely, has its age and never goes back."""

import msgspec
import pytest

from martenrun.net.loop import Loop
from martenrun.net.server import Server
from martenrun.router.messages import Dataset, StoredObject
from martenrun.router.store import relay
from martenrun.router.store.relay import EncodedChanges, RelayServer
from martenrun.router.store.relay_follower import RelayFollower
from martenrun.router.store.relay_messages import (
    FollowQuery,
    RelayedObject,
    decode_objects,
    encode_objects,
)
from martenrun.router.store.replica import RETURN_GRACE_S, DatasetReplica, ReplicaListener

from .fakes import at
from .loopback import Peer, free_address, serve_until


def nothing(*_arguments):
    return None


def make_replicas():
    listener = ReplicaListener(nothing, nothing, nothing)
    return {Dataset.CONFIGURATION: DatasetReplica(Dataset.CONFIGURATION, listener)}


class Pair:
    """A reader with its replicas, and its follower, on one event loop."""

    def __init__(self, incarnation=1):
        self.loop = Loop()
        self.address = free_address()
        self.source_replicas = make_replicas()
        self.may_relay = True
        self.has_lost_store = False
        self.reads_store = True
        self.relay = RelayServer(
            self.loop,
            self.source_replicas,
            incarnation,
            lambda: self.may_relay,
            lambda: self.has_lost_store,
            lambda: self.reads_store,
        )
        self.server = Server(self.loop, self.address, self.relay.serve)
        self.followed_replicas = make_replicas()
        self.failed = []
        self.applied = 0
        self.follower = RelayFollower(
            self.loop,
            self.followed_replicas,
            lambda: self.address,
            self._on_applied,
            lambda address, has_lost_store: self.failed.append(has_lost_store),
        )

    def _on_applied(self):
        self.applied += 1

    def put(self, name, revision, gone=False):
        replica = self.source_replicas[Dataset.CONFIGURATION]
        changed = [] if gone else [StoredObject(name, revision, {"v": revision})]
        replica.apply(changed, [name] if gone else [], at(revision), False, self.loop.now())
        replica.confirm(self.loop.now())
        self.relay.respond_with_changes()

    def names(self):
        return {item.name for item in self.followed_replicas[Dataset.CONFIGURATION].objects}


@pytest.fixture
def pair():
    return Pair()


def test_follower_gets_a_snapshot_and_then_each_change(pair):
    pair.put("a", 1)
    pair.put("b", 2)
    pair.follower.start()
    serve_until(pair.loop, lambda: pair.names() == {"a", "b"})
    pair.put("a", 3, gone=True)
    serve_until(pair.loop, lambda: pair.names() == {"b"})


def test_delayed_response_is_sent_as_soon_as_there_is_a_change(pair):
    pair.put("a", 1)
    pair.follower.start()
    serve_until(pair.loop, lambda: pair.applied == 1)
    began = pair.loop.now()
    pair.put("b", 2)
    serve_until(pair.loop, lambda: pair.names() == {"a", "b"})
    assert pair.applied == 2, "a response was sent before the change"
    assert pair.loop.now() >= began


def test_relayed_age_is_never_too_low(pair):
    pair.put("a", 1)
    confirmed_at = pair.loop.now() - 2.0
    pair.source_replicas[Dataset.CONFIGURATION].confirmed_at = confirmed_at
    pair.follower.start()
    serve_until(pair.loop, lambda: pair.applied >= 2)
    assert pair.followed_replicas[Dataset.CONFIGURATION].confirmed_at <= confirmed_at


def test_outdated_reader_changes_nothing(pair):
    pair.put("a", 1)
    followed = pair.followed_replicas[Dataset.CONFIGURATION]
    followed.replace([StoredObject("z", 9, {})], at(9), False, 0.0)
    pair.follower.start()
    serve_until(pair.loop, lambda: pair.applied == 1)
    assert pair.names() == {"z"}
    assert followed.confirmed_at is None


def begin_era(replica, era):
    replica.eras.observe(era, "test")


# Guards against a router of an earlier version that relays what it takes for the newest state.
def test_reader_that_names_no_era_is_not_followed_once_an_era_is_known(pair):
    pair.put("a", 900)
    followed = pair.followed_replicas[Dataset.CONFIGURATION]
    begin_era(followed, 2)
    followed.replace([StoredObject("z", 5, {}, 2)], at(5, 2), False, 0.0)
    pair.follower.start()
    serve_until(pair.loop, lambda: pair.failed)
    assert pair.names() == {"z"}
    assert followed.confirmed_at is None


# Guards against state of an earlier era that confirms, and against its loss.
def test_reader_of_an_earlier_era_adds_what_it_knows_and_confirms_nothing(pair):
    source = pair.source_replicas[Dataset.CONFIGURATION]
    begin_era(source, 1)
    source.replace([StoredObject("a", 900, {"v": 9}, 1)], at(900, 1), False, 0.0)
    source.confirm(0.0)
    followed = pair.followed_replicas[Dataset.CONFIGURATION]
    begin_era(followed, 2)
    followed.eras.record_position(at(860, 2))
    followed.replace([StoredObject("a", 850, {"v": 8}, 2)], at(860, 2), False, 0.0)
    pair.follower.start()
    serve_until(pair.loop, lambda: pair.applied == 1)
    assert [item.position for item in followed.objects] == [at(900, 1)]
    assert followed.position == at(860, 2)
    assert followed.confirmed_at is None


# Guards against followers that take a lapse, which another router noticed, for a deletion.
def test_lapse_is_no_deletion_for_followers(pair):
    source = pair.source_replicas[Dataset.CONFIGURATION]
    pair.put("a", 1)
    pair.put("b", 2)
    pair.follower.start()
    serve_until(pair.loop, lambda: pair.names() == {"a", "b"})
    source.apply([], ["a"], at(3), False, pair.loop.now())
    source.replace([], at(4), True, pair.loop.now() - 2 * RETURN_GRACE_S)
    source.update(pair.loop.now())
    pair.relay.respond_with_changes()
    followed = pair.followed_replicas[Dataset.CONFIGURATION]
    serve_until(pair.loop, lambda: pair.names() == set())
    assert set(source.deletions) == set(followed.deletions) == {"a"}


# Guards against followers that do not know which runners have left, or where an era began.
def test_snapshot_contains_deletions_and_where_eras_began(pair):
    source = pair.source_replicas[Dataset.CONFIGURATION]
    begin_era(source, 1)
    source.replace([StoredObject("a", 4, {}, 1)], at(4, 1), False, pair.loop.now())
    source.apply([], ["a"], at(9, 1), False, pair.loop.now())
    source.eras.record_position(at(3, 1))
    pair.follower.start()
    serve_until(pair.loop, lambda: pair.applied == 1)
    followed = pair.followed_replicas[Dataset.CONFIGURATION]
    assert followed.eras.current == 1
    assert followed.eras.first_positions() == [at(3, 1)]
    assert followed.deletions["a"].position == at(9, 1)


def test_reader_that_loses_the_store_refuses_its_followers_at_once(pair):
    pair.put("a", 1)
    pair.follower.start()
    serve_until(pair.loop, lambda: pair.applied == 1)
    pair.may_relay = False
    pair.has_lost_store = True
    pair.relay.refuse_pending()
    serve_until(pair.loop, lambda: pair.failed)
    assert pair.failed == [True]


def test_router_that_is_no_reader_does_not_report_a_lost_store(pair):
    pair.may_relay = False
    pair.follower.start()
    serve_until(pair.loop, lambda: pair.failed)
    assert pair.failed == [False]


def test_unreachable_reader_counts_as_failed_without_a_lost_store(pair):
    pair.address = free_address()
    pair.follower.start()
    serve_until(pair.loop, lambda: pair.failed)
    assert pair.failed == [False]


# Guards against routers that follow each other in a cycle: only followers of a reader may relay.
def test_router_knows_whether_it_follows_a_reader(pair):
    pair.put("a", 1)
    pair.follower.start()
    serve_until(pair.loop, lambda: pair.applied == 1)
    assert pair.follower.follows_reader()
    pair.reads_store = False
    pair.put("b", 2)
    serve_until(pair.loop, lambda: pair.applied == 2)
    assert not pair.follower.follows_reader()
    pair.reads_store = True
    pair.put("c", 3)
    serve_until(pair.loop, lambda: pair.applied == 3)
    assert pair.follower.follows_reader()
    pair.may_relay = False
    pair.relay.refuse_pending()
    serve_until(pair.loop, lambda: pair.failed)
    assert not pair.follower.follows_reader()


# Guards against queries that a router keeps for as long as their senders name, after they left.
@pytest.mark.parametrize("leaves", [True, False])
def test_query_is_kept_neither_for_long_nor_after_its_sender_has_left(pair, leaves, monkeypatch):
    monkeypatch.setattr(relay, "MAXIMUM_HOLD_S", 60.0 if leaves else 0.2, raising=False)
    pair.put("main", 1)
    number = pair.source_replicas[Dataset.CONFIGURATION].sequence_number
    numbers = {Dataset.CONFIGURATION.value: number}
    body = msgspec.msgpack.encode(FollowQuery(1, numbers, 10**15, False))
    peer = Peer.connected(pair.address)
    peer.send(b"POST /follow HTTP/1.1\r\nContent-Length: %d\r\n\r\n%b" % (len(body), body))
    serve_until(pair.loop, lambda: pair.relay._pending)
    if leaves:
        peer.close()
    serve_until(pair.loop, lambda: not pair.relay._pending)
    now = pair.loop.now()
    timers = [timer for timer in pair.loop._timers if not timer.is_cancelled]
    assert all(timer.due_at - now < 10.0 for timer in timers)


def test_sequence_numbers_of_another_incarnation_are_ignored(pair):
    pair.put("a", 1)
    pair.follower.start()
    serve_until(pair.loop, lambda: pair.applied == 1)
    pair.relay._incarnation = 2
    pair.source_replicas[Dataset.CONFIGURATION]._changes.clear()
    pair.put("b", 2)
    serve_until(pair.loop, lambda: pair.names() == {"a", "b"})


# Guards against entries that a follower keeps forever: its reader kept them for the grace period
# after an outage and stopped before dropping them, and the follower then watches the store from a
# revision at which they are already deleted.
def test_a_follower_drops_what_its_reader_keeps_for_the_time_of_grace_only(pair):
    pair.put("a", 1)
    pair.put("b", 2)
    reader, follower = (
        pair.source_replicas[Dataset.CONFIGURATION],
        pair.followed_replicas[Dataset.CONFIGURATION],
    )
    pair.follower.start()
    serve_until(pair.loop, lambda: pair.names() == {"a", "b"})
    reader.apply([], ["a"], at(3), True, pair.loop.now())
    pair.relay.respond_with_changes()
    serve_until(pair.loop, lambda: follower.position == at(3))
    pair.follower.stop()
    follower.update(pair.loop.now() + RETURN_GRACE_S / 2)
    assert pair.names() == {"a", "b"}
    follower.update(pair.loop.now() + RETURN_GRACE_S)
    assert pair.names() == {"b"}


@pytest.mark.parametrize("count", [0, 1, 2_000])
def test_encoded_objects_are_decoded_unchanged(count):
    objects = [RelayedObject(f"i-{n}", n + 1, {"service": "s", "n": n}) for n in range(count)]
    assert decode_objects(encode_objects(objects)) == objects
    assert count < 2_000 or len(encode_objects(objects)) < 10 * count


def test_changes_for_many_followers_are_encoded_once():
    replica = DatasetReplica(Dataset.RUNNERS, ReplicaListener(nothing, nothing, nothing))
    replica.replace([StoredObject("a", 1, {})], at(1), False, 100.0)
    changes = EncodedChanges(replica)
    first = changes.after(None, 100.0)
    assert changes.after(None, 101.0)[0] is first[0]
    replica.apply([StoredObject("b", 2, {})], [], at(2), False, 102.0)
    changes_since_first = changes.after(1, 102.0)
    assert [item.name for item in decode_objects(changes_since_first[0])] == [
        "b"
    ] and not changes_since_first[1]
    assert len(decode_objects(changes.after(None, 102.0)[0])) == 2


def test_missing_time_of_an_object_is_computed_for_each_response():
    replica = DatasetReplica(Dataset.RUNNERS, ReplicaListener(nothing, nothing, nothing))
    replica.replace([StoredObject("a", 1, {})], at(1), False, 100.0)
    replica.replace([], at(2), True, 101.0)
    changes = EncodedChanges(replica)
    ages = [decode_objects(changes.after(None, now)[0])[0].missing_ms for now in (101.5, 102.0)]
    assert ages == [500, 1_000]


@pytest.mark.parametrize("body", [b"", b"\x01broken", b"\x00\xc1", b"\x01" + b"\x78\x9c"])
def test_response_that_cannot_be_decompressed_counts_as_failed(body, monkeypatch):
    monkeypatch.setattr("martenrun.router.store.relay.encode_objects", lambda _objects: body)
    pair = Pair()
    pair.put("a", 1)
    pair.follower.start()
    serve_until(pair.loop, lambda: pair.failed)
    assert not pair.applied and not pair.followed_replicas[Dataset.CONFIGURATION].is_loaded
