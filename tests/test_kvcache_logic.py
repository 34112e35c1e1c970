"""Tests of the home's and the owner's logic around kept-cache stores."""

import pytest

from martenrun.backends.kv_transfers import BlockTransfer
from martenrun.events import ExportEnded, PeerMessage, Send, SendExport, Tick
from martenrun.kvcache.counts import CountsByPool
from martenrun.kvcache.home import KvCacheHome
from martenrun.kvcache.limits import StoreLimits
from martenrun.kvcache.owner import KvCacheOwner
from martenrun.routing.policy import RunnerState
from martenrun.wire.messages import (
    AttemptReport,
    DecideRequest,
    ExportPrefix,
    Grant,
    PrefixExported,
)

CHAIN = bytes(range(160))
BLOCKS = len(CHAIN) // 8


class Granting:
    """Grants every question at r1; stands for the logic that hands out slots."""

    handles = frozenset({DecideRequest, AttemptReport})

    def __init__(self):
        self.version = "v1"

    def handle(self, event, now):
        if not isinstance(event.message, DecideRequest):
            return []
        asked = event.message
        grant = Grant(asked.request_id, asked.attempt, "r1", "a:1", "run", self.version)
        return [Send(event.peer, grant)]


class Home:
    def __init__(self):
        runner = RunnerState("r1", "a:1", "z", "readers", "run", "v1", 16)
        self.limits = StoreLimits(name="cellar")
        self.granting = Granting()
        self.logic = KvCacheHome(
            self.granting,
            {"r1": runner},
            lambda pool: self.limits,
            lambda model, runner, now: 0.02,
            lambda runner: "owner",
            CountsByPool(),
        )
        self.count = 0

    def ask(self):
        self.count += 1
        asked = DecideRequest(str(self.count), "a", "m", "", CHAIN, BLOCKS * 4_000, attempt=1)
        (sent,) = self.logic.handle(PeerMessage("agent", asked), float(self.count))
        return sent.message

    def report(self, grant, **fields):
        report = AttemptReport(grant.request_id, 1, "r1", "complete", 20_000, 0, 1, 0.4, **fields)
        return self.logic.handle(PeerMessage("agent", report), float(self.count))

    def exported(self, version="v1"):
        message = PrefixExported("r1", version, CHAIN)
        return self.logic.handle(PeerMessage("owner", message), float(self.count))


@pytest.fixture
def home():
    started = Home()
    for _ in range(2):
        sent = started.report(started.ask(), imported_blocks=0, import_ms=12)
    started.wish = sent
    return started


def test_a_prefix_used_again_is_wanted_and_a_request_says_once_it_is_kept(home):
    (sent,) = home.wish
    uses = sent.message.uses
    assert sent == Send("owner", ExportPrefix("r1", "run", "v1", CHAIN, BLOCKS, uses))
    assert 1.5 < uses <= 2.0
    home.exported()
    grant = home.ask()
    assert grant.import_blocks == BLOCKS
    assert 0 < grant.import_least_blocks <= BLOCKS
    assert 0 < grant.import_wait_ms <= home.limits.import_wait_s * 1000
    assert home.report(grant, imported_blocks=BLOCKS, import_ms=60) == []


def test_nothing_kept_under_older_weights_is_known(home):
    home.granting.version = "v2"
    home.ask()
    home.exported("v1")
    grant = home.ask()
    assert not home.logic._part("readers", "v2").imports.contents.knows(CHAIN)
    home.report(grant, imported_blocks=0, import_ms=12)
    home.exported("v2")
    assert home.logic._part("readers", "v2").imports.contents.knows(CHAIN)


def test_a_pool_without_a_store_neither_imports_nor_exports(home):
    home.limits = None
    grant = home.ask()
    assert grant.import_blocks == 0
    assert home.report(grant) == []


def test_a_store_that_fails_is_left_alone(home):
    home.exported()
    for _ in range(3):
        home.count = 10
        home.report(home.ask(), imported_blocks=-1, import_ms=500)
    home.count = 10
    assert home.ask().import_blocks == 0


def make_owner(owned=("r1",)):
    runners = {
        name: RunnerState(name, f"{name}:1", "z", "readers", "run", "v1", 16)
        for name in ("r1", "r2")
    }
    limits = StoreLimits(name="cellar", block_bytes=1_000, export_bytes_per_s=100_000.0)
    return runners, KvCacheOwner(
        runners, lambda name: name in owned, lambda pool: limits, CountsByPool()
    )


def want(runner="r1", incarnation="run"):
    return PeerMessage("home", ExportPrefix(runner, incarnation, "v1", CHAIN, BLOCKS, 2.0))


def test_an_owner_orders_an_export_once_and_tells_the_home_what_is_kept():
    _, owner = make_owner()
    owner.handle(want(), 0.0)
    owner.handle(want(), 0.1)
    transfer = BlockTransfer("run", "v1", CHAIN)
    assert owner.handle(Tick(), 1.0) == [SendExport("r1", "r1:1", transfer)]
    assert owner.handle(Tick(), 1.1) == []
    told = owner.handle(ExportEnded("r1", transfer, 12), 1.2)
    assert told == [Send("home", PrefixExported("r1", "v1", CHAIN[: 12 * 8]))]


def test_an_export_that_failed_tells_nothing():
    _, owner = make_owner()
    owner.handle(want(), 0.0)
    owner.handle(Tick(), 1.0)
    assert owner.handle(ExportEnded("r1", BlockTransfer("run", "v1", CHAIN), 0), 1.2) == []


def test_nothing_is_exported_of_foreign_runners_and_of_runs_that_ended():
    runners, owner = make_owner()
    owner.handle(want("r2"), 0.0)
    owner.handle(want("r1"), 0.0)
    runners["r1"].incarnation = "later"
    assert owner.handle(Tick(), 1.0) == []
