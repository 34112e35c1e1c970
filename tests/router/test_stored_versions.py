"""Software versions in the store tell routers that start which versions have served lately."""

import pytest

from martenrun.platform import PLATFORM_ADAPTER
from martenrun.router.origins.stored_versions import FleetView, VersionStore
from martenrun.router.software_history import RETENTION_S, SoftwareHistory

from .builders import runner
from .fakes import FakeLoop, FakeStore

STEP_S = 0.25


class Router:
    """The stored versions as one router uses them."""

    def __init__(self, world):
        self.world = world
        self.history = SoftwareHistory()
        self.is_writer = True
        self.is_first = False
        self.has_informed_peer = False
        fleet = FleetView(
            lambda: self.is_writer, lambda: self.is_first, lambda: self.has_informed_peer
        )
        self.versions = VersionStore(world.loop, world, PLATFORM_ADAPTER, self.history, fleet)


class World:
    def __init__(self, *software):
        self.loop = FakeLoop()
        self.store = FakeStore(self.loop)
        self.era = 0
        self.software = software
        self.calls = []
        self.routers = []

    def call(self, call, timeout_s, on_response):
        self.calls.append(call.method)
        self.store.call(call, timeout_s, on_response)

    def start(self, **changes):
        router = Router(self)
        for name, value in changes.items():
            setattr(router, name, value)
        self.routers.append(router)
        return router

    def kill_all(self):
        self.routers.clear()

    def run(self, seconds):
        ends_at = self.loop.now() + seconds
        while self.loop.now() < ends_at:
            listed = [runner(name, software=name) for name in self.software]
            for router in self.routers:
                router.history.record_listed(listed, self.loop.now())
                router.versions.run_maintenance()
            self.loop.run_until(self.loop.now() + STEP_S)

    def stored(self):
        return self.store.objects["main"]["spec"]["services"]


def known(router):
    return sorted(router.history.versions("s"))


# Guards against streams joined from two versions after all routers were killed at once.
def test_routers_that_all_start_at_once_know_a_version_that_has_left():
    world = World("v1")
    world.start(is_first=True)
    world.run(2.0)
    assert world.stored() == {"s": ["v1"]}
    world.kill_all()
    world.software = ("v2",)
    router = world.start()
    assert not router.versions.knows_past
    world.run(2.0)
    assert router.versions.knows_past and known(router) == ["v1", "v2"]
    assert world.stored() == {"s": ["v1", "v2"]}


def test_the_object_is_written_only_when_versions_change():
    world = World("v1")
    world.start(is_first=True)
    world.run(20.0)
    world.software = ("v2",)
    world.run(RETENTION_S + 20.0)
    writes = [spec["services"]["s"] for _, spec in world.store.writes]
    assert writes == [["v1"], ["v1", "v2"], ["v2"]]
    assert len(world.calls) == 4


# Guards against a part of the versions that counts as all of them.
def test_without_an_object_the_past_is_unknown_until_it_was_observed():
    world = World("v2")
    router = world.start()
    world.run(RETENTION_S - 2.0)
    assert not router.versions.knows_past and world.store.objects == {}
    assert len(world.calls) < 30
    world.run(8.0)
    assert router.versions.knows_past and world.stored() == {"s": ["v2"]}


def test_a_live_router_that_knows_the_past_is_enough():
    world = World("v1")
    world.store.is_silent = True
    router = world.start(has_informed_peer=True)
    world.run(1.0)
    assert router.versions.knows_past and not router.versions.is_informed


def test_a_silent_store_tells_nothing_until_it_responds():
    world = World("v1")
    world.start(is_first=True)
    world.run(2.0)
    world.kill_all()
    world.store.is_silent = True
    router = world.start()
    world.run(3.0)
    assert not router.versions.knows_past
    world.store.is_silent = False
    world.run(6.0)
    assert router.versions.knows_past


# Guards against a new writer that relies on what it read before another router wrote.
def test_a_router_that_becomes_the_writer_reads_the_object_again():
    world = World("v1", "v2")
    first = world.start(is_first=True)
    second = world.start(is_writer=False)
    world.run(4.0)
    assert known(second) == ["v1", "v2"]
    world.software = ("v1",)
    world.run(RETENTION_S + 5.0)
    assert world.stored() == {"s": ["v1"]}
    world.software = ("v1", "v2")
    world.routers.remove(first)
    second.is_writer = True
    world.run(2.0)
    assert world.stored() == {"s": ["v1", "v2"]}


def test_the_object_is_written_again_after_a_return_from_an_older_copy():
    world = World("v1")
    router = world.start(is_first=True)
    world.run(2.0)
    world.store.objects.clear()
    router.versions.begin_era(0)
    world.run(2.0)
    assert world.stored() == {"s": ["v1"]}


@pytest.mark.parametrize("services", [None, ["v1"], {"s": "v1"}, {"s": [1]}])
def test_an_unreadable_object_tells_nothing_and_is_replaced_once_the_past_is_known(services):
    world = World("v2")
    world.store.objects["main"] = {
        "metadata": {"name": "main", "revision": 1},
        "spec": {"services": services},
    }
    world.store.revision = 1
    router = world.start()
    world.run(5.0)
    assert not router.versions.knows_past
    world.run(RETENTION_S)
    assert router.versions.knows_past and world.stored() == {"s": ["v2"]}


# Guards against a version that only another writer knew and that is overwritten.
def test_a_version_that_another_router_stored_is_kept():
    world = World("v1")
    world.start(is_first=True)
    world.run(2.0)
    world.store.objects["main"] = {
        "metadata": {"name": "main", "revision": 7},
        "spec": {"services": {"s": ["v0", "v1"]}},
    }
    world.software = ("v1", "v2")
    world.run(2.0)
    assert world.stored() == {"s": ["v0", "v1", "v2"]}
