"""The table of known routers: merges their records and detects dead routers.

A record is forwarded with the age of its heartbeat: the time since the router advanced it, summed
over all hops.  Forwarding never lowers an age, so no router that forgets, starts or was suspended
can revive a departed one.  Free of I/O and clocks: callers pass in the time.
"""

import math
import sys

from martenrun.router.known_router import KnownRouter
from martenrun.router.log import log_event, log_trouble
from martenrun.router.peer_messages import ReadingNews, RouterBeat, RouterRecord

FULL_RATE_ROUTERS = 16
SLOWEST_RATE = 2.0
"""Above this many routers the gossip interval grows with their number, up to SLOWEST_RATE times.

The traffic that each router receives then stays constant, while records of others get older.
"""

MOST_TOLD_ROUTERS = 100
"""Up to this many routers each load update goes to all of them, above it to the own zone only."""

DEAD_AFTER_S = 2.0
"""Time without a newer heartbeat after which a router of a small deployment counts as dead."""

MOST_SLOWNESS_OF_DEATH = 2.0
"""Maximum factor by which that time grows in a large deployment."""

ON_ITS_WAY_S = 2.0
"""Maximum age at which a newer record counts as received in time, see :meth:`_risen_at`.

A live router's record may take this long over several hops in a small deployment, in seconds.
"""

FORGOTTEN_AFTER_S = 20.0
"""Time after which a dead router is neither counted for the retry budget nor gossiped about."""

MOST_DEPARTED = 512
"""Maximum number of forgotten routers whose last records are kept; the oldest are dropped first.

A copy of a record may arrive long after its router was forgotten, for example from the buffer of a
suspended machine.  Without the kept record it would look like a new router.
"""

OVERTAKEN = sys.maxsize
"""Last heartbeat of an incarnation that was replaced by a later one at its address."""

MS_PER_S = 1000.0


class RouterTable:
    """Records of all known routers."""

    def __init__(self, own: RouterRecord) -> None:
        self.own = own
        self._known: dict[str, KnownRouter] = {}
        self._by_life: dict[int, KnownRouter] = {}
        self._departed: dict[str, RouterRecord] = {}
        self._ended_lives: dict[int, int] = {}
        self._slowness = 1.0

    def merge(self, records: list[RouterRecord], now: float, late_s: float = 0.0) -> None:
        """Merge records, the sender's first.

        A record of this router's address with a higher incarnation is outdated; the own incarnation
        is raised above it.

        Args:
            late_s: how long the records may have waited unread on this router, in seconds.
        """
        teller = records[0].address if records else ""
        for record in records:
            if record.address == self.own.address:
                if record.incarnation > self.own.incarnation:
                    self.own.incarnation = record.incarnation + 1
                continue
            beaten_at = now - late_s - record.age_ms / MS_PER_S
            known = self._known.get(record.address)
            if known is None:
                self._take_unknown(record, beaten_at, teller, now)
            elif record.incarnation > known.record.incarnation:
                self._add(record, beaten_at, now)
            elif record.incarnation == known.record.incarnation:
                known.hear(record.beat, beaten_at, self._risen_at(beaten_at, now))
                if record.beat > known.record.beat:
                    known.take_record(record, beaten_at)

    def merge_beats(self, beats: list[RouterBeat], now: float, late_s: float = 0.0) -> list[int]:
        """Merge heartbeats of routers whose records are known; see :meth:`merge`.

        Returns:
            IDs of live incarnations whose records are missing.
        """
        lacking = []
        for told in beats:
            known = self._by_life.get(told.life)
            beaten_at = now - late_s - told.age_ms / MS_PER_S
            if known is not None:
                known.hear(told.beat, beaten_at, self._risen_at(beaten_at, now))
            elif told.beat > self._ended_lives.get(told.life, -1) and (
                now - beaten_at <= FORGOTTEN_AFTER_S
            ):
                lacking.append(told.life)
        return lacking

    def records_of(self, lives: list[int], now: float) -> list[RouterRecord]:
        """Return the known records of these incarnations, with the ages of their heartbeats."""
        found = [self._by_life[life] for life in lives if life in self._by_life]
        for known in found:
            known.record.age_ms = _age_ms(known.told_at, now)
        return [known.record for known in found]

    def knows(self, record: RouterRecord) -> bool:
        """Return whether the record's incarnation, or a later one at its address, is known."""
        if record.address == self.own.address:
            return True
        known = self._known.get(record.address)
        return known is not None and known.record.incarnation >= record.incarnation

    def _add(self, record: RouterRecord, beaten_at: float, now: float) -> None:
        """Add a router, replacing an earlier incarnation at its address."""
        earlier = self._known.get(record.address)
        if earlier is not None:
            self._end_life(earlier, OVERTAKEN)
        known = KnownRouter(record, beaten_at, self._risen_at(beaten_at, now))
        self._known[record.address] = known
        self._by_life[known.life] = known

    def _end_life(self, known: KnownRouter, last_beat: int) -> None:
        """Remove an incarnation; only heartbeats above ``last_beat`` can bring it back."""
        del self._by_life[known.life]
        self._ended_lives[known.life] = last_beat
        while len(self._ended_lives) > MOST_DEPARTED:
            del self._ended_lives[next(iter(self._ended_lives))]

    def _take_unknown(
        self, record: RouterRecord, beaten_at: float, teller: str, now: float
    ) -> None:
        """Add an unknown router, unless it has been dead for long."""
        departed = self._departed.get(record.address)
        if departed is not None and _order(record) <= _order(departed):
            return
        if now - beaten_at > FORGOTTEN_AFTER_S:
            return
        self._departed.pop(record.address, None)
        self._add(record, beaten_at, now)
        log_event(
            "router_heard",
            address=record.address,
            zone=record.zone,
            told_by=teller,
            incarnation=record.incarnation,
            beat=record.beat,
            age_ms=round((now - beaten_at) * MS_PER_S),
        )

    def _risen_at(self, beaten_at: float, now: float) -> float:
        """Return the time from which the silence of a newer record's router is counted.

        A record takes several hops to reach all routers, more in a larger deployment, so a small
        age says little.  Older records were not in transit but stored by some router: for these
        the heartbeat's own time counts.
        """
        on_its_way_s = ON_ITS_WAY_S * self.slowness()
        return now if now - beaten_at <= on_its_way_s else beaten_at

    def later_life(self, record: RouterRecord) -> RouterRecord | None:
        """Return the newest known record of a later incarnation at the record's address, or None.

        A router whose wall clock went back starts with an incarnation below its last one and must
        be sent this record.
        """
        known = self._known.get(record.address)
        newest = self._departed.get(record.address) if known is None else known.record
        if newest is None or newest.incarnation <= record.incarnation:
            return None
        return newest

    def take_reading(self, news: ReadingNews, now: float, late_s: float = 0.0) -> bool:
        """Merge another router's load on one runner; return whether it was newer.

        Args:
            late_s: how long the update may have waited unread on this router, in seconds.
        """
        known = self._known.get(news.address)
        if known is None or news.incarnation != known.record.incarnation:
            return False
        if news.beat <= known.record.beat:
            return False
        beaten_at = now - late_s
        known.record.beat = news.beat
        for instance in known.record.loads:
            known.readings_at.setdefault(instance, known.told_at)
        known.record.loads[news.instance] = news.load
        known.readings_at[news.instance] = beaten_at
        known.told_at = beaten_at
        known.hear(news.beat, beaten_at, self._risen_at(beaten_at, now))
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

    def told(self) -> list[tuple[RouterRecord, float]]:
        """Return the records of all known routers, each with the time of its heartbeat."""
        return [(known.record, known.told_at) for known in self._known.values()]

    def _dead_after_s(self) -> float:
        return DEAD_AFTER_S * min(MOST_SLOWNESS_OF_DEATH, self.slowness())

    def note_changes(self, now: float) -> None:
        """Update the live count, expire old prefill loads and log changes in liveness."""
        for known in self._known.values():
            known.end_readings(now)
        longest_s = DEAD_AFTER_S * MOST_SLOWNESS_OF_DEATH
        living = sum(now - known.risen_at <= longest_s for known in self._known.values())
        self._slowness = _slowness(1 + living)
        dead_after_s = self._dead_after_s()
        for address, known in self._known.items():
            silent_s = now - known.risen_at
            is_alive = silent_s <= dead_after_s
            if is_alive != known.was_alive:
                known.was_alive = is_alive
                event = "router_back" if is_alive else "router_silent"
                beat, incarnation = known.beat, known.record.incarnation
                log_event(
                    event,
                    address=address,
                    silent_ms=round(silent_s * MS_PER_S),
                    incarnation=incarnation,
                    beat=beat,
                )

    def oldest_alive_s(self, now: float) -> float:
        """Return the longest silence among the routers that count as alive, in seconds."""
        dead_after_s = self._dead_after_s()
        silent_s = [now - known.risen_at for known in self._known.values()]
        return max((item for item in silent_s if item <= dead_after_s), default=0.0)

    def newest(self, count: int, now: float) -> list[RouterRecord]:
        """Return records with the ages of their heartbeats: routers with a duty, then the newest.

        A router that does not know the store readers or the lease holder would take over the duty.
        """

        def order(known: KnownRouter) -> tuple[bool, float]:
            has_duty = known.record.reads_store or known.record.lease_revision > 0
            is_fresh = now - known.risen_at <= self._dead_after_s()
            return has_duty and is_fresh, known.risen_at

        ordered = sorted(self._known.values(), key=order, reverse=True)
        for known in ordered[:count]:
            known.record.age_ms = _age_ms(known.told_at, now)
        return [known.record for known in ordered[:count]]

    def beats(self, most: int, now: float) -> list[RouterBeat]:
        """Return the latest heartbeats of the live routers, the most recent first.

        In a large deployment a datagram holds only some of the records, so most would be outdated
        before they have reached every router.  Heartbeats are short enough to be sent for all.
        """
        dead_after_s = self._dead_after_s()
        alive = [known for known in self._known.values() if now - known.risen_at <= dead_after_s]
        alive.sort(key=lambda known: known.risen_at, reverse=True)
        return [
            RouterBeat(known.life, known.beat, _age_ms(known.beaten_at, now))
            for known in alive[:most]
        ]

    def addresses(self) -> list[str]:
        """Return the addresses of all known routers that have not been forgotten."""
        return list(self._known)

    def told_at_once(self) -> list[str]:
        """Return the addresses of the routers that receive load updates at once.

        In a large deployment only the own zone, to bound the traffic that each router receives.
        """
        if not self.is_large():
            return self.addresses()
        zone = self.own.zone
        return [address for address, known in self._known.items() if known.record.zone == zone]

    def is_large(self) -> bool:
        """Return whether there are too many routers to send every update to all of them."""
        return self.count() > MOST_TOLD_ROUTERS

    def forget_dead(self, now: float) -> None:
        """Forget routers that have been dead for long."""
        for address, known in list(self._known.items()):
            if now - known.risen_at > FORGOTTEN_AFTER_S:
                del self._known[address]
                self._end_life(known, known.beat)
                known.record.beat = known.beat
                self._departed[address] = known.record
                log_trouble("router_forgotten", address=address)
        while len(self._departed) > MOST_DEPARTED:
            del self._departed[next(iter(self._departed))]

    def slowness(self) -> float:
        """Return the factor by which intervals are longer than in a small deployment.

        Only live routers count: those that left recently must not slow down the gossip.
        """
        return self._slowness

    def count(self) -> int:
        """Return the number of known routers, including this one."""
        return 1 + len(self._known)


def longest_named_s(routers: int) -> float:
    """Return for how long after its last heartbeat a router may count as alive, in seconds.

    Network delays of the record are not included.
    """
    slowness = _slowness(routers)
    return ON_ITS_WAY_S * slowness + DEAD_AFTER_S * min(MOST_SLOWNESS_OF_DEATH, slowness)


def _slowness(routers: int) -> float:
    return min(SLOWEST_RATE, max(1.0, routers / FULL_RATE_ROUTERS))


def _age_ms(beaten_at: float, now: float) -> int:
    return max(0, math.ceil((now - beaten_at) * MS_PER_S))


def _order(record: RouterRecord) -> tuple[int, int]:
    return record.incarnation, record.beat
