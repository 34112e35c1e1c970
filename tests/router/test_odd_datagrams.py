"""Datagrams and records with odd values harm nothing but themselves: gossip goes on."""

import socket

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from martenrun.net.datagrams import parse_address
from martenrun.net.loop import Loop
from martenrun.net.wire_types import MAXIMUM_INCARNATION, MAXIMUM_MS
from martenrun.router.peer_messages import (
    DrainUpdate,
    Gossip,
    LoadUpdate,
    RouterHeartbeat,
    RunnerLoad,
    WeightsUpdate,
    decode,
    encode,
)
from martenrun.router.peers import Peers
from martenrun.router.router_table import DEAD_AFTER_S, RouterTable
from martenrun.router.software_history import SoftwareHistory
from martenrun.router.store.state import ConfigurationState, WeightsState

from .fakes import TolerantLoop
from .gossip_world import GossipWorld, router_record
from .loopback import free_address, serve_until

ADDRESSES = ("10.0.0.1:7", "10.0.0.2:7", "10.0.0.3:7")

TOO_LARGE = 2**64
"""The smallest integer that the encoding of datagrams cannot express."""


def start_world():
    world = GossipWorld(1)
    world.loop = TolerantLoop()
    for address in ADDRESSES:
        world.start(address, ADDRESSES)
    world.run(2.0)
    return world, world.routers[ADDRESSES[0]]


def assert_all_alive(world):
    """Assert that gossip has gone on at each router, and that each considers the others alive."""
    beats = [peers.own.heartbeat for peers in world.running()]
    world.run(2 * DEAD_AFTER_S)
    assert all(
        peers.own.heartbeat > beat for peers, beat in zip(world.running(), beats, strict=True)
    )
    assert all(len(peers.live_addresses()) == len(ADDRESSES) - 1 for peers in world.running())


# Guards against gossip that ends for good after one round that raised.
@pytest.mark.parametrize("part", ["_on_records", "_refresh", "_choose_targets"])
def test_gossip_goes_on_after_a_round_that_raised(part):
    world, odd = start_world()
    sound = getattr(odd, part)

    def raise_once(*_arguments):
        setattr(odd, part, sound)
        raise OverflowError

    setattr(odd, part, raise_once)
    world.run(1.0)
    assert getattr(odd, part) is sound or getattr(odd, part) == sound
    assert_all_alive(world)


# Guards against a router that counts as dead because its own record cannot be encoded.
@pytest.mark.parametrize(
    "odd_values",
    [
        {"weights": {"m": [(TOO_LARGE, 0)]}},
        {"configurations": [(TOO_LARGE, 0)]},
        {"loads": {"i-0": RunnerLoad(TOO_LARGE, 0, 0)}},
        {"lease_revision": 1, "lease_token": TOO_LARGE},
        {"store_era": TOO_LARGE},
    ],
    ids=lambda values: next(reversed(values)),
)
def test_router_whose_record_cannot_be_encoded_stays_alive(odd_values):
    world, odd = start_world()
    for name, value in odd_values.items():
        setattr(odd.own, name, value)
    assert_all_alive(world)
    odd.broadcast_record()
    odd.broadcast(WeightsUpdate(["i-0"], "m", TOO_LARGE, False))


def test_unusable_addresses_are_told_apart():
    assert parse_address("127.0.0.1:80") == ("127.0.0.1", 80)
    for address in ("", "a:b", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536"):
        assert parse_address(address) is None
    for address in ("256.1.1.1:80", "localhost:80", "127.0.0.1:-1", "[::1]:80", "127.0.0.1:2**64"):
        assert parse_address(address) is None


class Receiver:
    """Peers on a real socket that record what arrives."""

    def __init__(self, loop, on_update=None):
        self.updates = []
        self.loop = loop
        self.peers = Peers(
            loop,
            router_record(free_address()),
            (),
            lambda _: None,
            on_update or self.updates.append,
            lambda: None,
            lambda _: None,
        )
        self.address = self.peers.own.address

    def send(self, *datagrams):
        """Send datagrams to this router, all before it reads the first one."""
        host, _, port = self.address.rpartition(":")
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
            for data in datagrams:
                sock.sendto(data, (host, int(port)))


LAST = encode(DrainUpdate(["last"]))

ODD_DATAGRAMS = {
    "nested": b"\x92\xa5drain" + b"\x91" * 30_000,
    "nested beyond the fields": b"\x93\xa5drain\x90" + b"\x91" * 30_000,
    "text that is none": b"\x92\xa5drain\x91\xa2\xff\xff",
    "tag that is none": b"\x92\xa2\xff\xff\x90",
    "empty": b"",
    "another address": encode(Gossip([router_record("a:b")])),
    "no records": encode(Gossip([])),
    "port": encode(Gossip([router_record("127.0.0.1:99999")])),
    "requester": msgspec.msgpack.encode(["wanted", "a:b", [1, 2**64 - 1]]),
}


# Guards against datagrams that wait unread behind one that cannot be decoded or handled.
@pytest.mark.parametrize("odd", ODD_DATAGRAMS.values(), ids=ODD_DATAGRAMS)
def test_odd_datagram_does_not_keep_the_next_one_from_being_handled(odd):
    receiver = Receiver(Loop())
    receiver.send(odd, odd, LAST)
    receiver.peers._receive()
    assert receiver.updates == [DrainUpdate(["last"])]


def test_handler_that_raises_does_not_keep_the_next_datagram_from_being_handled():
    updates = []

    def handle(update):
        updates.append(update.instances)
        if update.instances == ["odd"]:
            raise OverflowError

    receiver = Receiver(Loop(), handle)
    receiver.send(encode(DrainUpdate(["odd"])), LAST)
    receiver.peers._receive()
    assert updates == [["odd"], ["last"]]


# Guards against an update that reaches nobody because of one address among the known routers.
def test_update_reaches_the_others_beside_an_unusable_address():
    loop = Loop()
    sender, receiver = Receiver(loop), Receiver(loop)
    addresses = ["a:b", "127.0.0.1:99999", "host.invalid:7", receiver.address]
    records = [router_record(address) for address in addresses]
    sender.peers.table.merge(records, loop.now())
    sender.peers.broadcast(DrainUpdate(["last"]))
    serve_until(loop, lambda: receiver.updates)
    assert receiver.updates == [DrainUpdate(["last"])]


def odd_gossip(**changes):
    """Return gossip of another router, with values that no router sends."""
    fields = msgspec.structs.asdict(router_record("10.0.0.9:7", heartbeat=5))
    return msgspec.msgpack.encode(["gossip", [list({**fields, **changes}.values())]])


ODD_RECORDS = [
    *[{"age_ms": value} for value in (-1, 2**63, 2**64 - 1, MAXIMUM_MS + 1, 0.5)],
    *[{"heartbeat": value} for value in (-1, 2**63, 2**64 - 1)],
    *[{"incarnation": value} for value in (-1, 2**63, 2**64 - 1, MAXIMUM_INCARNATION + 1)],
    *[{"capacity": value} for value in (-1.0, float("nan"), float("inf"))],
    *[{"weights": {"m": [(1, value)]}} for value in (-1, 2**63, 2**64 - 1)],
    *[{"configurations": [(1, value)]} for value in (-1, 2**63, 2**64 - 1)],
    *[{"software_versions": {"llm": [("v1", value)]}} for value in (-1, 2**63, 2**64 - 1)],
]


@pytest.mark.parametrize("changes", ODD_RECORDS, ids=str)
def test_records_with_odd_numbers_are_refused_where_they_are_decoded(changes):
    assert decode(odd_gossip()).records[0].address == "10.0.0.9:7"
    with pytest.raises(msgspec.ValidationError):
        decode(odd_gossip(**changes))


# Guards against an incarnation that the others refuse, since it was raised above an odd one.
def test_own_incarnation_stays_within_its_bound():
    table = RouterTable(router_record("a", incarnation=5))
    table.merge([router_record("a", incarnation=MAXIMUM_INCARNATION)], 0.0)
    assert decode(encode(Gossip([table.own]))).records[0].incarnation == MAXIMUM_INCARNATION


# Guards against a record that the others refuse, since ages in it have grown beyond their bound.
def test_ages_that_grow_stay_within_their_bound():
    weights, configurations, software = WeightsState(), ConfigurationState(), SoftwareHistory()
    weights.merge_ages({"m": [(1, MAXIMUM_MS)]}, 100.0)
    configurations.merge_versions([(1, MAXIMUM_MS)], 100.0)
    software.merge({"llm": [("v1", MAXIMUM_MS), ("v2", MAXIMUM_MS)]}, 100.0)
    table = RouterTable(router_record("a"))
    table.merge([router_record("b", heartbeat=1)], 100.0)
    table.merge([router_record("b", heartbeat=2, age_ms=MAXIMUM_MS)], 100.0)
    table.own.weights = weights.ages_ms(900.0)
    table.own.configurations = configurations.versions_in_force(900.0)
    table.own.software_versions = software.ages(900.0)
    (record,) = table.select_records(5, 900.0)
    sent = decode(encode(Gossip([table.own, record], table.live_heartbeats(5, 101.0))))
    assert sent.records[0].weights == {"m": [(1, MAXIMUM_MS)]}
    assert sent.records[0].configurations == [(1, MAXIMUM_MS)]
    assert sent.records[1].age_ms == MAXIMUM_MS


VALUES = st.recursive(
    st.none()
    | st.booleans()
    | st.integers(-(2**63), 2**64 - 1)
    | st.floats()
    | st.text(max_size=8)
    | st.binary(max_size=8)
    | st.sampled_from(["10.0.0.9:7", "a:b", "i-0"]),
    lambda inner: st.lists(inner, max_size=6) | st.dictionaries(st.text(max_size=4), inner),
    max_leaves=20,
)

TAGS = ["gossip", "wanted", "load", "lease", "reading", "silence", "zone", "drain"]


@given(st.sampled_from(TAGS), st.lists(VALUES, max_size=6))
def test_whatever_a_datagram_holds_gossip_can_be_sent_afterwards(tag, fields):
    world = GossipWorld(1)
    world.start(ADDRESSES[0], ADDRESSES)
    peers = world.routers[ADDRESSES[0]]
    try:
        message = decode(msgspec.msgpack.encode([tag, *fields]))
    except (msgspec.MsgspecError, ValueError):
        return
    peers._handle_message(message, peers.now())
    world.run(1.0)
    encode(Gossip([peers.own, *peers.table.select_records(9, peers.now())]))


@given(st.integers(0, 2**63 - 1), st.integers(0, MAXIMUM_MS), st.integers(0, MAXIMUM_INCARNATION))
def test_numbers_within_their_bounds_are_passed_on(heartbeat, age_ms, incarnation):
    table = RouterTable(router_record("a"))
    table.merge([router_record("b", incarnation, 0)], 100.0)
    record = router_record("b", incarnation, heartbeat, age_ms=age_ms)
    table.merge(decode(encode(Gossip([record]))).records, 100.0)
    known = table.select_records(5, 200.0)
    table.merge_heartbeats([RouterHeartbeat(1, heartbeat, age_ms)], 200.0)
    table.merge_load(LoadUpdate("b", incarnation, heartbeat, "i", RunnerLoad(1, 1, 1)), 200.0)
    table.update_liveness(200.0)
    assert decode(encode(Gossip([table.own, *known], table.live_heartbeats(5, 200.0))))
