"""Drawing a run over real processes from a seed: its requests and its faults.

See also: :mod:`martenrun.proof.process_records`; ``scripts/prove_processes.py`` runs it.
"""

import enum
import random

import msgspec

TENANTS = ("growers", "millers")
NODES = 3
AGENTS = 2
ENGINES = 3
RELAYED_ENGINE = ENGINES - 1
"""The engine that is reached through a relay, which can cut and slow its connections."""
RELAYED_NODE = NODES - 1
"""The node that reaches the object API through a relay."""
RELAYED_AGENT = 0
"""The agent that reaches every node through a relay."""
ALL_NODES = "nodes"
"""What a fault hits that hits every node."""

LOAD_S = 2.0
LATE_LOAD_S = (3.5, 4.5)
"""When requests come a second time in a run with a leaving engine, in seconds."""
REQUESTS = 24
LATE_REQUESTS = 8
DEADLINE_S = 6.0
_FAULT_AT_S = (0.2, 1.0)
_FAULT_LASTS_S = (0.5, 1.5)
_OUTPUT_TOKENS = (8, 60)
_COPY_DELAY_S = 0.2
_AGENT_SHARE = 0.75
_REPEATABLE_SHARE = 0.5
_COPY_SHARE = 0.5


class ProcessFaultKind(enum.StrEnum):
    """What is done to the processes."""

    KILL_NODE = "kill_node"
    KILL_AGENT = "kill_agent"
    KILL_ENGINE = "kill_engine"
    FREEZE_NODE = "freeze_node"
    FREEZE_ENGINE = "freeze_engine"
    RESTART_ALL_NODES = "restart_all_nodes"
    STOP_NODE = "stop_node"
    STOP_AGENT = "stop_agent"
    CUT_AGENT = "cut_agent"
    ENGINE_LEAVES = "engine_leaves"
    CUT_ENGINE = "cut_engine"
    SLOW_ENGINE = "slow_engine"
    CUT_OBJECTS = "cut_objects"
    OBJECTS_DOWN = "objects_down"
    OBJECTS_SLOW = "objects_slow"
    OBJECTS_LOSE_ANSWERS = "objects_lose_answers"
    CONFIGURATION_CHANGE = "configuration_change"


_NODE_FAULTS = (
    ProcessFaultKind.KILL_NODE,
    ProcessFaultKind.FREEZE_NODE,
    ProcessFaultKind.STOP_NODE,
)
_ENGINE_FAULTS = (
    ProcessFaultKind.KILL_ENGINE,
    ProcessFaultKind.FREEZE_ENGINE,
    ProcessFaultKind.ENGINE_LEAVES,
)


class ProcessFault(msgspec.Struct, frozen=True):
    """One fault; ``process`` is the name of what it hits, times are from the run's start."""

    kind: ProcessFaultKind
    process: str
    at_s: float
    duration_s: float


class PlannedRequest(msgspec.Struct, frozen=True):
    """A request to send; copies of one operation share their ``source`` and key."""

    request_id: str
    source: str
    edge: str
    at_s: float
    tenant: str
    output_tokens: int
    repeatable: bool = True
    idempotency_key: str = ""


class ProcessSchedule(msgspec.Struct, frozen=True):
    """One run."""

    seed: int
    requests: list[PlannedRequest]
    faults: list[ProcessFault]


def draw_process_schedule(
    seed: int, kinds: tuple[ProcessFaultKind, ...] = tuple(ProcessFaultKind)
) -> ProcessSchedule:
    """Draw a run: one or two faults at different processes, and a mixed load."""
    rng = random.Random(seed)
    faults = [_draw_fault(rng, rng.choice(kinds))]
    if rng.random() < 0.5:
        second = _draw_fault(rng, rng.choice(kinds))
        if not _overlap(second.process, faults[0].process):
            faults.append(second)
    starts = [rng.uniform(0.0, LOAD_S) for _ in range(REQUESTS)]
    if any(fault.kind is ProcessFaultKind.ENGINE_LEAVES for fault in faults):
        starts += [rng.uniform(*LATE_LOAD_S) for _ in range(LATE_REQUESTS)]
    requests: list[PlannedRequest] = []
    for number, at_s in enumerate(starts):
        requests += _draw_operation(rng, f"{seed}-{number}", at_s)
    return ProcessSchedule(seed, sorted(requests, key=lambda request: request.at_s), faults)


def _overlap(one: str, other: str) -> bool:
    """Whether two faults hit the same process."""
    if ALL_NODES in (one, other):
        return one.startswith("node") and other.startswith("node")
    return one == other


def _draw_fault(rng: random.Random, kind: ProcessFaultKind) -> ProcessFault:
    return ProcessFault(
        kind, _draw_process(rng, kind), rng.uniform(*_FAULT_AT_S), rng.uniform(*_FAULT_LASTS_S)
    )


def _draw_process(rng: random.Random, kind: ProcessFaultKind) -> str:
    if kind in _NODE_FAULTS:
        return f"node-{rng.randrange(NODES)}"
    if kind in _ENGINE_FAULTS:
        return f"engine-{rng.randrange(ENGINES)}"
    if kind is ProcessFaultKind.RESTART_ALL_NODES:
        return ALL_NODES
    if kind is ProcessFaultKind.CUT_AGENT:
        return f"agent-{RELAYED_AGENT}"
    if kind in (ProcessFaultKind.KILL_AGENT, ProcessFaultKind.STOP_AGENT):
        return f"agent-{rng.randrange(AGENTS)}"
    if kind in (ProcessFaultKind.CUT_ENGINE, ProcessFaultKind.SLOW_ENGINE):
        return f"engine-{RELAYED_ENGINE}"
    if kind is ProcessFaultKind.CUT_OBJECTS:
        return f"node-{RELAYED_NODE}"
    return "operator" if kind is ProcessFaultKind.CONFIGURATION_CHANGE else "objects"


def _draw_edge(rng: random.Random) -> str:
    if rng.random() < _AGENT_SHARE:
        return f"agent-{rng.randrange(AGENTS)}"
    return f"node-{rng.randrange(NODES)}"


def _draw_operation(rng: random.Random, name: str, at_s: float) -> list[PlannedRequest]:
    """Draw a request, and for some keyed ones a copy at another time and edge."""
    request = PlannedRequest(
        request_id=name,
        source=name,
        edge=_draw_edge(rng),
        at_s=at_s,
        tenant=rng.choice(TENANTS),
        output_tokens=rng.randint(*_OUTPUT_TOKENS),
    )
    if rng.random() < _REPEATABLE_SHARE:
        return [request]
    keyed = msgspec.structs.replace(request, repeatable=False, idempotency_key=f"key-{name}")
    if rng.random() >= _COPY_SHARE:
        return [keyed]
    copy_at_s = at_s + rng.uniform(0.0, _COPY_DELAY_S)
    copy = msgspec.structs.replace(
        keyed, request_id=f"{name}-copy", edge=_draw_edge(rng), at_s=copy_at_s
    )
    return [keyed, copy]
