"""What one router knows of another: its record, and when it was last heard of."""

from martenrun.router.peer_messages import RouterRecord, RunnerLoad, life_number

READING_BELIEVED_S = 3.0
"""For how long a prompt is believed to be still read of which nothing more is told, in seconds.

A datagram that says that it has been read may be lost, many where a link is full: the next record
comes some 10 s later among 195 routers, and meanwhile runners that have nothing to do would count
as too busy for one more prompt.  Routers tell again of prompts that are read for longer.
"""


class KnownRouter:
    """A record, and the last beat heard of its router, which may be a later one.

    Attributes:
        life: the number of its life.
        told_at: when the record's own beat was raised by its router.
        beat, beaten_at: the last beat, and when it was raised.
        risen_at: when that was noticed here: whether the router counts as alive goes by it.
        was_alive: whether it counted as alive when that was last looked at.
        readings_at: when its load at each runner was told, for those told since the record.
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
        """Believe no longer that prompts are still read of which nothing was told for long."""
        for instance, load in self.record.loads.items():
            told_at = self.readings_at.get(instance, self.told_at)
            if load.tokens_to_read and now - told_at > READING_BELIEVED_S:
                self.record.loads[instance] = RunnerLoad(load.requests, 0, load.tokens_held)

    def hear(self, beat: int, beaten_at: float, risen_at: float) -> None:
        """Take in a beat of the life that is known; of one beat the oldest age is the true one."""
        if beat > self.beat:
            self.beat = beat
            self.beaten_at = beaten_at
            self.risen_at = max(self.risen_at, risen_at)
        elif beat == self.beat:
            self.beaten_at = min(self.beaten_at, beaten_at)
