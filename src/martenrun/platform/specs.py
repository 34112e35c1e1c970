"""Converts the specs of the platform's objects to the router's types.

Decoding is strict: a field that is missing, has the wrong type or is out of bounds makes the whole
object unreadable, and nothing that it defines is used.
"""

import hashlib
from collections.abc import Mapping
from typing import Literal

import msgspec

from martenrun.net.server import ServerLimits
from martenrun.platform.fields import (
    DECODE_ERRORS,
    MS_PER_S,
    Address,
    Amount,
    Count,
    Integer,
    LocationText,
    NonEmptyText,
    Positive,
    Text,
    Version,
    convert_spec,
)
from martenrun.router.messages import (
    Configuration,
    EngineLimits,
    KvCacheStore,
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


class _ModelWeights(msgspec.Struct):
    name: NonEmptyText
    version: Count


class _RunnerEntry(msgspec.Struct):
    service: NonEmptyText
    address: Address
    zone: NonEmptyText
    version: str
    slots: Positive
    state: Literal["ready", "draining"]
    cold_left_ms: Amount
    call_seq: Count
    born: Count | None = None
    models: list[_ModelWeights] = []


class _RunnerReport(msgspec.Struct):
    busy: bool
    call_seq: Count
    active: Count = 0
    born: Count | None = None
    models: list[_ModelWeights] = []


class _TargetWeights(msgspec.Struct):
    model: NonEmptyText
    version: Version


class _WeightedService(msgspec.Struct):
    service: NonEmptyText
    weight: Amount


class _Route(msgspec.Struct):
    hostname: LocationText
    path_prefix: LocationText
    kind: RouteKind
    timeout_ms: Amount
    name: Text = ""
    service: Text | None = None
    traffic_split: list[_WeightedService] | None = None
    target_latency_ms: Amount = 1000.0
    priority: Integer = 0
    max_attempts: Count = 1
    no_auth: bool = False
    resumable: bool = False


class _Model(msgspec.Struct):
    name: NonEmptyText


class _Engine(msgspec.Struct):
    slots: Count = 1
    kv_capacity_tokens: Count = 0
    models: list[_Model] = []


class _Service(msgspec.Struct):
    name: NonEmptyText
    max_connections: Count = 100
    engine: _Engine | None = None
    kv_store_addr: Address | None = None
    zone: Text = ""


class _Limits(msgspec.Struct):
    max_header_bytes: Count = ServerLimits().maximum_header_bytes
    max_body_bytes: Count = ServerLimits().maximum_body_bytes
    header_timeout_ms: Amount = 3000.0
    idle_timeout_ms: Amount = 15000.0


class _Tenant(msgspec.Struct):
    name: NonEmptyText
    api_keys: list[Text] = []
    priority: Integer | None = None
    isolated: bool = False
    rate_per_s: Amount = 0.0
    burst: Amount = 0.0
    unit: Literal["token_count"] | None = None
    plain_tokens: Count = 1


class _Configuration(msgspec.Struct):
    version: Version
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits = msgspec.field(default_factory=_Limits)
    tenants: list[_Tenant] | None = None


def read_configuration(stored: StoredObject) -> Configuration:
    """Convert the operator's configuration; raises UnreadableError."""
    spec = convert_spec(stored.spec, _Configuration, "configuration")
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
            header_timeout_s=spec.limits.header_timeout_ms / MS_PER_S,
            idle_timeout_s=spec.limits.idle_timeout_ms / MS_PER_S,
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
        timeout_s=route.timeout_ms / MS_PER_S,
        objective_s=route.target_latency_ms / MS_PER_S,
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
    entry = convert_spec(stored.spec, _RunnerEntry, "runner entry")
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
    version: Version


def read_version(stored: StoredObject) -> int | None:
    """Return the version of a configuration or of target weights; None if it is invalid."""
    try:
        return convert_spec(stored.spec, _Versioned, "version").version
    except UnreadableError:
        return None


def read_weights(stored: StoredObject) -> TargetWeights:
    """Convert the target version of a model's weights; raises UnreadableError."""
    spec = convert_spec(stored.spec, _TargetWeights, "target weights")
    return TargetWeights(spec.model, spec.version)
