"""The routers of a deployment, known to each other by gossip over UDP.

Every router raises the beat of its own record and sends the records it knows to a few others at
a time; newer records replace older ones.  A record whose beat has not risen for a while counts as
dead.  Loads of runners travel in the records; news that cannot wait goes to all at once.
"""

import math
import random
import socket
import time
from collections.abc import Callable, Sequence

import msgspec

from martenrun.net.loop import READ, Loop
from martenrun.router.crash_messages import CrashUpdate
from martenrun.router.limit_messages import LimitNews
from martenrun.router.log import log_trouble
from martenrun.router.peer_messages import (
    Gossip,
    LeaseNews,
    Message,
    ReadingNews,
    RecordsWanted,
    RouterBeat,
    RouterRecord,
    RunnerLoad,
    SilenceNews,
    WeightsNews,
    ZoneLoads,
    decode,
    encode,
)
from martenrun.router.quotas.messages import QuotaMessage
from martenrun.router.router_table import RouterTable

GOSSIP_INTERVAL_S = 0.3
"""How often a router of a small deployment sends its records, in seconds."""

RECORDS_PER_DATAGRAM = 16
"""Most records in one datagram; the newest go first."""

RECORDS_AMONG_MANY = 8
"""Most records in one datagram that holds beats as well."""

BEATS_PER_DATAGRAM = 256
"""Most beats in one datagram, of some 16 bytes each; those noticed last where there are more."""

NEAR_TARGETS = 2
FAR_SHARE = 0.5
"""Routers of the own zone told in each interval where there are many, and how often one of another.

Bytes between zones are the dear ones.  Without requests, 195 routers in five zones, none of the
living counted as dead in 8 s: half of 1 with one near router instead of two 6 in 10,000.
"""

WANTED_AT_ONCE = 32
"""Most records asked for at a time, answered in two datagrams."""

WANTED_AGAIN_S = 0.5
"""Time after which a record that did not come is asked for again, in seconds."""

TOLD_AGAIN_S = 0.5
"""Shortest time between two tellings of the own record to all, where one may wait, in seconds."""

UNKNOWN_COUNT = 16
"""Routers reckoned with until others have been heard for SETTLING_S seconds."""

SETTLING_S = 2.0

LONGEST_DATAGRAM = 60_000

News = WeightsNews | LeaseNews | SilenceNews | CrashUpdate | LimitNews
"""What is told to all routers at once."""

DATAGRAMS_PER_ROUND = 64
"""Datagrams read before others are served; what is left waits for the next round."""


class Peers:
    """Keeps the table current and carries news.

    Args:
        loop: the loop it is served on.
        own: this router's record; its beat rises here.
        seeds: addresses to send to while no other router is known.
        refresh: fills in what changes in the own record before it is sent.
        on_news: called with news that went to all routers at once.
        on_records: called after records were taken in.
        on_reading: called with a runner's instance once a router's load there has been taken in.
        on_sums: called with sums of loads over other zones.
        newcomer_news: returns what a router heard of for the first time is told, of so many.
        on_quota: called with what is asked or told of tenants' rates.
    """

    def __init__(
        self,
        loop: Loop,
        own: RouterRecord,
        seeds: tuple[str, ...],
        refresh: Callable[[RouterRecord], None],
        on_news: Callable[[News], None],
        on_records: Callable[[], None],
        on_reading: Callable[[str], None],
        on_sums: Callable[[ZoneLoads], None] = lambda _sums: None,
        newcomer_news: Callable[[int], Sequence[News]] = lambda _routers: (),
        on_quota: Callable[[QuotaMessage], None] = lambda _message: None,
    ) -> None:
        self._loop = loop
        self.table = RouterTable(own)
        self._seeds = [seed for seed in seeds if seed != own.address]
        self._refresh = refresh
        self._on_news = on_news
        self._on_records = on_records
        self._on_reading = on_reading
        self._on_sums = on_sums
        self._newcomer_news = newcomer_news
        self._on_quota = on_quota
        self._told_at = -math.inf
        self._tells_later = False
        self._heard_since: float | None = None
        self._unread_late_s = 0.0
        self._wanted_at: dict[int, float] = {}
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

    def silent_since(self) -> list[float]:
        """Return when each router that counts as dead was last heard of, in steady seconds."""
        return self.table.silent_since(self._loop.now())

    def budget_count(self) -> int:
        """Return among how many routers a common budget is to be shared."""
        known = self.table.count()
        return known if self.is_settled() else max(UNKNOWN_COUNT, known)

    def is_settled(self) -> bool:
        """Whether other routers have been heard for long enough to know most of them."""
        since = self._heard_since
        return since is not None and self._loop.now() - since > SETTLING_S

    def tell_all(self, news: News) -> None:
        """Send news to every router known."""
        self._send_to(self.table.addresses(), news)

    def tell_reading(self, instance: str, load: RunnerLoad) -> None:
        """Tell other routers of this router's load at one runner, at once."""
        own = self.own
        own.beat += 1
        news = ReadingNews(own.address, own.incarnation, own.beat, instance, load)
        self._send_to(self.table.told_at_once(), news)

    def tell_sums(self, addresses: list[str], sums: ZoneLoads) -> None:
        """Send sums of loads to some routers."""
        self._send_to(addresses, sums)

    def tell(self, addresses: list[str], message: QuotaMessage) -> None:
        """Send what is asked or told of tenants' rates to some routers."""
        self._send_to(addresses, message)

    def tells_own_zone_only(self) -> bool:
        """Whether routers of other zones are too many to be told of each reading."""
        return self.table.is_large()

    def now(self) -> float:
        """Return the steady clock, in seconds."""
        return self._loop.now()

    def introduce(self, addresses: list[str]) -> None:
        """Send the own record to routers that may not know this one."""
        self._raise_own()
        self._send_to(addresses, Gossip([self.own]))

    def tell_now(self) -> None:
        """Send the own record to every router known, at once."""
        self._raise_own()
        self._told_at = self._loop.now()
        self._send_to(self.table.addresses(), Gossip([self.own]))

    def tell_soon(self) -> None:
        """The same, at once unless that was done a moment ago: then a moment later."""
        left_s = self._told_at + TOLD_AGAIN_S - self._loop.now()
        if self._tells_later:
            return
        if left_s <= 0:
            self.tell_now()
        else:
            self._tells_later = True
            self._loop.call_later(left_s, self._tell_later)

    def _tell_later(self) -> None:
        self._tells_later = False
        self.tell_now()

    def _send_to(self, addresses: list[str], message: Message) -> None:
        data = encode(message)
        for address in addresses:
            self._send(address, data)

    def _tick(self) -> None:
        now = self._loop.now()
        self.table.note_changes(now)
        self.table.forget_dead(now)
        self._raise_own()
        beats = self._beats(now)
        data = encode(self._gossip(beats, now))
        for address in self._targets(now):
            self._send(address, data)
        self._on_records()
        interval_s = GOSSIP_INTERVAL_S * self.table.slowness() * self._rng.uniform(0.8, 1.2)
        self._loop.call_later(interval_s, self._tick)

    def _gossip(self, beats: list[RouterBeat], now: float) -> Gossip:
        most = RECORDS_AMONG_MANY if beats else RECORDS_PER_DATAGRAM
        return Gossip([self.own, *self.table.newest(most - 1, now)], beats)

    def _beats(self, now: float) -> list[RouterBeat]:
        """Return the beats to be told beside records: none where all records fit in."""
        if self.table.count() <= RECORDS_PER_DATAGRAM:
            return []
        return self.table.beats(BEATS_PER_DATAGRAM, now)

    def _raise_own(self) -> None:
        self.own.beat += 1
        self._refresh(self.own)

    def _targets(self, now: float) -> list[str]:
        records = self.table.live(now)
        live = [record.address for record in records]
        near = [record.address for record in records if record.zone == self.own.zone]
        if self.table.count() <= RECORDS_PER_DATAGRAM:
            groups = [near, live]
        else:
            far = [record.address for record in records if record.zone != self.own.zone]
            is_far_turn = not near or self._rng.random() < FAR_SHARE
            groups = [near] * NEAR_TARGETS + ([far] if is_far_turn else [])
        targets = [self._rng.choice(group) for group in groups if group]
        others = sorted({*self._seeds, *self.table.addresses()})
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
        """Read what has come, with the earliest time at which it may have arrived."""
        late_s = self._loop.late_s + self._unread_late_s
        # Fixed before the first read: however long the process stands still between two of them,
        # what it reads after that may have waited since then.
        arrived_at = self._loop.now() - late_s
        for _ in range(DATAGRAMS_PER_ROUND):
            try:
                data, _sender = self._socket.recvfrom(LONGEST_DATAGRAM)
            except OSError:
                self._unread_late_s = 0.0
                return
            try:
                message = decode(data)
            except msgspec.MsgspecError:
                log_trouble("datagram_unreadable", length=len(data))
                continue
            self._take(message, arrived_at)
        self._unread_late_s = late_s

    def _take(self, message: Message, arrived_at: float) -> None:
        if isinstance(message, News):
            self._on_news(message)
            return
        if isinstance(message, QuotaMessage):
            self._on_quota(message)
            return
        now = self._loop.now()
        late_s = now - arrived_at
        if isinstance(message, ZoneLoads):
            self._on_sums(message)
            return
        if isinstance(message, RecordsWanted):
            self._give(message, now)
            return
        if isinstance(message, ReadingNews):
            if self.table.take_reading(message, now, late_s):
                self._on_reading(message.instance)
            return
        self._take_gossip(message, now, late_s)

    def _take_gossip(self, message: Gossip, now: float, late_s: float) -> None:
        if self._heard_since is None:
            self._heard_since = now
        is_stranger = bool(message.records) and not self.table.knows(message.records[0])
        self.table.merge(message.records, now, late_s)
        lacking = self.table.merge_beats(message.beats, now, late_s)
        for sender in message.records[:1]:
            later = self.table.later_life(sender)
            if later is not None:
                self._send(sender.address, encode(Gossip([later])))
            elif is_stranger and self.table.knows(sender):
                self._send(sender.address, encode(self._gossip(self._beats(now), now)))
                for news in self._newcomer_news(self.table.count()):
                    self._send(sender.address, encode(news))
            self._ask_for(lacking, sender.address, now)

    def _ask_for(self, lacking: list[int], teller: str, now: float) -> None:
        """Ask who told beats for the records that are lacking, of a few at a time."""
        wanted = [
            life for life in lacking if now - self._wanted_at.get(life, -math.inf) >= WANTED_AGAIN_S
        ][:WANTED_AT_ONCE]
        if wanted:
            self._wanted_at = {
                life: at for life, at in self._wanted_at.items() if now - at < WANTED_AGAIN_S
            }
            self._wanted_at.update(dict.fromkeys(wanted, now))
            self._send(teller, encode(RecordsWanted(self.own.address, wanted)))

    def _give(self, wanted: RecordsWanted, now: float) -> None:
        """Send the records that another router lacks."""
        records = self.table.records_of(wanted.lives[:WANTED_AT_ONCE], now)
        most = RECORDS_PER_DATAGRAM - 1
        for first in range(0, len(records), most):
            self._send(wanted.asker, encode(Gossip([self.own, *records[first : first + most]])))


def first_incarnation() -> int:
    """Return an incarnation that is usually newer than those of earlier lives.

    It is taken from the wall clock; where that has gone back, the table raises it.
    """
    return int(time.time() * 1000)
