"""Gossip membership among the routers of a deployment, over UDP.

Every router advances the heartbeat in its own record and periodically sends the records it knows
to a few others; newer records replace older ones.  A router whose heartbeat has not advanced for a
while counts as dead.  Runner loads travel in the records; urgent updates are broadcast at once.
"""

import math
import random
import socket
import time
from collections.abc import Callable, Sequence

import msgspec

from martenrun.net.loop import READ, Loop
from martenrun.router.blame_messages import BlameNews
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
"""Interval between gossip rounds in a small deployment, in seconds."""

RECORDS_PER_DATAGRAM = 16
"""Maximum number of records in one datagram; the newest are sent first."""

RECORDS_AMONG_MANY = 8
"""Maximum number of records in one datagram that also carries heartbeats."""

BEATS_PER_DATAGRAM = 256
"""Maximum number of heartbeats in one datagram, about 16 bytes each; the most recent go first."""

NEAR_TARGETS = 2
FAR_SHARE = 0.5
"""Gossip targets per round in a large deployment: routers of the own zone, and how often another.

Traffic between zones is more expensive.  With 195 routers in five zones and no requests, no live
router was declared dead in 8 s; with one target in the own zone instead of two, half of 1 to 6 in
10,000 were.
"""

WANTED_AT_ONCE = 32
"""Maximum number of records per request; the response takes two datagrams."""

WANTED_AGAIN_S = 0.5
"""Time after which a missing record is requested again, in seconds."""

TOLD_AGAIN_S = 0.5
"""Minimum interval between broadcasts of the own record that may be delayed, in seconds."""

UNKNOWN_COUNT = 16
"""Assumed number of routers until others have been heard from for SETTLING_S seconds."""

SETTLING_S = 2.0

LONGEST_DATAGRAM = 60_000

News = WeightsNews | LeaseNews | SilenceNews | BlameNews | LimitNews
"""Messages that are broadcast to all routers at once."""

DATAGRAMS_PER_ROUND = 64
"""Datagrams read before the loop serves other sockets; the rest wait for the next round."""


class Peers:
    """Exchanges gossip and updates with the other routers.

    Args:
        loop: the event loop.
        own: this router's record, whose heartbeat is advanced here.
        seeds: addresses to send to while no other router is known.
        refresh: updates the own record before it is sent.
        on_news: called with each update that another router broadcast.
        on_records: called after records have been merged.
        on_reading: called with a runner's instance after another router's load on it was merged.
        on_sums: called with load totals of other zones.
        newcomer_news: returns the updates for a newly discovered router, given the number of known
            routers.
        on_quota: called with messages about tenant rates.
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
        """Start the periodic gossip."""
        self._tick()

    def live(self) -> list[RouterRecord]:
        """Return the records of the other routers that are alive."""
        return self.table.live(self._loop.now())

    def silent_since(self) -> list[float]:
        """Return the monotonic time of the last sign of life of each router that counts as dead."""
        return self.table.silent_since(self._loop.now())

    def budget_count(self) -> int:
        """Return the number of routers that share a common budget."""
        known = self.table.count()
        return known if self.is_settled() else max(UNKNOWN_COUNT, known)

    def is_settled(self) -> bool:
        """Return whether other routers have been heard from long enough to know most of them."""
        since = self._heard_since
        return since is not None and self._loop.now() - since > SETTLING_S

    def tell_all(self, news: News) -> None:
        """Broadcast an update to all known routers."""
        self._send_to(self.table.addresses(), news)

    def tell_reading(self, instance: str, load: RunnerLoad) -> None:
        """Send this router's load on one runner to the other routers at once."""
        own = self.own
        own.beat += 1
        news = ReadingNews(own.address, own.incarnation, own.beat, instance, load)
        self._send_to(self.table.told_at_once(), news)

    def tell_sums(self, addresses: list[str], sums: ZoneLoads) -> None:
        """Send load totals to some routers."""
        self._send_to(addresses, sums)

    def tell(self, addresses: list[str], message: QuotaMessage) -> None:
        """Send a message about tenant rates to some routers."""
        self._send_to(addresses, message)

    def tells_own_zone_only(self) -> bool:
        """Return whether load updates go only to the own zone because there are many routers."""
        return self.table.is_large()

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self._loop.now()

    def introduce(self, addresses: list[str]) -> None:
        """Send the own record to routers that may not know this one."""
        self._raise_own()
        self._send_to(addresses, Gossip([self.own]))

    def tell_now(self) -> None:
        """Send the own record to all known routers at once."""
        self._raise_own()
        self._told_at = self._loop.now()
        self._send_to(self.table.addresses(), Gossip([self.own]))

    def tell_soon(self) -> None:
        """Send the own record to all known routers, at most once per TOLD_AGAIN_S."""
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
        """Return the heartbeats to send next to the records; none if all records fit."""
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
        """Handle the waiting datagrams, with the earliest time at which they may have arrived."""
        late_s = self._loop.late_s + self._unread_late_s
        # Computed before the first read: if the process is suspended between two reads, datagrams
        # read afterwards may have been waiting since this time.
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
        """Request missing records from the router that sent the heartbeats, some at a time."""
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
        """Send records that another router requested."""
        records = self.table.records_of(wanted.lives[:WANTED_AT_ONCE], now)
        most = RECORDS_PER_DATAGRAM - 1
        for first in range(0, len(records), most):
            self._send(wanted.asker, encode(Gossip([self.own, *records[first : first + most]])))


def first_incarnation() -> int:
    """Return an incarnation that is usually newer than those of earlier runs of this router.

    It is derived from the wall clock; if that has gone back, the router table raises it.
    """
    return int(time.time() * 1000)
