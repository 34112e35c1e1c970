"""Raw connections: requests that never become whole, too many of them, and a server's stop."""

import socket
import threading
from contextlib import ExitStack, contextmanager

import pytest
from deployment import wait_until

from martenrun.edge.listening import stop_new_connections
from martenrun.edge.server import ConnectionLimits, HttpServer

TIMEOUT_S = 0.4
HEAD = b"POST /v1/completions HTTP/1.1\r\nHost: edge\r\nContent-Length: 1000\r\n"
WHOLE = b"GET / HTTP/1.1\r\nHost: edge\r\n\r\n"
LONG_BODY = b"x" * 1_000_000


class Application:
    """Answers with a short body; ``/long`` with a long stream."""

    def __init__(self):
        self.calls = 0

    def __call__(self, environ, start_response):
        self.calls += 1
        if environ["PATH_INFO"] == "/long":
            start_response("200 OK", [])
            return iter([LONG_BODY] * 12 + [b"the end"])
        start_response("200 OK", [("Content-Length", "2")])
        return [b"ok"]


@contextmanager
def serving(**limits):
    application = Application()
    server = HttpServer(application, "127.0.0.1:0", 4, ConnectionLimits(**limits))
    server.start()
    try:
        yield application, server
    finally:
        server.stop()


def connect(server):
    return socket.create_connection(("127.0.0.1", server.port), timeout=10)


def read_all(sock):
    received = b""
    while data := sock.recv(65_536):
        received += data
    return received


def busy_threads(server):
    return server._server.task_dispatcher.active_count


@pytest.mark.parametrize(
    "sent",
    [b"POST /v1/comp", HEAD, HEAD + b"\r\n", HEAD + b"\r\n" + b"x" * 500],
    ids=["line", "headers", "no body", "half a body"],
)
def test_half_a_request_gets_a_typed_answer_and_holds_no_thread(sent):
    with serving(receive_timeout_s=TIMEOUT_S) as (application, server), ExitStack() as stack:
        held = [stack.enter_context(connect(server)) for _ in range(8)]
        for sock in held:
            sock.sendall(sent)
        wait_until(lambda: len(server._server.active_channels) == 8, "connections", 5)
        assert busy_threads(server) == 0
        with connect(server) as other:
            other.sendall(WHOLE)
            assert other.recv(100).startswith(b"HTTP/1.1 200")
        for sock in held:
            answer = read_all(sock)
            assert b" 408 Request Timeout\r\n" in answer
            assert b"\r\nRetry-After: 1\r\n" in answer
            assert b'"code":"request_timeout","ran":"no","remedy":"Send the whole' in answer
        assert application.calls == 1


def test_an_encoding_that_is_not_served_is_refused_as_not_run():
    with serving() as (application, server), connect(server) as sock:
        sock.sendall(HEAD.replace(b"Content-Length: 1000", b"Transfer-Encoding: gzip") + b"\r\n")
        answer = read_all(sock)
    assert answer.startswith(b"HTTP/1.1 400 ")
    assert b'"code":"invalid_request","ran":"no"' in answer
    assert application.calls == 0


def test_a_request_that_trickles_in_gets_no_more_time():
    with serving(receive_timeout_s=TIMEOUT_S) as (application, server), connect(server) as sock:
        sock.sendall(HEAD + b"\r\n")
        sock.settimeout(TIMEOUT_S / 8)
        answer = b""
        for _ in range(200):
            try:
                answer = sock.recv(65_536)
                break
            except TimeoutError:
                sock.sendall(b"x")
        sock.settimeout(10)
        answer += read_all(sock)
        assert b'"code":"request_timeout"' in answer
        assert application.calls == 0


def test_connections_beyond_the_limit_are_told_so_and_served_once_there_is_room():
    with serving(maximum=3) as (application, server):
        with ExitStack() as stack:
            held = [stack.enter_context(connect(server)) for _ in range(3)]
            wait_until(lambda: len(server._server.active_channels) == 3, "connections", 5)
            with connect(server) as sock:
                # The answer must arrive although most of the body stays unread.
                sock.sendall(HEAD.replace(b"1000", b"1000000") + b"\r\n" + b"x" * 1_000_000)
                answer = read_all(sock)
            assert b" 503 Service Unavailable\r\n" in answer
            assert b"\r\nRetry-After: 1\r\n" in answer
            assert b'"code":"too_many_connections","ran":"no"' in answer
            assert application.calls == 0
            held[0].sendall(WHOLE)
            assert held[0].recv(100).startswith(b"HTTP/1.1 200")
        wait_until(lambda: not server._server.active_channels, "room", 5)
        with connect(server) as sock:
            sock.sendall(WHOLE)
            assert sock.recv(100).startswith(b"HTTP/1.1 200")


def test_a_stop_sends_what_a_slow_caller_has_not_read_yet():
    with serving() as (_application, server), connect(server) as sock:
        sock.sendall(WHOLE.replace(b"/", b"/long", 1))
        # The application has ended; its output waits in the server.
        wait_until(lambda: server._server.active_channels, "connection", 5)
        wait_until(lambda: busy_threads(server) == 0 and unsent(server) > 0, "output", 10)
        finished = threading.Thread(target=finish, args=(server,))
        finished.start()
        answer = read_all(sock)
        finished.join()
        assert answer.endswith(b"the end\r\n0\r\n\r\n")


def unsent(server):
    return sum(each.total_outbufs_len for each in list(server._server.active_channels.values()))


def finish(server):
    is_done = server.finish(10, threading.Event())
    server.stop()
    assert is_done


def test_a_stop_answers_requests_on_their_way_and_closes_idle_connections():
    with serving() as (_application, server), ExitStack() as stack:
        idle, half, waiting, new = (stack.enter_context(connect(server)) for _ in range(4))
        idle.sendall(WHOLE)
        answer = b""
        while not answer.endswith(b"ok"):
            answer += idle.recv(1_000)
        assert b"Connection: close" not in answer
        half.sendall(WHOLE[:20])
        server.begin_stop()
        waiting.sendall(WHOLE)
        assert b"\r\nConnection: close\r\n" in read_all(waiting)
        finished = threading.Thread(target=finish, args=(server,))
        finished.start()
        assert idle.recv(1) == b""
        new.sendall(WHOLE)
        assert read_all(new).startswith(b"HTTP/1.1 200")
        half.sendall(WHOLE[20:])
        assert read_all(half).startswith(b"HTTP/1.1 200")
        finished.join()
        with pytest.raises(ConnectionRefusedError):
            connect(server)


def test_before_the_close_no_connection_begins_and_none_that_has_begun_is_lost():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = listener.getsockname()
        with socket.create_connection(address) as early:
            stop_new_connections(listener)
            with pytest.raises(TimeoutError):
                socket.create_connection(address, timeout=0.2)
            early.sendall(b"asked")
            accepted, _ = listener.accept()
            with accepted:
                assert accepted.recv(5) == b"asked"
    with pytest.raises(ConnectionRefusedError):
        socket.create_connection(address)


def test_a_stop_refuses_half_a_request_instead_of_waiting_for_its_rest():
    with serving() as (application, server), connect(server) as sock:
        sock.sendall(HEAD)
        wait_until(lambda: server._server.active_channels, "connection", 5)
        finished = threading.Thread(target=finish, args=(server,))
        finished.start()
        assert b'"code":"request_timeout"' in read_all(sock)
        sock.close()
        finished.join()
        assert application.calls == 0
