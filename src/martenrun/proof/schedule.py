"""Schedules of faults: what goes wrong, when, for how long, drawn from a seed."""

import enum
import random

import msgspec

from martenrun.orders.permits import LEASE_S

MINIMUM_GAP_S = 0.5
"""Faults start no earlier than this after the load, in seconds."""

HOLDER_PAUSE_S = LEASE_S + 20.0
"""How long the holder of a load permit is paused: others see its lease lapse, in seconds."""


class FaultKind(enum.StrEnum):
    """What can go wrong."""

    KILL_NODE = "kill_node"
    KILL_AGENT = "kill_agent"
    CRASH_ENGINE = "crash_engine"
    FREEZE_NODE = "freeze_node"
    FREEZE_AGENT = "freeze_agent"
    FREEZE_ENGINE = "freeze_engine"
    CUT_CONNECTIONS = "cut_connections"
    CUT_NETWORK = "cut_network"
    LOSE_MESSAGES = "lose_messages"
    STORE_DOWN = "store_down"
    CUT_FROM_STORE = "cut_from_store"
    LOSE_ANSWERS = "lose_answers"
    COMPACT_STORE = "compact_store"
    LOSE_CACHE_EVENTS = "lose_cache_events"
    ENGINE_LEAVES = "engine_leaves"
    RESTART_ALL_NODES = "restart_all_nodes"
    RACE_OPERATORS = "race_operators"
    SHIFT_HOT_PREFIX = "shift_hot_prefix"
    LOSE_ZONE = "lose_zone"
    CUT_REGIONS = "cut_regions"
    MACHINES_DOWN = "machines_down"
    MACHINES_LATE = "machines_late"
    ROLL_WEIGHTS = "roll_weights"
    PAUSE_PERMIT_HOLDER = "pause_permit_holder"
    STOP_NODE = "stop_node"
    STOP_AGENT = "stop_agent"


class Fault(msgspec.Struct, frozen=True):
    """One fault; ``target`` chooses among the machines of the fitting kind, modulo."""

    kind: FaultKind
    at_s: float
    duration_s: float
    target: int


class Schedule(msgspec.Struct, frozen=True):
    """Sizes, load and faults of one history; the same schedule gives the same history.

    ``load_s`` is the time during which callers send requests, ``requests_per_s`` in all;
    ``copy_share`` of the non-repeatable ones are sent twice with one idempotency key.
    Machines are spread evenly over ``zones``, and those over two regions.
    """

    seed: int
    nodes: int = 3
    agents: int = 2
    engines: int = 3
    zones: int = 1
    load_s: float = 10.0
    requests_per_s: float = 8.0
    copy_share: float = 0.4
    faults: tuple[Fault, ...] = ()


def draw_schedule(seed: int) -> Schedule:
    """Draw a schedule; one in twenty has tens of processes, the others about ten."""
    rng = random.Random(seed)
    is_large = rng.random() < 0.05
    load_s = rng.uniform(5.0, 12.0)
    faults = [_draw_fault(rng, load_s) for _ in range(rng.randint(1, 6))]
    if rng.random() < 0.3:
        faults.append(faults[0])
    return Schedule(
        seed=seed,
        nodes=rng.randint(8, 14) if is_large else rng.randint(2, 4),
        agents=rng.randint(6, 10) if is_large else rng.randint(1, 3),
        engines=rng.randint(6, 12) if is_large else rng.randint(2, 4),
        zones=rng.choice((1, 2, 3, 4)),
        load_s=load_s,
        requests_per_s=24.0 if is_large else rng.uniform(4.0, 12.0),
        faults=tuple(faults),
    )


def _draw_fault(rng: random.Random, load_s: float) -> Fault:
    kind = rng.choice(list(FaultKind))
    at_s = rng.uniform(MINIMUM_GAP_S, load_s)
    duration_s = rng.choice((0.3, 1.5, 5.0, 8.0))
    if kind is FaultKind.PAUSE_PERMIT_HOLDER:
        duration_s = HOLDER_PAUSE_S
    return Fault(kind, at_s, duration_s, rng.randrange(1_000))
