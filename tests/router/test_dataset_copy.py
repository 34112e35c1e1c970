"""Replicas of datasets: newest revisions win, gaps after outages are no deletions."""

from hypothesis import given
from hypothesis import strategies as st

from martenrun.router.dataset_copy import (
    REMEMBERED_CHANGES,
    RETURN_GRACE_S,
    CopyListener,
    DatasetCopy,
)
from martenrun.router.messages import Dataset, StoredObject


def made(seen=None):
    events = [] if seen is None else seen
    listener = CopyListener(
        on_put=lambda stored: events.append(("put", stored.name, stored.revision)),
        on_gone=lambda name: events.append(("gone", name)),
        on_settled=lambda: None,
    )
    return DatasetCopy(Dataset.RUNNERS, listener)


def stored(name, revision):
    return StoredObject(name, revision, {"r": revision})


def names(copy):
    return {item.name for item in copy.objects}


def test_older_list_is_ignored():
    copy = made()
    copy.replace([stored("a", 5)], 5, False, 0.0)
    copy.replace([], 4, False, 1.0)
    assert names(copy) == {"a"}


def test_older_revision_of_an_object_is_ignored():
    seen = []
    copy = made(seen)
    copy.apply([stored("a", 5)], [], 5, False, 0.0)
    copy.apply([stored("a", 4)], [], 6, False, 0.0)
    assert seen == [("put", "a", 5)]


def test_objects_missing_after_an_outage_are_kept_for_the_grace_period():
    copy = made()
    copy.replace([stored("a", 1), stored("b", 2)], 2, False, 0.0)
    copy.replace([stored("a", 1)], 3, True, 10.0)
    copy.drop_missing(10.0 + RETURN_GRACE_S / 2)
    assert names(copy) == {"a", "b"}
    copy.drop_missing(10.1 + RETURN_GRACE_S)
    assert names(copy) == {"a"}


def test_object_that_returns_after_an_outage_is_not_dropped():
    copy = made()
    copy.replace([stored("a", 1)], 1, False, 0.0)
    copy.apply([], ["a"], 2, True, 10.0)
    copy.apply([stored("a", 3)], [], 3, True, 10.5)
    copy.drop_missing(20.0)
    assert names(copy) == {"a"}


def test_object_deleted_in_normal_operation_is_removed_at_once():
    copy = made()
    copy.replace([stored("a", 1)], 1, False, 0.0)
    copy.apply([], ["a"], 2, False, 1.0)
    assert names(copy) == set()


changes = st.lists(
    st.tuples(st.sampled_from("abcd"), st.booleans(), st.booleans()), min_size=1, max_size=40
)


@given(changes)
def test_follower_that_requests_changes_has_the_same_objects(steps):
    copy, follower = made(), made()
    number = 0
    for revision, (name, is_gone, asks) in enumerate(steps, start=1):
        if is_gone:
            copy.apply([], [name], revision, False, 0.0)
        else:
            copy.apply([stored(name, revision)], [], revision, False, 0.0)
        if not asks:
            continue
        for change in copy.changes_after(number):
            put = [] if change.stored is None else [change.stored]
            gone = [change.name] if change.stored is None else []
            follower.apply(put, gone, revision, False, 0.0)
        number = copy.number
    for change in copy.changes_after(number):
        put = [] if change.stored is None else [change.stored]
        follower.apply(put, [] if put else [change.name], len(steps), False, 0.0)
    assert names(follower) == names(copy)


def test_request_for_changes_that_are_no_longer_kept_needs_a_snapshot():
    copy = made()
    for revision in range(1, REMEMBERED_CHANGES + 10):
        copy.apply([stored("a", revision)], [], revision, False, 0.0)
    assert copy.changes_after(2) is None
    assert copy.changes_after(copy.number + 1) is None
    assert len(copy.changes_after(copy.number - 3)) == 3


def test_confirmation_time_only_increases():
    copy = made()
    copy.confirm(5.0)
    copy.confirm(3.0)
    assert copy.confirmed_at == 5.0


def test_object_reported_as_missing_keeps_the_earliest_time():
    copy = made()
    copy.replace([stored("a", 1)], 1, False, 0.0, {"a": 10.0})
    copy.replace([stored("a", 1)], 2, False, 0.0, {"a": 11.5})
    assert copy.missing_since("a") == 10.0
    copy.drop_missing(10.1 + RETURN_GRACE_S)
    assert names(copy) == set()


def test_object_that_is_listed_again_is_not_missing():
    copy = made()
    copy.replace([stored("a", 1)], 1, False, 0.0, {"a": 10.0})
    copy.replace([stored("a", 1)], 2, False, 10.5)
    assert copy.missing_since("a") is None


def test_followers_learn_that_an_object_is_missing():
    copy = made()
    copy.replace([stored("a", 1)], 1, False, 0.0)
    number = copy.number
    copy.apply([], ["a"], 2, True, 10.0)
    assert [change.name for change in copy.changes_after(number)] == ["a"]
