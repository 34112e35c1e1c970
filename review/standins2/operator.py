"""The operator's objects of a small deployment, and requests of its clients."""

from typing import Any

from standins2.store import Store

HOST = "jepu9.example"
MODEL = "daka510000"
LLM = "huvo11a"
APP = "kafi81c"
KEY = "ctnfzs989anu6wsjnban"
OTHER_KEY = "fqasnmgkcuyj8pjbvk9m"


def _route(name: str, path: str, kind: str, service: str, **more: Any) -> dict[str, Any]:
    return {
        "name": name,
        "hostname": HOST,
        "path_prefix": path,
        "kind": kind,
        "timeout_ms": 12_000,
        "target_latency_ms": 600,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
        "no_auth": False,
        "sticky": kind == "stream",
        "resumable": False,
        "gap_target_ms": 500,
        **more,
    }


def configuration(version: int, isolated: bool = False) -> dict[str, Any]:
    """Return a configuration of a model service and a plain one, with two tenants."""
    engine = {
        "slots": 64,
        "kv_capacity_tokens": 99_487,
        "kv_token_bytes": 18_432,
        "link_mbps": 550_000.0,
        "backups": True,
        "stride": 4,
        "max_inflight": 12,
        "pin_ms": 4_000.0,
        "hold_ms": 2_000.0,
        "handle_s": 5.0,
        "models": [{"name": MODEL}],
    }
    plain = {"max_connections": 110, "protocol": "h1", "tls": False, "health_path": "/healthz"}
    return {
        "version": version,
        "routes": [
            _route("r-draft", "/draft/", "stream", LLM),
            _route("r-review", "/review/", "stream", LLM, resumable=True),
            _route("r-packet", "/packet/", "unsafe", APP),
            _route("r-register", "/register/", "safe", APP),
        ],
        "services": [
            {"name": LLM, **plain, "max_connections": 370, "engine": engine},
            {"name": APP, **plain},
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3_000,
            "idle_timeout_ms": 15_000,
        },
        "tenants": [
            {"name": "sese880", "api_keys": [KEY], "priority": 1, "isolated": isolated},
            {"name": "mabo412", "api_keys": [OTHER_KEY], "priority": 1, "isolated": False},
        ],
    }


async def name_weights(store: Store, version: int) -> None:
    """Name new weights of the model."""
    await store.put("versions", MODEL, {"model": MODEL, "version": version})


def stream_headers(
    request_id: str, key: str = KEY, parts: str = "5c1e07a2:800,e4402b7d:250"
) -> dict[str, str]:
    """Return the header fields of a client's request for a stream."""
    return {
        "Host": HOST,
        "X-Request-Id": request_id,
        "X-Model-Id": MODEL,
        "X-Token-Usage": "1050,200",
        "X-Prefix-Hash": parts,
        "X-Deadline-Ms": "12000",
        "X-Key": key,
    }
