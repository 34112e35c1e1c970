"""Ranges of the fields of all objects and reports: a value out of range is refused with its object.

Values at the bounds are accepted, and what was accepted can be passed on.
"""

import json

import msgspec
import pytest

from martenrun.platform import PLATFORM_ADAPTER
from martenrun.router.messages import StoredObject, UnreadableError

from .test_broken_entries import GOOD

LARGEST = 2**63 - 1
TOO_LARGE = [2**63, 2**64, 10**30]
LONG_TEXT = "x" * 100_000

REPORT = {"busy": False, "call_seq": 1, "active": 2, "born": 3, "models": []}
ROUTE = {
    "name": "r",
    "hostname": "h",
    "path_prefix": "/a/",
    "kind": "safe",
    "timeout_ms": 1000,
    "service": "s",
    "priority": 1,
    "max_attempts": 2,
}
SERVICE = {"name": "s", "max_connections": 3, "engine": {"slots": 1, "kv_capacity_tokens": 2}}
TENANT = {"name": "t", "api_keys": ["k"], "rate_per_s": 1, "burst": 1, "plain_tokens": 1}
CONFIGURATION = {
    "version": 1,
    "routes": [ROUTE],
    "services": [SERVICE, {"name": "kept", "kv_store_addr": "10.0.0.1:80", "zone": "z"}],
    "limits": {"max_header_bytes": 1, "header_timeout_ms": 1},
    "tenants": [TENANT],
}
LEASE = {"holder": "h", "fence_token": 1, "renewals": 1, "ages_ms": {"m": [[1, 2]]}}
CRASHES = {"requests": [{"fingerprint": "ab", "ended": [{"start": "i", "age_ms": 1}]}]}
CONTACTS = {"addresses": ["10.0.0.1:8784"]}
SOFTWARE = {"services": {"s": ["v1"]}}


def read_report(spec):
    return PLATFORM_ADAPTER.read_report(json.dumps(spec).encode())


def reader(read):
    return lambda spec: read(StoredObject("a", 1, spec))


RUNNER, REPORTED, CONFIGURED, WEIGHTS, LEASED, CRASHED, CONTACTED, VERSIONS = (
    (reader(PLATFORM_ADAPTER.read_runner), GOOD),
    (read_report, REPORT),
    (reader(PLATFORM_ADAPTER.read_configuration), CONFIGURATION),
    (reader(PLATFORM_ADAPTER.read_weights), {"model": "m", "version": 1}),
    (reader(PLATFORM_ADAPTER.read_lease), LEASE),
    (reader(PLATFORM_ADAPTER.read_crash_records), CRASHES),
    (reader(PLATFORM_ADAPTER.read_peer_addresses), CONTACTS),
    (reader(PLATFORM_ADAPTER.read_software_versions), SOFTWARE),
)

INTEGERS = [
    (RUNNER, ("call_seq",)),
    (RUNNER, ("born",)),
    (RUNNER, ("models", 0, "version")),
    (REPORTED, ("call_seq",)),
    (REPORTED, ("active",)),
    (REPORTED, ("born",)),
    (CONFIGURED, ("version",)),
    (CONFIGURED, ("routes", 0, "priority")),
    (CONFIGURED, ("routes", 0, "max_attempts")),
    (CONFIGURED, ("services", 0, "max_connections")),
    (CONFIGURED, ("services", 0, "engine", "kv_capacity_tokens")),
    (CONFIGURED, ("limits", "max_header_bytes")),
    (CONFIGURED, ("tenants", 0, "plain_tokens")),
    (CONFIGURED, ("tenants", 0, "priority")),
    (WEIGHTS, ("version",)),
    (LEASED, ("renewals",)),
    (LEASED, ("ages_ms", "m", 0, 0)),
    (LEASED, ("ages_ms", "m", 0, 1)),
    (CRASHED, ("requests", 0, "ended", 0, "age_ms")),
    (CRASHED, ("requests", 0, "whole_ms")),
]
AMOUNTS = [
    (RUNNER, ("cold_left_ms",)),
    (CONFIGURED, ("routes", 0, "timeout_ms")),
    (CONFIGURED, ("routes", 0, "target_latency_ms")),
    (CONFIGURED, ("limits", "header_timeout_ms")),
    (CONFIGURED, ("tenants", 0, "rate_per_s")),
    (LEASED, ("pause_ms",)),
    (LEASED, ("released_idle_ms",)),
]
TEXTS = [
    (RUNNER, ("service",)),
    (RUNNER, ("zone",)),
    (RUNNER, ("models", 0, "name")),
    (CONFIGURED, ("routes", 0, "hostname")),
    (CONFIGURED, ("routes", 0, "service")),
    (CONFIGURED, ("tenants", 0, "api_keys", 0)),
    (WEIGHTS, ("model",)),
    (LEASED, ("holder",)),
    (CRASHED, ("requests", 0, "fingerprint")),
    (CONTACTED, ("addresses", 0)),
    (VERSIONS, ("services", "s", 0)),
]
ADDRESSES = [(RUNNER, ("address",)), (CONFIGURED, ("services", 1, "kv_store_addr"))]

INVALID_ADDRESSES = [
    "10.0.0.1:0",
    "10.0.0.1:65536",
    "10.0.0.1:99999",
    "10.0.0.1:080",
    "256.1.1.1:80",
    "1.1.1.256:80",
    "10.0.0.01:80",
    "10.0.0:80",
    "runner.example:80",
    "10.0.0.1:80\n",
    "10.0.0.1:\u0668\u0660",
    "\u0661.1.1.1:80",
]
VALID_ADDRESSES = ["1.2.3.4:1", "255.255.255.255:65535", "127.0.0.1:9", "10.20.199.249:59999"]


def changed(spec, path, value):
    copy = json.loads(json.dumps(spec))
    inner = copy
    for step in path[:-1]:
        inner = inner[step]
    inner[path[-1]] = value
    return copy


def ids(cases):
    return [".".join(map(str, path)) for _, path in cases]


def is_refused(case, value):
    (read, spec), path = case
    read(spec)
    try:
        read(changed(spec, path, value))
    except UnreadableError:
        return True
    return False


# Guards against numbers that no message between routers can carry.
@pytest.mark.parametrize("value", TOO_LARGE)
@pytest.mark.parametrize("case", INTEGERS + AMOUNTS, ids=ids(INTEGERS + AMOUNTS))
def test_number_out_of_range_is_refused(case, value):
    assert is_refused(case, value)


@pytest.mark.parametrize("case", INTEGERS, ids=ids(INTEGERS))
def test_largest_integer_is_accepted_and_can_be_encoded(case):
    assert not is_refused(case, LARGEST)
    (_, spec), path = case
    msgspec.msgpack.encode(changed(spec, path, LARGEST))


@pytest.mark.parametrize("case", AMOUNTS, ids=ids(AMOUNTS))
def test_long_durations_are_accepted(case):
    assert not is_refused(case, 1e15)


# Guards against fencing tokens above which there is none, so that no router acquires the lease.
@pytest.mark.parametrize("value", [*TOO_LARGE, LARGEST])
def test_fencing_token_leaves_room_for_higher_ones(value):
    assert is_refused((LEASED, ("fence_token",)), value)
    assert not is_refused((LEASED, ("fence_token",)), 2**40)


@pytest.mark.parametrize("case", TEXTS, ids=ids(TEXTS))
def test_huge_text_is_refused(case):
    assert is_refused(case, LONG_TEXT)


@pytest.mark.parametrize("address", INVALID_ADDRESSES)
@pytest.mark.parametrize("case", ADDRESSES, ids=ids(ADDRESSES))
def test_address_without_a_valid_host_and_port_is_refused(case, address):
    assert is_refused(case, address)


@pytest.mark.parametrize("address", VALID_ADDRESSES)
@pytest.mark.parametrize("case", ADDRESSES, ids=ids(ADDRESSES))
def test_addresses_at_the_bounds_are_accepted(case, address):
    assert not is_refused(case, address)


def test_nested_report_is_refused():
    body = (
        json.dumps({**REPORT, "more": "odd"}).encode().replace(b'"odd"', b"[" * 3000 + b"]" * 3000)
    )
    with pytest.raises(UnreadableError):
        PLATFORM_ADAPTER.read_report(body)
