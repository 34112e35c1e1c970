"""Bounding the label values of metrics: the busiest are named, the rest stand together.

Pure but for a lock; every HTTP thread asks.  See also: ``docs/operations/metrics.md``.
"""

import threading
from dataclasses import dataclass

OTHER = "_other"
"""Label of all that is not named; no tenant or pool can have it."""

CANDIDATES_PER_NAME = 4
"""Pairs whose use is counted, for each that may be named."""

LEAD = 2
"""How many times busier than the least busy named pair another must be to take its place."""

USES_TO_HALVE = 10_000
"""Uses after which every count is halved, so that present use decides."""


@dataclass(frozen=True, slots=True)
class LabelPair:
    """Whose request it is and which pool serves it."""

    tenant: str
    pool: str


OTHER_PAIR = LabelPair(OTHER, OTHER)


@dataclass(frozen=True, slots=True)
class Naming:
    """Labels to use, and a pair that has lost its name and whose series must go."""

    labels: LabelPair
    dropped: LabelPair | None = None


class BusiestLabels:
    """Names the pairs that are used most, up to a number.

    Counts are kept for a bounded number of candidates (the space-saving algorithm): a pair
    that is not among them takes the place, and the count, of the least used that is not named.
    What a pair has inherited so gives it no name.

    Args:
        maximum: pairs that are named at a time.
    """

    def __init__(self, maximum: int) -> None:
        self._maximum = maximum
        self._counts: dict[LabelPair, int] = {}
        self._inherited: dict[LabelPair, int] = {}
        self._named: set[LabelPair] = set()
        self._uses = 0
        self._lock = threading.Lock()

    def use(self, pair: LabelPair) -> Naming:
        """Count one use of a pair and return the labels it goes by now."""
        with self._lock:
            self._count(pair)
            if pair in self._named:
                return Naming(pair)
            if len(self._named) < self._maximum:
                self._named.add(pair)
                return Naming(pair)
            return self._challenge(pair)

    def _challenge(self, pair: LabelPair) -> Naming:
        weakest = min(self._named, key=lambda named: (self._counts[named], named.tenant))
        certain = self._counts[pair] - self._inherited.get(pair, 0)
        if certain <= LEAD * max(1, self._counts[weakest]):
            return Naming(OTHER_PAIR)
        self._named.remove(weakest)
        self._named.add(pair)
        return Naming(pair, dropped=weakest)

    def _count(self, pair: LabelPair) -> None:
        self._uses += 1
        if self._uses % USES_TO_HALVE == 0:
            self._counts = {each: count // 2 for each, count in self._counts.items()}
            self._inherited = {each: count // 2 for each, count in self._inherited.items()}
        count = self._counts.get(pair)
        if count is None and len(self._counts) >= CANDIDATES_PER_NAME * self._maximum:
            candidates = self._counts.keys() - self._named
            least = min(candidates, key=lambda each: (self._counts[each], each.tenant))
            count = self._counts.pop(least)
            self._inherited.pop(least, None)
            self._inherited[pair] = count
        self._counts[pair] = (count or 0) + 1
