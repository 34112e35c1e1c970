"""Tests that crash records reach all routers and the store."""

import random

import pytest

from martenrun.platform import DIALECT
from martenrun.router.blame_messages import BlameNews
from martenrun.router.blame_store import FAILED_PAUSE_S, PAUSE_S, RENEWED_S, BlameStore
from martenrun.router.blame_table import DEADLY_AFTER
from martenrun.router.dataset_copy import CopyListener, DatasetCopy
from martenrun.router.fingerprint import fingerprint
from martenrun.router.messages import Dataset, StoredObject, UnreadableError
from martenrun.router.peer_messages import decode, encode
from martenrun.router.suspects import TOLD_AGAIN_S, TOLD_FOR_S

from .blame_world import Probes, admitted, request, suspects
from .builders import state
from .fakes import FakeLoop, FakeStore

DEADLY = request(b"deadly")
RUN = fingerprint(DEADLY, admitted())


class Routers:
    """Routers whose updates reach each other with a given loss."""

    def __init__(self, count, lost_share=0.0, seed=1):
        self.loop = FakeLoop()
        self.rng = random.Random(seed)
        self.lost_share = lost_share
        self.probes = Probes()
        self.probes.refused.add("127.0.0.1:1")
        self.told = 0
        self.each = [
            suspects(self.loop, self.probes, tell=lambda news, n=n: self._tell(n, news))
            for n in range(count)
        ]
        for one in self.each:
            self._keep_house(one)

    def _keep_house(self, one):
        one.keep_house()
        self.loop.call_later(0.25, lambda: self._keep_house(one))

    def _tell(self, teller, news):
        data = encode(news)
        for number, other in enumerate(self.each):
            if number != teller:
                self.told += 1
                if self.rng.random() >= self.lost_share:
                    self.loop.call_later(0.002, lambda o=other: o.take(decode(data)))

    def crash(self, router, start):
        """Let a runner crash while serving the crash-causing request at one router."""
        self.each[router].note_broken(state(start), DEADLY, admitted())

    def run(self, seconds):
        self.loop.run_until(self.loop.time + seconds)

    def knowing(self):
        return sum(one.held_for_s(RUN) > 0 for one in self.each)


def test_three_ends_seen_by_three_routers_are_known_to_all_at_once():
    routers = Routers(7)
    for number in range(DEADLY_AFTER):
        routers.crash(number, f"i-{number}")
    routers.run(0.01)
    assert routers.knowing() == 7


@pytest.mark.parametrize("seed", range(20))
def test_lost_datagrams_are_told_again_until_all_know(seed):
    routers = Routers(7, lost_share=0.5, seed=seed)
    for number in range(DEADLY_AFTER):
        routers.crash(number, f"i-{number}")
    routers.run(10.0)
    assert routers.knowing() == 7


def test_what_the_store_holds_is_not_told_again():
    routers = Routers(3)
    routers.crash(0, "i-0")
    routers.run(0.01)
    for one in routers.each:
        one.take_stored(one.table.records(routers.loop.now()))
    told = routers.told
    routers.run(5.0)
    assert routers.told == told


def test_telling_ends_while_the_store_is_away():
    routers = Routers(2)
    routers.crash(0, "i-0")
    routers.run(TOLD_FOR_S + 1.0)
    told = routers.told
    assert told <= 1 + TOLD_FOR_S / TOLD_AGAIN_S
    routers.run(60.0)
    assert routers.told == told


def test_success_at_one_router_clears_at_all():
    routers = Routers(3)
    routers.crash(0, "i-0")
    routers.run(0.01)
    routers.each[1].note_whole(routers.each[1].fingerprint(DEADLY, admitted()))
    routers.run(0.01)
    assert [one.table.starts(RUN) for one in routers.each] == [0, 0, 0]


def test_requests_cost_no_digest_while_nothing_of_their_outline_is_known():
    one = suspects(FakeLoop())
    assert one.fingerprint(DEADLY, admitted()) is None
    one.table.note_ended(RUN, "i-1", 100.0)
    assert one.fingerprint(request(b"another length"), admitted()) is None
    assert one.fingerprint(request(b"deadlY"), admitted()) is None
    assert one.fingerprint(DEADLY, admitted()) == RUN


def test_a_newcomer_is_told_what_is_known_by_a_few():
    one = suspects(FakeLoop())
    assert one.newcomer_news(7) is None
    one.table.note_ended(RUN, "i-1", 100.0)
    assert one.newcomer_news(7).records[0].fingerprint == RUN
    tellers = sum(one.newcomer_news(195) is not None for _ in range(1_950))
    assert 40 < tellers < 130


class Kept:
    """A store reader and the store."""

    def __init__(self):
        self.loop = FakeLoop()
        self.store = FakeStore(self.loop)
        self.known = suspects(self.loop)
        self.copy = DatasetCopy(
            Dataset.BLAME, CopyListener(self._put, lambda _name: None, lambda: None)
        )
        self.reads = True
        self.writer = BlameStore(
            self.loop, self.store, DIALECT, self.copy, self.known, lambda: self.reads
        )
        self._check()

    def _put(self, stored):
        self.known.take_stored(DIALECT.read_blame(stored))

    def _check(self):
        held = self.store.objects.get("main")
        if held is not None:
            revision = held["metadata"]["revision"]
            stored = StoredObject("main", revision, held["spec"])
            self.copy.apply([stored], [], revision, False, self.loop.now())
        self.writer.check()
        self.loop.call_later(0.25, self._check)

    def run(self, seconds):
        self.loop.run_until(self.loop.time + seconds)


def test_what_is_known_is_stored_once_and_outlasts_all_routers():
    kept = Kept()
    kept.known.table.note_ended(RUN, "i-1", kept.loop.now())
    kept.run(5.0)
    assert len(kept.store.writes) == 1
    started = suspects(kept.loop)
    spec = kept.store.objects["main"]["spec"]
    started.take_stored(DIALECT.read_blame(StoredObject("main", 1, spec)))
    assert started.table.starts(RUN) == 1


def test_who_does_not_read_the_store_writes_nothing():
    kept = Kept()
    kept.reads = False
    kept.known.table.note_ended(RUN, "i-1", kept.loop.now())
    kept.run(5.0)
    assert kept.store.writes == []


def test_a_write_that_finds_another_adds_what_that_lacks():
    kept = Kept()
    other = fingerprint(request(b"other"), admitted())
    theirs = suspects(kept.loop)
    theirs.table.note_ended(other, "i-9", kept.loop.now())
    kept.known.table.note_ended(RUN, "i-1", kept.loop.now())
    call = DIALECT.create_object(
        Dataset.BLAME, "main", DIALECT.blame_spec(theirs.table.records(kept.loop.now()))
    )
    kept.store.call(call, 1.0, lambda _answer: None)
    kept.run(5.0)
    spec = kept.store.objects["main"]["spec"]
    assert {item["fingerprint"] for item in spec["requests"]} == {RUN.hex(), other.hex()}


def test_a_storm_of_ends_is_few_writes_and_a_silent_store_is_not_pressed():
    kept = Kept()
    for number in range(100):
        kept.known.table.note_ended(RUN, f"i-{number}", kept.loop.now())
        kept.run(0.05)
    assert len(kept.store.writes) <= 5.0 / PAUSE_S + 1
    kept.store.is_silent = True
    kept.known.table.note_ended(RUN, "more", kept.loop.now())
    before = kept.loop.now()
    kept.run(10.0)
    assert kept.loop.now() - before >= FAILED_PAUSE_S


def test_ages_are_written_anew_now_and_then():
    kept = Kept()
    kept.known.table.note_ended(RUN, "i-1", kept.loop.now())
    kept.run(2 * RENEWED_S + 10.0)
    assert len(kept.store.writes) == 3


@pytest.mark.parametrize(
    "content",
    [
        None,
        {"requests": 7},
        {"requests": [{"fingerprint": "zz", "ended": []}]},
        {"requests": [{"fingerprint": "aa"}]},
        {"requests": [{"fingerprint": "aa", "ended": [{"start": "", "age_ms": 1}]}]},
        {"requests": [{"fingerprint": "aa", "ended": [{"start": "i", "age_ms": -1}]}]},
    ],
)
def test_what_another_writer_puts_there_is_unreadable(content):
    with pytest.raises(UnreadableError):
        DIALECT.read_blame(StoredObject("main", 1, content))


def test_news_is_a_datagram():
    one = suspects(FakeLoop())
    one.table.note_ended(RUN, "i-1", 100.0)
    news = BlameNews(one.table.records(101.0))
    assert decode(encode(news)) == news
