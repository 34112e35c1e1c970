"""Routers that keep the origins of streams, in virtual time over a lossy network."""

import random

import attrs

from martenrun.router.origins.exchange import OriginExchange
from martenrun.router.origins.messages import OriginMessage
from martenrun.router.origins.owners import OriginOwners
from martenrun.router.origins.table import StreamOrigin, stream_key
from martenrun.router.peer_messages import decode, encode

from .fakes import FakeLoop
from .gossip_world import router_record

MAINTENANCE_S = 0.25
DETECTION_S = 2.0
LIFETIME_S = 15.0


class Members:
    """One router's view of the others: a router that was killed counts as alive for a while."""

    def __init__(self, world, own):
        self._world = world
        self.own = own

    def live(self):
        now = self._world.loop.now()
        return [
            router.record
            for router in self._world.routers.values()
            if router.record is not self.own
            and (router.ended_at is None or now - router.ended_at < DETECTION_S)
        ]


@attrs.define(eq=False)
class OriginRouter:
    record: object
    exchange: OriginExchange = None
    ended_at: float | None = None
    is_suspended: bool = False
    waiting: list = attrs.field(factory=list)


class OriginWorld:
    """Routers by address.

    Args:
        loss: share of datagrams that are lost.
    """

    def __init__(self, count, seed=1, loss=0.0, delay_s=0.0015):
        self.loop = FakeLoop()
        self.rng = random.Random(seed)
        self.loss = loss
        self.delay_s = delay_s
        self.is_mixed = True
        self.routers = {}
        self.groups = {}
        self.datagrams = self.bytes = 0
        self.sent = []
        for number in range(count):
            self.start(f"r{number}")
        self.run(1.0)

    @property
    def addresses(self):
        return [a for a, router in self.routers.items() if router.ended_at is None]

    def start(self, address, **changes):
        before = self.routers.get(address)
        incarnation = 1 if before is None else before.record.incarnation + 1
        record = router_record(
            address, incarnation=incarnation, **{"keeps_stream_software": True, **changes}
        )
        router = self.routers[address] = OriginRouter(record)
        owners = OriginOwners(self.loop.now, Members(self, record))
        router.exchange = OriginExchange(
            self.loop, Network(self, address), address, owners, lambda _service: self.is_mixed
        )
        self._maintain(router)

    def _maintain(self, router):
        if router.ended_at is None:
            if not router.is_suspended:
                router.exchange.run_maintenance()
            self.loop.call_later(MAINTENANCE_S, lambda: self._maintain(router))

    def kill(self, address):
        self.routers[address].ended_at = self.loop.now()

    def suspend(self, address):
        self.routers[address].is_suspended = True

    def cut_off(self, addresses):
        """Let these routers reach only each other."""
        self.groups = dict.fromkeys(addresses, 1)

    def run(self, seconds):
        self.loop.run_until(self.loop.time + seconds)

    def begin(self, address, name, software="v1", sent_after_ms=2, lifetime_s=LIFETIME_S):
        """Let a router record a stream's origin."""
        expires_at = self.loop.now() + lifetime_s
        origin = StreamOrigin("s", software, sent_after_ms, expires_at)
        self.routers[address].exchange.record(stream_key("t", name.encode()), origin)

    def find(self, address, name, tenant="t"):
        """Return the software version that a router finds, and how long the search took."""
        found = []
        began_at = self.loop.now()
        key = stream_key(tenant, name.encode())

        def on_found(origin):
            found.append((None if origin is None else origin.software, self.loop.now() - began_at))

        self.routers[address].exchange.find(key, on_found)
        self.run(0.5)
        assert len(found) == 1
        return found[0]

    def deliver(self, sender, address, message):
        data = encode(message)
        self.datagrams += 1
        self.bytes += len(data)
        self.sent.append((sender, address, message))
        if self.rng.random() < self.loss:
            return
        if self.groups.get(sender) != self.groups.get(address):
            return
        self.loop.call_later(self.delay_s, lambda: self._arrive(address, data))

    def _arrive(self, address, data):
        router = self.routers.get(address)
        if router is None or router.ended_at is not None:
            return
        if router.is_suspended:
            router.waiting.append(data)
            return
        message = decode(data)
        assert isinstance(message, OriginMessage)
        router.exchange.handle_message(message)


@attrs.frozen
class Network:
    world: OriginWorld
    address: str

    def send(self, addresses, message):
        for address in addresses:
            self.world.deliver(self.address, address, message)
