"""A router's view of each runner: load, weights and health, learned from requests and updates."""

import math

import attrs

from martenrun.router.messages import Runner, unknown_software
from martenrun.router.unresponsive_reports import UnresponsiveReports

FAILURE_HALF_LIFE_S = 2.0
"""Half-life of the failure score, in seconds."""

AVOIDED_FAILURE_SCORE = 2.5
"""Failure score from which a runner is avoided while other runners are usable."""

LOADING_TIMEOUT_S = 4.0
"""Time for which a runner counts as loading without a further update, in seconds."""

TRIAL_INTERVAL_S = 1.0
"""Minimum time between requests to a runner after a backoff until it accepts one, in seconds."""

FULL_RUNNER_INTERVAL_S = 0.15
"""How long a runner that refused a request as full is not chosen, in seconds."""

REFUSAL_GROWTH = 8.0
"""Factor by which the time that a refusing runner is avoided grows with each refusal in a row."""

MAXIMUM_REFUSAL_INTERVAL_S = 4.8
"""Maximum time that a refusing runner is avoided while other runners are usable, in seconds."""

UNRESPONSIVE_AFTER_S = 0.7
"""Time without a byte after which a runner with pending requests is unresponsive, in seconds."""

MINIMUM_PREFILL_TOKENS_PER_S = 12_000.0
"""Assumed minimum prefill rate, by which the time is extended for a runner with a backlog."""


@attrs.define
class RunnerState:
    """The known state of a runner instance.  Times are monotonic, in seconds.

    Attributes:
        runner: its entry in the store.
        in_flight: number of requests of this router that it is serving.
        other_requests: number of requests of other routers that it is serving, as last reported.
        pending_prefill_tokens: estimated pending prefill of this router's requests, in tokens.
        other_prefill_tokens: estimated pending prefill of other routers' requests, in tokens.
        broadcast_prefill_tokens: ``pending_prefill_tokens`` as last broadcast to other routers.
        prefill_broadcast_at: time of that broadcast.
        kv_cache_tokens: KV cache tokens of this router's requests, without cached prompt parts.
        other_kv_cache_tokens: KV cache tokens of other routers' requests.
        learned_versions: versions of weights by model, from responses and updates of other routers.
        loading_until: time until which it counts as loading weights.
        full_until: time until which it counts as having no capacity.
        waiting_since: time since which it has pending requests and has sent nothing, or None.
        failures: failure score as of ``failures_at``.
        failures_at: time of the last change of the failure score.
        last_data_at: time at which it last sent data to this router.
        connecting_since: start of a connection attempt that has taken too long, or None.
        limited_until: time until which this router sends it no requests because of its rate limit.
        is_grant_pending: whether a request of this router is waiting for a grant to be sent to it.
        draining_since: time at which this router learned that it is draining, or None.
        backoff_until: time until which it has asked this router for no requests.
        has_accepted: whether it has accepted a request since the latest backoff.
        refusals: number of refusals in a row, without a requested backoff.
        refused_at: time of the last one counted.
        sent_at: time at which a request was last sent to it.
        instance_checked_at: time at which the last report that was received was requested, see
            :class:`martenrun.router.instance_check.InstanceCheck`.
        connection_broken_at: time at which a connection to it last broke.
        has_restarted: whether its report shows a later start than its entry.
        unresponsive_reports: reports of routers that find it unresponsive.
        unresponsive_reported_at: time at which this router last reported it as unresponsive.
    """

    runner: Runner
    in_flight: int = 0
    other_requests: int = 0
    pending_prefill_tokens: float = 0.0
    other_prefill_tokens: float = 0.0
    broadcast_prefill_tokens: float = 0.0
    prefill_broadcast_at: float = -math.inf
    kv_cache_tokens: int = 0
    other_kv_cache_tokens: int = 0
    learned_versions: dict[str, int] = attrs.field(factory=dict)
    loading_until: float = 0.0
    full_until: float = 0.0
    waiting_since: float | None = None
    failures: float = 0.0
    failures_at: float = 0.0
    unresponsive_reports: UnresponsiveReports = attrs.field(factory=UnresponsiveReports)
    unresponsive_reported_at: float = -math.inf
    last_data_at: float = -math.inf
    connecting_since: float | None = None
    limited_until: float = 0.0
    is_grant_pending: bool = False
    draining_since: float | None = None
    backoff_until: float = -math.inf
    has_accepted: bool = True
    refusals: int = 0
    refused_at: float = -math.inf
    sent_at: float = -math.inf
    instance_checked_at: float = -math.inf
    connection_broken_at: float = -math.inf
    has_restarted: bool = False

    @property
    def software_id(self) -> str:
        """Software version, see :attr:`Runner.software_id`; unknown after an unlisted restart."""
        return unknown_software(self.runner) if self.has_restarted else self.runner.software_id

    @property
    def is_draining(self) -> bool:
        """Whether its entry or a response of it announces that it will stop."""
        return self.runner.is_draining or self.draining_since is not None

    def record_draining(self, now: float) -> bool:
        """Record that it announces that it will stop, which an instance never takes back.

        Returns:
            whether that was not known before.
        """
        is_news = self.draining_since is None
        if is_news:
            self.draining_since = now
        return is_news

    def record_backoff(self, until: float) -> None:
        """Record that it asks for no requests until a time; a longer backoff is kept."""
        self.backoff_until = max(self.backoff_until, until)
        self.has_accepted = False

    def record_refusal(self, sent_at: float, now: float) -> None:
        """Record that it refused a request as full, without a backoff.

        Requests that were on their way when it refused another one do not count again.
        """
        self.full_until = now + FULL_RUNNER_INTERVAL_S
        if sent_at >= self.refused_at:
            self.refusals += 1
            self.refused_at = now

    def record_accepted(self, sent_at: float) -> None:
        """Record that it has accepted a request that was sent to it at a time."""
        if sent_at >= self.backoff_until:
            self.has_accepted = True
        if sent_at >= self.refused_at:
            self.refusals = 0

    def is_backing_off(self, now: float) -> bool:
        """Return whether it has asked this router for no requests now."""
        return now < self.backoff_until

    @property
    def load(self) -> int:
        """Known number of requests that it is serving."""
        return self.in_flight + self.other_requests

    @property
    def backlog_tokens(self) -> float:
        """Known pending prefill, in tokens."""
        return self.pending_prefill_tokens + self.other_prefill_tokens

    @property
    def total_kv_cache_tokens(self) -> int:
        """Known KV cache use of running requests, in tokens."""
        return self.kv_cache_tokens + self.other_kv_cache_tokens

    def weights_version(self, model: str) -> int | None:
        """Return the newest known version of its weights for a model, or None."""
        listed = self.runner.weights.get(model)
        learned = self.learned_versions.get(model)
        if listed is None or learned is None:
            return listed if learned is None else learned
        return max(listed, learned)

    def record_weights(self, model: str, version: int) -> None:
        """Record that it has a version; an older one than known is ignored."""
        if version > self.learned_versions.get(model, 0):
            self.learned_versions[model] = version

    def record_failure(self, now: float, weight: float = 1.0) -> None:
        """Add a failure to the score."""
        self.failures = self.failure_score(now) + weight
        self.failures_at = now

    def record_success(self, now: float) -> None:
        """Halve the failure score."""
        self.failures = self.failure_score(now) / 2
        self.failures_at = now

    def failure_score(self, now: float) -> float:
        """Return the failure score, decayed to the current time."""
        if self.failures == 0.0:
            return 0.0
        return self.failures * math.exp2((self.failures_at - now) / FAILURE_HALF_LIFE_S)

    def record_sent(self, now: float) -> None:
        """Count a request that is sent to it."""
        self.sent_at = now
        if self.in_flight == 0:
            self.waiting_since = now
        self.in_flight += 1

    def record_data(self, now: float) -> None:
        """Record that it has sent data."""
        self.waiting_since = now
        self.last_data_at = now
        self.connecting_since = None
        self.unresponsive_reports.clear()

    def record_finished(self) -> None:
        """Count a request that is finished."""
        self.in_flight -= 1
        if self.in_flight <= 0:
            self.waiting_since = None

    def is_unresponsive(self, now: float) -> bool:
        """Return whether it has pending requests and has sent no data for too long."""
        if self.waiting_since is None:
            return False
        timeout_s = UNRESPONSIVE_AFTER_S + self.backlog_tokens / MINIMUM_PREFILL_TOKENS_PER_S
        return now - self.waiting_since > timeout_s

    def is_limited(self, now: float) -> bool:
        """Return whether its rate limit prevents this router from sending it a request now."""
        return self.is_grant_pending or now < self.limited_until

    def is_on_trial(self, now: float) -> bool:
        """Return whether a first request after a backoff shows whether it accepts further ones.

        If it still refuses, that costs one request and not all that arrive meanwhile.
        """
        is_sent = self.sent_at >= self.backoff_until and now < self.sent_at + TRIAL_INTERVAL_S
        return is_sent and not self.has_accepted

    @property
    def blocked_until(self) -> float:
        """Time until which its rate limit or a backoff excludes it."""
        return max(self.limited_until, self.backoff_until)

    def is_blocked(self, now: float) -> bool:
        """Return whether its rate limit or a backoff excludes it now."""
        return self.is_limited(now) or self.is_backing_off(now) or self.is_on_trial(now)

    def is_avoided(self, now: float) -> bool:
        """Return whether any other usable runner is preferred, regardless of cost."""
        is_busy = now < self.loading_until or now < self.full_until
        return is_busy or self.is_refusing(now) or self.is_unreliable(now)

    def is_refusing(self, now: float) -> bool:
        """Return whether it most likely refuses a request, as it has refused the last ones."""
        if not self.refusals:
            return False
        interval_s = FULL_RUNNER_INTERVAL_S * REFUSAL_GROWTH ** (self.refusals - 1)
        return now < self.refused_at + min(interval_s, MAXIMUM_REFUSAL_INTERVAL_S)

    def is_unreliable(self, now: float) -> bool:
        """Return whether it has failed too often lately, or sends no data."""
        return (
            self.failure_score(now) >= AVOIDED_FAILURE_SCORE
            or self.is_unresponsive(now)
            or self.unresponsive_reports.is_suspected(now)
        )
