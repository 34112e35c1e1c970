"""Tests of the broadcasts during a rollout of weights to many runners."""

from types import SimpleNamespace

from martenrun.net.loop import Loop
from martenrun.router import weights_rollout
from martenrun.router.messages import HttpCall, TargetWeights
from martenrun.router.reachability import Reachability
from martenrun.router.runner_state import RunnerState
from martenrun.router.tuning import TuningParameters
from martenrun.router.weights_rollout import WeightsRollout
from martenrun.router.weights_updates import BATCH_WINDOW_S, apply_weights_update

from .builders import runner
from .fakes import FakeLoop
from .loopback import RunnerPeer, serve_until
from .test_partition_monitor import record

RUNNERS = 59
OK = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"


def services_with(states):
    """Return the request services that a rollout uses, with some runners."""
    by_instance = {state.runner.instance: state for state in states}
    pool = SimpleNamespace(state=by_instance.get, all_states=lambda: states)
    return SimpleNamespace(loop=FakeLoop(), pool=pool, decisions=TuningParameters())


def test_simultaneous_loads_are_broadcast_in_one_message():
    """Guards against 11,500 datagrams for 59 runners and 195 routers, which delay reports."""
    states = [RunnerState(runner(f"i-{n}")) for n in range(RUNNERS)]
    services = services_with(states)
    broadcasts = []
    rollout = WeightsRollout(services, SimpleNamespace(broadcast=broadcasts.append), None)
    for state in states:
        rollout._report_load(state, "m", 2, is_loaded=False)
    assert broadcasts == [] and all(state.is_avoided(services.loop.now()) for state in states)
    services.loop.run_until(services.loop.now() + BATCH_WINDOW_S)
    assert [len(update.instances) for update in broadcasts] == [RUNNERS]
    rollout._report_load(states[0], "m", 2, is_loaded=True)
    rollout._report_load(states[1], "m", 3, is_loaded=False)
    services.loop.run_until(services.loop.now() + 2 * BATCH_WINDOW_S)
    assert [(update.instances, update.is_loaded) for update in broadcasts[1:]] == [
        (["i-0"], True),
        (["i-1"], False),
    ]
    receiver = services_with([RunnerState(runner(f"i-{n}")) for n in range(RUNNERS)])
    apply_weights_update(receiver, broadcasts[0])
    assert all(state.is_avoided(receiver.loop.now()) for state in receiver.pool.all_states())


class FakeLease:
    """Records whether the lease is acquired or renewed."""

    def __init__(self, is_held):
        self.calls = []
        self._is_held = is_held

    def is_held(self):
        return self._is_held

    def acquire_or_renew(self, rank):
        self.calls.append(("acquire", rank))

    def last_holder_address(self):
        return None


def rollout_at(is_held, others=(), unreachable=False):
    """Return the calls to the lease in the first step of a rollout to two runners."""
    states = [RunnerState(runner(f"i-{n}")) for n in range(2)]
    services = services_with(states)
    services.weights = SimpleNamespace(targets={"m": TargetWeights("m", 2)})
    services.reachability = Reachability(lambda _service: states)
    if unreachable:
        for state in states:
            services.reachability.record_failure("s", state.runner.instance, services.loop.now())
    own = record("own", capacity=1.0)
    peers = SimpleNamespace(own=own, live=lambda: list(others))
    lease = FakeLease(is_held)
    rollout = WeightsRollout(services, peers, lease)
    rollout._start_loads = lambda _model, _now: lease.calls.append("start loads")
    rollout.schedule_step()
    services.loop.run_until(services.loop.now() + 0.001)
    return lease.calls


# Guards against a rollout that stands still while its lease holder reaches no runner.
def test_a_lease_holder_that_reaches_no_runner_lets_the_lease_expire():
    assert rollout_at(is_held=True) == [("acquire", 0), "start loads"]
    assert rollout_at(is_held=True, unreachable=True) == []


def test_a_router_that_reaches_no_runner_does_not_acquire_the_lease():
    assert rollout_at(is_held=False) == [("acquire", 0)]
    assert rollout_at(is_held=False, unreachable=True) == []


def test_routers_that_reach_no_runner_have_no_rank():
    stronger = record("a", capacity=8.0, unreachable_services=["s"])
    assert rollout_at(is_held=False, others=[stronger]) == [("acquire", 0)]


# Guards against a late copy of a report that is taken for the response to an order.
def test_orders_are_sent_on_connections_that_carried_no_other_call(monkeypatch):
    monkeypatch.setattr(weights_rollout, "record_control_response", lambda *_arguments: None)
    loop, peer = Loop(), RunnerPeer()
    state = RunnerState(runner("i-0", address=peer.address))
    services = services_with([state])
    services.loop = loop
    rollout = WeightsRollout(services, SimpleNamespace(broadcast=lambda _update: None), None)
    statuses = []

    def call(method):
        request = HttpCall(method, b"/order", [], b"{}")
        rollout._call(state, request, 5.0, lambda response: statuses.append(response.status))

    call(b"GET")
    serve_until(loop, lambda: peer.accept() and b"/order" in peer.peers[0].read())
    peer.peers[0].send(OK)
    serve_until(loop, lambda: statuses)
    call(b"POST")
    peer.peers[0].send(OK)
    serve_until(loop, lambda: len(peer.accept()) == 2 and b"/order" in peer.peers[1].read())
    assert statuses == [200]
    peer.peers[1].send(OK.replace(b"200 OK", b"202 Accepted"))
    serve_until(loop, lambda: statuses[1:])
    assert statuses[1] == 202
    peer.close()
