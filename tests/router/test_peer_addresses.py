"""Routers whose seeds are all dead find the others by the peer addresses in the store."""

import random

import pytest

from martenrun.platform import PLATFORM_ADAPTER
from martenrun.router.peer_addresses import (
    MAX_STORED_ADDRESSES,
    PeerAddressDirectory,
    choose_addresses,
)

from .fakes import FakeStore
from .gossip_world import GossipWorld

SEEDS = ("s1", "s2", "s3")


class PeerAddressWorld(GossipWorld):
    """Routers with gossip and stored peer addresses; the first two alive are store readers."""

    def __init__(self, seed=1):
        super().__init__(seed)
        self.store = FakeStore(self.loop)
        self.directories = {}

    def join(self, address):
        self.start(address, SEEDS)
        peers = self.routers[address]
        self.directories[address] = PeerAddressDirectory(
            self.loop,
            RouterStore(self, peers),
            PLATFORM_ADAPTER,
            peers,
            lambda: peers.own.reads_store,
            random.Random(address),
        )
        peers._refresh = lambda own: setattr(own, "reads_store", self.is_reader(peers))
        self.directories[address].start()

    def is_reader(self, peers):
        """Return whether a router reads the store: it knows fewer than two other readers."""
        others = [record for record in peers.live() if record.reads_store]
        return peers.own.reads_store or len(others) < 2

    def sees(self, address):
        return set(self.routers[address].live_addresses())

    def stored(self):
        return self.store.objects["main"]["spec"]["addresses"]


class RouterStore:
    """The store as one router uses it; a stopped router makes no calls."""

    def __init__(self, world, peers):
        self.world = world
        self.peers = peers
        self.era = 0

    def call(self, call, timeout_s, on_answer):
        if not self.peers.is_stopped:
            self.world.store.call(call, timeout_s, on_answer)


def replace_all_routers(world, count=6):
    """Replace all routers one by one, including the seeds, by others at new addresses."""
    first = [*SEEDS, *(f"a{number}" for number in range(count - len(SEEDS)))]
    for address in first:
        world.join(address)
    world.run(6.0)
    for number, address in enumerate(first):
        world.stop(address)
        world.run(0.5)
        world.join(f"b{number}")
        world.run(0.5)
    return [f"b{number}" for number in range(count)]


# Guards against new routers that each act as the only one, because all seeds are dead (soak seed
# 3004).
@pytest.mark.parametrize("seed", range(6))
def test_routers_that_start_after_all_seeds_died_find_the_others(seed):
    world = PeerAddressWorld(seed)
    later = replace_all_routers(world)
    world.run(4.0)
    for address in later:
        assert world.sees(address) == set(later) - {address}


def test_two_groups_without_contact_merge():
    world = PeerAddressWorld()
    for address in ("a1", "a2", "b1", "b2"):
        world.join(address)
    for group in (("a1", "a2"), ("b1", "b2")):
        one, other = (world.routers[address] for address in group)
        one.send_record([other.own.address])
    # The store is down while they start, so that neither group reads the other's addresses.
    world.store.is_silent = True
    world.run(3.0)
    world.store.is_silent = False
    world.run(12.0)
    assert world.sees("a1") == {"a2", "b1", "b2"}


def test_isolated_router_queries_the_store_at_a_low_rate():
    world = PeerAddressWorld()
    world.join("a1")
    calls = []
    serve = world.store.call
    world.store.call = lambda call, *rest: (calls.append(call.method), serve(call, *rest))
    world.run(30.0)
    assert world.stored() == ["a1"]
    assert calls.count(b"GET") <= 8 and calls.count(b"POST") + calls.count(b"PUT") <= 2


def test_one_router_writes_and_rarely():
    world = PeerAddressWorld()
    for number in range(20):
        world.join(f"s{number + 1}")
    world.run(40.0)
    assert len(world.stored()) == MAX_STORED_ADDRESSES
    assert len(world.store.writes) <= 8


def test_directory_is_unresolved_until_the_store_or_another_router_responds():
    world = PeerAddressWorld()
    world.store.is_silent = True
    world.join("a1")
    world.run(10.0)
    assert not world.directories["a1"].is_resolved
    world.store.is_silent = False
    world.run(5.0)
    assert world.directories["a1"].is_resolved


def test_directory_is_unresolved_while_stored_addresses_may_still_respond():
    world = PeerAddressWorld()
    world.join("gone")
    world.run(5.0)
    world.stop("gone")
    world.join("a1")
    world.run(1.2)
    assert not world.directories["a1"].is_resolved
    world.run(4.0)
    assert world.directories["a1"].is_resolved
    assert world.stored() == ["a1"]


def test_object_is_read_again_after_a_lost_response_to_a_write():
    world = PeerAddressWorld()
    world.store.loses_answers = True
    world.join("a1")
    world.run(4.0)
    world.store.loses_answers = False
    world.run(4.0)
    assert world.stored() == ["a1"]


# Guards against addresses that are presumed stored after the store returned without them.
def test_addresses_are_written_again_when_the_store_has_lost_them():
    world = PeerAddressWorld()
    world.join("a1")
    world.run(5.0)
    assert world.stored() == ["a1"]
    world.store.objects.clear()
    world.directories["a1"].begin_era(1)
    world.run(2.5)
    assert world.stored() == ["a1"]


def test_addresses_of_live_routers_stay_stored():
    stored = ("a", "b", "gone")
    assert choose_addresses(stored, ["c", "b", "a"], ()) == ("a", "b", "c")
    assert choose_addresses(stored, ["c", "b", "a"], ("gone",)) == ("a", "b", "gone", "c")
    many = [f"n{number}" for number in range(30)]
    assert len(choose_addresses((), many, ())) == MAX_STORED_ADDRESSES


def test_invalid_object_is_replaced():
    world = PeerAddressWorld()
    metadata = {"name": "main", "revision": 1}
    world.store.revision = 1
    world.store.objects["main"] = {"metadata": metadata, "spec": {"addresses": 5}}
    world.join("a1")
    world.run(5.0)
    assert world.stored() == ["a1"]


# Guards against a router that starts from the store alone although the store lists other routers.
def test_router_that_starts_finds_the_stored_routers_at_once():
    world = PeerAddressWorld()
    later = replace_all_routers(world)
    world.run(4.0)
    world.join("c0")
    assert not world.directories["c0"].has_found_peers()
    world.run(0.3)
    assert world.directories["c0"].has_found_peers()
    assert world.sees("c0") == set(later)


# Guards against a start that waits for stored routers that are gone.
def test_stored_routers_that_do_not_respond_are_awaited_briefly():
    world = PeerAddressWorld()
    for address in replace_all_routers(world):
        world.stop(address)
    world.run(30.0)
    world.join("c0")
    assert not world.directories["c0"].has_found_peers()
    world.run(0.3)
    assert not world.directories["c0"].has_found_peers()
    world.run(0.4)
    assert world.directories["c0"].has_found_peers()
