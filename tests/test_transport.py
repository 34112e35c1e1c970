"""The transport against strangers, frozen peers, garbage and too much of everything."""

import contextlib
import queue
import socket
import struct
import threading

import pytest
from deployment import free_address, wait_until

from martenrun.constants import MAXIMUM_DATAGRAM_BYTES
from martenrun.wire import connection, limits, transport
from martenrun.wire.codec import PROTOCOL_VERSION, encode
from martenrun.wire.connection import Connection
from martenrun.wire.frames import FrameError, open_datagram, seal_datagram
from martenrun.wire.keys import ClusterKeys
from martenrun.wire.messages import ConfigurationObject, Queued
from martenrun.wire.transport import PeerTransport, parse_address

SECRET = b"0123456789abcdef"
KEYS = ClusterKeys(SECRET)
MESSAGE = Queued("r", 1, 0.5)


@contextlib.contextmanager
def server():
    address = free_address()
    received = queue.Queue()
    running = PeerTransport(address, KEYS, lambda peer, message: received.put((peer, message)))
    running.listen(address)
    running.start()
    try:
        yield running, received
    finally:
        running.stop()


def assert_serves(running, received):
    """Check that an honest peer is still served."""
    client = PeerTransport("agent/honest", KEYS, lambda peer, message: None)
    client.start()
    try:
        client.send(running.name, MESSAGE)
        assert received.get(timeout=10) == ("agent/honest", MESSAGE)
    finally:
        client.stop()


def stranger_of(running):
    return socket.create_connection(parse_address(running.name), timeout=10)


def recorded_hello():
    return bytes(Connection(None, "agent/recorded", KEYS, "x", is_connector=True).outgoing)


@pytest.mark.parametrize(
    "data",
    [b"GET / HTTP/1.1\r\n\r\n", struct.pack("!I", 2_000_000) + b"x" * 4096, b"\x00" * 64],
    ids=["garbage", "oversize", "short-frame"],
)
def test_a_stranger_is_sent_nothing_and_is_closed(data):
    with server() as (running, received):
        with stranger_of(running) as stranger:
            stranger.sendall(data)
            with contextlib.suppress(ConnectionResetError):
                assert stranger.recv(4096) == b""
        assert_serves(running, received)


def test_the_sender_is_told_of_an_ended_connection_and_of_one_that_can_not_be_opened():
    ended = queue.Queue()
    client = PeerTransport("agent/honest", KEYS, lambda peer, message: None, ended.put)
    client.start()
    try:
        with server() as (running, received):
            client.send(running.name, MESSAGE)
            received.get(timeout=10)
            assert ended.empty()
        assert ended.get(timeout=10) == running.name
        # Refused by the machine; then not even tried, because another try is not due yet.
        for _ in range(2):
            client.send(running.name, MESSAGE)
            assert ended.get(timeout=10) == running.name
    finally:
        client.stop()


def test_a_silent_stranger_is_closed_after_the_handshake_time(monkeypatch):
    monkeypatch.setattr(transport, "HANDSHAKE_TIMEOUT_S", 0.2)
    with server() as (running, _received), stranger_of(running) as stranger:
        assert stranger.recv(4096) == b""


def test_a_member_of_the_protocol_version_before_is_closed_unanswered(monkeypatch):
    with monkeypatch.context() as before:
        before.setattr(connection, "PROTOCOL_VERSION", PROTOCOL_VERSION - 1)
        hello = recorded_hello()
    with server() as (running, received):
        with stranger_of(running) as older:
            older.sendall(hello)
            with contextlib.suppress(ConnectionResetError):
                assert older.recv(4096) == b""
        assert_serves(running, received)


def test_a_repeated_hello_does_not_take_over_the_peers_name():
    with server() as (running, _received), stranger_of(running) as stranger:
        stranger.sendall(recorded_hello())
        assert len(stranger.recv(4096)) > 0
        assert "agent/recorded" not in running._connections


def test_many_strangers_do_not_shut_out_a_peer(monkeypatch):
    monkeypatch.setattr(transport, "MAXIMUM_UNESTABLISHED", 8)
    with server() as (running, received), contextlib.ExitStack() as strangers:
        for _ in range(40):
            strangers.enter_context(stranger_of(running))
        wait_until(lambda: len(running._unestablished) == 8, "the limit", 10)
        assert_serves(running, received)


def test_a_peer_that_stops_reading_is_dropped_and_memory_stays_bounded(monkeypatch):
    monkeypatch.setattr(transport, "STUCK_TIMEOUT_S", 0.5)
    message = ConfigurationObject("pools", "p", 1, False, b"x" * 500_000)
    with server() as (running, _received), contextlib.closing(socket.socket()) as frozen:
        frozen.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        frozen.connect(parse_address(running.name))
        handshake = Connection(frozen, "agent/frozen", KEYS, "x", is_connector=True)
        frozen.sendall(handshake.outgoing)
        handshake.outgoing.clear()
        handshake.receive(frozen.recv(4096))
        frozen.sendall(handshake.outgoing)
        wait_until(lambda: "agent/frozen" in running._connections, "handshake", 10)
        connection = running._connections["agent/frozen"]
        for _ in range(10):
            running.send("agent/frozen", message)
        wait_until(lambda: not running._commands, "sending", 10)
        assert connection.queued_bytes <= limits.MAXIMUM_OUTGOING_BYTES
        wait_until(lambda: "agent/frozen" not in running._connections, "the end", 10)
        assert not running._stuck


def test_what_waits_for_an_unreachable_peer_is_bounded(monkeypatch):
    monkeypatch.setattr(transport, "MAXIMUM_TOTAL_OUTGOING_BYTES", 10_000)
    with contextlib.closing(socket.create_server(("127.0.0.1", 0))) as silent:
        address = f"127.0.0.1:{silent.getsockname()[1]}"
        with server() as (running, _received):
            for _ in range(50):
                running.send(address, ConfigurationObject("pools", "p", 1, False, b"x" * 1_000))
            wait_until(lambda: not running._commands, "sending", 10)
            assert running._connections[address].queued_bytes <= 10_000


def test_messages_of_several_threads_arrive_whole_and_in_each_threads_order():
    sizes = [10, 200_000, 10, 10, 60_000] * 6

    def send_all(sender, name):
        for number, size in enumerate(sizes):
            sender.send(running.name, ConfigurationObject(name, "", number, False, b"x" * size))

    with server() as (running, received), server() as (sender, _):
        names = ("a", "b", "c")
        threads = [threading.Thread(target=send_all, args=(sender, name)) for name in names]
        for thread in threads:
            thread.start()
        found = [received.get(timeout=10)[1] for _ in range(len(names) * len(sizes))]
        for thread in threads:
            thread.join()
    for name in names:
        own = [(each.revision, len(each.document)) for each in found if each.kind == name]
        assert own == list(enumerate(sizes))


def test_a_message_sent_after_the_stop_is_dropped():
    with server() as (running, received), server() as (sender, _):
        sender.send(running.name, MESSAGE)
        received.get(timeout=10)
        sender.stop()
        sender.send(running.name, MESSAGE)
    assert received.empty()


def test_attempts_to_connect_back_off_and_end_with_success():
    backoffs = limits.Backoffs()
    pauses = []
    now = 0.0
    for _ in range(8):
        backoffs.failed("p", now)
        before = now
        while not backoffs.may_connect("p", now):
            now += 0.01
        pauses.append(now - before)
    assert pauses[0] <= 0.12
    assert 0.9 <= pauses[-1] <= limits.LAST_BACKOFF_S + 0.02
    backoffs.succeeded("p")
    assert backoffs.may_connect("p", 0.0)


def test_a_peer_restarted_at_its_address_is_reached_again():
    with server() as (running, _received):
        address = free_address()
        for _ in range(2):
            answers = queue.Queue()
            peer = PeerTransport(address, KEYS, lambda _, m, box=answers: box.put(m))
            peer.listen(address)
            peer.start()

            def reached(box=answers):
                running.send(address, MESSAGE)
                return not box.empty()

            try:
                wait_until(reached, "delivery", 10)
            finally:
                peer.stop()


def test_datagrams_reach_a_node_and_a_strangers_do_not():
    with server() as (running, received), server() as (other, _):
        with contextlib.closing(socket.socket(socket.AF_INET, socket.SOCK_DGRAM)) as stranger:
            wrong = seal_datagram(b"another-secret--", "x", encode(MESSAGE))
            for data in (b"", b"\x00" * 40, wrong, wrong[:20], b"x" * 60_000):
                stranger.sendto(data, parse_address(running.name))
        other.send_datagram(running.name, MESSAGE)
        assert received.get(timeout=10) == (other.name, MESSAGE)
        assert received.empty()


def test_a_datagram_has_a_size_limit_and_names_its_sender():
    opened = open_datagram([SECRET], seal_datagram(SECRET, "n", b"abc"))
    assert (opened.sender, opened.payload) == ("n", b"abc")
    with pytest.raises(FrameError):
        seal_datagram(SECRET, "n", b"x" * MAXIMUM_DATAGRAM_BYTES)
