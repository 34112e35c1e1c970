"""Rate limits that runners advertise in their responses, shared among all routers.

Routers broadcast every change with a monotonically increasing version and with ages.  A limit is
lifted in steps so that a recovering runner does not receive the full load at once.  No I/O or
clock.
"""

import random
from collections.abc import Callable, Container

import attrs

from martenrun.router.limit_messages import LimitRecord, LimitUpdate
from martenrun.router.log import log_event, log_warning
from martenrun.router.quotas.limit import RateLimit
from martenrun.router.response_metadata import AdvertisedLimit

UNLISTED_RETENTION_S = 60.0
"""How long the limit of an unlisted runner is kept after its last confirmation, in seconds.

Entries of live runners expire while the store is unavailable.
"""

MINIMUM_REQUESTS_PER_S = 0.1
"""Lower bound of the enforced rate, so that responses can show that a runner has recovered."""

MAXIMUM_REQUESTS_PER_S = 1e6

BURST_S = 0.25
"""Burst size in seconds of the rate; a burst is always at least one request."""

RECOVERY_STEPS = 3
"""Number of rate increases after which the limit of a recovering runner is lifted."""

RECOVERY_FACTOR = 4.0
"""Factor by which each recovery step raises the rate."""

RECOVERY_STEP_S = 0.5
"""Minimum time between two recovery steps, in seconds."""

BROADCAST_INTERVAL_S = 1.0
"""Minimum interval at which a confirmed limit is broadcast again, in seconds."""

CHANGE_BROADCAST_INTERVAL_S = 0.5
"""Interval at which a change is broadcast again, in seconds."""

CHANGE_REPEATS = 3
"""Number of times a change is broadcast again, in case datagrams are lost."""

RECORDS_PER_DATAGRAM = 500
"""Maximum number of limits in one datagram."""

PROBE_AFTER_S = (20.0, 40.0)
"""Range of the time without a response after which a router that reaches no account owner sends a
probe, in seconds."""

RECOVERY_PROBE_S = 1.0
"""Time without a response before a probe while the limit is being lifted, in seconds."""


@attrs.define
class RunnerLimit:
    """The rate limit of a runner instance.

    Attributes:
        version: the limit with the higher version takes precedence.
        requests_per_s: rate limit shared by all routers.
        changed_at: monotonic time at which the limit last changed, in seconds.
        confirmed_at: monotonic time of the latest response that confirms it, in seconds.
        recovery_steps: number of increases since the runner stopped advertising a limit.
        observed_at: monotonic time of the latest confirming response to this router, in seconds.
        broadcast_at: monotonic time of the last broadcast, in seconds.
        repeats_left: number of broadcasts left to repeat a change.
        probed_at: monotonic time of the last request sent without a grant, in seconds.
        probe_after_s: time without a response after which a probe may be sent, in seconds.
    """

    version: int
    requests_per_s: float
    changed_at: float
    confirmed_at: float
    recovery_steps: int = 0
    observed_at: float = 0.0
    broadcast_at: float = 0.0
    repeats_left: int = 0
    probed_at: float = 0.0
    probe_after_s: float = 0.0

    @property
    def is_over(self) -> bool:
        """Whether the limit has been lifted."""
        return self.recovery_steps >= RECOVERY_STEPS

    @property
    def rate_limit(self) -> RateLimit:
        """The limit as enforced over all routers, within the minimum and maximum rates."""
        rate = min(MAXIMUM_REQUESTS_PER_S, max(MINIMUM_REQUESTS_PER_S, self.requests_per_s))
        return RateLimit(rate, max(1.0, rate * BURST_S))

    def record(self, instance: str, now: float) -> LimitRecord:
        """Return the record sent to other routers."""
        return LimitRecord(
            instance,
            self.version,
            self.requests_per_s,
            self.recovery_steps,
            round((now - self.changed_at) * 1000),
            round((now - self.confirmed_at) * 1000),
        )


class RunnerLimits:
    """Rate limits by runner instance.

    Args:
        broadcast: broadcasts an update to all routers.
        on_changed: called with the instance whose limit has changed.
        count: counts an event, by outcome.
    """

    def __init__(
        self,
        broadcast: Callable[[LimitUpdate], None] = lambda _update: None,
        on_changed: Callable[[str], None] = lambda _instance: None,
        count: Callable[[str], None] = lambda _outcome: None,
        rng: random.Random | None = None,
    ) -> None:
        self._broadcast = broadcast
        self._on_changed = on_changed
        self.count = count
        self._rng = rng or random.Random()
        self._limits: dict[str, RunnerLimit] = {}

    def __len__(self) -> int:
        return sum(not limit.is_over for limit in self._limits.values())

    def limit(self, instance: str) -> RunnerLimit | None:
        """Return the limit of a runner instance, or None if it has none."""
        found = self._limits.get(instance)
        return None if found is None or found.is_over else found

    # Responses of runners

    def record_advertised(self, instance: str, advertised: AdvertisedLimit, now: float) -> None:
        """Record the limit that a response advertises; an invalid one changes nothing."""
        rate = advertised.requests_per_s
        if rate is None:
            self.count("unreadable")
            log_warning("runner_limit_unreadable", instance=instance, value=advertised.text)
            return
        known = self._limits.get(instance)
        if known is not None and not known.recovery_steps and known.requests_per_s == rate:
            known.confirmed_at = known.observed_at = now
            return
        version = 1 if known is None else known.version + 1
        self._change(instance, RunnerLimit(version, rate, now, now), "named", now)

    def record_absent(self, instance: str, sent_at: float, now: float) -> None:
        """Record that a response advertises no limit, which may start the next recovery step.

        Args:
            sent_at: monotonic time at which the request was sent, in seconds.  The response to a
                request sent before the limit was advertised may predate the limit.
        """
        known = self.limit(instance)
        if known is None or sent_at <= known.changed_at:
            return
        if known.recovery_steps and now - known.changed_at < RECOVERY_STEP_S:
            return
        rate = known.rate_limit.units_per_s * RECOVERY_FACTOR
        steps = known.recovery_steps + 1
        raised = RunnerLimit(known.version + 1, rate, now, now, steps)
        self._change(instance, raised, "ended" if raised.is_over else "raised", now)

    def _change(self, instance: str, limit: RunnerLimit, outcome: str, now: float) -> None:
        limit.observed_at = limit.broadcast_at = now
        limit.repeats_left = CHANGE_REPEATS
        self._put(instance, limit, outcome, "answer", now)
        self._broadcast(LimitUpdate([limit.record(instance, now)]))

    # Other routers

    def merge(self, update: LimitUpdate, now: float) -> None:
        """Merge an update from another router."""
        for record in update.records:
            self._merge_record(record, now)

    def _merge_record(self, record: LimitRecord, now: float) -> None:
        known = self._limits.get(record.instance)
        confirmed_at = now - record.confirmed_ago_ms / 1000
        if known is not None and _precedence(known) == _precedence(record):
            known.confirmed_at = max(known.confirmed_at, confirmed_at)
            known.broadcast_at = now
        elif known is None or _precedence(known) < _precedence(record):
            received = RunnerLimit(
                record.version,
                record.requests_per_s,
                now - record.changed_ago_ms / 1000,
                confirmed_at,
                record.recovery_steps,
                broadcast_at=now,
            )
            if known is not None or not received.is_over:
                self._put(record.instance, received, "heard", "router", now)

    def new_router_update(self, now: float) -> LimitUpdate | None:
        """Return an update for a new router, or None if there are no limits."""
        if not len(self):
            return None
        active = [item for item in self._limits.items() if not item[1].is_over]
        records = [limit.record(name, now) for name, limit in active[-RECORDS_PER_DATAGRAM:]]
        return LimitUpdate(records)

    def repeat_broadcasts(self, now: float) -> None:
        """Repeat broadcasts of recent changes and of limits that this router saw confirmed."""
        due = []
        for instance, limit in self._limits.items():
            is_change = limit.repeats_left > 0
            interval_s = CHANGE_BROADCAST_INTERVAL_S if is_change else BROADCAST_INTERVAL_S
            is_confirmed = not limit.is_over and limit.observed_at > limit.broadcast_at
            if now - limit.broadcast_at >= interval_s and (is_change or is_confirmed):
                limit.broadcast_at = now
                limit.repeats_left = max(0, limit.repeats_left - 1)
                due.append(limit.record(instance, now))
        for first in range(0, len(due), RECORDS_PER_DATAGRAM):
            self._broadcast(LimitUpdate(due[first : first + RECORDS_PER_DATAGRAM]))

    # Probes

    def allow_probe(self, instance: str, now: float) -> bool:
        """Return whether a request may be sent although no account owner responds.

        Without probes a partitioned router could not detect that a limit was lifted.
        """
        limit = self.limit(instance)
        if limit is None or now - max(limit.confirmed_at, limit.probed_at) < limit.probe_after_s:
            return False
        limit.probed_at = now
        self.count("probed")
        return True

    def forget_unlisted(self, listed: Container[str], now: float) -> None:
        """Remove limits of unlisted runners not confirmed for ``UNLISTED_RETENTION_S``."""
        for instance, limit in list(self._limits.items()):
            if instance not in listed and now - limit.confirmed_at > UNLISTED_RETENTION_S:
                del self._limits[instance]
                self._log("runner_limit_ended", instance, limit, "runner_left", now)

    def _put(
        self, instance: str, limit: RunnerLimit, outcome: str, source: str, now: float
    ) -> None:
        is_recovering = limit.recovery_steps > 0
        limit.probed_at = now
        limit.probe_after_s = (
            RECOVERY_PROBE_S if is_recovering else self._rng.uniform(*PROBE_AFTER_S)
        )
        self._limits[instance] = limit
        self.count(outcome)
        event = "runner_limit_ended" if limit.is_over else "runner_limit_advertised"
        if is_recovering and not limit.is_over:
            event = "runner_limit_raised"
        self._log(event, instance, limit, source, now)
        self._on_changed(instance)

    @staticmethod
    def _log(event: str, instance: str, limit: RunnerLimit, source: str, now: float) -> None:
        log_event(
            event,
            instance=instance,
            requests_per_s=limit.requests_per_s,
            version=limit.version,
            source=source,
            age_s=round(now - limit.changed_at, 2),
        )


def _precedence(limit: RunnerLimit | LimitRecord) -> tuple[int, int, float]:
    """Return the sort key for conflicts: the higher version wins, then the stricter limit."""
    return limit.version, -limit.recovery_steps, -limit.requests_per_s
