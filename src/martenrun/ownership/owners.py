"""Which node owns each runner: rendezvous hashing over the live members of its zone.

A runner whose zone has no live member is owned by a member of any zone.  Members that others
suspect to be dead own nothing meanwhile, so that runners need not wait until the death is
certain; a suspected member that lives goes on granting until it has refuted.  Views that differ for
some seconds may give a runner two owners; that is harmless because engines refuse work beyond
their slots without running it.

See also: :mod:`martenrun.membership.view`.
"""

from collections.abc import Callable

from martenrun.identity.hashing import best_columns, name_hashes
from martenrun.membership.view import Member, MemberView
from martenrun.node.runners import RunnerTable


class OwnerMap:
    """Owners of all runners, computed again only for zones whose members or runners changed.

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
        self._table_version = -1
        self._addresses: frozenset[str] = frozenset()
        self._owners: dict[str, str] = {}
        self._zones: dict[str, tuple[tuple[str, ...], tuple[str, ...]]] = {}
        self.version = 0

    @property
    def own_address(self) -> str:
        """This node's address."""
        return self._members.own.address

    def refresh(self, table: RunnerTable) -> bool:
        """Take in the present members and runners; returns whether any owner may have moved."""
        known = self._members.live()
        suspected = self._suspected() - {self.own_address}
        live = tuple(member for member in known if member.address not in suspected)
        if live == self._live and table.version == self._table_version:
            return False
        self._live = live
        self._table_version = table.version
        self._addresses = frozenset(member.address for member in live)
        by_zone: dict[str, list[str]] = {}
        for runner in table.runners.values():
            by_zone.setdefault(runner.zone, []).append(runner.name)
        for zone, runners in by_zone.items():
            own_zone = sorted(member.address for member in live if member.zone == zone)
            members = tuple(own_zone or sorted(self._addresses))
            self._refresh_zone(zone, tuple(runners), members)
        self.version += 1
        return True

    def owner(self, runner: str) -> str:
        """Return the address of a runner's owner; empty if nothing is known of it."""
        return self._owners.get(runner, "")

    def owns(self, runner: str) -> bool:
        """Return whether this node owns a runner."""
        return self._owners.get(runner) == self.own_address

    def is_live(self, address: str) -> bool:
        """Return whether an address is a live member by the last refresh."""
        return address in self._addresses

    def _refresh_zone(self, zone: str, runners: tuple[str, ...], members: tuple[str, ...]) -> None:
        if self._zones.get(zone) == (runners, members) or not members:
            return
        self._zones[zone] = (runners, members)
        best = best_columns(name_hashes(runners), name_hashes(members))
        for runner, index in zip(runners, best, strict=True):
            self._owners[runner] = members[index]
