"""Connections to addresses that are no IPv4 address and port."""

import gc
import os
import socket

import pytest

from martenrun.net.client import CONNECT_TIMEOUT_S, ClientConnection
from martenrun.net.loop import Loop
from martenrun.net.stream import open_stream

ADDRESSES = [
    "127.0.0.1:0",
    "127.0.0.1:65536",
    "127.0.0.1:99999",
    "127.0.0.1:-1",
    "127.0.0.1:" + "9" * 5_000,
    "127.0.0.1:\u0661",
    "127.0.0.1:80\n",
    "127.0.0.1:",
    "127.0.0.1",
    ":80",
    "256.1.1.1:80",
    "127.1:80",
    "runner.example:80",
    "a\0b:80",
    "[::1]:80",
    "",
]


class Owner:
    def on_connected(self):
        raise AssertionError("connected")

    on_data = on_closed = on_drained = on_connected


def open_descriptors():
    # Sockets of earlier tests that are still to be collected must not count.
    gc.collect()
    return len(os.listdir("/proc/self/fd"))


@pytest.fixture(autouse=True)
def lookups(monkeypatch):
    """Record look-ups of host names, which would block the loop."""
    names = []
    connect = socket.socket.connect

    def recording(sock, endpoint):
        try:
            socket.inet_pton(socket.AF_INET, endpoint[0])
        except (OSError, ValueError):
            names.append(endpoint[0])
            raise socket.gaierror("look-up") from None
        connect(sock, endpoint)

    monkeypatch.setattr("martenrun.net.stream.socket.socket.connect", recording, raising=False)
    yield names
    assert names == []


# Guards against requests that stay unanswered because a port out of range raises OverflowError.
@pytest.mark.parametrize("address", ADDRESSES)
def test_invalid_address_is_an_os_error_and_leaves_no_socket_open(address):
    loop = Loop()
    before = open_descriptors()
    with pytest.raises(OSError):
        open_stream(loop, address, Owner())
    assert open_descriptors() == before


# Guards against the timer of a connection that was never made.
@pytest.mark.parametrize("address", ADDRESSES)
def test_connection_to_an_invalid_address_leaves_no_timer(address, monkeypatch):
    loop = Loop()
    failures = []
    monkeypatch.setattr(
        "martenrun.net.periodic.log_exception", lambda _event, exc, task: failures.append(exc)
    )
    with pytest.raises(OSError):
        ClientConnection(loop, address, failures.append, failures.append)
    until = loop.now() + 1.5 * CONNECT_TIMEOUT_S
    while loop.now() < until:
        loop.run_once()
    assert failures == []
