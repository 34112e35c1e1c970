"""Fitting the slopes of the capacity table from the result files in docs/measurements/."""

import statistics
from pathlib import Path

from martenrun.capacity.cache_fit import cache_slopes
from martenrun.capacity.day_fit import day_slopes
from martenrun.capacity.model import Driver, Figure, Slope, load_target
from martenrun.capacity.results import (
    ConfigurationResult,
    ControlResult,
    ScaleResult,
    UsageExchangeResult,
    by_seed,
    fit_line,
    median_of,
    read_last_restart,
    read_lines,
    read_result,
    spread_of,
)
from martenrun.capacity.role_fit import BYTES_PER_MIB, other_role_slopes, state_slopes

SCALE_FILE = "scale.jsonl"
FULL_FILE = "scale-full.json"
"""The run at the target's nodes and runners, if there is one."""

CONTROL_FILE = "control-node.json"
FEED_THREADS = ("cache-events", "runners", "engine-feeds")
"""Threads of a node that read from engines; engine feeds have lines of their own."""

SHARING_PART = "SharingLogic"
DESCRIPTION_EVENT = "RunnerDescribed"
OBJECTS_PER_TENANT = 2
MICROSECONDS_PER_MS = 1_000

_SCALE_RUN = "martenrun bench scale --nodes 10|40|120|370 --json"


def fit_slopes(measurements: Path) -> list[Slope]:
    """Return every slope that the result files give."""
    scale = read_lines(measurements / SCALE_FILE, ScaleResult)
    if (measurements / FULL_FILE).exists():
        scale.append(read_result(measurements / FULL_FILE, ScaleResult))
    return [
        *_process(measurements),
        *_idle_node(scale),
        *_sharing(measurements),
        *_requests(scale, measurements),
        *_configuration(measurements),
        *cache_slopes(measurements),
        *state_slopes(measurements),
        *other_role_slopes(scale, measurements),
        *day_slopes(measurements),
    ]


def _process(measurements: Path) -> list[Slope]:
    """Memory of a node process that serves nothing, from the last state measured."""
    name = "restart.json"
    last = read_last_restart(measurements / name)
    file_pages = f"of it {last.file_rss_mib.median:.1f} MiB of files" if last.file_rss_mib else ""
    return [
        Slope(
            "node",
            "interpreter, libraries, threads",
            Driver.CONSTANT,
            "src/martenrun/node/process.py",
            "scripts/measure_restart.py",
            f"docs/measurements/{name}",
            state_bytes=last.rss_mib.median * BYTES_PER_MIB,
            note=file_pages,
        )
    ]


def _idle_node(scale: list[ScaleResult]) -> list[Slope]:
    """Cost of a node without requests; usage and descriptions have lines of their own."""

    def points(figure: str, results: list[ScaleResult]) -> list[tuple[float, float]]:
        return [(float(r.scenario.nodes), float(getattr(r.idle_node, figure))) for r in results]

    def cpu(results: list[ScaleResult]) -> list[tuple[float, float]]:
        return [(float(r.scenario.nodes), _idle_cpu_us(r)) for r in results]

    cpu_slope, cpu_base = fit_line(cpu(scale))
    fits = [fit_line(cpu(results)) for results in by_seed(scale)]
    bytes_slope, bytes_base = fit_line(points("sent_bytes_per_s", scale))
    messages_slope, messages_base = fit_line(points("sent_messages_per_s", scale))
    files = f"docs/measurements/{SCALE_FILE}"
    mechanism = "src/martenrun/node/parts.py"
    note = "logic only, without sockets and threads; spread over seeds"
    return [
        Slope("node", "idle, base", Driver.CONSTANT, mechanism, _SCALE_RUN, files,
              cpu_us=cpu_base, sent_bytes=bytes_base, messages=messages_base, note=note,
              cpu_us_spread=spread_of([base for _slope, base in fits])),
        Slope("node", "idle, growth", Driver.NODES, mechanism, _SCALE_RUN, files,
              cpu_us=cpu_slope, sent_bytes=bytes_slope, messages=messages_slope, note=note,
              cpu_us_spread=spread_of([slope for slope, _base in fits])),
        _descriptions(scale, files),
    ]  # fmt: skip


def _idle_cpu_us(result: ScaleResult) -> float:
    idle = result.idle_node
    sharing = idle.cpu_us_per_s_by_part.get(SHARING_PART, 0.0)
    return idle.cpu_us_per_s - sharing - idle.cpu_us_per_s_by_event.get(DESCRIPTION_EVENT, 0.0)


def _descriptions(scale: list[ScaleResult], files: str) -> Slope:
    figures = [
        r.idle_node.cpu_us_per_s_by_event.get(DESCRIPTION_EVENT, 0.0)
        / (r.scenario.runners / r.scenario.nodes)
        for r in scale
    ]
    return Slope(
        "node", "runner descriptions at the owner", Driver.RUNNERS,
        "src/martenrun/ownership/slots.py", _SCALE_RUN, files,
        cpu_us=statistics.median(figures), cpu_us_spread=spread_of(figures),
        note="logic only, two descriptions a second; leases count as decisions",
    )  # fmt: skip


def _sharing(measurements: Path) -> list[Slope]:
    name = "usage-exchange.json"
    result = read_result(measurements / name, UsageExchangeResult)
    return [
        Slope(
            "node",
            "usage of tenants",
            Driver.TENANTS,
            "src/martenrun/sharing/usage.py",
            "martenrun bench usage-exchange --json",
            f"docs/measurements/{name}",
            cpu_us=result.cpu_ms_per_s_mean * MICROSECONDS_PER_MS / result.tenants,
            sent_bytes=result.sent_bytes_per_s_mean / result.tenants,
            messages=result.messages_per_s_mean / result.tenants,
            state_bytes=(result.state_bytes_mean or 0.0) / result.tenants,
            unmeasured=[Figure.MEMORY] if result.state_bytes_mean is None else [],
            note="mean node at 370 nodes; the busiest sends three times as much",
        )
    ]


def _requests(scale: list[ScaleResult], measurements: Path) -> list[Slope]:
    logic = [result.load.node_question_cpu_us_per_request for result in scale]
    most_nodes = max(result.scenario.nodes for result in scale)
    largest = [result for result in scale if result.scenario.nodes == most_nodes]
    messages = median_of(largest, lambda result: result.load.messages_per_request)
    codec_us = median_of(scale, lambda result: result.codec_us_per_message) * messages
    sent = [result.load.decision_messages() for result in largest]
    sent_bytes = [sum(kind.bytes_per_request for kind in kinds) for kinds in sent]
    sent_messages = [sum(kind.messages_per_request for kind in kinds) for kinds in sent]
    logic_us = median_of(largest, lambda result: result.load.node_question_cpu_us_per_request)
    files = f"docs/measurements/{SCALE_FILE}"
    return [
        Slope("node", "decisions and leases", Driver.REQUESTS_PER_S,
              "src/martenrun/ownership/home.py", _SCALE_RUN, files,
              cpu_us=logic_us, sent_bytes=statistics.median(sent_bytes),
              messages=statistics.median(sent_messages), cpu_us_spread=spread_of(logic),
              note="home and owner; bytes with frames, without queues; "
              f"at {most_nodes} nodes; spread over sizes and seeds"),
        Slope("node", "encoding of messages", Driver.REQUESTS_PER_S,
              "src/martenrun/wire/codec.py", _SCALE_RUN, files, cpu_us=codec_us),
        *_drivers(scale, measurements),
    ]  # fmt: skip


def _drivers(scale: list[ScaleResult], measurements: Path) -> list[Slope]:
    """What a real process takes beyond logic and encoding, under load and idle.

    The run has three nodes and few runners, so the smallest scale runs are taken off.  A
    difference that is not positive shows that the two were measured under unlike conditions: it
    is no figure at all.
    """
    control = read_result(measurements / CONTROL_FILE, ControlResult)
    least_nodes = min(result.scenario.nodes for result in scale)
    small = [result for result in scale if result.scenario.nodes == least_nodes]
    target = load_target().size
    rate = target.requests_per_s / target.nodes
    step = min(control.steps, key=lambda entry: abs(entry.rate - rate))
    logic_us = median_of(small, lambda result: result.load.node_question_cpu_us_per_request)
    messages = median_of(small, lambda result: result.load.messages_per_request)
    codec_us = median_of(small, lambda result: result.codec_us_per_message) * messages
    threads = control.idle_thread_cpu_ms_per_s
    idle_ms = sum(spent for name, spent in threads.items() if name not in FEED_THREADS)
    idle_us = idle_ms * MICROSECONDS_PER_MS
    return [
        _difference("idle, threads and loop", Driver.CONSTANT,
                    idle_us - median_of(small, lambda result: result.idle_node.cpu_us_per_s),
                    "real idle nodes without the threads that feed on engines, less the logic"),
        _difference("sockets, threads, loop", Driver.REQUESTS_PER_S,
                    step.cpu_us - logic_us - codec_us,
                    f"real nodes at {step.rate:.0f} requests/s each, less logic and encoding"),
    ]  # fmt: skip


def _difference(name: str, driver: Driver, cpu_us: float, note: str) -> Slope:
    is_figure = cpu_us > 0
    return Slope(
        "node", name, driver, "src/martenrun/wire/transport.py", "scripts/bench.py control",
        f"docs/measurements/{CONTROL_FILE}",
        cpu_us=cpu_us if is_figure else 0.0,
        unmeasured=[] if is_figure else [Figure.CPU],
        note=note,
    )  # fmt: skip


def _configuration(measurements: Path) -> list[Slope]:
    name = "configuration-370.json"
    result = read_result(measurements / name, ConfigurationResult)
    run = "martenrun bench configuration --nodes 370 --json"
    files = f"docs/measurements/{name}"
    return [
        Slope("node", "configuration changes", Driver.CONSTANT,
              "src/martenrun/configuration/replica.py", run, files,
              cpu_us=result.cpu_ms_per_process_s * MICROSECONDS_PER_MS,
              sent_bytes=result.node_bytes_per_s / 2, messages=result.node_messages_per_s / 2,
              note="at the target's rate of changes, 5% loss; half of both directions"),
        Slope("node", "configuration state", Driver.TENANTS,
              "src/martenrun/configuration/state.py", run, files,
              state_bytes=result.state_bytes_per_object * OBJECTS_PER_TENANT,
              note="a tenant and a key each"),
    ]  # fmt: skip
