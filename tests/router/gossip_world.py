"""Routers that gossip in virtual time: datagrams late, lost, doubled; joins, ends, stand-stills."""

import random

from martenrun.router.peer_messages import RouterRecord, decode
from martenrun.router.peers import Peers

from .fakes import FakeLoop


def router_record(address, incarnation=1, beat=0, **changes):
    """A record of a router that stays and knows the store."""
    fields = {
        "front": "f" + address,
        "zone": "z",
        "is_leaving": False,
        "is_current": True,
        "has_lost_store": False,
        "lease_revision": 0,
        "lease_token": 0,
        "loads": {},
        "weights": {},
    }
    return RouterRecord(
        address=address, incarnation=incarnation, beat=beat, **{**fields, **changes}
    )


class PeerLoop:
    """The world's clock as one router sees it; ``late_s`` is how late its loop has come around."""

    def __init__(self, loop):
        self._loop = loop
        self.late_s = 0.0

    def now(self):
        return self._loop.now()

    def call_later(self, delay_s, call):
        return self._loop.call_later(delay_s, call)


class PlayedPeers(Peers):
    """The peers of one router, on the network of a world."""

    def __init__(self, world, own, seeds):
        self.world = world
        self.is_off = False
        self.is_still = False
        self.waiting = []
        self.misses_tick = False
        super().__init__(
            PeerLoop(world.loop),
            own,
            seeds,
            lambda _: None,
            lambda _: None,
            lambda: None,
            lambda _: None,
        )
        self._rng = random.Random(world.rng.random())

    def _open(self, address):
        return None

    def _send(self, address, data):
        self.world.send(address, data)

    def _tick(self):
        if self.is_still:
            self.misses_tick = True
        elif not self.is_off:
            super()._tick()

    def take_datagram(self, data):
        """Take a datagram in, or leave it in the socket while this router stands still."""
        if self.is_still:
            self.waiting.append(data)
        elif not self.is_off:
            self._take(decode(data), self._loop.now() - self._loop.late_s)

    def named(self):
        """Return the addresses of the routers that this one counts as alive."""
        return [record.address for record in self.live()]


class GossipWorld:
    """Some routers, by address.

    Args:
        delays_s: how long datagrams are on their way; one is drawn for each copy.
        copies: how many copies of a datagram arrive; one is drawn for each datagram.
    """

    def __init__(self, seed, delays_s=(0.002,), copies=(1,)):
        self.rng = random.Random(seed)
        self.loop = FakeLoop()
        self.began = self.loop.time
        self.routers = {}
        self.lives = 0
        self._delays_s = delays_s
        self._copies = copies

    def now(self):
        """Return the seconds since the world began."""
        return self.loop.time - self.began

    def start(self, address, seeds=(), zone="z", **changes):
        """Start a router, in place of an earlier one at the address; ``changes`` of its record."""
        if address in self.routers:
            self.stop(address)
        self.lives += 1
        own = router_record(address, incarnation=self.lives, zone=zone, **changes)
        self.routers[address] = PlayedPeers(self, own, tuple(seeds))
        self.routers[address].start()

    def stop(self, address):
        """Let a router go without a word."""
        self.routers[address].is_off = True

    def stand_still(self, address):
        """Stop a router's process; what is sent to it waits."""
        self.routers[address].is_still = True

    def go_on(self, address, late_s):
        """Let a router's process go on: it reads what has waited, then does what was due."""
        peers = self.routers[address]
        peers.is_still = False
        peers._loop.late_s = late_s
        waiting, peers.waiting = peers.waiting, []
        for data in waiting:
            peers.take_datagram(data)
        peers._loop.late_s = 0.0
        if peers.misses_tick:
            peers.misses_tick = False
            peers._tick()

    def send(self, address, data):
        """Carry a datagram."""
        for _ in range(self.rng.choice(self._copies)):
            delay_s = self.rng.choice(self._delays_s)
            self.loop.call_later(delay_s, lambda: self._arrive(address, data))

    def run(self, seconds):
        """Let some time pass."""
        self.loop.run_until(self.loop.time + seconds)

    def alive(self):
        """Return the routers that run."""
        return [peers for peers in self.routers.values() if not peers.is_off]

    def _arrive(self, address, data):
        peers = self.routers.get(address)
        if peers is not None:
            peers.take_datagram(data)
