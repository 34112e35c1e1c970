"""Converts the specs of the objects that routers write for each other, in both directions."""

from collections.abc import Mapping, Sequence
from typing import Annotated

import msgspec

from martenrun.platform.fields import (
    MS_PER_S,
    Amount,
    Count,
    FencingToken,
    Integer,
    NonEmptyText,
    Text,
    convert_spec,
)
from martenrun.router.crashes.messages import CrashRecord
from martenrun.router.messages import LeaseRecord, StoredObject


class _Lease(msgspec.Struct):
    holder: Text
    fence_token: FencingToken
    renewals: Count = 0
    pause_ms: Amount = 0.0
    released_idle_ms: Amount | None = None
    ages_ms: dict[str, list[tuple[Integer, Integer]]] = {}
    ordered_ms: dict[str, Count] | None = None


class _CrashedInstance(msgspec.Struct):
    start: NonEmptyText
    age_ms: Count


class _CrashRecord(msgspec.Struct):
    fingerprint: Annotated[str, msgspec.Meta(pattern=r"^([0-9a-f]{2}){1,128}\Z")]
    ended: list[_CrashedInstance]
    whole_ms: Count | None = None
    beside: list[Annotated[str, msgspec.Meta(pattern=r"^([0-9a-f]{2}){1,128}\Z")]] = []


class _CrashRecords(msgspec.Struct):
    requests: list[_CrashRecord] = []


class _PeerAddresses(msgspec.Struct):
    addresses: list[NonEmptyText] = []


class _SoftwareVersions(msgspec.Struct):
    services: dict[str, list[Text]]


def read_lease(stored: StoredObject) -> LeaseRecord:
    """Convert a lease object, which routers write themselves; raises UnreadableError."""
    spec = convert_spec(stored.spec, _Lease, "lease")
    idle_ms = spec.released_idle_ms
    return LeaseRecord(
        holder=spec.holder,
        fencing_token=spec.fence_token,
        renewals=spec.renewals,
        pause_s=spec.pause_ms / MS_PER_S,
        released_idle_s=None if idle_ms is None else idle_ms / MS_PER_S,
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
        "pause_ms": round(lease.pause_s * MS_PER_S),
        "released_idle_ms": None if idle_s is None else round(idle_s * MS_PER_S),
        "ages_ms": lease.ages_ms,
        "ordered_ms": None if lease.ordered_ms is None else dict(lease.ordered_ms),
    }


def read_crash_records(stored: StoredObject) -> list[CrashRecord]:
    """Convert the routers' records of crash-causing requests; raises UnreadableError."""
    spec = convert_spec(stored.spec, _CrashRecords, "crash records")
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
    return convert_spec(stored.spec, _PeerAddresses, "peer addresses").addresses


def peer_addresses_spec(addresses: Sequence[str]) -> object:
    """Return the spec of the object that holds peer addresses."""
    return {"addresses": list(addresses)}


def read_software_versions(stored: StoredObject) -> dict[str, tuple[str, ...]]:
    """Convert the stored software versions of each service; raises UnreadableError."""
    spec = convert_spec(stored.spec, _SoftwareVersions, "software versions")
    return {service: tuple(names) for service, names in spec.services.items()}


def software_versions_spec(versions: Mapping[str, Sequence[str]]) -> object:
    """Return the spec of the object that holds software versions."""
    return {"services": {service: list(names) for service, names in versions.items()}}
