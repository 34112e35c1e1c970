"""Chooses the runner for a request and checks whether it can start there soon enough."""

import math
from collections.abc import Callable

import attrs

from martenrun.net.http import HttpRequest
from martenrun.router.crashes.request_check import RequestCrashCheck
from martenrun.router.messages import AdmittedRequest
from martenrun.router.placement import PlacementQuery
from martenrun.router.request_services import RequestServices
from martenrun.router.runner_limits import MINIMUM_REQUESTS_PER_S
from martenrun.router.runner_request import placement_query, request_groups, waiting_prompt
from martenrun.router.runner_state import RunnerState

DRAINING_SHARE = 0.4
"""Share of the drain time in which a draining runner is still chosen if no other runner is left.

The rest covers the time until this router learned of the drain.
"""

MINIMUM_YIELD_DELAY_S = 1.0
"""Minimum retry delay of a request refused in favour of more urgent ones, in seconds."""


class RunnerChoice:
    """Chooses runners for one request.

    Args:
        software: returns the software version that runners must have, or None for any.

    Attributes:
        crash_check: the crash records that concern the request.
        tried_instances: instances to which the request was sent, which are not chosen again.
    """

    def __init__(
        self,
        world: RequestServices,
        request: HttpRequest,
        admitted: AdmittedRequest,
        software: Callable[[], str | None] = lambda: None,
    ) -> None:
        self._world = world
        self._request = request
        self._admitted = admitted
        self._software = software
        self._guard = world.overload_guard(admitted.service)
        self._groups = request_groups(admitted)
        self.crash_check = RequestCrashCheck(world.suspects, request, admitted)
        self.tried_instances: list[str] = []

    def choose(self) -> RunnerState | None:
        """Return the best runner that has not been tried, or None."""
        states = self._world.runner_states(self._admitted.service)
        query = self.placement_query()
        if self._yields_to_urgent():
            limited = [state.runner.instance for state, _ in self._limited_runners()]
            query = attrs.evolve(query, tried_instances=[*query.tried_instances, *limited])
        return self._world.placement.choose(query, states)

    def placement_query(self) -> PlacementQuery:
        """Return the query for the placement."""
        suspect_key = self.crash_check.placement_key()
        query = placement_query(self._world, self._admitted, self.tried_instances, suspect_key)
        return attrs.evolve(query, software=self._software(), longest_drain_s=self._longest_drain_s)

    @property
    def _longest_drain_s(self) -> float:
        return self._world.settings.bounds.drain_s * DRAINING_SHARE

    def has_listed_runner(self) -> bool:
        """Return whether a listed runner of the required software version may serve requests."""
        software = self._software()
        return any(software in (None, state.software_id) for state in self._staying_runners())

    def are_all_draining(self) -> bool:
        """Return whether the service has runners and none of them may serve further requests."""
        has_runners = bool(self._world.pool.states(self._admitted.service))
        return has_runners and not self._staying_runners()

    def _staying_runners(self) -> list[RunnerState]:
        """Return the runners that do not drain, or have begun to do so lately."""
        recent = self._world.loop.now() - self._longest_drain_s
        return [
            state
            for state in self._world.pool.states(self._admitted.service)
            if not state.is_draining or (state.draining_since or -math.inf) > recent
        ]

    # Rate limits and backoffs of runners

    def all_blocked_for_s(self) -> float | None:
        """Return for how long rate limits and backoffs block the request; None if they do not."""
        states = self._world.runner_states(self._admitted.service)
        blocked_s = self._world.placement.blocked_for_s(self.placement_query(), states)
        if self._yields_to_urgent() and len(self._limited_runners()) == len(states):
            return max(blocked_s or 0.0, MINIMUM_YIELD_DELAY_S)
        return blocked_s

    def blocking_reason(self) -> str:
        """Return for the log what blocks the request."""
        return "runner_limits" if self._limited_runners() else "runner_backoffs"

    def retry_delay_s(self, blocked_s: float) -> float:
        """Return the retry delay for a caller refused because all runners are blocked, in seconds.

        A runner whose backoff ends is expected to take a request a second in each slot.
        """
        now = self._world.loop.now()
        limited = self._limited_runners()
        if limited and self._is_urgent():
            self._guard.record_urgent_refused(now)
        per_s = sum(rate for _, rate in limited)
        per_s += sum(
            max(1, state.runner.slots)
            for state in self._world.pool.states(self._admitted.service)
            if state.is_backing_off(now)
        )
        per_router = max(MINIMUM_REQUESTS_PER_S, per_s) / max(1, self._world.router_count())
        return self._guard.retry_schedule.next_delay_s(blocked_s, per_router, now)

    def _limited_runners(self) -> list[tuple[RunnerState, float]]:
        """Return the limited and brittle runners, with the requests per second that they take.

        For a brittle runner the rate is an estimate: a request a second in each slot.
        """
        limits, service = self._world.runner_limits, self._admitted.service
        is_brittle = self._world.brittle.rejections_per_s(service, self._world.loop.now())
        found = []
        for state in self._world.pool.states(service):
            limit = limits.limit(state.runner.instance)
            if limit is not None:
                found.append((state, limit.rate_limit.units_per_s))
            elif is_brittle is not None:
                found.append((state, float(max(1, state.runner.slots))))
        return found

    def _yields_to_urgent(self) -> bool:
        """Return whether rate-limited runners are reserved for more urgent requests.

        They are for some time after an urgent request was refused.
        """
        now = self._world.loop.now()
        if not self._guard.has_refused_urgent(now) or self._is_urgent():
            return False
        return not self._guard.is_underserved(self._groups, now)

    def _is_urgent(self) -> bool:
        table = self._world.configuration.table
        admitted = self._admitted
        return table is None or table.is_most_urgent(admitted.route, admitted.service)

    # Overload

    def record_demand(self) -> None:
        """Count the request as demand."""
        self._guard.record_demand(self._groups, self._world.loop.now())

    def record_admitted(self) -> None:
        """Count the request as admitted when it is sent to its first runner."""
        self._guard.record_admitted(self._groups, self._world.loop.now())

    def can_start_soon(self, state: RunnerState) -> bool:
        """Return whether a runner can start on the request soon enough.

        A resumed stream, which has fewer runners to choose from, may wait longer than a new one.
        """
        if not self._admitted.call.parts:
            return True
        if self._software() is not None:
            return self._guard.admits_resumed(
                state.backlog_tokens, self._admitted.route.objective_s
            )
        prompt = waiting_prompt(self._world, self._admitted, state)
        return self._guard.admits(prompt, self._world.loop.now())

    def wait_s(self, state: RunnerState) -> float:
        """Return the expected wait of the request at a runner, in seconds."""
        return self._guard.prefill_wait_s(state.backlog_tokens)
