"""Routers that gossip, read the store and relay state, in virtual time, without sockets."""

import random
from urllib.parse import parse_qs, urlsplit

import msgspec

from martenrun.net.http import HttpAnswer
from martenrun.platform import DIALECT
from martenrun.router.dataset_copy import CopyListener, DatasetCopy
from martenrun.router.keeper import Keeper, KeeperParts
from martenrun.router.messages import Dataset

from .gossip_world import GossipWorld

DATASETS = (Dataset.CONFIGURATION, Dataset.RUNNERS, Dataset.WEIGHTS, Dataset.BLAME)
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

    def caller(self, address):
        """Return the store client of one router."""
        return StoreCaller(self, address)

    def change(self, kind="servers"):
        """Change one object of a kind, which completes the watches of that kind."""
        self.revision += 1
        self._changed_at[kind] = self.revision
        due = [answer for of, answer in self._watches if of == kind]
        self._watches = [item for item in self._watches if item[0] != kind]
        for answer in due:
            answer()

    def serve(self, call, on_answer):
        """Respond to one call."""
        url = urlsplit(call.target.decode())
        kind = url.path.rsplit("/", 1)[-1]
        query = parse_qs(url.query)
        if self.is_down:
            self._answer(on_answer, 503, {})
        elif "watch" not in query:
            names = [f"i-{n}" for n in range(RUNNERS)] if kind == "servers" else ["main"]
            items = [self._item(name) for name in names]
            self._answer(on_answer, 200, {"items": items, "more": False, "at": self.revision})
        else:
            self._watch(kind, int(query["watch"][0]), int(query["wait_ms"][0]) / 1000, on_answer)

    def _watch(self, kind, after, wait_s, on_answer):
        is_answered = []

        def answer():
            if is_answered:
                return
            is_answered.append(True)
            has_news = self._changed_at.get(kind, 0) > after
            events = [{"object": self._changed_item(kind), "gone": False}] if has_news else []
            self._answer(on_answer, 200, {"events": events, "at": self.revision})

        if self._changed_at.get(kind, 0) > after:
            answer()
        else:
            self._watches.append((kind, answer))
            self.loop.call_later(wait_s, answer)

    def _changed_item(self, kind):
        return self._item("i-0" if kind == "servers" else "main")

    def _item(self, name):
        spec = self.configuration if name == "main" else {}
        return {"metadata": {"name": name, "revision": self.revision}, "spec": spec}

    def _answer(self, on_answer, status, body):
        answer = HttpAnswer(status, [], msgspec.json.encode(body))
        self.loop.call_later(STORE_DELAY_S, lambda: on_answer(answer))


class StoreCaller:
    """One router's store client."""

    def __init__(self, store, address):
        self._store = store
        self._address = address

    def call(self, call, timeout_s, on_answer, *_more):
        self._store.calls.append((self._store.loop.now(), self._address, call.target))
        once = answered_once(on_answer)
        self._store.loop.call_later(timeout_s, lambda: once(None))
        self._store.serve(call, once)


def answered_once(on_answer):
    """Return a callback that passes on the first response only."""
    answers = []

    def answer(given):
        if not answers:
            answers.append(given)
            on_answer(given)

    return answer


class FakeExchange:
    """One query of another router, answered over a link."""

    def __init__(self, fleet, call, on_answer):
        self.request = Question(call.target, call.body)
        self.is_over = False
        self.on_gone = None
        self._fleet = fleet
        self._on_answer = on_answer

    def respond(self, status, headers, body=b""):
        self.is_over = True
        answer = HttpAnswer(status, headers, body)
        self._fleet.loop.call_later(LINK_DELAY_S, lambda: self._on_answer(answer))


class Question:
    def __init__(self, target, body):
        self.target = target
        self.body = body


class PeerCaller:
    """Client for queries to one router."""

    def __init__(self, fleet, address):
        self._fleet = fleet
        self._address = address

    def call(self, call, timeout_s, on_answer, *_more):
        loop = self._fleet.loop
        self._fleet.questions += 1
        once = answered_once(on_answer)
        loop.call_later(timeout_s, lambda: once(None))
        loop.call_later(LINK_DELAY_S, lambda: self._arrive(call, once))

    def _arrive(self, call, on_answer):
        router = self._fleet.members.get(self._address)
        if router is None:
            # The machine is up and resets connections to a process that is not running.
            self._fleet.loop.call_later(LINK_DELAY_S, lambda: on_answer(None))
        else:
            router.keeper.relay.serve(FakeExchange(self._fleet, call, on_answer))


class KeptRouter:
    """One router's replicas and the component that keeps them current."""

    def __init__(self, fleet, address, seeds):
        listener = CopyListener(lambda _: None, lambda _: None, lambda: None)
        self.copies = {dataset: DatasetCopy(dataset, listener) for dataset in DATASETS}
        peers = fleet.world.routers[address]
        peers._refresh = self._refresh
        self.keeper = Keeper(
            KeeperParts(
                fleet.loop,
                fleet.store_caller(address),
                DIALECT,
                self.copies,
                peers,
                seeds,
                lambda _loop, other: fleet.peer_caller(address, other),
                random.Random(fleet.world.rng.random()),
            ),
            lambda: None,
        )
        self.keeper.start()

    @property
    def configuration(self):
        """This router's replica of the configuration."""
        return self.copies[Dataset.CONFIGURATION]

    def _refresh(self, own):
        own.reads_store = self.keeper.reads_store
        own.has_lost_store = self.keeper.has_lost_store

    def age_s(self, now):
        """Return the age of this router's configuration; infinite while it has none."""
        confirmed_at = self.copies[Dataset.CONFIGURATION].confirmed_at
        return float("inf") if confirmed_at is None else now - confirmed_at


class Fleet:
    """Routers in several zones, and the store."""

    def __init__(self, seed, count, zones=5):
        self.world = GossipWorld(seed)
        self.loop = self.world.loop
        self.store = CountingStore(self.loop)
        self.members = {}
        self.questions = 0
        self.zones = {f"10.{n % zones}.0.{n // zones}:7": f"z{n % zones}" for n in range(count)}
        self.addresses = list(self.zones)

    def store_caller(self, address):
        """Return the store client of a router."""
        return self.store.caller(address)

    def peer_caller(self, _asker, address):
        """Return a router's client for queries to another one."""
        return PeerCaller(self, address)

    def start(self, address):
        """Start a router, replacing an earlier incarnation at its address."""
        seeds = tuple(self.addresses[:3])
        self.world.start(address, seeds, self.zones[address])
        self.members[address] = KeptRouter(self, address, seeds)

    def start_all(self, addresses=None, within_s=0.3):
        """Start routers at random times within a period."""
        for address in addresses or self.addresses:
            delay_s = self.world.rng.uniform(0.0, within_s)
            self.loop.call_later(delay_s, lambda address=address: self.start(address))

    def stop(self, address):
        """Kill a router's process."""
        self.world.stop(address)
        router = self.members.pop(address)
        for follower in router.keeper._followers:
            follower.stop()
        router.keeper._relay_follower.stop()
        router.keeper._plan = lambda _now: None
        router.keeper._lose_store = lambda _now: None

    def readers(self):
        """Return the addresses of the store readers."""
        return [a for a, router in self.members.items() if router.keeper.reads_store]

    def oldest_s(self):
        """Return the age of the oldest configuration in the fleet."""
        return max(router.age_s(self.loop.now()) for router in self.members.values())
