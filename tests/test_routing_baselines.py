"""Tests of the baseline routing policies."""

import numpy
import pytest

from martenrun.routing.baselines import ConsistentHashPolicy, LeastLoadedPolicy, RoundRobinPolicy
from martenrun.routing.policy import RunnerState
from martenrun.wire.messages import DecideRequest


def make_runners(count):
    return [
        RunnerState(f"r{index}", "", "z", "pool", incarnation="1", slots=4)
        for index in range(count)
    ]


def make_question(first_block):
    return DecideRequest(tenant="t", chain=numpy.array([first_block], "<i8").tobytes())


def test_round_robin_takes_every_runner_in_turn():
    policy, runners = RoundRobinPolicy(), make_runners(3)
    names = [policy.route(make_question(1), runners, 0.0).runner.name for _ in range(6)]
    assert sorted(names) == ["r0", "r0", "r1", "r1", "r2", "r2"]


def test_least_loaded_takes_the_runner_with_most_free_slots():
    runners = make_runners(3)
    runners[0].in_flight, runners[2].reported_running = 2, 1
    assert LeastLoadedPolicy().route(make_question(1), runners, 0.0).runner.name == "r1"


def test_consistent_hash_keeps_a_prefix_on_one_runner():
    policy, runners = ConsistentHashPolicy(), make_runners(5)
    choices = {policy.route(make_question(9), runners, 0.0).runner.name for _ in range(5)}
    assert len(choices) == 1


@pytest.mark.parametrize("kind", [RoundRobinPolicy, LeastLoadedPolicy, ConsistentHashPolicy])
def test_full_runners_rank_behind_free_ones(kind):
    runners = make_runners(4)
    for runner in runners[:3]:
        runner.in_flight = runner.slots
    assert kind().rank(make_question(1), runners, 0.0)[0].runner.name == "r3"
