"""What a node remembers of one member."""

import enum
import hashlib
import struct
from dataclasses import dataclass, field

from martenrun.membership.view import Member
from martenrun.wire.messages import MemberClaim

_FINGERPRINT = struct.Struct("!q")


class MemberStatus(enum.IntEnum):
    """States of ``statecharts/member.toml`` that travel in claims.

    Of two claims with the same incarnation the one with the higher status is newer.
    """

    LIVE = 0
    LEAVING = 1
    SUSPECTED = 2
    DEAD = 3


@dataclass(slots=True)
class MemberRecord:
    """Belief about one member.

    Attributes:
        incarnation: raised by the member alone, to refute claims about it.
        due: when the suspicion or the memory of the death ends.
        fingerprint: this record's part of the digest; 0 for a dead member.
        identity: hash of the address, which stands for it between nodes that know the member.
    """

    address: str
    zone: str
    region: str
    incarnation: int = 0
    status: MemberStatus = MemberStatus.LIVE
    due: float = 0.0
    fingerprint: int = 0
    identity: int = field(init=False)

    def __post_init__(self) -> None:
        self.identity = _hashed(self.address)

    def claim(self) -> MemberClaim:
        """Return what this node tells others of the member.

        Who takes a member out of use knows it already: its zone and region do not travel.
        """
        if self.status in (MemberStatus.SUSPECTED, MemberStatus.DEAD):
            return MemberClaim(self.address, "", "", self.incarnation, int(self.status))
        return self.whole_claim()

    def whole_claim(self) -> MemberClaim:
        """Return the claim for a node that may not know the member."""
        return MemberClaim(self.address, self.zone, self.region, self.incarnation, int(self.status))

    def member(self) -> Member:
        """Return the member as other decision logic sees it."""
        return Member(self.address, self.zone, self.region, self.status is MemberStatus.LEAVING)

    def is_older_than(self, claim: MemberClaim) -> bool:
        """Return whether a claim is news."""
        return (self.incarnation, self.status) < (claim.incarnation, claim.status)

    def computed_fingerprint(self) -> int:
        """Return the fingerprint of the present state; a suspected member counts as live."""
        if self.status is MemberStatus.DEAD:
            return 0
        leaving = self.status is MemberStatus.LEAVING
        return _hashed(f"{self.address} {self.incarnation} {leaving}")


def _hashed(text: str) -> int:
    (value,) = _FINGERPRINT.unpack(hashlib.blake2b(text.encode(), digest_size=8).digest())
    return int(value)
