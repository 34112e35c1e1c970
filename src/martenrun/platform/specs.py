"""Converts the specs of the platform's objects to the router's types.

Decoding is strict: a field that is missing, has the wrong type or is out of bounds makes the whole
object unreadable, and nothing that it defines is used.
"""

import hashlib
from collections.abc import Mapping, Sequence
from typing import Annotated, Any, Literal, TypeVar

import msgspec

from martenrun.net.server import ServerLimits
from martenrun.platform.objects import DECODE_ERRORS
from martenrun.router.crashes.messages import CrashRecord
from martenrun.router.messages import (
    Configuration,
    EngineLimits,
    KvCacheStore,
    LeaseRecord,
    Route,
    RouteKind,
    Runner,
    RunnerReport,
    Service,
    StoredObject,
    TargetWeights,
    Tenant,
    UnreadableError,
    WeightedService,
)
from martenrun.router.quotas.limit import RateLimit
from martenrun.router.runner_instance import instance_key

_MS_PER_S = 1000.0

_NonEmptyText = Annotated[str, msgspec.Meta(min_length=1)]
_Address = Annotated[str, msgspec.Meta(pattern=r"^\d{1,3}(\.\d{1,3}){3}:\d{1,5}$")]
_Count = Annotated[int, msgspec.Meta(ge=0)]
_Positive = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
_Version = Annotated[int, msgspec.Meta(ge=1)]
_Amount = Annotated[float, msgspec.Meta(ge=0)]
_Units = Annotated[float, msgspec.Meta(ge=0, le=1e15)]


class _ModelWeights(msgspec.Struct):
    name: _NonEmptyText
    version: _Count


class _RunnerEntry(msgspec.Struct):
    service: _NonEmptyText
    address: _Address
    zone: _NonEmptyText
    version: str
    slots: _Positive
    state: Literal["ready", "draining"]
    cold_left_ms: _Amount
    call_seq: _Count
    born: _Count | None = None
    models: list[_ModelWeights] = []


class _RunnerReport(msgspec.Struct):
    busy: bool
    call_seq: _Count
    active: _Count = 0
    born: _Count | None = None
    models: list[_ModelWeights] = []


class _TargetWeights(msgspec.Struct):
    model: _NonEmptyText
    version: _Version


class _WeightedService(msgspec.Struct):
    service: _NonEmptyText
    weight: _Amount


class _Route(msgspec.Struct):
    hostname: _NonEmptyText
    path_prefix: _NonEmptyText
    kind: RouteKind
    timeout_ms: _Amount
    name: str = ""
    service: str | None = None
    traffic_split: list[_WeightedService] | None = None
    target_latency_ms: _Amount = 1000.0
    priority: int = 0
    max_attempts: _Count = 1
    no_auth: bool = False
    resumable: bool = False


class _Model(msgspec.Struct):
    name: _NonEmptyText


class _Engine(msgspec.Struct):
    slots: _Count = 1
    kv_capacity_tokens: _Count = 0
    models: list[_Model] = []


class _Service(msgspec.Struct):
    name: _NonEmptyText
    max_connections: _Count = 100
    engine: _Engine | None = None
    kv_store_addr: _Address | None = None
    zone: str = ""


class _Limits(msgspec.Struct):
    max_header_bytes: _Count = ServerLimits().maximum_header_bytes
    max_body_bytes: _Count = ServerLimits().maximum_body_bytes
    header_timeout_ms: _Amount = 3000.0
    idle_timeout_ms: _Amount = 15000.0


class _Tenant(msgspec.Struct):
    name: _NonEmptyText
    api_keys: list[str] = []
    priority: int | None = None
    isolated: bool = False
    rate_per_s: _Units = 0.0
    burst: _Units = 0.0
    unit: Literal["token_count"] | None = None
    plain_tokens: _Count = 1


class _Configuration(msgspec.Struct):
    version: _Version
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


class _Lease(msgspec.Struct):
    holder: str
    fence_token: _Count
    renewals: _Count = 0
    pause_ms: _Amount = 0.0
    released_idle_ms: _Amount | None = None
    ages_ms: dict[str, list[tuple[int, int]]] = {}
    ordered_ms: dict[str, _Count] | None = None


class _CrashedInstance(msgspec.Struct):
    start: _NonEmptyText
    age_ms: _Count


class _CrashRecord(msgspec.Struct):
    fingerprint: Annotated[str, msgspec.Meta(pattern="^([0-9a-f]{2})+$")]
    ended: list[_CrashedInstance]
    whole_ms: _Count | None = None
    beside: list[Annotated[str, msgspec.Meta(pattern="^([0-9a-f]{2})+$")]] = []


class _CrashRecords(msgspec.Struct):
    requests: list[_CrashRecord] = []


class _PeerAddresses(msgspec.Struct):
    addresses: list[_NonEmptyText] = []


class _SoftwareVersions(msgspec.Struct):
    services: dict[str, list[str]]


Spec = TypeVar("Spec")


def _convert(spec: Any, schema: type[Spec], subject: str) -> Spec:
    """Validate a spec against its schema; raises UnreadableError that names the field."""
    try:
        return msgspec.convert(spec, schema)
    except DECODE_ERRORS as exc:
        raise UnreadableError(f"invalid {subject}: {exc}") from exc


def read_configuration(stored: StoredObject) -> Configuration:
    """Convert the operator's configuration; raises UnreadableError."""
    spec = _convert(stored.spec, _Configuration, "configuration")
    return Configuration(
        version=spec.version,
        routes=tuple(_route(route) for route in spec.routes),
        services={
            item.name: Service(item.name, item.max_connections, _engine(item.engine))
            for item in spec.services
            if item.kv_store_addr is None
        },
        stores=tuple(
            KvCacheStore(item.kv_store_addr, item.zone)
            for item in spec.services
            if item.kv_store_addr is not None
        ),
        limits=ServerLimits(
            maximum_header_bytes=spec.limits.max_header_bytes,
            maximum_body_bytes=spec.limits.max_body_bytes,
            header_timeout_s=spec.limits.header_timeout_ms / _MS_PER_S,
            idle_timeout_s=spec.limits.idle_timeout_ms / _MS_PER_S,
        ),
        tenants_by_key=_tenants_by_key(spec.tenants or []),
        has_tenants=spec.tenants is not None,
    )


def _route(route: _Route) -> Route:
    split = tuple(WeightedService(part.service, part.weight) for part in route.traffic_split or [])
    if not split and route.service:
        split = (WeightedService(route.service, 1.0),)
    if not split:
        raise UnreadableError(f"route {route.name!r} names no service")
    return Route(
        name=route.name,
        host=route.hostname.lower(),
        path_prefix=route.path_prefix,
        kind=route.kind,
        timeout_s=route.timeout_ms / _MS_PER_S,
        objective_s=route.target_latency_ms / _MS_PER_S,
        priority=route.priority,
        split=split,
        maximum_attempts=route.max_attempts,
        is_open=route.no_auth,
        is_resumable=route.resumable,
    )


def _engine(engine: _Engine | None) -> EngineLimits | None:
    if engine is None:
        return None
    models = tuple(model.name for model in engine.models)
    return EngineLimits(engine.slots, engine.kv_capacity_tokens, models)


def _tenants_by_key(tenants: list[_Tenant]) -> Mapping[bytes, Tenant]:
    by_key = {}
    for item in tenants:
        tenant = Tenant(item.name, item.priority, item.isolated, _rate_limit(item))
        by_key.update({key.encode(): tenant for key in item.api_keys})
    return by_key


def _rate_limit(tenant: _Tenant) -> RateLimit | None:
    """Return a tenant's rate limit, or None if its rate is 0 or not set."""
    if tenant.rate_per_s == 0:
        return None
    return RateLimit(
        units_per_s=tenant.rate_per_s,
        burst_units=tenant.burst,
        counts_tokens=tenant.unit is not None,
        plain_tokens=tenant.plain_tokens,
    )


def read_runner(stored: StoredObject) -> Runner:
    """Convert a runner's entry; raises UnreadableError."""
    entry = _convert(stored.spec, _RunnerEntry, "runner entry")
    return Runner(
        instance=instance_key(stored.name, entry.born),
        service=entry.service,
        address=entry.address,
        zone=entry.zone,
        slots=entry.slots,
        is_draining=entry.state != "ready",
        weights=_weights(entry.models),
        name=stored.name,
        started_at_ms=entry.born,
        software=_software(entry.version),
    )


MAXIMUM_SOFTWARE_CHARACTERS = 64
"""Length above which a software version is replaced by its digest."""


def _software(version: str) -> str:
    if len(version) <= MAXIMUM_SOFTWARE_CHARACTERS:
        return version
    return "sha256:" + hashlib.sha256(version.encode()).hexdigest()[:32]


def read_report(body: bytes) -> RunnerReport:
    """Convert a runner's report; raises UnreadableError."""
    try:
        report = msgspec.json.decode(body, type=_RunnerReport)
    except DECODE_ERRORS as exc:
        raise UnreadableError(f"invalid runner report: {exc}") from exc
    return RunnerReport(
        weights=_weights(report.models),
        is_loading=report.busy,
        orders_taken=report.call_seq,
        active=report.active,
        started_at_ms=report.born,
    )


def _weights(models: list[_ModelWeights]) -> Mapping[str, int]:
    return {model.name: model.version for model in models}


class _Versioned(msgspec.Struct):
    version: _Version


def read_version(stored: StoredObject) -> int | None:
    """Return the version of a configuration or of target weights; None if it is invalid."""
    try:
        return _convert(stored.spec, _Versioned, "version").version
    except UnreadableError:
        return None


def read_weights(stored: StoredObject) -> TargetWeights:
    """Convert the target version of a model's weights; raises UnreadableError."""
    spec = _convert(stored.spec, _TargetWeights, "target weights")
    return TargetWeights(spec.model, spec.version)


def read_lease(stored: StoredObject) -> LeaseRecord:
    """Convert a lease object, which routers write themselves; raises UnreadableError."""
    spec = _convert(stored.spec, _Lease, "lease")
    idle_ms = spec.released_idle_ms
    return LeaseRecord(
        holder=spec.holder,
        fencing_token=spec.fence_token,
        renewals=spec.renewals,
        pause_s=spec.pause_ms / _MS_PER_S,
        released_idle_s=None if idle_ms is None else idle_ms / _MS_PER_S,
        ages_ms=spec.ages_ms,
        ordered_ms=spec.ordered_ms,
    )


def lease_spec(lease: LeaseRecord) -> object:
    """Return the spec of a lease object."""
    idle_s = lease.released_idle_s
    return {
        "holder": lease.holder,
        "fence_token": lease.fencing_token,
        "renewals": lease.renewals,
        "pause_ms": round(lease.pause_s * _MS_PER_S),
        "released_idle_ms": None if idle_s is None else round(idle_s * _MS_PER_S),
        "ages_ms": lease.ages_ms,
        "ordered_ms": None if lease.ordered_ms is None else dict(lease.ordered_ms),
    }


def read_crash_records(stored: StoredObject) -> list[CrashRecord]:
    """Convert the routers' records of crash-causing requests; raises UnreadableError."""
    spec = _convert(stored.spec, _CrashRecords, "crash records")
    return [
        CrashRecord(
            bytes.fromhex(item.fingerprint),
            [(each.start, each.age_ms) for each in item.ended],
            item.whole_ms,
            [bytes.fromhex(other) for other in item.beside],
        )
        for item in spec.requests
    ]


def crash_records_spec(records: list[CrashRecord]) -> object:
    """Return the spec of the object that holds crash records."""
    requests = [
        {
            "fingerprint": record.fingerprint.hex(),
            "ended": [{"start": start, "age_ms": age_ms} for start, age_ms in record.crashes],
            "whole_ms": record.completed_ms,
            "beside": [other.hex() for other in record.companions],
        }
        for record in records
    ]
    return {"requests": requests}


def read_peer_addresses(stored: StoredObject) -> list[str]:
    """Convert the stored addresses of some running routers; raises UnreadableError."""
    return _convert(stored.spec, _PeerAddresses, "peer addresses").addresses


def peer_addresses_spec(addresses: Sequence[str]) -> object:
    """Return the spec of the object that holds peer addresses."""
    return {"addresses": list(addresses)}


def read_software_versions(stored: StoredObject) -> dict[str, tuple[str, ...]]:
    """Convert the stored software versions of each service; raises UnreadableError."""
    spec = _convert(stored.spec, _SoftwareVersions, "software versions")
    return {service: tuple(names) for service, names in spec.services.items()}


def software_versions_spec(versions: Mapping[str, Sequence[str]]) -> object:
    """Return the spec of the object that holds software versions."""
    return {"services": {service: list(names) for service, names in versions.items()}}
