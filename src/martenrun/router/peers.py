"""The routers of a deployment, known to each other by gossip over UDP.

Every router raises the beat of its own record and sends the records it knows to a few others at
a time; newer records replace older ones.  A record whose beat has not risen for a while counts as
dead.  Loads of runners travel in the records; news that cannot wait goes to all at once.
"""

import random
import socket
import time
from collections.abc import Callable

import msgspec

from martenrun.net.loop import READ, Loop
from martenrun.router.log import log_event, log_trouble

GOSSIP_INTERVAL_S = 0.3
"""How often a router of a small deployment sends its records, in seconds."""

FULL_RATE_ROUTERS = 16
SLOWEST_RATE = 4.0
"""Above so many routers the interval grows with their number, up to SLOWEST_RATE times.

What a router receives then stays the same; at most the news of others gets older.
"""

DEAD_AFTER_S = 2.0
"""Time without a newer record until a router of a small deployment counts as dead, in seconds."""

FORGOTTEN_AFTER_S = 20.0
"""Time until a dead router is no longer counted among those that may spend retries."""

RECORDS_PER_DATAGRAM = 16
"""Most records in one datagram; the newest go first."""

UNKNOWN_COUNT = 16
"""Routers reckoned with until others have been heard for SETTLING_S seconds."""

SETTLING_S = 2.0

LONGEST_DATAGRAM = 60_000


class RunnerLoad(msgspec.Struct, array_like=True, frozen=True):
    """What one router has given a runner to do.

    Attributes:
        requests: requests under way there.
        tokens_to_read: tokens of their prompts that are still to be read.
        tokens_held: tokens of memory that they take.
    """

    requests: int
    tokens_to_read: int
    tokens_held: int


class RouterRecord(msgspec.Struct, array_like=True):
    """What a router tells of itself.

    ``lease_revision`` and ``lease_token`` tell of the lease on orders while it holds that, else 0;
    ``loads`` tells what it has given each runner to do;
    ``weights`` tells for each model how long the router has known of its last versions, as
    (version, milliseconds).
    """

    address: str
    incarnation: int
    beat: int
    front: str
    zone: str
    is_leaving: bool
    is_current: bool
    has_lost_store: bool
    lease_revision: int
    lease_token: int
    loads: dict[str, RunnerLoad]
    weights: dict[str, list[tuple[int, int]]]


class Gossip(msgspec.Struct, array_like=True, tag="gossip"):
    """Records, the sender's first."""

    records: list[RouterRecord]


class LoadNews(msgspec.Struct, array_like=True, tag="load"):
    """A runner begins to load a version of a model's weights, or has it now."""

    instance: str
    model: str
    version: int
    is_loaded: bool


class ReadingNews(msgspec.Struct, array_like=True, tag="reading"):
    """What a router has given one runner to do by now: a part of its next record, sent ahead."""

    address: str
    incarnation: int
    beat: int
    instance: str
    load: RunnerLoad


Message = Gossip | LoadNews | ReadingNews

_DECODER = msgspec.msgpack.Decoder(Message)
_ENCODER = msgspec.msgpack.Encoder()


class KnownRouter:
    """A record and when it was last seen to rise."""

    __slots__ = ("record", "risen_at")

    def __init__(self, record: RouterRecord, risen_at: float) -> None:
        self.record = record
        self.risen_at = risen_at


class RouterTable:
    """The records of all routers: pure, apart from the times handed in."""

    def __init__(self, own: RouterRecord) -> None:
        self.own = own
        self._known: dict[str, KnownRouter] = {}

    def merge(self, records: list[RouterRecord], now: float) -> None:
        """Take in records; a record of this router's address from another life is refuted."""
        for record in records:
            if record.address == self.own.address:
                if record.incarnation > self.own.incarnation:
                    self.own.incarnation = record.incarnation + 1
                continue
            known = self._known.get(record.address)
            if known is None:
                self._known[record.address] = KnownRouter(record, now)
                log_event("router_heard", address=record.address, zone=record.zone)
            elif _order(record) > _order(known.record):
                known.record = record
                known.risen_at = now

    def take_reading(self, news: ReadingNews, now: float) -> bool:
        """Take in another router's load at one runner; return whether it was newer."""
        known = self._known.get(news.address)
        if known is None or news.incarnation != known.record.incarnation:
            return False
        if news.beat <= known.record.beat:
            return False
        known.record.beat = news.beat
        known.record.loads[news.instance] = news.load
        known.risen_at = now
        return True

    def live(self, now: float) -> list[RouterRecord]:
        """Return the records of the other routers that are alive."""
        return [
            known.record
            for known in self._known.values()
            if now - known.risen_at <= DEAD_AFTER_S * min(2.0, self.slowness())
        ]

    def newest(self, count: int) -> list[RouterRecord]:
        """Return the records that rose last."""
        ordered = sorted(self._known.values(), key=lambda known: known.risen_at, reverse=True)
        return [known.record for known in ordered[:count]]

    def addresses(self) -> list[str]:
        """Return the addresses of all routers ever heard of and not forgotten."""
        return list(self._known)

    def forget_dead(self, now: float) -> None:
        """Drop routers that have been dead for long."""
        for address, known in list(self._known.items()):
            if now - known.risen_at > FORGOTTEN_AFTER_S:
                del self._known[address]
                log_trouble("router_forgotten", address=address)

    def slowness(self) -> float:
        """Return how much longer intervals are than in a small deployment."""
        return min(SLOWEST_RATE, max(1.0, self.count() / FULL_RATE_ROUTERS))

    def count(self) -> int:
        """Return how many routers there may be, this one included."""
        return 1 + len(self._known)


def _order(record: RouterRecord) -> tuple[int, int]:
    return record.incarnation, record.beat


class Peers:
    """Keeps the table current and carries news.

    Args:
        loop: the loop it is served on.
        own: this router's record; its beat rises here.
        seeds: addresses to send to while no other router is known.
        refresh: fills in what changes in the own record before it is sent.
        on_news: called with each piece of news.
        on_records: called after records were taken in.
        on_reading: called with a runner's instance once a router's load there has been taken in.
    """

    def __init__(
        self,
        loop: Loop,
        own: RouterRecord,
        seeds: tuple[str, ...],
        refresh: Callable[[RouterRecord], None],
        on_news: Callable[[LoadNews], None],
        on_records: Callable[[], None],
        on_reading: Callable[[str], None],
    ) -> None:
        self._loop = loop
        self.table = RouterTable(own)
        self._seeds = [seed for seed in seeds if seed != own.address]
        self._refresh = refresh
        self._on_news = on_news
        self._on_records = on_records
        self._on_reading = on_reading
        self._heard_since: float | None = None
        self._rng = random.Random()
        self._socket = self._open(own.address)

    @property
    def own(self) -> RouterRecord:
        """This router's record."""
        return self.table.own

    def start(self) -> None:
        """Begin to tell others of this router."""
        self._tick()

    def live(self) -> list[RouterRecord]:
        """Return the records of the other routers that are alive."""
        return self.table.live(self._loop.now())

    def budget_count(self) -> int:
        """Return among how many routers a common budget is to be shared."""
        since = self._heard_since
        is_settled = since is not None and self._loop.now() - since > SETTLING_S
        return self.table.count() if is_settled else max(UNKNOWN_COUNT, self.table.count())

    def tell_all(self, news: LoadNews) -> None:
        """Send news to every router known."""
        self._send_all(news)

    def tell_reading(self, instance: str, load: RunnerLoad) -> None:
        """Tell every router known of this router's load at one runner, at once."""
        own = self.own
        own.beat += 1
        self._send_all(ReadingNews(own.address, own.incarnation, own.beat, instance, load))

    def tell_now(self) -> None:
        """Send the own record to every router known, at once."""
        self._raise_own()
        self._send_all(Gossip([self.own]))

    def _send_all(self, message: Message) -> None:
        data = _ENCODER.encode(message)
        for address in self.table.addresses():
            self._send(address, data)

    def _tick(self) -> None:
        now = self._loop.now()
        self.table.forget_dead(now)
        self._raise_own()
        records = [self.own, *self.table.newest(RECORDS_PER_DATAGRAM - 1)]
        data = _ENCODER.encode(Gossip(records))
        for address in self._targets(now):
            self._send(address, data)
        self._on_records()
        interval_s = GOSSIP_INTERVAL_S * self.table.slowness() * self._rng.uniform(0.8, 1.2)
        self._loop.call_later(interval_s, self._tick)

    def _raise_own(self) -> None:
        self.own.beat += 1
        self._refresh(self.own)

    def _targets(self, now: float) -> list[str]:
        records = self.table.live(now)
        live = [record.address for record in records]
        near = [record.address for record in records if record.zone == self.own.zone]
        targets = [self._rng.choice(group) for group in (near, live) if group]
        others = [address for address in {*self._seeds, *self.table.addresses()}]
        silent = [address for address in others if address not in live]
        if silent and (len(live) < 2 or self._rng.random() < 0.2):
            targets.append(self._rng.choice(silent))
        return targets

    def _open(self, address: str) -> socket.socket:
        host, _, port = address.rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.bind((host, int(port)))
        self._loop.watch(sock, READ, lambda _ready: self._receive())
        return sock

    def _send(self, address: str, data: bytes) -> None:
        host, _, port = address.rpartition(":")
        try:
            self._socket.sendto(data, (host, int(port)))
        except OSError:
            return

    def _receive(self) -> None:
        for _ in range(64):
            try:
                data, _sender = self._socket.recvfrom(LONGEST_DATAGRAM)
            except OSError:
                return
            try:
                message = _DECODER.decode(data)
            except msgspec.MsgspecError:
                log_trouble("datagram_unreadable", length=len(data))
                continue
            self._take(message)

    def _take(self, message: Message) -> None:
        if isinstance(message, LoadNews):
            self._on_news(message)
            return
        now = self._loop.now()
        if isinstance(message, ReadingNews):
            if self.table.take_reading(message, now):
                self._on_reading(message.instance)
            return
        if self._heard_since is None:
            self._heard_since = now
        self.table.merge(message.records, now)


def first_incarnation() -> int:
    """Return an incarnation that is usually newer than those of earlier lives.

    It is taken from the wall clock; where that has gone back, the table raises it.
    """
    return int(time.time() * 1000)
