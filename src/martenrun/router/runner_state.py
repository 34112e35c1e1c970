"""A router's view of each runner: load, weights and health, learned from requests and updates."""

import math

import attrs

from martenrun.router.messages import Runner
from martenrun.router.runner_doubts import RunnerDoubts

FAILURE_HALF_LIFE_S = 2.0
"""Half-life of the failure score, in seconds."""

AVOIDED_FROM = 2.5
"""Failure score from which a runner is avoided while other runners are usable."""

LOADING_MEMORY_S = 4.0
"""Time for which a runner counts as loading without a further update, in seconds."""

SILENT_AFTER_S = 0.7
"""Time without a byte after which a runner with pending requests is unresponsive, in seconds."""

SLOW_TOKENS_PER_S = 12_000.0
"""Assumed minimum prefill rate, by which the time is extended for a runner with a backlog."""


@attrs.define
class RunnerState:
    """The known state of a runner instance.  Times are monotonic, in seconds.

    Attributes:
        runner: its entry in the store.
        in_flight: number of requests of this router that it is serving.
        elsewhere: number of requests of other routers that it is serving, as last reported.
        reading: estimated pending prefill of this router's requests, in tokens.
        reading_elsewhere: estimated pending prefill of other routers' requests, in tokens.
        reading_told: ``reading`` as last broadcast to other routers.
        reading_told_at: time of that broadcast.
        held: KV cache tokens of this router's requests, without cached prompt parts.
        held_elsewhere: KV cache tokens of other routers' requests.
        learned: versions of weights by model, from responses and updates of other routers.
        loading_until: time until which it counts as loading weights.
        full_until: time until which it counts as having no capacity.
        waiting_since: time since which it has pending requests and has sent nothing, or None.
        failures: failure score as of ``failures_at``.
        failures_at: time of the last change of the failure score.
        heard_at: time at which it last sent data to this router.
        unanswered_since: start of a connection attempt that has taken too long, or None.
        limited_until: time until which this router sends it no requests because of its rate limit.
        is_grant_pending: whether a request of this router is waiting for a grant to be sent to it.
        doubts: reports of routers that find it unresponsive.
        doubt_told_at: time at which this router last reported it as unresponsive.
    """

    runner: Runner
    in_flight: int = 0
    elsewhere: int = 0
    reading: float = 0.0
    reading_elsewhere: float = 0.0
    reading_told: float = 0.0
    reading_told_at: float = -math.inf
    held: int = 0
    held_elsewhere: int = 0
    learned: dict[str, int] = attrs.field(factory=dict)
    loading_until: float = 0.0
    full_until: float = 0.0
    waiting_since: float | None = None
    failures: float = 0.0
    failures_at: float = 0.0
    doubts: RunnerDoubts = attrs.field(factory=RunnerDoubts)
    doubt_told_at: float = -math.inf
    heard_at: float = -math.inf
    unanswered_since: float | None = None
    limited_until: float = 0.0
    is_grant_pending: bool = False

    @property
    def load(self) -> int:
        """Known number of requests that it is serving."""
        return self.in_flight + self.elsewhere

    @property
    def backlog_tokens(self) -> float:
        """Known pending prefill, in tokens."""
        return self.reading + self.reading_elsewhere

    @property
    def held_tokens(self) -> int:
        """Known KV cache use of running requests, in tokens."""
        return self.held + self.held_elsewhere

    def weights_version(self, model: str) -> int | None:
        """Return the newest known version of its weights for a model, or None."""
        listed = self.runner.weights.get(model)
        learned = self.learned.get(model)
        if listed is None or learned is None:
            return listed if learned is None else learned
        return max(listed, learned)

    def learn_weights(self, model: str, version: int) -> None:
        """Record that it has a version; an older one than known is ignored."""
        if version > self.learned.get(model, 0):
            self.learned[model] = version

    def note_failure(self, now: float, weight: float = 1.0) -> None:
        """Add a failure to the score."""
        self.failures = self.remembered_failures(now) + weight
        self.failures_at = now

    def note_success(self, now: float) -> None:
        """Halve the failure score."""
        self.failures = self.remembered_failures(now) / 2
        self.failures_at = now

    def remembered_failures(self, now: float) -> float:
        """Return the failure score, decayed to the current time."""
        if self.failures == 0.0:
            return 0.0
        return self.failures * math.exp2((self.failures_at - now) / FAILURE_HALF_LIFE_S)

    def note_sent(self, now: float) -> None:
        """Count a request that is sent to it."""
        if self.in_flight == 0:
            self.waiting_since = now
        self.in_flight += 1

    def note_bytes(self, now: float) -> None:
        """Record that it has sent data."""
        self.waiting_since = now
        self.heard_at = now
        self.unanswered_since = None
        self.doubts.end()

    def note_ended(self) -> None:
        """Count a request that is finished."""
        self.in_flight -= 1
        if self.in_flight <= 0:
            self.waiting_since = None

    def is_silent(self, now: float) -> bool:
        """Return whether it has pending requests and has sent no data for too long."""
        if self.waiting_since is None:
            return False
        patience_s = SILENT_AFTER_S + self.backlog_tokens / SLOW_TOKENS_PER_S
        return now - self.waiting_since > patience_s

    def is_limited(self, now: float) -> bool:
        """Return whether its rate limit prevents this router from sending it a request now."""
        return self.is_grant_pending or now < self.limited_until

    def is_avoided(self, now: float) -> bool:
        """Return whether any other usable runner is preferred, regardless of cost."""
        return (
            now < self.loading_until
            or now < self.full_until
            or self.remembered_failures(now) >= AVOIDED_FROM
            or self.is_silent(now)
            or self.doubts.hold(now)
        )
