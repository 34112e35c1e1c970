"""Typed messages of the internal protocol, one class per message, by job.

Each class carries the fields of the struct of the same name in ``martenrun.thrift``; the
codec attaches the struct's specification, so instances are encoded directly, without a
second object.  Every field has a default because a peer of another minor version may leave
it out.

See also: :mod:`martenrun.wire.codec`.
"""

from martenrun.wire.messages.configuration import (
    AgentRevision,
    ConfigurationObject,
    ConfigurationQuery,
    ConfigurationUpdate,
    NodeStatus,
    StatusQuery,
)
from martenrun.wire.messages.handshake import Hello
from martenrun.wire.messages.machines import MachineEntry, MachinesQuery, MachinesUpdate
from martenrun.wire.messages.membership import (
    MemberClaim,
    MemberDigests,
    MemberGossip,
    MemberList,
    MemberStates,
    MemberUpdate,
    Probe,
    ProbeAnswer,
    ProbeRequest,
)
from martenrun.wire.messages.requests import (
    AttemptReport,
    ClaimReport,
    DecideRequest,
    Grant,
    Queued,
    Refusal,
    WithdrawRequest,
)
from martenrun.wire.messages.scaling import DemandReport, PoolDemand
from martenrun.wire.messages.slots import (
    LeaseRenewal,
    LeasesVoided,
    PrefixesQuery,
    PrefixesServed,
    ReleaseSlots,
    RenewLeases,
    ReserveSlot,
    RunnerLoad,
    SlotGranted,
    SlotRefused,
    SlotsQueued,
)
from martenrun.wire.messages.stores import ExportPrefix, PrefixExported
from martenrun.wire.messages.usage import UsageDigest, UsageTotals

__all__ = [
    "AgentRevision",
    "AttemptReport",
    "ClaimReport",
    "ConfigurationObject",
    "ConfigurationQuery",
    "ConfigurationUpdate",
    "DecideRequest",
    "DemandReport",
    "ExportPrefix",
    "Grant",
    "Hello",
    "LeaseRenewal",
    "LeasesVoided",
    "MachineEntry",
    "MachinesQuery",
    "MachinesUpdate",
    "MemberClaim",
    "MemberDigests",
    "MemberGossip",
    "MemberList",
    "MemberStates",
    "MemberUpdate",
    "Message",
    "NodeStatus",
    "PoolDemand",
    "PrefixExported",
    "PrefixesQuery",
    "PrefixesServed",
    "Probe",
    "ProbeAnswer",
    "ProbeRequest",
    "Queued",
    "Refusal",
    "ReleaseSlots",
    "RenewLeases",
    "ReserveSlot",
    "RunnerLoad",
    "SlotGranted",
    "SlotRefused",
    "SlotsQueued",
    "StatusQuery",
    "UsageDigest",
    "UsageTotals",
    "WithdrawRequest",
]

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
    | PrefixesQuery
    | PrefixesServed
    | ExportPrefix
    | PrefixExported
    | SlotsQueued
    | SlotRefused
    | ReleaseSlots
    | RenewLeases
    | LeasesVoided
    | MachinesQuery
    | MachinesUpdate
    | StatusQuery
    | NodeStatus
    | DemandReport
)
"""Messages that travel between processes, each behind a header (see the codec)."""
