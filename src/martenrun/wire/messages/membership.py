"""Who is alive, between nodes.

See also: :mod:`martenrun.membership.gossip`.
"""

from dataclasses import dataclass, field


@dataclass(slots=True)
class MemberClaim:
    """Node to node: what the sender believes of a member.

    ``status`` is a :class:`martenrun.membership.record.MemberStatus` value.  Only the member
    itself raises ``incarnation``.
    """

    address: str = ""
    zone: str = ""
    region: str = ""
    incarnation: int = 0
    status: int = 0


@dataclass(slots=True)
class Probe:
    """Node to node, datagram: answer me.

    ``relay_for`` is empty, or the node that asked the sender to probe in its place.
    """

    sequence: int = 0
    relay_for: str = ""
    claims: list[MemberClaim] = field(default_factory=list)


@dataclass(slots=True)
class ProbeAnswer:
    """Node to node, datagram: I am here; ``digest`` stands for the members I believe in."""

    sequence: int = 0
    digest: int = 0
    claims: list[MemberClaim] = field(default_factory=list)


@dataclass(slots=True)
class ProbeRequest:
    """Node to node, datagram: probe ``target`` for me, it does not answer me."""

    sequence: int = 0
    target: str = ""
    claims: list[MemberClaim] = field(default_factory=list)


@dataclass(slots=True)
class MemberGossip:
    """Node to node, datagram: news of members."""

    claims: list[MemberClaim] = field(default_factory=list)


@dataclass(slots=True)
class MemberList:
    """Node to node, joining: members the sender knows; ``wants_answer`` asks for all of them."""

    wants_answer: bool = False
    members: list[MemberClaim] = field(default_factory=list)


@dataclass(slots=True)
class MemberDigests:
    """Node to node: digests of the members I believe in, 8 bytes a bucket."""

    buckets: bytes = b""


@dataclass(slots=True)
class MemberStates:
    """Node to node: the buckets that differ, a byte each, and their members' states, packed."""

    buckets: bytes = b""
    states: bytes = b""


@dataclass(slots=True)
class MemberUpdate:
    """Node to node: what I know better than your states.

    ``states`` are of members that you know, ``members`` of others; ``wanted`` are identities,
    8 bytes each, of members that I do not know.
    """

    states: bytes = b""
    members: list[MemberClaim] = field(default_factory=list)
    wanted: bytes = b""
