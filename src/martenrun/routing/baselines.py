"""Baseline policies, kept for comparison with the product's own policy."""

from collections.abc import Sequence

from martenrun.constants import BLOCK_HASH_BYTES
from martenrun.identity.rendezvous import ranked
from martenrun.routing.policy import RunnerChoice, RunnerState
from martenrun.wire.messages import DecideRequest


class RoundRobinPolicy:
    """Takes the runners in turn."""

    def __init__(self) -> None:
        self._turn = 0

    def route(
        self, question: DecideRequest, runners: Sequence[RunnerState], now: float
    ) -> RunnerChoice:
        """Return the next runner in turn."""
        self._turn += 1
        return RunnerChoice(runners[self._turn % len(runners)])


class LeastLoadedPolicy:
    """Takes the runner with the most free slots."""

    def route(
        self, question: DecideRequest, runners: Sequence[RunnerState], now: float
    ) -> RunnerChoice:
        """Return the runner with the most free slots."""
        return RunnerChoice(max(runners, key=lambda runner: runner.free_slots))


class ConsistentHashPolicy:
    """Takes the runner that ranks first for the prompt's first block."""

    def route(
        self, question: DecideRequest, runners: Sequence[RunnerState], now: float
    ) -> RunnerChoice:
        """Return the runner of highest rendezvous weight."""
        key = question.tenant.encode() + question.chain[:BLOCK_HASH_BYTES]
        by_name = {runner.name: runner for runner in runners}
        return RunnerChoice(by_name[ranked(key, by_name)[0]])
