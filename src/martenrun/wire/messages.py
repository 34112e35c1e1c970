"""Typed messages of the internal protocol, one class per message.

Each class carries the fields of the struct of the same name in ``martenrun.thrift``; the
codec attaches the struct's specification, so instances are encoded directly, without a
second object.  Every field has a default because a peer of another minor version may leave
it out.

See also: :mod:`martenrun.wire.codec`.
"""

from dataclasses import dataclass, field


@dataclass(slots=True, eq=True)
class Envelope:
    """Frame content: names the kind of message that ``body`` encodes."""

    protocol_version: int = 0
    kind: str = ""
    body: bytes = b""


@dataclass(slots=True)
class Hello:
    """First frame of each side of a connection."""

    protocol_version: int = 0
    peer: str = ""
    nonce: bytes = b""


@dataclass(slots=True)
class DecideRequest:
    """Agent to node: which runner serves this request?

    ``chain`` is hashed with ``weights_version``; ``deadline_s`` is the time left, not a time
    of day; ``idempotency_key`` is empty for repeatable requests.
    """

    request_id: str = ""
    tenant: str = ""
    model: str = ""
    weights_version: str = ""
    chain: bytes = b""
    prompt_bytes: int = 0
    maximum_output_tokens: int = 0
    priority: int = 0
    deadline_s: float = 0.0
    idempotency_key: str = ""
    zone: str = ""
    excluded_runners: list[str] = field(default_factory=list)
    attempt: int = 0


@dataclass(slots=True)
class Grant:
    """Node to agent: send the attempt to this runner."""

    request_id: str = ""
    attempt: int = 0
    runner: str = ""
    address: str = ""
    incarnation: str = ""
    weights_version: str = ""
    believed_blocks: int = 0
    priority: int = 0


@dataclass(slots=True)
class Queued:
    """Node to agent: the question waits in a queue; repeated while it does."""

    request_id: str = ""
    attempt: int = 0
    expected_wait_s: float = 0.0


@dataclass(slots=True)
class Refusal:
    """Node to agent: a typed error; ``retry_after_s`` below zero means none."""

    request_id: str = ""
    attempt: int = 0
    code: str = ""
    message: str = ""
    remedy: str = ""
    ran: str = "no"
    retry_after_s: float = -1.0


@dataclass(slots=True)
class AttemptReport:
    """Agent to node: an attempt has ended; ``outcome`` is an :class:`AttemptOutcome` value."""

    request_id: str = ""
    attempt: int = 0
    runner: str = ""
    outcome: str = ""
    prompt_tokens: int = 0
    cached_tokens: int = 0
    output_tokens: int = 0
    first_token_s: float = 0.0


@dataclass(slots=True)
class WithdrawRequest:
    """Agent to node: the caller has gone; forget the question or give the slot back."""

    request_id: str = ""
    attempt: int = 0


@dataclass(slots=True)
class ConfigurationQuery:
    """Agent or node to node: send me what is newer than ``known_revision``."""

    known_revision: int = 0


@dataclass(slots=True)
class ConfigurationObject:
    """One configuration object or its removal; ``document`` is JSON."""

    kind: str = ""
    name: str = ""
    revision: int = 0
    deleted: bool = False
    document: bytes = b""


@dataclass(slots=True)
class ConfigurationUpdate:
    """Changes after ``from_revision`` up to ``to_revision``.

    ``complete`` marks a full copy: objects it does not list do not exist.  ``nodes`` are the
    addresses of live nodes.
    """

    from_revision: int = 0
    to_revision: int = 0
    objects: list[ConfigurationObject] = field(default_factory=list)
    nodes: list[str] = field(default_factory=list)
    complete: bool = False


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
    """Node to node: every member the sender knows; ``wants_answer`` asks for the same."""

    wants_answer: bool = False
    members: list[MemberClaim] = field(default_factory=list)


Message = (
    DecideRequest
    | Grant
    | Queued
    | Refusal
    | AttemptReport
    | WithdrawRequest
    | ConfigurationQuery
    | ConfigurationObject
    | ConfigurationUpdate
    | Probe
    | ProbeAnswer
    | ProbeRequest
    | MemberGossip
    | MemberList
)
"""Messages that travel inside an :class:`Envelope`."""
