"""Detects services whose runners this router cannot reach.  No I/O or clock.

A failed connection to one runner does not show which end has failed.  If new connections to
several runners of a service fail and nothing responds in between, this router has most likely lost
its own connection to them, and other routers may still reach them.
"""

import math
from collections.abc import Callable, Sequence

import attrs

from martenrun.router.log import log_event, log_warning
from martenrun.router.runner_state import RunnerState

MINIMUM_FAILED_RUNNERS = 2
"""Number of runners that must have failed, or all runners of a service that has fewer."""

FAILURE_VALIDITY_S = 5.0
"""Time for which a failed connection counts, in seconds."""


@attrs.define
class ServiceConnections:
    """Recent results of connections to the runners of one service.

    Attributes:
        failed_at: time of the latest failure of each runner since a new connection last worked.
        failing_since: time of the first of these failures, or None.
        responded_at: time of the latest response on any connection.
        is_unreachable: whether the service was unreachable when last checked.
    """

    failed_at: dict[str, float] = attrs.field(factory=dict)
    failing_since: float | None = None
    responded_at: float = -math.inf
    is_unreachable: bool = False


class Reachability:
    """Which services' runners this router cannot reach.

    Args:
        runner_states: returns the states of a service's listed runners.
    """

    def __init__(self, runner_states: Callable[[str], Sequence[RunnerState]]) -> None:
        self._runner_states = runner_states
        self._services: dict[str, ServiceConnections] = {}

    def record_response(self, service: str, opened_at: float, now: float) -> None:
        """Record data from a runner; only a connection opened since the failures clears them.

        Args:
            opened_at: when the connection was opened.  A partition may spare open connections.
        """
        connections = self._connections(service)
        connections.responded_at = now
        since = connections.failing_since
        if since is not None and opened_at >= since:
            connections.failing_since = None
            connections.failed_at.clear()
            self._check(service, connections, now)

    def record_failure(self, service: str, instance: str, now: float) -> None:
        """Record a new connection to a runner that failed before any response."""
        connections = self._connections(service)
        connections.failed_at = {
            name: at for name, at in connections.failed_at.items() if now - at <= FAILURE_VALIDITY_S
        }
        if not connections.failed_at:
            connections.failing_since = now
        connections.failed_at[instance] = now
        self._check(service, connections, now)

    def record_call(self, state: RunnerState, has_responded: bool, now: float) -> None:
        """Record the result of a call to a runner on a connection of unknown age."""
        if has_responded:
            self.record_response(state.runner.service, -math.inf, now)
        else:
            self.record_failure(state.runner.service, state.runner.instance, now)

    def is_unreachable(self, service: str, now: float) -> bool:
        """Return whether this router has lost its connection to a service's runners."""
        connections = self._services.get(service)
        return connections is not None and self._check(service, connections, now)

    def has_lost_all(self, service: str, now: float) -> bool:
        """Return whether connections to every listed runner of a service have failed."""
        connections = self._services.get(service)
        if connections is None:
            return False
        count = len(self._runner_states(service))
        return 0 < count == len(self._failures(service, connections, now))

    def unreachable_services(self, now: float) -> list[str]:
        """Return the services whose runners this router cannot reach."""
        return [
            service
            for service, connections in self._services.items()
            if self._check(service, connections, now)
        ]

    def is_cut_off(self, now: float) -> bool:
        """Return whether a service is unreachable and none has responded since it failed."""
        failures = [
            at
            for service in self.unreachable_services(now)
            for at in self._failures(service, self._services[service], now)
            if at > self._services[service].responded_at
        ]
        return bool(failures) and all(
            connections.responded_at < min(failures) for connections in self._services.values()
        )

    def _connections(self, service: str) -> ServiceConnections:
        return self._services.setdefault(service, ServiceConnections())

    def _check(self, service: str, connections: ServiceConnections, now: float) -> bool:
        """Return whether a service is unreachable; log the change if there is one."""
        is_unreachable = bool(connections.failed_at) and self._has_failed(service, connections, now)
        if is_unreachable != connections.is_unreachable:
            connections.is_unreachable = is_unreachable
            if is_unreachable:
                log_warning(
                    "runners_unreachable",
                    service=service,
                    failed=len(connections.failed_at),
                    response_age_ms=_age_ms(connections.responded_at, now),
                )
            else:
                log_event("runners_reachable", service=service)
        return is_unreachable

    def _has_failed(self, service: str, connections: ServiceConnections, now: float) -> bool:
        """Return whether several runners failed after the last response, or all did at all.

        While responses arrive on open connections, some runners may be down and the others sound.
        """
        count = len(self._runner_states(service))
        failures = self._failures(service, connections, now)
        since_response = sum(at > connections.responded_at for at in failures)
        is_silent = since_response >= max(1, min(MINIMUM_FAILED_RUNNERS, count))
        return is_silent or 0 < count == len(failures)

    def _failures(self, service: str, connections: ServiceConnections, now: float) -> list[float]:
        """Return the times of the recent failures of a service's listed runners."""
        times = [
            connections.failed_at.get(state.runner.instance, -math.inf)
            for state in self._runner_states(service)
        ]
        return [at for at in times if now - at <= FAILURE_VALIDITY_S]


def _age_ms(at: float, now: float) -> int | None:
    return None if at == -math.inf else round((now - at) * 1000)
