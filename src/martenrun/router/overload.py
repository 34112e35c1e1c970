"""Load shedding: decides whether a service can take one more prompt.

Runners prefill prompts one after the other.  A prompt sent to a runner with a long backlog misses
its objective, delays the prompts behind it and stalls the streams that run there.  A prompt is
therefore only sent if the best runner can start its prefill soon; the less urgent the route, the
shorter the allowed wait.  To prevent starvation, routes and tenants with a far lower share of
admitted requests than the average are allowed a longer wait than urgent routes.
"""

import math
from collections.abc import Collection

import attrs

from martenrun.router.decisions import DEFAULTS, OverloadFigures
from martenrun.router.reading_speed import ReadingSpeed
from martenrun.router.retry_turns import RetryTurns

URGENT_PRIORITY_S = 2.0
"""Time after an urgent request was refused in which rate-limited runners are reserved for urgent
requests, in seconds."""


@attrs.define
class TakenCount:
    """Exponentially decayed counts of requested and admitted requests."""

    asked: float = 0.0
    taken: float = 0.0
    counted_at: float = 0.0

    def fade(self, now: float, time_constant_s: float) -> None:
        """Decay the counts to the current time."""
        kept = math.exp((self.counted_at - now) / time_constant_s)
        self.asked *= kept
        self.taken *= kept
        self.counted_at = now

    @property
    def share(self) -> float:
        """Share of the requests that were admitted."""
        return self.taken / self.asked if self.asked else 1.0


@attrs.frozen
class WaitingPrompt:
    """A prompt that waits to be sent to a runner.

    Attributes:
        objective_s: latency objective of its route, in seconds.
        is_urgent: whether no route of the service is more urgent.
        groups: names of its route and its tenant, by which requests are counted.
        tokens_ahead: pending prefill of the best runner, in tokens.
    """

    objective_s: float
    is_urgent: bool
    groups: Collection[str]
    tokens_ahead: float


class OverloadGuard:
    """Load shedding of one service, based on its recent requests and prefill rate."""

    def __init__(self, figures: OverloadFigures = DEFAULTS.overload) -> None:
        self._figures = figures
        self.speed = ReadingSpeed()
        self._all = TakenCount()
        self._groups: dict[str, TakenCount] = {}
        self._urgent_refused_at = -math.inf
        self.retry_turns = RetryTurns()

    def note_asked(self, groups: Collection[str], now: float) -> None:
        """Count a request from a caller."""
        for count in self._counts(groups, now):
            count.asked += 1

    def note_taken(self, groups: Collection[str], now: float) -> None:
        """Count a request that is sent to a runner."""
        for count in self._counts(groups, now):
            count.taken += 1

    def wait_s(self, tokens_ahead: float) -> float:
        """Return the prefill time of that many tokens, in seconds; 0 while the rate is unknown."""
        return self.speed.seconds_for(tokens_ahead) or 0.0

    def takes(self, prompt: WaitingPrompt, now: float) -> bool:
        """Return whether a prompt may be sent to the best runner now."""
        wait_s = self.wait_s(prompt.tokens_ahead)
        figures = self._figures
        share = figures.urgent_share if prompt.is_urgent else figures.others_share
        if wait_s <= prompt.objective_s * share:
            return True
        if wait_s > prompt.objective_s * figures.behind_wait_share:
            return False
        return self.is_behind(prompt.groups, now)

    def note_urgent_refused(self, now: float) -> None:
        """Record that a request of the most urgent routes was refused because of rate limits."""
        self._urgent_refused_at = now

    def has_refused_urgent(self, now: float) -> bool:
        """Return whether an urgent request was refused recently because of rate limits."""
        return now - self._urgent_refused_at < URGENT_PRIORITY_S

    def is_behind(self, groups: Collection[str], now: float) -> bool:
        """Return whether a group's admitted share is far below that of all requests."""
        common = self._all.share
        return any(
            count.asked >= self._figures.least_asked
            and count.share < self._figures.behind_share * common
            for count in self._counts(groups, now)
        )

    def _counts(self, groups: Collection[str], now: float) -> list[TakenCount]:
        counts = [self._all]
        counts += [self._groups.setdefault(group, TakenCount()) for group in groups]
        for count in counts:
            count.fade(now, self._figures.fading_s)
        return counts
