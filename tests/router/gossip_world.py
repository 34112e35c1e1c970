"""Routers that gossip in virtual time over a lossy network, with joins, crashes and suspensions."""

import random

from martenrun.router.peer_messages import RouterRecord, decode
from martenrun.router.peers import Peers

from .fakes import FakeLoop


def router_record(address, incarnation=1, heartbeat=0, **changes):
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
        address=address, incarnation=incarnation, heartbeat=heartbeat, **{**fields, **changes}
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


class SimulatedPeers(Peers):
    """The peers of one router, on the simulated network."""

    def __init__(self, world, own, seeds):
        self.world = world
        self.is_stopped = False
        self.is_suspended = False
        self.waiting = []
        self.has_missed_tick = False
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
        if self.is_suspended:
            self.has_missed_tick = True
        elif not self.is_stopped:
            super()._tick()

    def receive_datagram(self, data):
        """Handle a datagram, or keep it in the socket while this router is suspended."""
        if self.is_suspended:
            self.waiting.append(data)
        elif not self.is_stopped:
            self._handle_message(decode(data), self._loop.now() - self._loop.late_s)

    def live_addresses(self):
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
        self.started_at = self.loop.time
        self.routers = {}
        self.incarnations = 0
        self._delays_s = delays_s
        self._copies = copies

    def now(self):
        """Return the seconds since the start of the simulation."""
        return self.loop.time - self.started_at

    def start(self, address, seeds=(), zone="z", **changes):
        """Start a router, replacing an earlier one at the address; ``changes`` of its record."""
        if address in self.routers:
            self.stop(address)
        self.incarnations += 1
        own = router_record(address, incarnation=self.incarnations, zone=zone, **changes)
        self.routers[address] = SimulatedPeers(self, own, tuple(seeds))
        self.routers[address].start()

    def stop(self, address):
        """Kill a router, without any message to the others."""
        self.routers[address].is_stopped = True

    def suspend(self, address):
        """Suspend a router's process; datagrams sent to it wait."""
        self.routers[address].is_suspended = True

    def resume(self, address, late_s):
        """Resume a router's process: it handles the waiting datagrams, then the overdue timer."""
        peers = self.routers[address]
        peers.is_suspended = False
        peers._loop.late_s = late_s
        waiting, peers.waiting = peers.waiting, []
        for data in waiting:
            peers.receive_datagram(data)
        peers._loop.late_s = 0.0
        if peers.has_missed_tick:
            peers.has_missed_tick = False
            peers._tick()

    def send(self, address, data):
        """Deliver a datagram over the network."""
        for _ in range(self.rng.choice(self._copies)):
            delay_s = self.rng.choice(self._delays_s)
            self.loop.call_later(delay_s, lambda: self._arrive(address, data))

    def run(self, seconds):
        """Advance the virtual time."""
        self.loop.run_until(self.loop.time + seconds)

    def running(self):
        """Return the running routers."""
        return [peers for peers in self.routers.values() if not peers.is_stopped]

    def _arrive(self, address, data):
        peers = self.routers.get(address)
        if peers is not None:
            peers.receive_datagram(data)
