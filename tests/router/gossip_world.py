"""Routers that gossip in virtual time over a lossy network, with joins, crashes and suspensions."""

import random

from martenrun.router.peer_messages import RouterRecord, decode
from martenrun.router.peers import Peers

from .fakes import FakeLoop


def router_record(address, incarnation=1, beat=0, **changes):
    """Return a record of a router that is not leaving and can reach the store."""
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
    """The world's clock as one router sees it; ``late_s`` is the delay of its event loop."""

    def __init__(self, loop):
        self._loop = loop
        self.late_s = 0.0

    def now(self):
        return self._loop.now()

    def call_later(self, delay_s, call):
        return self._loop.call_later(delay_s, call)


class PlayedPeers(Peers):
    """The peers of one router, on the simulated network."""

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
        """Handle a datagram, or keep it in the socket while this router is suspended."""
        if self.is_still:
            self.waiting.append(data)
        elif not self.is_off:
            self._take(decode(data), self._loop.now() - self._loop.late_s)

    def named(self):
        """Return the addresses of the routers that this one considers alive."""
        return [record.address for record in self.live()]


class GossipWorld:
    """Routers by address, with a simulated network.

    Args:
        delays_s: possible delays of a datagram; one is drawn for each copy.
        copies: possible numbers of copies of a datagram; one is drawn for each datagram.
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
        """Return the seconds since the start of the simulation."""
        return self.loop.time - self.began

    def start(self, address, seeds=(), zone="z", **changes):
        """Start a router, replacing an earlier one at the address; ``changes`` of its record."""
        if address in self.routers:
            self.stop(address)
        self.lives += 1
        own = router_record(address, incarnation=self.lives, zone=zone, **changes)
        self.routers[address] = PlayedPeers(self, own, tuple(seeds))
        self.routers[address].start()

    def stop(self, address):
        """Kill a router, without any message to the others."""
        self.routers[address].is_off = True

    def stand_still(self, address):
        """Suspend a router's process; datagrams sent to it wait."""
        self.routers[address].is_still = True

    def go_on(self, address, late_s):
        """Resume a router's process: it handles the waiting datagrams, then the overdue timer."""
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
        """Deliver a datagram over the network."""
        for _ in range(self.rng.choice(self._copies)):
            delay_s = self.rng.choice(self._delays_s)
            self.loop.call_later(delay_s, lambda: self._arrive(address, data))

    def run(self, seconds):
        """Advance the virtual time."""
        self.loop.run_until(self.loop.time + seconds)

    def alive(self):
        """Return the running routers."""
        return [peers for peers in self.routers.values() if not peers.is_off]

    def _arrive(self, address, data):
        peers = self.routers.get(address)
        if peers is not None:
            peers.take_datagram(data)
