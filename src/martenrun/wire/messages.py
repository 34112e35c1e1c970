"""Typed messages of the internal protocol, one class per message.

Each class carries the fields of the struct of the same name in ``martenrun.thrift``; the
codec attaches the struct's specification, so instances are encoded directly, without a
second object.  Every field has a default because a peer of another minor version may leave
it out.

See also: :mod:`martenrun.wire.codec`.
"""

from dataclasses import dataclass, field


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
    """Send me what is newer than ``known_revision``; also tells what the sender has in force.

    ``page_after`` asks for the page after that revision of an update that continues.
    ``nodes_digest`` stands for the live nodes that an agent knows; another digest is answered
    with the nodes, zero with none.
    """

    known_revision: int = 0
    page_after: int = 0
    nodes_digest: int = 0


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
    """Changes after ``from_revision`` up to ``to_revision``, by rising revision.

    ``complete`` marks a full copy: objects it does not list do not exist.  ``nodes`` are the
    addresses of live nodes.  ``continues`` marks a page that another one follows.
    """

    from_revision: int = 0
    to_revision: int = 0
    objects: list[ConfigurationObject] = field(default_factory=list)
    nodes: list[str] = field(default_factory=list)
    complete: bool = False
    continues: bool = False
    page_after: int = 0


@dataclass(slots=True)
class ClaimReport:
    """Agent to node: a keyed request has its final answer; ``state`` is a ClaimState value."""

    request_id: str = ""
    tenant: str = ""
    idempotency_key: str = ""
    state: str = ""


@dataclass(slots=True)
class UsageDigest:
    """Node to node: tenants' present rates at a node, or in a zone if ``zone`` is named.

    ``records`` are 16 bytes a tenant, see :mod:`martenrun.sharing.records`.  ``incarnation``
    and ``sequence`` show repeated and overtaken digests.
    """

    incarnation: int = 0
    sequence: int = 0
    zone: str = ""
    records: bytes = b""


@dataclass(slots=True)
class UsageTotals:
    """Answer to a node's UsageDigest: the same tenants' rates over all nodes.

    ``added_usage`` is the usage of all tenants that the sender adds up, in tokens per second.
    """

    incarnation: int = 0
    sequence: int = 0
    added_usage: float = 0.0
    records: bytes = b""


@dataclass(slots=True)
class ReserveSlot:
    """Home to owner: reserve a slot of ``runner`` for one attempt.

    ``reservation_id`` is unique for the home; its upper 31 bits name the home's incarnation.  It
    is also the lease's identity once the slot is granted.  ``deadline_ms`` is the time left.
    An empty ``weights_version`` accepts any.
    """

    reservation_id: int = 0
    runner: str = ""
    tenant: str = ""
    priority: int = 0
    cost_tokens: int = 0
    deadline_ms: int = 0
    may_queue: bool = False
    weights_version: str = ""
    chain: bytes = b""


@dataclass(slots=True)
class SlotGranted:
    """Owner to home: the slot is leased; ``free_slots`` are left after it."""

    reservation_id: int = 0
    incarnation: str = ""
    weights_version: str = ""
    cached_blocks: int = 0
    free_slots: int = 0


@dataclass(slots=True)
class SlotsQueued:
    """Owner to home: these reservations wait; repeated while they do."""

    reservation_ids: list[int] = field(default_factory=list)
    expected_waits_ms: list[int] = field(default_factory=list)


@dataclass(slots=True)
class RunnerLoad:
    """A hint about one runner; ``free_slots`` below zero counts waiting reservations."""

    runner: str = ""
    free_slots: int = 0


@dataclass(slots=True)
class SlotRefused:
    """Owner to home: no slot; ``reason`` is a :class:`martenrun.ownership.reasons.Reason`."""

    reservation_id: int = 0
    reason: str = ""
    owner: str = ""
    expected_wait_ms: int = 0
    loads: list[RunnerLoad] = field(default_factory=list)


@dataclass(slots=True)
class ReleaseSlots:
    """Home to owner: cancel these reservations or give back their leases."""

    reservation_ids: list[int] = field(default_factory=list)


@dataclass(slots=True)
class LeaseRenewal:
    """One lease that a home still uses."""

    reservation_id: int = 0
    runner: str = ""
    incarnation: str = ""


@dataclass(slots=True)
class RenewLeases:
    """Home to owner: keep these leases, or register them after the owner has changed."""

    leases: list[LeaseRenewal] = field(default_factory=list)


@dataclass(slots=True)
class LeasesVoided:
    """Owner to home: these leases ended without the home's release."""

    reservation_ids: list[int] = field(default_factory=list)


@dataclass(slots=True)
class MachinesQuery:
    """Node to a reader of the machine list: what differs from the list of this digest?"""

    known_digest: int = 0


@dataclass(slots=True)
class MachineEntry:
    """One machine; ``state`` is ``removed`` for one that is no longer listed."""

    name: str = ""
    role: str = ""
    address: str = ""
    zone: str = ""
    pool: str = ""
    state: str = ""


@dataclass(slots=True)
class MachinesUpdate:
    """Reader to node: changes that lead to the list of ``digest``, or that whole list."""

    digest: int = 0
    complete: bool = False
    machines: list[MachineEntry] = field(default_factory=list)


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


@dataclass(slots=True)
class StatusQuery:
    """Node to node: which configuration is in force with you?"""

    query_id: str = ""


@dataclass(slots=True)
class AgentRevision:
    """The revision that an agent had in force when it was heard last."""

    agent: str = ""
    revision: int = 0


@dataclass(slots=True)
class NodeStatus:
    """Node to node: what is in force here, and with the agents heard lately.

    ``watcher_lease`` names the lease held, or is empty; ``faults`` names objects whose newest
    document does not fit its schema.
    """

    query_id: str = ""
    revision: int = 0
    watcher_lease: str = ""
    faults: list[str] = field(default_factory=list)
    agents: list[AgentRevision] = field(default_factory=list)


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
    | MemberDigests
    | MemberStates
    | MemberUpdate
    | ClaimReport
    | UsageDigest
    | UsageTotals
    | ReserveSlot
    | SlotGranted
    | SlotsQueued
    | SlotRefused
    | ReleaseSlots
    | RenewLeases
    | LeasesVoided
    | MachinesQuery
    | MachinesUpdate
    | StatusQuery
    | NodeStatus
)
"""Messages that travel between processes, each behind a header (see the codec)."""
