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

from martenrun.backends.engine_orders import OrderAction

PERMITS_KIND = "load-permits"
"""Kind of the permits' object in the object API."""

PERMITS_NAME = "permits"
"""Name of the permits' object in the object API."""

MAXIMUM_LOADS = 2
"""Runners that may load from one weight store at a time, over all nodes."""

NOTED_MOVES = 256
"""Runners whose latest change of the model the permits' object remembers."""

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
        model: the model that is loaded, if it is another one.
    """

    holder: str
    change: str
    runner: str
    pool: str
    action: OrderAction
    value: str
    renewal: int = 0
    store: str = ANY_STORE
    model: str = ""


class PermitTable(msgspec.Struct, frozen=True):
    """Content of the permits' object.

    Attributes:
        permits: at most one for each runner.
        pool_revisions: the newest revision of each pool object that a permit was granted for;
            a node whose configuration is older may not acquire.
        move_revisions: the revision of the configuration by which a runner was given another
            model, of the latest ones: a node that missed a move may not undo it.
    """

    permits: tuple[Permit, ...] = ()
    pool_revisions: dict[str, int] = {}
    move_revisions: dict[str, int] = {}

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
        model: the model to load, if it is another one.
        left_pool: the pool that the runner leaves by that, or empty.
        left_floor: runners of that pool that must go on serving.
        configuration_revision: revision of the configuration that the wish comes from.
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
    model: str = ""
    left_pool: str = ""
    left_floor: int = 0
    configuration_revision: int = 0


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
    if table.move_revisions.get(wish.runner, 0) > wish.configuration_revision:
        return table
    present = table.permit_of(wish.runner)
    if present is not None:
        if present.change == wish.change:
            return table
        if present.holder != holder and present.change not in expired:
            return table
    elif not (_keeps_floor(table, wish, serving) and _keeps_left_floor(table, wish, serving)):
        return table
    others = [permit for permit in table.permits if permit.runner != wish.runner]
    stays = present is not None and present.store == wish.store
    if not stays and _loads(others, wish.store) >= maximum_loads:
        return table
    permit = Permit(
        holder,
        wish.change,
        wish.runner,
        wish.pool,
        wish.action,
        wish.value,
        store=wish.store,
        model=wish.model,
    )
    revisions = {**table.pool_revisions, wish.pool: wish.pool_revision}
    return PermitTable((*others, permit), revisions, _noted_moves(table, wish))


def _noted_moves(table: PermitTable, wish: PermitWish) -> dict[str, int]:
    if not wish.model:
        return table.move_revisions
    noted = {name: seen for name, seen in table.move_revisions.items() if name != wish.runner}
    noted[wish.runner] = wish.configuration_revision
    return dict(list(noted.items())[-NOTED_MOVES:])


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


def still_keeps_floor(table: PermitTable, wish: PermitWish, serving: ServingCount) -> bool:
    """Return whether a pool keeps its floor while a wish is carried out, granted or not."""
    return _keeps_floor(without(table, {wish.change}), wish, serving)


def _keeps_left_floor(table: PermitTable, wish: PermitWish, serving: ServingCount) -> bool:
    """Whether the pool that a runner leaves can do without it; it can still be sent back."""
    loading = frozenset(permit.runner for permit in table.permits)
    return not wish.left_pool or serving(wish.left_pool, loading) >= wish.left_floor


def without(table: PermitTable, changes: Iterable[str]) -> PermitTable:
    """Return the table without the permits of some grants."""
    removed = frozenset(changes)
    kept = tuple(permit for permit in table.permits if permit.change not in removed)
    return msgspec.structs.replace(table, permits=kept)


def renewed(table: PermitTable, changes: Iterable[str]) -> PermitTable:
    """Return the table with the permits of some grants renewed."""
    due = frozenset(changes)
    permits = tuple(
        msgspec.structs.replace(permit, renewal=permit.renewal + 1)
        if permit.change in due
        else permit
        for permit in table.permits
    )
    return msgspec.structs.replace(table, permits=permits)


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
