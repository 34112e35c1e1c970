"""Routers that gossip, read the store and relay state, in virtual time, without sockets."""

import random
from urllib.parse import parse_qs, urlsplit

import msgspec

from martenrun.net.http import HttpResponse
from martenrun.platform import PLATFORM_ADAPTER
from martenrun.router.messages import Dataset
from martenrun.router.store.replica import DatasetReplica, ReplicaListener
from martenrun.router.store.sync import StoreSync, StoreSyncParts

from .gossip_world import GossipWorld

DATASETS = (Dataset.CONFIGURATION, Dataset.RUNNERS, Dataset.WEIGHTS, Dataset.CRASH_RECORDS)
STORE_DELAY_S = 0.004
LINK_DELAY_S = 0.002
RUNNERS = 64


class CountingStore:
    """The platform's store with lists and watches; records its calls."""

    def __init__(self, loop):
        self.loop = loop
        self.calls = []
        self.is_down = False
        self.configuration = {}
        self.revision = RUNNERS
        self._changed_at = {"servers": RUNNERS}
        self._watches = []

    def client(self, address):
        """Return the store client of one router."""
        return StoreClient(self, address)

    def change(self, kind="servers"):
        """Change one object of a kind, which completes the watches of that kind."""
        self.revision += 1
        self._changed_at[kind] = self.revision
        due = [respond for of, respond in self._watches if of == kind]
        self._watches = [item for item in self._watches if item[0] != kind]
        for respond in due:
            respond()

    def serve(self, call, on_response):
        """Respond to one call."""
        url = urlsplit(call.target.decode())
        kind = url.path.rsplit("/", 1)[-1]
        query = parse_qs(url.query)
        if self.is_down:
            self._respond(on_response, 503, {})
        elif "watch" not in query:
            names = [f"i-{n}" for n in range(RUNNERS)] if kind == "servers" else ["main"]
            items = [self._item(name) for name in names]
            self._respond(on_response, 200, {"items": items, "more": False, "at": self.revision})
        else:
            self._watch(kind, int(query["watch"][0]), int(query["wait_ms"][0]) / 1000, on_response)

    def _watch(self, kind, after, wait_s, on_response):
        has_responded = []

        def respond():
            if has_responded:
                return
            has_responded.append(True)
            has_changed = self._changed_at.get(kind, 0) > after
            events = [{"object": self._changed_item(kind), "gone": False}] if has_changed else []
            self._respond(on_response, 200, {"events": events, "at": self.revision})

        if self._changed_at.get(kind, 0) > after:
            respond()
        else:
            self._watches.append((kind, respond))
            self.loop.call_later(wait_s, respond)

    def _changed_item(self, kind):
        return self._item("i-0" if kind == "servers" else "main")

    def _item(self, name):
        spec = self.configuration if name == "main" else {}
        return {"metadata": {"name": name, "revision": self.revision}, "spec": spec}

    def _respond(self, on_response, status, body):
        response = HttpResponse(status, [], msgspec.json.encode(body))
        self.loop.call_later(STORE_DELAY_S, lambda: on_response(response))


class StoreClient:
    """One router's store client."""

    def __init__(self, store, address):
        self._store = store
        self._address = address
        self.era = 0

    def call(self, call, timeout_s, on_response, *_more):
        self._store.calls.append((self._store.loop.now(), self._address, call.target))
        once = first_response_only(on_response)
        self._store.loop.call_later(timeout_s, lambda: once(None))
        self._store.serve(call, once)


def first_response_only(on_response):
    """Return a callback that passes on the first response only."""
    responses = []

    def forward(response):
        if not responses:
            responses.append(response)
            on_response(response)

    return forward


class FakeExchange:
    """One query of another router, answered over a link."""

    def __init__(self, fleet, call, on_response):
        self.request = FakeRequest(call.target, call.body)
        self.is_over = False
        self.on_disconnect = None
        self._fleet = fleet
        self._on_response = on_response

    def respond(self, status, headers, body=b""):
        self.is_over = True
        response = HttpResponse(status, headers, body)
        self._fleet.loop.call_later(LINK_DELAY_S, lambda: self._on_response(response))


class FakeRequest:
    def __init__(self, target, body):
        self.target = target
        self.body = body


class PeerClient:
    """Client for queries to one router."""

    def __init__(self, fleet, address):
        self._fleet = fleet
        self._address = address

    def call(self, call, timeout_s, on_response, *_more):
        loop = self._fleet.loop
        self._fleet.queries += 1
        once = first_response_only(on_response)
        loop.call_later(timeout_s, lambda: once(None))
        loop.call_later(LINK_DELAY_S, lambda: self._arrive(call, once))

    def _arrive(self, call, on_response):
        router = self._fleet.members.get(self._address)
        if router is None:
            # The machine is up and resets connections to a process that is not running.
            self._fleet.loop.call_later(LINK_DELAY_S, lambda: on_response(None))
        else:
            router.sync.relay.serve(FakeExchange(self._fleet, call, on_response))


class SimulatedRouter:
    """One router's replicas and the component that keeps them current."""

    def __init__(self, fleet, address, seeds):
        listener = ReplicaListener(lambda _: None, lambda _: None, lambda: None)
        self.replicas = {dataset: DatasetReplica(dataset, listener) for dataset in DATASETS}
        peers = fleet.world.routers[address]
        peers._refresh = self._refresh
        self.sync = StoreSync(
            StoreSyncParts(
                fleet.loop,
                fleet.store_client(address),
                PLATFORM_ADAPTER,
                self.replicas,
                peers,
                seeds,
                make_client=lambda _loop, other: fleet.peer_client(address, other),
                rng=random.Random(fleet.world.rng.random()),
            ),
            lambda: None,
        )
        self.sync.start()

    @property
    def configuration(self):
        """This router's replica of the configuration."""
        return self.replicas[Dataset.CONFIGURATION]

    def _refresh(self, own):
        own.reads_store = self.sync.reads_store
        own.has_lost_store = self.sync.has_lost_store
        own.has_state = self.sync.has_state

    def age_s(self, now):
        """Return the age of this router's configuration; infinite while it has none."""
        confirmed_at = self.replicas[Dataset.CONFIGURATION].confirmed_at
        return float("inf") if confirmed_at is None else now - confirmed_at


class Fleet:
    """Routers in several zones, and the store."""

    def __init__(self, seed, count, zones=5):
        self.world = GossipWorld(seed)
        self.loop = self.world.loop
        self.store = CountingStore(self.loop)
        self.members = {}
        self.queries = 0
        self.zones = {f"10.{n % zones}.0.{n // zones}:7": f"z{n % zones}" for n in range(count)}
        self.addresses = list(self.zones)

    def store_client(self, address):
        """Return the store client of a router."""
        return self.store.client(address)

    def peer_client(self, _requester, address):
        """Return a router's client for queries to another one."""
        return PeerClient(self, address)

    def start(self, address):
        """Start a router, replacing an earlier incarnation at its address."""
        seeds = tuple(self.addresses[:3])
        self.world.start(address, seeds, self.zones[address])
        self.members[address] = SimulatedRouter(self, address, seeds)

    def start_all(self, addresses=None, within_s=0.3):
        """Start routers at random times within a period."""
        for address in addresses or self.addresses:
            delay_s = self.world.rng.uniform(0.0, within_s)
            self.loop.call_later(delay_s, lambda address=address: self.start(address))

    def stop(self, address):
        """Kill a router's process."""
        self.world.stop(address)
        router = self.members.pop(address)
        for follower in router.sync._followers:
            follower.stop()
        router.sync._relay_follower.stop()
        router.sync._plan = lambda _now: None
        router.sync._mark_store_lost = lambda _now: None

    def readers(self):
        """Return the addresses of the store readers."""
        return [a for a, router in self.members.items() if router.sync.reads_store]

    def max_age_s(self):
        """Return the age of the oldest configuration in the fleet."""
        return max(router.age_s(self.loop.now()) for router in self.members.values())
