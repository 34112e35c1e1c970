"""Tests of the object API's stand-in and adapter: lost answers, compaction, races."""

import threading

import pytest

from martenrun.backends import object_api
from martenrun.errors import (
    ChangeOutcomeUnknownError,
    ObjectNotFoundError,
    StoreUnavailableError,
    VersionConflictError,
    WatchCompactedError,
)
from object_api_server import Store


@pytest.fixture
def store(monkeypatch):
    monkeypatch.setattr(object_api, "READ_BACK_PAUSES_S", (0.0, 0.01))
    running = Store()
    yield running
    running.stop()


@pytest.mark.parametrize("document", [b'{"weight":2}', None])
def test_a_write_whose_answer_was_lost_is_found_by_its_change(store, document):
    version = store.api.write("tenants", "a", 0, b"{}")
    store.set_faults(lose_answers=1)
    assert store.api.write("tenants", "a", version, document) == version + 1


def test_a_lost_answer_that_cannot_be_read_back_is_never_called_refused(store):
    store.set_faults(lose_answers=1, lose_read_probability=1.0)
    with pytest.raises(ChangeOutcomeUnknownError, match="did not tell"):
        store.api.write("tenants", "a", 0, b"{}")
    store.set_faults()
    assert store.api.get("tenants", "a").revision == 1


def test_a_write_overtaken_before_its_lost_answer_is_a_conflict(store):
    version = store.api.write("tenants", "a", 0, b"{}")
    store.api.write("tenants", "a", version, b'{"weight":2}')
    store.set_faults(lose_answers=1)
    with pytest.raises(VersionConflictError) as caught:
        store.api.write("tenants", "a", version, b'{"weight":3}')
    assert caught.value.present_version == version + 1


def test_a_write_replaced_after_its_lost_answer_is_not_called_a_conflict(store, monkeypatch):
    version = store.api.write("tenants", "a", 0, b"{}")
    store.set_faults(lose_answers=1)
    read = store.api._read

    def read_late(kind, name):
        found = store.application.store.get(kind, name)
        store.application.store.write(kind, name, found.version, {}, f"{found.version}.other")
        return read(kind, name)

    monkeypatch.setattr(store.api, "_read", read_late)
    with pytest.raises(ChangeOutcomeUnknownError):
        store.api.write("tenants", "a", version, b'{"weight":2}')


def test_a_store_that_is_down_gives_an_unknown_outcome_and_no_effect(store):
    store.set_faults(down=True)
    with pytest.raises(ChangeOutcomeUnknownError):
        store.api.write("tenants", "a", 0, b"{}")
    with pytest.raises(StoreUnavailableError):
        store.api.get("tenants", "a")
    store.set_faults()
    with pytest.raises(ObjectNotFoundError):
        store.api.get("tenants", "a")


def test_a_watch_from_before_compaction_must_list_again(store):
    kept = store.api.write("tenants", "kept", 0, b"{}")
    removed = store.api.write("tenants", "removed", 0, b"{}")
    store.api.write("tenants", "removed", removed, None)
    assert [item.deleted for item in store.api.changes(kept, 0).objects] == [True]
    store.application.store.compact()
    with pytest.raises(WatchCompactedError):
        store.api.changes(kept, 0)
    listed = store.api.list_all(["tenants"])
    assert (listed.complete, [item.name for item in listed.objects]) == (True, ["kept"])
    assert store.api.changes(listed.to_revision, 0).objects == []


def test_a_watch_returns_at_once_when_compaction_overtakes_it(store):
    store.api.write("tenants", "a", 0, b"{}")
    outcome = []

    def watch():
        with pytest.raises(WatchCompactedError):
            store.api.changes(0, 5.0, ["pools"])
        outcome.append("compacted")

    watching = threading.Thread(target=watch)
    watching.start()
    store.application.store.compact()
    watching.join(timeout=4.0)
    assert outcome == ["compacted"]


def test_racing_writers_have_exactly_one_winner(store):
    version = store.api.write("tenants", "a", 0, b"{}")
    store.set_faults(lose_write_probability=0.5, seed=3)
    won, lost = [], []

    def race(number):
        try:
            won.append(store.api.write("tenants", "a", version, b'{"weight":%d}' % number))
        except VersionConflictError as error:
            lost.append(error.present_version)

    racers = [threading.Thread(target=race, args=(number,)) for number in range(1, 7)]
    for racer in racers:
        racer.start()
    for racer in racers:
        racer.join()
    assert (won, lost) == ([version + 1], [version + 1] * 5)


def test_a_kind_is_read_in_pages_in_the_order_of_names(store):
    for name in ("d", "b", "c", "a"):
        store.api.write("claims", name, 0, b"{}")
    store.api.write("tenants", "c", 0, b"{}")
    store.api.write("claims", "b", 2, None)
    first = store.api.list_page("claims", "", 2)
    assert [item.name for item in first] == ["a", "c"]
    assert [item.name for item in store.api.list_page("claims", "c", 2)] == ["d"]
