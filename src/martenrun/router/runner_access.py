"""Grants that a request needs before it is sent to rate-limited or brittle runners."""

from collections.abc import Callable

import attrs

from martenrun.router.brittle_services import capacity_limit, capacity_units
from martenrun.router.placement import PlacementQuery
from martenrun.router.quotas.gate import Grant
from martenrun.router.quotas.limit import RateLimit, capacity_account, runner_account
from martenrun.router.request_services import RequestServices
from martenrun.router.runner_state import RunnerState

GRANT_VALID_S = 0.5
"""Maximum age of a grant request at its decision, in seconds.

A grant that arrives later, such as after a pause of the process, may have been counted in an
earlier window than the one in which the request would be sent.
"""

MINIMUM_BACKOFF_S = 0.05
"""Shortest time for which a runner is skipped after a refused grant, in seconds."""


CAPACITY_BACKOFF_S = 0.03
"""Time for which a runner without free capacity is skipped, in seconds.

Capacity becomes free whenever a request ends, earlier than the account's refill rate suggests.
"""


@attrs.frozen
class GrantTerms:
    """What must be granted before a request is sent to a runner.

    Attributes:
        version: version of the limit.
        is_returned: whether the units are returned when the request ends.
    """

    account: str
    limit: RateLimit
    units: int
    version: int
    is_returned: bool


class RunnerAccess:
    """Obtains the grants of one request: one for each send to a limited or brittle runner.

    The rate limit of a runner takes precedence over its capacity.

    Args:
        placement_query: returns the placement query of the request.
    """

    def __init__(
        self, world: RequestServices, placement_query: Callable[[], PlacementQuery] | None = None
    ) -> None:
        self._world = world
        self._placement_query = placement_query
        self._pending: tuple[RunnerState, Grant] | None = None
        self._granted: tuple[RunnerState, Grant | None] | None = None
        self._is_returned = False

    def may_send(self, state: RunnerState) -> bool:
        """Return whether the request may be sent to a runner without obtaining a grant first."""
        return self.has_grant(state) or self._terms(state) is None

    def has_grant(self, state: RunnerState) -> bool:
        """Return whether a grant for a runner, or permission to probe it, is held.

        Always true without a quota gate, since no grant can be obtained.
        """
        if self._world.quotas is None:
            return True
        return self._granted is not None and self._granted[0] is state

    def obtain(self, state: RunnerState, on_decided: Callable[[Grant], None]) -> None:
        """Request a grant; if it is refused, the runner is skipped for some time."""
        gate = self._world.quotas
        terms = self._terms(state)
        assert gate is not None and terms is not None
        self._return_grant()
        requested_at = self._world.loop.now()
        state.is_grant_pending = True

        def decided(grant: Grant) -> None:
            self._pending = None
            state.is_grant_pending = False
            self._apply_decision(state, terms, grant, requested_at)
            on_decided(grant)

        grant_request = gate.request(
            terms.account, terms.limit, terms.units, decided, terms.version
        )
        if not grant_request.is_decided:
            self._pending = state, grant_request

    def record_sent(self, state: RunnerState) -> Grant | None:
        """Consume the grant for the runner that the request is sent to; give back any other.

        Returns:
            the grant to return when the request has ended at the runner, if any.
        """
        permit = None
        if self._granted is not None and self._granted[0] is state:
            permit = self._granted[1] if self._is_returned else None
            self._granted = None
        self._return_grant()
        return permit

    def close(self) -> None:
        """Give back a pending or unused grant when the request ends."""
        if self._pending is not None:
            state, grant_request = self._pending
            self._pending = None
            state.is_grant_pending = False
            if self._world.quotas is not None:
                self._world.quotas.give_back(grant_request)
        self._return_grant()

    def _apply_decision(
        self, state: RunnerState, terms: GrantTerms, grant: Grant, requested_at: float
    ) -> None:
        now = self._world.loop.now()
        limits = self._world.runner_limits
        self._is_returned = terms.is_returned
        if grant.is_granted and now - requested_at <= GRANT_VALID_S:
            limits.count("granted")
            self._granted = state, grant
        elif terms.is_returned:
            limits.count("no_capacity")
            state.limited_until = now + CAPACITY_BACKOFF_S
            if grant.is_granted and self._world.quotas is not None:
                self._world.quotas.give_back(grant)
        elif grant.is_isolated and limits.allow_probe(state.runner.instance, now):
            self._granted = state, None
        else:
            limits.count("refused")
            state.limited_until = now + max(MINIMUM_BACKOFF_S, grant.wait_s)
            if grant.is_granted and self._world.quotas is not None:
                self._world.quotas.give_back(grant)

    def _return_grant(self) -> None:
        if self._granted is None:
            return
        _, grant = self._granted
        self._granted = None
        if grant is not None and self._world.quotas is not None:
            self._world.quotas.give_back(grant)

    def _terms(self, state: RunnerState) -> GrantTerms | None:
        """Return what must be granted before a send to a runner, or None if nothing."""
        instance = state.runner.instance
        limit = self._world.runner_limits.limit(instance)
        if limit is not None:
            return GrantTerms(runner_account(instance), limit.rate_limit, 1, limit.version, False)
        rejections_per_s = self._world.brittle.rejections_per_s(
            state.runner.service, self._world.loop.now()
        )
        if rejections_per_s is None or self._placement_query is None:
            return None
        return GrantTerms(
            capacity_account(instance),
            capacity_limit(state, rejections_per_s),
            capacity_units(state, self._placement_query()),
            version=1,
            is_returned=True,
        )
