"""Timing of a planned stop: which requests are still accepted and when the process exits."""

import attrs

from martenrun.router.messages import AdmittedRequest

LINGER_S = 3.6
"""How long new requests are accepted after a stop was requested, in seconds.

Callers and other routers need this time to learn of the stop.
"""

ACCEPT_ALL_S = 2.8
"""Requests received within this many seconds of the stop are accepted whatever their timeout.

Later, callers that know of the stop use other routers.
"""

END_MARGIN_S = 0.8
"""Remaining requests are aborted this many seconds before the end of the grace period."""


@attrs.frozen
class PlannedStop:
    """A stop requested at a monotonic time, to be completed within the grace period."""

    requested_at: float
    grace_s: float

    @property
    def closes_idle_at(self) -> float:
        """When idle connections are closed."""
        return self.requested_at + LINGER_S

    @property
    def aborts_at(self) -> float:
        """When requests in progress are aborted."""
        return self.requested_at + self.grace_s - END_MARGIN_S

    def may_accept(self, admitted: AdmittedRequest, received_at: float) -> bool:
        """Return whether to accept a request: a late one must time out before the abort."""
        if received_at - self.requested_at <= ACCEPT_ALL_S:
            return True
        return admitted.give_up_at <= self.aborts_at
