"""Checking that a runner may leave its pool, before its assignment is accepted.

The check goes by this node's machine list and configuration, which may be seconds old.  Two
operators at the same time may pass it together; then the load permits hold back the loads, and
the runner can be sent back.  See also: :mod:`martenrun.orders.permits`.
"""

from collections.abc import Callable

from martenrun.configuration.view import ConfigurationView
from martenrun.errors import InvalidObjectError
from martenrun.node.runners import RunnerTable

CheckMove = Callable[[str, str | None], None]
"""Raises InvalidObjectError if a runner may not go to a pool; None is the machine list's."""


def allow_every_move(runner: str, pool: str | None) -> None:
    """Check nothing, where no machine list is known."""


def check_move(view: ConfigurationView, table: RunnerTable, runner: str, pool: str | None) -> None:
    """Raise InvalidObjectError if a move would leave a pool with fewer runners than its floor."""
    known = table.runners.get(runner)
    if known is None or known.pool == (pool or table.listed_pool(runner)):
        return
    left = view.pool(known.pool)
    if left is None or view.is_moving(runner):
        return
    staying = sum(
        other.pool == known.pool
        and other.name != runner
        and not other.leaving
        and not view.is_moving(other.name)
        for other in list(table.runners.values())
    )
    if staying < left.floor:
        raise InvalidObjectError(
            f"pool {known.pool!r} would keep {staying} runners; its floor is {left.floor}",
            remedy="Bring another runner into that pool first, or lower its floor.",
        )
