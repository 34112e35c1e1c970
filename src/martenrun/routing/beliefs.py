"""Beliefs about caches from all sources: event feeds, own routing, owners' and agents' words.

A runner whose event feed this node reads is *fed*: its beliefs stay until an event, a gap or a
correction takes them.  Of other runners a node knows what it has sent there; such beliefs stand
in two generations and the older one is dropped each lifetime, because nobody tells of
evictions.  The lifetime is learned: wrong beliefs shorten it, right ones lengthen it.  A gap in
a feed drops all that is believed of the runner but what was sent there within a lifetime.

See also: :class:`martenrun.routing.prefix_index.PrefixIndex`.
"""

import collections
import heapq
from collections.abc import Sequence
from dataclasses import dataclass

from martenrun.identity.chain import BlockHashes
from martenrun.routing.prefix_index import PrefixIndex, RunnerIdentity
from martenrun.routing.prefix_table import WIDE_SLOTS_PER_TABLE

FED_MEMORY_BYTES = 21_500_000
"""Bound of the index of fed runners: 4.3 million blocks at 5 bytes each."""

ROUTED_MEMORY_BYTES = 1_000_000
"""Bound of the index of runners that are not fed."""

FED_RUNNERS = 32
"""Fed runners that are told apart; one more stays unknown."""

ROUTED_SLOTS = WIDE_SLOTS_PER_TABLE
"""Two generations of 32 runners that are not fed."""

RECENT_CHAINS = 2_048
"""Chains sent to fed runners that are remembered against gaps."""

_MINIMUM_LIFETIME_S = 2.0
_MAXIMUM_LIFETIME_S = 120.0
FIRST_LIFETIME_S = 20.0
"""Lifetime of beliefs about a runner of which nothing is learned yet, in seconds."""

_LENGTHEN = 1.005
_SHORTEN = 0.8


@dataclass(slots=True)
class _Generations:
    """Slot names of a runner that is not fed, and the learned lifetime of beliefs about it.

    Attributes:
        current: where beliefs are added.
        older: beliefs that end at the next rotation.
        due_at: when the next rotation is planned.
    """

    current: str
    older: str
    lifetime_s: float = FIRST_LIFETIME_S
    rotated_at: float = 0.0
    due_at: float = FIRST_LIFETIME_S


@dataclass(frozen=True, slots=True)
class _Routed:
    """A chain that was sent to a fed runner."""

    runner: str
    chain: BlockHashes
    at: float


class BeliefBook:
    """What one node believes about the caches of all runners it deals with.

    Args:
        fed_memory_bytes: bound of the index of fed runners.
        routed_memory_bytes: bound of the index of the others.
    """

    def __init__(
        self,
        fed_memory_bytes: int = FED_MEMORY_BYTES,
        routed_memory_bytes: int = ROUTED_MEMORY_BYTES,
    ) -> None:
        self._fed = PrefixIndex(fed_memory_bytes, FED_RUNNERS)
        self._routed = PrefixIndex(routed_memory_bytes, ROUTED_SLOTS, ROUTED_SLOTS)
        self._identities: dict[str, RunnerIdentity] = {}
        self._generations: dict[str, _Generations] = {}
        self._fed_runners: set[str] = set()
        self._rotations: list[tuple[float, str]] = []
        self._recent: collections.deque[_Routed] = collections.deque(maxlen=RECENT_CHAINS)

    def identify(self, runner: str, incarnation: str, weights_version: str) -> None:
        """Name the run that later calls mean; another run ends every older belief."""
        known = self._identities.get(runner)
        if (
            known is not None
            and known.incarnation == incarnation
            and known.weights_version == weights_version
        ):
            return
        if known is not None:
            self.forget(runner)
        identity = RunnerIdentity(incarnation, weights_version)
        self._identities[runner] = identity
        generations = _Generations(f"{runner}#0", f"{runner}#1")
        self._generations[runner] = generations
        heapq.heappush(self._rotations, (generations.due_at, runner))
        for name in (generations.current, generations.older):
            self._routed.identify(name, identity)

    def forget(self, runner: str) -> None:
        """Forget a runner and every belief about it."""
        self.feed_ended(runner)
        self._identities.pop(runner, None)
        generations = self._generations.pop(runner, None)
        if generations is not None:
            self._routed.forget(generations.current)
            self._routed.forget(generations.older)

    def incarnation_of(self, runner: str) -> str:
        """Return the incarnation that beliefs about a runner mean, empty if it is unknown."""
        identity = self._identities.get(runner)
        return "" if identity is None else identity.incarnation

    @property
    def fed_runners(self) -> list[str]:
        """Names of the runners whose event feeds are read here."""
        return list(self._fed_runners)

    def feed(self, runner: str, stored: BlockHashes, removed: BlockHashes) -> None:
        """Apply what an identified runner's event feed told; repeated events do no harm."""
        identity = self._identities.get(runner)
        if identity is None:
            return
        if runner not in self._fed_runners:
            self._fed_runners.add(runner)
            self._fed.identify(runner, identity)
        self._fed.add(runner, stored)
        self._fed.remove(runner, removed)

    def feed_gap(self, runner: str, now: float) -> None:
        """Drop what is believed of a fed runner: any of it may have been removed in the gap.

        What was sent there within a lifetime is believed again.
        """
        self._fed.drop(runner)
        lifetime_s = self.lifetime_s(runner)
        for sent in self._recent:
            if sent.runner == runner and now - sent.at < lifetime_s:
                self._fed.add(runner, sent.chain)

    def feed_ended(self, runner: str) -> None:
        """The runner's feed is no longer read here."""
        if runner in self._fed_runners:
            self._fed_runners.discard(runner)
            self._fed.forget(runner)

    def routed(self, runner: str, chain: BlockHashes, believed: int, now: float) -> None:
        """A request with this chain is sent to the runner, which will hold it.

        ``believed`` leading blocks are known already; they only live longer.
        """
        if runner in self._fed_runners:
            self._fed.add(runner, chain[believed:])
            self._recent.append(_Routed(runner, chain, now))
        elif runner in self._generations:
            self._routed.add(self._generations[runner].current, chain)

    def corrected(self, runner: str, chain: BlockHashes, believed: int, cached: int) -> None:
        """Take in how many leading blocks are really cached at this moment."""
        if cached < believed:
            self._remove(runner, chain[cached:believed])
        elif cached > believed:
            self._add(runner, chain[believed:cached])

    def lifetime_s(self, runner: str) -> float:
        """Return how long blocks are believed to stay cached unused; short under pressure."""
        generations = self._generations.get(runner)
        return FIRST_LIFETIME_S if generations is None else generations.lifetime_s

    def judged(self, runner: str, believed: int, cached: int) -> None:
        """Learn a runner's lifetime from what became of one belief."""
        generations = self._generations.get(runner)
        if believed and generations is not None:
            change = _SHORTEN if cached < believed / 2 else _LENGTHEN
            bounded = min(_MAXIMUM_LIFETIME_S, generations.lifetime_s * change)
            generations.lifetime_s = max(_MINIMUM_LIFETIME_S, bounded)
            if generations.rotated_at + generations.lifetime_s < generations.due_at:
                self._plan_rotation(runner, generations)

    def not_run(self, runner: str, hashes: BlockHashes) -> None:
        """Blocks that a refused attempt would have cached are not there."""
        self._remove(runner, hashes)

    def leading(self, chain: BlockHashes, runners: Sequence[str]) -> list[int]:
        """Return the leading blocks believed cached at each runner, in order."""
        leading = [0] * len(runners)
        fed_blocks: list[int] | None = None
        routed_blocks: list[int] | None = None
        for index, runner in enumerate(runners):
            if runner in self._fed_runners:
                if fed_blocks is None:
                    fed_blocks = self._fed.match(chain).blocks.tolist()
                slot = self._fed.slot_of(runner)
                leading[index] = fed_blocks[slot] if slot >= 0 else 0
                continue
            generations = self._generations.get(runner)
            slot = -1 if generations is None else self._routed.slot_of(generations.current)
            if generations is None or slot < 0:
                continue
            if routed_blocks is None:
                routed_blocks = self._routed.match(chain).blocks.tolist()
            older = self._routed.slot_of(generations.older)
            leading[index] = max(routed_blocks[slot], routed_blocks[older] if older >= 0 else 0)
        return leading

    def age(self, now: float) -> None:
        """Drop the older generation of each runner whose lifetime has passed.

        Costs nothing while no rotation is planned, however many runners are known.
        """
        while self._rotations and self._rotations[0][0] <= now:
            due_at, runner = heapq.heappop(self._rotations)
            generations = self._generations.get(runner)
            if generations is None or generations.due_at != due_at:
                continue  # Forgotten, or planned anew since.
            if generations.rotated_at + generations.lifetime_s <= now:
                generations.rotated_at = now
                self._routed.drop(generations.older)
                swapped = generations.older, generations.current
                generations.current, generations.older = swapped
            self._plan_rotation(runner, generations)

    def _plan_rotation(self, runner: str, generations: _Generations) -> None:
        generations.due_at = generations.rotated_at + generations.lifetime_s
        heapq.heappush(self._rotations, (generations.due_at, runner))

    def _add(self, runner: str, hashes: BlockHashes) -> None:
        if runner in self._fed_runners:
            self._fed.add(runner, hashes)
        elif runner in self._generations:
            self._routed.add(self._generations[runner].current, hashes)

    def _remove(self, runner: str, hashes: BlockHashes) -> None:
        if runner in self._fed_runners:
            self._fed.remove(runner, hashes)
        elif runner in self._generations:
            self._routed.remove(self._generations[runner].current, hashes)
            self._routed.remove(self._generations[runner].older, hashes)
