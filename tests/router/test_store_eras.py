"""Tests of positions in the store's history when the store returns from an older copy."""

import itertools
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from martenrun.net.http import HttpResponse
from martenrun.platform import PLATFORM_ADAPTER
from martenrun.platform.objects import read_era
from martenrun.router.messages import Dataset, HttpCall, StoredObject
from martenrun.router.store.client import StoreClient
from martenrun.router.store.eras import SETTLED_S, StoreEras
from martenrun.router.store.follower import FollowSettings, StoreFollower
from martenrun.router.store.replica import (
    DELETED_MEMORY_S,
    RETURN_GRACE_S,
    DatasetReplica,
    Deletion,
    ReplicaListener,
)

from .fakes import FakeLoop, at

READ = HttpCall(b"GET", b"/x", [])
WRITE = HttpCall(b"PUT", b"/x", [])


class Clock:
    def __init__(self):
        self.now = 100.0


def entry(name, revision, era, state="ready"):
    return StoredObject(name, revision, {"state": state, "written": (era, revision)}, era)


def make_replica(clock, first_positions=(), **options):
    eras = StoreEras(lambda: clock.now)
    for era, revision in first_positions:
        eras.record_position(at(revision, era))
    listener = ReplicaListener(lambda _: None, lambda _: None, lambda: None, **options)
    replica = DatasetReplica(Dataset.RUNNERS, listener, eras)
    eras.observe(1, "test")
    return replica


def begin_era(replica, era, objects, revision, now):
    replica.eras.observe(era, "test")
    replica.eras.record_position(at(revision, era))
    assert replica.replace(objects, at(revision, era), False, now)


def by_version(later, earlier):
    return later.spec["version"] >= earlier.spec["version"]


def configuration(version, revision, era):
    return StoredObject("main", revision, {"version": version, "era": era}, era)


def contents(replica):
    return {item.name: item.position for item in replica.objects}


# Responses


class ScriptedHttp:
    """Responds with the next of (era, status) when told to."""

    def __init__(self):
        self.pending = []

    def call(self, call, timeout_s, on_response, *_more):
        self.pending.append(on_response)

    def respond(self, era, status=200, number=0):
        headers = [] if era is None else [(b"Store-Era", str(era).encode())]
        self.pending.pop(number)(HttpResponse(status, headers, b"{}"))


@pytest.fixture
def store():
    http, eras = ScriptedHttp(), StoreEras()
    client = StoreClient(http, read_era, eras)
    return SimpleNamespace(http=http, eras=eras, client=client, responses=[])


def send(store, call=READ):
    store.client.call(
        call, 1.0, lambda item: store.responses.append(None if item is None else item.status)
    )


@pytest.mark.parametrize("status", [200, 404, 409, 410, 429, 503])
def test_a_response_of_any_status_begins_an_era(store, status):
    begun = []
    store.eras.on_changed.append(begun.append)
    send(store)
    store.http.respond(1)
    send(store)
    store.http.respond(2, status)
    assert (store.eras.current, begun, store.responses) == (2, [0, 1], [200, status])


# Guards against an outdated response that is applied after the era changed.
def test_a_response_of_an_earlier_era_counts_as_lost(store):
    send(store)
    send(store)
    store.http.respond(2, number=1)
    store.http.respond(1)
    assert store.responses == [200, None]
    assert store.eras.current == 2


# Guards against a condition that a revision assigned again fulfils.
def test_a_write_of_an_earlier_era_counts_as_lost(store):
    send(store)
    store.http.respond(1)
    send(store, WRITE)
    store.http.respond(2)
    assert store.responses == [200, None]


@pytest.mark.parametrize("text", [None, "", "x", "-3", "1.5", "9" * 5000, "0"])
def test_a_missing_or_invalid_era_changes_nothing(store, text):
    send(store)
    store.http.respond(3)
    for call in (READ, WRITE):
        send(store, call)
        store.http.respond(text)
    assert store.responses == [200, 200, 200]
    assert store.eras.current == 3


def test_a_store_that_names_no_era_is_used_as_before(store):
    send(store, WRITE)
    store.http.respond(None)
    assert (store.responses, store.eras.current) == ([200], 0)


# Replicas


# Guards against a list of the new era that is dropped because its revision is lower.
def test_a_list_of_a_newer_era_is_applied_whatever_its_revision():
    replica = make_replica(Clock())
    replica.replace([entry("a", 900, 1)], at(900, 1), False, 0.0)
    begin_era(replica, 2, [entry("a", 850, 1), entry("b", 840, 2)], 860, 1.0)
    assert replica.position == at(860, 2)
    assert set(contents(replica)) == {"a", "b"}


# Guards against a runner entry that the copy takes back.
def test_an_object_newer_than_the_copy_stays_until_it_is_written_again():
    replica = make_replica(Clock())
    replica.replace([entry("a", 900, 1)], at(900, 1), False, 0.0)
    begin_era(replica, 2, [entry("a", 850, 2)], 860, 1.0)
    assert contents(replica) == {"a": at(900, 1)}
    replica.apply([entry("a", 861, 2)], [], at(861, 2), False, 2.0)
    assert contents(replica) == {"a": at(861, 2)}


# Guards against a runner that has left and comes back with the copy.
def test_a_deleted_object_that_the_copy_lists_stays_deleted():
    replica = make_replica(Clock())
    replica.replace([entry("a", 850, 1)], at(850, 1), False, 0.0)
    replica.apply([], ["a"], at(900, 1), False, 1.0)
    begin_era(replica, 2, [entry("a", 850, 2)], 860, 2.0)
    assert contents(replica) == {}
    replica.apply([entry("a", 870, 2)], [], at(870, 2), False, 3.0)
    assert contents(replica) == {"a": at(870, 2)}


# Guards against a runner that a second copy lists and that is passed over as deleted.
def test_an_object_that_lapsed_does_not_count_as_deleted():
    replica = make_replica(Clock())
    replica.replace([entry("a", 900, 1)], at(900, 1), False, 0.0)
    begin_era(replica, 2, [], 860, 1.0)
    replica.apply([], [], at(866, 2), False, 1.5)
    replica.update(1.1 + RETURN_GRACE_S)
    assert contents(replica) == {}
    begin_era(replica, 3, [entry("a", 861, 3)], 870, 9.0)
    assert contents(replica) == {"a": at(861, 3)}


def test_an_object_deleted_after_an_outage_stays_deleted():
    replica = make_replica(Clock())
    replica.replace([entry("a", 850, 1)], at(850, 1), False, 0.0)
    replica.apply([], ["a"], at(900, 1), True, 1.0)
    replica.update(1.1 + RETURN_GRACE_S)
    begin_era(replica, 2, [entry("a", 850, 2)], 860, 9.0)
    assert contents(replica) == {}


def test_a_deletion_is_forgotten_after_a_minute():
    clock = Clock()
    replica = make_replica(clock)
    replica.replace([entry("a", 850, 1)], at(850, 1), False, clock.now)
    replica.apply([], ["a"], at(900, 1), False, clock.now)
    begin_era(replica, 2, [entry("a", 850, 2)], 860, clock.now)
    clock.now += DELETED_MEMORY_S - 1.0
    replica.update(clock.now)
    assert contents(replica) == {}
    clock.now += 2.0
    replica.update(clock.now)
    assert contents(replica) == {"a": at(850, 2)}


def test_an_object_that_the_copy_lacks_stays_for_the_grace_period():
    replica = make_replica(Clock())
    replica.replace([entry("a", 900, 1)], at(900, 1), False, 0.0)
    begin_era(replica, 2, [], 860, 1.0)
    replica.update(1.0 + RETURN_GRACE_S / 2)
    assert set(contents(replica)) == {"a"}
    replica.update(1.1 + RETURN_GRACE_S)
    assert contents(replica) == {}


# Guards against an entry that is kept aside for good although the store goes on holding it.
def test_what_the_store_holds_counts_after_a_while():
    clock = Clock()
    replica = make_replica(clock)
    replica.replace([entry("a", 900, 1)], at(900, 1), False, clock.now)
    begin_era(replica, 2, [entry("a", 850, 2)], 860, clock.now)
    clock.now += SETTLED_S + 1.0
    replica.update(clock.now)
    assert contents(replica) == {"a": at(850, 2)}


# Guards against a configuration that goes back, and against reads that confirm it meanwhile.
def test_a_lost_configuration_stays_in_force_and_is_not_confirmed():
    replica = make_replica(Clock(), supersedes=by_version, keeps_lost=True)
    replica.replace([configuration(9, 900, 1)], at(900, 1), False, 0.0)
    replica.confirm(0.0)
    begin_era(replica, 2, [configuration(7, 850, 2)], 860, 1.0)
    replica.confirm(1.0)
    assert (contents(replica), replica.confirmed_at) == ({"main": at(900, 1)}, 0.0)
    replica.update(100.0)
    replica.apply([configuration(9, 855, 2)], [], at(861, 2), False, 2.0)
    replica.confirm(2.0)
    assert (contents(replica), replica.confirmed_at) == ({"main": at(855, 2)}, 2.0)


def test_a_configuration_that_the_copy_lacks_stays_in_force():
    replica = make_replica(Clock(), supersedes=by_version, keeps_lost=True)
    replica.replace([configuration(9, 900, 1)], at(900, 1), False, 0.0)
    begin_era(replica, 2, [], 860, 1.0)
    replica.update(100.0)
    replica.confirm(100.0)
    assert (set(contents(replica)), replica.confirmed_at) == ({"main"}, None)


# Guards against a router that starts after the return and takes the copy for the newest state.
def test_a_router_that_knows_the_copy_only_learns_the_rest_from_others():
    started = make_replica(Clock())
    copied = [entry("a", 850, 2), entry("gone", 840, 2)]
    begin_era(started, 2, copied, 860, 1.0)
    deletions = {"gone": Deletion(at(905, 1), 0.5)}
    started.merge_earlier([entry("a", 900, 1), entry("new", 890, 1)], deletions, 1.2)
    assert contents(started) == {"a": at(900, 1), "new": at(890, 1)}
    assert started.position == at(860, 2)
    started.update(1.3 + RETURN_GRACE_S)
    assert set(contents(started)) == {"a"}


versions = st.lists(
    st.tuples(st.sampled_from([1, 1, 2, 2, 3]), st.integers(1, 12)), min_size=1, max_size=6
)


# Guards against readers that come to different answers by the order of their reads.
@settings(deadline=None)
@given(versions, st.randoms(use_true_random=False))
def test_the_newest_of_several_objects_does_not_depend_on_their_order(positions, rng):
    first_positions = [(2, 5), (3, 4)]
    found = set()
    for _ in range(4):
        replica = make_replica(Clock(), first_positions)
        replica.eras.observe(3, "test")
        replica.position = at(100, 3)
        order = list(dict.fromkeys(positions))
        rng.shuffle(order)
        for era, revision in order:
            replica.merge_earlier([entry("a", revision, era)], {}, 0.0)
        era_and_revision = contents(replica)["a"]
        found.add(replica.eras.order(era_and_revision))
    assert len(found) == 1


# The follower of the store


class GoneStore:
    """Lists nothing at a revision and responds 410 to each watch."""

    def __init__(self, loop):
        self.loop = loop
        self.era = 0
        self.calls = 0

    def call(self, call, timeout_s, on_response, *_more):
        self.calls += 1
        is_watch = b"watch" in call.target
        body = b"" if is_watch else b'{"items":[],"at":5}'
        response = HttpResponse(410 if is_watch else 200, [], body)
        self.loop.call_later(0.004, lambda: on_response(response))


# Guards against watches that get 410 and are repeated without a pause.
def test_repeated_losses_of_history_are_followed_by_pauses():
    loop = FakeLoop()
    store = GoneStore(loop)
    listener = ReplicaListener(lambda _: None, lambda _: None, lambda: None)
    replica = DatasetReplica(Dataset.RUNNERS, listener)
    settings = FollowSettings(2.0)
    follower = StoreFollower(loop, store, PLATFORM_ADAPTER, settings, replica, lambda: None)
    follower.start()
    loop.run_until(loop.now() + 10.0)
    assert store.calls < 100


class RestoredStore:
    """Responds to each list with the next (era, revision); watches are held until their end."""

    def __init__(self, loop, eras):
        self.loop = loop
        self.eras = eras
        self.lists = itertools.count()
        self.listed_at = []

    @property
    def era(self):
        return self.eras.current

    def call(self, call, timeout_s, on_response, *_more):
        if b"watch" in call.target:
            self.loop.call_later(timeout_s, lambda: on_response(None))
            return
        self.listed_at.append(self.loop.now())
        body = b'{"items":[],"at":%d}' % (900 if next(self.lists) == 0 else 5)
        self.loop.call_later(0.004, lambda: on_response(HttpResponse(200, [], body)))


# Guards against a wait for held watches once another response has named a newer era.
def test_a_list_is_read_at_once_when_the_era_changes():
    loop = FakeLoop()
    eras = StoreEras(loop.now)
    eras.observe(1, "test")
    store = RestoredStore(loop, eras)
    listener = ReplicaListener(lambda _: None, lambda _: None, lambda: None)
    replica = DatasetReplica(Dataset.CRASH_RECORDS, listener, eras)
    settings = FollowSettings(10.0)
    follower = StoreFollower(loop, store, PLATFORM_ADAPTER, settings, replica, lambda: None)
    follower.start()
    loop.run_until(loop.now() + 1.0)
    assert replica.position == at(900, 1)
    eras.observe(2, "test")
    loop.run_until(loop.now() + 0.1)
    assert replica.position == at(5, 2)
    assert len(store.listed_at) == 2
