"""Splitting of event streams at any chunk boundaries, and checks of event ids."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from martenrun.router.event_stream import BrokenStreamError, EventSplitter


def event(number):
    return b"id: %d\ndata: piece %d\n\n" % (number, number)


@given(st.lists(st.integers(1, 40), max_size=30))
def test_events_are_the_same_at_any_cut(cuts):
    stream = b"".join(event(number) for number in range(1, 8))
    splitter = EventSplitter(0)
    got = []
    rest = stream
    for cut in cuts:
        got += splitter.feed(rest[:cut])
        rest = rest[cut:]
    got += splitter.feed(rest)
    assert b"".join(item.data for item in got) == stream
    assert [item.event_id for item in got] == list(range(1, 8))
    assert not splitter.has_rest


def test_a_part_of_an_event_is_held_back_and_dropped_at_a_restart():
    splitter = EventSplitter(0)
    assert len(splitter.feed(event(1) + event(2)[:-3])) == 1
    assert splitter.has_rest
    splitter.restart()
    assert [item.event_id for item in splitter.feed(event(2))] == [2]


@pytest.mark.parametrize("wrong", [1, 3, 9])
def test_a_repeated_or_missing_event_breaks_the_stream(wrong):
    splitter = EventSplitter(0)
    splitter.feed(event(1))
    with pytest.raises(BrokenStreamError):
        splitter.feed(event(wrong))


def test_a_resumed_stream_must_go_on_after_the_last_event():
    splitter = EventSplitter(12)
    assert [item.event_id for item in splitter.feed(event(13))] == [13]


def test_an_id_that_is_no_number_breaks_the_stream():
    with pytest.raises(BrokenStreamError):
        EventSplitter(0).feed(b"id: x\ndata: y\n\n")
