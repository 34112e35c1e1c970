"""Whether the other owners of accounts are still in touch, by their acknowledgements.  Pure."""

ACK_INTERVAL_S = 0.125
"""How often an owner acknowledges the uses that another one replicates to it, in seconds."""

LOST_AFTER_S = 0.5
"""Time without an acknowledgement after which another owner may be cut off, in seconds."""


class ReplicaMonitor:
    """Notes what was replicated to other owners and when they acknowledged it."""

    def __init__(self) -> None:
        self._acknowledged_at: dict[str, float] = {}
        self._unacknowledged_since: dict[str, float] = {}
        self._acknowledging_at: dict[str, float] = {}

    def note_replicated(self, replica: str, now: float) -> None:
        """A use was sent to another owner."""
        if now - self._acknowledged_at.get(replica, -ACK_INTERVAL_S) >= ACK_INTERVAL_S:
            self._unacknowledged_since.setdefault(replica, now)

    def note_acknowledged(self, replica: str, now: float) -> None:
        """Another owner has acknowledged what it got."""
        self._acknowledged_at[replica] = now
        self._unacknowledged_since.pop(replica, None)

    def is_lost(self, replica: str, now: float) -> bool:
        """Whether an owner has been silent for long enough to be cut off."""
        since = self._unacknowledged_since.get(replica)
        return since is not None and now - since > LOST_AFTER_S

    def may_acknowledge(self, forwarder: str, now: float) -> bool:
        """Whether an owner that replicates a use is to be sent an acknowledgement now."""
        if now - self._acknowledging_at.get(forwarder, -ACK_INTERVAL_S) < ACK_INTERVAL_S:
            return False
        self._acknowledging_at[forwarder] = now
        return True

    def forget_old(self, now: float, after_s: float) -> None:
        """Drop what was noted of routers that share no account with this one any more."""
        for times in (self._acknowledged_at, self._unacknowledged_since, self._acknowledging_at):
            for replica in [name for name, at in times.items() if now - at > after_s]:
                del times[replica]
