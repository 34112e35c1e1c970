"""A machine is suspended: the clock has gone on, timers and sockets have not."""

import pytest

from martenrun.net import clock
from martenrun.net.client import CONNECT_TIMEOUT_S
from martenrun.net.loop import Loop
from martenrun.net.pacing import Pacer
from martenrun.net.server import Server
from martenrun.platform import DIALECT
from martenrun.router.lease import Lease
from martenrun.router.retry_budget import RetryBudget
from martenrun.router.runner_pool import RunnerPool
from martenrun.router.store_state import ConfigurationState

from .builders import bounds, configuration, route, runner
from .fakes import FakeLoop, FakeStore
from .loopback import Peer, free_address, serve_until
from .test_forwarding import GOOD, Played

SUSPENDED_S = 4.0


@pytest.fixture
def suspend(monkeypatch):
    """Let the clock jump while the real one goes on."""
    read = clock._read
    jumped_s = 0.0

    def jump(seconds=SUSPENDED_S):
        nonlocal jumped_s
        jumped_s += seconds

    monkeypatch.setattr(clock, "_read", lambda: read() + jumped_s)
    return jump


def test_timers_that_ended_meanwhile_are_due_on_resume(suspend):
    loop = Loop()
    served = []
    loop.call_later(3.0, lambda: served.append(loop.now()))
    suspend()
    loop.call_later(0.0, lambda: None)
    loop.run_once()
    assert len(served) == 1


def test_a_request_that_waited_in_its_socket_came_before_the_suspension(suspend):
    loop = Loop()
    address = free_address()
    requests = []
    server = Server(loop, address, requests.append)
    caller = Peer.connected(address)
    serve_until(loop, lambda: server.connections == 1)
    before = loop.now()
    caller.send(b"GET /a HTTP/1.1\r\nHost: a\r\n\r\n")
    suspend()
    serve_until(loop, lambda: requests)
    assert requests[0].request.received_at == pytest.approx(before, abs=0.3)
    caller.close()


def test_a_kept_connection_has_rested_for_as_long(suspend):
    loop = Loop()
    pool = RunnerPool(loop)
    pool.update({"i-1": runner("i-1")})
    entry = pool._entries["i-1"]

    class Kept:
        idle_since = loop.now()
        keep_alive_s = 3.0
        is_open = True

        def close(self):
            self.is_open = False

    entry.idle.append(Kept())
    suspend()
    assert pool._rested(entry, True) is None


def test_a_lease_that_ended_meanwhile_is_not_held():
    loop = FakeLoop()
    lease = Lease(loop, FakeStore(loop), DIALECT, "weights", "r#1", 3.0)
    lease.pursue(0)
    loop.run_until(loop.time + 0.1)
    lease.pursue(0)
    loop.run_until(loop.time + 0.1)
    assert lease.is_held()
    loop.time += SUSPENDED_S
    assert not lease.is_held() and lease.revision == 0


def test_a_configuration_is_older_by_the_suspension():
    knowledge = ConfigurationState()
    knowledge.put(configuration(1))
    knowledge.confirm(100.0)
    assert knowledge.age_s(100.0 + SUSPENDED_S) == SUSPENDED_S


def test_a_link_has_carried_meanwhile_what_it_could(suspend):
    loop = Loop()
    pacer = Pacer(loop.call_later)
    pacer.set_link(1e6)
    while pacer.take(10_000):
        pass
    suspend()
    assert pacer.take(10_000) > 0


def test_repeats_of_before_count_no_longer_than_their_window():
    budget = RetryBudget(bounds(budget_slack=1.5, budget_ratio=0.0), 0.0)
    budget.note_repeat(100.0)
    assert not budget.may_repeat(101.0, 1)
    assert budget.may_repeat(111.0 + SUSPENDED_S, 1)


def test_a_request_that_waited_for_a_runner_is_not_sent_after_its_deadline():
    played = Played([GOOD], states=[], the_route=route(timeout_s=3.0, objective_s=9.0))
    played.loop.time += SUSPENDED_S
    played.pool._states.extend(Played().states)
    played.forwarding._look_for_runner()
    assert played.pool.sent == [] and played.ends == ["refused"]


def test_a_request_whose_connection_came_up_after_a_suspension_is_not_sent_with_its_old_deadline():
    played = Played()
    attempt = played.pool.readers[0]
    attempt.was_sent = False
    played.loop.time += CONNECT_TIMEOUT_S + SUSPENDED_S / 4
    attempt.on_sent()
    assert not attempt.was_sent
    assert len(played.pool.sent) == 2
