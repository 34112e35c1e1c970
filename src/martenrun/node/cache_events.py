"""Decision logic that turns engines' cache-event feeds into beliefs.

A feed's numbers tell what is missing and what is old: entries already taken in do nothing, a
gap drops what may have been removed in it, another incarnation drops everything.  Feeds are
read by a runner's owner; when a runner gets another owner, what its feed told here ends.

See also: :mod:`martenrun.routing.beliefs`, :mod:`martenrun.backends.cache_events`.
"""

from collections.abc import Callable
from dataclasses import dataclass

from martenrun.backends.cache_events import CacheEvents
from martenrun.events import CacheEventsRead, Event, Instruction, Tick
from martenrun.node.runners import RunnerTable
from martenrun.routing.beliefs import BeliefBook

OWNERSHIP_CHECK_S = 1.0
"""Time between two looks for feeds that are no longer this node's, in seconds."""


@dataclass(frozen=True, slots=True)
class _Position:
    incarnation: str = ""
    sequence: int = 0


class CacheEventsLogic:
    """Applies feeds to a node's beliefs.

    Args:
        beliefs: the node's beliefs.
        table: runners, for the weights version of their present run.
        owns: whether this node reads a runner's feed.
    """

    handles = frozenset({Tick, CacheEventsRead})

    def __init__(
        self, beliefs: BeliefBook, table: RunnerTable, owns: Callable[[str], bool]
    ) -> None:
        self._beliefs = beliefs
        self._table = table
        self._owns = owns
        self._positions: dict[str, _Position] = {}
        self._next_check = 0.0

    def handle(self, event: Event, now: float) -> list[Instruction]:
        """Take in an event; see :class:`martenrun.events.DecisionLogic`."""
        match event:
            case CacheEventsRead(runner, events):
                self._take(runner, events, now)
            case Tick() if now >= self._next_check:
                self._next_check = now + OWNERSHIP_CHECK_S
                self._end_foreign_feeds()
        return []

    def _take(self, runner_name: str, events: CacheEvents, now: float) -> None:
        runner = self._table.runners.get(runner_name)
        if runner is None or runner.incarnation != events.incarnation:
            # Of another run than the one that gets work: nothing it holds can be used.
            return
        if not self._owns(runner_name):
            # Told before the owner changed; nobody would tell of later removals.
            return
        position = self._positions.get(runner_name, _Position())
        known = position.sequence if position.incarnation == events.incarnation else 0
        if events.last_sequence <= known:
            return
        self._positions[runner_name] = _Position(events.incarnation, events.last_sequence)
        self._beliefs.identify(runner_name, events.incarnation, runner.weights_version)
        if events.gap or events.first_sequence > known + 1:
            self._beliefs.feed_gap(runner_name, now)
        self._beliefs.feed(runner_name, events.stored, events.removed)

    def _end_foreign_feeds(self) -> None:
        for runner_name in self._beliefs.fed_runners:
            if not self._owns(runner_name):
                self._beliefs.feed_ended(runner_name)
                self._positions.pop(runner_name, None)
