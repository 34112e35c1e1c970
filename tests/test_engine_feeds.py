"""Tests of following engines: the decisions, and the driver against stand-ins with faults."""

import contextlib
import random
import socket

import numpy
import pytest
from deployment import wait_until

from engine_server import running_engine
from martenrun.backends.engine import RunnerDescription
from martenrun.backends.engine_stream import Push
from martenrun.events import CacheEventsRead, EventBatch, RunnerDescribed
from martenrun.node.feeds import OPENINGS_A_ROUND, EngineFeeds
from martenrun.node.followed_engine import (
    MAXIMUM_RETRY_S,
    RETELL_S,
    SILENCE_S,
    STABLE_S,
    FeedState,
    FollowedEngine,
    Target,
)
from martenrun.observability.engine_feeds import EngineFeedsCollector
from martenrun.process import LoopActor

WAIT_S = 10.0
DESCRIPTION = RunnerDescription("one", "model", "v1", 0, 4, 0)


def chain(*hashes):
    return numpy.array(hashes, dtype="<i8").tobytes()


def followed(now=0.0):
    engine = FollowedEngine(Target("r", "127.0.0.1:1", True), now, random.Random(3))
    assert engine.is_due(now)
    engine.opening(now)
    return engine


def opened(now=0.0):
    engine = followed(now)
    engine.pushed([Push("one", 0, DESCRIPTION)], now)
    return engine


UNREACHABLE = [RunnerDescribed("r", None)]
DESCRIBED = [RunnerDescribed("r", DESCRIPTION)]


def test_a_stream_that_ends_is_opened_again_before_the_engine_is_given_up():
    engine = opened()
    assert engine.broke(STABLE_S) == []
    assert engine.is_due(STABLE_S)
    engine.opening(STABLE_S)
    assert engine.broke(STABLE_S) == UNREACHABLE
    assert not engine.is_due(STABLE_S)


def test_pauses_grow_to_a_limit_and_differ():
    pauses, now = [], 0.0
    engine = followed()
    for _ in range(12):
        engine.broke(now)
        pauses.append(engine.next_try - now)
        now = engine.next_try
        engine.opening(now)
    assert len(set(pauses)) == 12
    assert min(pauses[5:]) >= MAXIMUM_RETRY_S / 2 and max(pauses) <= MAXIMUM_RETRY_S


def test_streams_that_break_after_their_first_push_are_not_opened_in_a_storm():
    engine, now = opened(), 0.0
    for _ in range(8):
        engine.broke(now)
        now = engine.next_try
        engine.opening(now)
        engine.pushed([Push("one", 0, DESCRIPTION)], now)
    engine.broke(now)
    assert engine.next_try - now >= MAXIMUM_RETRY_S / 2


def test_silence_makes_an_engine_unreachable_and_a_keep_alive_does_not():
    engine = opened()
    assert not engine.is_silent(SILENCE_S)
    assert engine.kept_alive(SILENCE_S) == DESCRIBED
    assert not engine.is_silent(2 * SILENCE_S)
    assert engine.is_silent(2 * SILENCE_S + 0.1)
    assert engine.silenced(2 * SILENCE_S + 0.1) == UNREACHABLE
    assert engine.state is FeedState.WAITING


def test_an_unchanged_description_is_told_again_while_the_engine_speaks():
    engine = opened()
    assert engine.kept_alive(RETELL_S / 2) == []
    assert engine.kept_alive(RETELL_S) == DESCRIBED
    assert engine.kept_alive(RETELL_S) == []


def test_nothing_older_is_told_of_an_engine_that_was_given_up():
    engine = opened()
    engine.silenced(5.0)
    engine.opening(6.0)
    assert engine.kept_alive(6.1) == []


def test_a_polled_engine_is_asked_for_a_stream_again_at_once_when_a_poll_fails():
    engine = followed()
    engine.is_polled(0.0)
    assert not engine.is_due(5.0) and not engine.is_silent(5.0)
    engine.poll_failed(5.0)
    assert engine.is_due(5.0)
    engine.opening(5.0)
    assert engine.is_silent(5.0 + SILENCE_S + 0.1)


class Following:
    """A driver and all that it told."""

    def __init__(self):
        self.told = []
        self.feeds = EngineFeeds(self._tell, random.Random(1))

    def _tell(self, batch):
        assert isinstance(batch, EventBatch)
        self.told.extend(batch.events)

    def follow(self, *addresses):
        targets = [Target(f"r{i}", address, True) for i, address in enumerate(addresses)]
        self.feeds.follow(targets)

    def descriptions(self, runner="r0"):
        events = [e for e in list(self.told) if isinstance(e, RunnerDescribed)]
        return [event.description for event in events if event.runner == runner]

    def changes(self, runner="r0"):
        events = [e for e in list(self.told) if isinstance(e, CacheEventsRead)]
        return [event.events for event in events if event.runner == runner]

    def stored(self):
        return [block for change in self.changes() for block in change.stored.tolist()]

    def state(self, runner="r0"):
        states = {figures.runner: figures.state for figures in self.feeds.figures()}
        return states.get(runner)

    def wait(self, condition, what):
        wait_until(condition, what, WAIT_S)

    def wait_described(self, runner="r0"):
        self.wait(lambda: any(self.descriptions(runner)), "a description")

    def wait_unreachable(self):
        self.wait(lambda: self.descriptions()[-1:] == [None], "unreachable")


@pytest.fixture
def following():
    started = Following()
    started.feeds.start()
    yield started
    started.feeds.stop()


def store(engine, *blocks):
    engine.application._engine.store(chain(*blocks))


def test_descriptions_and_cache_events_come_by_one_stream(following):
    with running_engine() as engine:
        store(engine, 1, 2)
        following.follow(engine.address)
        following.wait(lambda: following.stored() == [1, 2], "stored blocks")
        kinds = [type(event) for event in following.told]
        assert kinds.index(RunnerDescribed) < kinds.index(CacheEventsRead)
        store(engine, 3)
        following.wait(lambda: following.stored() == [1, 2, 3], "the next block")
        assert not any(change.gap for change in following.changes())
        engine.set_faults(draining=True)
        following.wait(lambda: following.descriptions()[-1].state == "draining", "draining")


def test_an_engine_back_empty_under_its_address_is_another_incarnation(following):
    with running_engine() as engine:
        store(engine, 1)
        following.follow(engine.address)
        following.wait(lambda: following.stored() == [1], "stored blocks")
        engine.set_faults(crash=True)
        store(engine, 5)
        following.wait(lambda: following.stored() == [1, 5], "the new run's block")
        last = following.changes()[-1]
        assert (last.incarnation, last.first_sequence, last.gap) == (engine.incarnation, 1, False)
        assert following.descriptions()[-1].incarnation == engine.incarnation


def test_a_killed_engine_is_unreachable_and_found_again(following):
    with running_engine() as engine:
        following.follow(engine.address)
        following.wait_described()
    following.wait_unreachable()
    assert following.feeds.figures()[0].reconnects > 0


def test_a_silent_stream_is_given_up_and_opened_again(following):
    with running_engine() as engine:
        following.follow(engine.address)
        following.wait_described()
        engine.set_faults(silent_pushes=True)
        following.wait_unreachable()
        engine.set_faults()
        following.wait(lambda: following.descriptions()[-1] is not None, "a description")


def test_a_garbled_push_is_asked_for_again(following):
    with running_engine() as engine:
        following.follow(engine.address)
        following.wait_described()
        engine.set_faults(garble_pushes=1)
        store(engine, 4)
        following.wait(lambda: following.stored() == [4], "the block of the garbled push")
        assert not any(change.gap for change in following.changes())


def test_lost_cache_events_are_a_gap(following):
    with running_engine() as engine:
        following.follow(engine.address)
        following.wait_described()
        engine.set_faults(lose_pushes=1)
        store(engine, 4)
        following.wait(lambda: [c.gap for c in following.changes()] == [True], "a gap")
        store(engine, 5)
        following.wait(lambda: following.stored() == [5], "the next block")
        assert following.feeds.figures()[0].gaps == 1


def test_late_and_replayed_pushes_lose_nothing(following):
    with running_engine() as engine:
        store(engine, 1)
        engine.set_faults(push_delay_s=0.3, replay_events=2)
        following.follow(engine.address)
        following.wait(lambda: following.stored() == [1], "stored blocks")
        store(engine, 2)
        following.wait(lambda: 2 in following.stored(), "the next block")
        sequences = [(c.first_sequence, c.last_sequence) for c in following.changes()]
        assert sequences == [(1, 1), (2, 2)]


def test_an_engine_of_the_older_dialect_is_polled_until_it_fails(following):
    with running_engine() as engine:
        engine.set_faults(no_push_stream=True)
        following.follow(engine.address)
        following.wait(lambda: following.feeds.polled() == {"r0"}, "polled")
        assert following.told == []
        engine.set_faults()
        following.feeds.poll_failed("r0")
        following.wait_described()
        following.wait(lambda: not following.feeds.polled(), "no longer polled")


def test_a_runner_that_another_node_owns_now_is_no_longer_told(following):
    with running_engine() as engine, running_engine() as other:
        following.follow(engine.address, other.address)
        following.wait_described("r0")
        following.wait_described("r1")
        following.feeds.follow([Target("r1", other.address, True)])
        following.wait(lambda: following.state("r0") is None, "no longer followed")
        store(engine, 1)
        store(other, 2)
        following.wait(lambda: following.changes("r1"), "the other one's block")
        assert following.changes("r0") == []


def test_a_half_open_engine_and_dead_ones_hold_up_no_other(following):
    with contextlib.ExitStack() as stack:
        deaf = stack.enter_context(socket.create_server(("127.0.0.1", 0), backlog=1))
        deaf_address = f"127.0.0.1:{deaf.getsockname()[1]}"
        engine = stack.enter_context(running_engine())
        following.follow(engine.address, deaf_address, "127.0.0.1:1", "no address")
        following.wait_described()
        for runner in ("r1", "r2", "r3"):
            following.wait(lambda r=runner: None in following.descriptions(r), runner)
        assert None not in following.descriptions("r0")


def test_a_description_only_stream_has_no_cache_events(following):
    with running_engine() as engine:
        store(engine, 1)
        following.feeds.follow([Target("r0", engine.address, False)])
        following.wait_described()
        engine.set_faults(draining=True)
        following.wait(lambda: following.descriptions()[-1].state == "draining", "draining")
        assert following.changes() == []


def test_metrics_show_feeds_by_state_and_runner(following):
    with running_engine() as engine:
        following.follow(engine.address, "127.0.0.1:1")
        following.wait(lambda: following.state("r0") is FeedState.OPEN, "open")
        families = {m.name: m for m in EngineFeedsCollector(following.feeds.figures).collect()}
        states = families["martenrun:engine_feeds"].samples
        assert {s.labels["state"]: s.value for s in states}["open"] == 1
        ages = families["martenrun:engine_feed_last_word_age_seconds"].samples
        assert {s.labels["runner"] for s in ages} == {"r0", "r1"}


def test_a_long_past_comes_whole_in_several_pushes(following, monkeypatch):
    monkeypatch.setattr("martenrun.standins.engine.push_stream.MAXIMUM_PUSH_HASHES", 10)
    with running_engine() as engine:
        for first in range(0, 60, 5):
            store(engine, *range(first, first + 5))
        following.follow(engine.address)
        following.wait(lambda: sorted(following.stored()) == list(range(60)), "all blocks")
        assert len(following.changes()) == 6
        assert not any(change.gap for change in following.changes())


def test_the_loop_handles_each_event_of_a_batch_though_one_fails():
    handled = []

    class Part:
        def handle(self, event, now):
            handled.append(event)
            assert event is not DESCRIBED[0]
            return []

    loop = LoopActor.start([Part()], {})
    loop.tell(EventBatch((*DESCRIBED, *UNREACHABLE)))
    loop.stop(block=True)
    assert handled == DESCRIBED + UNREACHABLE


def test_a_node_that_starts_opens_few_streams_at_a_time():
    started = Following()
    with contextlib.closing(socket.create_server(("127.0.0.1", 0), backlog=64)) as deaf:
        address = f"127.0.0.1:{deaf.getsockname()[1]}"
        started.follow(*[address] * 30)
        states = []
        for count in range(4):
            started.feeds._round(count / 10)
            states.append([figures.state for figures in started.feeds.figures()])
        opened = [round_states.count(FeedState.OPENING) for round_states in states]
        assert opened == [OPENINGS_A_ROUND * (count + 1) for count in range(3)] + [30]
        assert started.told == []
        started.follow(address)
        started.feeds._round(0.5)
        assert len(started.feeds.figures()) == 1
        started.feeds.stop()
