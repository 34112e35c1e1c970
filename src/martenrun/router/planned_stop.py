"""The times of a planned stop: what is still taken, and when the process must end."""

import attrs

from martenrun.router.messages import Admitted

LINGER_S = 3.6
"""How long new requests are still taken after a stop was ordered: others must learn of it."""

CARRIED_ANYWAY_S = 2.8
"""Up to so long after the order a request is taken however long it may run, in seconds.

Callers that have heard of the stop have gone elsewhere by then.
"""

END_MARGIN_S = 0.8
"""How long before the end of the grace period what is left is broken off, in seconds."""


@attrs.frozen
class PlannedStop:
    """A stop that was ordered at a steady time, to be over within the grace period."""

    ordered_at: float
    grace_s: float

    @property
    def lingers_until(self) -> float:
        """When connections without a request are ended."""
        return self.ordered_at + LINGER_S

    @property
    def ends_at(self) -> float:
        """When requests that are still under way are broken off."""
        return self.ordered_at + self.grace_s - END_MARGIN_S

    def may_take(self, admitted: Admitted, received_at: float) -> bool:
        """Whether a request can be taken: one that comes late must be sure to end in time."""
        if received_at - self.ordered_at <= CARRIED_ANYWAY_S:
            return True
        return admitted.give_up_at <= self.ends_at
