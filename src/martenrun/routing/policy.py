"""The interface of routing policies and what they know about runners."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol

import msgspec

from martenrun.wire.messages import AttemptReport, DecideRequest


class RunnerState(msgspec.Struct, gc=False):
    """What a node knows about one runner.

    A node knows thousands of them, so they are structs of texts and numbers that the interpreter's
    collector passes by.

    Attributes:
        name: the machine's name.
        address: ``IP:port`` of the engine.
        incarnation: changes whenever the engine restarts; empty until it described itself.
        in_flight: requests this node has granted and that have not ended.
        reported_running: the engine's own count, some time old.
        reported_at: this node's time when that count arrived, in seconds.
        in_flight_at_report: ``in_flight`` when that count arrived.
        accepting: false while the engine drains or loads.
        model: what the engine serves; empty until it described itself.
        listed_pool: the pool that the machine list names; None if the runner is not listed.
    """

    name: str
    address: str
    zone: str
    pool: str
    incarnation: str = ""
    weights_version: str = ""
    slots: int = 0
    in_flight: int = 0
    reported_running: int = 0
    leaving: bool = False
    reported_at: float = 0.0
    in_flight_at_report: int = 0
    accepting: bool = True
    model: str = ""
    listed_pool: str | None = None

    @property
    def is_usable(self) -> bool:
        """Whether new work may be sent to the runner."""
        return bool(self.incarnation) and self.accepting and not self.leaving

    @property
    def free_slots(self) -> int:
        """Slots believed free; own grants count at once, foreign ones late."""
        return self.slots - max(self.in_flight, self.reported_running)


@dataclass(frozen=True, slots=True)
class RunnerChoice:
    """A runner that may take the request, and what is expected of it.

    Attributes:
        believed_blocks: leading blocks of the prompt believed to be cached there.
        expected_first_token_s: expected time to the first token; 0 if the policy has no model.
        incarnation, weights_version: the runner's when it was ranked, which the belief is about.
    """

    runner: RunnerState
    believed_blocks: int = 0
    expected_first_token_s: float = 0.0
    incarnation: str = ""
    weights_version: str = ""

    def granted_at(self, incarnation: str, weights_version: str) -> "RunnerChoice":
        """Return the choice as its slot was granted: another run holds none of the blocks."""
        if (incarnation, weights_version) == (self.incarnation, self.weights_version):
            return self
        return RunnerChoice(
            self.runner, 0, self.expected_first_token_s, incarnation, weights_version
        )


NOT_CANDIDATE_S = 1e6
"""Added to the expected time at runners that are only for the case that all others fail."""


class RoutingPolicy(Protocol):
    """Ranks the runners that could take a request, and learns from what became of it.

    The order of calls for one attempt is ``rank``, then ``corrected`` for each owner that told
    what it knows, then ``granted``, then ``observe`` or ``withdrawn``.
    """

    def rank(
        self, question: DecideRequest, runners: Sequence[RunnerState], now: float
    ) -> list[RunnerChoice]:
        """Return choices among ``runners``, best first; empty only if ``runners`` is.

        A policy may leave the worst ones out.
        """
        ...

    def route(
        self, question: DecideRequest, runners: Sequence[RunnerState], now: float
    ) -> RunnerChoice:
        """Return the best choice among ``runners``, which is not empty."""
        ...

    def corrected(self, question: DecideRequest, runner: str, cached_blocks: int) -> None:
        """Take in how many leading blocks the runner's owner node knows to be cached."""
        ...

    def told_placed(self, runner: str, blocks: int, now: float) -> None:
        """Take in how many blocks all homes have placed on a runner, as its owner counts."""
        ...

    def granted(self, question: DecideRequest, choice: RunnerChoice, now: float) -> None:
        """Count the work of an attempt that has been granted."""
        ...

    def observe(self, report: AttemptReport, now: float) -> None:
        """Learn from an attempt that has ended; unknown attempts are ignored."""
        ...

    def withdrawn(self, request_id: str, attempt: int) -> None:
        """Forget a granted attempt that did not run to its end."""
        ...


class RankingPolicy:
    """Base of policies that learn nothing; subclasses give ``rank``."""

    def rank(
        self, question: DecideRequest, runners: Sequence[RunnerState], now: float
    ) -> list[RunnerChoice]:
        """See :meth:`RoutingPolicy.rank`."""
        raise NotImplementedError

    def route(
        self, question: DecideRequest, runners: Sequence[RunnerState], now: float
    ) -> RunnerChoice:
        """See :meth:`RoutingPolicy.route`."""
        return self.rank(question, runners, now)[0]

    def corrected(self, question: DecideRequest, runner: str, cached_blocks: int) -> None:
        """See :meth:`RoutingPolicy.corrected`."""

    def told_placed(self, runner: str, blocks: int, now: float) -> None:
        """See :meth:`RoutingPolicy.told_placed`."""

    def granted(self, question: DecideRequest, choice: RunnerChoice, now: float) -> None:
        """See :meth:`RoutingPolicy.granted`."""

    def observe(self, report: AttemptReport, now: float) -> None:
        """See :meth:`RoutingPolicy.observe`."""

    def withdrawn(self, request_id: str, attempt: int) -> None:
        """See :meth:`RoutingPolicy.withdrawn`."""
