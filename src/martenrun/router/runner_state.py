"""What a router believes of each runner beyond its entry in the list, learned from outcomes."""

import math

import attrs

from martenrun.router.messages import Runner
from martenrun.router.runner_doubts import RunnerDoubts

FAILURE_HALF_LIFE_S = 2.0
"""Time in which the memory of failures fades to a half, in seconds."""

AVOIDED_FROM = 2.5
"""Failures remembered from which a runner is avoided while others serve."""

LOADING_MEMORY_S = 4.0
"""How long a runner that was told to load is believed to be loading without news, in seconds."""

SILENT_AFTER_S = 0.7
"""Time without a byte from a runner that owes answers until it counts as silent, in seconds."""

SLOW_TOKENS_PER_S = 12_000.0
"""How fast a runner reads at least: one that has much to read may be silent for longer."""


@attrs.define
class RunnerState:
    """Beliefs about one incarnation of a runner.

    Attributes:
        runner: its entry.
        in_flight: requests of this router that it works on.
        elsewhere: the same of all other routers, as they last told.
        reading: tokens that it is believed to have still to read for this router's requests.
        reading_elsewhere: the same for all other routers.
        reading_told, reading_told_at: what others were last told of ``reading`` at once, and when.
        held: tokens of memory that this router's requests take there, cached parts left out.
        held_elsewhere: the same for all other routers.
        learned: versions of weights that its answers or other routers told of.
        loading_until: until when it is believed to be loading weights.
        full_until: until when it is believed to have no room.
        waiting_since: since when it has owed this router answers and sent nothing, or None.
        heard_at: when it last sent this router something.
        unanswered_since: when a connection to it was begun that has not come up in time, or None.
        limited_until: until when this router sends it nothing because of its rate limit.
        is_grant_pending: whether a request of this router is waiting for a grant to be sent to it.
        doubts: what routers doubt of it.
        doubt_told_at: when this router last told others that it hears nothing from it.
    """

    runner: Runner
    in_flight: int = 0
    elsewhere: int = 0
    reading: float = 0.0
    reading_elsewhere: float = 0.0
    reading_told: float = 0.0
    reading_told_at: float = -math.inf
    held: int = 0
    held_elsewhere: int = 0
    learned: dict[str, int] = attrs.field(factory=dict)
    loading_until: float = 0.0
    full_until: float = 0.0
    waiting_since: float | None = None
    failures: float = 0.0
    failures_at: float = 0.0
    doubts: RunnerDoubts = attrs.field(factory=RunnerDoubts)
    doubt_told_at: float = -math.inf
    heard_at: float = -math.inf
    unanswered_since: float | None = None
    limited_until: float = 0.0
    is_grant_pending: bool = False

    @property
    def load(self) -> int:
        """Requests that it works on, as far as is known."""
        return self.in_flight + self.elsewhere

    @property
    def backlog_tokens(self) -> float:
        """Tokens that it has still to read, as far as is known."""
        return self.reading + self.reading_elsewhere

    @property
    def held_tokens(self) -> int:
        """Tokens of memory that running requests take, as far as is known."""
        return self.held + self.held_elsewhere

    def weights_version(self, model: str) -> int | None:
        """Return the version of a model's weights that it is believed to have."""
        listed = self.runner.weights.get(model)
        learned = self.learned.get(model)
        if listed is None or learned is None:
            return listed if learned is None else learned
        return max(listed, learned)

    def learn_weights(self, model: str, version: int) -> None:
        """Take in that it has a version; versions only rise."""
        if version > self.learned.get(model, 0):
            self.learned[model] = version

    def note_failure(self, now: float, weight: float = 1.0) -> None:
        """Remember a failure."""
        self.failures = self.remembered_failures(now) + weight
        self.failures_at = now

    def note_success(self, now: float) -> None:
        """Forget half of what is held against it."""
        self.failures = self.remembered_failures(now) / 2
        self.failures_at = now

    def remembered_failures(self, now: float) -> float:
        """Return the failures remembered, faded with time."""
        if self.failures == 0.0:
            return 0.0
        return self.failures * math.exp2((self.failures_at - now) / FAILURE_HALF_LIFE_S)

    def note_sent(self, now: float) -> None:
        """Count a request that is sent to it."""
        if self.in_flight == 0:
            self.waiting_since = now
        self.in_flight += 1

    def note_bytes(self, now: float) -> None:
        """Note that it has sent something."""
        self.waiting_since = now
        self.heard_at = now
        self.unanswered_since = None
        self.doubts.end()

    def note_ended(self) -> None:
        """Count a request that has ended."""
        self.in_flight -= 1
        if self.in_flight <= 0:
            self.waiting_since = None

    def is_silent(self, now: float) -> bool:
        """Whether it owes answers and has sent nothing for a while."""
        if self.waiting_since is None:
            return False
        patience_s = SILENT_AFTER_S + self.backlog_tokens / SLOW_TOKENS_PER_S
        return now - self.waiting_since > patience_s

    def is_limited(self, now: float) -> bool:
        """Whether its rate limit prevents this router from sending it a request now."""
        return self.is_grant_pending or now < self.limited_until

    def is_avoided(self, now: float) -> bool:
        """Whether others are to be preferred whatever they cost."""
        return (
            now < self.loading_until
            or now < self.full_until
            or self.remembered_failures(now) >= AVOIDED_FROM
            or self.is_silent(now)
            or self.doubts.hold(now)
        )
