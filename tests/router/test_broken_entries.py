"""Entries of another writer: what is not as it should be names no runner, the others stay.

Decoders are given arbitrary JSON and arbitrary bytes: they answer or raise UnreadableError, since
anything else would end the follower that calls them.
"""

import json
import math

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from martenrun.net.http import HttpResponse
from martenrun.platform import PLATFORM_ADAPTER
from martenrun.router.dataset_copy import CopyListener, DatasetCopy
from martenrun.router.knowledge import ConfigurationKnowledge, RunnerDirectory, WeightsKnowledge
from martenrun.router.knowledge_feed import KnowledgeFeed
from martenrun.router.messages import Dataset, StoredObject, UnreadableError
from martenrun.router.metrics import Metrics
from martenrun.router.store_watch import FollowSettings, StoreFollower

from .fakes import FakeLoop

GOOD = {
    "service": "llm",
    "address": "10.0.0.9:8080",
    "zone": "z1",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold_left_ms": 0,
    "call_seq": 3,
    "born": 1_774_121_905_851,
    "models": [{"name": "m", "version": 2}],
}

MISSING = object()

BROKEN = [
    *[(field, MISSING) for field in GOOD if field not in ("born", "models")],
    ("service", 7),
    ("service", ""),
    ("service", None),
    ("address", "10.0.0.9"),
    ("address", "host:8080"),
    ("address", None),
    ("address", 7),
    ("zone", 1),
    ("zone", None),
    ("version", 1),
    ("slots", "4"),
    ("slots", 4.5),
    ("slots", True),
    ("slots", -1),
    ("slots", 0),
    ("slots", 1e400),
    ("slots", 10**400),
    ("slots", None),
    ("state", "gone"),
    ("state", 1),
    ("state", None),
    ("cold_left_ms", "0"),
    ("cold_left_ms", -1),
    ("call_seq", "3"),
    ("call_seq", -1),
    ("call_seq", 1.5),
    ("born", "1774121905851"),
    ("born", 1.5),
    ("born", True),
    ("born", -1),
    ("models", {}),
    ("models", [7]),
    ("models", [{"name": "m"}]),
    ("models", [{"name": "m", "version": "2"}]),
]
"""Fields of an entry and what stands there instead."""

OTHERS = [None, 7, "text", [], True, {}]
"""Whole contents of another type."""


def broken(field, value):
    entry = {name: item for name, item in GOOD.items() if name != field}
    return entry if value is MISSING else {**entry, field: value}


CONTENTS = [
    pytest.param(broken(*item), id=f"{item[0]}-{number}") for number, item in enumerate(BROKEN)
] + [pytest.param(item, id=f"content-{item!r}") for item in OTHERS]


class Fed:
    """A router's knowledge, fed with objects."""

    def __init__(self):
        self.loop = FakeLoop()
        self.adapter = PLATFORM_ADAPTER
        self.configuration = ConfigurationKnowledge()
        self.runners = RunnerDirectory()
        self.weights = WeightsKnowledge()
        self.metrics = Metrics(list)
        self.feed = KnowledgeFeed(self, self.metrics, lambda: None)
        self.revision = 0

    def put(self, dataset, name, spec):
        self.revision += 1
        stored = StoredObject(name, self.revision, spec)
        self.feed.copies[dataset].apply([stored], [], self.revision, False, self.loop.now())


def named(fed):
    return sorted(runner.name for runner in fed.runners.runners.values())


@pytest.mark.parametrize("content", CONTENTS)
def test_a_broken_entry_names_no_runner_and_the_others_stay(content):
    fed = Fed()
    fed.put(Dataset.RUNNERS, "i-1", GOOD)
    fed.put(Dataset.RUNNERS, "i-2", GOOD)
    assert named(fed) == ["i-1", "i-2"]
    fed.put(Dataset.RUNNERS, "i-1", content)
    assert named(fed) == ["i-2"]
    assert b'objects_unreadable_total{dataset="runners"} 1' in fed.metrics.text()
    fed.put(Dataset.RUNNERS, "i-1", GOOD)
    assert named(fed) == ["i-1", "i-2"]


def test_what_this_router_does_not_know_of_an_entry_is_no_fault():
    fed = Fed()
    fed.put(Dataset.RUNNERS, "i-1", {**GOOD, "stage": "both", "something": [1]})
    fed.put(Dataset.RUNNERS, "i-2", broken("born", MISSING))
    fed.put(Dataset.RUNNERS, "i-3", broken("models", MISSING))
    assert named(fed) == ["i-1", "i-2", "i-3"]


@pytest.mark.parametrize("content", [*OTHERS, {"version": "3"}, {"version": 3}, {"version": -1}])
def test_a_broken_configuration_replaces_no_good_one_and_confirms_nothing(content):
    fed = Fed()
    fed.put(Dataset.CONFIGURATION, "main", {"version": 2, "routes": [], "services": []})
    fed.feed.copies[Dataset.CONFIGURATION].confirm(100.0)
    fed.feed.confirm()
    fed.put(Dataset.CONFIGURATION, "main", content)
    fed.feed.copies[Dataset.CONFIGURATION].confirm(101.0)
    fed.feed.confirm()
    assert fed.configuration.version == 2
    assert fed.configuration.age_s(102.0) == 2.0


def test_an_older_good_configuration_that_comes_late_confirms_nothing():
    """A caller's denial reads it once more by itself, while the watch tells of a broken one."""
    fed = Fed()
    good = {"version": 2, "routes": [], "services": []}
    fed.put(Dataset.CONFIGURATION, "main", good)
    fed.put(Dataset.CONFIGURATION, "main", {"version": "3"})
    fed.feed.put_configuration(StoredObject("main", 1, good))
    assert not fed.configuration.confirm(101.0)


@pytest.mark.parametrize("content", [*OTHERS, {"model": "m"}, {"model": "m", "version": "4"}])
def test_broken_weights_name_no_version(content):
    fed = Fed()
    fed.put(Dataset.WEIGHTS, "m", {"model": "m", "version": 3})
    fed.put(Dataset.WEIGHTS, "m", content)
    assert fed.weights.wanted["m"].version == 3


BROKEN_ITEMS = [None, 7, "text", [], {}, {"metadata": None}, {"metadata": {}}, {"spec": GOOD}]
BROKEN_BODIES = [b"", b"no json", b"\xff\xfe", b"7", b"null", b"{}", b'{"items": 7, "at": 3}']


class AnsweringStore:
    """Answers each call with the next body."""

    def __init__(self, loop, bodies):
        self._loop = loop
        self._bodies = list(bodies)
        self.calls = 0

    def call(self, call, timeout_s, on_answer, *_more):
        self.calls += 1
        body = self._bodies.pop(0) if self._bodies else None
        if body is None:
            self._loop.call_later(timeout_s, lambda: on_answer(None))
        else:
            self._loop.call_later(0.01, lambda: on_answer(HttpResponse(200, [], body)))


def followed(bodies, seconds=3.0):
    """Follow a store that answers so; return the follower's copy and the number of calls."""
    loop = FakeLoop()
    copy = DatasetCopy(Dataset.RUNNERS, CopyListener(lambda _: None, lambda _: None, lambda: None))
    store = AnsweringStore(loop, bodies)
    follower = StoreFollower(loop, store, PLATFORM_ADAPTER, FollowSettings(0.5), copy, lambda: None)
    follower.start()
    loop.run_until(loop.now() + seconds)
    return copy, store.calls


def stored(name, revision):
    return {"metadata": {"name": name, "revision": revision}, "spec": GOOD}


def names(copy):
    return sorted(item.name for item in copy.objects)


@pytest.mark.parametrize("item", BROKEN_ITEMS)
def test_a_broken_object_of_a_list_leaves_the_others(item):
    page = json.dumps({"items": [stored("a", 1), item, stored("b", 2)], "more": False, "at": 5})
    copy, calls = followed([page.encode()])
    assert names(copy) == ["a", "b"] and calls > 1


@pytest.mark.parametrize("item", [*BROKEN_ITEMS, {"object": None}, {"object": 7, "gone": "x"}])
def test_a_broken_event_leaves_the_others_and_the_next_call_is_made(item):
    page = json.dumps({"items": [stored("a", 1)], "more": False, "at": 5})
    events = [{"object": stored("b", 6), "gone": False}, item, {"object": stored("c", 7)}]
    changes = json.dumps({"events": events, "at": 8})
    copy, calls = followed([page.encode(), changes.encode()])
    assert names(copy) == ["a", "b", "c"] and calls > 2


@pytest.mark.parametrize("body", BROKEN_BODIES)
def test_a_follower_goes_on_after_an_answer_that_is_none(body):
    page = json.dumps({"items": [stored("a", 1)], "more": False, "at": 5}).encode()
    copy, calls = followed([body, page, body, page])
    assert names(copy) == ["a"] and calls >= 4


JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8)
    | st.sampled_from([*GOOD, "metadata", "name", "revision", "spec", "items", "events", "at"]),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.sampled_from([*GOOD, "metadata", "spec", "at"]) | st.text(), inner)
    ),
    max_leaves=12,
)

BODIES = (
    st.binary(max_size=60)
    | JSON.map(lambda value: json.dumps(value).encode())
    | st.sampled_from([b"[" * 100_000, b'{"items":' * 50_000, b'{"at":1e999999}'])
)

OF_BODIES = [
    PLATFORM_ADAPTER.read_page,
    PLATFORM_ADAPTER.read_changes,
    PLATFORM_ADAPTER.read_stored,
    PLATFORM_ADAPTER.read_report,
]
OF_OBJECTS = [
    PLATFORM_ADAPTER.read_configuration,
    PLATFORM_ADAPTER.read_runner,
    PLATFORM_ADAPTER.read_weights,
    PLATFORM_ADAPTER.read_lease,
]


@pytest.mark.parametrize("decode", OF_BODIES)
@settings(derandomize=True, deadline=None)
@given(body=BODIES)
def test_no_bytes_raise_anything_else_than_unreadable(decode, body):
    try:
        decode(body)
    except UnreadableError:
        return


@pytest.mark.parametrize("decode", OF_OBJECTS)
@settings(derandomize=True, deadline=None)
@given(spec=JSON)
def test_no_content_raises_anything_else_than_unreadable(decode, spec):
    try:
        decode(StoredObject("a", 1, spec))
    except UnreadableError:
        return


def test_numbers_beyond_all_bounds_are_unreadable_from_the_wire_too():
    for number in (b"1e400", b"-1e400", b"1" + b"0" * 400):
        content = msgspec.json.encode(stored("a", 1)).replace(b'"slots":4', b'"slots":' + number)
        page = PLATFORM_ADAPTER.read_page(b'{"items":[' + content + b'],"at":3}')
        with pytest.raises(UnreadableError):
            for item in page.objects:
                PLATFORM_ADAPTER.read_runner(item)
    assert math.isinf(float("1e400"))
