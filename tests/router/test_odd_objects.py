"""Objects of the store with contents that no router can pass on: too deep, too large, unreadable.

Such an object has no content for routers, whatever else its response holds.
"""

import json

import pytest

from martenrun.platform import PLATFORM_ADAPTER
from martenrun.platform.nesting import MAX_LEVELS, MAX_REPAIRED_BYTES
from martenrun.router.messages import Dataset, UnreadableError
from martenrun.router.store.relay_messages import RelayedObject, decode_objects, encode_objects

from .test_broken_entries import GOOD, FedState, follow, names, runner_names, stored

PLACEHOLDER = "odd-value"


def nested(levels):
    return b"[" * levels + b"]" * levels


ODD_VALUES = {
    "nested": nested(3_000),
    "nested-objects": b'{"a":' * 3_000 + b"1" + b"}" * 3_000,
    "nested-at-stack-limit": nested(960),
    "nested-a-little": nested(MAX_LEVELS + 1),
    "two-to-63": b"9223372036854775808",
    "two-to-64": b"18446744073709551616",
    "negative": b"-18446744073709551617",
    "digits": b"9" * 5_000,
    "out-of-range": b"1e400",
}
"""Values, as bytes, that some decoder or encoder refuses."""

MALFORMED_VALUES = {"lone-surrogate": b'"\\ud800"', "no-utf-8": b'"\xff\xfe"', "no-json": b"NaN"}
"""Bytes that are not JSON; not even the name of their object is read."""

FIELDS = [("spec", field) for field in [*GOOD, "unknown"]]
FIELDS += [("metadata", "finalizers"), ("metadata", "unknown"), ("status", "unknown")]


def odd_object(name, revision, part, field, value):
    """Return the bytes of an object with an odd value in a field."""
    item = stored(name, revision)
    item[part] = {**item.get(part, {}), field: PLACEHOLDER}
    return json.dumps(item).encode().replace(b'"%s"' % PLACEHOLDER.encode(), value)


def page_of(*items, at=5, more=False):
    body = b",".join(items)
    return b'{"items":[%s],"more":%s,"at":%d}' % (body, b"true" if more else b"false", at)


def good(name, revision):
    return json.dumps(stored(name, revision)).encode()


def feed(state, page):
    replica = state.feed.replicas[Dataset.RUNNERS]
    replica.replace(page.objects, page.position, False, state.loop.now())
    return replica


# Guards against one entry that makes a whole list, or what is relayed of it, unreadable.
@pytest.mark.parametrize(("part", "field"), FIELDS)
@pytest.mark.parametrize("value", ODD_VALUES.values(), ids=ODD_VALUES)
def test_odd_value_harms_only_its_own_object(part, field, value):
    state = FedState()
    odd = odd_object("b", 2, part, field, value)
    page = PLATFORM_ADAPTER.read_page(page_of(good("a", 1), odd, good("c", 3)), 0)
    replica = feed(state, page)
    assert runner_names(state) == ["a", "c"]
    relayed = [RelayedObject(item.name, item.revision, item.spec) for item in replica.objects]
    assert len(decode_objects(encode_objects(relayed))) == len(relayed)


@pytest.mark.parametrize(("part", "field"), FIELDS)
@pytest.mark.parametrize("value", ODD_VALUES.values(), ids=ODD_VALUES)
def test_odd_value_in_an_event_replaces_the_runner_listed_before(part, field, value):
    first = page_of(good("a", 1), good("b", 2))
    event = b'{"object":%s,"gone":false}' % odd_object("b", 6, part, field, value)
    after = json.dumps({"object": stored("c", 7), "gone": False}).encode()
    replica, calls = follow([first, b'{"events":[%s,%s],"at":8}' % (event, after)])
    assert {"a", "c"} <= set(names(replica)) and calls > 2
    encode_objects([RelayedObject(item.name, 1, item.spec) for item in replica.objects])


@pytest.mark.parametrize("value", MALFORMED_VALUES.values(), ids=MALFORMED_VALUES)
def test_malformed_value_harms_only_its_own_object(value):
    odd = odd_object("b", 2, "spec", "unknown", value)
    first = page_of(good("a", 1), odd, good("c", 3))
    event = json.dumps({"object": stored("d", 7), "gone": False}).encode()
    replica, _ = follow([first, b'{"events":[{"object":%s},%s],"at":8}' % (odd, event)])
    assert {"a", "c", "d"} <= set(names(replica))
    encode_objects([RelayedObject(item.name, 1, item.spec) for item in replica.objects])


# Guards against entries whose names depend on the depth of the stack for being readable.
@pytest.mark.parametrize("levels", range(MAX_LEVELS - 8, 1_100, 7))
def test_depth_that_is_read_does_not_depend_on_the_stack(levels):
    body = page_of(odd_object("b", 2, "spec", "unknown", nested(levels)), good("c", 3))

    def read_at(depth):
        return PLATFORM_ADAPTER.read_page(body, 0) if depth == 0 else read_at(depth - 1)

    pages = [read_at(depth) for depth in (0, 100, 400)]
    assert [item.name for item in pages[0].objects] == ["b", "c"]
    assert pages[0].objects == pages[1].objects == pages[2].objects
    assert (pages[0].objects[0].spec is None) == (levels + 2 > MAX_LEVELS)


def test_deletion_of_an_odd_object_is_applied():
    first = page_of(good("a", 1), odd_object("b", 2, "spec", "unknown", nested(3_000)))
    event = b'{"gone":true,"object":%s}' % odd_object("b", 2, "spec", "unknown", nested(3_000))
    replica, _ = follow([first, b'{"events":[%s],"at":8}' % event])
    assert names(replica) == ["a"]


# Guards against lists that end at, or are repeated from, an object without a readable name.
@pytest.mark.parametrize("value", ODD_VALUES.values(), ids=ODD_VALUES)
@pytest.mark.parametrize("part", ["spec", "metadata"])
def test_next_page_starts_after_the_last_object_with_a_readable_name(part, value):
    first = page_of(good("a", 1), odd_object("b", 2, part, "unknown", value), more=True)
    assert PLATFORM_ADAPTER.read_page(first, 0).next_after in ("a", "b")
    replica, _ = follow([first, page_of(good("b2", 3), good("c", 4))])
    assert {"a", "b2", "c"} <= set(names(replica))


@pytest.mark.parametrize("item", [b"null", b"7", b'{"metadata":{"name":7}}'])
def test_page_without_any_readable_name_is_not_taken_for_the_last_one(item):
    with pytest.raises(UnreadableError):
        PLATFORM_ADAPTER.read_page(page_of(item, more=True), 0)
    assert PLATFORM_ADAPTER.read_page(page_of(item), 0).next_after is None


def test_name_in_a_query_is_quoted():
    call = PLATFORM_ADAPTER.list_objects(Dataset.RUNNERS, "a b&c=é/\r\n")
    assert call.target.endswith(b"?after=a%20b%26c%3D%C3%A9%2F%0D%0A")


@pytest.mark.parametrize("value", [2**63, 2**64, -1])
def test_position_out_of_range_is_unreadable(value):
    for body in ({"items": [], "at": value}, {"events": [], "at": value}):
        read = PLATFORM_ADAPTER.read_page if "items" in body else PLATFORM_ADAPTER.read_changes
        with pytest.raises(UnreadableError):
            read(json.dumps(body).encode(), 0)
    item = {"metadata": {"name": "b", "revision": value}, "spec": GOOD}
    page = PLATFORM_ADAPTER.read_page(page_of(json.dumps(item).encode(), good("c", 1)), 0)
    assert [(item.name, item.spec is None) for item in page.objects] == [("b", True), ("c", False)]


# Guards against a lease that no router can take over because its object is odd.
@pytest.mark.parametrize("value", ODD_VALUES.values(), ids=ODD_VALUES)
def test_single_odd_object_is_read_without_its_content(value):
    body = odd_object("main", 7, "spec", "unknown", value)
    read = PLATFORM_ADAPTER.read_stored(body, 3)
    assert (read.name, read.revision, read.spec, read.era) == ("main", 7, None, 3)


def test_responses_beyond_the_limit_are_not_repaired():
    body = page_of(nested(3_000), b'"%s"' % (b"x" * MAX_REPAIRED_BYTES))
    with pytest.raises(UnreadableError):
        PLATFORM_ADAPTER.read_page(body, 0)


@pytest.mark.parametrize("body", [b"[" * 100_000, b'{"items":[' * 5_000, nested(5_000), b'"' * 9])
def test_incomplete_responses_are_unreadable(body):
    for read in (PLATFORM_ADAPTER.read_page, PLATFORM_ADAPTER.read_changes):
        with pytest.raises(UnreadableError):
            read(body, 0)
