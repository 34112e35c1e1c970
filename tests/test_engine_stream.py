"""Tests of reading one push stream: framing, faults and positions, without sockets."""

import itertools
import json

import numpy
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from martenrun.backends.cache_events import FeedPosition
from martenrun.backends.engine_stream import (
    NoPushStreamError,
    Push,
    PushedEntry,
    PushReader,
    StreamBrokenError,
    pushed_events,
)
from martenrun.backends.http_stream import HttpStreamError, StreamedResponse
from martenrun.standins.engine import push_stream
from martenrun.standins.engine.events import FeedEntry
from martenrun.standins.engine.push_stream import merge

HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
EVENTS = [
    b'data: {"incarnation":"a","last_sequence":1,"entries":[{"first":1,"last":1}]}\n\n',
    b": \n\n",
    b'data: {"incarnation":"a","last_sequence":2}\n\n',
]


def hashes(*numbers):
    return numpy.array(numbers, dtype="<i8").tobytes()


def chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def sequences(reader, pieces):
    return [push.last_sequence for piece in pieces for push in reader.received(piece).pushes]


@given(st.lists(st.integers(1, 400), max_size=30))
@settings(derandomize=True, deadline=None, max_examples=60)
def test_a_stream_reads_the_same_however_it_is_cut(cuts):
    data = HEAD + b"".join(chunk(event) for event in EVENTS)
    places = sorted({0, len(data), *(cut for cut in cuts if cut < len(data))})
    pieces = [data[start:end] for start, end in itertools.pairwise(places)]
    assert sequences(PushReader(), pieces) == [1, 2]


def test_a_body_without_chunks_is_read_too():
    head = b"HTTP/1.0 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
    assert sequences(PushReader(), [head, *EVENTS]) == [1, 2]


def test_a_keep_alive_is_a_word_and_a_head_is_none():
    reader = PushReader()
    assert not reader.received(HEAD).has_word
    assert reader.received(chunk(EVENTS[1])).has_word


@pytest.mark.parametrize(
    "head",
    [
        b"HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n",
        b"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n",
    ],
)
def test_an_engine_without_push_streams_is_told_apart(head):
    with pytest.raises(NoPushStreamError):
        PushReader().received(head)


@pytest.mark.parametrize(
    "data",
    [
        b"HTTP/1.1 503 Service Unavailable\r\n\r\n",
        b"no HTTP at all\r\n\r\n",
        HEAD + b"xyz\r\n",
        HEAD + chunk(b'data: {"incarnation":"a","last_seq\n\n'),
        HEAD + chunk(b'data: {"incarnation":"a","last_sequence":"no number"}\n\n'),
        HEAD
        + chunk(
            b'data: {"incarnation":"a","last_sequence":1,'
            b'"entries":[{"first":1,"last":1,"stored":"AAAA"}]}\n\n'
        ),
        HEAD + b"0\r\n\r\n",
    ],
    ids=["503", "not http", "chunk size", "cut", "type", "half a hash", "clean end"],
)
def test_what_cannot_be_read_breaks_the_stream(data):
    with pytest.raises(StreamBrokenError):
        PushReader().received(data)


def test_an_endless_head_is_refused():
    with pytest.raises(HttpStreamError):
        StreamedResponse().received(b"HTTP/1.1 200 OK\r\n" + b"a" * 20_000)


def test_an_endless_event_is_refused(monkeypatch):
    monkeypatch.setattr("martenrun.backends.engine_stream.MAXIMUM_EVENT_BYTES", 100)
    with pytest.raises(StreamBrokenError):
        PushReader().received(HEAD + chunk(b"data: " + b"a" * 200))


def told(position, incarnation, last, *entries):
    return pushed_events(position, Push(incarnation, last, None, list(entries)))


@pytest.mark.parametrize(
    ("position", "push", "expected"),
    [
        (("a", 4), ("a", 6, (5, 6)), [(5, 6, False)]),
        (("a", 4), ("a", 9, (6, 7), (9, 9)), [(5, 7, True), (8, 9, True)]),
        (("a", 4), ("a", 6, (5, 5)), [(5, 5, False), (6, 6, True)]),
        (("a", 4), ("a", 4, (1, 4)), []),
        (("a", 4), ("a", 6, (1, 6)), [(5, 6, False)]),
        (("a", 4), ("b", 2, (1, 2)), [(1, 2, False)]),
        (("a", 4), ("b", 3, (3, 3)), [(1, 3, True)]),
        (("a", 4), ("a", 2), []),
    ],
    ids=[
        "next",
        "gaps",
        "lost tail",
        "replay",
        "replay and more",
        "restart",
        "restart, gap",
        "old",
    ],
)
def test_positions_tell_gaps_replays_and_restarts(position, push, expected):
    incarnation, last, *entries = push
    entries = [PushedEntry(*numbers) for numbers in entries]
    after, changes = told(FeedPosition(*position), incarnation, last, *entries)
    assert [(c.first_sequence, c.last_sequence, c.gap) for c in changes] == expected
    if expected:
        assert (after.incarnation, after.sequence) == (incarnation, expected[-1][1])
    else:
        assert after == FeedPosition(*position)


def test_merged_entries_hold_the_net_change():
    entries = [
        FeedEntry(1, hashes(1, 2)),
        FeedEntry(2, hashes(3), hashes(1)),
        FeedEntry(3, hashes(1), hashes(2)),
        FeedEntry(5, hashes(9)),
    ]
    first, second = merge(entries)
    assert (first.first, first.last, second.first, second.last) == (1, 3, 5, 5)
    assert set(numpy.frombuffer(first.stored, "<i8")) == {1, 3}
    assert set(numpy.frombuffer(first.removed, "<i8")) == {2}


def test_a_push_of_the_stand_in_is_what_the_reader_reads():
    data = push_stream.msgspec.json.encode(
        push_stream.Push("a", 3, None, [push_stream.PushedEntry(1, 3, hashes(7), hashes(8))])
    )
    assert set(json.loads(data)["entries"][0]) == {"first", "last", "stored", "removed"}
    push = PushReader().received(HEAD + chunk(b"data: " + data + b"\n\n")).pushes[0]
    _, [change] = pushed_events(FeedPosition(), push)
    assert (change.stored.tolist(), change.removed.tolist()) == ([7], [8])
