"""State that a router keeps about another one: its record, heartbeat and liveness."""

from martenrun.router.peer_messages import RouterRecord, RunnerLoad, incarnation_id

PREFILL_EXPIRY_S = 3.0
"""Time after which a prompt without updates no longer counts as pending prefill, in seconds.

The datagram that reports the end of a prefill may be lost, mostly on congested links.  The next
record arrives about 10 s later among 195 routers; until then idle runners would look too busy for
another prompt.  For prompts whose prefill takes longer, routers repeat the update.
"""


class KnownRouter:
    """A router's record and its latest heartbeat, which may be newer than the record.

    Attributes:
        incarnation_id: ID of its incarnation.
        record_at: when the router advanced the heartbeat in ``record``.
        heartbeat, beaten_at: the latest heartbeat, and when the router advanced it.
        risen_at: when that was noticed on this router; liveness depends on it.
        was_alive: whether it counted as alive at the last check.
        readings_at: when its load on each runner was reported, for reports after the record.
    """

    __slots__ = (
        "beaten_at",
        "heartbeat",
        "incarnation_id",
        "readings_at",
        "record",
        "record_at",
        "risen_at",
        "was_alive",
    )

    def __init__(self, record: RouterRecord, heartbeat_at: float, risen_at: float) -> None:
        self.record = record
        self.incarnation_id = incarnation_id(record.address, record.incarnation)
        self.record_at = heartbeat_at
        self.heartbeat = record.heartbeat
        self.beaten_at = heartbeat_at
        self.risen_at = risen_at
        self.was_alive = True
        self.readings_at: dict[str, float] = {}

    def replace_record(self, record: RouterRecord, heartbeat_at: float) -> None:
        """Replace the record by a newer one."""
        self.record = record
        self.record_at = heartbeat_at
        self.readings_at.clear()

    def expire_prefill(self, now: float) -> None:
        """Clear the pending prefill of runners whose load was not updated for long."""
        for instance, load in self.record.loads.items():
            updated_at = self.readings_at.get(instance, self.record_at)
            if load.prefill_tokens and now - updated_at > PREFILL_EXPIRY_S:
                self.record.loads[instance] = RunnerLoad(load.requests, 0, load.kv_cache_tokens)

    def merge_heartbeat(self, heartbeat: int, heartbeat_at: float, risen_at: float) -> None:
        """Merge a heartbeat of this incarnation; for equal heartbeats the highest age is right."""
        if heartbeat > self.heartbeat:
            self.heartbeat = heartbeat
            self.beaten_at = heartbeat_at
            self.risen_at = max(self.risen_at, risen_at)
        elif heartbeat == self.heartbeat:
            self.beaten_at = min(self.beaten_at, heartbeat_at)
