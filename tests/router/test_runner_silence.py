"""Tests that a runner may be silent for about a second without any request failing.

A pause of its process, its machine or its link ends no response and no stream, and no request that
must not run twice is sent to another runner.
"""

import itertools
import socket
import threading
import time

import pytest
from platform_deployment import PlatformDeployment

from martenrun.net.loop import Loop
from martenrun.net.stream import OPENED_ACK_TIMEOUT_MS, open_stream

from .loopback import serve_until
from .partition_callers import UNSAFE_KINDS, DirectoryCallers, summary

PAUSES_S = (1.0, 1.25, 1.5)
BETWEEN_S = 1.0
UNREAD_S = 2.2
REQUEST_BYTES = 8_000_000
LARGEST_RETRANSMISSION_GAP_S = 3.2
"""Linux retransmits after 0.2, 0.6, 1.4 and 3.0 s: after a pause of 1.5 s only the last arrives."""


class Owner:
    def __init__(self):
        self.is_closed = False
        self.is_connected = False

    def on_connected(self):
        self.is_connected = True

    def on_data(self, data):
        pass

    def on_closed(self, is_clean):
        self.is_closed = True

    def on_drained(self):
        pass


# Guards against TCP_USER_TIMEOUT closing the connection to a runner that does not read for a while.
def test_a_connection_survives_a_peer_that_does_not_read_for_two_seconds():
    loop, owner = Loop(), Owner()
    with socket.create_server(("127.0.0.1", 0)) as listener:
        stream = open_stream(loop, f"127.0.0.1:{listener.getsockname()[1]}", owner)
        peer, _ = listener.accept()
        with peer:
            serve_until(loop, lambda: owner.is_connected)
            stream.write(bytes(REQUEST_BYTES))
            resumes_at = time.monotonic() + UNREAD_S
            serve_until(loop, lambda: time.monotonic() >= resumes_at)
            received = []

            def read_all():
                total = 0
                while total < REQUEST_BYTES and (data := peer.recv(1 << 20)):
                    total += len(data)
                received.append(total)

            reader = threading.Thread(target=read_all, daemon=True)
            reader.start()
            serve_until(loop, lambda: received or owner.is_closed)
            assert received == [REQUEST_BYTES] and not owner.is_closed
            stream.close()


# Guards against the same while the packets of a request are lost.
def test_unacknowledged_bytes_outlast_a_pause_and_the_retransmission_after_it():
    assert OPENED_ACK_TIMEOUT_MS >= LARGEST_RETRANSMISSION_GAP_S * 1000


@pytest.fixture
def deployment():
    with PlatformDeployment(routers=3, model_runners=3, plain_runners=3, has_relays=True) as it:
        for runner in it.runners:
            runner.event_pause_s = 0.15
        yield it


def wait_s(deployment, seconds):
    ends_at = time.monotonic() + seconds
    deployment.wait(lambda: time.monotonic() >= ends_at, limit_s=seconds + 5.0)


# Guards against requests that fail or run twice because a sound runner pauses.
def test_no_request_fails_while_one_runner_at_a_time_is_silent(deployment):
    callers = DirectoryCallers(deployment, 12, 0.1)
    wait_s(deployment, 1.0)
    for runner, pause_s in zip(deployment.runners, itertools.cycle(PAUSES_S), strict=False):
        relay = deployment.relays[runner.instance]
        relay.stall()
        wait_s(deployment, pause_s)
        relay.restore()
        wait_s(deployment, BETWEEN_S)
    callers.stop()
    failed = [attempt for attempt in callers.attempts if attempt.status != 200]
    assert failed == [], summary(callers.attempts)
    for attempt in callers.attempts:
        runs = len(deployment.runs_of(attempt.request_id))
        assert runs == 1 or attempt.kind not in UNSAFE_KINDS, attempt
