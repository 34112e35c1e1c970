"""Admission at the home node: a tenant's limits and the deadline, checked at once.

The home node calls :meth:`AdmissionLimits.check` once for a question.  If the owner node
queues the reservation it calls :meth:`AdmissionLimits.queued`, then ``started`` when a slot is
granted and ``ended`` exactly once in every case (report, withdrawal, refusal after check).

All requests of a tenant count together, whichever of its keys they carry.

See also: :mod:`martenrun.sharing.usage`, which divides a tenant's limits over the nodes.
"""

import math
from collections.abc import Callable
from dataclasses import dataclass

from martenrun.configuration.objects import Tenant
from martenrun.errors import CapacityError, DeadlineExceededError, MartenrunError
from martenrun.limits.cost import expected_tokens
from martenrun.limits.counts import ADMITTED, AdmissionCounts
from martenrun.limits.token_bucket import TokenBucket
from martenrun.sharing.meter import NoMeter, UsageMeter
from martenrun.wire.messages import DecideRequest

BURST_S = 2.0
"""Unused rate that a tenant may take at once, in seconds of its rate."""

SHARE_INTERVAL_S = 0.5
"""How long a node's share of a tenant's limits is kept, in seconds."""

RATE_MEMORY_S = 10.0
"""Time constant of the measured rate at which a tenant's streams end, in seconds."""

MINIMUM_RETRY_AFTER_S = 0.05
"""Shortest Retry-After told, in seconds."""

UNMEASURED_RETRY_AFTER_S = 1.0
"""Retry-After while no stream of the tenant has ended yet, in seconds."""

IDLE_TENANT_S = 60.0
"""A tenant without requests for this long is forgotten; its buckets are full by then."""


@dataclass(slots=True)
class _Admitted:
    tenant: str
    model: str
    expected_tokens: float
    is_queued: bool = False
    is_started: bool = False


class _EndRate:
    """Decayed rate at which streams end, per second."""

    def __init__(self, now: float) -> None:
        self._count = 0.0
        self._updated = now

    def ended(self, now: float) -> None:
        self._decay(now)
        self._count += 1.0

    def wait_s(self, ends: int, now: float) -> float:
        """Return the seconds until ``ends`` more streams have ended."""
        self._decay(now)
        if self._count < 0.5:
            return UNMEASURED_RETRY_AFTER_S
        return ends * RATE_MEMORY_S / self._count

    def _decay(self, now: float) -> None:
        self._count *= math.exp(-max(0.0, now - self._updated) / RATE_MEMORY_S)
        self._updated = now


class _TenantLimits:
    """One tenant's buckets and counts at this node.

    ``tenant`` and the node's share are looked at again at ``update_at``, or when the object in
    force is another one.
    """

    def __init__(self, tenant: Tenant, share: float, now: float) -> None:
        rate, tokens = tenant.requests_per_s * share, tenant.tokens_per_s * share
        self.requests = TokenBucket(rate, max(1.0, rate * BURST_S), now)
        self.tokens = TokenBucket(tokens, max(1.0, tokens * BURST_S), now)
        self.ends = _EndRate(now)
        self.admitted = 0
        self.queued = 0
        self.concurrent_limit = 0
        self.queue_limit = 0
        self.used_at = now
        self.update_at = now
        self.tenant = tenant
        self.update(tenant, share, now)

    def update(self, tenant: Tenant, share: float, now: float) -> None:
        rate, tokens = tenant.requests_per_s * share, tenant.tokens_per_s * share
        if rate != self.requests.rate:
            self.requests.change_rate(rate, max(1.0, rate * BURST_S), now)
        if tokens != self.tokens.rate:
            self.tokens.change_rate(tokens, max(1.0, tokens * BURST_S), now)
        self.concurrent_limit = max(1, math.ceil(tenant.concurrent_streams * share))
        self.queue_limit = math.ceil(tenant.queue_length * share)
        self.tenant = tenant
        self.update_at = now + SHARE_INTERVAL_S


class AdmissionLimits:
    """Limits of all tenants at one node.

    Args:
        share_of: returns this node's share of a tenant's limits, above 0 and at most 1, for
            (tenant, now).
        meter: is told what tenants ask for and are given.

    Attributes:
        counts: admissions and refusals by tenant.
    """

    def __init__(
        self,
        share_of: Callable[[str, float], float] = lambda tenant, now: 1.0,
        meter: UsageMeter | None = None,
    ) -> None:
        self.counts = AdmissionCounts()
        self._share_of = share_of
        self._meter = meter or NoMeter()
        self._next_forget = 0.0
        self._tenants: dict[str, _TenantLimits] = {}
        self._admitted: dict[str, _Admitted] = {}

    def check(
        self, question: DecideRequest, tenant: Tenant, now: float, expected_wait_s: float = 0.0
    ) -> None:
        """Admit a question or raise at once; a refused question has taken nothing.

        Args:
            expected_wait_s: how long the question would wait in its pool's queue.

        Raises:
            DeadlineExceededError: the wait is longer than the time left.
            CapacityError: a limit of the tenant is used up.

        A further attempt of an admitted request is not counted again.
        """
        if now >= self._next_forget:
            self._next_forget = now + IDLE_TENANT_S
            self.forget_idle(now)
        if question.request_id in self._admitted:
            check_deadline(question.deadline_s, expected_wait_s)
            return
        try:
            check_deadline(question.deadline_s, expected_wait_s)
            self._admit(question, tenant, now)
        except MartenrunError as error:
            self.counts.add(question.tenant, error.code)
            raise
        self.counts.add(question.tenant, ADMITTED)

    def _admit(self, question: DecideRequest, tenant: Tenant, now: float) -> None:
        tokens = expected_tokens(question)
        self._meter.demanded(question.tenant, question.model, tokens, now)
        limits = self._limits(question.tenant, tenant, now)
        self._check_rates(question.tenant, limits, tokens, now)
        self._check_streams(question.tenant, limits, now)
        limits.requests.take(1.0, now)
        limits.tokens.take(tokens, now)
        limits.admitted += 1
        admitted = _Admitted(question.tenant, question.model, tokens)
        self._admitted[question.request_id] = admitted

    def queued(self, request_id: str, now: float) -> None:
        """Count an admitted request as waiting; raises CapacityError if too many wait.

        After the error the request still has to be ended.
        """
        admitted = self._admitted.get(request_id)
        if admitted is None or admitted.is_queued:
            return
        limits = self._tenants[admitted.tenant]
        if limits.queued >= limits.queue_limit:
            self.counts.add(admitted.tenant, CapacityError.code)
            raise CapacityError(
                f"tenant {admitted.tenant!r} has {limits.queued} requests waiting, its limit",
                retry_after_s=_told(limits.ends.wait_s(1, now)),
            )
        admitted.is_queued = True
        limits.queued += 1

    def started(self, request_id: str, now: float) -> None:
        """A slot was granted; the request no longer waits."""
        admitted = self._admitted.get(request_id)
        if admitted is None:
            return
        if admitted.is_queued:
            admitted.is_queued = False
            self._tenants[admitted.tenant].queued -= 1
        admitted.is_started = True

    def ended(self, request_id: str, now: float, used_tokens: float | None = None) -> None:
        """The request is over, run or not.

        Args:
            used_tokens: prompt and output tokens that an engine counted; None if it reported
                none, and 0 if the request was not run.  The token limit is corrected by it.
        """
        admitted = self._admitted.pop(request_id, None)
        if admitted is None:
            return
        limits = self._tenants[admitted.tenant]
        limits.admitted -= 1
        limits.queued -= admitted.is_queued
        limits.ends.ended(now)
        if used_tokens is None:
            return
        correction = used_tokens - admitted.expected_tokens
        limits.tokens.take(correction, now)
        if admitted.is_started:
            self._meter.served(admitted.tenant, admitted.model, correction, now)

    def active(self, tenant: str) -> int:
        """Return how many requests of a tenant are admitted and not over."""
        limits = self._tenants.get(tenant)
        return limits.admitted if limits is not None else 0

    def forget_idle(self, now: float) -> None:
        """Forget tenants without requests; ``check`` does so every minute."""
        for name, limits in list(self._tenants.items()):
            if not limits.admitted and now - limits.used_at > IDLE_TENANT_S:
                del self._tenants[name]

    def _limits(self, name: str, tenant: Tenant, now: float) -> _TenantLimits:
        limits = self._tenants.get(name)
        if limits is None:
            limits = _TenantLimits(tenant, self._share_of(name, now), now)
            self._tenants[name] = limits
        elif limits.tenant is not tenant or now >= limits.update_at:
            limits.update(tenant, self._share_of(name, now), now)
        limits.used_at = now
        return limits

    def _check_rates(self, name: str, limits: _TenantLimits, tokens: float, now: float) -> None:
        wait_s = limits.requests.wait_s(1.0, now)
        if wait_s > 0:
            raise CapacityError(
                f"tenant {name!r} is over its requests per second", retry_after_s=_told(wait_s)
            )
        wait_s = limits.tokens.wait_s(tokens, now)
        if wait_s > 0:
            raise CapacityError(
                f"tenant {name!r} is over its tokens per second", retry_after_s=_told(wait_s)
            )

    def _check_streams(self, name: str, limits: _TenantLimits, now: float) -> None:
        over = limits.admitted + 1 - limits.concurrent_limit
        if over > 0:
            raise CapacityError(
                f"tenant {name!r} has {limits.admitted} streams open, its limit",
                retry_after_s=_told(limits.ends.wait_s(over, now)),
            )


def check_deadline(deadline_s: float, expected_wait_s: float) -> None:
    """Raise DeadlineExceededError if the wait is longer than the time left.

    Used by the home node before it asks and by the owner node before it queues.  A queue
    drains a second of its wait per second, so Retry-After is the difference.
    """
    if deadline_s <= 0:
        raise DeadlineExceededError("the deadline has passed")
    if expected_wait_s >= deadline_s:
        raise DeadlineExceededError(
            f"the queue needs {expected_wait_s:.1f} s and {deadline_s:.1f} s are left",
            retry_after_s=_told(expected_wait_s - deadline_s),
        )


def _told(retry_after_s: float) -> float:
    return max(MINIMUM_RETRY_AFTER_S, retry_after_s)
