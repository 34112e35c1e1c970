"""The table of known routers: merges their records and detects dead routers.

A record is forwarded with the age of its heartbeat: the time since the router advanced it, summed
over all hops.  Forwarding never lowers an age, so no router that forgets, starts or was suspended
can revive a departed one.  Free of I/O and clocks: callers pass in the time.
"""

import math
import sys

from martenrun.net.wire_types import MAXIMUM_INCARNATION, bounded_ms
from martenrun.router.known_router import KnownRouter
from martenrun.router.log import log_event, log_warning
from martenrun.router.peer_messages import LoadUpdate, RouterHeartbeat, RouterRecord

FULL_RATE_ROUTERS = 16
MAX_SLOWDOWN = 2.0
"""Above this many routers the gossip interval grows with their number, up to MAX_SLOWDOWN times.

The traffic that each router receives then stays constant, while records of others get older.
"""

MAX_BROADCAST_ROUTERS = 100
"""Up to this many routers each load update goes to all of them, above it to the own zone only."""

DEAD_AFTER_S = 2.0
"""Time without a newer heartbeat after which a router of a small deployment counts as dead."""

MAX_DEAD_AFTER_SLOWDOWN = 2.0
"""Maximum factor by which that time grows in a large deployment."""

MAX_PROPAGATION_S = 2.0
"""Maximum age at which a newer record counts as received in time, see :meth:`_liveness_time`.

A live router's record may take this long over several hops in a small deployment, in seconds.
"""

FORGET_AFTER_S = 20.0
"""Time after which a dead router is neither counted for the retry budget nor gossiped about."""

MAX_DEPARTED = 512
"""Maximum number of forgotten routers whose last records are kept; the oldest are dropped first.

A copy of a record may arrive long after its router was forgotten, for example from the buffer of a
suspended machine.  Without the kept record it would look like a new router.
"""

SUPERSEDED = sys.maxsize
"""Last heartbeat of an incarnation that was replaced by a later one at its address."""

MS_PER_S = 1000.0


class RouterTable:
    """Records of all known routers."""

    def __init__(self, own: RouterRecord) -> None:
        self.own = own
        self._known: dict[str, KnownRouter] = {}
        self._by_incarnation_id: dict[int, KnownRouter] = {}
        self._departed: dict[str, RouterRecord] = {}
        self._retired_incarnations: dict[int, int] = {}
        self._slowdown = 1.0

    def merge(self, records: list[RouterRecord], now: float, late_s: float = 0.0) -> None:
        """Merge records, the sender's first.

        A record of this router's address with a higher incarnation is outdated; the own incarnation
        is raised above it.

        Args:
            late_s: how long the records may have waited unread on this router, in seconds.
        """
        sender = records[0].address if records else ""
        for record in records:
            if record.address == self.own.address:
                if record.incarnation > self.own.incarnation:
                    self.own.incarnation = min(MAXIMUM_INCARNATION, record.incarnation + 1)
                continue
            heartbeat_at = now - late_s - record.age_ms / MS_PER_S
            known = self._known.get(record.address)
            if known is None:
                self._add_unknown(record, heartbeat_at, sender, now)
            elif record.incarnation > known.record.incarnation:
                self._add(record, heartbeat_at, now)
            elif record.incarnation == known.record.incarnation:
                known.merge_heartbeat(
                    record.heartbeat, heartbeat_at, self._liveness_time(heartbeat_at, now)
                )
                if record.heartbeat > known.record.heartbeat:
                    known.replace_record(record, heartbeat_at)

    def merge_heartbeats(
        self, heartbeats: list[RouterHeartbeat], now: float, late_s: float = 0.0
    ) -> list[int]:
        """Merge heartbeats of routers whose records are known; see :meth:`merge`.

        Returns:
            IDs of live incarnations whose records are missing.
        """
        missing = []
        for heartbeat in heartbeats:
            known = self._by_incarnation_id.get(heartbeat.incarnation_id)
            heartbeat_at = now - late_s - heartbeat.age_ms / MS_PER_S
            if known is not None:
                known.merge_heartbeat(
                    heartbeat.heartbeat, heartbeat_at, self._liveness_time(heartbeat_at, now)
                )
            elif heartbeat.heartbeat > self._retired_incarnations.get(
                heartbeat.incarnation_id, -1
            ) and (now - heartbeat_at <= FORGET_AFTER_S):
                missing.append(heartbeat.incarnation_id)
        return missing

    def records_of(self, incarnation_ids: list[int], now: float) -> list[RouterRecord]:
        """Return the known records of these incarnations, with the ages of their heartbeats."""
        found = [
            self._by_incarnation_id[item]
            for item in incarnation_ids
            if item in self._by_incarnation_id
        ]
        for known in found:
            known.record.age_ms = _age_ms(known.record_at, now)
        return [known.record for known in found]

    def knows_incarnation(self, record: RouterRecord) -> bool:
        """Return whether the record's incarnation, or a later one at its address, is known."""
        if record.address == self.own.address:
            return True
        known = self._known.get(record.address)
        return known is not None and known.record.incarnation >= record.incarnation

    def _add(self, record: RouterRecord, heartbeat_at: float, now: float) -> None:
        """Add a router, replacing an earlier incarnation at its address."""
        earlier = self._known.get(record.address)
        if earlier is not None:
            self._retire_incarnation(earlier, SUPERSEDED)
        known = KnownRouter(record, heartbeat_at, self._liveness_time(heartbeat_at, now))
        self._known[record.address] = known
        self._by_incarnation_id[known.incarnation_id] = known

    def _retire_incarnation(self, known: KnownRouter, last_heartbeat: int) -> None:
        """Remove an incarnation; only heartbeats above ``last_heartbeat`` can bring it back."""
        del self._by_incarnation_id[known.incarnation_id]
        self._retired_incarnations[known.incarnation_id] = last_heartbeat
        while len(self._retired_incarnations) > MAX_DEPARTED:
            del self._retired_incarnations[next(iter(self._retired_incarnations))]

    def _add_unknown(
        self, record: RouterRecord, heartbeat_at: float, sender: str, now: float
    ) -> None:
        """Add an unknown router, unless it has been dead for long."""
        departed = self._departed.get(record.address)
        if departed is not None and _version(record) <= _version(departed):
            return
        if now - heartbeat_at > FORGET_AFTER_S:
            return
        self._departed.pop(record.address, None)
        self._add(record, heartbeat_at, now)
        log_event(
            "router_heard",
            address=record.address,
            zone=record.zone,
            told_by=sender,
            incarnation=record.incarnation,
            beat=record.heartbeat,
            age_ms=round((now - heartbeat_at) * MS_PER_S),
        )

    def _liveness_time(self, heartbeat_at: float, now: float) -> float:
        """Return the time from which the silence of a newer record's router is counted.

        A record takes several hops to reach all routers, more in a larger deployment, so a small
        age says little.  Older records were not in transit but stored by some router: for these
        the heartbeat's own time counts.
        """
        on_its_way_s = MAX_PROPAGATION_S * self.slowdown()
        return now if now - heartbeat_at <= on_its_way_s else heartbeat_at

    def later_incarnation(self, record: RouterRecord) -> RouterRecord | None:
        """Return the newest known record of a later incarnation at the record's address, or None.

        A router whose wall clock went back starts with an incarnation below its last one and must
        be sent this record.
        """
        known = self._known.get(record.address)
        newest = self._departed.get(record.address) if known is None else known.record
        if newest is None or newest.incarnation <= record.incarnation:
            return None
        return newest

    def merge_load(self, update: LoadUpdate, now: float, late_s: float = 0.0) -> bool:
        """Merge another router's load on one runner; return whether it was newer.

        Args:
            late_s: how long the update may have waited unread on this router, in seconds.
        """
        known = self._known.get(update.address)
        if known is None or update.incarnation != known.record.incarnation:
            return False
        if update.heartbeat <= known.record.heartbeat:
            return False
        heartbeat_at = now - late_s
        known.record.heartbeat = update.heartbeat
        for instance in known.record.loads:
            known.readings_at.setdefault(instance, known.record_at)
        known.record.loads[update.instance] = update.load
        known.readings_at[update.instance] = heartbeat_at
        known.record_at = heartbeat_at
        known.merge_heartbeat(
            update.heartbeat, heartbeat_at, self._liveness_time(heartbeat_at, now)
        )
        return True

    def live(self, now: float) -> list[RouterRecord]:
        """Return the records of the other routers that are alive."""
        dead_after_s = self._dead_after_s()
        return [
            known.record for known in self._known.values() if now - known.risen_at <= dead_after_s
        ]

    def silent_since(self, now: float) -> list[float]:
        """Return the monotonic time of the last sign of life of each router that counts as dead."""
        dead_after_s = self._dead_after_s()
        return [
            known.risen_at for known in self._known.values() if now - known.risen_at > dead_after_s
        ]

    def timed_records(self) -> list[tuple[RouterRecord, float]]:
        """Return the records of all known routers, each with the time of its heartbeat."""
        return [(known.record, known.record_at) for known in self._known.values()]

    def _dead_after_s(self) -> float:
        return DEAD_AFTER_S * min(MAX_DEAD_AFTER_SLOWDOWN, self.slowdown())

    def update_liveness(self, now: float) -> None:
        """Update the live count, expire old prefill loads and log changes in liveness."""
        for known in self._known.values():
            known.expire_prefill(now)
        longest_s = DEAD_AFTER_S * MAX_DEAD_AFTER_SLOWDOWN
        living = sum(now - known.risen_at <= longest_s for known in self._known.values())
        self._slowdown = _slowdown(1 + living)
        dead_after_s = self._dead_after_s()
        for address, known in self._known.items():
            silent_s = now - known.risen_at
            is_alive = silent_s <= dead_after_s
            if is_alive != known.was_alive:
                known.was_alive = is_alive
                event = "router_back" if is_alive else "router_silent"
                heartbeat, incarnation = known.heartbeat, known.record.incarnation
                log_event(
                    event,
                    address=address,
                    silent_ms=round(silent_s * MS_PER_S),
                    incarnation=incarnation,
                    beat=heartbeat,
                )

    def max_live_silence_s(self, now: float) -> float:
        """Return the longest silence among the routers that count as alive, in seconds."""
        dead_after_s = self._dead_after_s()
        silent_s = [now - known.risen_at for known in self._known.values()]
        return max((item for item in silent_s if item <= dead_after_s), default=0.0)

    def select_records(self, count: int, now: float) -> list[RouterRecord]:
        """Return records with the ages of their heartbeats: routers with a duty, then the newest.

        A router that does not know the store readers or the lease holder would take over the duty.
        """

        def order(known: KnownRouter) -> tuple[bool, float]:
            has_duty = known.record.reads_store or known.record.lease_revision > 0
            is_fresh = now - known.risen_at <= self._dead_after_s()
            return has_duty and is_fresh, known.risen_at

        ordered = sorted(self._known.values(), key=order, reverse=True)
        for known in ordered[:count]:
            known.record.age_ms = _age_ms(known.record_at, now)
        return [known.record for known in ordered[:count]]

    def live_heartbeats(self, limit: int, now: float) -> list[RouterHeartbeat]:
        """Return the latest heartbeats of the live routers, the most recent first.

        In a large deployment a datagram holds only some of the records, so most would be outdated
        before they have reached every router.  Heartbeats are short enough to be sent for all.
        """
        dead_after_s = self._dead_after_s()
        alive = [known for known in self._known.values() if now - known.risen_at <= dead_after_s]
        alive.sort(key=lambda known: known.risen_at, reverse=True)
        return [
            RouterHeartbeat(known.incarnation_id, known.heartbeat, _age_ms(known.beaten_at, now))
            for known in alive[:limit]
        ]

    def addresses(self) -> list[str]:
        """Return the addresses of all known routers that have not been forgotten."""
        return list(self._known)

    def load_update_addresses(self) -> list[str]:
        """Return the addresses of the routers that receive load updates at once.

        In a large deployment only the own zone, to bound the traffic that each router receives.
        """
        if not self.is_large():
            return self.addresses()
        zone = self.own.zone
        return [address for address, known in self._known.items() if known.record.zone == zone]

    def is_large(self) -> bool:
        """Return whether there are too many routers to send every update to all of them."""
        return self.count() > MAX_BROADCAST_ROUTERS

    def forget_dead(self, now: float) -> None:
        """Forget routers that have been dead for long."""
        for address, known in list(self._known.items()):
            if now - known.risen_at > FORGET_AFTER_S:
                del self._known[address]
                self._retire_incarnation(known, known.heartbeat)
                known.record.heartbeat = known.heartbeat
                self._departed[address] = known.record
                log_warning("router_forgotten", address=address)
        while len(self._departed) > MAX_DEPARTED:
            del self._departed[next(iter(self._departed))]

    def slowdown(self) -> float:
        """Return the factor by which intervals are longer than in a small deployment.

        Only live routers count: those that left recently must not slow down the gossip.
        """
        return self._slowdown

    def count(self) -> int:
        """Return the number of known routers, including this one."""
        return 1 + len(self._known)


def max_detection_s(routers: int) -> float:
    """Return for how long after its last heartbeat a router may count as alive, in seconds.

    Network delays of the record are not included.
    """
    slowdown = _slowdown(routers)
    return MAX_PROPAGATION_S * slowdown + DEAD_AFTER_S * min(MAX_DEAD_AFTER_SLOWDOWN, slowdown)


def _slowdown(routers: int) -> float:
    return min(MAX_SLOWDOWN, max(1.0, routers / FULL_RATE_ROUTERS))


def _age_ms(heartbeat_at: float, now: float) -> int:
    return bounded_ms(math.ceil((now - heartbeat_at) * MS_PER_S))


def _version(record: RouterRecord) -> tuple[int, int]:
    return record.incarnation, record.heartbeat
