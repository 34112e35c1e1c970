"""Grants that a request needs before it is sent to rate-limited runners."""

from collections.abc import Callable

from martenrun.router.quotas.gate import Grant
from martenrun.router.quotas.limit import runner_account
from martenrun.router.request_services import RequestServices
from martenrun.router.runner_state import RunnerState

GRANT_VALID_S = 0.5
"""Maximum age of a grant request at its decision, in seconds.

A grant that arrives later, such as after a pause of the process, may have been counted in an
earlier window than the one in which the request would be sent.
"""

MINIMUM_BACKOFF_S = 0.05
"""Shortest time for which a runner is skipped after a refused grant, in seconds."""


class RunnerAccess:
    """Obtains the grants of one request: one for each send to a rate-limited runner."""

    def __init__(self, world: RequestServices) -> None:
        self._world = world
        self._pending: tuple[RunnerState, Grant] | None = None
        self._granted: tuple[RunnerState, Grant | None] | None = None

    def may_send(self, state: RunnerState) -> bool:
        """Return whether the request may be sent to a runner without obtaining a grant first."""
        return self.has_grant(state) or not self._is_limited(state)

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
        limit = self._world.runner_limits.limit(state.runner.instance)
        assert gate is not None and limit is not None
        self._return_grant()
        requested_at = self._world.loop.now()
        state.is_grant_pending = True

        def decided(grant: Grant) -> None:
            self._pending = None
            state.is_grant_pending = False
            self._apply_decision(state, grant, requested_at)
            on_decided(grant)

        account = runner_account(state.runner.instance)
        grant_request = gate.request(account, limit.rate_limit, 1, decided, limit.version)
        if not grant_request.is_decided:
            self._pending = state, grant_request

    def record_sent(self, state: RunnerState) -> None:
        """Consume the grant for the runner that the request is sent to; give back any other."""
        if self.has_grant(state):
            self._granted = None
        self._return_grant()

    def close(self) -> None:
        """Give back a pending or unused grant when the request ends."""
        if self._pending is not None:
            state, grant_request = self._pending
            self._pending = None
            state.is_grant_pending = False
            if self._world.quotas is not None:
                self._world.quotas.give_back(grant_request)
        self._return_grant()

    def _apply_decision(self, state: RunnerState, grant: Grant, requested_at: float) -> None:
        now = self._world.loop.now()
        limits = self._world.runner_limits
        if grant.is_granted and now - requested_at <= GRANT_VALID_S:
            limits.count("granted")
            self._granted = state, grant
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

    def _is_limited(self, state: RunnerState) -> bool:
        return self._world.runner_limits.limit(state.runner.instance) is not None
