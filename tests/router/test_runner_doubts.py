"""Runners that have gone silent: found out once for all routers, not by each of them.

The load: 59 runners, a quarter of them silent for 14 s, 3.5 prompts a second meant for each, sent
by 195 routers, so that one router sends a given runner one prompt a minute.
"""

import random

from martenrun.router.peer_messages import UnresponsiveRunnerUpdate
from martenrun.router.runner_doubts import (
    DOUBT_MEMORY_S,
    FIRST_PASSED_OVER_S,
    LONGEST_PASSED_OVER_S,
    SPREAD,
    RunnerDoubts,
)
from martenrun.router.runner_state import SILENT_AFTER_S, RunnerState
from martenrun.router.silence import newly_silent, take_silence

from .builders import runner

ROUTERS = 195
SILENT_S = 14.0
PROMPTS_PER_S = 3.5


def test_one_router_alone_makes_nobody_pass_a_runner_over():
    doubts = RunnerDoubts()
    for step in range(10):
        doubts.note("a", 1.0 + step)
    assert not doubts.hold(10.0)
    doubts.note("b", 10.1)
    assert doubts.hold(10.2)


def test_doubts_fade_and_an_answer_ends_them():
    doubts = RunnerDoubts()
    doubts.note("a", 1.0)
    doubts.note("b", 1.1 + DOUBT_MEMORY_S)
    assert not doubts.hold(1.2 + DOUBT_MEMORY_S)
    doubts.note("c", 1.3 + DOUBT_MEMORY_S)
    assert doubts.hold(1.4 + DOUBT_MEMORY_S)
    doubts.end()
    assert not doubts.hold(1.4 + DOUBT_MEMORY_S)


def test_a_runner_that_stays_silent_is_tried_ever_more_rarely_and_never_given_up():
    doubts = RunnerDoubts(random.Random(1))
    now, pauses = 0.0, []
    for _ in range(6):
        doubts.note("a", now)
        doubts.note("b", now)
        held = next(step / 10 for step in range(200) if not doubts.hold(now + step / 10))
        pauses.append(held)
        now += held
    assert pauses[0] <= FIRST_PASSED_OVER_S * (1 + SPREAD) + 0.1
    assert pauses[-1] <= LONGEST_PASSED_OVER_S * (1 + SPREAD) + 0.1
    assert pauses[-1] >= LONGEST_PASSED_OVER_S


def lost_prompts(routers_share, seed):
    """Return how many prompts are sent to one silent runner until it is heard again."""
    rng = random.Random(seed)
    doubts = [RunnerDoubts(random.Random(n)) for n in range(ROUTERS)]
    now, lost, told = 0.0, 0, []
    while now < SILENT_S:
        now += rng.expovariate(PROMPTS_PER_S)
        for item in [item for item in told if item[0] <= now]:
            told.remove(item)
            for number, knowing in enumerate(doubts):
                if routers_share or number == item[1]:
                    knowing.note(f"r{item[1]}", item[0])
        sender = rng.randrange(ROUTERS)
        if not doubts[sender].hold(now):
            lost += 1
            told.append((now + SILENT_AFTER_S, sender))
    return lost


def test_few_prompts_are_lost_to_a_silent_runner_where_routers_share_their_doubts():
    alone = sum(lost_prompts(False, seed) for seed in range(20)) / 20
    shared = sum(lost_prompts(True, seed) for seed in range(20)) / 20
    assert alone > 0.9 * SILENT_S * PROMPTS_PER_S
    assert shared < 0.45 * SILENT_S * PROMPTS_PER_S


class FewRunners:
    """What the looks at silent runners need of a world."""

    def __init__(self, count):
        self.pool = self
        self.states = [RunnerState(runner(f"i-{n}")) for n in range(count)]

    def all_states(self):
        return self.states

    def state(self, instance):
        return next((s for s in self.states if s.runner.instance == instance), None)


def test_a_router_tells_of_a_silent_runner_only_while_it_hears_from_others():
    world = FewRunners(2)
    silent, other = world.states
    silent.note_sent(1.0)
    assert newly_silent(world, 1.0 + SILENT_AFTER_S / 2) == []
    assert newly_silent(world, 1.1 + SILENT_AFTER_S) == []
    other.note_bytes(1.5)
    assert newly_silent(world, 1.1 + SILENT_AFTER_S) == ["i-0"]
    assert newly_silent(world, 1.2 + SILENT_AFTER_S) == []
    take_silence(world, UnresponsiveRunnerUpdate("a", "i-0"), 2.0)
    take_silence(world, UnresponsiveRunnerUpdate("b", "i-0"), 2.0)
    assert silent.is_avoided(2.1) and not other.is_avoided(2.1)
    silent.note_bytes(2.2)
    assert not silent.is_avoided(2.3)


def test_a_connection_that_does_not_come_up_is_told_of_as_well():
    world = FewRunners(2)
    dark, other = world.states
    dark.unanswered_since = 1.0
    other.note_bytes(1.5)
    assert newly_silent(world, 1.6) == ["i-0"]
    assert newly_silent(world, 9.0) == []


def test_a_runner_that_loads_weights_is_not_told_of():
    world = FewRunners(2)
    silent, other = world.states
    silent.note_sent(1.0)
    other.note_bytes(1.5)
    silent.loading_until = 5.0
    assert newly_silent(world, 3.0) == []
