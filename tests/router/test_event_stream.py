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
    assert len(splitter.feed(event(1) + event(2)[:-3])) == 1
    assert splitter.has_partial_event
    splitter.discard_partial_event()
    assert [item.event_id for item in splitter.feed(event(2))] == [2]


@pytest.mark.parametrize("event_id", [1, 3, 9])
def test_a_repeated_or_missing_event_breaks_the_stream(event_id):
    splitter = EventSplitter(0)
    splitter.feed(event(1))
    with pytest.raises(BrokenStreamError):
        splitter.feed(event(event_id))


def test_a_resumed_stream_continues_after_the_last_event():
    splitter = EventSplitter(12)
    assert [item.event_id for item in splitter.feed(event(13))] == [13]


def test_a_non_integer_event_id_breaks_the_stream():
    with pytest.raises(BrokenStreamError):
        EventSplitter(0).feed(b"id: x\ndata: y\n\n")
