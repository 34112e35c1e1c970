"""Routers bear clients that send without end, stop short of the end, or do not read.

Guards against routers that outgrow the memory of their machine and are ended by it: one client took
914 MB with trailer fields, 120 unfinished bodies took 511 MB.
"""

import contextlib
import re
import signal
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import attrs
import pytest
from platform_deployment import PlatformDeployment

from .misbehaving_clients import (
    BODY_BYTES,
    CHUNKED,
    FIELD,
    MODEL_HEADERS,
    SHORT_FIELD,
    Crowd,
    announced,
    chunks,
    filled,
    head,
)

MEMORY_MB = 88
"""Memory of the smallest machines, which the routers' settings state here."""

MAXIMUM_DESCRIPTORS = 1_024
FEW_DESCRIPTORS = 256

MIB = 1_048_576


@attrs.frozen
class Play:
    """What the clients of a crowd do.

    Attributes:
        clients: number of clients.
        data_of: returns the bytes that a client sends, given its number.
        port: port of the router that they use.
        reads: whether they read what they are sent.
        piece: how much each of them sends before the next one's turn, in bytes.
        maximum_descriptors: descriptors that the router may open.
    """

    clients: int
    data_of: object
    port: str = "front"
    reads: bool = True
    piece: int = 65_536
    maximum_descriptors: int = MAXIMUM_DESCRIPTORS


def trailers(filler, size):
    return lambda number: head(number, 0) + CHUNKED + b"1\r\nx\r\n0\r\n" + filled(filler, size)


def one_trailer(number):
    return head(number, 0) + CHUNKED + b"1\r\nx\r\n0\r\nX-T: " + filled(b"t", 12 * MIB)


def unfinished(number):
    return head(number, 0) + announced(BODY_BYTES) + bytes(BODY_BYTES - 1)


def unfinished_chunks(number):
    return head(number, 0) + CHUNKED + chunks(BODY_BYTES - 16_384)


def whole(number):
    return head(number, 0) + announced(BODY_BYTES) + bytes(BODY_BYTES)


def whole_prompt(number):
    data = head(number, 0, b"/ask/x", MODEL_HEADERS)
    return data + announced(BODY_BYTES) + bytes(BODY_BYTES)


def pipelined(number):
    return b"".join(
        head(number, request) + announced(BODY_BYTES) + bytes(BODY_BYTES) for request in range(6)
    )


def oversized_chunks(number):
    return head(number, 0) + CHUNKED + chunks(8 * MIB)


def announced_oversized(number):
    return head(number, 0) + announced(100 * MIB) + bytes(8 * MIB)


def chunk_extension(number):
    return head(number, 0) + CHUNKED + b"1;" + filled(b"e", 16 * MIB)


def empty_lines(_number):
    return filled(b"\r\n", 4 * MIB)


def one_byte_chunks(number):
    return head(number, 0) + CHUNKED + filled(b"1\r\nc\r\n", 6 * MIB)


def head_of_short_fields(number):
    return head(number, 0) + filled(SHORT_FIELD, 15_000)


def head_without_end(number):
    return head(number, 0) + b"X-Long: " + filled(b"h", 15_000)


def endless_head(number):
    return head(number, 0) + b"X-Long: " + filled(b"h", 8 * MIB)


def nothing(_number):
    return b""


def directory_queries(_number):
    request = b"GET /martenrun/resolve?name=a&region=r&zone=z1 HTTP/1.1\r\nHost: a\r\n\r\n"
    return filled(request, 24 * MIB)


def metrics_queries(_number):
    return filled(b"GET /metrics HTTP/1.1\r\nHost: a\r\n\r\n", 24 * MIB)


def long_part_ids(number):
    """Return prompts whose parts have long ids, no two alike."""
    prompts = []
    for request in range(120):
        part = b"%d-%d-" % (number, request) + filled(b"p", 14_500)
        fields = b"X-Model-Id: m\r\nX-Token-Usage: 20,5\r\nX-Prefix-Hash: %b:10,cc:10\r\n" % part
        prompts.append(head(number, request, b"/ask/x", fields) + announced(1) + b"x")
    return b"".join(prompts)


def small_requests(number):
    return b"".join(head(number, request) + announced(1) + b"x" for request in range(5_000))


def large_response(number):
    return head(number, 0) + announced(1) + b"x"


PLAYS = {
    "trailer fields": Play(1, trailers(FIELD, 16 * MIB)),
    "short trailer fields": Play(1, trailers(SHORT_FIELD, 4 * MIB)),
    "one trailer field": Play(12, one_trailer),
    "unfinished bodies": Play(30, unfinished),
    "unfinished bodies in pieces": Play(30, unfinished, piece=4_096),
    "unfinished chunked bodies": Play(30, unfinished_chunks),
    "whole bodies": Play(30, whole),
    "whole prompts": Play(30, whole_prompt),
    "pipelined bodies": Play(10, pipelined),
    "pipelined small requests": Play(30, small_requests),
    "chunks far over the limit": Play(60, oversized_chunks),
    "announced far over the limit": Play(60, announced_oversized),
    "a chunk extension": Play(30, chunk_extension),
    "empty lines": Play(30, empty_lines),
    "chunks of one byte": Play(10, one_byte_chunks),
    "heads of short fields": Play(300, head_of_short_fields),
    "a head without end": Play(60, endless_head),
    "unfinished heads on all connections": Play(
        250, head_without_end, maximum_descriptors=FEW_DESCRIPTORS
    ),
    "all connections taken": Play(250, nothing, maximum_descriptors=FEW_DESCRIPTORS),
    "long ids of parts": Play(40, long_part_ids),
    "responses of callers not read": Play(60, large_response, reads=False),
    "responses of the directory not read": Play(4, directory_queries, "directory", reads=False),
    "metrics not read": Play(2, metrics_queries, "internal", reads=False),
    "trailer fields at the directory": Play(1, trailers(FIELD, 16 * MIB), "directory"),
    "trailer fields at the readiness port": Play(1, trailers(FIELD, 16 * MIB), "ready"),
    "trailer fields at the internal port": Play(1, trailers(FIELD, 16 * MIB), "internal"),
    "unfinished bodies at the directory": Play(30, unfinished, "directory"),
    "unfinished bodies at the readiness port": Play(30, unfinished, "ready"),
    "unfinished bodies at the internal port": Play(30, unfinished, "internal"),
    "all connections of the directory taken": Play(
        250, nothing, "directory", maximum_descriptors=FEW_DESCRIPTORS
    ),
    "all connections of the readiness port taken": Play(
        250, nothing, "ready", maximum_descriptors=FEW_DESCRIPTORS
    ),
    "all connections of the internal port taken": Play(
        250, nothing, "internal", maximum_descriptors=FEW_DESCRIPTORS
    ),
}


def peak_memory_kb(router):
    status = Path(f"/proc/{router.process.pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1])


def open_descriptors(router):
    return len(list(Path(f"/proc/{router.process.pid}/fd").iterdir()))


def is_too_large(router):
    return peak_memory_kb(router) >= MEMORY_MB * 1_000


@contextlib.contextmanager
def started(maximum_descriptors=MAXIMUM_DESCRIPTORS):
    """Start a deployment of one router whose runners answer a crowd at length, or at once."""
    with PlatformDeployment(
        routers=1, maximum_descriptors=maximum_descriptors, memory_mb=MEMORY_MB
    ) as deployment:
        for runner in deployment.runners:
            runner.padding_of = response_padding
            runner.events, runner.event_pause_s = 1, 0.0
        assert_serves(deployment)
        yield deployment, deployment.routers[0]


def response_padding(request_id):
    return 4_000_000 if request_id.startswith("crowd") else 0


def in_flight(deployment, router):
    text = deployment.http.request("GET", router.url("internal", "/metrics"), timeout=1).data
    return int(re.search(rb"martenrun_requests_in_flight (\d+)", text)[1])


def assert_bounded(router, maximum_descriptors=MAXIMUM_DESCRIPTORS):
    assert router.process.poll() is None
    assert peak_memory_kb(router) < MEMORY_MB * 1_000
    assert open_descriptors(router) < maximum_descriptors


def assert_serves(deployment):
    """Check that an ordinary request of a new caller and the other ports are answered."""
    router = deployment.routers[0]
    assert deployment.ask("/pay/x", "ordinary").status == 200
    assert deployment.is_ready(router)
    assert deployment.addresses(router) == [router.front]
    # Kept connections would let the next caller pass by a crowd that takes all others.
    deployment.http.clear()


@pytest.mark.parametrize("name", PLAYS)
def test_router_outlives_clients_that_misbehave(name):
    """Guards against a router whose machine ends it, or whose connections are all taken."""
    play = PLAYS[name]
    with started(play.maximum_descriptors) as (deployment, router):
        address = f"{router.ip}:{router.ports[play.port]}"
        crowd = Crowd(address, play.clients, play.data_of, play.reads, play.piece)
        try:
            crowd.send(lambda: is_too_large(router))
            deployment.wait(lambda: in_flight(deployment, router) == 0)
            assert_bounded(router, play.maximum_descriptors)
            # The crowd's connections are still open, unless the router has closed them.
            assert_serves(deployment)
        finally:
            crowd.close()
        assert_bounded(router, play.maximum_descriptors)


MIXED = ["trailer fields", "unfinished bodies", "whole prompts", "chunks far over the limit"]


def test_router_outlives_several_crowds_that_come_back():
    """Guards against memory that is held on for each connection after it was refused."""
    with started() as (deployment, router), contextlib.ExitStack() as stack:
        for play in [PLAYS[name] for _ in range(3) for name in MIXED]:
            crowd = Crowd(router.front, play.clients, play.data_of)
            stack.callback(crowd.close)
            crowd.send(lambda: is_too_large(router))
        deployment.wait(lambda: in_flight(deployment, router) == 0)
        assert_bounded(router)
        assert_serves(deployment)


EVENTS = 20


def test_stream_in_progress_outlives_clients_that_misbehave():
    """Guards against connections of ordinary callers that give way to a crowd while served."""
    with started() as (deployment, router), contextlib.ExitStack() as stack:
        for runner in deployment.runners:
            runner.events = EVENTS
            runner.event_pause_of = lambda name: 0.05 if name == "ordinary-stream" else 0.0
        pool = stack.enter_context(ThreadPoolExecutor(1))
        stream = pool.submit(deployment.ask, "/ask/x", "ordinary-stream")
        deployment.wait(lambda: deployment.runs_of("ordinary-stream"))
        for play in [PLAYS[name] for name in MIXED]:
            crowd = Crowd(router.front, play.clients, play.data_of)
            stack.callback(crowd.close)
            crowd.send(lambda: is_too_large(router))
        assert stream.result().data.count(b"data: piece") == EVENTS


@pytest.mark.parametrize(
    "name", ["trailer fields", "unfinished bodies", "responses of callers not read"]
)
def test_router_stops_beside_clients_that_misbehave(name):
    """Guards against a planned stop that outlasts its grace, after which the router is killed."""
    play = PLAYS[name]
    with started() as (deployment, router):
        crowd = Crowd(router.front, play.clients, play.data_of, play.reads, play.piece)
        try:
            crowd.send(lambda: is_too_large(router))
            deployment.stop(router, signal.SIGTERM)
            deployment.wait(lambda: router.process.poll() is not None)
        finally:
            crowd.close()
        assert router.process.returncode == 0


def test_one_request_of_the_maximum_size_is_served():
    """Guards against limits on memory that refuse a sole request within the limits."""
    with started() as (deployment, router):
        body = bytes(BODY_BYTES)
        assert deployment.ask("/pay/x", "large", body=body).status == 200
        assert deployment.ask("/ask/x", "large-prompt", body=body).status == 200
        assert_bounded(router)
