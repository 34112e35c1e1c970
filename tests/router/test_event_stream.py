"""Splitting of event streams at any chunk boundaries, and checks of event ids."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from martenrun.router.event_stream import BrokenStreamError, EventSplitter


def event(number):
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


@given(st.lists(st.integers(1, 40), max_size=30))
def test_events_do_not_depend_on_chunk_boundaries(chunk_sizes):
    stream = b"".join(event(number) for number in range(1, 8))
    splitter = EventSplitter(0)
    got = []
    remaining = stream
    for size in chunk_sizes:
        got += splitter.feed(remaining[:size])
        remaining = remaining[size:]
    got += splitter.feed(remaining)
    assert b"".join(item.data for item in got) == stream
    assert [item.event_id for item in got] == list(range(1, 8))
    assert not splitter.has_partial_event


def test_an_incomplete_event_is_buffered_and_can_be_discarded():
    splitter = EventSplitter(0)
    assert len(list(splitter.feed(event(1) + event(2)[:-3]))) == 1
    assert splitter.has_partial_event
    splitter.discard_partial_event()
    assert [item.event_id for item in splitter.feed(event(2))] == [2]


@pytest.mark.parametrize("event_id", [1, 3, 9])
def test_a_repeated_or_missing_event_breaks_the_stream(event_id):
    splitter = EventSplitter(0)
    list(splitter.feed(event(1)))
    with pytest.raises(BrokenStreamError):
        list(splitter.feed(event(event_id)))


def test_a_resumed_stream_continues_after_the_last_event():
    splitter = EventSplitter(12)
    assert [item.event_id for item in splitter.feed(event(13))] == [13]


def test_a_non_integer_event_id_breaks_the_stream():
    with pytest.raises(BrokenStreamError):
        list(EventSplitter(0).feed(b"id: x\ndata: y\n\n"))


MALFORMED_EVENTS = {
    "id is no number": b"id: 1?3\ndata: x\n\n",
    "id is too high": event(4),
    "id is repeated": event(2),
    "name of the id is damaged": b"i?: 3\ndata: x\n\n",
    "end of the event is damaged": b"id: 3\ndata: x\n?id: 4\nid: 5\ndata: y\n\n",
}


# Guards against events lost in front of a malformed one: the position must not pass them.
@pytest.mark.parametrize("malformed", MALFORMED_EVENTS.values(), ids=MALFORMED_EVENTS)
def test_events_before_a_malformed_one_in_the_same_read_are_yielded(malformed):
    splitter = EventSplitter(0)
    got = []
    with pytest.raises(BrokenStreamError):
        for item in splitter.feed(event(1) + event(2) + malformed + event(4)):
            got.append(item.event_id)
            assert splitter.last_event_id == item.event_id
    assert got == [1, 2] and splitter.last_event_id == 2
    splitter.discard_partial_event()
    assert [item.event_id for item in splitter.feed(event(3))] == [3]


# Guards against a first event whose damaged id lets it be forwarded twice.
def test_a_first_event_without_an_id_is_held_until_the_next_event():
    splitter = EventSplitter(0)
    assert list(splitter.feed(b"i?: 1\ndata: x\n\n")) == []
    with pytest.raises(BrokenStreamError):
        list(splitter.feed(event(2)))
    splitter.discard_partial_event()
    assert [item.event_id for item in splitter.feed(event(1))] == [1]


def test_events_of_a_stream_without_ids_are_forwarded():
    splitter = EventSplitter(0)
    got = [item.data for item in splitter.feed(b"data: a\n\ndata: b\n\ndata: c\n\n")]
    assert got == [b"data: a\n\n", b"data: b\n\n", b"data: c\n\n"]
    assert splitter.has_no_ids
    with pytest.raises(BrokenStreamError):
        list(splitter.feed(event(1)))


def test_a_single_event_without_an_id_is_forwarded_at_the_end():
    splitter = EventSplitter(0)
    assert list(splitter.feed(b"data: a\n\n")) == []
    assert [item.data for item in splitter.finish()] == [b"data: a\n\n"]
    assert list(splitter.finish()) == []


def test_comments_between_events_are_forwarded():
    splitter = EventSplitter(0)
    got = [item.data for item in splitter.feed(event(1) + b": alive\n\n" + event(2))]
    assert got == [event(1), b": alive\n\n", event(2)]
