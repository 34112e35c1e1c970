"""Services whose runners crash if they must turn away too many requests, and their capacity.

Requests to such runners are sent only with a permit for a part of the runner's capacity, which all
routers share; see :mod:`martenrun.router.runner_access`.  No I/O or clock.
"""

import math
from collections.abc import Callable

import attrs

from martenrun.router.brittle_messages import BrittleRecord, BrittleUpdate
from martenrun.router.log import log_event
from martenrun.router.placement import PlacementQuery
from martenrun.router.quotas.limit import RateLimit
from martenrun.router.runner_state import RunnerState

VALIDITY_S = 6.0
"""Time after the last response that advertises brittleness in which a service counts as brittle.

Longer than a crashed runner takes to return, so that it is not flooded then.
"""

BROADCAST_INTERVAL_S = 0.5
"""Minimum interval at which the brittleness of a service is broadcast, in seconds."""

CAPACITY_UNITS = 10_000
"""Units of a runner's whole capacity."""

USABLE_MEMORY = 0.85
"""Share of a runner's KV cache that permits are granted for; above it requests are preempted."""

REFILL_SHARE = 0.25
"""Rate at which lost permits are granted again, as a share of the tolerated rejections.

A permit is lost with a rejected request or with its router.  Granting them again too early causes
as many rejections.
"""

MINIMUM_REFILL_PER_S = 0.05
"""Lower bound of that rate, in requests per second."""


@attrs.define
class Brittleness:
    """What is known about the brittleness of a service; times are monotonic, in seconds."""

    rejections_per_s: float
    confirmed_at: float
    broadcast_at: float = -math.inf


class BrittleServices:
    """The services whose runners have advertised recently that they are brittle.

    Args:
        broadcast: sends an update to all routers.
    """

    def __init__(self, broadcast: Callable[[BrittleUpdate], None] = lambda _update: None) -> None:
        self._broadcast = broadcast
        self._services: dict[str, Brittleness] = {}

    def __len__(self) -> int:
        return len(self._services)

    def rejections_per_s(self, service: str, now: float) -> float | None:
        """Return the rejections per second that a service's runners tolerate; None if any."""
        known = self._services.get(service)
        if known is None:
            return None
        if now - known.confirmed_at > VALIDITY_S:
            del self._services[service]
            log_event("runners_brittle_ended", service=service)
            return None
        return known.rejections_per_s

    def record_advertised(self, service: str, rejections_per_s: float, now: float) -> None:
        """Record a response that advertises brittleness, and broadcast it if that is due."""
        known = self._confirm(service, rejections_per_s, now)
        if now - known.broadcast_at >= BROADCAST_INTERVAL_S:
            known.broadcast_at = now
            self._broadcast(BrittleUpdate([_record(service, known, now)]))

    def merge(self, update: BrittleUpdate, now: float) -> None:
        """Merge what another router has broadcast; its age is not renewed."""
        for record in update.records:
            confirmed_at = now - record.age_ms / 1000.0
            if now - confirmed_at <= VALIDITY_S:
                known = self._confirm(record.service, record.rejections_per_s, confirmed_at)
                known.broadcast_at = now

    def new_router_update(self, now: float) -> BrittleUpdate | None:
        """Return an update for a new router, or None if no service is brittle."""
        records = [_record(service, known, now) for service, known in self._services.items()]
        return BrittleUpdate(records) if records else None

    def _confirm(self, service: str, rejections_per_s: float, at: float) -> Brittleness:
        known = self._services.get(service)
        if known is None:
            log_event("runners_brittle", service=service, rejections_per_s=rejections_per_s)
            known = self._services[service] = Brittleness(rejections_per_s, at)
        # Runners of one service may differ: the strictest value holds until the state expires.
        known.rejections_per_s = min(known.rejections_per_s, rejections_per_s)
        known.confirmed_at = max(known.confirmed_at, at)
        return known


def _record(service: str, known: Brittleness, now: float) -> BrittleRecord:
    age_ms = math.ceil((now - known.confirmed_at) * 1000)
    return BrittleRecord(service, known.rejections_per_s, max(0, age_ms))


def capacity_limit(state: RunnerState, rejections_per_s: float) -> RateLimit:
    """Return the limit on the units of a runner's capacity that may be in use.

    Units in use are returned at the end of a request.  The rate replaces those that were lost.
    """
    slots = max(1, state.runner.slots)
    refill_per_s = max(MINIMUM_REFILL_PER_S, min(slots, rejections_per_s) * REFILL_SHARE)
    return RateLimit(refill_per_s * CAPACITY_UNITS / slots, float(CAPACITY_UNITS))


def capacity_units(state: RunnerState, query: PlacementQuery) -> int:
    """Return the units of a runner's capacity that a request occupies."""
    share = 1.0 / max(1, state.runner.slots)
    if query.memory_tokens:
        share = max(share, query.needed_tokens / (USABLE_MEMORY * query.memory_tokens))
    return min(CAPACITY_UNITS, int(share * CAPACITY_UNITS))
