"""The HTTP server: stopping cleanly, and more connections than select() can name."""

import resource
import socket
import threading
from concurrent.futures import ThreadPoolExecutor

import pytest
import urllib3
from deployment import free_address

from martenrun.edge.server import HttpServer
from martenrun.wire.transport import parse_address

SELECT_LIMIT = 1_024


def application(environ, start_response):
    start_response("200 OK", [("Content-Length", "2")])
    return [b"ok"]


@pytest.fixture
def server():
    address = free_address()
    running = HttpServer(application, address, threads=200)
    running.start()
    yield address, running
    running.stop()


@pytest.fixture
def failures(monkeypatch):
    seen = []
    monkeypatch.setattr(threading, "excepthook", seen.append)
    return seen


def test_a_server_stops_without_failing_and_frees_its_address(server, failures):
    address, running = server
    with socket.create_connection(parse_address(address)) as idle:
        assert urllib3.request("GET", f"http://{address}/").data == b"ok"
        running.stop()
        assert idle.recv(1) == b""
    assert failures == []
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(parse_address(address))


def test_a_server_woken_by_another_thread_in_the_middle_of_a_stop_stops_cleanly(server, failures):
    address, running = server
    trigger = running._server.trigger
    pull = trigger._physical_pull

    def pull_twice():
        # What a worker thread does that ends its answer at this moment.
        pull()
        running._thread.join(timeout=0.3)
        pull()

    trigger._physical_pull = pull_twice
    running.stop()
    assert not running._thread.is_alive()
    assert failures == []
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(parse_address(address))


def test_connections_beyond_the_limit_of_select_are_served(server, failures):
    soft, _hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    if soft < 2 * SELECT_LIMIT + 500:
        pytest.skip("the machine's limit of open files is too low for this")
    address, _running = server
    held = [socket.create_connection(parse_address(address)) for _ in range(SELECT_LIMIT // 2 + 50)]
    try:
        assert urllib3.request("GET", f"http://{address}/").data == b"ok"
    finally:
        for sock in held:
            sock.close()
    assert failures == []


def test_threads_are_started_when_requests_need_them_and_up_to_the_limit():
    limit, together = 12, 10
    meeting = threading.Barrier(together)

    def waits_for_others(environ, start_response):
        meeting.wait(timeout=10)
        return application(environ, start_response)

    def server_threads():
        return [each for each in threading.enumerate() if each.name.startswith("waitress-")]

    before = len(server_threads())
    address = free_address()
    running = HttpServer(waits_for_others, address, threads=limit)
    running.start()
    try:
        assert len(server_threads()) - before < together
        with ThreadPoolExecutor(together) as callers:
            for _ in range(3):
                answers = [
                    callers.submit(urllib3.request, "GET", f"http://{address}/")
                    for _ in range(together)
                ]
                assert all(answer.result().data == b"ok" for answer in answers)
        assert together <= len(server_threads()) - before <= limit
    finally:
        running.stop()
