"""Invalid entries in the store: an invalid entry lists no runner, and the others stay.

Decoders get arbitrary JSON and arbitrary bytes: they return or raise UnreadableError, because any
other exception would end the follower that calls them.
"""

import json
import math

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from martenrun.net.http import HttpResponse
from martenrun.platform import PLATFORM_ADAPTER
from martenrun.router.messages import Dataset, StoredObject, UnreadableError
from martenrun.router.metrics import Metrics
from martenrun.router.store.feed import StoreStateFeed
from martenrun.router.store.follower import FollowSettings, StoreFollower
from martenrun.router.store.replica import DatasetReplica, ReplicaListener
from martenrun.router.store.state import ConfigurationState, RunnerDirectory, WeightsState

from .fakes import FakeLoop, at

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

INVALID_FIELDS = [
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
"""Fields of an entry and invalid values for them."""

WRONG_TYPES = [None, 7, "text", [], True, {}]
"""Entries of a wrong type."""


def entry_with(field, value):
    entry = {name: item for name, item in GOOD.items() if name != field}
    return entry if value is MISSING else {**entry, field: value}


CONTENTS = [
    pytest.param(entry_with(*item), id=f"{item[0]}-{number}")
    for number, item in enumerate(INVALID_FIELDS)
] + [pytest.param(item, id=f"content-{item!r}") for item in WRONG_TYPES]


class FedState:
    """A router's state, fed with objects of the store."""

    def __init__(self):
        self.loop = FakeLoop()
        self.adapter = PLATFORM_ADAPTER
        self.configuration = ConfigurationState()
        self.runners = RunnerDirectory()
        self.weights = WeightsState()
        self.metrics = Metrics(list)
        self.feed = StoreStateFeed(self, self.metrics, lambda: None)
        self.revision = 0

    def put(self, dataset, name, spec):
        self.revision += 1
        stored = StoredObject(name, self.revision, spec)
        self.feed.replicas[dataset].apply([stored], [], at(self.revision), False, self.loop.now())


def runner_names(state):
    return sorted(runner.name for runner in state.runners.runners.values())


@pytest.mark.parametrize("content", CONTENTS)
def test_invalid_entry_lists_no_runner_and_the_others_stay(content):
    state = FedState()
    state.put(Dataset.RUNNERS, "i-1", GOOD)
    state.put(Dataset.RUNNERS, "i-2", GOOD)
    assert runner_names(state) == ["i-1", "i-2"]
    state.put(Dataset.RUNNERS, "i-1", content)
    assert runner_names(state) == ["i-2"]
    assert b'objects_unreadable_total{dataset="runners"} 1' in state.metrics.text()
    state.put(Dataset.RUNNERS, "i-1", GOOD)
    assert runner_names(state) == ["i-1", "i-2"]


def test_software_versions_are_read_and_long_ones_replaced_by_digests():
    state = FedState()
    texts = {"i-1": "v1.2", "i-2": "", "i-3": "x" * 5_000, "i-4": "x" * 5_001}
    for name, text in texts.items():
        state.put(Dataset.RUNNERS, name, {**GOOD, "version": text})
    software = {runner.name: runner.software for runner in state.runners.runners.values()}
    assert (software["i-1"], software["i-2"]) == ("v1.2", "")
    assert software["i-3"] != software["i-4"]
    assert max(map(len, software.values())) <= 64


def test_unknown_and_missing_optional_fields_are_accepted():
    state = FedState()
    state.put(Dataset.RUNNERS, "i-1", {**GOOD, "stage": "both", "something": [1]})
    state.put(Dataset.RUNNERS, "i-2", entry_with("born", MISSING))
    state.put(Dataset.RUNNERS, "i-3", entry_with("models", MISSING))
    assert runner_names(state) == ["i-1", "i-2", "i-3"]


@pytest.mark.parametrize(
    "content", [*WRONG_TYPES, {"version": "3"}, {"version": 3}, {"version": -1}]
)
def test_invalid_configuration_neither_replaces_a_valid_one_nor_confirms_it(content):
    state = FedState()
    state.put(Dataset.CONFIGURATION, "main", {"version": 2, "routes": [], "services": []})
    state.feed.replicas[Dataset.CONFIGURATION].confirm(100.0)
    state.feed.confirm()
    state.put(Dataset.CONFIGURATION, "main", content)
    state.feed.replicas[Dataset.CONFIGURATION].confirm(101.0)
    state.feed.confirm()
    assert state.configuration.version == 2
    assert state.configuration.age_s(102.0) == 2.0


# Guards against a valid configuration that a recheck of a denial reads late and that counts as
# confirmed, while the watch reports a newer, invalid one.
def test_late_older_configuration_confirms_nothing():
    state = FedState()
    good = {"version": 2, "routes": [], "services": []}
    state.put(Dataset.CONFIGURATION, "main", good)
    state.put(Dataset.CONFIGURATION, "main", {"version": "3"})
    state.feed.put_configuration(StoredObject("main", 1, good))
    assert not state.configuration.confirm(101.0)


@pytest.mark.parametrize("content", [*WRONG_TYPES, {"model": "m"}, {"model": "m", "version": "4"}])
def test_invalid_weights_set_no_version(content):
    state = FedState()
    state.put(Dataset.WEIGHTS, "m", {"model": "m", "version": 3})
    state.put(Dataset.WEIGHTS, "m", content)
    assert state.weights.targets["m"].version == 3


INVALID_ITEMS = [None, 7, "text", [], {}, {"metadata": None}, {"metadata": {}}, {"spec": GOOD}]
INVALID_BODIES = [b"", b"no json", b"\xff\xfe", b"7", b"null", b"{}", b'{"items": 7, "at": 3}']


class ScriptedStore:
    """Responds to each call with the next body."""

    def __init__(self, loop, bodies):
        self._loop = loop
        self._bodies = list(bodies)
        self.era = 0
        self.calls = 0

    def call(self, call, timeout_s, on_response, *_more):
        self.calls += 1
        body = self._bodies.pop(0) if self._bodies else None
        if body is None:
            self._loop.call_later(timeout_s, lambda: on_response(None))
        else:
            self._loop.call_later(0.01, lambda: on_response(HttpResponse(200, [], body)))


def follow(bodies, seconds=3.0):
    """Follow a store that sends these bodies; return the replica and the number of calls."""
    loop = FakeLoop()
    replica = DatasetReplica(
        Dataset.RUNNERS, ReplicaListener(lambda _: None, lambda _: None, lambda: None)
    )
    store = ScriptedStore(loop, bodies)
    follower = StoreFollower(
        loop, store, PLATFORM_ADAPTER, FollowSettings(0.5), replica, lambda: None
    )
    follower.start()
    loop.run_until(loop.now() + seconds)
    return replica, store.calls


def stored(name, revision):
    return {"metadata": {"name": name, "revision": revision}, "spec": GOOD}


def names(replica):
    return sorted(item.name for item in replica.objects)


@pytest.mark.parametrize("item", INVALID_ITEMS)
def test_invalid_object_in_a_list_is_skipped(item):
    page = json.dumps({"items": [stored("a", 1), item, stored("b", 2)], "more": False, "at": 5})
    replica, calls = follow([page.encode()])
    assert names(replica) == ["a", "b"] and calls > 1


@pytest.mark.parametrize("item", [*INVALID_ITEMS, {"object": None}, {"object": 7, "gone": "x"}])
def test_invalid_event_is_skipped_and_the_next_call_is_made(item):
    page = json.dumps({"items": [stored("a", 1)], "more": False, "at": 5})
    events = [{"object": stored("b", 6), "gone": False}, item, {"object": stored("c", 7)}]
    changes = json.dumps({"events": events, "at": 8})
    replica, calls = follow([page.encode(), changes.encode()])
    assert names(replica) == ["a", "b", "c"] and calls > 2


@pytest.mark.parametrize("body", INVALID_BODIES)
def test_follower_continues_after_an_invalid_response(body):
    page = json.dumps({"items": [stored("a", 1)], "more": False, "at": 5}).encode()
    replica, calls = follow([body, page, body, page])
    assert names(replica) == ["a"] and calls >= 4


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

BODY_DECODERS = [
    lambda body: PLATFORM_ADAPTER.read_page(body, 0),
    lambda body: PLATFORM_ADAPTER.read_changes(body, 0),
    lambda body: PLATFORM_ADAPTER.read_stored(body, 0),
    PLATFORM_ADAPTER.read_report,
]
OBJECT_DECODERS = [
    PLATFORM_ADAPTER.read_configuration,
    PLATFORM_ADAPTER.read_runner,
    PLATFORM_ADAPTER.read_weights,
    PLATFORM_ADAPTER.read_lease,
]


@pytest.mark.parametrize("decode", BODY_DECODERS)
@settings(derandomize=True, deadline=None)
@given(body=BODIES)
def test_no_bytes_raise_anything_else_than_unreadable(decode, body):
    try:
        decode(body)
    except UnreadableError:
        return


@pytest.mark.parametrize("decode", OBJECT_DECODERS)
@settings(derandomize=True, deadline=None)
@given(spec=JSON)
def test_no_content_raises_anything_else_than_unreadable(decode, spec):
    try:
        decode(StoredObject("a", 1, spec))
    except UnreadableError:
        return


def test_out_of_range_numbers_from_the_wire_are_unreadable():
    for number in (b"1e400", b"-1e400", b"1" + b"0" * 400):
        content = msgspec.json.encode(stored("a", 1)).replace(b'"slots":4', b'"slots":' + number)
        page = PLATFORM_ADAPTER.read_page(b'{"items":[' + content + b'],"at":3}', 0)
        with pytest.raises(UnreadableError):
            for item in page.objects:
                PLATFORM_ADAPTER.read_runner(item)
    assert math.isinf(float("1e400"))
