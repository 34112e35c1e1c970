"""What a node's driver threads read again and again: the machine list and its runners.

See also: :class:`martenrun.process.Poller`.
"""

from collections.abc import Callable

from urllib3.exceptions import HTTPError

from martenrun.events import CacheEventsRead, Event, MachinesListed, RunnerDescribed
from martenrun.node.parts import NodeParts
from martenrun.platform.cache_events import CacheEventReader
from martenrun.platform.engine import EngineConnections
from martenrun.platform.machine_list import MachineList


class NodePolls:
    """Reads for one node and tells its loop what it found; every method blocks."""

    def __init__(
        self,
        parts: NodeParts,
        machine_list: MachineList,
        engines: EngineConnections,
        tell: Callable[[Event], None],
    ) -> None:
        self._parts = parts
        self._machine_list = machine_list
        self._engines = engines
        self._cache_events = CacheEventReader(engines)
        self._tell = tell

    def list_machines(self) -> None:
        """Read the machine list if this node has to; raises StoreUnavailableError."""
        if self._parts.machine_feed.must_poll():
            self._tell(MachinesListed(self._machine_list.machines()))

    def describe_runners(self) -> None:
        """Ask the owned and the watched runners to describe themselves."""
        owned = list(self._parts.ownership.owner.owned)
        for name in {*owned, *self._parts.rolls.watched}:
            runner = self._parts.runners.runners.get(name)
            if runner is None or not self._is_described_here(name):
                continue
            try:
                description = self._engines.describe(runner.address)
            except HTTPError:
                description = None
            self._tell(RunnerDescribed(runner.name, description))

    def _is_described_here(self, name: str) -> bool:
        """Return whether the runner is still this node's to describe.

        A node that has just started believes for a moment that it owns every runner.
        """
        is_owned = name in self._parts.ownership.owner.owned
        return is_owned or name in self._parts.rolls.watched

    def read_cache_events(self) -> None:
        """Read the cache events of the owned runners."""
        for name in list(self._parts.ownership.owner.owned):
            runner = self._parts.runners.runners.get(name)
            if runner is None:
                continue
            try:
                events = self._cache_events.read(runner.name, runner.address)
            except HTTPError:
                continue
            if events is not None:
                self._tell(CacheEventsRead(runner.name, events))
