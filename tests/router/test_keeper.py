"""A router gets the store's state whichever routers it considers readers."""

from martenrun.net.loop import Loop
from martenrun.net.server import Server
from martenrun.platform import DIALECT
from martenrun.router.dataset_copy import CopyListener, DatasetCopy
from martenrun.router.keeper import Keeper, KeeperParts
from martenrun.router.messages import Dataset
from martenrun.router.readers import Candidate, chosen_readers
from martenrun.router.relay import RelaySource
from martenrun.router.relay_follower import RelayFollower

from .loopback import free_address, serve_until
from .test_peers import record


class FewPeers:
    """The routers that one router knows; ``own`` is its own record."""

    def __init__(self, own, others):
        self.own = own
        self.others = others

    def live(self):
        return self.others

    def tell_now(self):
        return None


class SilentStore:
    """Counts the calls and does not respond."""

    def __init__(self):
        self.calls = 0

    def call(self, _call, _timeout_s, _on_answer, *_more):
        self.calls += 1


def known_copies(loop):
    listener = CopyListener(lambda _: None, lambda _: None, lambda: None)
    copies = {dataset: DatasetCopy(dataset, listener) for dataset in Dataset}
    del copies[Dataset.LEASES]
    for copy in copies.values():
        copy.replace([], 1, False, loop.now())
        copy.confirm(loop.now())
    return copies


def started_keeper(loop, own, others, copies):
    """Return the keeper of a router that follows, serving at its address, and its store."""
    store = SilentStore()
    peers = FewPeers(record(own), [record(address) for address in others])
    keeper = Keeper(KeeperParts(loop, store, DIALECT, copies, peers), lambda: None)
    Server(loop, own, keeper.relay.serve)
    for follower in keeper._followers:
        follower.stop()
    keeper._check()
    return keeper, store


# Guards against store calls of routers that query a follower, because their tables differ briefly.
def test_follower_of_a_reader_relays_to_its_own_followers():
    loop = Loop()
    addresses = [free_address() for _ in range(3)]
    everyone = [Candidate(address, True) for address in addresses]
    readers = chosen_readers(everyone)
    own = next(address for address in addresses if address not in readers)
    read = known_copies(loop)
    for address in readers:
        reader = RelaySource(loop, read, 1, lambda: True, lambda: False, lambda: True)
        Server(loop, address, reader.serve)
    keeper, _ = started_keeper(loop, own, readers, known_copies(loop))
    serve_until(loop, keeper._relay_follower.follows_reader)
    followed = known_copies(loop)
    taken = []
    stranger = RelayFollower(
        loop, followed, lambda: own, lambda: taken.append(True), lambda *_: None
    )
    stranger.start()
    serve_until(loop, lambda: taken)
    assert not stranger.follows_reader()


# Guards against a router without state because its table differs and it queries no reader.
def test_router_reads_the_store_if_the_queried_routers_do_not():
    loop = Loop()
    addresses = [free_address() for _ in range(3)]
    readers = chosen_readers([Candidate(address, True) for address in addresses])
    own = next(address for address in addresses if address not in readers)
    for address in readers:
        other = RelaySource(
            loop, known_copies(loop), 1, lambda: False, lambda: False, lambda: False
        )
        Server(loop, address, other.serve)
    _, store = started_keeper(loop, own, readers, known_copies(loop))
    serve_until(loop, lambda: store.calls)
