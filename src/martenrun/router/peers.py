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

from martenrun.net.datagrams import parse_address, send_datagram
from martenrun.net.loop import READ, Loop
from martenrun.net.periodic import PeriodicCall, call_safely
from martenrun.router.brittle_messages import BrittleUpdate
from martenrun.router.crashes.messages import CrashUpdate
from martenrun.router.drain_messages import DrainUpdate
from martenrun.router.limit_messages import LimitUpdate
from martenrun.router.log import log_warning
from martenrun.router.origins.messages import SoftwareMessage
from martenrun.router.peer_messages import (
    Gossip,
    LeaseUpdate,
    LoadUpdate,
    Message,
    RecordsRequest,
    RouterHeartbeat,
    RouterRecord,
    RunnerLoad,
    UnresponsiveRunnerUpdate,
    WeightsUpdate,
    ZoneLoads,
    decode,
    encode_safely,
)
from martenrun.router.quotas.messages import QuotaMessage
from martenrun.router.router_table import RouterTable

GOSSIP_INTERVAL_S = 0.3
"""Interval between gossip rounds in a small deployment, in seconds."""

RECORDS_PER_DATAGRAM = 16
"""Maximum number of records in one datagram; the newest are sent first."""

RECORDS_WITH_HEARTBEATS = 8
"""Maximum number of records in one datagram that also carries heartbeats."""

HEARTBEATS_PER_DATAGRAM = 256
"""Maximum number of heartbeats in one datagram, about 16 bytes each; the most recent go first."""

SAME_ZONE_TARGETS = 2
OTHER_ZONE_PROBABILITY = 0.5
"""Gossip targets per round in a large deployment: routers of the own zone, and how often another.

Traffic between zones is more expensive.  With 195 routers in five zones and no requests, no live
router was declared dead in 8 s; with one target in the own zone instead of two, half of 1 to 6 in
10,000 were.
"""

MAX_REQUESTED_RECORDS = 32
"""Maximum number of records per request; the response takes two datagrams."""

REQUEST_RETRY_S = 0.5
"""Time after which a missing record is requested again, in seconds."""

MIN_BROADCAST_INTERVAL_S = 0.5
"""Minimum interval between broadcasts of the own record that may be delayed, in seconds."""

ASSUMED_ROUTERS = 16
"""Assumed number of routers until others have been heard from for SETTLING_S seconds."""

SETTLING_S = 2.0

MAX_DATAGRAM_BYTES = 60_000

Update = (
    WeightsUpdate
    | LeaseUpdate
    | UnresponsiveRunnerUpdate
    | CrashUpdate
    | LimitUpdate
    | BrittleUpdate
    | DrainUpdate
)
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
        on_update: called with each update that another router broadcast.
        on_records: called after records have been merged.
        on_load_update: called with a runner's instance after a load update for it was merged.
        on_zone_loads: called with load totals of other zones.
        updates_for_new_router: returns the updates for a newly discovered router, given the number
            of known routers.
        on_quota_message: called with messages about tenant rates.
        on_software_message: called with messages about software versions and origins of streams.
    """

    def __init__(
        self,
        loop: Loop,
        own: RouterRecord,
        seeds: tuple[str, ...],
        refresh: Callable[[RouterRecord], None],
        on_update: Callable[[Update], None],
        on_records: Callable[[], None],
        on_load_update: Callable[[str], None],
        on_zone_loads: Callable[[ZoneLoads], None] = lambda _sums: None,
        updates_for_new_router: Callable[[int], Sequence[Update]] = lambda _routers: (),
        on_quota_message: Callable[[QuotaMessage], None] = lambda _message: None,
        on_software_message: Callable[[SoftwareMessage], None] = lambda _message: None,
    ) -> None:
        self._loop = loop
        self.table = RouterTable(own)
        self._seeds = [seed for seed in seeds if seed != own.address]
        self._refresh = refresh
        self._on_update = on_update
        self._on_records = on_records
        self._on_load_update = on_load_update
        self._on_zone_loads = on_zone_loads
        self._updates_for_new_router = updates_for_new_router
        self._on_quota_message = on_quota_message
        self._on_software_message = on_software_message
        self._broadcast_at = -math.inf
        self._is_broadcast_scheduled = False
        self._first_gossip_at: float | None = None
        self._unread_late_s = 0.0
        self._requested_at: dict[int, float] = {}
        self._rng = random.Random()
        self._socket = self._open(own.address)

    @property
    def own(self) -> RouterRecord:
        """This router's record."""
        return self.table.own

    def start(self) -> None:
        """Start the periodic gossip."""
        PeriodicCall(self._loop, "gossip", self._gossip_interval_s, self._tick).start()

    def live(self) -> list[RouterRecord]:
        """Return the records of the other routers that are alive."""
        return self.table.live(self._loop.now())

    def silent_since(self) -> list[float]:
        """Return the monotonic time of the last sign of life of each router that counts as dead."""
        return self.table.silent_since(self._loop.now())

    def budget_count(self) -> int:
        """Return the number of routers that share a common budget."""
        known = self.table.count()
        return known if self.is_settled() else max(ASSUMED_ROUTERS, known)

    def is_settled(self) -> bool:
        """Return whether other routers have been heard from long enough to know most of them."""
        since = self._first_gossip_at
        return since is not None and self._loop.now() - since > SETTLING_S

    def broadcast(self, update: Update) -> None:
        """Broadcast an update to all known routers."""
        self._send_to(self.table.addresses(), update)

    def broadcast_load(self, instance: str, load: RunnerLoad) -> None:
        """Send this router's load on one runner to the other routers at once."""
        own = self.own
        own.heartbeat += 1
        update = LoadUpdate(own.address, own.incarnation, own.heartbeat, instance, load)
        self._send_to(self.table.load_update_addresses(), update)

    def send_zone_loads(self, addresses: list[str], loads: ZoneLoads) -> None:
        """Send load totals to some routers."""
        self._send_to(addresses, loads)

    def send(self, addresses: list[str], message: QuotaMessage | SoftwareMessage) -> None:
        """Send a message about tenant rates, software or origins of streams to some routers."""
        self._send_to(addresses, message)

    def sends_loads_to_own_zone_only(self) -> bool:
        """Return whether load updates go only to the own zone because there are many routers."""
        return self.table.is_large()

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self._loop.now()

    def send_record(self, addresses: list[str]) -> None:
        """Send the own record to routers that may not know this one."""
        self._advance_heartbeat()
        self._send_to(addresses, Gossip([self.own]))

    def broadcast_record(self) -> None:
        """Send the own record to all known routers at once."""
        self._advance_heartbeat()
        self._broadcast_at = self._loop.now()
        self._send_to(self.table.addresses(), Gossip([self.own]))

    def schedule_record_broadcast(self) -> None:
        """Send the own record to all known routers, at most once per MIN_BROADCAST_INTERVAL_S."""
        delay_s = self._broadcast_at + MIN_BROADCAST_INTERVAL_S - self._loop.now()
        if self._is_broadcast_scheduled:
            return
        if delay_s <= 0:
            self.broadcast_record()
        else:
            self._is_broadcast_scheduled = True
            self._loop.call_later(delay_s, self._run_scheduled_broadcast)

    def _run_scheduled_broadcast(self) -> None:
        self._is_broadcast_scheduled = False
        self.broadcast_record()

    def _send_to(self, addresses: list[str], message: Message) -> None:
        data = encode_safely(message)
        if data is not None:
            for address in addresses:
                self._send(address, data)

    def _gossip_interval_s(self) -> float:
        return GOSSIP_INTERVAL_S * self.table.slowdown() * self._rng.uniform(0.8, 1.2)

    def _tick(self) -> None:
        now = self._loop.now()
        call_safely("gossip_liveness", self.table.update_liveness, now)
        call_safely("gossip_forget", self.table.forget_dead, now)
        call_safely("gossip_send", self._send_gossip, now)
        call_safely("gossip_records", self._on_records)

    def _send_gossip(self, now: float) -> None:
        self._advance_heartbeat()
        heartbeats = self._select_heartbeats(now)
        data = encode_safely(self._build_gossip(heartbeats, now))
        if data is not None:
            for address in self._choose_targets(now):
                self._send(address, data)

    def _build_gossip(self, heartbeats: list[RouterHeartbeat], now: float) -> Gossip:
        limit = RECORDS_WITH_HEARTBEATS if heartbeats else RECORDS_PER_DATAGRAM
        return Gossip([self.own, *self.table.select_records(limit - 1, now)], heartbeats)

    def _select_heartbeats(self, now: float) -> list[RouterHeartbeat]:
        """Return the heartbeats to send next to the records; none if all records fit."""
        if self.table.count() <= RECORDS_PER_DATAGRAM:
            return []
        return self.table.live_heartbeats(HEARTBEATS_PER_DATAGRAM, now)

    def _advance_heartbeat(self) -> None:
        self.own.heartbeat += 1
        call_safely("own_record", self._refresh, self.own)

    def _choose_targets(self, now: float) -> list[str]:
        records = self.table.live(now)
        live = [record.address for record in records]
        near = [record.address for record in records if record.zone == self.own.zone]
        if self.table.count() <= RECORDS_PER_DATAGRAM:
            groups = [near, live]
        else:
            far = [record.address for record in records if record.zone != self.own.zone]
            is_far_turn = not near or self._rng.random() < OTHER_ZONE_PROBABILITY
            groups = [near] * SAME_ZONE_TARGETS + ([far] if is_far_turn else [])
        targets = [self._rng.choice(group) for group in groups if group]
        others = sorted({*self._seeds, *self.table.addresses()})
        dead = [address for address in others if address not in live]
        if dead and (len(live) < 2 or self._rng.random() < 0.2):
            targets.append(self._rng.choice(dead))
        return targets

    def _open(self, address: str) -> socket.socket:
        host, _, port = address.rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.bind((host, int(port)))
        self._loop.watch(sock, READ, lambda _ready: self._receive())
        return sock

    def _send(self, address: str, data: bytes) -> None:
        send_datagram(self._socket, address, data)

    def _receive(self) -> None:
        """Handle the waiting datagrams, with the earliest time at which they may have arrived."""
        late_s = self._loop.late_s + self._unread_late_s
        # Computed before the first read: if the process is suspended between two reads, datagrams
        # read afterwards may have been waiting since this time.
        arrived_at = self._loop.now() - late_s
        for _ in range(DATAGRAMS_PER_ROUND):
            try:
                data, _sender = self._socket.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError:
                self._unread_late_s = 0.0
                return
            message = _read_datagram(data)
            if message is not None:
                call_safely("datagram", self._handle_message, message, arrived_at)
        self._unread_late_s = late_s

    def _handle_message(self, message: Message, arrived_at: float) -> None:
        if isinstance(message, Update):
            self._on_update(message)
            return
        if isinstance(message, QuotaMessage):
            self._on_quota_message(message)
            return
        if isinstance(message, SoftwareMessage):
            self._on_software_message(message)
            return
        now = self._loop.now()
        late_s = now - arrived_at
        if isinstance(message, ZoneLoads):
            self._on_zone_loads(message)
            return
        if isinstance(message, RecordsRequest):
            self._send_requested_records(message, now)
            return
        if isinstance(message, LoadUpdate):
            if self.table.merge_load(message, now, late_s):
                self._on_load_update(message.instance)
            return
        self._handle_gossip(message, now, late_s)

    def _handle_gossip(self, message: Gossip, now: float, late_s: float) -> None:
        if self._first_gossip_at is None:
            self._first_gossip_at = now
        is_new_sender = bool(message.records) and not self.table.knows_incarnation(
            message.records[0]
        )
        self.table.merge(message.records, now, late_s)
        missing = self.table.merge_heartbeats(message.heartbeats, now, late_s)
        for sender in message.records[:1]:
            later = self.table.later_incarnation(sender)
            if later is not None:
                self._send_to([sender.address], Gossip([later]))
            elif is_new_sender and self.table.knows_incarnation(sender):
                gossip = self._build_gossip(self._select_heartbeats(now), now)
                self._send_to([sender.address], gossip)
                for update in self._updates_for_new_router(self.table.count()):
                    self._send_to([sender.address], update)
            self._request_records(missing, sender.address, now)

    def _request_records(self, missing: list[int], sender: str, now: float) -> None:
        """Request missing records from the router that sent the heartbeats, some at a time."""
        requested = [
            item
            for item in missing
            if now - self._requested_at.get(item, -math.inf) >= REQUEST_RETRY_S
        ][:MAX_REQUESTED_RECORDS]
        if requested:
            self._requested_at = {
                item: at for item, at in self._requested_at.items() if now - at < REQUEST_RETRY_S
            }
            self._requested_at.update(dict.fromkeys(requested, now))
            self._send_to([sender], RecordsRequest(self.own.address, requested))

    def _send_requested_records(self, request: RecordsRequest, now: float) -> None:
        """Send records that another router requested."""
        records = self.table.records_of(request.incarnation_ids[:MAX_REQUESTED_RECORDS], now)
        limit = RECORDS_PER_DATAGRAM - 1
        for first in range(0, len(records), limit):
            self._send_to([request.requester], Gossip([self.own, *records[first : first + limit]]))


def _read_datagram(data: bytes) -> Message | None:
    """Return a datagram's message, or None if it is unreadable or gossip of no router.

    Records of routers that nothing can be sent to are left out.
    """
    try:
        message = decode(data)
    except (msgspec.MsgspecError, ValueError, RecursionError):
        log_warning("datagram_unreadable", length=len(data))
        return None
    if isinstance(message, Gossip):
        usable = [item for item in message.records if parse_address(item.address) is not None]
        if usable[:1] != message.records[:1]:
            return None
        message.records = usable
    return message


def first_incarnation() -> int:
    """Return an incarnation that is usually newer than those of earlier runs of this router.

    It is derived from the wall clock; if that has gone back, the router table raises it.
    """
    return int(time.time() * 1000)
