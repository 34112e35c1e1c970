"""The records of all routers: newer ones replace older ones, dead routers are noticed.

A record is told on with the age of its beat: the time since its own router raised it, added up over
all routers that it has passed.  An age never falls by being told, so that nobody who forgets,
starts or has stood still brings a departed router back.  Pure, apart from the times handed in.
"""

import math
import sys

from martenrun.router.known_router import KnownRouter
from martenrun.router.log import log_event, log_warning
from martenrun.router.peer_messages import ReadingNews, RouterBeat, RouterRecord

FULL_RATE_ROUTERS = 16
SLOWEST_RATE = 2.0
"""Above so many routers the interval grows with their number, up to SLOWEST_RATE times.

What a router receives then stays the same; at most the news of others gets older.
"""

MOST_TOLD_ROUTERS = 100
"""Up to so many routers all of them are told of a reading at once; then those of the own zone."""

DEAD_AFTER_S = 2.0
"""Time without a newer record until a router of a small deployment counts as dead, in seconds."""

MOST_SLOWNESS_OF_DEATH = 2.0
"""How many times longer that is among many routers, at most."""

ON_ITS_WAY_S = 2.0
"""Age up to which a newer record counts as risen just now, in seconds; see :meth:`_risen_at`.

So long may a record of a living router of a small deployment be on its way, over many others.
"""

FORGOTTEN_AFTER_S = 20.0
"""Time until a dead router is no longer counted among those that may spend retries, nor told of."""

MOST_DEPARTED = 512
"""Most forgotten routers whose last records are kept; the oldest give way.

A copy of a record may still be on its way long after its router was forgotten, in the buffer of a
machine that stood still, say.  Who did not know it any more would take it for a new router.
"""

OVERTAKEN = sys.maxsize
"""Last beat of a life that a later one at its address has followed."""

MS_PER_S = 1000.0


class RouterTable:
    """The records of all routers: pure, apart from the times handed in."""

    def __init__(self, own: RouterRecord) -> None:
        self.own = own
        self._known: dict[str, KnownRouter] = {}
        self._by_life: dict[int, KnownRouter] = {}
        self._departed: dict[str, RouterRecord] = {}
        self._ended_lives: dict[int, int] = {}
        self._slowness = 1.0

    def merge(self, records: list[RouterRecord], now: float, late_s: float = 0.0) -> None:
        """Take in records, the teller's first.

        A record of this router's address from another life is refuted.

        Args:
            late_s: how long the records may have waited here unread, in seconds.
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
        """Take in beats of routers whose records are known; see :meth:`merge`.

        Returns:
            Lives that go on, as far as their beats tell, and whose records are lacking.
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
        """Return the records of lives that are known, with the ages of their beats."""
        found = [self._by_life[life] for life in lives if life in self._by_life]
        for known in found:
            known.record.age_ms = _age_ms(known.told_at, now)
        return [known.record for known in found]

    def knows(self, record: RouterRecord) -> bool:
        """Whether the life of a router that a record is of is known, or a later one."""
        if record.address == self.own.address:
            return True
        known = self._known.get(record.address)
        return known is not None and known.record.incarnation >= record.incarnation

    def _add(self, record: RouterRecord, beaten_at: float, now: float) -> None:
        """Put a router into the table, in place of an earlier life at its address."""
        earlier = self._known.get(record.address)
        if earlier is not None:
            self._end_life(earlier, OVERTAKEN)
        known = KnownRouter(record, beaten_at, self._risen_at(beaten_at, now))
        self._known[record.address] = known
        self._by_life[known.life] = known

    def _end_life(self, known: KnownRouter, last_beat: int) -> None:
        """Take a life's later beats than its last one for news only."""
        del self._by_life[known.life]
        self._ended_lives[known.life] = last_beat
        while len(self._ended_lives) > MOST_DEPARTED:
            del self._ended_lives[next(iter(self._ended_lives))]

    def _take_unknown(
        self, record: RouterRecord, beaten_at: float, teller: str, now: float
    ) -> None:
        """Take in a router not counted so far, unless it is known to have been dead for long."""
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
        """Return when a newer record counts as risen.

        A record passes many routers until all have it, the more the larger the deployment, so that
        its age says little while it is small.  Older ones were not on their way, but kept by
        somebody: they count from their beat.
        """
        on_its_way_s = ON_ITS_WAY_S * self.slowness()
        return now if now - beaten_at <= on_its_way_s else beaten_at

    def later_life(self, record: RouterRecord) -> RouterRecord | None:
        """Return what is known of a later life at a record's address, or None.

        A router whose wall clock went back begins below its last life and has to hear of that.
        """
        known = self._known.get(record.address)
        newest = self._departed.get(record.address) if known is None else known.record
        if newest is None or newest.incarnation <= record.incarnation:
            return None
        return newest

    def take_reading(self, news: ReadingNews, now: float, late_s: float = 0.0) -> bool:
        """Take in another router's load at one runner; return whether it was newer.

        Args:
            late_s: how long the news may have waited here unread, in seconds.
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
        """Return when each router that counts as dead was last heard of, in steady seconds."""
        dead_after_s = self._dead_after_s()
        return [
            known.risen_at for known in self._known.values() if now - known.risen_at > dead_after_s
        ]

    def told(self) -> list[tuple[RouterRecord, float]]:
        """Return the records of all routers known, each with when its router told it."""
        return [(known.record, known.told_at) for known in self._known.values()]

    def _dead_after_s(self) -> float:
        return DEAD_AFTER_S * min(MOST_SLOWNESS_OF_DEATH, self.slowness())

    def note_changes(self, now: float) -> None:
        """Count the living, end old readings, log who counts as dead now, or as alive again."""
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
        """Return for how long the most silent of the routers that count as alive has not risen."""
        dead_after_s = self._dead_after_s()
        silent_s = [now - known.risen_at for known in self._known.values()]
        return max((item for item in silent_s if item <= dead_after_s), default=0.0)

    def newest(self, count: int, now: float) -> list[RouterRecord]:
        """Return records with the ages of their beats: of routers with a duty, then the newest.

        Whoever does not hear of those that read the store or order weights would do so as well.
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
        """Return the last beats of the routers that are alive, those noticed last first.

        Among many routers a datagram holds few of the records, so that most would be old before
        they have passed everybody; beats are short enough to tell all.
        """
        dead_after_s = self._dead_after_s()
        alive = [known for known in self._known.values() if now - known.risen_at <= dead_after_s]
        alive.sort(key=lambda known: known.risen_at, reverse=True)
        return [
            RouterBeat(known.life, known.beat, _age_ms(known.beaten_at, now))
            for known in alive[:most]
        ]

    def addresses(self) -> list[str]:
        """Return the addresses of all routers ever heard of and not forgotten."""
        return list(self._known)

    def told_at_once(self) -> list[str]:
        """Return the addresses of the routers that hear of each reading at once.

        Those of the own zone only where there are very many: what each hears stays bounded.
        """
        if not self.is_large():
            return self.addresses()
        zone = self.own.zone
        return [address for address, known in self._known.items() if known.record.zone == zone]

    def is_large(self) -> bool:
        """Whether there are too many routers for all to be told of everything."""
        return self.count() > MOST_TOLD_ROUTERS

    def forget_dead(self, now: float) -> None:
        """Drop routers that have been dead for long."""
        for address, known in list(self._known.items()):
            if now - known.risen_at > FORGOTTEN_AFTER_S:
                del self._known[address]
                self._end_life(known, known.beat)
                known.record.beat = known.beat
                self._departed[address] = known.record
                log_warning("router_forgotten", address=address)
        while len(self._departed) > MOST_DEPARTED:
            del self._departed[next(iter(self._departed))]

    def slowness(self) -> float:
        """Return how much longer intervals are than in a small deployment.

        It goes by the routers that live: those that left shortly do not slow the others down.
        """
        return self._slowness

    def count(self) -> int:
        """Return how many routers there may be, this one included."""
        return 1 + len(self._known)


def longest_named_s(routers: int) -> float:
    """Return for how long after its last beat a router may count as alive, in seconds.

    Not counted is what a record spends on links on its way.
    """
    slowness = _slowness(routers)
    return ON_ITS_WAY_S * slowness + DEAD_AFTER_S * min(MOST_SLOWNESS_OF_DEATH, slowness)


def _slowness(routers: int) -> float:
    return min(SLOWEST_RATE, max(1.0, routers / FULL_RATE_ROUTERS))


def _age_ms(beaten_at: float, now: float) -> int:
    return max(0, math.ceil((now - beaten_at) * MS_PER_S))


def _order(record: RouterRecord) -> tuple[int, int]:
    return record.incarnation, record.beat
