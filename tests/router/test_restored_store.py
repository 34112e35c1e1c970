"""Tests of routers before a store that returns from an older copy, in a new era.

Runs real routers with stand-ins; what callers saw and what arrived at runners is checked.
"""

import itertools
import signal
import time

import pytest
from platform_deployment import PlatformDeployment

from .store_plays import DrillPlay, own_calls_per_s

ROUTERS = 6
RUNNERS = 4
MOST_CALLS_PER_S = 90
"""Three times the rate of calls before a drill."""


@pytest.fixture
def play():
    with (
        PlatformDeployment(ROUTERS, model_runners=RUNNERS, plain_runners=RUNNERS) as deployment,
        DrillPlay(deployment) as it,
    ):
        it.run_for(3.0, publish_every_s=1.0)
        yield it


def leave_around_drill(play, age_s, **options):
    """Let runners leave shortly before and after a drill."""
    model, plain = play.deployment.runners[0], play.deployment.runners[-1]
    play.writers.leave(model)
    play.run_for(0.3)
    play.drill(age_s, **options)
    play.run_for(1.0, publish_every_s=1.0)
    play.writers.leave(plain)
    play.run_for(4.0, publish_every_s=1.0)
    play.run_for(3.0)


# Guards against responses that are dropped because their revisions are below older ones.
@pytest.mark.parametrize("how", ["is_down", "is_silent", "drops_connections"])
def test_changes_after_a_return_from_a_copy_are_in_force_in_time(play, how):
    leave_around_drill(play, 3.0, how=how)
    play.stop()
    assert play.violations() == {}


# Guards against changes that are skipped because the revision is above the old one again.
def test_changes_are_in_force_when_revisions_pass_the_old_ones_at_once(play):
    play.drill(3.0, is_beyond=True)
    play.run_for(4.0)
    play.stop()
    assert play.violations() == {}


# Guards against watches that fail at once and are repeated without a pause.
def test_store_is_not_flooded_after_its_return(play):
    play.drill(3.0)
    calls_per_s = own_calls_per_s(play.deployment, 2.0)
    assert calls_per_s < MOST_CALLS_PER_S


# Guards against new weights that are never loaded because their revision is below an older one.
def test_weights_named_after_a_return_from_a_copy_are_loaded(play):
    play.drill(5.0)
    play.run_for(1.0)
    play.writers.name_weights(2)
    model_runners = [item for item in play.deployment.runners if item.model is not None]
    play.deployment.wait(lambda: all(item.weights_version == 2 for item in model_runners), 15.0)


# Guards against a runner that is listed again by a copy from before it left.
def test_runner_that_left_after_the_copy_receives_no_requests(play):
    gone = play.deployment.runners[0]
    play.writers.leave(gone)
    play.run_for(0.5)
    play.writers.remove(gone)
    play.run_for(0.3)
    play.drill(4.0)
    play.run_for(6.0)
    play.stop()
    assert play.violations() == {}


# Guards against routers that start after the return and know the old copy only.
def test_router_that_starts_after_the_return_does_not_follow_the_copy(play):
    gone = play.deployment.runners[0]
    play.writers.leave(gone)
    play.run_for(0.5)
    play.writers.remove(gone)
    play.run_for(2.2, publish_every_s=1.0)
    seeds = play.deployment.routers[:3]
    for router in seeds:
        play.deployment.stop(router, signal.SIGKILL)
        router.process.wait()
    play.run_for(0.5)
    play.drill(6.0, on_return=lambda: [play.deployment.start(router) for router in seeds])
    play.deployment.wait(lambda: all(play.deployment.is_ready(router) for router in seeds))
    play.run_for(5.0)
    play.stop()
    assert play.violations() == {}


# Guards against a runner that came after the copy and is not used until it is listed anew.
def test_runner_that_came_after_the_copy_stays_in_use(play):
    deployment = play.deployment
    newcomer = deployment.runners.pop(0)
    deployment.store.remove("servers", newcomer.instance)
    play.run_for(3.0)
    deployment.runners.insert(0, newcomer)
    deployment.list_runner(newcomer)
    play.run_for(1.0)
    play.drill(2.5)
    back_at = time.monotonic()
    play.run_for(2.5)
    play.stop()
    times = sorted(item.at for item in newcomer.arrivals if item.at > back_at - 1.0)
    gaps_s = [later - earlier for earlier, later in itertools.pairwise(times)]
    assert times and times[-1] > back_at + 2.0
    assert max(gaps_s) < 1.0
