"""The slots of one runner at its owner node: leases, foreign work, waiting reservations.

The owner's leases are exact while it lives.  The engine's lagging load report corrects what the
owner can not know: work granted by an earlier owner (``foreign``), and leases whose home never
gave them back.
"""

import collections
from dataclasses import dataclass, field

from martenrun.backends.engine import RunnerDescription, RunnerServingState
from martenrun.sharing.fair_queue import FairQueue

LOAD_LAG_S = 2.0
"""Largest age assumed of a load report: older leases must show in it, in seconds."""

LOST_LEASE_S = 5.0
"""How long the engine must report less work than is leased before leases are void."""

LEASE_S = 30.0
"""Lifetime of a lease that is not renewed, in seconds."""


@dataclass(frozen=True, slots=True)
class LeaseKey:
    """Identity of a reservation and of the lease it becomes."""

    home: str
    reservation_id: int


@dataclass(slots=True)
class Lease:
    """A slot in use by one attempt."""

    granted_at: float
    expires_at: float


@dataclass
class RunnerSlots:
    """Slots of one owned runner; an empty incarnation means that it takes no work.

    ``is_described`` tells whether this owner has looked at the engine since it took the runner
    up.  Until then it can not know the runner's state, and reservations wait.
    """

    name: str
    is_described: bool = False
    incarnation: str = ""
    weights_version: str = ""
    accepting: bool = True
    slots: int = 0
    foreign: int = 0
    leases: dict[LeaseKey, Lease] = field(default_factory=dict)
    queue: FairQueue = field(default_factory=FairQueue)
    _last_incarnation: str = ""
    _peak: int = 0
    _peaks: collections.deque[tuple[float, int]] = field(default_factory=collections.deque)
    _surplus_since: float | None = None

    @property
    def free(self) -> int:
        """Slots that may be leased now."""
        return self.slots - self.foreign - len(self.leases) if self.takes_work else 0

    @property
    def free_less_waiting(self) -> int:
        """Slots that may be leased now less the reservations that wait for one."""
        return self.free - len(self.queue)

    @property
    def takes_work(self) -> bool:
        """Whether the engine is reachable and neither drains nor loads."""
        return bool(self.incarnation) and self.accepting

    def grant(self, key: LeaseKey, now: float) -> None:
        """Lease a slot."""
        self.leases[key] = Lease(now, now + LEASE_S)
        self._peak = max(self._peak, len(self.leases))

    def register(self, key: LeaseKey, now: float) -> None:
        """Take over a lease that an earlier owner granted; its work was counted as foreign."""
        self.foreign = max(0, self.foreign - 1)
        self.leases[key] = Lease(now, now + LEASE_S)
        self._peak = max(self._peak, len(self.leases))

    def renew(self, key: LeaseKey, now: float) -> None:
        """Extend a lease."""
        self.leases[key].expires_at = now + LEASE_S

    def expire(self, now: float) -> list[LeaseKey]:
        """End and return the leases that were not renewed."""
        expired = [key for key, lease in self.leases.items() if lease.expires_at <= now]
        for key in expired:
            del self.leases[key]
        return expired

    def unreachable(self) -> None:
        """The engine did not describe itself: grant nothing until it does."""
        self.is_described = True
        self.incarnation = ""

    def described_as(self, description: RunnerDescription, now: float) -> list[LeaseKey]:
        """Take in a load report; returns the leases that it shows to be void."""
        was_reachable = bool(self.incarnation)
        self.is_described = True
        self.incarnation = description.incarnation
        self.weights_version = description.weights_version
        self.accepting = description.state == RunnerServingState.SERVING
        self.slots = description.slots
        is_restarted = self._last_incarnation not in ("", description.incarnation)
        self._last_incarnation = description.incarnation
        if is_restarted:
            return self._void_all()
        if not was_reachable:
            self._surplus_since = None
        self.foreign = max(0, description.running - self._recent_peak(now))
        return self._void_surplus(description.running, now)

    def _void_all(self) -> list[LeaseKey]:
        void = list(self.leases)
        self.leases.clear()
        self.foreign = self._peak = 0
        self._peaks.clear()
        self._surplus_since = None
        return void

    def _recent_peak(self, now: float) -> int:
        """Return the most leases held at once within the reports' lag."""
        self._peaks.append((now, max(self._peak, len(self.leases))))
        self._peak = len(self.leases)
        while self._peaks[0][0] < now - LOAD_LAG_S:
            self._peaks.popleft()
        return max(peak for _time, peak in self._peaks)

    def _void_surplus(self, running: int, now: float) -> list[LeaseKey]:
        """End the oldest leases that the engine has not shown for some time."""
        settled = [
            key for key, lease in self.leases.items() if lease.granted_at <= now - LOAD_LAG_S
        ]
        surplus = len(settled) - running
        if surplus <= 0:
            self._surplus_since = None
            return []
        if self._surplus_since is None:
            self._surplus_since = now
        if now - self._surplus_since < LOST_LEASE_S:
            return []
        self._surplus_since = None
        for key in settled[:surplus]:
            del self.leases[key]
        return settled[:surplus]
