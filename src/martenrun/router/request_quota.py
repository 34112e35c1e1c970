"""Manages the grants of one request: each run at a runner needs one."""

from collections.abc import Callable

from martenrun.router.messages import AdmittedRequest
from martenrun.router.quotas.gate import Grant, QuotaGate


class RequestQuota:
    """The grants of one request; none are needed for a tenant without a limit."""

    def __init__(self, gate: QuotaGate | None, admitted: AdmittedRequest) -> None:
        self._gate = gate
        self._tenant = admitted.tenant
        self._limit = None if admitted.tenant is None else admitted.tenant.limit
        self._tokens = admitted.call.counted_tokens
        self._pending: Grant | None = None
        self._grant: Grant | None = None
        self._is_used = False
        self.last_grant: Grant | None = None
        """The most recent decision, for logging."""

    @property
    def needs_grant(self) -> bool:
        """Whether a grant must be obtained before the request is sent."""
        return self._gate is not None and self._limit is not None and self._grant is None

    def obtain(self, on_decided: Callable[[Grant], None]) -> None:
        """Request a grant for one run; call only if :attr:`needs_grant`."""
        assert self._gate is not None and self._tenant is not None and self._limit is not None

        def decided(grant: Grant) -> None:
            self._pending = None
            self.last_grant = grant
            self._grant = grant if grant.is_granted else None
            on_decided(grant)

        units = self._limit.units(self._tokens)
        pending = self._gate.request(self._tenant.name, self._limit, units, decided)
        if not pending.is_decided:
            self._pending = pending

    def record_sent(self) -> None:
        """Record that the request was sent to a runner."""
        self._is_used = True

    def record_failure(self, may_have_run: bool) -> None:
        """Record a failed attempt; if the runner may have run it, its grant is used up."""
        self._is_used = False
        if may_have_run:
            self._grant = None

    def close(self) -> None:
        """Finish the request and return its grant if that was not used."""
        unused = self._pending or (None if self._is_used else self._grant)
        self._pending = self._grant = None
        if unused is not None and self._gate is not None:
            self._gate.give_back(unused)
