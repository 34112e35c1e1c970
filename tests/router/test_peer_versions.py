"""Datagrams of the previous release are still understood; unknown ones raise an error only."""

import msgspec
import pytest

from martenrun.router.peer_messages import (
    Gossip,
    LeaseUpdate,
    LoadUpdate,
    RecordsRequest,
    RunnerLoad,
    UnresponsiveRunnerUpdate,
    WeightsUpdate,
    ZoneLoads,
    decode,
    encode,
)
from martenrun.router.quotas.messages import QuotaStage

PREVIOUS_RELEASE = {
    "gossip": (
        "93a6676f7373697091dc0010ae31302e312e302e33303a373334300507ae31302e312e302e33303a"
        "38373832a27a31c2c3c2030481a3692d319302cd0384cd04b081a16d919202cd05dc28c3cb3ff800"
        "0000000000919207ccfa9193ce075bcd15091e"
    ),
    "wanted": ("93a677616e746564ae31302e312e302e33303a37333430920102"),
    "load": ("95a46c6f616491a3692d31a16d02c3"),
    "lease": ("95a56c65617365b031302e312e302e33303a3733343023350409ccc8"),
    "reading": ("96a772656164696e67ae31302e312e302e33303a373334300508a3692d3193010203"),
    "silence": ("93a773696c656e6365ae31302e312e302e33303a37333430a3692d31"),
    "zone": ("93a47a6f6e6581a27a3281a3692d3193010203c3"),
}
"""Datagrams as sent by the release before tenant rates were introduced."""


def decode_previous(name):
    return decode(bytes.fromhex(PREVIOUS_RELEASE[name]))


def test_records_of_the_previous_release_are_decoded_without_accounts():
    message = decode_previous("gossip")
    assert isinstance(message, Gossip)
    record = message.records[0]
    assert (record.address, record.incarnation, record.heartbeat) == ("10.1.0.30:7340", 5, 7)
    assert record.loads == {"i-1": RunnerLoad(2, 900, 1200)}
    assert (record.weights, record.configurations) == ({"m": [(2, 1500)]}, [(7, 250)])
    assert (record.age_ms, record.reads_store, record.capacity) == (40, True, 1.5)
    assert record.quota_stage == QuotaStage.NONE
    assert message.heartbeats[0].heartbeat == 9


@pytest.mark.parametrize(
    ("name", "expected"),
    [
        ("wanted", RecordsRequest("10.1.0.30:7340", [1, 2])),
        ("load", WeightsUpdate(["i-1"], "m", 2, True)),
        ("lease", LeaseUpdate("10.1.0.30:7340#5", 4, 9, 200)),
        ("reading", LoadUpdate("10.1.0.30:7340", 5, 8, "i-1", RunnerLoad(1, 2, 3))),
        ("silence", UnresponsiveRunnerUpdate("10.1.0.30:7340", "i-1")),
        ("zone", ZoneLoads({"z2": {"i-1": RunnerLoad(1, 2, 3)}}, True)),
    ],
)
def test_messages_of_the_previous_release_keep_their_meaning(name, expected):
    assert decode_previous(name) == expected
    assert encode(expected).hex() == PREVIOUS_RELEASE[name]


def test_message_of_a_later_release_raises_a_decode_error():
    later = msgspec.msgpack.encode(["a message of later", 1, 2])
    with pytest.raises(msgspec.MsgspecError):
        decode(later)
