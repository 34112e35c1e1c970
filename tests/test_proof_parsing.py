"""Whatever bytes arrive: messages, frames, configuration objects and callers' requests."""

import tracemalloc
import typing

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from thriftpy2.thrift import TType
from werkzeug.datastructures import Headers

from martenrun.configuration.objects import Kind, encode_document, parse_document
from martenrun.configuration.state import ConfigurationState
from martenrun.edge.request import CallerRequest, parse_request
from martenrun.errors import InvalidObjectError, InvalidRequestError, MartenrunError
from martenrun.proof.callers import key_of, key_sha256
from martenrun.wire import codec
from martenrun.wire.frames import FrameError, FrameReader, FrameWriter
from martenrun.wire.messages import ConfigurationObject, ConfigurationUpdate
from martenrun.wire.specifications import SPECIFICATIONS

KEY = b"0123456789abcdef"
ALLOCATED_BYTES = 1 << 20
"""Most that parsing some hundred bytes may allocate."""

BITS = {TType.BYTE: 8, TType.I16: 16, TType.I32: 32, TType.I64: 64}
VALUES = {
    bool: st.booleans(),
    float: st.floats(allow_nan=False),
    str: st.text(max_size=9),
    bytes: st.binary(max_size=9),
}
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats(allow_nan=False) | st.text(max_size=9),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=9), inner),
    max_leaves=8,
)


def values_of(hint, wire_type, item_type=None):
    if hint is int:
        return st.integers(-(2 ** (BITS[wire_type] - 1)), 2 ** (BITS[wire_type] - 1) - 1)
    if hint in VALUES:
        return VALUES[hint]
    if typing.get_origin(hint) is list:
        return st.lists(values_of(typing.get_args(hint)[0], item_type), max_size=2)
    return messages_of(hint)


def messages_of(cls):
    hints = typing.get_type_hints(cls)
    specification = SPECIFICATIONS[cls.__name__]
    fields = {}
    for wire_type, name, *item_type in specification.values():
        fields[name] = values_of(hints[name], wire_type, item_type[0])
    return st.builds(cls, **fields)


@pytest.mark.parametrize("name", sorted(codec.message_classes()))
def test_every_message_survives_the_wire(name):
    @given(messages_of(codec.message_classes()[name]))
    @settings(derandomize=True, deadline=None, max_examples=10)
    def survives(message):
        assert codec.decode(codec.encode(message)) == message

    survives()


@pytest.mark.parametrize("is_short", [False, True], ids=["handshake", "short"])
@given(
    payloads=st.lists(st.binary(max_size=40) | st.just(b"x" * 20_000), max_size=6), data=st.data()
)
@settings(derandomize=True, deadline=None)
def test_frames_come_whole_and_in_order_however_they_are_cut_and_forged_ones_never(
    is_short, payloads, data
):
    writer, reader = FrameWriter(b"c"), FrameReader(b"c")
    writer.is_short = reader.is_short = is_short
    sent = bytearray(b"".join(writer.seal(KEY, payload) for payload in payloads))
    flipped = data.draw(st.none() | st.integers(0, max(0, len(sent) - 1)))
    if flipped is not None and sent:
        sent[flipped] ^= data.draw(st.integers(1, 255))
    received = []
    try:
        while sent:
            size = data.draw(st.integers(1, len(sent)))
            reader.feed(bytes(sent[:size]))
            del sent[:size]
            while (payload := reader.next_payload(KEY)) is not None:
                received.append(payload)
    except FrameError:
        assert flipped is not None
    assert received == payloads[: len(received)]
    assert flipped is not None or len(received) == len(payloads)


@pytest.mark.parametrize("is_short", [False, True], ids=["handshake", "short"])
@given(octets=st.binary(max_size=200))
@settings(derandomize=True, deadline=None)
def test_bytes_of_a_stranger_are_no_frame_and_take_no_room(is_short, octets):
    tracemalloc.start()
    reader = FrameReader(b"c")
    reader.is_short = is_short
    reader.feed(octets)
    try:
        assert reader.next_payload(KEY) is None
    except FrameError:
        pass
    finally:
        peak = tracemalloc.get_traced_memory()[1]
        tracemalloc.stop()
    assert peak < ALLOCATED_BYTES


NAMES = st.sampled_from(
    ["weight", "tenant", "model", "pool", "weights_version", "floor", "block_bytes", "key_sha256"]
)
DOCUMENTS = JSON | st.dictionaries(NAMES, JSON, max_size=6)


@given(st.sampled_from(list(Kind)), DOCUMENTS.map(msgspec.json.encode) | st.binary(max_size=40))
@settings(derandomize=True, deadline=None, max_examples=400)
def test_any_document_is_an_object_or_a_typed_refusal(kind, data):
    try:
        document = parse_document(kind, data)
    except InvalidObjectError as error:
        assert error.message.startswith(kind.value)
    else:
        assert parse_document(kind, encode_document(document)) == document


def served_view():
    documents = {
        ("tenants", "growers"): {},
        ("keys", "key"): {"tenant": "growers", "key_sha256": key_sha256(key_of("growers"))},
        ("pools", "pool"): {"model": "model", "weights_version": "v1", "block_bytes": 64},
        ("routes", "route"): {"model": "model", "pool": "pool"},
    }
    objects = [
        ConfigurationObject(kind, name, revision, False, msgspec.json.encode(document))
        for revision, ((kind, name), document) in enumerate(documents.items(), start=1)
    ]
    state = ConfigurationState()
    state.apply(ConfigurationUpdate(0, len(objects), objects))
    return state.view


def mostly(usual, other):
    """Return a strategy that draws from ``usual`` four times in five."""
    return st.integers(0, 4).flatmap(lambda number: usual if number else other)


VIEW = served_view()
BODIES = st.fixed_dictionaries(
    {
        "model": mostly(st.just("model"), JSON),
        "prompt": mostly(st.text(), JSON),
        "messages": mostly(st.just([{"role": "user", "content": "grapes"}]), JSON),
    },
    optional={
        "max_tokens": JSON | st.integers(0, 2**63),
        "max_completion_tokens": JSON | st.integers(0, 2**63),
        "stream": mostly(st.booleans(), JSON),
        "priority": mostly(st.integers(0, 10), JSON),
    },
)
LINES = st.text(st.characters(exclude_characters="\r\n"), max_size=20)
HEADERS = st.fixed_dictionaries(
    {"Authorization": mostly(st.just(f"Bearer {key_of('growers')}"), LINES)},
    optional={
        "X-Repeatable": st.sampled_from(["true", "false"]) | LINES,
        "X-Deadline-Seconds": st.sampled_from(["nan", "inf", "-1", "1e400", "5"]) | LINES,
        "Idempotency-Key": LINES,
        "X-Request-Id": LINES,
    },
)


@given(
    st.sampled_from(["/v1/completions", "/v1/chat/completions"]),
    HEADERS,
    mostly(BODIES.map(msgspec.json.encode), st.binary(max_size=60)),
)
@settings(derandomize=True, deadline=None, max_examples=600)
def test_any_request_is_a_question_or_a_typed_refusal(path, headers, body):
    try:
        request = parse_request(path, Headers(headers), body, VIEW, "zone")
    except MartenrunError as error:
        assert error.ran.value == "no"
        return
    assert isinstance(request, CallerRequest)
    assert 0 < request.question.deadline_s < float("inf")
    assert request.question.maximum_output_tokens > 0
    key = headers.get("Idempotency-Key", "")
    assert request.question.idempotency_key == ("" if request.repeatable else key)
    assert codec.decode(codec.encode(request.question)) == request.question
    msgspec.json.decode(request.engine_body(0, None))


@pytest.mark.parametrize(
    "body",
    [
        b'{"model": "model", "prompt": "x", "max_tokens": 9223372036854775808}',
        b'{"model": "model", "prompt": "x", "max_completion_tokens": 0}',
        b'{"model": "model", "prompt": "x", "user": ' + b"[" * 100_000 + b"]" * 100_000 + b"}",
    ],
)
def test_too_much_of_anything_is_refused_before_it_reaches_the_loop(body):
    headers = Headers({"Authorization": f"Bearer {key_of('growers')}"})
    with pytest.raises(InvalidRequestError):
        parse_request("/v1/completions", headers, body, VIEW, "zone")
