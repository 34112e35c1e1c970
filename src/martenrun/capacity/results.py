"""The fields of the result files that the capacity table is worked out from.

Each struct reads one file of docs/measurements/; other fields of the file are ignored.  The
benchmarks that write the files define what the fields mean.
"""

import statistics
from collections.abc import Callable
from pathlib import Path
from typing import TypeVar

import msgspec

from martenrun.capacity.model import Spread
from martenrun.wire.messages import (
    Grant,
    LeasesVoided,
    Queued,
    Refusal,
    ReleaseSlots,
    RenewLeases,
    ReserveSlot,
    SlotGranted,
    SlotRefused,
    SlotsQueued,
)

Result = TypeVar("Result")

DECISION_KINDS = frozenset(
    cls.__name__
    for cls in (
        *(Grant, Queued, Refusal),
        *(ReserveSlot, SlotGranted, SlotRefused, SlotsQueued),
        *(ReleaseSlots, RenewLeases, LeasesVoided),
    )
)
"""Kinds of messages that nodes send because a request is decided or ends."""


class UnlikeResultError(ValueError):
    """A result was measured under other conditions than the table is for."""


class ScaleScenario(msgspec.Struct):
    """Size of a scale run."""

    nodes: int
    runners: int
    seed: int = 0


class ScaleUsage(msgspec.Struct):
    """What one hollow process spent while idle."""

    cpu_us_per_s: float
    sent_bytes_per_s: float
    sent_messages_per_s: float
    cpu_us_per_s_by_part: dict[str, float]
    cpu_us_per_s_by_event: dict[str, float]
    busiest_sent_bytes_per_s: float
    busiest_sent_messages_per_s: float


class MessageKind(msgspec.Struct):
    """What one kind of message cost its senders, with frames."""

    kind: str
    messages_per_request: float
    bytes_per_request: float


class ScaleLoad(msgspec.Struct):
    """What a request cost; ``node_kinds`` are all messages that nodes sent meanwhile."""

    node_cpu_us_per_request: float
    node_question_cpu_us_per_request: float
    agent_cpu_us_per_request: float
    node_bytes_per_request: float
    agent_bytes_per_request: float
    messages_per_request: float
    node_kinds: list[MessageKind]

    def decision_messages(self) -> list[MessageKind]:
        """Return the messages that a decision causes; the others go with time."""
        return [found for found in self.node_kinds if found.kind in DECISION_KINDS]


class ScaleResult(msgspec.Struct):
    """Result of ``martenrun bench scale``."""

    scenario: ScaleScenario
    codec_us_per_message: float
    idle_node: ScaleUsage
    idle_agent: ScaleUsage
    load: ScaleLoad
    watcher_cpu_us_per_change: float | None = None


class PathResult(msgspec.Struct):
    """Result of ``scripts/bench.py path``."""

    agent_cpu_ms_per_request: float


class ControlStep(msgspec.Struct):
    """One rate of ``scripts/bench.py control``."""

    rate: float
    cpu_us: float


class ControlResult(msgspec.Struct):
    """Result of ``scripts/bench.py control``: real nodes under load."""

    idle_thread_cpu_ms_per_s: dict[str, float]
    steps: list[ControlStep]


class ConfigurationResult(msgspec.Struct):
    """Result of ``martenrun bench configuration``."""

    node_bytes_per_s: float
    node_bytes_per_s_max: float
    node_messages_per_s: float
    state_bytes_per_object: float
    cpu_ms_per_process_s: float


class UsageExchangeResult(msgspec.Struct):
    """Result of ``martenrun bench usage-exchange``."""

    tenants: int
    sent_bytes_per_s_mean: float
    messages_per_s_mean: float
    cpu_ms_per_s_mean: float
    state_bytes_mean: float | None = None


class NodeStateResult(msgspec.Struct):
    """Result of ``martenrun bench node-state``."""

    bytes_per_member: float
    bytes_per_runner: float
    resident_bytes_per_runner: float
    routed_bytes: int


class PullCost(msgspec.Struct):
    """One question for the machine list."""

    reader_us: float
    asker_us: float
    answer_bytes: float


class MachineListResult(msgspec.Struct):
    """Result of ``martenrun bench machine-list``."""

    whole: PullCost
    change: PullCost
    unchanged: PullCost


class FeedResult(msgspec.Struct):
    """One entry of ``scripts/measure_feeds.py``: following all engines of a node."""

    way: str
    engines: int
    events_per_s: float
    cpu_ms_per_s: float


class MembershipCost(msgspec.Struct):
    """What each node spent per second on membership."""

    sent_bytes: float
    sent_messages: float
    cpu_us: float
    busiest_bytes: float


class MembershipRestart(msgspec.Struct):
    """What one node's restart cost each node, as the mean of so many."""

    sent_bytes: float
    sent_messages: float
    restarts: int = 0
    cpu_us: float | None = None


class MembershipResult(msgspec.Struct):
    """Result of ``martenrun bench membership``."""

    nodes: int
    loss: float
    restart: MembershipRestart
    zone: MembershipCost
    cut: MembershipCost
    heal: MembershipCost


class MembershipRun(msgspec.Struct):
    """One run in the file of ``martenrun bench membership``."""

    result: MembershipResult


class MembershipFile(msgspec.Struct):
    """Every run of ``martenrun bench membership``."""

    runs: list[MembershipRun]


class IndexResult(msgspec.Struct):
    """One line of ``martenrun bench index``."""

    kind: str
    bytes_per_block: float
    stored_ns_per_event: float
    removed_ns_per_event: float


class RestartSpread(msgspec.Struct):
    """Median of a figure over restarts."""

    median: float


class RestartResult(msgspec.Struct):
    """One state of ``scripts/measure_restart.py``; ``file_rss_mib`` is part of ``rss_mib``."""

    rss_mib: RestartSpread
    file_rss_mib: RestartSpread | None = None
    agent_rss_mib: RestartSpread | None = None
    bytecode_is_cached: bool = False


class StreamStep(msgspec.Struct):
    """One number of streams of ``scripts/bench.py streams`` or ``front``."""

    streams: int
    events_per_s: float
    cpu_part: float
    memory_kib_per_stream: float
    is_good: bool


class StreamsResult(msgspec.Struct):
    """Result of ``scripts/bench.py streams`` and ``scripts/bench.py front``."""

    steps: list[StreamStep]


def read_result(path: Path, kind: type[Result]) -> Result:
    """Read a file that holds one JSON object."""
    return msgspec.json.decode(path.read_bytes(), type=kind)


def read_last_restart(path: Path) -> RestartResult:
    """Return the state measured last; raises UnlikeResultError if it compiled at each start."""
    last = read_result(path, list[RestartResult])[-1]
    if not last.bytecode_is_cached:
        raise UnlikeResultError(f"{path.name}: measured without cached bytecode; measure again")
    return last


def read_lines(path: Path, kind: type[Result]) -> list[Result]:
    """Read a file that holds one JSON object a line."""
    lines = path.read_bytes().splitlines()
    return [msgspec.json.decode(line, type=kind) for line in lines if line.strip()]


def by_seed(results: list[ScaleResult]) -> list[list[ScaleResult]]:
    """Return the results of each seed that was run at several sizes."""
    seeds = sorted({result.scenario.seed for result in results})
    groups = [[r for r in results if r.scenario.seed == seed] for seed in seeds]
    return [group for group in groups if len({r.scenario.nodes for r in group}) > 1]


def spread_of(values: list[float]) -> Spread | None:
    """Return the spread of repeated values, None for a single one."""
    return Spread(min(values), max(values), len(values)) if len(values) > 1 else None


def median_of(results: list[Result], figure: Callable[[Result], float]) -> float:
    """Return the median of a figure over repeated runs."""
    return statistics.median(figure(result) for result in results)


def fit_line(points: list[tuple[float, float]]) -> tuple[float, float]:
    """Return (slope, value at zero) of the least-squares line; a falling line counts as flat."""
    xs = [x for x, _y in points]
    ys = [y for _x, y in points]
    if len(set(xs)) < 2:
        return 0.0, statistics.mean(ys)
    fitted = statistics.linear_regression(xs, ys)
    if fitted.slope < 0:
        return 0.0, statistics.mean(ys)
    return fitted.slope, fitted.intercept
