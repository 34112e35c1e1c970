"""Forwarding of requests through other routers while the runners are unreachable from this one."""

from types import SimpleNamespace

import attrs
import pytest

from martenrun.router import peer_attempt
from martenrun.router.forwarded_request import ForwardedState
from martenrun.router.messages import RouteKind
from martenrun.router.peer_route import MAXIMUM_PEERS
from martenrun.router.request_moves import move_off_silent_runner
from martenrun.router.retry import MAXIMUM_SENDS

from .builders import route, state
from .test_forwarding import FakeConnection, ForwardingCase

SIGNED = [(b"X-Response-Stamp", b"s")]
LEAVING = (b"Server-Leaving", b"1")
EVENT_STREAM = [*SIGNED, (b"Content-Type", b"text/event-stream")]


class PeerConnections:
    """Replaces connections to other routers and records what is sent on them."""

    def __init__(self, monkeypatch):
        self.addresses = []
        self.sent = []
        self.readers = []
        self.connections = []
        monkeypatch.setattr(peer_attempt, "ClientConnection", self)

    def __call__(self, loop, address, on_idle, on_end):
        self.addresses.append(address)
        connection = FakeConnection()
        connection.send = self.send
        self.connections.append(connection)
        return connection

    def send(self, head, reader, body):
        self.sent.append(head + body)
        self.readers.append(reader)

    def close(self, connection):
        connection.close()

    def respond(self, status=200, headers=SIGNED, body=b"ok"):
        reader = self.readers[-1]
        reader.on_sent()
        reader.on_head(status, headers, len(body))
        reader.on_body(body)
        reader.on_complete()


@pytest.fixture
def peers(monkeypatch):
    return PeerConnections(monkeypatch)


def lose_runners(case, count=2):
    now = case.loop.now()
    for item in case.states[:count]:
        case.services.reachability.record_failure("s", item.runner.instance, now)


def partitioned_case(addresses=("p-1", "p-2", "p-3", "p-4"), **options):
    def setup(case):
        lose_runners(case)
        case.services.peers_reaching = lambda _service: list(addresses)

    return ForwardingCase(setup=setup, **options)


def forwarded_case(script=(), **options):
    """Return the case of a request that another router has forwarded."""

    def setup(case):
        lose_runners(case)
        case.services.peers_reaching = lambda _service: ["p-1"]
        admitted = case.forwarder.admitted
        call = attrs.evolve(admitted.call, forwarded=ForwardedState(100, 0, 0))
        case.forwarder.__init__(
            case.services,
            case.exchange,
            attrs.evolve(admitted, call=call),
            lambda _forwarder: None,
        )

    return ForwardingCase(script, setup=setup, **options)


def test_a_request_is_forwarded_at_once_and_its_response_returned(peers):
    case = partitioned_case()
    assert peers.addresses == ["p-1"] and case.pool.sent == []
    assert peers.sent[0].startswith(b"POST /forwarded/a/x HTTP/1.1\r\n")
    peers.respond()
    assert case.exchange.responses == [(200, dict(SIGNED), b"ok")]
    assert case.outcomes == ["served"]


def test_requests_go_to_runners_while_these_are_reachable(peers):
    case = ForwardingCase(
        setup=lambda case: setattr(case.services, "peers_reaching", lambda _service: ["p-1"])
    )
    assert peers.addresses == [] and len(case.pool.sent) == 1


# Guards against requests that circulate between partitioned routers.
def test_a_forwarded_request_is_not_forwarded_again(peers):
    case = forwarded_case()
    assert peers.addresses == [] and len(case.pool.sent) == 1


# Guards against requests to a runner whose drain was announced while another router reached it.
def test_a_drain_announced_in_a_forwarded_response_is_recorded(peers):
    case = partitioned_case()
    peers.respond(headers=[*SIGNED, LEAVING, (b"Martenrun-Instance", b"i-2")])
    assert [item.is_draining for item in case.states] == [False, False, True]
    assert case.exchange.responses == [(200, dict([*SIGNED, LEAVING]), b"ok")]


@pytest.mark.parametrize("status", [200, 500])
def test_a_response_to_a_forwarded_request_names_a_draining_instance(peers, status):
    spoofed = (b"Martenrun-Instance", b"i-9")
    response = (status, [*SIGNED, LEAVING, spoofed], b"ok")
    case = forwarded_case([response], custom_route=route(kind=RouteKind.UNSAFE)).run(0.1)
    _, headers, _ = case.exchange.responses[0]
    assert headers[b"Martenrun-Instance"].decode() == case.pool.sent[0]


def test_a_response_to_a_forwarded_request_names_no_instance_that_stays(peers):
    case = forwarded_case([(200, SIGNED, b"ok")]).run(0.1)
    assert case.exchange.responses == [(200, dict(SIGNED), b"ok")]


# Guards against a service of which some runners are down and no router knows the others.
def test_other_runners_are_tried_if_no_other_router_reaches_the_service(peers):
    case = partitioned_case(addresses=(), states=[state(f"i-{n}") for n in range(5)])
    failed = case.pool.sent[0]
    case.pool.readers[0].on_broken(False)
    assert len(case.pool.sent) == 2 and case.pool.sent[1] != failed


def test_a_request_is_refused_at_once_if_no_router_reaches_any_runner(peers):
    case = partitioned_case(addresses=())
    assert len(case.pool.sent) == 1
    lose_runners(case, len(case.states))
    case.pool.readers[0].on_broken(False)
    status, headers, _ = case.exchange.responses[0]
    assert status == 503 and 0.3 <= float(headers[b"Retry-After"]) <= 1.2
    assert len(case.pool.sent) == 1


def test_a_failed_connection_to_a_router_leads_to_another_one(peers):
    case = partitioned_case(custom_route=route(kind=RouteKind.UNSAFE))
    peers.readers[0].on_broken(False)
    assert peers.addresses == ["p-1", "p-2"]
    peers.respond()
    assert case.exchange.responses[0][0] == 200


def test_a_request_is_refused_after_the_maximum_number_of_routers(peers):
    case = partitioned_case()
    lose_runners(case, len(case.states))
    for number in range(MAXIMUM_PEERS):
        peers.readers[number].on_broken(False)
    assert len(peers.addresses) == MAXIMUM_PEERS < MAXIMUM_SENDS
    assert case.exchange.responses[0][0] == 503


# Guards against a second run of a request whose second router died while it was running.
@pytest.mark.parametrize("kind", [RouteKind.UNSAFE, RouteKind.STREAM])
def test_an_unrepeatable_request_is_not_sent_again_if_the_other_router_dies(peers, kind):
    case = partitioned_case(custom_route=route(kind=kind))
    peers.readers[0].on_sent()
    peers.readers[0].on_broken(True)
    assert peers.addresses == ["p-1"]
    assert case.exchange.responses[0][0] == 502


def test_a_repeatable_request_is_sent_again_within_the_retry_budget(peers):
    case = partitioned_case()
    peers.readers[0].on_sent()
    peers.readers[0].on_broken(True)
    assert peers.addresses == ["p-1", "p-2"]
    assert b"Martenrun-Forwarded: 0,1,0\r\n" in peers.sent[1]
    peers.respond()
    assert case.exchange.responses[0][0] == 200
    spent = partitioned_case(budget_slack=0.0)
    peers.readers[2].on_sent()
    peers.readers[2].on_broken(True)
    assert len(peers.addresses) == 3 and spent.exchange.responses[0][0] == 502


def test_refusals_and_errors_of_the_other_router_are_returned_unchanged(peers):
    for status, headers in ((503, [(b"Retry-After", b"0.25")]), (504, []), (500, SIGNED)):
        case = partitioned_case()
        peers.respond(status, headers, b"")
        assert case.exchange.responses == [(status, dict(headers), b"")]


# Guards against a response without the runner's signature that is returned as a success.
def test_an_unsigned_success_is_not_returned(peers):
    case = partitioned_case(custom_route=route(kind=RouteKind.UNSAFE))
    peers.respond(200, [], b"forged")
    assert [response[0] for response in case.exchange.responses] == [502]


def test_the_callers_disconnect_closes_the_connection_to_the_other_router(peers):
    case = partitioned_case()
    case.exchange.on_disconnect()
    assert peers.connections[0].is_closed and case.outcomes == ["caller_left"]


def test_a_resumable_stream_continues_at_another_router_after_its_last_event(peers):
    resumable = route(kind=RouteKind.STREAM, is_resumable=True)
    case = partitioned_case(custom_route=resumable)
    reader = peers.readers[0]
    reader.on_sent()
    reader.on_head(200, EVENT_STREAM, None)
    reader.on_body(b"id: 1\ndata: x\n\nid: 2\nda")
    reader.on_broken(True)
    assert b"Martenrun-Forwarded: 0,1,1\r\n" in peers.sent[1]
    reader = peers.readers[1]
    reader.on_sent()
    reader.on_head(200, EVENT_STREAM, None)
    reader.on_body(b"id: 2\ndata: y\n\n")
    reader.on_complete()
    assert case.exchange.responses == [b"id: 1\ndata: x\n\n", b"id: 2\ndata: y\n\n"]
    assert case.exchange.is_over and not case.exchange.is_aborted


def test_a_silent_request_leaves_a_runner_that_has_become_unreachable(peers):
    case = ForwardingCase()
    case.services.peers_reaching = lambda _service: ["p-1"]
    case.services.silent_runners = SimpleNamespace(is_down=lambda _state, _now: True)
    lose_runners(case)
    move_off_silent_runner(case.services, case.forwarder, case.loop.now() + 1.4)
    assert peers.addresses == []
    move_off_silent_runner(case.services, case.forwarder, case.loop.now() + 1.6)
    assert peers.addresses == ["p-1"] and case.pool.connections[0].is_closed


def test_an_unrepeatable_request_stays_at_a_silent_runner(peers):
    case = ForwardingCase(custom_route=route(kind=RouteKind.UNSAFE))
    case.services.peers_reaching = lambda _service: ["p-1"]
    case.services.silent_runners = SimpleNamespace(is_down=lambda _state, _now: True)
    lose_runners(case)
    move_off_silent_runner(case.services, case.forwarder, case.loop.now() + 1.9)
    assert peers.addresses == [] and not case.pool.connections[0].is_closed
