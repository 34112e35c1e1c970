"""Schedules of faults under which a guard is missed if it is taken out."""

import msgspec

from martenrun.proof.schedule import HOLDER_PAUSE_S, Fault, FaultKind, Schedule, draw_schedule


def fault(kind, at_s, duration_s=1.0, target=0):
    return Fault(kind, at_s, duration_s, target)


def schedule(*faults, **fields):
    return Schedule(**{"seed": 7, "faults": faults, **fields})


CRASHES = schedule(
    *(fault(FaultKind.CRASH_ENGINE, 1.0 + index, 0.3, index) for index in range(8)),
    requests_per_s=16.0,
    copy_share=0.0,
)
CUTS = schedule(
    *(fault(FaultKind.CUT_CONNECTIONS, 0.5 + 0.25 * index, 0.0, index) for index in range(36)),
    requests_per_s=16.0,
    copy_share=0.0,
)
LEAVING = schedule(fault(FaultKind.ENGINE_LEAVES, 1.0), load_s=9.0, requests_per_s=8.0)
BUSY_LEAVING = schedule(
    fault(FaultKind.ENGINE_LEAVES, 1.0),
    seed=8,
    engines=1,
    load_s=9.5,
    requests_per_s=40.0,
    copy_share=0.0,
)
RESTART_WITHOUT_STORE = schedule(
    fault(FaultKind.STORE_DOWN, 0.5, 9.0), fault(FaultKind.KILL_NODE, 2.0, 0.3)
)
RESTART_ALL_WITHOUT_STORE = schedule(
    fault(FaultKind.STORE_DOWN, 0.5, 9.0),
    fault(FaultKind.RESTART_ALL_NODES, 2.0, 0.3),
    nodes=4,
    agents=1,
    requests_per_s=16.0,
)
PAUSED_NODE = schedule(
    fault(FaultKind.FREEZE_NODE, 2.0, 5.0),
    fault(FaultKind.ENGINE_LEAVES, 2.2),
    nodes=1,
    engines=2,
    requests_per_s=16.0,
)
PAUSED_AGENT = schedule(
    fault(FaultKind.FREEZE_AGENT, 2.0, 5.0),
    fault(FaultKind.ENGINE_LEAVES, 2.2),
    seed=2,
    nodes=2,
    agents=1,
    engines=1,
    load_s=4.0,
    requests_per_s=80.0,
    copy_share=0.0,
)
RUNNERS_RESTARTED = schedule(
    *(fault(FaultKind.CRASH_ENGINE, 1.0 + 0.35 * index, 0.3, index) for index in range(18)),
    seed=1,
    nodes=4,
    agents=2,
    engines=4,
    requests_per_s=60.0,
    copy_share=0.0,
)
NODES_RESTARTED = schedule(
    fault(FaultKind.RESTART_ALL_NODES, 2.8842861076872714, 5.0, 547),
    fault(FaultKind.FREEZE_ENGINE, 3.282518932346762, 0.3, 243),
    fault(FaultKind.CUT_CONNECTIONS, 2.9975614068653877, 1.5, 527),
    fault(FaultKind.CUT_NETWORK, 5.0535837432115, 1.5, 483),
    fault(FaultKind.CRASH_ENGINE, 3.783243103856903, 8.0, 206),
    seed=272,
    nodes=2,
    agents=3,
    engines=2,
    load_s=7.512159991545346,
    requests_per_s=9.454497896720301,
)
AGENTS_RESTARTED = schedule(
    *(fault(FaultKind.KILL_NODE, 1.0, 8.0, index) for index in range(3)),
    *(fault(FaultKind.KILL_AGENT, 2.0 + 1.6 * index, 0.3, index % 2) for index in range(4)),
    nodes=4,
    agents=2,
    requests_per_s=32.0,
)
REGIONS_CUT = schedule(
    fault(FaultKind.CUT_REGIONS, 1.0, 6.0),
    *(fault(FaultKind.RACE_OPERATORS, 1.2 + 0.5 * index) for index in range(12)),
    seed=8,
    nodes=4,
    agents=4,
    engines=4,
    zones=4,
    load_s=3.0,
    requests_per_s=160.0,
    copy_share=0.0,
)
ZONE_LOST = schedule(
    *(fault(FaultKind.LOSE_ZONE, 1.0 + 2.0 * index, 1.5, index) for index in range(4)),
    nodes=4,
    agents=4,
    engines=4,
    zones=4,
    requests_per_s=16.0,
    copy_share=0.0,
)
LEAVING_UNSEEN = schedule(
    fault(FaultKind.MACHINES_LATE, 0.5, 0.3),
    fault(FaultKind.ENGINE_LEAVES, 0.6),
    fault(FaultKind.MACHINES_DOWN, 2.0, 0.3),
    nodes=2,
    zones=2,
    load_s=9.5,
    requests_per_s=16.0,
)
FEEDS_LOST = schedule(
    *(fault(FaultKind.CRASH_ENGINE, 1.0 + index, 0.3, index) for index in range(8)),
    *(fault(FaultKind.LOSE_CACHE_EVENTS, 0.5 + 2.0 * index, 1.5, index) for index in range(4)),
    requests_per_s=16.0,
)
ROLL = schedule(
    fault(FaultKind.ROLL_WEIGHTS, 1.0),
    *(fault(FaultKind.CUT_CONNECTIONS, 0.8 + 0.25 * index, 0.0, index) for index in range(36)),
    engines=4,
    load_s=10.0,
    requests_per_s=40.0,
    copy_share=0.0,
)
ROLL_OF_TWO = schedule(fault(FaultKind.ROLL_WEIGHTS, 1.0), engines=2, load_s=2.0)
HOLDER_PAUSED = schedule(
    fault(FaultKind.PAUSE_PERMIT_HOLDER, 1.0, HOLDER_PAUSE_S),
    fault(FaultKind.STORE_DOWN, 5.0, 5.0),
    engines=4,
    load_s=4.0,
)
STOPS = schedule(
    *(fault(FaultKind.STOP_NODE, 1.0 + 4.0 * index, 5.0, index) for index in range(2)),
    *(fault(FaultKind.STOP_AGENT, 0.8 + 1.5 * index, 0.3, index) for index in range(6)),
    nodes=3,
    agents=3,
    requests_per_s=32.0,
)
STOP_AT_START = schedule(
    fault(FaultKind.KILL_NODE, 1.0, 0.3),
    fault(FaultKind.STOP_NODE, 1.32, 8.0),
    agents=1,
    load_s=4.0,
    seed=20,
)
LATE_MESSAGES = schedule(
    fault(FaultKind.LOSE_MESSAGES, 0.5, 9.0, target=1),
    *(fault(FaultKind.RACE_OPERATORS, 1.0 + 0.2 * index) for index in range(30)),
)
WATCHERS_PAUSED = schedule(
    *(fault(FaultKind.FREEZE_NODE, 4.0, 25.0, index) for index in (1, 2)),
    fault(FaultKind.RACE_OPERATORS, 4.3),
    seed=8,
    load_s=22.0,
    requests_per_s=3.0,
)
LATE_ANSWERS = msgspec.structs.replace(draw_schedule(12_172), seed=512_172)
