"""Tests of the internal protocol: codec, frames, transport."""

import contextlib
import dataclasses
import queue

import generate_specifications
import pytest
from deployment import free_address
from hypothesis import given, settings
from hypothesis import strategies as st

from martenrun.wire import codec, specifications
from martenrun.wire.compact import MAXIMUM_ITEMS, CompiledCoder, PlainCoder
from martenrun.wire.frames import FrameError, FrameReader, FrameWriter
from martenrun.wire.keys import ClusterKeys
from martenrun.wire.messages import (
    DecideRequest,
    MemberClaim,
    MemberList,
    Queued,
    ReleaseSlots,
    ReserveSlot,
    RunnerLoad,
    SlotRefused,
)
from martenrun.wire.transport import PeerTransport

SECRET = b"0123456789abcdef"
KEYS = ClusterKeys(SECRET)
OTHER_KEYS = ClusterKeys(b"another-secret--")
MESSAGES = (
    DecideRequest("r", "t", "m", "v", b"\xff" * 16, 7, -1, 2, 0.5, "k", "z", ["a"] * 20, 3),
    ReserveSlot(2**62, "r", "\u00e9", 1, 2**31 - 1, -(2**31), True, "v", b"\0"),
    SlotRefused(-1, "full", "o", 4, [RunnerLoad("r", -3), RunnerLoad("s", 200)]),
    MemberList(True, [MemberClaim("a", "z", "r", 2**63 - 1, 127)] * 16),
    ReleaseSlots([0, -(2**63)]),
)


IDL_STRUCTS = generate_specifications.specifications()


def test_the_committed_specifications_are_those_of_the_idl():
    assert specifications.SPECIFICATIONS == IDL_STRUCTS


@pytest.mark.parametrize("name", sorted(codec.message_classes()))
def test_message_class_has_the_fields_of_its_struct(name):
    cls = codec.message_classes()[name]
    spec = IDL_STRUCTS[name]
    assert [entry[1] for entry in spec.values()] == [f.name for f in dataclasses.fields(cls)]


def test_message_survives_encoding():
    question = DecideRequest("r", "t", "m", "v", b"\xff" * 16, excluded_runners=["a", "b"])
    assert codec.decode(codec.encode(question)) == question


@pytest.mark.parametrize("name", sorted(codec.message_classes()))
def test_a_message_of_defaults_takes_a_header_only_and_survives(name):
    message = codec.message_classes()[name]()
    data = codec.encode(message)
    assert len(data) == 4
    assert codec.decode(data) == message


@given(st.integers(-1, 1), st.sampled_from(["", "r"]), st.booleans(), st.sampled_from([b"", b"\0"]))
@settings(derandomize=True, deadline=None)
def test_fields_survive_whether_or_not_they_have_their_defaults(number, text, flag, octets):
    message = ReserveSlot(number, text, text, number, number, number, flag, text, octets)
    found = codec.decode(codec.encode(message))
    assert found == message
    assert found.may_queue is flag


@pytest.mark.parametrize("data", [b"", b"\x00" * 40, b"garbage" * 9])
def test_malformed_bytes_are_a_codec_error(data):
    with pytest.raises(codec.CodecError):
        codec.decode(data)


@given(st.sampled_from(sorted(codec.message_classes())), st.binary(max_size=60))
@settings(derandomize=True, deadline=None, max_examples=2000)
def test_any_bytes_are_a_message_or_a_codec_error(name, body):
    data = codec.encode(codec.message_classes()[name]())[:3] + body
    with contextlib.suppress(codec.CodecError):
        assert type(codec.decode(data)).__name__ == name


def test_a_list_that_claims_more_items_than_it_has_bytes_for_is_refused():
    numbers = codec.encode(ReleaseSlots([1]))
    length = (MAXIMUM_ITEMS + 1).to_bytes(3, "little")
    claimed = bytes([0x80 | length[0] & 0x7F, 0x80, 0xC0, 0x00])
    with pytest.raises(codec.CodecError):
        codec.decode(numbers[:4] + b"\xf6" + claimed + numbers[5:])


@pytest.mark.parametrize("message", MESSAGES, ids=lambda message: type(message).__name__)
def test_the_compiled_and_the_plain_coder_write_and_read_the_same(message):
    data = codec.encode(message)[3:]
    cls = type(message)
    fields = cls(**{f.name: getattr(message, f.name) for f in dataclasses.fields(cls)})
    assert CompiledCoder().write(cls, fields) == PlainCoder().write(cls, fields)
    for coder in (CompiledCoder(), PlainCoder()):
        value = cls()
        coder.read(value, data)
        assert value == message


@pytest.mark.parametrize("is_short", [False, True], ids=["handshake", "short"])
@pytest.mark.parametrize("fault", ["flipped", "repeated"])
def test_a_forged_or_repeated_frame_is_refused(fault, is_short):
    writer, reader = FrameWriter(b"c"), FrameReader(b"c")
    writer.is_short = reader.is_short = is_short
    frame = writer.seal(SECRET, b"payload")
    reader.feed(frame)
    assert reader.next_payload(SECRET) == b"payload"
    second = frame if fault == "repeated" else writer.seal(SECRET, b"next")[:-1] + b"\x00"
    reader.feed(second)
    with pytest.raises(FrameError):
        reader.next_payload(SECRET)


@pytest.mark.parametrize("length", [b"\x07", b"\xff\xff\xff\x7f", b"\x80\x80\x80\x80"])
def test_a_short_frame_of_a_length_outside_the_limits_is_refused_before_it_has_come(length):
    reader = FrameReader(b"c")
    reader.is_short = True
    reader.feed(length)
    with pytest.raises(FrameError):
        reader.next_payload(SECRET)


def test_transport_answers_over_the_callers_connection_and_shuts_out_strangers():
    address = free_address()
    server = PeerTransport(address, KEYS, lambda peer, m: server.send(peer, m))
    server.listen(address)
    answers = queue.Queue()
    client = PeerTransport("agent/one", KEYS, lambda peer, m: answers.put(m))
    stranger_answers = queue.Queue()
    stranger = PeerTransport("agent/x", OTHER_KEYS, lambda p, m: stranger_answers.put(m))
    transports = (server, client, stranger)
    for transport in transports:
        transport.start()
    try:
        stranger.send(address, Queued("stranger", 1, 0.5))
        client.send(address, Queued("r", 1, 0.5))
        assert answers.get(timeout=10) == Queued("r", 1, 0.5)
        assert stranger_answers.empty()
    finally:
        for transport in transports:
            transport.stop()
