"""The platform adapter: its translations, and that its names are used in no other package."""

import ast
import json
import math
import re
from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner

from martenrun.cli.main import main
from martenrun.errors import SettingsError
from martenrun.net.http import HttpRequest
from martenrun.platform import PLATFORM_ADAPTER
from martenrun.platform.settings import load_settings, read_settings, settings_errors
from martenrun.router.messages import Dispatch, OrderOutcome, RouteKind

SOURCE = Path(__file__).parents[2] / "src" / "martenrun"
PLATFORM = SOURCE / "platform"
PLATFORM_NAMES = re.compile(
    r"martenrun/(resolve|readyz|report|order|objects|kv-)|x-not-executed|x-response-stamp"
    r"|x-expect-instance|x-kv-fetch-from|x-kv-save-to|x-cache-salt|x-prefix-hash|x-token-usage|kv_store_addr"
    r"|server-limit|fence_token|call_seq|traffic_split|target_latency_ms",
    re.IGNORECASE,
)

SETTINGS = {
    "node_name": "n1",
    "zone": "z1",
    "ip": "10.0.0.1",
    "internal_ports": [7340, 7355],
    "seeds": ["10.0.0.1:8783", "10.0.0.2:8783"],
    "listen_addrs": {"front": "10.0.0.1:1", "ready": "10.0.0.1:2", "directory": "10.0.0.1:3"},
    "limits": {"max_fds": 4100},
    "platform": {"address": "10.9.9.9:8784"},
    "bounds": {
        "drain_ms": 2000,
        "grace_s": 8,
        "config_apply_ms": 2000,
        "budget_ratio": 0.2,
        "budget_window_s": 10,
        "budget_slack": 54,
        "revoke_strict": True,
        "revoke_ms": 5000,
        "lease_ms": 3000,
        "version_ms": 8000,
    },
}


def modules(folder):
    return [path for path in folder.rglob("*.py")]


def test_platform_names_are_used_in_adapter_only():
    found = {
        str(path.relative_to(SOURCE)): PLATFORM_NAMES.findall(path.read_text())
        for path in modules(SOURCE)
        if PLATFORM not in path.parents and PLATFORM_NAMES.search(path.read_text())
    }
    assert not found


def imported_modules(path):
    for node in ast.walk(ast.parse(path.read_text())):
        if isinstance(node, ast.ImportFrom) and node.module:
            yield node.module
        elif isinstance(node, ast.Import):
            yield from (alias.name for alias in node.names)


@pytest.mark.parametrize("package", ["router", "net"])
def test_router_and_net_import_no_adapter(package):
    for path in modules(SOURCE / package):
        for name in imported_modules(path):
            assert not name.startswith(("martenrun.platform", "martenrun.backends")), path


def test_settings_are_converted():
    settings = read_settings(SETTINGS)
    assert settings.internal_address == "10.0.0.1:7340"
    assert settings.seeds == ("10.0.0.1:7340", "10.0.0.2:7340")
    assert settings.bounds.drain_s == 2.0
    assert settings.bounds.is_revocation_strict


@pytest.mark.parametrize("field", ["node_name", "zone", "listen_addrs", "bounds", "platform"])
def test_error_names_missing_setting(field):
    table = {name: value for name, value in SETTINGS.items() if name != field}
    with pytest.raises(SettingsError, match=field):
        read_settings(table)


def test_check_settings_command_lists_every_invalid_setting(tmp_path):
    file = tmp_path / "node.toml"
    file.write_text(
        'node_name = 7\nzone = "z"\nip = "10.0.0.1"\ninternal_ports = []\nseeds = []\n'
        "[listen_addrs]\n[limits]\nmax_fds = 10\n"
    )
    result = CliRunner().invoke(main, ["check-settings", str(file)])
    assert result.exit_code != 0
    for field in ("node_name", "internal_ports", "listen_addrs.front", "bounds.grace_s"):
        assert field in result.output


def test_check_settings_command_accepts_valid_settings(tmp_path):
    file = tmp_path / "node.toml"
    file.write_text(as_toml(SETTINGS))
    result = CliRunner().invoke(main, ["check-settings", str(file)])
    assert result.exit_code == 0, result.output


def as_toml(table):
    plain = {name: value for name, value in table.items() if not isinstance(value, dict)}
    text = "".join(f"{name} = {json.dumps(value)}\n" for name, value in plain.items())
    for name, value in table.items():
        if isinstance(value, dict):
            text += f"[{name}]\n{as_toml(value)}"
    return text


@pytest.mark.parametrize(
    ("link", "bytes_per_s"),
    [({"link_mbps": 5.0}, 625_000.0), ({"link_mbps": 0}, math.inf), ({}, math.inf)],
)
def test_link_rate_is_unlimited_if_missing_or_zero(link, bytes_per_s):
    limits = {"max_fds": SETTINGS["limits"]["max_fds"], **link}
    assert read_settings({**SETTINGS, "limits": limits}).link_bytes_per_s == bytes_per_s


def test_errors_name_optional_settings_of_wrong_type():
    limits = {**SETTINGS["limits"], "link_mbps": "fast"}
    bounds = {**SETTINGS["bounds"], "lease_ms": "long"}
    errors = settings_errors({**SETTINGS, "limits": limits, "bounds": bounds})
    assert [error.split("'")[1] for error in errors] == ["limits.link_mbps", "bounds.lease_ms"]


def test_unknown_settings_are_ignored_and_unreadable_files_reported(tmp_path):
    assert read_settings({**SETTINGS, "something": "new"}).name == "n1"
    broken = tmp_path / "node.toml"
    broken.write_text("a = [")
    with pytest.raises(SettingsError, match="cannot be read"):
        load_settings(str(broken))
    with pytest.raises(SettingsError, match="no settings file"):
        load_settings("")


def request(*headers):
    return HttpRequest(b"POST", b"/p/x?q=1", list(headers), b"", 0.0)


def test_request_headers_are_parsed():
    call = PLATFORM_ADAPTER.read_call(
        request(
            (b"Host", b"A.example:80"),
            (b"X-Request-Id", b"id1"),
            (b"X-Prefix-Hash", b"5c1e07a2:800,91bd3f06:410"),
            (b"X-Token-Usage", b"1460,80"),
            (b"X-Deadline-Ms", b"1500"),
            (b"X-Model-Id", b"m"),
            (b"X-Key", b"k"),
            (b"Last-Event-Id", b"12"),
        )
    )
    assert (call.host, call.path, call.deadline_s, call.key) == ("a.example", "/p/x", 1.5, b"k")
    assert [(part.part_id, part.tokens) for part in call.parts] == [
        (b"5c1e07a2", 800),
        (b"91bd3f06", 410),
    ]
    assert (call.prompt_tokens, call.last_event_id) == (1460, 12)


@pytest.mark.parametrize(
    "header",
    [
        (b"X-Prefix-Hash", b"5c1e"),
        (b"X-Deadline-Ms", b"soon"),
        (b"X-Token-Usage", b"many,1"),
        (b"Last-Event-Id", b"x"),
    ],
)
def test_invalid_header_raises_value_error(header):
    with pytest.raises(ValueError):
        PLATFORM_ADAPTER.read_call(request((b"X-Request-Id", b"id1"), header))


def test_the_resumed_attempt_is_read_and_passed_on():
    headers = [(b"X-Request-Id", b"r2"), (b"Resumes", b"r1"), (b"Last-Event-Id", b"3")]
    request = HttpRequest(b"POST", b"/a/x", headers, b"", 0.0)
    assert PLATFORM_ADAPTER.read_call(request).resumed_id == b"r1"
    unnamed = HttpRequest(b"POST", b"/a/x", [headers[0], (b"Resumes", b"")], b"", 0.0)
    assert PLATFORM_ADAPTER.read_call(unnamed).resumed_id is None


def test_headers_set_by_router_are_not_forwarded_from_caller():
    headers = [
        (b"Host", b"a"),
        (b"X-Key", b"secret"),
        (b"X-Tenant-Id", b"other"),
        (b"x-cache-salt", b"other"),
        (b"X-Kv-Fetch-From", b"1.2.3.4:5"),
        (b"X-Request-Priority", b"0"),
        (b"Connection", b"keep-alive, X-Private"),
        (b"X-Private", b"1"),
        (b"X-Other", b"kept"),
    ]
    dispatch = Dispatch("i-1", 1.25, "t", 3, 2, "salt", "s:1", "s:1", None)
    sent = PLATFORM_ADAPTER.runner_headers(headers, dispatch)
    names = [name.lower() for name, _ in sent]
    assert len(names) == len(set(names))
    fields = {name.lower(): value for name, value in sent}
    assert b"x-key" not in fields and b"x-private" not in fields
    assert fields[b"x-tenant-id"] == b"t"
    assert fields[b"x-cache-salt"] == b"salt"
    assert fields[b"x-deadline-ms"] == b"1250"
    assert fields[b"x-other"] == b"kept"
    assert fields[b"x-expect-instance"] == b"i-1"


@pytest.mark.parametrize("connection", [b"Upgrade, HTTP2-Settings", b"Upgrade"])
def test_an_offer_of_another_protocol_is_not_forwarded(connection):
    headers = [
        (b"Host", b"a"),
        (b"Connection", connection),
        (b"Upgrade", b"h2c"),
        (b"HTTP2-Settings", b"AAMAAABk"),
    ]
    dispatch = Dispatch("i-1", 1.25, None, None, None, None, None, None, None)
    sent = PLATFORM_ADAPTER.runner_headers(headers, dispatch)
    names = {name.lower() for name, _ in sent}
    assert names == {b"host", b"x-deadline-ms", b"x-expect-instance"}


def test_configuration_is_converted():
    spec = {
        "version": 7,
        "routes": [
            {
                "name": "r",
                "hostname": "A.example",
                "path_prefix": "/p/",
                "kind": "stream",
                "timeout_ms": 6000,
                "target_latency_ms": 800,
                "priority": 1,
                "traffic_split": [{"service": "s", "weight": 90}, {"service": "u", "weight": 10}],
                "max_attempts": 2,
                "no_auth": False,
                "sticky": True,
                "resumable": True,
            }
        ],
        "services": [
            {"name": "s", "max_connections": 3, "engine": {"slots": 4, "kv_capacity_tokens": 9}},
            {"name": "k", "kv_store_addr": "1.2.3.4:5", "zone": "z"},
        ],
        "limits": {"max_header_bytes": 10, "idle_timeout_ms": 500},
        "tenants": [{"name": "t", "api_keys": ["a", "b"], "priority": 1, "isolated": True}],
    }
    body = msgspec.json.encode({"metadata": {"name": "main", "revision": 3}, "spec": spec})
    configuration = PLATFORM_ADAPTER.read_configuration(PLATFORM_ADAPTER.read_stored(body, 0))
    route = configuration.routes[0]
    assert (route.kind, route.host, route.may_repeat) == (RouteKind.STREAM, "a.example", True)
    assert [part.service for part in route.split] == ["s", "u"]
    assert configuration.services["s"].engine.kv_cache_tokens == 9
    assert configuration.stores[0].address == "1.2.3.4:5"
    assert configuration.tenants_by_key[b"b"].is_isolated
    assert configuration.limits.idle_timeout_s == 0.5


def test_response_metadata_and_order_outcomes_are_read():
    assert PLATFORM_ADAPTER.read_response_metadata(503, [(b"X-Not-Executed", b"1")]).is_not_executed
    assert PLATFORM_ADAPTER.read_response_metadata(421, []).is_not_executed
    assert not PLATFORM_ADAPTER.read_response_metadata(503, []).is_not_executed
    assert PLATFORM_ADAPTER.read_response_metadata(200, [(b"x-response-stamp", b"1")]).is_signed
    assert PLATFORM_ADAPTER.read_order_outcome(412) is OrderOutcome.FENCED
    assert PLATFORM_ADAPTER.read_order_outcome(400) is OrderOutcome.REFUSED


@pytest.mark.parametrize(
    ("values", "requests_per_s"),
    [
        ([b"1.1"], 1.1),
        ([b" 20 "], 20.0),
        ([b"0"], 0.0),
        ([b"1e-9"], 1e-9),
        ([b"3, 2"], 2.0),
        ([b"3", b"2.5"], 2.5),
        ([b"3, many"], 3.0),
        ([b""], None),
        ([b"-1"], None),
        ([b"nan"], None),
        ([b"inf"], None),
        ([b"1e400"], None),
        ([b"1_0"], None),
        ([b"many"], None),
        ([b"\xff" * 300], None),
    ],
)
def test_advertised_rate_limit_is_parsed(values, requests_per_s):
    headers = [(b"Server-Limit", value) for value in values]
    limit = PLATFORM_ADAPTER.read_response_metadata(200, headers).rate_limit
    assert limit is not None and limit.requests_per_s == requests_per_s and len(limit.text) <= 40


def test_answer_without_limit_field_has_no_rate_limit():
    assert (
        PLATFORM_ADAPTER.read_response_metadata(200, [(b"X-Response-Stamp", b"s")]).rate_limit
        is None
    )


@pytest.mark.parametrize(
    ("fields", "is_draining"),
    [
        ([(b"Server-Leaving", b"1")], True),
        ([(b"server-leaving", b" 1 ")], True),
        ([(b"Server-Leaving", b"0"), (b"Server-Leaving", b"1")], True),
        ([(b"Server-Leaving", b"0")], False),
        ([(b"Server-Leaving", b"")], False),
        ([(b"Server-Leaving", b"yes")], False),
        ([], False),
    ],
)
@pytest.mark.parametrize("status", [200, 421, 500, 503])
def test_announced_drain_is_read_from_responses_of_any_status(status, fields, is_draining):
    assert PLATFORM_ADAPTER.read_response_metadata(status, fields).is_draining == is_draining


@pytest.mark.parametrize(
    ("values", "seconds"),
    [
        ([b"3"], 3.0),
        ([b"0.9"], 0.9),
        ([b" 2.5 "], 2.5),
        ([b"0"], 0.0),
        ([b"1", b"4"], 4.0),
        ([b"soon", b"2"], 2.0),
        ([b"1000000000"], 3_600.0),
        ([b"1e400"], 3_600.0),
        ([b"-3"], None),
        ([b""], None),
        ([b"nan"], None),
        ([b"inf"], None),
        ([b"Fri, 04 Dec 2026 10:00:00 GMT"], None),
        ([b"x" * 1_000], None),
    ],
)
def test_requested_backoff_is_parsed(values, seconds):
    headers = [(b"Retry-After", value) for value in values]
    backoff = PLATFORM_ADAPTER.read_response_metadata(503, headers).backoff
    assert backoff is not None and backoff.seconds == seconds and len(backoff.text) <= 40


@pytest.mark.parametrize("status", [200, 408, 421, 429, 500])
def test_only_an_unavailable_runner_requests_a_backoff(status):
    assert PLATFORM_ADAPTER.read_response_metadata(status, [(b"Retry-After", b"3")]).backoff is None
