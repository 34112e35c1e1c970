"""Converts the platform's settings file to the router's settings."""

import math
import os
import tomllib
from typing import Any

from martenrun.errors import SettingsError
from martenrun.net.held_memory import DEFAULT_MACHINE_BYTES
from martenrun.router.quotas.limit import QuotaBounds
from martenrun.router.settings import Bounds, RouterSettings

SETTINGS_VARIABLE = "MARTENRUN_SETTINGS"
"""Environment variable that holds the path of the settings file."""

_MS_PER_S = 1000.0
_BYTES_PER_MBIT = 125_000.0
_BYTES_PER_MB = 1_000_000.0

_NUMBER = (int, float)

_REQUIRED: dict[str, type | tuple[type, ...]] = {
    "node_name": str,
    "zone": str,
    "ip": str,
    "internal_ports": list,
    "seeds": list,
    "listen_addrs.front": str,
    "listen_addrs.ready": str,
    "listen_addrs.directory": str,
    "limits.max_fds": int,
    "platform.address": str,
    "bounds.drain_ms": _NUMBER,
    "bounds.grace_s": _NUMBER,
    "bounds.config_apply_ms": _NUMBER,
    "bounds.budget_ratio": _NUMBER,
    "bounds.budget_window_s": _NUMBER,
    "bounds.budget_slack": _NUMBER,
}
"""Required fields and their types."""

_OPTIONAL: dict[str, type | tuple[type, ...]] = {
    "bootstrap": bool,
    "limits.link_mbps": _NUMBER,
    "limits.memory_mb": _NUMBER,
    "limits.cpu_share": _NUMBER,
    "limits.cores": int,
    "bounds.revoke_ms": _NUMBER,
    "bounds.lease_ms": _NUMBER,
    "bounds.version_ms": _NUMBER,
    "bounds.ttl_max_s": _NUMBER,
    "bounds.quota_window_s": _NUMBER,
    "bounds.quota_over": _NUMBER,
    "bounds.quota_slack": _NUMBER,
}
"""Optional fields and their types."""


def settings_mtime_ns() -> int:
    """Return the settings file's modification time in nanoseconds, or 0 if there is no file."""
    try:
        return os.stat(os.environ.get(SETTINGS_VARIABLE, "")).st_mtime_ns
    except OSError:
        return 0


def load_settings(path: str | None = None) -> RouterSettings:
    """Read the settings file; raises SettingsError that names each invalid field."""
    path = path or os.environ.get(SETTINGS_VARIABLE)
    if not path:
        raise SettingsError(
            "no settings file is given", remedy=f"Set {SETTINGS_VARIABLE} to its path."
        )
    try:
        with open(path, "rb") as file:
            return read_settings(tomllib.load(file))
    except (OSError, tomllib.TOMLDecodeError) as exc:
        raise SettingsError(
            f"the settings file cannot be read: {exc}",
            remedy=f"Correct the file that {SETTINGS_VARIABLE} points to.",
        ) from exc


def read_settings(table: dict[str, Any]) -> RouterSettings:
    """Convert the settings; raises SettingsError that lists every invalid field."""
    errors = settings_errors(table)
    if errors:
        raise SettingsError("; ".join(errors), remedy="Correct these fields in the settings file.")
    return _router_settings(table)


def is_router_settings_file(path: str) -> bool:
    """Return whether a file holds the settings that the platform provides for a router."""
    try:
        with open(path, "rb") as file:
            return "listen_addrs" in tomllib.load(file)
    except (OSError, tomllib.TOMLDecodeError):
        return False


def settings_errors(table: dict[str, Any]) -> list[str]:
    """Return a line for each field that is missing, empty or has the wrong type."""
    errors = []
    for path, expected in (_REQUIRED | _OPTIONAL).items():
        value = _field(table, path)
        if value is None:
            if path in _REQUIRED:
                errors.append(f"field {path!r} is missing")
        elif isinstance(value, bool) != (expected is bool) or not isinstance(value, expected):
            errors.append(f"field {path!r} has the wrong type: {type(value).__name__}")
        elif value == [] and path != "seeds":
            errors.append(f"field {path!r} is empty")
    return errors


def _field(table: dict[str, Any], path: str) -> Any:
    """Return the value at a dotted path, or None if there is none."""
    value: Any = table
    for name in path.split("."):
        value = value.get(name) if isinstance(value, dict) else None
    return value


def _router_settings(table: dict[str, Any]) -> RouterSettings:
    addresses = table["listen_addrs"]
    internal_port = int(table["internal_ports"][0])
    return RouterSettings(
        name=str(table["node_name"]),
        zone=str(table["zone"]),
        front_address=str(addresses["front"]),
        ready_address=str(addresses["ready"]),
        directory_address=str(addresses["directory"]),
        internal_address=f"{table['ip']}:{internal_port}",
        seeds=tuple(f"{seed.rpartition(':')[0]}:{internal_port}" for seed in table["seeds"]),
        store_address=str(table["platform"]["address"]),
        bounds=_bounds(table["bounds"]),
        maximum_descriptors=int(table["limits"]["max_fds"]),
        link_bytes_per_s=float(table["limits"].get("link_mbps") or math.inf) * _BYTES_PER_MBIT,
        capacity=float(table["limits"].get("cpu_share", 1.0)) * table["limits"].get("cores", 1),
        is_first_start=table.get("bootstrap", False),
        memory_bytes=_memory_bytes(table["limits"]),
    )


def _memory_bytes(limits: dict[str, Any]) -> float:
    stated_mb = limits.get("memory_mb")
    return DEFAULT_MACHINE_BYTES if not stated_mb else float(stated_mb) * _BYTES_PER_MB


def _bounds(bounds: dict[str, Any]) -> Bounds:
    return Bounds(
        drain_s=float(bounds["drain_ms"]) / _MS_PER_S,
        grace_s=float(bounds["grace_s"]),
        configuration_s=float(bounds["config_apply_ms"]) / _MS_PER_S,
        revoke_s=float(bounds.get("revoke_ms", 5000)) / _MS_PER_S,
        is_revocation_strict=bool(bounds.get("revoke_strict", False)),
        budget_ratio=float(bounds["budget_ratio"]),
        budget_window_s=float(bounds["budget_window_s"]),
        budget_slack=float(bounds["budget_slack"]),
        lease_s=float(bounds.get("lease_ms", 3000)) / _MS_PER_S,
        weights_s=float(bounds.get("version_ms", 8000)) / _MS_PER_S,
        directory_ttl_s=float(bounds.get("ttl_max_s", 5)),
        quota=QuotaBounds(
            window_s=float(bounds.get("quota_window_s", QuotaBounds().window_s)),
            over_share=float(bounds.get("quota_over", 0)),
            slack_units=float(bounds.get("quota_slack", 0)),
        ),
    )
