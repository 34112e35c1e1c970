"""What other decision logic needs to know about the cluster's members."""

from collections.abc import Sequence
from dataclasses import dataclass
from typing import Protocol


@dataclass(frozen=True, slots=True)
class Member:
    """A node that may be sent messages and own work.

    ``address`` is its ``IP:port`` of the internal protocol and its identity.
    """

    address: str
    zone: str = ""
    region: str = ""
    leaving: bool = False


class MemberView(Protocol):
    """The members believed alive; every node's belief may differ for some seconds."""

    @property
    def own(self) -> Member:
        """This node."""
        ...

    @property
    def is_settled(self) -> bool:
        """Whether enough members are known since the start to own anything."""
        ...

    def live(self) -> Sequence[Member]:
        """Return members believed alive, this node included, leaving ones excluded."""
        ...


@dataclass
class StaticMemberView:
    """A fixed view, for tests and single nodes."""

    own: Member
    members: Sequence[Member]
    is_settled: bool = True

    def live(self) -> Sequence[Member]:
        """Return the fixed members."""
        return self.members
