"""Tracks when each runner was last ordered under a lease, by any holder.  No I/O or clock.

Orders of two routers to one runner must be at least the length of the lease apart.  A holder
reserves a runner in the lease object before it orders it.  Its successor then knows which runners
it may order at once, and which ones may have been ordered shortly before the lease ended.
"""

from collections.abc import Collection, Iterator, Mapping

RESERVED_AGE_MS = 0
"""Age stored for a reserved runner, which the holder may order at any time during the lease."""

MS_PER_S = 1000.0


class OrderSchedule:
    """The orders to runners that one router knows of; all times are monotonic, in seconds.

    Args:
        lease_s: length of the lease and minimum time between orders of two routers to a runner.
    """

    def __init__(self, lease_s: float) -> None:
        self._lease_s = lease_s
        self._blocked_until: dict[str, float] = {}
        self._all_blocked_until = 0.0
        self._paused_until = 0.0
        self._unknown_until = 0.0
        self._reserved: set[str] = set()
        self._confirmed: set[str] = set()
        self._ordered_at: dict[str, float] = {}

    # Earlier holders

    def block_all(self, last_order_at: float) -> None:
        """Block all runners because an earlier holder may have ordered any of them.

        Args:
            last_order_at: latest time at which that holder may have ordered a runner.
        """
        until = last_order_at + self._lease_s
        self._all_blocked_until = max(self._all_blocked_until, until)
        self._unknown_until = max(self._unknown_until, until)

    def resume(
        self,
        ages_ms: Mapping[str, int] | None,
        seen_at: float,
        last_order_at: float,
        pause_s: float,
    ) -> None:
        """Continue after an earlier incarnation of this router, whose orders block no runner.

        Args:
            ages_ms, seen_at, last_order_at: as for :meth:`block`; no ages if they are unknown.
            pause_s: time for which orders of others blocked that incarnation, in seconds.
        """
        self._paused_until = max(self._paused_until, seen_at + pause_s)
        if ages_ms is None:
            self._unknown_until = max(self._unknown_until, last_order_at + self._lease_s)
            return
        for instance, ordered_at in _order_times(ages_ms, seen_at, last_order_at):
            self._ordered_at[instance] = max(ordered_at, self._ordered_at.get(instance, 0.0))

    def block(self, ages_ms: Mapping[str, int], seen_at: float, last_order_at: float) -> None:
        """Block the runners that an earlier holder has ordered or reserved.

        Args:
            ages_ms: for each runner the time since its last possible order, in milliseconds.
            seen_at: time at which the record was first seen.
            last_order_at: latest time at which that holder may have ordered a reserved runner.
        """
        for instance, ordered_at in _order_times(ages_ms, seen_at, last_order_at):
            until = ordered_at + self._lease_s
            self._blocked_until[instance] = max(until, self._blocked_until.get(instance, 0.0))

    def earliest_order_at(self, instance: str) -> float:
        """Return the time from which a holder of the lease may order a runner."""
        blocked_until = self._blocked_until.get(instance, 0.0)
        return max(self._all_blocked_until, self._paused_until, blocked_until)

    def unblocked_at(self) -> float:
        """Return the time from which no runner is blocked."""
        blocked_until = self._blocked_until.values()
        return max([self._all_blocked_until, self._paused_until, *blocked_until])

    # Own orders

    def reserve(self, instances: Collection[str]) -> None:
        """Reserve runners with the next write of the lease object."""
        self._reserved.update(instances)

    def is_reserved(self, instance: str) -> bool:
        """Return whether this router reserves a runner in its writes of the lease object."""
        return instance in self._reserved

    def is_unconfirmed(self, instance: str) -> bool:
        """Return whether a reservation has not been stored in the lease object yet."""
        return instance in self._reserved and instance not in self._confirmed

    def is_confirmed(self, instance: str) -> bool:
        """Return whether this router's reservation of a runner is in the lease object."""
        return instance in self._confirmed

    def confirm(self, ages_ms: Mapping[str, int] | None) -> None:
        """Record that a record of this router with these ages has been stored."""
        ages_ms = ages_ms or {}
        stored = {instance for instance, age_ms in ages_ms.items() if age_ms <= RESERVED_AGE_MS}
        self._confirmed = stored & self._reserved

    def record_order(self, instance: str, now: float) -> None:
        """Record that an order to a runner is sent, or may have arrived as late as now."""
        self._ordered_at[instance] = now

    def cancel(self, instance: str) -> None:
        """Cancel the reservation of a runner to which no order is in transit."""
        self._reserved.discard(instance)
        self._confirmed.discard(instance)

    def cancel_all(self) -> None:
        """Cancel all reservations."""
        self._reserved.clear()
        self._confirmed.clear()

    def order_ages_ms(self, now: float) -> dict[str, int] | None:
        """Return for each runner the time since its last possible order, by any holder.

        In milliseconds.  Runners last ordered longer ago than the length of the lease are left out.
        None while any runner may have been ordered within that time.
        """
        if now < self._unknown_until:
            return None
        self._forget_before(now - self._lease_s)
        ordered_at = {
            instance: until - self._lease_s for instance, until in self._blocked_until.items()
        }
        for instance, at in self._ordered_at.items():
            ordered_at[instance] = max(at, ordered_at.get(instance, at))
        ages = {
            instance: max(RESERVED_AGE_MS + 1, int((now - at) * MS_PER_S))
            for instance, at in ordered_at.items()
            if now - at < self._lease_s
        }
        return ages | dict.fromkeys(self._reserved, RESERVED_AGE_MS)

    def _forget_before(self, at: float) -> None:
        """Remove orders given before a time."""
        self._ordered_at = {name: was for name, was in self._ordered_at.items() if was >= at}
        self._blocked_until = {
            name: until
            for name, until in self._blocked_until.items()
            if until - self._lease_s >= at
        }


def _order_times(
    ages_ms: Mapping[str, int], seen_at: float, last_order_at: float
) -> Iterator[tuple[str, float]]:
    """Yield for each runner the latest time at which the holder may have ordered it."""
    for instance, age_ms in ages_ms.items():
        is_reserved = age_ms <= RESERVED_AGE_MS
        yield instance, last_order_at if is_reserved else seen_at - age_ms / MS_PER_S
