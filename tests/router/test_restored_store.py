"""Tests of routers before a store that returns from an older copy, in a new era.

Runs real routers with stand-ins; what callers saw and what arrived at runners is checked.
"""

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


def served_plain_share(play, since):
    """Return the share of requests for the only plain runner's service that were served."""
    calls = [item for item in play.callers.calls if item.kind == "slip" and item.sent_at > since]
    return sum(item.status == 200 for item in calls) / len(calls)


@pytest.fixture
def play_without_plain_runners():
    with (
        PlatformDeployment(ROUTERS, model_runners=RUNNERS, plain_runners=1) as deployment,
        DrillPlay(deployment) as it,
    ):
        it.newcomer = deployment.runners.pop()
        deployment.store.remove("servers", it.newcomer.instance)
        it.run_for(3.0)
        yield it
        deployment.runners.append(it.newcomer)


# Guards against a runner that is not used because its revision is below older ones.
def test_runner_that_is_listed_after_the_return_is_used(play_without_plain_runners):
    play = play_without_plain_runners
    play.drill(2.5)
    play.run_for(0.5)
    play.deployment.list_runner(play.newcomer)
    play.run_for(1.5)
    used_from = time.monotonic()
    play.run_for(2.0)
    play.stop()
    assert served_plain_share(play, used_from) == 1.0


# Guards against a runner that is dropped for being absent from a copy older than its entry.
def test_runner_that_came_after_the_copy_stays_in_use(play_without_plain_runners):
    play = play_without_plain_runners
    play.deployment.runners.append(play.newcomer)
    play.deployment.list_runner(play.newcomer)
    play.run_for(1.0)
    used_from = time.monotonic()
    play.drill(2.0)
    play.run_for(4.0)
    play.stop()
    play.deployment.runners.remove(play.newcomer)
    assert served_plain_share(play, used_from) >= 0.98
