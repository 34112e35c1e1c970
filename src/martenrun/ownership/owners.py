"""Which node owns each runner: rendezvous hashing over the live members of its zone.

A runner whose zone has no live member is owned by a member of any zone.  Members that others
suspect to be dead own nothing meanwhile, so that runners need not wait until the death is
certain; a suspected member that lives goes on granting until it has refuted.  Views that differ for
some seconds may give a runner two owners; that is harmless because engines refuse work beyond
their slots without running it.  A node that has not joined yet owns nothing.

See also: :mod:`martenrun.membership.view`.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

from martenrun.identity.hashing import HashArray, best_columns, name_hashes
from martenrun.membership.view import Member, MemberView
from martenrun.node.runners import RunnerTable


@dataclass(slots=True)
class _Zone:
    """Runners of a zone, the members that share them, and those that are this node's."""

    runners: tuple[str, ...]
    hashes: HashArray
    members: tuple[str, ...] = ()
    own: frozenset[str] = field(default_factory=frozenset)


class OwnerMap:
    """Owners of all runners, computed again only for zones whose members or runners changed.

    A change of members costs one pass over the runners of the zones it touches, and hashes no
    runner's name again: members change many times while a large cluster starts.

    Args:
        members: the live members.
        suspected: returns the addresses of members that may be dead.
    """

    def __init__(
        self, members: MemberView, suspected: Callable[[], frozenset[str]] = frozenset
    ) -> None:
        self._members = members
        self._suspected = suspected
        self._live: tuple[Member, ...] = ()
        self._was_settled = False
        self._table_version = -1
        self._addresses: frozenset[str] = frozenset()
        self._owners: dict[str, str] = {}
        self._zones: dict[str, _Zone] = {}
        self.version = 0

    @property
    def own_address(self) -> str:
        """This node's address."""
        return self._members.own.address

    @property
    def is_settled(self) -> bool:
        """Whether this node may own runners: it knows the members that it shares them with."""
        return self._members.is_settled

    def refresh(self, table: RunnerTable) -> bool:
        """Take in the present members and runners; returns whether any owner may have moved."""
        known = self._members.live()
        suspected = self._suspected() - {self.own_address}
        live = tuple(member for member in known if member.address not in suspected)
        is_unchanged = live == self._live and self.is_settled == self._was_settled
        if is_unchanged and table.version == self._table_version:
            return False
        if table.version != self._table_version:
            self._take_runners(table)
        self._live = live
        self._was_settled = self.is_settled
        self._table_version = table.version
        self._addresses = frozenset(member.address for member in live)
        by_zone: dict[str, list[str]] = {}
        for member in live:
            by_zone.setdefault(member.zone, []).append(member.address)
        for name, zone in self._zones.items():
            self._share_out(zone, sorted(by_zone.get(name) or self._addresses))
        self.version += 1
        return True

    def owner(self, runner: str) -> str:
        """Return the address of a runner's owner; empty if nothing is known of it."""
        return self._owners.get(runner, "")

    def owns(self, runner: str) -> bool:
        """Return whether this node owns a runner."""
        return self._was_settled and self._owners.get(runner) == self.own_address

    def owned(self) -> set[str]:
        """Return the names of the runners that this node owned at the last refresh."""
        if not self._was_settled:
            return set()
        return {name for zone in self._zones.values() for name in zone.own}

    def is_live(self, address: str) -> bool:
        """Return whether an address is a live member by the last refresh."""
        return address in self._addresses

    def _take_runners(self, table: RunnerTable) -> None:
        by_zone: dict[str, list[str]] = {}
        for runner in table.runners.values():
            by_zone.setdefault(runner.zone, []).append(runner.name)
        for name in self._zones.keys() - by_zone.keys():
            del self._zones[name]
        for name, names in by_zone.items():
            runners = tuple(names)
            if name not in self._zones or self._zones[name].runners != runners:
                self._zones[name] = _Zone(runners, name_hashes(runners))

    def _share_out(self, zone: _Zone, addresses: Sequence[str]) -> None:
        members = tuple(addresses)
        if zone.members == members or not members:
            return
        zone.members = members
        best = best_columns(zone.hashes, name_hashes(members)).tolist()
        self._owners.update(zip(zone.runners, map(members.__getitem__, best), strict=True))
        own_index = members.index(self.own_address) if self.own_address in members else -1
        own = [name for name, index in zip(zone.runners, best, strict=True) if index == own_index]
        zone.own = frozenset(own)
