"""A router gets the store's state whichever routers it considers readers."""

from martenrun.net.loop import Loop
from martenrun.net.server import Server
from martenrun.platform import PLATFORM_ADAPTER
from martenrun.router.messages import Dataset
from martenrun.router.store.planner import Candidate, select_readers
from martenrun.router.store.relay import RelayServer
from martenrun.router.store.relay_follower import RelayFollower
from martenrun.router.store.replica import DatasetReplica, ReplicaListener
from martenrun.router.store.sync import MAX_ASK_S, StoreSync, StoreSyncParts

from .fakes import at
from .loopback import free_address, serve_until
from .test_peers import record


class KnownPeers:
    """The routers that one router knows; ``own`` is its own record."""

    def __init__(self, own, others):
        self.own = own
        self.others = others

    def live(self):
        return self.others

    def broadcast_record(self):
        return None


class SilentStore:
    """Counts the calls and does not respond."""

    def __init__(self):
        self.era = 0
        self.calls = 0

    def call(self, _call, _timeout_s, _on_answer, *_more):
        self.calls += 1


def empty_replicas():
    listener = ReplicaListener(lambda _: None, lambda _: None, lambda: None)
    replicas = {dataset: DatasetReplica(dataset, listener) for dataset in Dataset}
    del replicas[Dataset.LEASES]
    return replicas


def loaded_replicas(loop):
    replicas = empty_replicas()
    for replica in replicas.values():
        replica.replace([], at(1), False, loop.now())
        replica.confirm(loop.now())
    return replicas


def start_sync(loop, own, others, replicas):
    """Start a follower that serves at its address; return its synchronization and its store."""
    store = SilentStore()
    peers = KnownPeers(record(own), [record(address) for address in others])
    sync = StoreSync(StoreSyncParts(loop, store, PLATFORM_ADAPTER, replicas, peers), lambda: None)
    Server(loop, own, sync.relay.serve)
    for follower in sync._followers:
        follower.stop()
    sync.start()
    return sync, store


# Guards against store calls of routers that query a follower, because their tables differ briefly.
def test_follower_of_a_reader_relays_to_its_own_followers():
    loop = Loop()
    addresses = [free_address() for _ in range(3)]
    candidates = [Candidate(address, True) for address in addresses]
    readers = select_readers(candidates)
    own = next(address for address in addresses if address not in readers)
    read_replicas = loaded_replicas(loop)
    for address in readers:
        reader = RelayServer(loop, read_replicas, 1, lambda: True, lambda: False, lambda: True)
        Server(loop, address, reader.serve)
    sync, _ = start_sync(loop, own, readers, loaded_replicas(loop))
    serve_until(loop, sync._relay_follower.follows_reader)
    followed_replicas = loaded_replicas(loop)
    applied = []
    follower = RelayFollower(
        loop, followed_replicas, lambda: own, lambda: applied.append(True), lambda *_: None
    )
    follower.start()
    serve_until(loop, lambda: applied)
    assert not follower.follows_reader()


# Guards against a router without state because its table differs and it queries no reader
# (hunt-2cb3-3).
def test_router_reads_the_store_if_the_queried_routers_do_not():
    loop = Loop()
    addresses = [free_address() for _ in range(3)]
    readers = select_readers([Candidate(address, True) for address in addresses])
    own = next(address for address in addresses if address not in readers)
    for address in readers:
        other = RelayServer(
            loop, loaded_replicas(loop), 1, lambda: False, lambda: False, lambda: False
        )
        Server(loop, address, other.serve)
    _, store = start_sync(loop, own, readers, loaded_replicas(loop))
    serve_until(loop, lambda: store.calls)


def start_reader(loop, others, has_found_peers=lambda: True):
    """Start a reader without state; return its synchronization and its store."""
    store = SilentStore()
    peers = KnownPeers(record(free_address()), others)
    parts = StoreSyncParts(
        loop, store, PLATFORM_ADAPTER, empty_replicas(), peers, has_found_peers=has_found_peers
    )
    sync = StoreSync(parts, lambda: None)
    sync.start()
    return sync, store


# Guards against a start from an older copy of the store while another router knows what it lost.
def test_start_waits_for_the_state_of_a_live_router():
    loop = Loop()
    address = free_address()
    sync, store = start_reader(loop, [record(address, has_state=True)])
    began_at = loop.now()
    serve_until(loop, lambda: loop.now() - began_at > 0.8)
    assert not store.calls
    other = RelayServer(loop, loaded_replicas(loop), 1, lambda: True, lambda: False, lambda: True)
    Server(loop, address, other.serve)
    serve_until(loop, lambda: store.calls)
    assert sync.has_state
    assert loop.now() - began_at < MAX_ASK_S


# Guards against a start that never ends because a router that has state does not respond.
def test_start_relies_on_the_store_if_no_router_responds():
    loop = Loop()
    began_at = loop.now()
    _, store = start_reader(loop, [record(free_address(), has_state=True)])
    serve_until(loop, lambda: store.calls)
    assert loop.now() - began_at >= MAX_ASK_S


# Guards against a start that asks only the seeds, which have just started as well.
def test_start_waits_for_the_routers_that_the_store_lists():
    loop = Loop()
    found = []
    _, store = start_reader(loop, [], lambda: bool(found))
    began_at = loop.now()
    serve_until(loop, lambda: loop.now() - began_at > 0.8)
    assert not store.calls
    found.append(True)
    serve_until(loop, lambda: store.calls)
    assert loop.now() - began_at < MAX_ASK_S
