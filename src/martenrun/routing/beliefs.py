"""Beliefs about caches from all sources: event feeds, own routing, owners' and agents' words.

A runner whose event feed this node reads is *fed*: its beliefs stay until an event, a gap or a
correction takes them.  Of other runners a node knows what it has sent there and when; such a
belief ends some lifetimes after it was used last, because nobody tells of evictions.  The
lifetime is learned: wrong beliefs shorten it, right ones lengthen it.  A gap in a feed drops all
that is believed of the runner but what was sent there within a lifetime.

See also: :class:`martenrun.routing.prefix_index.PrefixIndex`,
:class:`martenrun.routing.prefix_tree.PrefixTree`.
"""

import collections
from collections.abc import Sequence
from dataclasses import dataclass

from martenrun.constants import BLOCK_HASH_BYTES
from martenrun.identity.chain import BlockHashes, as_array
from martenrun.routing.prefix_index import PrefixIndex, RunnerIdentity
from martenrun.routing.prefix_tree import PrefixTree

FED_MEMORY_BYTES = 21_500_000
"""Bound of the index of fed runners: 4.3 million blocks at 5 bytes each."""

ROUTED_MEMORY_BYTES = 3_000_000
"""Bound of what is known of chains sent to runners that are not fed."""

FED_RUNNERS = 32
"""Fed runners that are told apart; one more stays unknown."""

MAXIMUM_RUNS = 16_384
"""Runners that are told apart; the one named first is forgotten first."""

BELIEVED_LIFETIMES = 1.5
"""Lifetimes for which a block that was sent to a runner is believed to be there."""

RECENT_CHAINS = 2_048
"""Chains sent to fed runners that are remembered against gaps."""

_MINIMUM_LIFETIME_S = 2.0
_MAXIMUM_LIFETIME_S = 120.0
FIRST_LIFETIME_S = 20.0
"""Lifetime of beliefs about a runner of which nothing is learned yet, in seconds."""

_LENGTHEN = 1.005
_SHORTEN = 0.8


@dataclass(slots=True, eq=False)
class RunnerRun:
    """One run of a runner with one version of its weights, and what is learned of it.

    Beliefs name the run itself, so that none about an earlier run is ever found again.

    Attributes:
        lifetime_s: how long blocks are believed to stay cached unused; short under pressure.
        is_fed: whether this node reads the runner's event feed.
    """

    runner: str
    incarnation: str
    weights_version: str
    lifetime_s: float = FIRST_LIFETIME_S
    is_fed: bool = False


@dataclass(frozen=True, slots=True)
class _Routed:
    """A chain that was sent to a fed runner."""

    runner: str
    chain: bytes
    at: float


class BeliefBook:
    """What one node believes about the caches of all runners it deals with.

    Args:
        fed_memory_bytes: bound of the index of fed runners.
        routed_memory_bytes: bound of what is known of the others.
    """

    def __init__(
        self,
        fed_memory_bytes: int = FED_MEMORY_BYTES,
        routed_memory_bytes: int = ROUTED_MEMORY_BYTES,
    ) -> None:
        self._fed = PrefixIndex(fed_memory_bytes, FED_RUNNERS)
        self._routed: PrefixTree[RunnerRun] = PrefixTree(routed_memory_bytes)
        self._runs: dict[str, RunnerRun] = {}
        self._fed_runners: set[str] = set()
        self._recent: collections.deque[_Routed] = collections.deque(maxlen=RECENT_CHAINS)

    def identify(self, runner: str, incarnation: str, weights_version: str) -> RunnerRun:
        """Name the run that later calls mean; another run ends every older belief."""
        run = self._runs.get(runner)
        if run is not None:
            if run.incarnation == incarnation and run.weights_version == weights_version:
                return run
            self.forget(runner)
        run = self._runs[runner] = RunnerRun(runner, incarnation, weights_version)
        if len(self._runs) > MAXIMUM_RUNS:
            self.forget(next(iter(self._runs)))
        return run

    def forget(self, runner: str) -> None:
        """Forget a runner and every belief about it."""
        self.feed_ended(runner)
        self._runs.pop(runner, None)

    @property
    def fed_runners(self) -> list[str]:
        """Names of the runners whose event feeds are read here."""
        return list(self._fed_runners)

    def feed(self, runner: str, stored: BlockHashes, removed: BlockHashes) -> None:
        """Apply what an identified runner's event feed told; repeated events do no harm."""
        run = self._runs.get(runner)
        if run is None:
            return
        if not run.is_fed:
            run.is_fed = True
            self._fed_runners.add(runner)
            self._fed.identify(runner, RunnerIdentity(run.incarnation, run.weights_version))
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
                self._fed.add(runner, as_array(sent.chain))

    def feed_ended(self, runner: str) -> None:
        """The runner's feed is no longer read here."""
        if runner in self._fed_runners:
            self._fed_runners.discard(runner)
            self._runs[runner].is_fed = False
            self._fed.forget(runner)

    def routed(self, runner: str, chain: bytes, believed: int, now: float) -> None:
        """A request with this chain is sent to the runner, which will hold it.

        ``believed`` leading blocks are known already; they only live longer.
        """
        if runner in self._fed_runners:
            self._fed.add(runner, as_array(chain)[believed:])
            self._recent.append(_Routed(runner, chain, now))
        elif runner in self._runs:
            self._routed.add(self._runs[runner], chain, now)

    def corrected(self, runner: str, chain: bytes, believed: int, cached: int, now: float) -> None:
        """Take in how many leading blocks are really cached at this moment."""
        if cached < believed:
            self.not_run(runner, chain[: believed * BLOCK_HASH_BYTES], cached)
        elif runner in self._fed_runners:
            self._fed.add(runner, as_array(chain)[believed:cached])
        elif cached > believed and runner in self._runs:
            self._routed.add(self._runs[runner], chain[: cached * BLOCK_HASH_BYTES], now)

    def lifetime_s(self, runner: str) -> float:
        """Return how long blocks are believed to stay cached unused; short under pressure."""
        run = self._runs.get(runner)
        return FIRST_LIFETIME_S if run is None else run.lifetime_s

    def judged(self, runner: str, believed: int, cached: int) -> None:
        """Learn a runner's lifetime from what became of one belief."""
        run = self._runs.get(runner)
        if believed and run is not None:
            change = _SHORTEN if cached < believed / 2 else _LENGTHEN
            bounded = min(_MAXIMUM_LIFETIME_S, run.lifetime_s * change)
            run.lifetime_s = max(_MINIMUM_LIFETIME_S, bounded)

    def not_run(self, runner: str, chain: bytes, believed: int) -> None:
        """Blocks after the first ``believed`` that a chain would have left are not there."""
        if runner in self._fed_runners:
            self._fed.remove(runner, as_array(chain)[believed:])
        elif runner in self._runs:
            self._routed.remove(self._runs[runner], chain, believed)

    def leading(self, chain: bytes, runners: Sequence[str], now: float) -> list[int]:
        """Return the leading blocks believed cached at each runner, in order."""
        return self.leading_at([self._runs.get(runner) for runner in runners], chain, now)

    def leading_at(self, runs: Sequence[RunnerRun | None], chain: bytes, now: float) -> list[int]:
        """Return the leading blocks believed cached at each run of a runner, in order."""
        routed = [None if run is None or run.is_fed else run for run in runs]
        since = [
            0.0 if run is None else now - BELIEVED_LIFETIMES * run.lifetime_s for run in routed
        ]
        leading = self._routed.leading(chain, routed, since)
        if self._fed_runners and any(run.is_fed for run in runs if run is not None):
            self._add_fed(runs, chain, leading)
        return leading

    def _add_fed(self, runs: Sequence[RunnerRun | None], chain: bytes, leading: list[int]) -> None:
        blocks = self._fed.match(as_array(chain)).blocks.tolist()
        for index, run in enumerate(runs):
            if run is not None and run.is_fed:
                slot = self._fed.slot_of(run.runner)
                leading[index] = blocks[slot] if slot >= 0 else 0
