"""Detects unreachable owners of an account by missing acknowledgements.

Callers pass in the time; nothing here reads a clock.
"""

ACK_INTERVAL_S = 0.125
"""How often an owner acknowledges the uses that another owner replicates to it, in seconds."""

UNREACHABLE_AFTER_S = 0.5
"""Time without an acknowledgement after which an owner may be cut off, in seconds."""


class ReplicaMonitor:
    """Tracks when uses were replicated to other owners and when they were acknowledged."""

    def __init__(self) -> None:
        self._acknowledged_at: dict[str, float] = {}
        self._unacknowledged_since: dict[str, float] = {}
        self._acknowledgement_sent_at: dict[str, float] = {}

    def record_replicated(self, replica: str, now: float) -> None:
        """Record that a use was sent to another owner."""
        if now - self._acknowledged_at.get(replica, -ACK_INTERVAL_S) >= ACK_INTERVAL_S:
            self._unacknowledged_since.setdefault(replica, now)

    def record_acknowledged(self, replica: str, now: float) -> None:
        """Record an acknowledgement from another owner."""
        self._acknowledged_at[replica] = now
        self._unacknowledged_since.pop(replica, None)

    def is_unreachable(self, replica: str, now: float) -> bool:
        """Whether an owner has not acknowledged for so long that it may be cut off."""
        since = self._unacknowledged_since.get(replica)
        return since is not None and now - since > UNREACHABLE_AFTER_S

    def should_acknowledge(self, forwarder: str, now: float) -> bool:
        """Whether an acknowledgement to a replicating owner is due; if so, record it as sent."""
        if now - self._acknowledgement_sent_at.get(forwarder, -ACK_INTERVAL_S) < ACK_INTERVAL_S:
            return False
        self._acknowledgement_sent_at[forwarder] = now
        return True

    def drop_old(self, now: float, after_s: float) -> None:
        """Drop the state of routers that no longer share an account with this one."""
        for times in (
            self._acknowledged_at,
            self._unacknowledged_since,
            self._acknowledgement_sent_at,
        ):
            for replica in [name for name, at in times.items() if now - at > after_s]:
                del times[replica]
