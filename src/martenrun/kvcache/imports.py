"""When a request's runner should import a prefix instead of computing it.

A home often does not know that a runner has evicted a prefix, so every request whose prefix the
store is believed to keep says so, and from how many missing blocks on an import is expected to
be cheaper than computing them; the runner itself sees what it misses.  A store of which nothing
is believed is asked for a cold prefix if it has often had such prefixes.  A store that fails is
left alone.  A request waits for a bounded time and is then computed.
"""

import math
from dataclasses import dataclass

from martenrun.constants import BLOCK_HASH_BYTES
from martenrun.kvcache.contents import StoreContents
from martenrun.kvcache.cost import TransferCost
from martenrun.kvcache.health import StoreHealth
from martenrun.kvcache.limits import StoreLimits

GAIN = 0.8
"""An import must be expected to take less than this share of the prefill that it saves."""

LATE_FACTOR = 4.0
"""A request waits this many times the expected time, within the limit."""

_FOUND_PRIOR = 0.5
_FOUND_SHARE = 0.1


@dataclass(frozen=True, slots=True)
class ImportPlan:
    """What a runner is told to fetch before a prefill.

    Attributes:
        chain: hashes of the leading blocks to fetch, those the runner holds included.
        least_blocks: fewer missing blocks than this are computed.
        wait_s: longest wait for it, in seconds.
        is_known: whether the store is believed to keep them.
    """

    chain: bytes
    least_blocks: int
    wait_s: float
    is_known: bool

    @property
    def blocks(self) -> int:
        """Number of blocks to fetch."""
        return len(self.chain) // BLOCK_HASH_BYTES


@dataclass(frozen=True, slots=True)
class ImportEnd:
    """How an import ended; ``blocks`` is None if the store failed or was late."""

    plan: ImportPlan
    blocks: int | None
    duration_s: float


class ImportPolicy:
    """Decides imports of one pool at one node, for one weights version.

    Args:
        limits: the pool's store.
    """

    def __init__(self, limits: StoreLimits) -> None:
        self._limits = limits
        self.contents = StoreContents()
        self._cost = TransferCost()
        self._health = StoreHealth()
        self._found_share = _FOUND_PRIOR

    def plan(
        self, chain: bytes, cached_blocks: int, block_prefill_s: float, now: float
    ) -> ImportPlan | None:
        """Return what to import for a chain, or None if computing it is expected to be cheaper.

        Args:
            chain: hashes of the prompt's whole blocks.
            cached_blocks: leading ones that the runner is believed to hold.
            block_prefill_s: expected time to compute one block there, in seconds.
        """
        if not self._health.is_open(now):
            return None
        is_known = self.contents.knows(chain)
        if not is_known and cached_blocks:
            return None
        kept = self.contents.kept_blocks(chain)
        blocks = kept if is_known else len(chain) // BLOCK_HASH_BYTES
        gain_s = GAIN * block_prefill_s * (1.0 if is_known else self._found_share)
        least = self._least_blocks(gain_s)
        if least is None or blocks < least:
            return None
        wait_s = min(self._limits.import_wait_s, LATE_FACTOR * self._cost.expected_s(blocks))
        return ImportPlan(chain[: blocks * BLOCK_HASH_BYTES], least, wait_s, is_known)

    def _least_blocks(self, gain_s: float) -> int | None:
        """Return from how many blocks on an import pays that gains so much time a block."""
        margin_s = gain_s - self._cost.block_s
        if margin_s <= 0.0:
            return None
        return max(self._limits.minimum_blocks, math.ceil(self._cost.set_up_s / margin_s))

    def ended(self, end: ImportEnd, cached_blocks: int, now: float) -> None:
        """Learn from an import; ``cached_blocks`` were held before it."""
        if end.blocks is None:
            self._health.failed(now)
            return
        self._health.succeeded()
        self._cost.observe(max(0, end.blocks - cached_blocks), end.duration_s)
        self.contents.answered(end.plan.chain, end.blocks)
        if not end.plan.is_known:
            found = 1.0 if end.blocks > cached_blocks else 0.0
            self._found_share += _FOUND_SHARE * (found - self._found_share)
