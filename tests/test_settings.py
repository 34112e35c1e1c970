"""Tests of settings and objects that people write: every fault is told, with its remedy."""

import pytest

from martenrun.configuration.objects import Kind, encode_document, parse_document
from martenrun.errors import InvalidObjectError
from martenrun.settings.load import check_file, read_settings
from martenrun.settings.model import NodeSettings

FITTING = {
    "name": "n",
    "zone": "z",
    "cluster_secret": "0123456789abcdef",
    "http_address": "127.0.0.1:80",
    "peer_address": "127.0.0.1:65535",
    "object_api": "10.0.0.255:1",
    "machine_list": "10.0.0.1:2",
}


def test_settings_that_fit_are_read_with_their_defaults():
    seeds = ("10.0.0.1:1", "10.0.0.2:1")
    settings = read_settings(NodeSettings, None, {**FITTING, "seed_nodes": seeds})
    assert settings.seed_nodes == list(seeds)
    assert (settings.max_streams, settings.membership.gossip_fanout) == (100, 2)


@pytest.mark.parametrize(
    "address", ["localhost:80", "10.0.0.1", "10.0.0.256:1", "10.0.0.1:65536", "10.0.0.1:1\n", ":1"]
)
def test_an_address_that_is_no_ip_and_port_is_refused(address):
    with pytest.raises(ExceptionGroup) as caught:
        read_settings(NodeSettings, None, {**FITTING, "seed_nodes": (address,)})
    (fault,) = caught.value.exceptions
    assert "seed_nodes" in fault.message and "IP:port" in fault.message
    assert "nodes to ask first" in fault.remedy


def test_every_fault_of_settings_is_told_with_its_remedy():
    membership = {"gossip_fanout": 0, "fanout": 1}
    values = {**FITTING, "max_streams": 0, "colour": "red", "membership": membership}
    del values["zone"]
    with pytest.raises(ExceptionGroup) as caught:
        read_settings(NodeSettings, None, values)
    told = {fault.message.split(":")[0]: fault.remedy for fault in caught.value.exceptions}
    assert told.keys() == {
        *("max_streams", "colour", "membership.gossip_fanout", "membership.fanout", "zone")
    }
    assert told["zone"] == "add it: zone of the machine"
    assert told["colour"].startswith("remove it; known keys are accepted_secrets, ")
    assert told["membership.fanout"].startswith("remove it; known keys are dead_probe_interval_s, ")
    assert told["membership.gossip_fanout"] == "correct it: nodes told in one round"


def test_a_value_in_the_place_of_a_table_is_told_as_such(tmp_path):
    file = tmp_path / "settings.toml"
    file.write_text('node = "node-1"')
    for read in (check_file, lambda path: read_settings(NodeSettings, path, {})):
        with pytest.raises(ExceptionGroup) as caught:
            read(file)
        (fault,) = caught.value.exceptions
        assert "node" in fault.message and "[node]" in fault.remedy


@pytest.mark.parametrize(
    "data",
    [
        b"{",
        b"\xff",
        b"[]",
        b'{"weight": 0}',
        b'{"weight": 1e999}',
        b'{"weight": "1"}',
        b'{"weight": true}',
        b'{"queue_length": 1.5}',
        b'{"queue_length": null}',
    ],
)
def test_a_document_that_does_not_fit_is_refused(data):
    with pytest.raises(InvalidObjectError):
        parse_document(Kind.TENANT, data)


def test_a_document_is_read_as_it_was_written():
    data = b'{"model":"m","weights_version":"v1","adapters":["a"],"role":"prefill","policy":null}'
    pool = parse_document(Kind.POOL, data)
    assert parse_document(Kind.POOL, encode_document(pool)) == pool
    for name in (b"Upper", b"a\\n", b"", b"a" * 64):
        with pytest.raises(InvalidObjectError) as caught:
            parse_document(Kind.ROUTE, b'{"model": "m", "pool": "%s"}' % name)
        assert "pool" in caught.value.message and "1 to 63" in caught.value.message


@pytest.mark.parametrize("field", ["weight", "unknown"])
def test_a_document_nested_too_deeply_is_an_invalid_object(field):
    nested = b"[" * 100_000 + b"]" * 100_000
    with pytest.raises(InvalidObjectError):
        parse_document(Kind.TENANT, b'{"%s": %s}' % (field.encode(), nested))
