"""Orders of weights in large deployments: what the holder tells of many runners at once."""

from types import SimpleNamespace

from martenrun.router.decisions import Decisions
from martenrun.router.runner_state import RunnerState
from martenrun.router.weights_news import TOLD_TOGETHER_S, take_weights_news
from martenrun.router.weights_roll import WeightsRoller

from .builders import runner
from .fakes import FakeLoop

RUNNERS = 59


def world_of(states):
    """What a roller needs of a world with some runners."""
    by_instance = {state.runner.instance: state for state in states}
    pool = SimpleNamespace(state=by_instance.get, all_states=lambda: states)
    return SimpleNamespace(loop=FakeLoop(), pool=pool, decisions=Decisions())


def test_runners_that_begin_to_load_in_one_moment_are_told_in_one_message():
    """59 runners told one by one to 195 routers are 11,500 datagrams, which hold reports up."""
    states = [RunnerState(runner(f"i-{n}")) for n in range(RUNNERS)]
    world = world_of(states)
    told = []
    roller = WeightsRoller(world, SimpleNamespace(broadcast=told.append), None)
    for state in states:
        roller._tell(state, "m", 2, is_loaded=False)
    assert told == [] and all(state.is_avoided(world.loop.now()) for state in states)
    world.loop.run_until(world.loop.now() + TOLD_TOGETHER_S)
    assert [len(news.instances) for news in told] == [RUNNERS]
    roller._tell(states[0], "m", 2, is_loaded=True)
    roller._tell(states[1], "m", 3, is_loaded=False)
    world.loop.run_until(world.loop.now() + 2 * TOLD_TOGETHER_S)
    assert [(news.instances, news.is_loaded) for news in told[1:]] == [
        (["i-0"], True),
        (["i-1"], False),
    ]
    other = world_of([RunnerState(runner(f"i-{n}")) for n in range(RUNNERS)])
    take_weights_news(other, told[0])
    assert all(state.is_avoided(other.loop.now()) for state in other.pool.all_states())
