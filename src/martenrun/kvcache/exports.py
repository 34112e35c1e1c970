"""Which prefixes are exported: wanted by homes, carried out once by the owner of the runner.

A home sees every use of its prefixes, so it asks for the export of one that is used again and
is long enough.  Only the part that other prompts share is worth keeping, so what is exported is
what a prompt has in common with an earlier one.  The owner of the runner orders one export at a
time from each runner, within the pool's rate, the one that saves most first.
"""

import collections
from dataclasses import dataclass

from martenrun.constants import BLOCK_HASH_BYTES
from martenrun.kvcache.contents import StoreContents, shared_blocks
from martenrun.kvcache.limits import StoreLimits

USES_HALF_LIFE_S = 30.0
"""Time in which the count of a prefix's uses halves, in seconds."""

MAXIMUM_PREFIXES = 2_048
"""Prefixes counted; the one used longest ago is forgotten first."""

RECENT_CHAINS = 6
"""Chains of a prefix with which a new one is compared."""

MAXIMUM_WAITING = 64
"""Exports that wait at an owner for one runner; the one that saves least is dropped."""

EXPORT_TIMEOUT_S = 10.0
"""Time after which an export without an answer counts as failed, in seconds."""

BURST_S = 1.0
"""Time of unused export rate that is kept, in seconds."""


@dataclass(slots=True)
class _Uses:
    count: float
    at: float
    recent: collections.deque[bytes]


@dataclass(frozen=True, slots=True)
class ExportWanted:
    """A prefix that a runner has just computed or held.

    Attributes:
        chain: hashes of the blocks to export.
        new_blocks: how many of them the store is not believed to keep; it takes in only these.
        uses: smoothed uses of the prefix.
    """

    runner: str
    incarnation: str
    weights_version: str
    chain: bytes
    new_blocks: int
    uses: float


class ExportWishes:
    """A home's part: counts uses and says which export is worth it.

    Args:
        limits: the pool's store.
        contents: what the store is believed to keep.
    """

    def __init__(self, limits: StoreLimits, contents: StoreContents) -> None:
        self._limits = limits
        self._contents = contents
        self._uses: dict[bytes, _Uses] = {}

    def used(
        self, chain: bytes, runner: str, incarnation: str, weights_version: str, now: float
    ) -> ExportWanted | None:
        """Count a use that has ended well at a runner; return the export that it makes due."""
        key = chain[:BLOCK_HASH_BYTES]
        uses = self._uses.pop(key, None) or _Uses(0.0, now, collections.deque(maxlen=RECENT_CHAINS))
        self._uses[key] = uses
        if len(self._uses) > MAXIMUM_PREFIXES:
            del self._uses[next(iter(self._uses))]
        shared = max((shared_blocks(chain, other) for other in uses.recent), default=0)
        uses.count = uses.count * 0.5 ** ((now - uses.at) / USES_HALF_LIFE_S) + 1.0
        uses.at = now
        uses.recent.append(chain)
        new = shared - self._contents.kept_blocks(chain)
        if round(uses.count) < self._limits.minimum_uses or new < self._limits.minimum_blocks:
            return None
        exported = chain[: shared * BLOCK_HASH_BYTES]
        return ExportWanted(runner, incarnation, weights_version, exported, new, uses.count)


class ExportQueue:
    """An owner's part: exports of its runners, in order and within the rate.

    Nothing is due before :meth:`limit` has been called.
    """

    def __init__(self) -> None:
        self._blocks_per_s = 0.0
        self._waiting: dict[str, list[ExportWanted]] = {}
        self._running: dict[str, tuple[ExportWanted, float]] = {}
        self._allowed_blocks = 0.0
        self._counted_at = 0.0

    @property
    def has_work(self) -> bool:
        """Whether any export waits or is under way."""
        return bool(self._running) or any(self._waiting.values())

    def limit(self, limits: StoreLimits, owner_share: float) -> None:
        """Set the rate; this owner may use ``owner_share`` of the pool's."""
        self._blocks_per_s = limits.export_blocks_per_s * owner_share

    def wanted(self, wanted: ExportWanted) -> bool:
        """Queue an export and return True, unless a waiting or running one covers it."""
        waiting = self._waiting.setdefault(wanted.runner, [])
        running = self._running.get(wanted.runner)
        others = [*waiting, running[0]] if running else waiting
        if any(other.chain.startswith(wanted.chain) for other in others):
            return False
        waiting[:] = [other for other in waiting if not wanted.chain.startswith(other.chain)]
        waiting.append(wanted)
        waiting.sort(key=lambda each: -each.uses * each.new_blocks)
        del waiting[MAXIMUM_WAITING:]
        return wanted in waiting

    def due(self, now: float) -> list[ExportWanted]:
        """Return the exports to order now; each runner has at most one under way."""
        most = self._blocks_per_s * BURST_S
        passed_s = now - self._counted_at
        self._allowed_blocks = min(most, self._allowed_blocks + passed_s * self._blocks_per_s)
        self._counted_at = now
        ordered = []
        for runner, waiting in self._waiting.items():
            running = self._running.get(runner)
            if running is not None and now < running[1] + EXPORT_TIMEOUT_S:
                continue
            if waiting and self._allowed_blocks > 0:
                export = waiting.pop(0)
                self._allowed_blocks -= export.new_blocks
                self._running[runner] = (export, now)
                ordered.append(export)
        return ordered

    def ended(self, runner: str) -> bool:
        """A runner's export has ended, well or not; return whether one was under way."""
        return self._running.pop(runner, None) is not None

    def restarted(self, runner: str) -> None:
        """A runner has lost its cache: nothing that waits can be exported."""
        self._waiting.pop(runner, None)
        self._running.pop(runner, None)
