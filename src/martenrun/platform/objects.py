"""The platform's store: its calls, and the objects that operator, runners and routers keep."""

from collections.abc import Mapping
from typing import Any

import msgspec

from martenrun.net.server import ServerLimits
from martenrun.router.messages import (
    Configuration,
    Dataset,
    EngineLimits,
    HttpCall,
    KeptCacheStore,
    LeaseRecord,
    Route,
    RouteKind,
    Runner,
    Service,
    StoreChanges,
    StoredObject,
    StoreEvent,
    StorePage,
    Tenant,
    WantedWeights,
    WeightedService,
)

_KINDS = {
    Dataset.CONFIGURATION: "config",
    Dataset.RUNNERS: "servers",
    Dataset.WEIGHTS: "versions",
    Dataset.LEASES: "router-leases",
}
_ROOT = "/martenrun/objects/"
_JSON = [(b"Content-Type", b"application/json")]
_MS = 1000.0

_DECODE = msgspec.json.Decoder().decode
_ENCODE = msgspec.json.Encoder().encode


def _path(dataset: Dataset, name: str = "") -> str:
    return _ROOT + _KINDS[dataset] + (f"/{name}" if name else "")


def list_objects(dataset: Dataset, after: str | None) -> HttpCall:
    """Return the call for a page of a list."""
    query = f"?after={after}" if after else ""
    return HttpCall(b"GET", (_path(dataset) + query).encode(), [])


def watch_objects(dataset: Dataset, revision: int, wait_s: float) -> HttpCall:
    """Return the call that waits for changes after a revision."""
    query = f"?watch={revision}&wait_ms={int(wait_s * _MS)}"
    return HttpCall(b"GET", (_path(dataset) + query).encode(), [])


def read_object(dataset: Dataset, name: str) -> HttpCall:
    """Return the call that reads one object."""
    return HttpCall(b"GET", _path(dataset, name).encode(), [])


def create_object(dataset: Dataset, name: str, spec: object) -> HttpCall:
    """Return the call that makes an object."""
    body = {"metadata": {"name": name, "finalizers": []}, "spec": spec}
    return HttpCall(b"POST", _path(dataset).encode(), _JSON, _ENCODE(body))


def replace_object(dataset: Dataset, stored: StoredObject, spec: object) -> HttpCall:
    """Return the call that replaces an object if it still has the revision read."""
    metadata = {"name": stored.name, "revision": stored.revision, "finalizers": []}
    body = {"metadata": metadata, "spec": spec}
    return HttpCall(b"PUT", _path(dataset, stored.name).encode(), _JSON, _ENCODE(body))


def read_page(body: bytes) -> StorePage:
    """Read a page of a list."""
    table = _table(_DECODE(body))
    objects = tuple(_stored(item) for item in table["items"])
    has_more = bool(table.get("more")) and bool(objects)
    return StorePage(objects, int(table["at"]), objects[-1].name if has_more else None)


def read_changes(body: bytes) -> StoreChanges:
    """Read the answer of a watch."""
    table = _table(_DECODE(body))
    events = tuple(
        StoreEvent(_stored(event["object"]), bool(event.get("gone"))) for event in table["events"]
    )
    return StoreChanges(events, int(table["at"]))


def read_stored(body: bytes) -> StoredObject:
    """Read one object."""
    return _stored(_DECODE(body))


def _stored(item: Any) -> StoredObject:
    table = _table(item)
    metadata = _table(table["metadata"])
    return StoredObject(str(metadata["name"]), int(metadata["revision"]), table.get("spec"))


def _table(value: Any) -> dict[str, Any]:
    if not isinstance(value, dict):
        raise ValueError(f"expected a table, found {type(value).__name__}")
    return value


def read_configuration(stored: StoredObject) -> Configuration:
    """Translate the operator's configuration."""
    spec = _table(stored.spec)
    services = spec.get("services") or []
    tenants = spec.get("tenants") or []
    return Configuration(
        version=int(spec["version"]),
        routes=tuple(_route(route) for route in spec.get("routes") or []),
        services={item["name"]: _service(item) for item in services if "kv_store_addr" not in item},
        stores=tuple(
            KeptCacheStore(item["kv_store_addr"], item.get("zone", ""))
            for item in services
            if "kv_store_addr" in item
        ),
        limits=_limits(spec.get("limits") or {}),
        tenants_by_key=_tenants_by_key(tenants),
        has_tenants="tenants" in spec,
    )


def _route(route: dict[str, Any]) -> Route:
    split = route.get("traffic_split") or [{"service": route["service"], "weight": 1}]
    return Route(
        name=str(route.get("name", "")),
        host=str(route["hostname"]).lower(),
        path_prefix=str(route["path_prefix"]),
        kind=RouteKind(route["kind"]),
        timeout_s=float(route["timeout_ms"]) / _MS,
        objective_s=float(route.get("target_latency_ms", 1000)) / _MS,
        priority=int(route.get("priority", 0)),
        split=tuple(WeightedService(part["service"], float(part["weight"])) for part in split),
        maximum_attempts=int(route.get("max_attempts", 1)),
        is_open=bool(route.get("no_auth", False)),
        is_resumable=bool(route.get("resumable", False)),
    )


def _service(item: dict[str, Any]) -> Service:
    engine = item.get("engine")
    return Service(
        name=str(item["name"]),
        maximum_connections=int(item.get("max_connections", 100)),
        engine=None if engine is None else _engine(engine),
    )


def _engine(engine: dict[str, Any]) -> EngineLimits:
    return EngineLimits(
        slots=int(engine.get("slots", 1)),
        cache_tokens=int(engine.get("kv_capacity_tokens", 0)),
        models=tuple(model["name"] for model in engine.get("models") or []),
    )


def _limits(limits: dict[str, Any]) -> ServerLimits:
    default = ServerLimits()
    return ServerLimits(
        maximum_header_bytes=int(limits.get("max_header_bytes", default.maximum_header_bytes)),
        maximum_body_bytes=int(limits.get("max_body_bytes", default.maximum_body_bytes)),
        header_timeout_s=float(limits.get("header_timeout_ms", 3000)) / _MS,
        idle_timeout_s=float(limits.get("idle_timeout_ms", 15000)) / _MS,
    )


def _tenants_by_key(tenants: list[dict[str, Any]]) -> Mapping[bytes, Tenant]:
    by_key = {}
    for item in tenants:
        priority = item.get("priority")
        tenant = Tenant(
            str(item["name"]),
            None if priority is None else int(priority),
            bool(item.get("isolated", False)),
        )
        by_key.update({key.encode(): tenant for key in item.get("api_keys") or []})
    return by_key


def read_runner(stored: StoredObject) -> Runner:
    """Translate a runner's entry."""
    spec = _table(stored.spec)
    return Runner(
        instance=stored.name,
        service=str(spec["service"]),
        address=str(spec["address"]),
        zone=str(spec.get("zone", "")),
        slots=int(spec.get("slots", 1)),
        is_draining=spec.get("state", "ready") != "ready",
        weights=_weights(spec),
    )


def _weights(table: dict[str, Any]) -> Mapping[str, int]:
    return {model["name"]: int(model["version"]) for model in table.get("models") or []}


def read_weights(stored: StoredObject) -> WantedWeights:
    """Translate a named version of a model's weights."""
    spec = _table(stored.spec)
    return WantedWeights(str(spec.get("model", stored.name)), int(spec["version"]))


def read_lease(stored: StoredObject) -> LeaseRecord:
    """Translate a lease object of the routers' own."""
    spec = _table(stored.spec)
    idle_ms = spec.get("released_idle_ms")
    return LeaseRecord(
        holder=str(spec["holder"]),
        fencing_token=int(spec["fence_token"]),
        renewals=int(spec.get("renewals", 0)),
        pause_s=float(spec.get("pause_ms", 0)) / _MS,
        released_idle_s=None if idle_ms is None else float(idle_ms) / _MS,
        ages_ms={
            str(model): [(int(version), int(age_ms)) for version, age_ms in ages]
            for model, ages in _table(spec.get("ages_ms", {})).items()
        },
    )


def lease_spec(lease: LeaseRecord) -> object:
    """Return the content of a lease object."""
    idle_s = lease.released_idle_s
    return {
        "holder": lease.holder,
        "fence_token": lease.fencing_token,
        "renewals": lease.renewals,
        "pause_ms": round(lease.pause_s * _MS),
        "released_idle_ms": None if idle_s is None else round(idle_s * _MS),
        "ages_ms": lease.ages_ms,
    }
