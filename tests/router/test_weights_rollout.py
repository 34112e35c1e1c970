"""Tests of the broadcasts during a rollout of weights to many runners."""

from types import SimpleNamespace

from martenrun.router.runner_state import RunnerState
from martenrun.router.tuning import TuningParameters
from martenrun.router.weights_rollout import WeightsRollout
from martenrun.router.weights_updates import BATCH_WINDOW_S, apply_weights_update

from .builders import runner
from .fakes import FakeLoop

RUNNERS = 59


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
