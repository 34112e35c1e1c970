"""A fleet of routers whose links have limited bandwidth, in virtual time.

Calls use the router's own :class:`ResponseReader`, so its real timeouts apply.  A sender shares its
link among the transfers in turns, like the router's pacing; a receiver's link is a queue.
"""

import collections
import random

import msgspec

from martenrun.net.http import HttpResponse
from martenrun.router.store.client import ResponseReader

from .fleet_world import LINK_DELAY_S, FakeRequest, Fleet

STRONG_BYTES_PER_S = 25e6
WEAK_BYTES_PER_S = 1.25e6
STORE_BYTES_PER_S = 125e6
"""Link rates of strong and weak machines and of the store: 200 Mbit/s, 10 Mbit/s and 1 Gbit/s."""

CARRIED_SHARE = 0.5
"""Share of a link that responses to other routers get, next to requests and with pacing.

From measurements: 12.6 of 25 MB/s left a strong machine, 0.7 of 1.25 MB/s reached a weak one.
"""

STRONG_ROUTERS = 8
"""The first addresses, including the seeds, belong to strong machines."""

SLICE_BYTES = 16_384

ALPHABET = "abcdefghijkmnpqrstuvwxyz23456789"


class Receiver:
    """An incoming link that delivers in order."""

    def __init__(self, loop, bytes_per_s):
        self._loop = loop
        self._rate = bytes_per_s
        self._free_at = 0.0
        self.received = 0

    def carry(self, size, call):
        now = self._loop.now()
        self._free_at = max(now, self._free_at) + size / self._rate
        self.received += size
        self._loop.call_later(self._free_at - now, call)


class Sender:
    """An outgoing link that is shared in turns by the pending transfers."""

    def __init__(self, loop, bytes_per_s):
        self._loop = loop
        self._rate = bytes_per_s
        self._flows = collections.deque()
        self._is_busy = False
        self.sent = 0

    def add(self, flow):
        self._flows.append(flow)
        if not self._is_busy:
            self._serve()

    def _serve(self):
        while self._flows and self._flows[0].is_cut:
            self._flows.popleft()
        self._is_busy = bool(self._flows)
        if not self._is_busy:
            return
        flow = self._flows.popleft()
        part = flow.next_part()
        self.sent += len(part)
        if flow.has_more:
            self._flows.append(flow)
        self._loop.call_later(len(part) / self._rate, lambda: self._passed(flow, part))

    def _passed(self, flow, part):
        flow.receiver.carry(len(part), lambda: flow.arrive(part))
        self._serve()


class Flow:
    """One response in transit to the reader of a call."""

    def __init__(self, response, reader, receiver):
        self._response = response
        self._reader = reader
        self.receiver = receiver
        self._rest = memoryview(response.body or b" ")
        self._left = len(self._rest)
        self._has_begun = False
        self.is_cut = False

    @property
    def has_more(self):
        return bool(self._rest)

    def next_part(self):
        part, self._rest = self._rest[:SLICE_BYTES], self._rest[SLICE_BYTES:]
        return part

    def arrive(self, part):
        if self.is_cut:
            return
        if not self._has_begun:
            self._has_begun = True
            self._reader.on_head(self._response.status, self._response.headers, None)
        if self._response.body:
            self._reader.on_body(bytes(part))
        self._left -= len(part)
        if not self._left:
            self._reader.on_complete()


class Connection:
    """The client's end of one call."""

    def __init__(self):
        self.flow = None
        self.exchange = None

    def close(self):
        if self.flow is not None:
            self.flow.is_cut = True
        if self.exchange is not None and not self.exchange.is_over:
            self.exchange.is_over = True
            if self.exchange.on_disconnect is not None:
                self.exchange.on_disconnect()


class LinkedExchange:
    """One query of another router, answered over both routers' links."""

    def __init__(self, call, reply):
        self.request = FakeRequest(call.target, call.body)
        self.is_over = False
        self.on_disconnect = None
        self._reply = reply

    def respond(self, status, headers, body=b""):
        self.is_over = True
        self._reply(HttpResponse(status, headers, body))


class LinkedClient:
    """Client of another router, or of the store, over the links between them."""

    def __init__(self, fleet, requester, serve, sender):
        self._fleet = fleet
        self._requester = requester
        self._serve = serve
        self._sender = sender
        self.era = 0

    def call(self, call, timeout_s, on_response, *more):
        loop = self._fleet.loop
        connection = Connection()
        reader = ResponseReader(loop, timeout_s, on_response, *more)
        reader.connection = connection

        def reply(response):
            flow = connection.flow = Flow(response, reader, self._fleet.receivers[self._requester])
            self._sender().add(flow)

        loop.call_later(LINK_DELAY_S, lambda: self._serve(call, connection, reply))


class LinkedFleet(Fleet):
    """Routers on strong and weak machines, whose responses take time on their links."""

    def __init__(self, seed, count, zones=4):
        super().__init__(seed, count, zones)
        rates = {
            address: STRONG_BYTES_PER_S if number < STRONG_ROUTERS else WEAK_BYTES_PER_S
            for number, address in enumerate(self.addresses)
        }
        self.capacities = {
            address: 2.15 if rate == STRONG_BYTES_PER_S else 0.5 for address, rate in rates.items()
        }
        self.senders = {
            address: Sender(self.loop, rate * CARRIED_SHARE) for address, rate in rates.items()
        }
        self.receivers = {
            address: Receiver(self.loop, rate * CARRIED_SHARE) for address, rate in rates.items()
        }
        self.store_link = Sender(self.loop, STORE_BYTES_PER_S)

    def start(self, address):
        super().start(address)
        self.members[address].sync._peers.own.capacity = self.capacities[address]

    def store_client(self, address):
        def serve(call, _connection, reply):
            self.store.calls.append((self.loop.now(), address, call.target))
            self.store.serve(call, reply)

        return LinkedClient(self, address, serve, lambda: self.store_link)

    def peer_client(self, requester, address):
        def serve(call, connection, reply):
            router = self.members.get(address)
            if router is not None:
                connection.exchange = LinkedExchange(call, reply)
                router.sync.relay.serve(connection.exchange)

        return LinkedClient(self, requester, serve, lambda: self.senders[address])

    def change_configuration(self, routes):
        """Store a configuration with this number of routes."""
        self.store.configuration = large_configuration(routes, self.store.revision)
        self.store.change("config")

    def outdated(self):
        """Return the routers that do not have the store's newest configuration."""
        revision = self.store._changed_at["config"]
        return [
            address
            for address, router in self.members.items()
            if all(item.revision < revision for item in router.configuration.objects)
        ]


def large_configuration(routes, version):
    """Return a configuration like the operator's, about 250 bytes per route.

    Names and paths are random, so that they compress no better than the operator's.
    """
    rng = random.Random(routes)
    names = ["".join(rng.choices(ALPHABET, k=8)) for _ in range(2 * routes)]
    return {
        "version": version,
        "routes": [
            {
                "name": f"r-{names[2 * number]}",
                "hostname": f"host{number % 9}.example",
                "path_prefix": f"/{names[2 * number + 1]}/",
                "kind": "stream",
                "timeout_ms": 12_000,
                "target_latency_ms": 515,
                "priority": number % 3,
                "service": f"service-{number % 2}",
                "max_attempts": 2,
                "no_auth": False,
                "sticky": True,
                "resumable": True,
                "gap_target_ms": 500,
            }
            for number in range(routes)
        ],
        "services": [],
        "tenants": [{"name": "growers", "api_keys": ["key"], "priority": 1}],
    }


def size_of(spec):
    """Return the encoded size of a configuration in bytes."""
    return len(msgspec.json.encode(spec))
