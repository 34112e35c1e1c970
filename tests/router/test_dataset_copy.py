"""Replicas of datasets: newest revisions win, gaps after outages are no deletions."""

from hypothesis import given
from hypothesis import strategies as st

from martenrun.router.messages import Dataset, StoredObject
from martenrun.router.store.replica import (
    MAX_CHANGES,
    RETURN_GRACE_S,
    DatasetReplica,
    ReplicaListener,
)

from .fakes import at


def make_replica(seen=None):
    events = [] if seen is None else seen
    listener = ReplicaListener(
        on_put=lambda stored: events.append(("put", stored.name, stored.revision)),
        on_deleted=lambda name: events.append(("gone", name)),
        on_applied=lambda: None,
    )
    return DatasetReplica(Dataset.RUNNERS, listener)


def stored(name, revision):
    return StoredObject(name, revision, {"r": revision})


def names(replica):
    return {item.name for item in replica.objects}


def test_older_list_is_ignored():
    replica = make_replica()
    replica.replace([stored("a", 5)], at(5), False, 0.0)
    replica.replace([], at(4), False, 1.0)
    assert names(replica) == {"a"}


def test_older_revision_of_an_object_is_ignored():
    seen = []
    replica = make_replica(seen)
    replica.apply([stored("a", 5)], [], at(5), False, 0.0)
    replica.apply([stored("a", 4)], [], at(6), False, 0.0)
    assert seen == [("put", "a", 5)]


def test_objects_missing_after_an_outage_are_kept_for_the_grace_period():
    replica = make_replica()
    replica.replace([stored("a", 1), stored("b", 2)], at(2), False, 0.0)
    replica.replace([stored("a", 1)], at(3), True, 10.0)
    replica.update(10.0 + RETURN_GRACE_S / 2)
    assert names(replica) == {"a", "b"}
    replica.update(10.1 + RETURN_GRACE_S)
    assert names(replica) == {"a"}


def test_object_that_returns_after_an_outage_is_not_dropped():
    replica = make_replica()
    replica.replace([stored("a", 1)], at(1), False, 0.0)
    replica.apply([], ["a"], at(2), True, 10.0)
    replica.apply([stored("a", 3)], [], at(3), True, 10.5)
    replica.update(20.0)
    assert names(replica) == {"a"}


def test_object_deleted_in_normal_operation_is_removed_at_once():
    replica = make_replica()
    replica.replace([stored("a", 1)], at(1), False, 0.0)
    replica.apply([], ["a"], at(2), False, 1.0)
    assert names(replica) == set()


changes = st.lists(
    st.tuples(st.sampled_from("abcd"), st.booleans(), st.booleans()), min_size=1, max_size=40
)


@given(changes)
def test_follower_that_requests_changes_has_the_same_objects(steps):
    replica, follower = make_replica(), make_replica()
    number = 0
    for revision, (name, is_gone, requests_changes) in enumerate(steps, start=1):
        if is_gone:
            replica.apply([], [name], at(revision), False, 0.0)
        else:
            replica.apply([stored(name, revision)], [], at(revision), False, 0.0)
        if not requests_changes:
            continue
        for change in replica.changes_after(number):
            put = [] if change.stored is None else [change.stored]
            gone = [change.name] if change.stored is None else []
            follower.apply(put, gone, at(revision), False, 0.0)
        number = replica.sequence_number
    for change in replica.changes_after(number):
        put = [] if change.stored is None else [change.stored]
        follower.apply(put, [] if put else [change.name], at(len(steps)), False, 0.0)
    assert names(follower) == names(replica)


def test_request_for_changes_that_are_no_longer_kept_needs_a_snapshot():
    replica = make_replica()
    for revision in range(1, MAX_CHANGES + 10):
        replica.apply([stored("a", revision)], [], at(revision), False, 0.0)
    assert replica.changes_after(2) is None
    assert replica.changes_after(replica.sequence_number + 1) is None
    assert len(replica.changes_after(replica.sequence_number - 3)) == 3


def test_confirmation_time_only_increases():
    replica = make_replica()
    replica.confirm(5.0)
    replica.confirm(3.0)
    assert replica.confirmed_at == 5.0


def test_object_reported_as_missing_keeps_the_earliest_time():
    replica = make_replica()
    replica.replace([stored("a", 1)], at(1), False, 0.0, {"a": 10.0})
    replica.replace([stored("a", 1)], at(2), False, 0.0, {"a": 11.5})
    assert replica.missing_since("a") == 10.0
    replica.update(10.1 + RETURN_GRACE_S)
    assert names(replica) == set()


def test_object_that_is_listed_again_is_not_missing():
    replica = make_replica()
    replica.replace([stored("a", 1)], at(1), False, 0.0, {"a": 10.0})
    replica.replace([stored("a", 1)], at(2), False, 10.5)
    assert replica.missing_since("a") is None


def test_followers_learn_that_an_object_is_missing():
    replica = make_replica()
    replica.replace([stored("a", 1)], at(1), False, 0.0)
    number = replica.sequence_number
    replica.apply([], ["a"], at(2), True, 10.0)
    assert [change.name for change in replica.changes_after(number)] == ["a"]
