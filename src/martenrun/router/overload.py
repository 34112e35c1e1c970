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

from martenrun.router.prefill_rate import PrefillRate
from martenrun.router.retry_schedule import RetrySchedule
from martenrun.router.tuning import DEFAULTS, OverloadParameters

URGENT_PRIORITY_S = 2.0
"""Time after an urgent request was refused in which rate-limited runners are reserved for urgent
requests, in seconds."""


@attrs.define
class AdmissionCount:
    """Exponentially decayed counts of requested and admitted requests."""

    requested: float = 0.0
    admitted: float = 0.0
    updated_at: float = 0.0

    def decay(self, now: float, time_constant_s: float) -> None:
        """Decay the counts to the current time."""
        factor = math.exp((self.updated_at - now) / time_constant_s)
        self.requested *= factor
        self.admitted *= factor
        self.updated_at = now

    @property
    def admitted_share(self) -> float:
        """Share of the requests that were admitted."""
        return self.admitted / self.requested if self.requested else 1.0


@attrs.frozen
class WaitingPrompt:
    """A prompt that waits to be sent to a runner.

    Attributes:
        objective_s: latency objective of its route, in seconds.
        is_urgent: whether no route of the service is more urgent.
        groups: names of its route and its tenant, by which requests are counted.
        backlog_tokens: pending prefill of the best runner, in tokens.
    """

    objective_s: float
    is_urgent: bool
    groups: Collection[str]
    backlog_tokens: float


class OverloadGuard:
    """Load shedding of one service, based on its recent requests and prefill rate."""

    def __init__(self, parameters: OverloadParameters = DEFAULTS.overload) -> None:
        self._parameters = parameters
        self.prefill_rate = PrefillRate()
        self._total = AdmissionCount()
        self._groups: dict[str, AdmissionCount] = {}
        self._urgent_refused_at = -math.inf
        self.retry_schedule = RetrySchedule()

    def record_demand(self, groups: Collection[str], now: float) -> None:
        """Count a request from a caller."""
        for count in self._counts(groups, now):
            count.requested += 1

    def record_admitted(self, groups: Collection[str], now: float) -> None:
        """Count a request that is sent to a runner."""
        for count in self._counts(groups, now):
            count.admitted += 1

    def prefill_wait_s(self, backlog_tokens: float) -> float:
        """Return the prefill time of that many tokens, in seconds; 0 while the rate is unknown."""
        return self.prefill_rate.seconds_for(backlog_tokens) or 0.0

    def admits(self, prompt: WaitingPrompt, now: float) -> bool:
        """Return whether a prompt may be sent to the best runner now."""
        wait_s = self.prefill_wait_s(prompt.backlog_tokens)
        parameters = self._parameters
        share = parameters.urgent_share if prompt.is_urgent else parameters.others_share
        if wait_s <= prompt.objective_s * share:
            return True
        if wait_s > prompt.objective_s * parameters.behind_wait_share:
            return False
        return self.is_underserved(prompt.groups, now)

    def admits_resumed(self, backlog_tokens: float, objective_s: float) -> bool:
        """Return whether a resumed stream may be sent now to a runner with this backlog."""
        return (
            self.prefill_wait_s(backlog_tokens) <= objective_s * self._parameters.behind_wait_share
        )

    def record_urgent_refused(self, now: float) -> None:
        """Record that a request of the most urgent routes was refused because of rate limits."""
        self._urgent_refused_at = now

    def has_refused_urgent(self, now: float) -> bool:
        """Return whether an urgent request was refused recently because of rate limits."""
        return now - self._urgent_refused_at < URGENT_PRIORITY_S

    def is_underserved(self, groups: Collection[str], now: float) -> bool:
        """Return whether a group's admitted share is far below that of all requests."""
        common = self._total.admitted_share
        return any(
            count.requested >= self._parameters.least_asked
            and count.admitted_share < self._parameters.behind_share * common
            for count in self._counts(groups, now)
        )

    def _counts(self, groups: Collection[str], now: float) -> list[AdmissionCount]:
        counts = [self._total]
        counts += [self._groups.setdefault(group, AdmissionCount()) for group in groups]
        for count in counts:
            count.decay(now, self._parameters.fading_s)
        return counts
