"""Tests of how FaultyRelay propagates the close of a connection."""

import contextlib
import socket
import threading
import time

from faulty_relay import FaultyRelay

WRITE_INTERVAL_S = 0.25
MAX_EVENTS = 12
WRITES_UNTIL_ERROR = 2
"""After the peer closes, the first write is answered with a reset and the second fails."""


def write_events(listener, end_times):
    """Write events at a fixed interval until a write fails, then record the time."""
    sock, _ = listener.accept()
    never_set = threading.Event()
    with sock:
        try:
            for _ in range(MAX_EVENTS):
                sock.sendall(b"event")
                never_set.wait(WRITE_INTERVAL_S)
        except OSError:
            pass
        end_times.append(time.monotonic())


def test_client_close_fails_writes_of_the_target():
    """Guards against a relay that keeps reading from the target after the client has closed."""
    end_times = []
    with socket.create_server(("127.0.0.1", 0)) as listener:
        port = listener.getsockname()[1]
        relay = FaultyRelay(f"127.0.0.1:{port}")
        writer = threading.Thread(target=write_events, args=(listener, end_times))
        writer.start()
        host, _, relay_port = relay.address.rpartition(":")
        with socket.create_connection((host, int(relay_port)), 5.0) as client:
            assert client.recv(5) == b"event"
        closed_at = time.monotonic()
        writer.join()
        relay.close()
    assert end_times[0] - closed_at < (WRITES_UNTIL_ERROR + 1) * WRITE_INTERVAL_S


def fill_queue(listener):
    """Fill the listener's accept queue; the next connect completes only with a later packet."""
    connections = []
    while True:
        sock = socket.socket()
        sock.settimeout(0.2)
        try:
            sock.connect(listener.getsockname())
        except TimeoutError:
            sock.close()
            return connections
        connections.append(sock)


# Guards against requests that start at a runner long after their sender has closed.
def test_a_request_is_not_delivered_if_its_sender_closed_before_the_target_accepted():
    with socket.socket() as listener, contextlib.ExitStack() as stack:
        listener.bind(("127.0.0.1", 0))
        listener.listen(0)
        listener.settimeout(5.0)
        connections = [stack.enter_context(sock) for sock in fill_queue(listener)]
        relay = FaultyRelay(f"127.0.0.1:{listener.getsockname()[1]}")
        stack.callback(relay.close)
        host, _, relay_port = relay.address.rpartition(":")
        with socket.create_connection((host, int(relay_port)), 5.0) as client:
            client.sendall(b"request")
        for _ in connections:
            stack.enter_context(listener.accept()[0])
        relayed = stack.enter_context(listener.accept()[0])
        assert relayed.recv(7) == b""
