"""The HTTP server: framing, limits, order, caller disconnects, aborted responses."""

import attrs
import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from martenrun.net.loop import Loop
from martenrun.net.server import Server, ServerLimits

from .loopback import Peer, free_address, serve_until


@attrs.define
class Served:
    loop: Loop
    server: Server
    exchanges: list
    address: str

    def connect(self):
        return Peer.connected(self.address)

    def until(self, condition):
        serve_until(self.loop, condition)


@pytest.fixture
def served():
    loop = Loop()
    exchanges = []
    address = free_address()
    server = Server(loop, address, exchanges.append)
    return Served(loop, server, exchanges, address)


GET = b"GET /p/x?q=%20 HTTP/1.1\r\nHost: a\r\n\r\n"


def test_a_whole_request_is_handed_on_unchanged_and_answered(served):
    peer = served.connect()
    peer.send(b"POST /p/%7e?b HTTP/1.1\r\nHost: a\r\nX-A: 1\r\nContent-Length: 3\r\n\r\nxyz")
    served.until(lambda: served.exchanges)
    request = served.exchanges[0].request
    assert (request.method, request.target, request.body) == (b"POST", b"/p/%7e?b", b"xyz")
    served.exchanges[0].respond(200, [(b"X-B", b"2")], b"hello")
    served.until(lambda: peer.read().endswith(b"hello"))
    assert b"Content-Length: 5" in peer.received
    assert not peer.is_ended


@settings(max_examples=25, suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(st.lists(st.integers(1, 60), max_size=6))
def test_a_request_is_the_same_however_it_is_cut(served, cuts):
    served.exchanges.clear()
    head = b"POST /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
    data = head + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
    peer = served.connect()
    for cut in cuts:
        peer.send(data[:cut])
        data = data[cut:]
        served.loop.call_later(0, lambda: None)
        served.loop.run_once()
    peer.send(data)
    served.until(lambda: served.exchanges)
    assert served.exchanges[0].request.body == b"abcde"
    peer.close()


def test_requests_sent_together_are_answered_in_order(served):
    peer = served.connect()
    peer.send(GET + GET.replace(b"/p/x", b"/p/y"))
    served.until(lambda: served.exchanges)
    assert len(served.exchanges) == 1
    served.exchanges[0].respond(200, [], b"first")
    served.until(lambda: len(served.exchanges) == 2)
    served.exchanges[1].respond(200, [], b"second")
    served.until(lambda: peer.read().endswith(b"second"))
    assert peer.received.index(b"first") < peer.received.index(b"second")


POST = b"POST / HTTP/1.1\r\nHost: a\r\n"
EVIL = b"GET /evil HTTP/1.1\r\nHost: a\r\n\r\n"

SMUGGLED = [
    POST + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" + EVIL,
    POST + b"Content-Length: 1\r\nContent-Length: 30\r\n\r\nx" + EVIL,
    POST + b"Content-Length: +1\r\n\r\nx" + EVIL,
    POST + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nx\r\n0\r\n\r\n",
    b"GET / HTTP/9.9\r\n\r\n",
    b"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
]


@pytest.mark.parametrize("data", SMUGGLED)
def test_ambiguous_framing_is_refused_and_nothing_of_it_served(served, data):
    peer = served.connect()
    peer.send(data)
    served.until(lambda: peer.read() and peer.is_ended)
    assert peer.received.startswith(b"HTTP/1.1 400")
    assert served.exchanges == []


@settings(max_examples=40, suppress_health_check=[HealthCheck.function_scoped_fixture])
@given(st.binary(max_size=200))
def test_no_bytes_end_the_server(served, data):
    peer = served.connect()
    peer.send(data)
    peer.close()
    other = served.connect()
    before = len(served.exchanges)
    other.send(GET)
    served.until(lambda: len(served.exchanges) > before)
    other.close()


def test_limits_are_answered_and_the_connection_ends(served):
    served.server.limits = ServerLimits(
        maximum_header_bytes=200, maximum_body_bytes=10, header_timeout_s=0.3
    )
    long_head, long_body, long_chunks, slow = (served.connect() for _ in range(4))
    long_head.send(b"GET / HTTP/1.1\r\nX: " + b"a" * 300)
    long_body.send(b"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 11\r\n\r\n")
    long_chunks.send(
        b"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nb\r\naaaaaaaaaaa\r\n"
    )
    slow.send(b"GET / HT")
    peers = (long_head, long_body, long_chunks, slow)
    served.until(lambda: all(peer.read() and peer.is_ended for peer in peers))
    statuses = [peer.received.split(b" ")[1] for peer in peers]
    assert statuses == [b"431", b"413", b"413", b"408"]
    assert served.exchanges == []


def test_resting_connections_end_without_an_answer(served):
    served.server.limits = ServerLimits(idle_timeout_s=0.2)
    peer = served.connect()
    served.until(lambda: peer.read() == b"" and peer.is_ended)


def test_a_caller_that_leaves_is_noticed(served):
    peer = served.connect()
    peer.send(GET)
    served.until(lambda: served.exchanges)
    gone = []
    served.exchanges[0].on_gone = lambda: gone.append(True)
    peer.close()
    served.until(lambda: gone)
    assert served.exchanges[0].is_over
    assert served.server.connections == 0


def test_an_answer_that_is_broken_off_does_not_look_complete(served):
    chunked, sized = served.connect(), served.connect()
    for peer, length in ((chunked, None), (sized, 10)):
        peer.send(GET)
        served.until(lambda: served.exchanges)
        exchange = served.exchanges.pop()
        exchange.start(200, [], length)
        exchange.send(b"part")
        served.until(lambda peer=peer: b"part" in peer.read())
        exchange.abort()
        served.until(lambda peer=peer: peer.read() and peer.is_ended)
    assert not chunked.received.endswith(b"0\r\n\r\n")
    assert sized.received.endswith(b"part")


def test_a_draining_server_tells_callers_and_ends_their_connections(served):
    served.server.is_draining = True
    peer = served.connect()
    peer.send(GET)
    served.until(lambda: served.exchanges)
    served.exchanges[0].respond(200, [], b"ok")
    served.until(lambda: peer.read() and peer.is_ended)
    assert b"Connection: close" in peer.received


def test_a_slow_reader_is_told_and_holds_little_memory(served):
    peer = served.connect()
    peer.send(GET)
    served.until(lambda: served.exchanges)
    exchange = served.exchanges[0]
    drained = []
    exchange.on_drained = lambda: drained.append(True)
    exchange.start(200, [], None)
    while not exchange.is_congested:
        exchange.send(b"x" * 65536)
    served.until(lambda: peer.read() and drained)
    assert not exchange.is_congested


def test_many_connections_leave_nothing_behind(served):
    peers = [served.connect() for _ in range(200)]
    served.until(lambda: served.server.connections == 200)
    for peer in peers:
        peer.close()
    served.until(lambda: served.server.connections == 0)


def test_connections_beyond_the_most_are_closed_and_the_rest_served(served):
    served.server._maximum_connections = 3
    first = [served.connect() for _ in range(3)]
    served.until(lambda: served.server.connections == 3)
    beyond = served.connect()
    served.until(lambda: beyond.read() == b"" and beyond.is_ended)
    first[0].send(GET)
    served.until(lambda: served.exchanges)
    first[1].close()
    served.until(lambda: served.server.connections == 2)
    again = served.connect()
    served.until(lambda: served.server.connections == 3)
    again.close()
