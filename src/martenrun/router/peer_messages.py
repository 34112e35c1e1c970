"""Datagrams exchanged between routers, encoded as MessagePack arrays."""

from collections.abc import Callable

import msgspec

from martenrun.identity.rendezvous import weight
from martenrun.net.periodic import record_failure
from martenrun.net.wire_types import Amount, Count, Incarnation, Milliseconds
from martenrun.router.brittle_messages import BrittleUpdate
from martenrun.router.crashes.messages import CrashUpdate
from martenrun.router.drain_messages import DrainUpdate
from martenrun.router.limit_messages import LimitUpdate
from martenrun.router.origins.messages import (
    OriginQuery,
    OriginResponse,
    OriginUpdate,
    RunnerRestart,
    VersionsQuery,
    VersionsResponse,
)
from martenrun.router.quotas.messages import (
    QuotaAck,
    QuotaRequest,
    QuotaResponse,
    QuotaStage,
    QuotaUse,
    RecallRequest,
    RecallResponse,
)


class RunnerLoad(msgspec.Struct, array_like=True, frozen=True):
    """Load that one router has placed on a runner.

    Attributes:
        requests: requests in flight.
        prefill_tokens: prompt tokens still pending prefill.
        kv_cache_tokens: KV cache tokens used by these requests.
    """

    requests: int
    prefill_tokens: int
    kv_cache_tokens: int


class RouterRecord(msgspec.Struct, array_like=True):
    """State that a router publishes about itself.

    ``age_ms`` is the time since the router advanced its heartbeat, in milliseconds, as far as the
    sender of the record knows; 0 in the router's own message.
    ``lease_revision`` and ``lease_token`` describe the order lease while the router holds it,
    otherwise 0; ``loads`` maps each runner to the load that the router has placed on it;
    ``weights`` lists for each model how long the router has known its latest versions, as
    (version, milliseconds).
    ``reads_store`` is set if it reads the store for others; ``capacity`` is the CPU available to
    it, in cores.
    ``configurations`` lists the configuration versions in force on some router, as far as this
    router knows, as (version, milliseconds since then).
    ``quota_stage`` is a :class:`QuotaStage`.
    ``unreachable_services`` lists the services whose runners it cannot reach; ``is_cut_off`` is set
    if it reaches no runners at all.  ``accepts_forwarded`` is set if it serves requests that other
    routers forward; ``keeps_stream_software`` if it keeps streams at the software version of the
    runner that began them and keeps the origins of other routers' streams.  ``software_versions``
    lists for each service with several software versions lately when a runner of each was last
    listed, as (version, milliseconds since then).
    ``store_era`` is the newest era of the store that the router knows; 0 if the store names none or
    the router's version reads none.  ``has_state`` is set if the router has some state of each of
    the store's datasets.  ``knows_software_history`` is set if the router knows the software
    versions of all runners that have served lately.  ``confirms_versions`` is set if it receives
    responses of the store in time and answers which software versions serve.
    """

    address: str
    incarnation: Incarnation
    heartbeat: Count
    front: str
    zone: str
    is_leaving: bool
    is_current: bool
    has_lost_store: bool
    lease_revision: int
    lease_token: int
    loads: dict[str, RunnerLoad]
    weights: dict[str, list[tuple[int, Milliseconds]]]
    age_ms: Milliseconds = 0
    reads_store: bool = False
    capacity: Amount = 0.0
    configurations: list[tuple[int, Milliseconds]] = []
    quota_stage: int = QuotaStage.NONE.value
    unreachable_services: list[str] = []
    is_cut_off: bool = False
    accepts_forwarded: bool = False
    keeps_stream_software: bool = False
    software_versions: dict[str, list[tuple[str, Milliseconds]]] = {}
    store_era: int = 0
    has_state: bool = False
    knows_software_history: bool = False
    confirms_versions: bool = False

    def without_details(self) -> "RouterRecord":
        """Return the record without what it says about runners, versions and the lease."""
        return msgspec.structs.replace(
            self,
            loads={},
            weights={},
            configurations=[],
            software_versions={},
            lease_revision=0,
            lease_token=0,
            store_era=0,
        )


class RouterHeartbeat(msgspec.Struct, array_like=True, frozen=True):
    """The latest heartbeat of a router and its age, without the record.

    Attributes:
        incarnation_id: see :func:`incarnation_id`; a heartbeat takes 16 bytes with it instead of
            33 with address and incarnation.
        age_ms: as in the record, in milliseconds.
    """

    incarnation_id: int
    heartbeat: Count
    age_ms: Milliseconds


def incarnation_id(address: str, incarnation: int) -> int:
    """Return a 64-bit ID of one incarnation of a router, identical on all routers."""
    return weight(b"%d" % incarnation, address)


class Gossip(msgspec.Struct, array_like=True, tag="gossip"):
    """Records, the sender's first, and heartbeats of routers whose records do not fit."""

    records: list[RouterRecord]
    heartbeats: list[RouterHeartbeat] = []


class RecordsRequest(msgspec.Struct, array_like=True, tag="wanted"):
    """Request for records that ``requester`` is missing, of incarnations known by heartbeat."""

    requester: str
    incarnation_ids: list[int]


class WeightsUpdate(msgspec.Struct, array_like=True, tag="load"):
    """Runners start to load a version of a model's weights, or have loaded it."""

    instances: list[str]
    model: str
    version: int
    is_loaded: bool


class LeaseUpdate(msgspec.Struct, array_like=True, tag="lease"):
    """A router released the order lease, ``idle_ms`` after its last order.

    ``revision`` is of the era that the fencing token contains.
    """

    holder: str
    fencing_token: int
    revision: int
    idle_ms: Milliseconds


class LoadUpdate(msgspec.Struct, array_like=True, tag="reading"):
    """Load on one runner, sent ahead of the router's next record."""

    address: str
    incarnation: Incarnation
    heartbeat: Count
    instance: str
    load: RunnerLoad


class UnresponsiveRunnerUpdate(msgspec.Struct, array_like=True, tag="silence"):
    """A runner is unresponsive to a router that still receives data from other runners."""

    address: str
    instance: str


class ZoneLoads(msgspec.Struct, array_like=True, tag="zone"):
    """Total load that all routers of a zone have placed on runners, by zone and instance.

    Attributes:
        is_forwarded: whether a router of the receiver's own zone forwards another zone's message.
    """

    zones: dict[str, dict[str, RunnerLoad]]
    is_forwarded: bool = False


Message = (
    Gossip
    | RecordsRequest
    | WeightsUpdate
    | LeaseUpdate
    | UnresponsiveRunnerUpdate
    | LoadUpdate
    | ZoneLoads
    | CrashUpdate
    | LimitUpdate
    | BrittleUpdate
    | DrainUpdate
    | QuotaRequest
    | QuotaResponse
    | QuotaUse
    | QuotaAck
    | RecallRequest
    | RecallResponse
    | OriginUpdate
    | OriginQuery
    | OriginResponse
    | RunnerRestart
    | VersionsQuery
    | VersionsResponse
)

decode: Callable[[bytes], Message] = msgspec.msgpack.Decoder(Message).decode
"""Decode a datagram; raises msgspec.MsgspecError, ValueError or RecursionError if it is invalid."""

encode: Callable[[Message], bytes] = msgspec.msgpack.Encoder().encode
"""Encode a message as a datagram."""


def encode_safely(message: Message) -> bytes | None:
    """Return a message as a datagram, or None if it contains what the encoding cannot express.

    Without the details of its sender, gossip still shows that the sender is alive.
    """
    messages = [message]
    if isinstance(message, Gossip) and message.records:
        records = [message.records[0].without_details(), *message.records[1:]]
        messages.append(Gossip(records, message.heartbeats))
    for item in messages:
        try:
            return encode(item)
        except (ValueError, TypeError, OverflowError, RecursionError) as exc:
            record_failure("encode_message", exc)
    return None
