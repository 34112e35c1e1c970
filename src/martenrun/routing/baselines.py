"""Baseline policies, kept for comparison with the product's own policy.

They prefer runners with a free slot and rank the full ones behind them.

See also: :mod:`martenrun.routing.prefix_aware`.
"""

from collections.abc import Sequence

from martenrun.constants import BLOCK_HASH_BYTES
from martenrun.identity.rendezvous import ranked
from martenrun.routing.policy import RankingPolicy, RunnerChoice, RunnerState
from martenrun.wire.messages import DecideRequest


class RoundRobinPolicy(RankingPolicy):
    """Takes the runners in turn."""

    def __init__(self) -> None:
        self._turn = 0

    def rank(
        self, question: DecideRequest, runners: Sequence[RunnerState], now: float
    ) -> list[RunnerChoice]:
        """Return the runners from the next in turn on."""
        self._turn += 1
        start = self._turn % max(1, len(runners))
        return _free_first([*runners[start:], *runners[:start]])


class LeastLoadedPolicy(RankingPolicy):
    """Takes the runner with the most free slots."""

    def rank(
        self, question: DecideRequest, runners: Sequence[RunnerState], now: float
    ) -> list[RunnerChoice]:
        """Return the runners by falling number of free slots."""
        return _free_first(sorted(runners, key=lambda runner: -runner.free_slots))


class ConsistentHashPolicy(RankingPolicy):
    """Takes the runner that ranks first for the prompt's first block."""

    def rank(
        self, question: DecideRequest, runners: Sequence[RunnerState], now: float
    ) -> list[RunnerChoice]:
        """Return the runners by falling rendezvous weight."""
        key = question.tenant.encode() + question.chain[:BLOCK_HASH_BYTES]
        by_name = {runner.name: runner for runner in runners}
        return _free_first([by_name[name] for name in ranked(key, by_name)])


def _free_first(runners: Sequence[RunnerState]) -> list[RunnerChoice]:
    ordered = sorted(runners, key=lambda runner: runner.free_slots <= 0)
    return [RunnerChoice(runner) for runner in ordered]
