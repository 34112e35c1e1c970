"""Tests of cache-event feeds: late, lost, replayed and restarted, from stand-in to reader."""

import random

import msgspec
import numpy
from hypothesis import given, settings
from hypothesis import strategies as st

from martenrun.backends.cache_events import FeedAnswer, FeedPosition, take_in
from martenrun.standins.engine.cache import PrefixCache
from martenrun.standins.engine.events import CacheEventFeed, FeedFaults


def chain(*hashes):
    return numpy.array(hashes, dtype="<i8").tobytes()


def read(feed, position, now=100.0):
    wire = msgspec.json.encode(feed.read(position.sequence, position.incarnation, now))
    return take_in(position, msgspec.json.decode(wire, type=FeedAnswer))


def test_entries_show_only_after_the_lag():
    feed = CacheEventFeed("a", FeedFaults(lag_s=5.0))
    feed.add(chain(1), b"", now=0.0)
    position, events = read(feed, FeedPosition(), now=4.9)
    assert events is None or len(events.stored) == 0
    _, events = read(feed, position, now=5.0)
    assert events.stored.tolist() == [1]
    assert not events.gap


def test_a_restart_under_the_same_address_starts_the_feed_again():
    feed = CacheEventFeed("a", FeedFaults())
    for block in range(5):
        feed.add(chain(block), b"", now=0.0)
    position, _ = read(feed, FeedPosition())
    restarted = CacheEventFeed("b", FeedFaults())
    restarted.add(chain(9), b"", now=0.0)
    _, events = read(restarted, position)
    assert (events.incarnation, events.first_sequence, events.gap) == ("b", 1, False)
    assert events.stored.tolist() == [9]


def test_replayed_entries_change_nothing():
    feed = CacheEventFeed("a", FeedFaults())
    feed.add(chain(1), b"", now=0.0)
    position, _ = read(feed, FeedPosition())
    feed.replay(answers=1)
    position, events = read(feed, position)
    assert events is None
    feed.replay(answers=1)
    feed.add(b"", chain(1), now=0.0)
    _, events = read(feed, position)
    assert (events.stored.tolist(), events.removed.tolist(), events.gap) == ([], [1], False)


@given(st.integers(0, 1_000), st.sampled_from([0.0, 0.3]))
@settings(derandomize=True, deadline=None, max_examples=60)
def test_what_is_read_without_a_gap_is_the_cache(seed, loss):
    rng = random.Random(seed)
    cache = PrefixCache(capacity_blocks=6)
    feed = CacheEventFeed("a", FeedFaults(loss=loss, seed=seed))
    believed, position, any_gap, added = set(), FeedPosition(), False, 0
    for _ in range(20):
        cache.insert(chain(*(rng.randrange(12) for _ in range(rng.randrange(1, 9)))))
        events_before = feed._sequence
        feed.add(*cache.take_events(), now=0.0)
        added += feed._sequence - events_before
        if rng.random() < 0.4:
            position, events = read(feed, position)
            if events is not None:
                any_gap |= events.gap
                believed = (believed | set(events.stored.tolist())) - set(events.removed.tolist())
    position, events = read(feed, position)
    if events is not None:
        any_gap |= events.gap
        believed = (believed | set(events.stored.tolist())) - set(events.removed.tolist())
    assert position.sequence == added
    assert any_gap == (len(feed._published) < added)
    if not any_gap:
        assert believed == set(cache._blocks)
