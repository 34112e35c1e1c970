"""State that a router keeps about another one: its record, heartbeat and liveness."""

from martenrun.router.peer_messages import RouterRecord, RunnerLoad, life_number

READING_BELIEVED_S = 3.0
"""Time after which a prompt without updates no longer counts as pending prefill, in seconds.

The datagram that reports the end of a prefill may be lost, mostly on congested links.  The next
record arrives about 10 s later among 195 routers; until then idle runners would look too busy for
another prompt.  For prompts whose prefill takes longer, routers repeat the update.
"""


class KnownRouter:
    """A router's record and its latest heartbeat, which may be newer than the record.

    Attributes:
        life: incarnation ID.
        told_at: when the router advanced the heartbeat in ``record``.
        beat, beaten_at: the latest heartbeat, and when the router advanced it.
        risen_at: when that was noticed on this router; liveness depends on it.
        was_alive: whether it counted as alive at the last check.
        readings_at: when its load on each runner was reported, for reports after the record.
    """

    __slots__ = (
        "beat",
        "beaten_at",
        "life",
        "readings_at",
        "record",
        "risen_at",
        "told_at",
        "was_alive",
    )

    def __init__(self, record: RouterRecord, beaten_at: float, risen_at: float) -> None:
        self.record = record
        self.life = life_number(record.address, record.incarnation)
        self.told_at = beaten_at
        self.beat = record.beat
        self.beaten_at = beaten_at
        self.risen_at = risen_at
        self.was_alive = True
        self.readings_at: dict[str, float] = {}

    def take_record(self, record: RouterRecord, beaten_at: float) -> None:
        """Replace the record by a newer one."""
        self.record = record
        self.told_at = beaten_at
        self.readings_at.clear()

    def end_readings(self, now: float) -> None:
        """Clear the pending prefill of runners whose load was not updated for long."""
        for instance, load in self.record.loads.items():
            told_at = self.readings_at.get(instance, self.told_at)
            if load.tokens_to_read and now - told_at > READING_BELIEVED_S:
                self.record.loads[instance] = RunnerLoad(load.requests, 0, load.tokens_held)

    def hear(self, beat: int, beaten_at: float, risen_at: float) -> None:
        """Merge a heartbeat of this incarnation; for equal heartbeats the highest age is right."""
        if beat > self.beat:
            self.beat = beat
            self.beaten_at = beaten_at
            self.risen_at = max(self.risen_at, risen_at)
        elif beat == self.beat:
            self.beaten_at = min(self.beaten_at, beaten_at)
