"""Suspension of the machine: the clock advances, timers and sockets do not."""

import pytest

from martenrun.net import clock
from martenrun.net.client import CONNECT_TIMEOUT_S
from martenrun.net.loop import Loop
from martenrun.net.pacing import Pacer
from martenrun.net.server import Server
from martenrun.platform import PLATFORM_ADAPTER
from martenrun.router.lease import Lease
from martenrun.router.retry_budget import RetryBudget
from martenrun.router.runner_pool import RunnerPool
from martenrun.router.store.state import ConfigurationState

from .builders import bounds, configuration, route, runner
from .fakes import FakeLoop, FakeStore
from .loopback import Peer, free_address, serve_until
from .test_forwarding import GOOD, ForwardingCase

SUSPENDED_S = 4.0


@pytest.fixture
def suspend(monkeypatch):
    """Return a function that makes the clock jump, as a suspension does."""
    read = clock._read
    jumped_s = 0.0

    def jump(seconds=SUSPENDED_S):
        nonlocal jumped_s
        jumped_s += seconds

    monkeypatch.setattr(clock, "_read", lambda: read() + jumped_s)
    return jump


def test_timers_that_expired_during_suspension_are_due_on_resume(suspend):
    loop = Loop()
    calls = []
    loop.call_later(3.0, lambda: calls.append(loop.now()))
    suspend()
    loop.call_later(0.0, lambda: None)
    loop.run_once()
    assert len(calls) == 1


def test_request_read_after_suspension_counts_as_received_before(suspend):
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


def test_idle_connection_expires_during_suspension(suspend):
    loop = Loop()
    pool = RunnerPool(loop)
    pool.update({"i-1": runner("i-1")})
    entry = pool._entries["i-1"]

    class IdleConnection:
        idle_since = loop.now()
        keep_alive_s = 3.0
        is_open = True

        def close(self):
            self.is_open = False

    entry.idle.append(IdleConnection())
    suspend()
    assert pool._take_idle_connection(entry, True, b"1") is None


def test_lease_expires_during_suspension():
    loop = FakeLoop()
    lease = Lease(loop, FakeStore(loop), PLATFORM_ADAPTER, "weights", "r#1", 3.0)
    lease.acquire_or_renew(0)
    loop.run_until(loop.time + 0.1)
    lease.acquire_or_renew(0)
    loop.run_until(loop.time + 0.1)
    assert lease.is_held()
    loop.time += SUSPENDED_S
    assert not lease.is_held() and lease.position is None


def test_age_of_configuration_includes_suspension():
    knowledge = ConfigurationState()
    knowledge.put(configuration(1))
    knowledge.confirm(100.0)
    assert knowledge.age_s(100.0 + SUSPENDED_S) == SUSPENDED_S


def test_pacer_refills_during_suspension(suspend):
    loop = Loop()
    pacer = Pacer(loop.call_later)
    pacer.set_link_rate(1e6)
    while pacer.acquire(10_000):
        pass
    suspend()
    assert pacer.acquire(10_000) > 0


def test_retries_before_suspension_leave_the_budget_window():
    budget = RetryBudget(bounds(budget_slack=1.5, budget_ratio=0.0), 0.0)
    budget.record_retry(100.0)
    assert not budget.may_retry(101.0, 1)
    assert budget.may_retry(111.0 + SUSPENDED_S, 1)


def test_request_waiting_for_runner_is_not_sent_after_its_deadline():
    played = ForwardingCase([GOOD], states=[], custom_route=route(timeout_s=3.0, objective_s=9.0))
    played.loop.time += SUSPENDED_S
    played.pool._states.extend(ForwardingCase().states)
    played.forwarder._choose_runner()
    assert played.pool.sent == [] and played.outcomes == ["refused"]


def test_request_is_not_sent_with_outdated_deadline_after_suspension_during_connect():
    played = ForwardingCase()
    attempt = played.pool.readers[0]
    attempt.was_sent = False
    played.loop.time += CONNECT_TIMEOUT_S + SUSPENDED_S / 4
    attempt.on_sent()
    assert not attempt.was_sent
    assert len(played.pool.sent) == 2
