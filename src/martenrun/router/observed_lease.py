"""What a router may conclude from a lease object: when it is free, and which orders were given."""

import attrs

from martenrun.router.messages import LeaseRecord, StoredObject
from martenrun.router.order_schedule import OrderSchedule

HOLDER_MARGIN_S = 0.4
"""Margin before the end of the lease at which its holder stops acting on it, in seconds."""

TAKEOVER_MARGIN_S = 0.15
"""Margin after the end of the lease before another router takes it over, in seconds."""

RANK_DELAY_S = 0.25
"""Additional delay per rank before a router takes over a free lease, in seconds."""


TOKENS_PER_ERA = 1 << 16
"""Range of fencing tokens of one era of the store."""


def era_of_token(fencing_token: int) -> int:
    """Return the era of the store in which a fencing token was given out."""
    return fencing_token // TOKENS_PER_ERA


@attrs.frozen
class ObservedLease:
    """A lease object as last observed.

    Attributes:
        first_seen_at: monotonic time at which its revision was first seen, in seconds.
        is_from_store: whether the record was read from the store; other routers send a part of it.
    """

    stored: StoredObject
    record: LeaseRecord
    first_seen_at: float
    is_from_store: bool = True


def takeover_at(observed: ObservedLease, router: str, rank: int, lease_s: float) -> float:
    """Return when a router may take the lease over; a higher rank means later."""
    if observed.record.router == router:
        # Held by an earlier incarnation of this router, which has exited.
        return observed.first_seen_at
    delay_s = rank * RANK_DELAY_S
    if observed.record.released_idle_s is not None:
        return observed.first_seen_at + delay_s
    return observed.first_seen_at + lease_s + TAKEOVER_MARGIN_S + delay_s


def latest_order_at(observed: ObservedLease, lease_s: float) -> float:
    """Return the latest time at which the holder of a lease may have given an order."""
    if observed.record.released_idle_s is not None:
        return observed.first_seen_at - observed.record.released_idle_s + TAKEOVER_MARGIN_S
    return observed.first_seen_at + lease_s - HOLDER_MARGIN_S


def block_earlier_orders(
    order_schedule: OrderSchedule, observed: ObservedLease, router: str, lease_s: float
) -> None:
    """Block orders to runners that the previous holder of a lease may have ordered.

    All incarnations of one router count as the same holder.
    """
    record = observed.record
    ordered_until = latest_order_at(observed, lease_s)
    if record.router == router:
        order_schedule.resume(
            record.ordered_ms, observed.first_seen_at, ordered_until, record.pause_s
        )
    elif record.ordered_ms is None:
        order_schedule.block_all(ordered_until)
    else:
        order_schedule.block(record.ordered_ms, observed.first_seen_at, ordered_until)
