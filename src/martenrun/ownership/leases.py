"""Renewal of the leases that a home node holds, in one message for each owner."""

import collections
from collections.abc import Iterable, Mapping

from martenrun.events import Instruction, Send
from martenrun.ownership.owners import OwnerMap
from martenrun.ownership.questions import Reservation
from martenrun.wire.messages import LeaseRenewal, RenewLeases

RENEW_INTERVAL_S = 10.0
"""Age at which a lease is renewed, in seconds; a third of its lifetime."""

CHECK_INTERVAL_S = 1.0
"""Time between two looks for due renewals, in seconds."""


class LeaseKeeper:
    """Knows when each lease is due, and registers leases again when their owner changes."""

    def __init__(self, owners: OwnerMap) -> None:
        self._owners = owners
        self._due: collections.deque[tuple[float, int]] = collections.deque()
        self._next_check = 0.0
        self._owners_version = -1

    def granted(self, lease: Reservation, now: float) -> None:
        """Note a new lease."""
        self._due.append((now + RENEW_INTERVAL_S, lease.reservation_id))

    def renewals(self, reservations: Mapping[int, Reservation], now: float) -> list[Instruction]:
        """Return the renewals that are due; ended leases are passed over."""
        if now < self._next_check:
            return []
        self._next_check = now + CHECK_INTERVAL_S
        due = self._take_due(reservations, now)
        if self._owners.version != self._owners_version:
            self._owners_version = self._owners.version
            moved = [lease for lease in reservations.values() if self._has_moved(lease)]
            due.update((lease.reservation_id, lease) for lease in moved)
        return self._messages(due.values())

    def _take_due(
        self, reservations: Mapping[int, Reservation], now: float
    ) -> dict[int, Reservation]:
        due: dict[int, Reservation] = {}
        while self._due and self._due[0][0] <= now:
            _at, identity = self._due.popleft()
            lease = reservations.get(identity)
            if lease is not None:
                due[identity] = lease
                self._due.append((now + RENEW_INTERVAL_S, identity))
        return due

    def _has_moved(self, lease: Reservation) -> bool:
        owner = self._owners.owner(lease.runner)
        if not lease.incarnation or not owner or owner == lease.owner:
            return False
        lease.owner = owner
        return True

    def _messages(self, leases: Iterable[Reservation]) -> list[Instruction]:
        by_owner: dict[str, RenewLeases] = {}
        for lease in leases:
            renewal = LeaseRenewal(lease.reservation_id, lease.runner, lease.incarnation)
            by_owner.setdefault(lease.owner, RenewLeases([])).leases.append(renewal)
        return [Send(owner, message) for owner, message in by_owner.items()]
