"""Slopes of a node's beliefs, of roles that few nodes have, and of agents."""

import statistics
from pathlib import Path

from martenrun.capacity.model import Driver, Figure, Slope, load_target, units_at
from martenrun.capacity.results import (
    ConfigurationResult,
    MachineListResult,
    NodeStateResult,
    PathResult,
    ScaleResult,
    StreamsResult,
    median_of,
    read_last_restart,
    read_result,
)
from martenrun.ownership.machine_feed import PULL_INTERVAL_S, READERS

MICROSECONDS_PER_MS = 1_000
MICROSECONDS_PER_S = 1_000_000
BYTES_PER_MIB = 1_048_576
AGENTS = "agents, all"
FRONTS = "fronts, if no caller had an agent"
_SCALE_RUN = "martenrun bench scale --nodes 10|40|120|370 --json"
_SCALE_FILE = "docs/measurements/scale.jsonl"
_CONFIGURATION_FILE = "configuration-370.json"


def state_slopes(measurements: Path) -> list[Slope]:
    """Return what a node believes of members and runners."""
    name = "node-state.json"
    result = read_result(measurements / name, NodeStateResult)
    run, file = "martenrun bench node-state --json", f"docs/measurements/{name}"
    return [
        Slope("node", "members known", Driver.NODES, "src/martenrun/membership/table.py", run,
              file, state_bytes=result.bytes_per_member),
        Slope("node", "runners known", Driver.RUNNERS_IN_ALL, "src/martenrun/node/runners.py",
              run, file, state_bytes=result.bytes_per_runner,
              note="machine list, table, owners, index of pools"),
        Slope("node", "runners, freed and not given back", Driver.RUNNERS_IN_ALL,
              "src/martenrun/backends/machine_list.py", run, file,
              state_bytes=max(0.0, result.resident_bytes_per_runner - result.bytes_per_runner),
              note="what the process grew by as the list came and changed, above what is in use"),
        Slope("node", "chains sent", Driver.CONSTANT, "src/martenrun/routing/beliefs.py",
              run, file, state_bytes=float(result.routed_bytes), note="at the bounds of the code"),
    ]  # fmt: skip


def other_role_slopes(scale: list[ScaleResult], measurements: Path) -> list[Slope]:
    """Return the roles beside that of every node."""
    return [
        _machine_list_reader(scale, measurements),
        _watcher(scale, measurements),
        _tokens_carried(FRONTS, "front", "streams-front.json", measurements),
        *_agents(scale, measurements),
    ]  # fmt: skip


def _machine_list_reader(scale: list[ScaleResult], measurements: Path) -> Slope:
    """The busiest idle node is one of the three readers, whom all others ask."""

    def above(result: ScaleResult, busiest: float, mean: float) -> float:
        return max(0.0, busiest - mean) / result.scenario.nodes

    path = measurements / "machine-list.json"
    is_measured = path.exists()
    # Each node asks one of the readers in each interval; nearly always there is nothing new.
    answer_us = read_result(path, MachineListResult).unchanged.reader_us if is_measured else 0.0
    return Slope(
        "machine list reader, three", "answers to the others", Driver.NODES,
        "src/martenrun/ownership/machine_feed.py", _SCALE_RUN, _SCALE_FILE,
        cpu_us=answer_us / (PULL_INTERVAL_S * READERS),
        sent_bytes=median_of(scale, lambda r: above(
            r, r.idle_node.busiest_sent_bytes_per_s, r.idle_node.sent_bytes_per_s)),
        messages=median_of(scale, lambda r: above(
            r, r.idle_node.busiest_sent_messages_per_s, r.idle_node.sent_messages_per_s)),
        unmeasured=[] if is_measured else [Figure.CPU],
        note="what the busiest idle node sends above the mean; processor time of unchanged "
        "answers and their encoding from martenrun bench machine-list",
    )  # fmt: skip


def _watcher(scale: list[ScaleResult], measurements: Path) -> Slope:
    result = read_result(measurements / _CONFIGURATION_FILE, ConfigurationResult)
    per_change = [found for run in scale if (found := run.watcher_cpu_us_per_change)]
    changes_per_s = units_at(Driver.CHANGES_PER_S, load_target().size)
    return Slope(
        "configuration watcher, one a region", "pushes of changes", Driver.CONSTANT,
        "src/martenrun/configuration/watching.py",
        "martenrun bench configuration --nodes 370 --json",
        f"docs/measurements/{_CONFIGURATION_FILE}",
        cpu_us=statistics.median(per_change or [0.0]) * changes_per_s,
        sent_bytes=max(0.0, result.node_bytes_per_s_max - result.node_bytes_per_s) / 2,
        unmeasured=[Figure.MESSAGES] if per_change else [Figure.CPU, Figure.MESSAGES],
        note="what the busiest node moves above the mean; half of both directions; processor "
        "time of taking in a change, from the scale run",
    )  # fmt: skip


def _agents(scale: list[ScaleResult], measurements: Path) -> list[Slope]:
    """The agents' side: not control of a node, but the path that carries the tokens."""
    path = read_result(measurements / "path.json", PathResult)
    resident = read_last_restart(measurements / "restart.json").agent_rss_mib
    return [
        Slope(AGENTS, "requests", Driver.REQUESTS_IN_ALL_PER_S, "src/martenrun/agent/requests.py",
              "scripts/bench.py path", "docs/measurements/path.json",
              cpu_us=path.agent_cpu_ms_per_request * MICROSECONDS_PER_MS,
              sent_bytes=median_of(scale, lambda r: r.load.agent_bytes_per_request),
              note="whole process, prompts of 40,000 bytes; bytes of control from the scale run"),
        _tokens_carried(AGENTS, "streams", "streams.json", measurements),
        Slope("agent, one", "idle", Driver.CONSTANT, "src/martenrun/agent/parts.py", _SCALE_RUN,
              _SCALE_FILE, cpu_us=median_of(scale, lambda r: r.idle_agent.cpu_us_per_s),
              sent_bytes=median_of(scale, lambda r: r.idle_agent.sent_bytes_per_s),
              messages=median_of(scale, lambda r: r.idle_agent.sent_messages_per_s),
              state_bytes=0.0 if resident is None else resident.median * BYTES_PER_MIB,
              unmeasured=[Figure.MEMORY] if resident is None else [],
              note="logic only; memory of a process that carried few requests"),
    ]  # fmt: skip


def _tokens_carried(role: str, benchmark: str, name: str, measurements: Path) -> Slope:
    """Return what a token costs at the highest rate that one process was seen to carry well."""
    result = read_result(measurements / name, StreamsResult)
    good = [step for step in result.steps if step.is_good]
    best = max(good, key=lambda step: step.events_per_s)
    cpu_us = best.cpu_part * MICROSECONDS_PER_S / best.events_per_s
    return Slope(
        role, "tokens carried", Driver.TOKENS_PER_S, "src/martenrun/edge/relay.py",
        f"scripts/bench.py {benchmark}", f"docs/measurements/{name}", cpu_us=cpu_us,
        note=f"{best.events_per_s:.0f} tokens/s and {best.streams} streams a process, "
        f"{best.memory_kib_per_stream:.0f} KiB a stream; more was not tried",
    )  # fmt: skip
