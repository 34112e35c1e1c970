"""What the scale run reports; every figure is of one run."""

from collections.abc import Sequence

import msgspec

from martenrun.bench.scale.kinds import KindUsage


class Scenario(msgspec.Struct, frozen=True):
    """Size and faults of a run; times are virtual.

    ``loss`` holds per message while configuration changes and in the phases with faults.
    """

    nodes: int
    runners: int
    agents: int
    tenants: int
    seed: int
    loss: float
    requests_per_node_s: float
    phase_s: float
    changes: int
    with_faults: bool = True


class Spread(msgspec.Struct, frozen=True):
    """Times in seconds over ``count`` observations."""

    p50: float
    p99: float
    maximum: float
    count: int


class PartCost(msgspec.Struct, frozen=True):
    """Processor time of one part of a role's logic and one kind of event."""

    part: str
    event: str
    calls: int
    cpu_us_per_call: float


class Usage(msgspec.Struct, frozen=True):
    """What one process of a role spent in a phase, on average.

    ``cpu_us_per_s`` is the processor time of decision logic; encoding is reported apart.
    ``busiest_sent_bytes_per_s`` is of the process that sent most.
    """

    cpu_us_per_s: float
    sent_bytes_per_s: float
    sent_messages_per_s: float
    received_messages_per_s: float
    cpu_us_per_s_by_part: dict[str, float]
    cpu_us_per_s_by_event: dict[str, float]
    busiest_sent_bytes_per_s: float
    busiest_sent_messages_per_s: float


class LoadResult(msgspec.Struct, frozen=True):
    """What a load did and cost; per-request costs are above those of the idle phase.

    ``node_question_cpu_us_per_request`` counts only the events that requests cause at homes and
    owners; it does not hold the difference of two phases, and so scatters less.
    ``node_kinds`` are all messages of nodes while the load ran and ended, with frames; the
    exchange of usage and other messages that go with time weigh less the longer the phase is.
    """

    asked: int
    whole: int
    refused: int
    rejected_by_engines: int
    decision: Spread
    node_cpu_us_per_request: float
    node_question_cpu_us_per_request: float
    agent_cpu_us_per_request: float
    node_bytes_per_request: float
    agent_bytes_per_request: float
    messages_per_request: float
    dearest: list[PartCost]
    node_kinds: list[KindUsage] = []


class FaultResult(msgspec.Struct, frozen=True):
    """What happened after one fault.

    ``noticed`` are the times until each node saw it; ``recovered`` until each saw the whole
    cluster again, or served again; ``asked``, ``whole`` and ``refused`` count requests of the
    load that went on.
    """

    fault: str
    noticed: Spread
    recovered: Spread
    asked: int
    whole: int
    refused: int


class ScaleReport(msgspec.Struct, frozen=True):
    """The result of a run.

    ``watcher_cpu_us_per_change`` is what a node that watches the object API spends on each
    change that it hears of.
    """

    scenario: Scenario
    start_s: float
    codec_us_per_message: float
    idle_node: Usage
    idle_agent: Usage
    load: LoadResult
    change_in_force: Spread
    watcher_cpu_us_per_change: float
    faults: list[FaultResult]
    peak_memory_bytes: int
    elapsed_s: float


def spread(times: Sequence[float]) -> Spread:
    """Summarise times; all zero if there are none."""
    ordered = sorted(times) or [0.0]

    def at(share: float) -> float:
        return round(ordered[min(len(ordered) - 1, int(share * len(ordered)))], 4)

    return Spread(at(0.5), at(0.99), round(ordered[-1], 4), len(times))
