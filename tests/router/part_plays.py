"""Plays crash-causing parts of prompts before real routers and prints one line a play.

``python -m router.part_plays [NAME ...]`` in ``tests/``.
"""

import itertools
import random
import sys
import time

import attrs
from platform_deployment import PlatformDeployment

from martenrun.platform.standins.runner_records import CrashPoint

from .part_callers import (
    CONTACT_S,
    FIRST_PART,
    SHARED_PARTS,
    PartCallers,
    crash_times,
    late_arrivals,
)

DOWN_S = 3.0
PLAY_S = 30.0
RUN_S = 0.1


@attrs.frozen
class Play:
    """One way in which parts of prompts crash runners.

    Attributes:
        prompts: shared parts of crash-causing prompts, which come in turn; None is a new part.
        crashing: the parts that crash runners.
        chance_s: mean time between crashes by chance, in seconds; 0 for none.
        front_lead_s: how long before a crash the runner closes its connections, in seconds.
        event_pause_s: pause between two of the six events of a stream, in seconds.
        before_s: how long only sound requests come first, in seconds.
        kill_s: time between kills of a router, in seconds; 0 for none.
        companion: a part that comes without a crashing one in the second half; None for none.
    """

    prompts: tuple[tuple[str | None, ...], ...]
    crashing: tuple[str, ...]
    routers: int = 6
    runners: int = 6
    rate: float = 4.0
    point: CrashPoint = CrashPoint.BEFORE_HEAD
    by_reset: bool = True
    framed: bool = True
    front_lead_s: float = 0.0
    keeps_id: bool = False
    chance_s: float = 0.0
    kill_s: float = 0.0
    event_pause_s: float = 0.03
    before_s: float = 6.0
    companion: str | None = None
    path: str = "/ask/x"


SECOND = ((FIRST_PART, "dead1"),)
PLAYS = {
    "second of three": Play(SECOND, ("dead1",)),
    "at most once": Play(SECOND, ("dead1",), path="/once/x"),
    "after the head": Play(SECOND, ("dead1",), point=CrashPoint.AFTER_HEAD),
    "after an event": Play(SECOND, ("dead1",), point=CrashPoint.AFTER_EVENT),
    "all else drawn anew": Play(((None, "dead1"),), ("dead1",)),
    "first part": Play((("dead1", SHARED_PARTS[0]),), ("dead1",)),
    "three parts": Play(
        tuple((FIRST_PART, f"dead{n}") for n in (1, 2, 3)), ("dead1", "dead2", "dead3"), rate=6.0
    ),
    "the same id": Play(SECOND, ("dead1",), keeps_id=True),
    "routers killed": Play(SECOND, ("dead1",), kill_s=3.0),
    "crashes by chance": Play(SECOND, ("dead1",), runners=8, chance_s=2.0),
    "companion": Play(((FIRST_PART, "c0ffee", "dead1"),), ("dead1",), companion="c0ffee"),
    "16 routers": Play(SECOND, ("dead1",), routers=16, runners=8, rate=8.0),
    "slow": Play(SECOND, ("dead1",), rate=0.8),
    "closed after the head": Play(
        SECOND, ("dead1",), point=CrashPoint.AFTER_HEAD, by_reset=False, framed=False
    ),
    "closed after an event": Play(
        SECOND, ("dead1",), point=CrashPoint.AFTER_EVENT, by_reset=False, framed=False
    ),
    "front closes first": Play(
        SECOND,
        ("dead1",),
        point=CrashPoint.AFTER_EVENT,
        by_reset=False,
        framed=False,
        front_lead_s=0.05,
    ),
    "long streams": Play(SECOND, ("dead1",), event_pause_s=0.4, path="/once/x"),
    "long streams from the start": Play(
        SECOND, ("dead1",), event_pause_s=0.4, before_s=0.0, path="/once/x"
    ),
    "long streams, first part": Play(
        (("dead1", SHARED_PARTS[0]),), ("dead1",), event_pause_s=0.4, path="/once/x"
    ),
    "long streams, three parts": Play(
        tuple((FIRST_PART, f"dead{n}") for n in (1, 2, 3)),
        ("dead1", "dead2", "dead3"),
        rate=6.0,
        event_pause_s=0.4,
    ),
    "long streams, chance": Play(
        SECOND, ("dead1",), runners=8, chance_s=2.0, event_pause_s=0.4, path="/once/x"
    ),
    "only chance, long streams": Play((), (), chance_s=0.7, event_pause_s=0.4),
    "only chance": Play((), (), chance_s=0.7),
}


def run(play, seed):
    """Run a play; return its line of the table, without its name."""
    rng = random.Random(seed)
    numbers = itertools.count()
    with PlatformDeployment(play.routers, play.runners, 0) as deployment:
        deployment.let_crash(lambda _body: False, DOWN_S, play.keeps_id)
        for runner in deployment.runners:
            runner.crashing_parts = frozenset(play.crashing)
            runner.crash_delay_s = RUN_S
            runner.crash_point = play.point
            runner.crashes_by_reset = play.by_reset
            runner.front_lead_s = play.front_lead_s
            runner.event_pause_s = play.event_pause_s
            runner.ends_by_connection = lambda _request_id: not play.framed
        turns = itertools.cycle(play.prompts or ((),))
        half_at = time.monotonic() + play.before_s + PLAY_S / 2

        def crashing():
            return tuple(part or f"new{next(numbers)}" for part in next(turns))

        def sound():
            if play.companion is not None and time.monotonic() > half_at and rng.random() < 0.2:
                return (FIRST_PART, play.companion)
            return callers.sound_parts()

        began_at = time.monotonic() + play.before_s
        callers = PartCallers(
            deployment, seed, crashing, play.rate if play.prompts else 0.001, play.path, sound,
            begins_after_s=play.before_s,
        )  # fmt: skip
        _disturb(deployment, play, rng, began_at)
        callers.stop()
        return _line(deployment, callers, play, began_at)


def _disturb(deployment, play, rng, began_at):
    chance_at = began_at + rng.expovariate(1 / play.chance_s) if play.chance_s else float("inf")
    kill_at = began_at + play.kill_s if play.kill_s else float("inf")
    ends_at = began_at + PLAY_S

    def disturb_until_the_end():
        nonlocal chance_at, kill_at
        now = time.monotonic()
        if now > chance_at:
            rng.choice(deployment.runners).crash("")
            chance_at += rng.expovariate(1 / play.chance_s)
        if now > kill_at:
            router = rng.choice(deployment.routers)
            router.process.kill()
            router.process.wait()
            deployment.start(router)
            kill_at += play.kill_s
        return now >= ends_at

    deployment.wait(disturb_until_the_end, 2 * PLAY_S)


def _line(deployment, callers, play, began_at):
    ends = [len(crash_times(deployment, part)) for part in play.crashing]
    late = [len(late_arrivals(deployment, part)) for part in play.crashing]
    counted_from = max(
        [began_at + 2 * CONTACT_S]
        + [crash_times(deployment, part)[:5][-1] + 2 * CONTACT_S for part in play.crashing]
    )
    first = callers.served_share(counted_from, lambda parts: parts[0] == FIRST_PART)
    others = callers.served_share(counted_from, lambda parts: parts[0] != FIRST_PART)
    companion = callers.served_share(counted_from, lambda parts: play.companion in parts)
    passed = sum(each.status == 200 for each in callers.responses["crashing"])
    sent = len(callers.responses["crashing"])
    return (
        f"| {ends} | {late} | {first[0]:.2f} of {first[1]} | {others[0]:.2f} of {others[1]} "
        f"| {companion[0]:.2f} of {companion[1]} | {passed} of {sent} passed on |"
    )


def main():
    seed = int(sys.argv[1]) if len(sys.argv) > 1 else 1
    names = sys.argv[2:] or list(PLAYS)
    print("| play | crashes | late | sound, same first part | sound, others | companion | deadly |")
    print("| --- | --- | --- | --- | --- | --- | --- |")
    for name in names:
        print(f"| {name} {run(PLAYS[name], seed)}", flush=True)


if __name__ == "__main__":
    main()
