"""Whether a service is too busy for one more prompt, and whose prompts then wait.

Runners read prompts in turn.  A prompt sent to a runner with much to read is late whatever
happens, makes those behind it late, and holds up the streams that run there.  So a prompt is only
sent while the best runner can begin to read it soon; the less urgent its route, the sooner that
must be.  Kinds of requests and tenants of which far fewer are taken than of all others go before
the urgent ones.
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
    """How many requests were asked and taken lately, faded."""

    asked: float = 0.0
    taken: float = 0.0
    counted_at: float = 0.0

    def fade(self, now: float, time_constant_s: float) -> None:
        """Let what was counted fade until now."""
        kept = math.exp((self.counted_at - now) / time_constant_s)
        self.asked *= kept
        self.taken *= kept
        self.counted_at = now

    @property
    def share(self) -> float:
        """Part of the requests that was taken."""
        return self.taken / self.asked if self.asked else 1.0


@attrs.frozen
class WaitingPrompt:
    """A prompt that asks for a runner.

    Attributes:
        objective_s: latency objective of its route, in seconds.
        is_urgent: whether no route of the service is more urgent.
        groups: the kind and the tenant that it belongs to.
        tokens_ahead: what the best runner has to read before it, in tokens.
    """

    objective_s: float
    is_urgent: bool
    groups: Collection[str]
    tokens_ahead: float


class OverloadGuard:
    """Decides for one service; learns from what is asked, taken and read."""

    def __init__(self, figures: OverloadFigures = DEFAULTS.overload) -> None:
        self._figures = figures
        self.speed = ReadingSpeed()
        self._all = TakenCount()
        self._groups: dict[str, TakenCount] = {}
        self._urgent_refused_at = -math.inf
        self.retry_turns = RetryTurns()

    def note_asked(self, groups: Collection[str], now: float) -> None:
        """Count a request that callers sent."""
        for count in self._counts(groups, now):
            count.asked += 1

    def note_taken(self, groups: Collection[str], now: float) -> None:
        """Count a request that was sent to a runner."""
        for count in self._counts(groups, now):
            count.taken += 1

    def wait_s(self, tokens_ahead: float) -> float:
        """Return how long a runner reads so many tokens, in seconds; 0 while that is unknown."""
        return self.speed.seconds_for(tokens_ahead) or 0.0

    def takes(self, prompt: WaitingPrompt, now: float) -> bool:
        """Whether a prompt may be sent to the best runner now."""
        wait_s = self.wait_s(prompt.tokens_ahead)
        figures = self._figures
        share = figures.urgent_share if prompt.is_urgent else figures.others_share
        if wait_s <= prompt.objective_s * share:
            return True
        if wait_s > prompt.objective_s * figures.behind_wait_share:
            return False
        return self.is_behind(prompt.groups, now)

    def note_urgent_refused(self, now: float) -> None:
        """Record that a most urgent request was refused because of runners' rate limits."""
        self._urgent_refused_at = now

    def has_refused_urgent(self, now: float) -> bool:
        """Whether a most urgent request was refused recently because of runners' rate limits."""
        return now - self._urgent_refused_at < URGENT_PRIORITY_S

    def is_behind(self, groups: Collection[str], now: float) -> bool:
        """Whether far fewer requests of a group were taken lately than of all."""
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
