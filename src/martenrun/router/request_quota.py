"""What one request may use of its tenant's rate: a grant for each run of it."""

from collections.abc import Callable

from martenrun.router.messages import AdmittedRequest
from martenrun.router.quotas.gate import Grant, QuotaGate


class RequestQuota:
    """The grants of one request; a tenant without a limit needs none."""

    def __init__(self, gate: QuotaGate | None, admitted: AdmittedRequest) -> None:
        self._gate = gate
        self._tenant = admitted.tenant
        self._limit = None if admitted.tenant is None else admitted.tenant.limit
        self._tokens = admitted.call.counted_tokens
        self._asked: Grant | None = None
        self._grant: Grant | None = None
        self._is_used = False
        self.last: Grant | None = None
        """What was decided last, for the log."""

    @property
    def needs_grant(self) -> bool:
        """Whether the request may not be sent yet."""
        return self._gate is not None and self._limit is not None and self._grant is None

    def obtain(self, on_decided: Callable[[Grant], None]) -> None:
        """Ask for one run more; only where one is needed."""
        assert self._gate is not None and self._tenant is not None and self._limit is not None

        def decided(grant: Grant) -> None:
            self._asked = None
            self.last = grant
            self._grant = grant if grant.is_granted else None
            on_decided(grant)

        units = self._limit.units(self._tokens)
        asked = self._gate.ask(self._tenant.name, self._limit, units, decided)
        if not asked.is_decided:
            self._asked = asked

    def note_sent(self) -> None:
        """The request has gone to a runner."""
        self._is_used = True

    def note_failed(self, may_have_run: bool) -> None:
        """The try at a runner has failed; what may have run has used its grant."""
        self._is_used = False
        if may_have_run:
            self._grant = None

    def close(self) -> None:
        """The request is over: a grant that was not used is given back."""
        unused = self._asked or (None if self._is_used else self._grant)
        self._asked = self._grant = None
        if unused is not None and self._gate is not None:
            self._gate.give_back(unused)
