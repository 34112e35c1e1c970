"""Tests of the logic that turns cache-event feeds into beliefs."""

import numpy
import pytest

from martenrun.backends.cache_events import CacheEvents
from martenrun.events import CacheEventsRead, Tick
from martenrun.node.cache_events import CacheEventsLogic
from martenrun.node.runners import RunnerTable
from martenrun.routing.beliefs import BeliefBook
from martenrun.routing.policy import RunnerState

CHAIN = numpy.random.default_rng(5).integers(1, 2**62, 10, dtype=numpy.int64)
NOTHING = CHAIN[:0]


class Feed:
    """A logic under test and what it is told."""

    def __init__(self):
        self.table = RunnerTable()
        self.table.runners["r1"] = RunnerState("r1", "", "z", "pool", "one", "v1", 4)
        self.owned = {"r1"}
        self.beliefs = BeliefBook(600_000, 600_000)
        self.logic = CacheEventsLogic(self.beliefs, self.table, self.owned.__contains__)

    def tell(self, first, last, stored=NOTHING, removed=NOTHING, gap=False, incarnation="one"):
        events = CacheEvents(incarnation, first, last, stored, removed, gap)
        self.logic.handle(CacheEventsRead("r1", events), 1.0)

    def believed(self):
        return self.beliefs.leading(CHAIN.tobytes(), ("r1",), 1.0)[0]


@pytest.fixture
def feed():
    started = Feed()
    started.tell(1, 1, stored=CHAIN)
    assert started.believed() == 10
    return started


def test_removed_blocks_end_a_match(feed):
    feed.tell(2, 2, removed=CHAIN[4:])
    assert feed.believed() == 4


@pytest.mark.parametrize("numbers", [(2, 5, True), (5, 5, False)])
def test_a_gap_drops_beliefs_and_later_events_restore_them(feed, numbers):
    first, last, is_told = numbers
    feed.tell(first, last, gap=is_told)
    assert feed.believed() == 0
    feed.tell(6, 6, stored=CHAIN[:3])
    assert feed.believed() == 3


def test_a_replayed_feed_is_harmless(feed):
    feed.tell(2, 2, removed=CHAIN)
    feed.tell(1, 1, stored=CHAIN)
    assert feed.believed() == 0


def test_an_engine_back_empty_under_the_same_address_holds_nothing(feed):
    feed.table.runners["r1"].incarnation = "two"
    feed.tell(1, 1, stored=CHAIN[:2], incarnation="two")
    assert feed.believed() == 2
    feed.tell(2, 2, stored=CHAIN, incarnation="one")
    assert feed.believed() == 2


def test_new_weights_drop_beliefs(feed):
    feed.table.runners["r1"].weights_version = "v2"
    feed.tell(2, 2)
    assert feed.believed() == 0


def test_a_feed_that_another_node_reads_now_ends(feed):
    feed.owned.clear()
    feed.logic.handle(Tick(), 5.0)
    assert feed.believed() == 0
    assert feed.beliefs.fed_runners == []


def test_events_on_their_way_when_the_owner_changed_are_dropped(feed):
    feed.owned.clear()
    feed.logic.handle(Tick(), 5.0)
    feed.tell(2, 2, stored=CHAIN)
    assert feed.beliefs.fed_runners == []
