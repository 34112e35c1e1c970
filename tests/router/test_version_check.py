"""A router's knowledge of software versions is confirmed by the store after the question."""

import msgspec
import pytest

from martenrun.net.http import HttpResponse
from martenrun.platform import PLATFORM_ADAPTER
from martenrun.router.origins.messages import VersionsResponse
from martenrun.router.origins.store_probe import ProbedStore
from martenrun.router.origins.version_check import VersionCheck
from martenrun.router.peer_messages import decode, encode
from martenrun.router.software_history import RETENTION_S, SoftwareHistory

from .builders import runner
from .fakes import FakeLoop, at
from .gossip_world import router_record

DELAY_S = 0.002


def entry(software):
    return {
        "service": "s",
        "address": "127.0.0.1:1",
        "zone": "z",
        "version": software,
        "slots": 4,
        "state": "ready",
        "cold_left_ms": 0,
        "call_seq": 0,
    }


class ListedRunners:
    """A store's list of runners: the software versions of its entries, in the order of changes."""

    def __init__(self, loop):
        self.loop = loop
        self.versions = []
        self.calls = []
        self.status = 200
        self.stored_versions = None

    def events_after(self, revision):
        changed = list(enumerate(self.versions, start=1))[revision:]
        return [
            {"object": {"metadata": {"name": f"i-{at}", "revision": at}, "spec": entry(software)}}
            for at, software in changed
        ]

    def respond(self, call):
        if b"watch" not in call.target:
            return self._respond_object()
        query = call.target.decode().partition("?")[2]
        fields = dict(item.split("=") for item in query.split("&"))
        assert fields["wait_ms"] == "0"
        body = {"events": self.events_after(int(fields["watch"])), "at": len(self.versions)}
        return HttpResponse(self.status, [], msgspec.json.encode(body))

    def _respond_object(self):
        if self.stored_versions is None:
            return HttpResponse(404, [], b"")
        metadata = {"name": "main", "revision": 1}
        body = {"metadata": metadata, "spec": {"services": {"s": self.stored_versions}}}
        return HttpResponse(200, [], msgspec.json.encode(body))


class Router:
    """One router's view of versions, which it knows up to a position of the store."""

    def __init__(self, world, address, reads_store):
        self.world = world
        self.record = router_record(address, reads_store=reads_store, confirms_versions=reads_store)
        self.is_cut = self.is_suspended = self.is_merging = False
        self.knows_past = True
        self.history = SoftwareHistory()
        self.position = at(0)
        self.era = 0
        self.results = []
        self.check = VersionCheck(
            world.loop,
            self,
            self.history,
            lambda: self.knows_past,
            ProbedStore(self, PLATFORM_ADAPTER, lambda: self.position, lambda: self.is_merging),
        )

    @property
    def own(self):
        return self.record

    def live(self):
        return [item.record for item in self.world.routers.values() if item is not self]

    def send(self, addresses, message):
        data = encode(message)
        for address in addresses:
            self.world.sent.append(message)
            self.world.loop.call_later(DELAY_S, lambda at=address: self._arrive(at, data))

    def _arrive(self, address, data):
        router = self.world.routers[address]
        if not self.is_cut and not router.is_cut and not router.is_suspended:
            router.check.handle_message(decode(data))

    def call(self, call, timeout_s, on_response, max_response_s):
        assert max_response_s == timeout_s
        if b"watch" in call.target:
            self.world.store.calls.append(self.record.address)
        if self.is_cut:
            self.world.loop.call_later(timeout_s, lambda: on_response(None))
        else:
            response = self.world.store.respond(call)
            self.world.loop.call_later(DELAY_S, lambda: on_response(response))

    def follow(self):
        """Apply all changes of the list, as a router in touch does."""
        for software in self.world.store.versions[self.position.revision :]:
            self.history.record_listed([runner("i", software=software)], self.world.loop.now())
        self.position = at(len(self.world.store.versions))

    def confirm(self):
        self.check.confirm(self.results.append)


class World:
    def __init__(self, routers=4, readers=2):
        self.loop = FakeLoop()
        self.store = ListedRunners(self.loop)
        self.sent = []
        self.routers = {}
        for number in range(routers):
            router = Router(self, f"r{number}", number < readers)
            self.routers[f"r{number}"] = router

    def list_version(self, software, *unaware):
        self.store.versions.append(software)
        for address, router in self.routers.items():
            if address not in unaware:
                router.follow()

    def run(self, seconds=1.0):
        self.loop.run_until(self.loop.now() + seconds)


@pytest.fixture
def world():
    made = World()
    made.list_version("v1")
    return made


# Guards against streams that a router which missed a version resumes at the only one it knows.
@pytest.mark.parametrize("asker", ["r0", "r3"])
def test_a_version_that_a_router_has_missed_is_found(world, asker):
    world.list_version("v2", asker)
    router = world.routers[asker]
    assert router.history.versions("s") == ["v1"]
    router.confirm()
    world.run()
    assert router.results == [True]
    assert sorted(router.history.versions("s")) == ["v1", "v2"]


# Guards against the same at a router whose readers missed it as well.
def test_a_version_that_the_readers_have_missed_is_found(world):
    world.list_version("v2", "r0", "r1", "r3")
    world.routers["r3"].confirm()
    world.run()
    assert sorted(world.routers["r3"].history.versions("s")) == ["v1", "v2"]


# Guards against routers that are cut off together and confirm each other's outdated view.
def test_routers_that_are_cut_off_confirm_nothing(world):
    for address in ("r1", "r3"):
        world.routers[address].is_cut = True
    world.list_version("v2", "r1", "r3")
    for address in ("r1", "r3"):
        world.routers[address].confirm()
    world.run()
    assert [world.routers[address].results for address in ("r1", "r3")] == [[False], [False]]


@pytest.mark.parametrize("how", ["down", "silent", "gone"])
def test_nothing_is_confirmed_while_the_store_does_not_respond(world, how):
    world.store.status = {"down": 503, "gone": 410}.get(how, 200)
    if how == "silent":
        for router in world.routers.values():
            router.is_cut = True
    world.routers["r3"].confirm()
    world.run()
    assert world.routers["r3"].results == [False]


def test_a_position_of_an_earlier_era_confirms_nothing(world):
    for router in world.routers.values():
        router.era = 2
    world.routers["r0"].confirm()
    world.run()
    assert world.routers["r0"].results == [False]


def test_a_router_that_does_not_know_the_past_confirms_nothing_to_others(world):
    for address in ("r0", "r1"):
        world.routers[address].knows_past = False
    world.routers["r3"].confirm()
    world.run()
    assert world.store.calls.count("r3") == 1


def test_a_router_whose_readers_are_silent_calls_the_store_itself(world):
    for address in ("r0", "r1"):
        world.routers[address].is_suspended = True
    world.list_version("v2", "r3")
    world.routers["r3"].confirm()
    world.run()
    assert world.routers["r3"].results == [True]
    assert sorted(world.routers["r3"].history.versions("s")) == ["v1", "v2"]


# Guards against a call sent before a question that is taken for its answer.
def test_a_question_during_a_call_waits_for_the_next_call(world):
    router = world.routers["r0"]
    router.confirm()
    world.run(DELAY_S / 2)
    world.list_version("v2", "r0")
    router.confirm()
    world.run()
    assert world.store.calls == ["r0", "r0"] and router.results == [True, True]
    assert sorted(router.history.versions("s")) == ["v1", "v2"]


def test_many_questions_share_few_calls():
    world = World(routers=20, readers=2)
    world.list_version("v1")
    for _ in range(10):
        for router in world.routers.values():
            router.confirm()
        world.run(0.05)
    world.run()
    assert all(router.results == [True] * 10 for router in world.routers.values())
    assert len(world.store.calls) <= 2 * 8


# Guards against a version that is kept alive by routers that ask each other about it.
def test_confirmations_do_not_renew_a_version(world):
    world.list_version("v2")
    for _ in range(int(RETENTION_S) + 3):
        world.run(1.0)
        for router in world.routers.values():
            router.history.record_listed([runner("i", software="v2")], world.loop.now())
            router.confirm()
    world.run()
    assert all(item.history.versions("s") == ["v2"] for item in world.routers.values())


def test_an_entry_that_cannot_be_read_does_not_prevent_the_confirmation(world):
    world.store.events_after = lambda _revision: [{"object": {"metadata": {"name": "x"}}}]
    world.routers["r0"].confirm()
    world.run()
    assert world.routers["r0"].results == [True]


def test_the_check_is_available_while_a_live_router_reads_the_store(world):
    router = world.routers["r3"]
    router.check.run_maintenance()
    assert router.check.is_available
    for address in ("r0", "r1"):
        world.routers[address].record.confirms_versions = False
    router.check.run_maintenance()
    assert not router.check.is_available


# Guards against origins that are not shared while the store is too slow to confirm versions.
def test_a_reader_that_the_store_does_not_answer_in_time_is_not_relied_on(world):
    reader = world.routers["r0"]
    reader.check.update_record(reader.record)
    assert reader.record.confirms_versions
    reader.is_cut = True
    reader.confirm()
    world.run()
    reader.check.update_record(reader.record)
    assert not reader.record.confirms_versions and reader.record.reads_store


# Guards against streams of a version that joined and left while a router was cut off.
def test_a_version_that_only_the_stored_versions_name_prevents_the_confirmation(world):
    world.store.stored_versions = ["v1", "v2"]
    world.routers["r0"].confirm()
    world.run()
    assert world.routers["r0"].results == [False]
    assert world.routers["r0"].history.versions("s") == ["v1"]
    world.store.stored_versions = ["v1"]
    world.run()
    world.routers["r0"].confirm()
    world.run()
    assert world.routers["r0"].results == [False, True]


# Guards against a store that has returned from a copy older than the entries of a version.
def test_nothing_is_confirmed_while_writers_repeat_what_the_store_lost(world):
    world.routers["r0"].is_merging = True
    world.routers["r0"].confirm()
    world.run()
    assert world.routers["r0"].results == [False]


# Guards against responses to the questions of a former process at the same address.
def test_responses_of_routers_that_were_not_asked_count_for_nothing(world):
    for address in ("r0", "r1"):
        world.routers[address].is_suspended = True
    router = world.routers["r3"]
    router.is_cut = True
    router.confirm()
    (number,) = router.check._pending
    router.check.handle_message(VersionsResponse(number, "r2", {}))
    router.check.handle_message(VersionsResponse(1, "r0", {}))
    world.run()
    assert router.results == [False]


# Guards against questions that wait forever after an entry that cannot be digested.
def test_questions_are_answered_after_a_check_that_raised(world):
    world.list_version("v2", "r0")
    router = world.routers["r0"]
    record_version = router.history.record_version
    router.history.record_version = lambda *_: 1 / 0
    router.confirm()
    with pytest.raises(ZeroDivisionError):
        world.run()
    router.history.record_version = record_version
    world.run(2.0)
    router.confirm()
    world.run()
    assert router.results == [False, True]


def test_a_failure_is_remembered_for_a_while(world):
    router = world.routers["r3"]
    router.is_cut = True
    router.confirm()
    world.run(0.9)
    calls = len(world.store.calls)
    for _ in range(5):
        router.confirm()
    world.run(0.01)
    assert router.results == [False] * 6 and len(world.store.calls) == calls
