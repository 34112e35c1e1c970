"""Load permits: at most a few runners load from one weight store at a time, over all nodes.

All permits stand in one object of the object API, which is replaced by compare-and-swap.
Each replacement therefore sees every permit, and neither a store's number of loads nor a
pool's floor, which counts over all stores, can be overrun by two nodes at once.  The object's
version at the grant is the fencing token of the orders given under the permit: it only rises.

Everything here is pure.  See also: :mod:`martenrun.orders.keeper`, docs/design/orders.md.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

import msgspec

from martenrun.platform.engine_orders import OrderAction

PERMITS_KIND = "load-permits"
"""Kind of the permits' object in the object API."""

PERMITS_NAME = "permits"
"""Name of the permits' object in the object API."""

MAXIMUM_LOADS = 2
"""Runners that may load from one weight store at a time, over all nodes."""

ANY_STORE = ""
"""Store of a runner whose store nobody has named: it may be any of them."""

LEASE_S = 30.0
"""A permit that was not renewed for so long, on the observer's clock, may be taken over."""

HOLDER_LEASE_S = 0.8 * LEASE_S
"""How long a holder relies on its permit from before it sent the write, in seconds."""

RENEWAL_INTERVAL_S = LEASE_S / 4
"""Time between two renewals, in seconds."""


class Permit(msgspec.Struct, frozen=True):
    """Leave for one runner to carry out one order that reads the weight store.

    Attributes:
        holder: identity of one run of a node.
        change: identity of the grant, never used again.
        renewal: counts up while the holder is alive.
        action: what is ordered; see :class:`OrderAction`.
        value: the weights version, adapter or role ordered.
        store: the weight store that is read.
    """

    holder: str
    change: str
    runner: str
    pool: str
    action: OrderAction
    value: str
    renewal: int = 0
    store: str = ANY_STORE


class PermitTable(msgspec.Struct, frozen=True):
    """Content of the permits' object.

    Attributes:
        permits: at most one for each runner.
        pool_revisions: the newest revision of each pool object that a permit was granted for;
            a node whose configuration is older may not acquire.
    """

    permits: tuple[Permit, ...] = ()
    pool_revisions: dict[str, int] = {}

    def permit_of(self, runner: str) -> Permit | None:
        """Return the permit of a runner, or None."""
        return next((permit for permit in self.permits if permit.runner == runner), None)


@dataclass(frozen=True, slots=True)
class PermitWish:
    """A permit that a node wants.

    Attributes:
        pool_revision: revision of the pool object the wish comes from.
        floor: runners of the pool that must go on serving.
        takes_out: whether the runner stops serving while it carries the order out.
        store: the weight store that the runner loads from.
    """

    runner: str
    pool: str
    pool_revision: int
    action: OrderAction
    value: str
    change: str
    floor: int = 0
    takes_out: bool = True
    store: str = ANY_STORE


ServingCount = Callable[[str, frozenset[str]], int]
"""Counts a pool's serving runners apart from the named ones."""


def granted(
    table: PermitTable,
    wish: PermitWish,
    holder: str,
    expired: frozenset[str],
    serving: ServingCount,
    maximum_loads: int = MAXIMUM_LOADS,
) -> PermitTable:
    """Return the table with a permit for the wish, or the same table if it must wait.

    A permit of the same runner is replaced if it is the holder's own or ``expired``: whoever
    takes it over goes on with the same runner, so a store's number of loads does not grow.
    """
    if table.pool_revisions.get(wish.pool, 0) > wish.pool_revision:
        return table
    present = table.permit_of(wish.runner)
    if present is not None:
        if present.change == wish.change:
            return table
        if present.holder != holder and present.change not in expired:
            return table
    elif not _keeps_floor(table, wish, serving):
        return table
    others = [permit for permit in table.permits if permit.runner != wish.runner]
    stays = present is not None and present.store == wish.store
    if not stays and _loads(others, wish.store) >= maximum_loads:
        return table
    permit = Permit(
        holder, wish.change, wish.runner, wish.pool, wish.action, wish.value, store=wish.store
    )
    revisions = {**table.pool_revisions, wish.pool: wish.pool_revision}
    return PermitTable((*others, permit), revisions)


def _loads(table_permits: Iterable[Permit], store: str) -> int:
    """Count the permits whose runners may read a store."""
    if store == ANY_STORE:
        return sum(1 for _ in table_permits)
    return sum(permit.store in (store, ANY_STORE) for permit in table_permits)


def _keeps_floor(table: PermitTable, wish: PermitWish, serving: ServingCount) -> bool:
    if not wish.takes_out:
        return True
    loading = frozenset(permit.runner for permit in table.permits)
    before = serving(wish.pool, loading)
    after = serving(wish.pool, loading | {wish.runner})
    # A runner that does not serve anyway takes nothing away.
    return after == before or after >= wish.floor


def without(table: PermitTable, changes: Iterable[str]) -> PermitTable:
    """Return the table without the permits of some grants."""
    removed = frozenset(changes)
    kept = tuple(permit for permit in table.permits if permit.change not in removed)
    return PermitTable(kept, table.pool_revisions)


def renewed(table: PermitTable, changes: Iterable[str]) -> PermitTable:
    """Return the table with the permits of some grants renewed."""
    due = frozenset(changes)
    permits = tuple(
        msgspec.structs.replace(permit, renewal=permit.renewal + 1)
        if permit.change in due
        else permit
        for permit in table.permits
    )
    return PermitTable(permits, table.pool_revisions)


class LeaseObserver:
    """Tells which permits were not renewed for a lease time on the own clock."""

    def __init__(self) -> None:
        self._first_seen: dict[Permit, float] = {}

    def observe(self, table: PermitTable, now: float) -> None:
        """Take in a table read or written at ``now``."""
        self._first_seen = {permit: self._first_seen.get(permit, now) for permit in table.permits}

    def expired(self, now: float) -> frozenset[str]:
        """Return the grants whose lease has lapsed."""
        return frozenset(
            permit.change for permit, seen in self._first_seen.items() if now - seen > LEASE_S
        )
