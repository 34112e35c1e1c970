"""Schedules of a soak: faults and planned work in series that overlap, drawn from a seed.

Each series has a kind, a beginning, a rhythm and a length of its own.  A schedule is a list of
steps in order of time, so that one that found something can be cut down and played again.
"""

import json
import random
from collections.abc import Iterable, Sequence

import attrs

SERIES = (4, 7)
"""Fewest and most series of one schedule, beside the one that comes with rolling restarts."""

PAUSES_S = (0.3, 4.0)
"""Shortest and longest rhythm of a series, in seconds."""

LASTING_S = (0.4, 6.0)
"""How long a fault that ends lasts, in seconds."""

HERD_SHARE = 0.6
"""Share of the routers that a herd's restart strikes."""

STRUCK_AT_ONCE = {
    "terminate": 1,
    "kill": 1,
    "stand_still": 1,
    "leave": 1,
    "vanish": 1,
    "herd": 0,
    "hang_up": 2,
    "store_down": 0,
    "store_silent": 0,
    "store_loses": 0,
    "store_lapse": 0,
    "forget_history": 0,
    "refuse_store": 2,
    "mute_store": 2,
    "silence_store": 2,
    "replace_runner": 1,
    "vanish_runner": 1,
    "spoil_runners": 1,
    "mute_runner": 1,
    "silence_runner": 1,
    "configure": 0,
    "change_keys": 0,
    "name_weights": 0,
}
"""How many routers or runners one step of each kind strikes; 0: all, or none in particular."""

RUNNER_KINDS = {"restart_runner": 1, "break_entries": 2}
"""Kinds of which one series comes on top, where asked for: starts under an id, other writers."""

LASTING = frozenset(
    {
        "break_entries",
        "stand_still",
        "store_down",
        "store_silent",
        "store_loses",
        "store_lapse",
        "refuse_store",
        "mute_store",
        "spoil_runners",
        "mute_runner",
        "limit_runners",
        "announce_drain",
        "request_backoff",
        "lapse_entries",
        "restore_store",
        *("stall_links", "reset_links", "refuse_new_links"),
        "separate_routers",
    }
)
"""Kinds whose steps end after a while."""

DEADLY_KINDS = {"deadly_request": 0}
"""The same of requests that end each runner which runs them, and come again until the end."""

DEADLY_PART_KINDS = {"deadly_part": 0}
"""The same of requests that are all different but for a part of their prompts."""

MOST_DEADLY_PARTS = 2
"""Maximum number of such parts in a schedule."""

EXTRA_LIMIT_DURATION_S = 6.0
"""Time added to the duration of advertised limits, in seconds.

Keeps a limit in force for a whole window of the checker after it has propagated to all routers.
"""

LIMIT_KINDS = {"limit_runners": 2}
"""Kinds, added on request, in which runners temporarily advertise a rate limit."""

PARTITION_KINDS = {"stall_links": 2, "reset_links": 2, "refuse_new_links": 2}
"""Kinds, added on request, in which routers are partitioned from all runners."""

SOFTWARE_KINDS = {"roll_software": 1, "cut_streams": 2}
"""Kinds, added on request, in which runners change their software version and break streams."""

NOTICE_KINDS = {"announce_drain": 1, "request_backoff": 2, "lapse_entries": 2}
"""Kinds, added on request, in which runners announce drains and request backoffs by responses,
and entries of runners are missing for a moment."""

RESTORE_KINDS = {"restore_store": 0}
"""Kinds, added on request, in which the store returns from an older copy."""

SEPARATION_KINDS = {"separate_routers": 2}
"""Kinds, added on request, in which routers are cut off from the store and from other routers."""

FIRST_SEPARATION_S = (0.5, 2.5)
"""Earliest and latest begin of the first separation, in seconds."""

ROLLED_AFTER_S = (0.1, 1.3)
"""When runners of another software version join, after the begin of a separation, in seconds."""

ROLLED = (2, 3)
"""Targets that let two runners be replaced by others with the second software version."""

EXTRA_PARTITION_DURATION_S = 4.0
"""Time added to the duration of partitions, in seconds, so that requests of a while count."""

ALL_KINDS = {
    **STRUCK_AT_ONCE,
    **RUNNER_KINDS,
    **DEADLY_KINDS,
    **DEADLY_PART_KINDS,
    **LIMIT_KINDS,
    **PARTITION_KINDS,
    **SOFTWARE_KINDS,
    **NOTICE_KINDS,
    **RESTORE_KINDS,
    **SEPARATION_KINDS,
}

MOST_DEADLY = 3
"""Most of them in one schedule: some come at the same time, beside restarts and cuts."""

OFTEN = ("terminate", "kill", "leave", "vanish")
"""One series of these is in every schedule: routers that end while others restart."""


@attrs.frozen
class Step:
    """One step of a schedule.

    Attributes:
        at_s: when, in seconds from the beginning of the soak.
        kind: what is done; the keys of STRUCK_AT_ONCE.
        targets: numbers that choose routers or runners among those there are then.
        lasts_s: how long it lasts, in seconds; 0 for what is done at once.
        series: number of the series that it belongs to.
    """

    at_s: float
    kind: str
    targets: tuple[int, ...]
    lasts_s: float
    series: int


def draw_schedule(
    seed: int,
    seconds: float,
    has_runner_kinds: bool = False,
    has_deadly: bool = False,
    has_limits: bool = False,
    has_partitions: bool = False,
    has_software: bool = False,
    has_notices: bool = False,
    has_deadly_parts: bool = False,
) -> list[Step]:
    """Return a schedule of so many seconds.

    Args:
        has_runner_kinds: adds a series of each of RUNNER_KINDS; the other steps stay the same.
        has_deadly: adds MOST_DEADLY requests that end runners, at most; the others stay the same.
        has_limits: adds a series of each of LIMIT_KINDS; the other steps stay the same.
        has_partitions: adds a series of one of PARTITION_KINDS; the other steps stay the same.
        has_software: adds a series of each of SOFTWARE_KINDS; the other steps stay the same.
        has_notices: adds a series of each of NOTICE_KINDS; the other steps stay the same.
        has_deadly_parts: adds parts of prompts that end runners; the other steps stay the same.
    """
    rng = random.Random(seed)
    kinds = [rng.choice(OFTEN)]
    kinds += [rng.choice(list(STRUCK_AT_ONCE)) for _ in range(rng.randint(*SERIES))]
    steps = [
        step
        for number, kind in enumerate(kinds)
        for step in _draw_series(rng, kind, number, seconds)
    ]
    if has_runner_kinds:
        rng = random.Random(f"{seed} runners")
        for number, kind in enumerate(RUNNER_KINDS, len(kinds)):
            steps += _draw_series(rng, kind, number, seconds)
    if has_deadly:
        rng = random.Random(f"{seed} deadly")
        number = len(kinds) + len(RUNNER_KINDS)
        times = sorted(rng.uniform(0.0, seconds) for _ in range(rng.randint(1, MOST_DEADLY)))
        steps += [Step(round(at, 3), "deadly_request", (0,), 0.0, number) for at in times]
    if has_limits:
        rng = random.Random(f"{seed} limits")
        number = len(kinds) + len(RUNNER_KINDS) + 1
        for kind in LIMIT_KINDS:
            limits = _draw_series(rng, kind, number, seconds)
            steps += [
                attrs.evolve(step, lasts_s=step.lasts_s + EXTRA_LIMIT_DURATION_S) for step in limits
            ]
    if has_partitions:
        rng = random.Random(f"{seed} partitions")
        number = len(kinds) + len(RUNNER_KINDS) + 1 + len(LIMIT_KINDS)
        kind = rng.choice(list(PARTITION_KINDS))
        steps += [
            attrs.evolve(step, lasts_s=step.lasts_s + EXTRA_PARTITION_DURATION_S)
            for step in _draw_series(rng, kind, number, seconds)
        ]
    first = len(kinds) + len(RUNNER_KINDS) + 2 + len(LIMIT_KINDS)
    if has_software:
        steps += _draw_added(f"{seed} software", SOFTWARE_KINDS, first, seconds)
    if has_notices:
        first += len(SOFTWARE_KINDS)
        steps += _draw_added(f"{seed} notices", NOTICE_KINDS, first, seconds)
    if has_deadly_parts:
        rng = random.Random(f"{seed} deadly parts")
        times = sorted(rng.uniform(0.0, seconds) for _ in range(rng.randint(1, MOST_DEADLY_PARTS)))
        number = first + len(SOFTWARE_KINDS) + len(NOTICE_KINDS)
        steps += [
            Step(round(at, 3), "deadly_part", (rng.randrange(60),), 0.0, number) for at in times
        ]
    return sorted(steps, key=lambda step: step.at_s)


def add_restores(steps: Sequence[Step], seed: int, seconds: float) -> list[Step]:
    """Return a schedule with a series of RESTORE_KINDS beside its steps."""
    number = 1 + max((step.series for step in steps), default=0)
    restores = _draw_added(f"{seed} restores", RESTORE_KINDS, number, seconds)
    return sorted([*steps, *restores], key=lambda step: step.at_s)


def add_separations(steps: Sequence[Step], seed: int, seconds: float) -> list[Step]:
    """Return a schedule with separations of routers within which runners change their software.

    The first one begins early, since routers remember versions that have served: most miss a
    version only while all that they have heard of is the same.
    """
    number = 1 + max((step.series for step in steps), default=0)
    rng = random.Random(f"{seed} separations")
    at_s = rng.uniform(*FIRST_SEPARATION_S)
    added = []
    while at_s < seconds:
        targets = tuple(rng.randrange(1_000) for _ in range(SEPARATION_KINDS["separate_routers"]))
        lasts_s = rng.uniform(*LASTING_S)
        added.append(Step(round(at_s, 3), "separate_routers", targets, round(lasts_s, 3), number))
        rolled_at_s = at_s + rng.uniform(*ROLLED_AFTER_S)
        added.append(Step(round(rolled_at_s, 3), "roll_software", ROLLED, 0.0, number + 1))
        at_s += lasts_s + rng.uniform(*PAUSES_S)
    return sorted([*steps, *added], key=lambda step: step.at_s)


def _draw_added(seed: str, kinds: Iterable[str], first: int, seconds: float) -> list[Step]:
    """Return a series of each kind, numbered from ``first`` on."""
    rng = random.Random(seed)
    return [
        step
        for number, kind in enumerate(kinds, first)
        for step in _draw_series(rng, kind, number, seconds)
    ]


def _draw_series(rng: random.Random, kind: str, number: int, seconds: float) -> Iterable[Step]:
    pause_s = rng.uniform(*PAUSES_S)
    at_s = rng.uniform(0.0, seconds * 0.5)
    end_s = min(seconds, at_s + rng.uniform(0.2, 1.0) * seconds)
    first = rng.randrange(1_000)
    turn = 0
    while at_s < end_s:
        # Routers one after the other, as in a rolling restart, or by chance.
        targets = tuple(first + turn + more for more in range(max(1, ALL_KINDS[kind])))
        if rng.random() < 0.3:
            targets = tuple(rng.randrange(1_000) for _ in targets)
        lasts_s = rng.uniform(*LASTING_S) if kind in LASTING else 0.0
        yield Step(round(at_s, 3), kind, targets, round(lasts_s, 3), number)
        at_s += lasts_s + pause_s * rng.uniform(0.5, 1.5)
        turn += 1


def to_text(steps: Sequence[Step]) -> str:
    """Return a schedule as text, a step a line."""
    return "".join(json.dumps(attrs.asdict(step)) + "\n" for step in steps)


def from_text(text: str) -> list[Step]:
    """Read a schedule; raises ValueError that names the line."""
    steps = []
    for number, line in enumerate(text.splitlines(), 1):
        try:
            fields = json.loads(line)
            step = Step(**{**fields, "targets": tuple(fields["targets"])})
        except (TypeError, KeyError, ValueError) as exc:
            raise ValueError(f"line {number} is no step: {exc}") from exc
        if step.kind not in ALL_KINDS:
            raise ValueError(f"line {number}: there is no kind {step.kind!r}")
        steps.append(step)
    return sorted(steps, key=lambda step: step.at_s)
