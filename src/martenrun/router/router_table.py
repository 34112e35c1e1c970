"""The records of all routers: newer ones replace older ones, dead routers are noticed.

Pure, apart from the times handed in.
"""

from martenrun.router.log import log_event, log_trouble
from martenrun.router.peer_messages import ReadingNews, RouterRecord

FULL_RATE_ROUTERS = 16
SLOWEST_RATE = 4.0
"""Above so many routers the interval grows with their number, up to SLOWEST_RATE times.

What a router receives then stays the same; at most the news of others gets older.
"""

MOST_TOLD_ROUTERS = 100
"""Up to so many routers all of them are told of a reading at once; then those of the own zone."""

DEAD_AFTER_S = 2.0
"""Time without a newer record until a router of a small deployment counts as dead, in seconds."""

FORGOTTEN_AFTER_S = 20.0
"""Time until a dead router is no longer counted among those that may spend retries."""


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

    def told_at_once(self) -> list[str]:
        """Return the addresses of the routers that hear of each reading at once.

        Those of the own zone only where there are very many: what each hears stays bounded.
        """
        if self.count() <= MOST_TOLD_ROUTERS:
            return self.addresses()
        zone = self.own.zone
        return [address for address, known in self._known.items() if known.record.zone == zone]

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
