"""Pacing of large writes on a slow link: slices, with small writes between them."""

import itertools

import pytest

from martenrun.net.loop import Loop
from martenrun.net.pacing import LINK_SHARE, SMALL_WRITE_BYTES, Pacer
from martenrun.net.stream import Stream, listen, open_stream

from .fakes import FakeLoop
from .loopback import Peer, free_address, serve_until

SLOW_LINK = 625_000.0
"""5 Mbit/s in bytes per second."""


@pytest.fixture
def loop():
    return FakeLoop()


def paced(loop, bytes_per_s=SLOW_LINK):
    pacer = Pacer(loop.call_later, loop.now)
    pacer.set_link_rate(bytes_per_s)
    return pacer


class Writer:
    """Writes a number of bytes as fast as the pacer allows."""

    def __init__(self, loop, pacer, size):
        self.loop = loop
        self.pacer = pacer
        self.left = size
        self.sent = []
        self.write_on()

    def write_on(self):
        allowed = self.pacer.acquire(self.left)
        if allowed:
            self.sent.append((self.loop.now(), allowed))
            self.left -= allowed
        if self.left:
            self.pacer.enqueue(self.write_on)


def test_unlimited_link_allows_whole_write(loop):
    pacer = Pacer(loop.call_later, loop.now)
    assert pacer.acquire(10_000_000) == 10_000_000


def test_fast_link_allows_long_prompt_at_once(loop):
    loop.time += 1.0
    pacer = paced(loop, 125_000_000.0)
    loop.run_until(loop.now() + 1.0)
    assert pacer.acquire(110_000) == 110_000


def test_slow_link_is_never_occupied_longer_than_a_slice(loop):
    writer = Writer(loop, paced(loop), 110_000)
    began = loop.now()
    loop.run_until(began + 1.0)
    assert writer.left == 0
    for (earlier, size), (later, _) in itertools.pairwise(writer.sent):
        assert size / SLOW_LINK < 0.01
        assert later - earlier >= size / SLOW_LINK
    duration_s = writer.sent[-1][0] - began
    assert 110_000 / SLOW_LINK <= duration_s < 1.3 * 110_000 / (SLOW_LINK * LINK_SHARE)


def test_small_writes_are_sent_between_slices_and_slow_large_writes_down(loop):
    pacer = paced(loop)
    writer = Writer(loop, pacer, 40_000)
    alone = Writer(loop, paced(loop), 40_000)
    for _ in range(40):
        assert pacer.acquire(SMALL_WRITE_BYTES) == SMALL_WRITE_BYTES
        loop.run_until(loop.now() + 0.005)
    loop.run_until(loop.now() + 1.0)
    assert writer.left == 0
    assert writer.sent[-1][0] > alone.sent[-1][0]


def test_large_writes_take_turns(loop):
    pacer = paced(loop)
    first, second = Writer(loop, pacer, 60_000), Writer(loop, pacer, 60_000)
    loop.run_until(loop.now() + 0.15)
    assert first.left and second.left
    assert abs(first.left - second.left) <= 8_192
    loop.run_until(loop.now() + 1.0)
    assert first.left == second.left == 0


def test_new_writer_does_not_overtake_queued_ones(loop):
    pacer = paced(loop)
    Writer(loop, pacer, 60_000)
    assert pacer.acquire(60_000) == 0


class Owner:
    def on_connected(self):
        pass

    def on_data(self, data):
        pass

    def on_closed(self, is_clean):
        pass

    def on_drained(self):
        pass


def test_paced_write_arrives_complete_before_shutdown():
    loop = Loop()
    loop.pacer.set_link_rate(2_000_000.0)
    address = free_address()
    accepted = []
    listen(loop, address, accepted.append)
    stream = open_stream(loop, address, Owner())
    data = bytes(range(256)) * 400
    stream.write(data[:50_000])
    stream.write(data[50_000:])
    stream.finish()
    serve_until(loop, lambda: accepted)
    peer = Peer(accepted[0])
    serve_until(loop, lambda: peer.read() is not None and peer.is_closed)
    assert peer.received == data


def test_small_write_of_another_stream_arrives_before_end_of_large_one():
    loop = Loop()
    loop.pacer.set_link_rate(200_000.0)
    address = free_address()
    accepted = []
    listen(loop, address, accepted.append)
    large, small = open_stream(loop, address, Owner()), open_stream(loop, address, Owner())
    serve_until(loop, lambda: len(accepted) == 2)
    peers = [Peer(sock) for sock in accepted]
    large.write(b"x" * 100_000)
    small.write(b"event")
    serve_until(loop, lambda: any(peer.read() == b"event" for peer in peers))
    assert large.unsent_bytes > 0
    large.close()
    small.write(b"!" * 50_000)
    serve_until(loop, lambda: any(peer.read().endswith(b"!" * 50_000) for peer in peers))


def test_responses_on_accepted_connections_are_not_paced():
    """Responses carry the configuration to other routers, which must have it within seconds."""
    loop = Loop()
    loop.pacer.set_link_rate(20_000.0)
    address = free_address()
    accepted = []
    listen(loop, address, accepted.append)
    peer = Peer.connected(address)
    serve_until(loop, lambda: accepted)
    response = b"x" * 100_000
    Stream(loop, accepted[0], Owner()).write(response)
    serve_until(loop, lambda: len(peer.read()) > 0)
    assert not loop.pacer.has_queued_writers
    serve_until(loop, lambda: peer.read() == response)
