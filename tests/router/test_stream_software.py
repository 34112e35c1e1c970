"""Tests that a stream holds events of runners of one software version only.

Runs real routers with stand-in runners of two software versions, whose events tell the version.
Runners cut their streams partway through an event; callers break streams off and resume them at
any router.
"""

import itertools
import random
import threading
import time

import pytest
from platform_deployment import PlatformDeployment
from resuming_callers import ResumingCallers

from martenrun.platform.standins.runner import RunnerStandin
from martenrun.proof.stream_checker import (
    compare_shares,
    events_are_consecutive,
    streams_keep_their_software,
    success_share,
)

CALLERS = 12
PLAY_S = 10.0
CUT_EACH_S = 0.7
LOOK_S = 0.02
ROLL_OUT_S = 2.0
EVENTS = 12
EVENT_PAUSE_S = 0.025
OLD, NEW = "v1.1", "v1.2"


def deployment_of(routers, old, new):
    deployment = PlatformDeployment(routers=routers, model_runners=old + new, plain_runners=0)
    for number, runner in enumerate(deployment.runners):
        runner.software = OLD if number < old else NEW
        runner.events, runner.event_pause_s = EVENTS, EVENT_PAUSE_S
    return deployment


def play(deployment, steps=(), cuts=True, breaks_off=True, callers=CALLERS, failure_pause_s=0.0):
    """Play streams for a while; return them.

    Args:
        steps: (interval in seconds, action) of what else happens, repeatedly.
    """
    callers = ResumingCallers(
        deployment, callers, breaks_off=breaks_off, failure_pause_s=failure_pause_s
    )
    turns = itertools.cycle(range(len(deployment.runners)))
    rhythms = list(steps)
    if cuts:
        rhythms.append((CUT_EACH_S, lambda: deployment.runners[next(turns)].cut_streams()))
    ends_at = time.monotonic() + PLAY_S
    due_at = [time.monotonic() + interval_s for interval_s, _ in rhythms]
    callers.start()
    while time.monotonic() < ends_at:
        for number, (interval_s, action) in enumerate(rhythms):
            if time.monotonic() >= due_at[number]:
                action()
                due_at[number] += interval_s
        next_look_at = min(ends_at, time.monotonic() + LOOK_S)
        deployment.wait(lambda at=next_look_at: time.monotonic() >= at)
    callers.stop()
    print(summary(callers.streams))
    return callers.streams


def attempts(streams):
    """Return the attempts that resume streams, and those that begin one."""
    tries = [item for stream in streams for item in stream.tries]
    resumed = [item for item in tries if item.is_resumption]
    return resumed, [item for item in tries if not item.is_resumption]


def summary(streams):
    mixed = sum(len(stream.software()) > 1 for stream in streams)
    resumed, begun = attempts(streams)
    return (
        f"{mixed} of {len(streams)} streams mixed; {success_share(resumed):.2f} of {len(resumed)} "
        f"resumptions go on, {success_share(begun):.2f} of {len(begun)} begin"
    )


def assert_promises(streams):
    assert len(streams) > 50
    assert streams_keep_their_software(streams) == []
    assert events_are_consecutive(streams) == []
    assert compare_shares(*attempts(streams)) == []


# Guards against streams that go on at another software version than the one that began them.
@pytest.mark.parametrize(
    ("cuts", "breaks_off"),
    [
        pytest.param(True, True, id="runners cut, callers break off"),
        pytest.param(True, False, id="runners cut"),
        pytest.param(False, True, id="callers break off"),
    ],
)
def test_streams_keep_the_software_that_began_them(cuts, breaks_off):
    with deployment_of(6, 3, 3) as deployment:
        assert_promises(play(deployment, cuts=cuts, breaks_off=breaks_off))


# Guards against the loss of what began a stream with the router that served it.
def test_streams_keep_their_software_while_routers_are_killed():
    rng = random.Random(5)
    with deployment_of(6, 3, 3) as deployment:

        def kill_one():
            router = rng.choice(deployment.routers)
            if router.process.poll() is None:
                deployment.stop(router, 9)
                router.process.wait()
            deployment.start(router)

        assert_promises(play(deployment, [(2.0, kill_one)]))


# Guards against streams that move to the new version as the old one is taken out of service.
def test_streams_keep_their_software_while_a_version_is_rolled_out():
    with deployment_of(6, 4, 2) as deployment:

        def replace_one():
            old = [runner for runner in deployment.runners if runner.software == OLD]
            if len(old) > 2:
                old[0].is_draining = True
                deployment.list_runner(old[0])

        assert_promises(play(deployment, [(2.0, replace_one)]))


# Guards against streams of a version with a single runner, which alone can resume them.
def test_streams_of_a_version_with_one_runner_keep_it():
    with deployment_of(6, 1, 5) as deployment:
        streams = play(deployment)
        assert streams_keep_their_software(streams) == []
        assert events_are_consecutive(streams) == []


def ask(deployment, request_id, **headers):
    """Return the response to a request at the second router, and how long it took."""
    began_at = time.monotonic()
    response = deployment.ask("/ask/x", request_id, deployment.routers[1], **headers)
    return response, time.monotonic() - began_at


# Guards against resumed streams whose version is guessed, or that are held until their deadline.
def test_streams_of_unknown_versions_are_refused_at_once():
    with deployment_of(3, 2, 2) as deployment:
        deployment.ask("/ask/x", "first", deployment.routers[0])
        named = {"Resumes": "first", "Last_Event_Id": "4"}
        response, _ = ask(deployment, "second", **named)
        assert response.status == 200
        begun_by = next(run.instance for run in deployment.runs_of("first"))
        software = {runner.instance: runner.software for runner in deployment.runners}
        assert {software[run.instance] for run in deployment.runs_of("second")} == {
            software[begun_by]
        }
        for number, headers in enumerate(({}, {"Resumes": "never"})):
            response, took_s = ask(deployment, f"u{number}", Last_Event_Id="4", **headers)
            assert response.status == 503 and took_s < 0.5
            assert 0.3 <= float(response.headers["Retry-After"]) <= 1.2
            assert deployment.runs_of(f"u{number}") == []
        for runner in deployment.runners:
            if runner.software == software[begun_by]:
                deployment.store.remove("servers", runner.instance)
        deployment.wait(lambda: ask(deployment, "x", **named)[0].status == 503)
        response, took_s = ask(deployment, "gone", **named)
        assert response.status == 503 and took_s < 0.5 and deployment.runs_of("gone") == []


# Guards against streams that are refused though all runners have the same version.
def test_streams_of_a_sole_version_are_resumed_by_routers_that_restarted():
    with deployment_of(2, 3, 0) as deployment:
        deployment.ask("/ask/x", "first", deployment.routers[0])
        for router in deployment.routers:
            deployment.stop(router, 9)
            router.process.wait()
            deployment.start(router)
        deployment.wait(lambda: all(deployment.is_ready(it) for it in deployment.routers))
        for number, headers in enumerate(({}, {"Resumes": "first"})):
            response, _ = ask(deployment, f"u{number}", Last_Event_Id="4", **headers)
            assert response.status == 200 and response.data.startswith(b"id: 5")


def kill_routers(deployment):
    for router in deployment.routers:
        deployment.stop(router, 9)
    for router in deployment.routers:
        router.process.wait()


def start_routers(deployment):
    for router in deployment.routers:
        deployment.start(router)
    deployment.wait(lambda: all(deployment.is_ready(it) for it in deployment.routers))


def upgrade(deployment, numbers, software=NEW):
    """Replace runners by others with a new version; streams at those that leave break off."""
    for number in numbers:
        old = deployment.runners[number]
        new = RunnerStandin(old.service, old.model)
        new.software, new.events, new.event_pause_s = software, EVENTS, EVENT_PAUSE_S
        deployment.runners[number] = new
        deployment.list_runner(new)
        deployment.store.remove("servers", old.instance)
        old.cut_streams()
        threading.Thread(target=old.close, daemon=True).start()


# Guards against streams joined from two versions: all routers were killed at once, and the version
# that began the stream left while they were down.
def test_streams_of_a_version_that_left_while_no_router_ran_are_not_resumed():
    with deployment_of(3, 3, 0) as deployment:
        deployment.ask("/ask/x", "first", deployment.routers[0])
        deployment.wait(lambda: deployment.store.read("router-contacts", "main"))
        kill_routers(deployment)
        upgrade(deployment, range(3))
        start_routers(deployment)
        for number in range(6):
            response, took_s = ask(deployment, f"u{number}", Resumes="first", Last_Event_Id="4")
            assert response.status == 503 and took_s < 0.5
            assert deployment.runs_of(f"u{number}") == []


# Guards against the same while versions are rolled out and all routers are killed repeatedly.
def test_streams_keep_their_software_over_kills_of_all_routers():
    with deployment_of(6, 6, 0) as deployment:
        versions = itertools.count(2)
        is_half_upgraded = False

        def roll_out_and_kill():
            nonlocal is_half_upgraded
            is_half_upgraded = not is_half_upgraded
            if is_half_upgraded:
                upgrade(deployment, range(3), f"v1.{next(versions)}")
                return
            kill_routers(deployment)
            upgrade(deployment, range(3, 6), deployment.runners[0].software)
            for router in deployment.routers:
                deployment.start(router)

        steps = [(ROLL_OUT_S, roll_out_and_kill)]
        streams = play(deployment, steps, breaks_off=False, callers=24, failure_pause_s=0.3)
    assert len(streams) > 50
    assert streams_keep_their_software(streams) == []
    assert events_are_consecutive(streams) == []


# Guards against streams that go on nowhere after a kill of all routers though their version serves.
def test_streams_of_two_versions_go_on_after_kills_of_all_routers():
    with deployment_of(6, 3, 3) as deployment:

        def kill_all():
            kill_routers(deployment)
            for router in deployment.routers:
                deployment.start(router)

        streams = play(deployment, [(3.0, kill_all)], cuts=False, callers=24, failure_pause_s=0.3)
        assert_promises(streams)


# Guards against streams that are lost because new ones take the places of their version.
def test_resumed_streams_find_room_at_a_version_that_shrinks():
    deployment = deployment_of(4, 6, 6)
    for runner in deployment.runners:
        runner.slots, runner.queue = 3, 0
    with deployment:

        def leave_one():
            old = [
                runner
                for runner in deployment.runners
                if runner.software == OLD and not runner.is_draining
            ]
            if len(old) > 2:
                old[0].is_draining = True
                deployment.list_runner(old[0])
                old[0].cut_streams()

        def cut_old():
            for runner in deployment.runners:
                if runner.software == OLD:
                    runner.cut_streams()

        streams = play(deployment, [(1.0, leave_one), (0.5, cut_old)], cuts=False, callers=24)
        assert_promises(streams)
