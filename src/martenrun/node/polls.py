"""What a node reads of outside systems: the machine list and the engines that it follows.

Engines push what changes (:mod:`martenrun.node.feeds`); those without push streams are polled
here.

See also: :class:`martenrun.process.Poller`.
"""

from collections.abc import Callable

from urllib3.exceptions import HTTPError

from martenrun.backends.cache_events import CacheEventReader
from martenrun.backends.engine import EngineConnections
from martenrun.backends.machine_list import MachineList
from martenrun.events import CacheEventsRead, Event, MachinesListed, RunnerDescribed
from martenrun.node.feeds import EngineFollower
from martenrun.node.followed_engine import Target
from martenrun.node.parts import NodeParts


class NodePolls:
    """Reads for one node and tells its loop what it found; every method blocks.

    Args:
        parts: the node's decision logic; says which runners matter to it.
        machine_list: read if this node has to.
        engines: connections to engines that are polled.
        follower: follows the others.
        tell: gives the loop an event.
    """

    def __init__(
        self,
        parts: NodeParts,
        machine_list: MachineList,
        engines: EngineConnections,
        follower: EngineFollower,
        tell: Callable[[Event], None],
    ) -> None:
        self._parts = parts
        self._machine_list = machine_list
        self._engines = engines
        self._follower = follower
        self._cache_events = CacheEventReader(engines)
        self._tell = tell

    def list_machines(self) -> None:
        """Read the machine list if this node has to; raises StoreUnavailableError."""
        if self._parts.machine_feed.must_poll():
            self._tell(MachinesListed(self._machine_list.machines()))

    def follow_engines(self) -> None:
        """Follow the owned and the watched runners; poll those that cannot push."""
        targets = self._targets()
        self._follower.follow(targets)
        polled = self._follower.polled()
        for target in targets:
            if target.runner in polled and self._is_wanted(target.runner):
                self._poll(target)

    def _targets(self) -> list[Target]:
        owned = set(self._parts.ownership.owner.owned)
        targets = []
        for name in owned | self._parts.rolls.watched:
            runner = self._parts.runners.runners.get(name)
            if runner is not None:
                targets.append(Target(name, runner.address, name in owned))
        return targets

    def _is_wanted(self, name: str) -> bool:
        """Return whether the runner is still this node's to describe.

        A node that has just started believes for a moment that it owns every runner.
        """
        is_owned = name in self._parts.ownership.owner.owned
        return is_owned or name in self._parts.rolls.watched

    def _poll(self, target: Target) -> None:
        try:
            description = self._engines.describe(target.address)
        except HTTPError:
            self._tell(RunnerDescribed(target.runner, None))
            self._follower.poll_failed(target.runner)
            return
        self._tell(RunnerDescribed(target.runner, description))
        if target.cache_events:
            self._read_cache_events(target)

    def _read_cache_events(self, target: Target) -> None:
        try:
            events = self._cache_events.read(target.runner, target.address)
        except HTTPError:
            return
        if events is not None:
            self._tell(CacheEventsRead(target.runner, events))
