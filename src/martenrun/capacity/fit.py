"""Fitting the slopes of the capacity table from the result files in docs/measurements/."""

from pathlib import Path

from martenrun.capacity.model import Driver, Slope
from martenrun.capacity.results import (
    ConfigurationResult,
    IndexResult,
    PathResult,
    RestartResult,
    ScaleResult,
    StreamsResult,
    UsageExchangeResult,
    fit_line,
    median_of,
    read_lines,
    read_result,
)

SCALE_FILE = "scale.jsonl"
SHARING_PART = "SharingLogic"
OBJECTS_PER_TENANT = 2
MICROSECONDS_PER_MS = 1_000
BYTES_PER_MIB = 1_048_576
NANOSECONDS_PER_MICROSECOND = 1_000

_SCALE_RUN = "martenrun bench scale --nodes 10|40|120|370 --json"


def fit_slopes(measurements: Path) -> list[Slope]:
    """Return every slope that the result files give."""
    scale = read_lines(measurements / SCALE_FILE, ScaleResult)
    return [
        *_process(measurements),
        *_idle_node(scale),
        *_sharing(measurements),
        *_requests(scale, measurements),
        *_configuration(measurements),
        *_cache(measurements),
        *_agent(scale, measurements),
    ]


def _process(measurements: Path) -> list[Slope]:
    """Memory of a node process that serves nothing, from the last state measured."""
    name = "restart.json"
    last = read_result(measurements / name, list[RestartResult])[-1]
    return [
        Slope(
            "node",
            "interpreter, libraries, threads",
            Driver.CONSTANT,
            "src/martenrun/node/process.py",
            "scripts/measure_restart.py",
            f"docs/measurements/{name}",
            state_bytes=last.rss_mib.median * BYTES_PER_MIB,
        )
    ]


def _idle_node(scale: list[ScaleResult]) -> list[Slope]:
    """Cost of a node without requests; the exchange of usage has a line of its own."""

    def points(figure: str) -> list[tuple[float, float]]:
        return [
            (float(result.scenario.nodes), float(getattr(result.idle_node, figure)))
            for result in scale
        ]

    cpu = [
        (
            float(result.scenario.nodes),
            result.idle_node.cpu_us_per_s
            - result.idle_node.cpu_us_per_s_by_part.get(SHARING_PART, 0.0),
        )
        for result in scale
    ]
    cpu_slope, cpu_base = fit_line(cpu)
    bytes_slope, bytes_base = fit_line(points("sent_bytes_per_s"))
    messages_slope, messages_base = fit_line(points("sent_messages_per_s"))
    files = f"docs/measurements/{SCALE_FILE}"
    mechanism = "src/martenrun/node/parts.py"
    note = "32 owned runners; logic only, without sockets and threads"
    return [
        Slope("node", "idle, base", Driver.CONSTANT, mechanism, _SCALE_RUN, files,
              cpu_us=cpu_base, sent_bytes=bytes_base, messages=messages_base, note=note),
        Slope("node", "idle, growth", Driver.NODES, mechanism, _SCALE_RUN, files,
              cpu_us=cpu_slope, sent_bytes=bytes_slope, messages=messages_slope, note=note),
    ]  # fmt: skip


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
            note="mean node at 370 nodes; the busiest sends three times as much",
        )
    ]


def _requests(scale: list[ScaleResult], measurements: Path) -> list[Slope]:
    path = read_result(measurements / "path.json", PathResult)
    logic_us = median_of(scale, lambda result: result.load.node_cpu_us_per_request)
    messages = median_of(scale, lambda result: result.load.messages_per_request)
    codec_us = median_of(scale, lambda result: result.codec_us_per_message) * messages
    sent_bytes = median_of(scale, lambda result: result.load.node_bytes_per_request)
    process_us = path.node_cpu_ms_per_request * MICROSECONDS_PER_MS
    drivers_us = max(0.0, process_us - logic_us - codec_us)
    files = f"docs/measurements/{SCALE_FILE}"
    return [
        Slope("node", "decisions", Driver.REQUESTS_PER_S, "src/martenrun/ownership/home.py",
              _SCALE_RUN, files, cpu_us=logic_us, sent_bytes=sent_bytes, messages=messages,
              note="home and owner, with the exchange of usage that goes with load; median"),
        Slope("node", "encoding of messages", Driver.REQUESTS_PER_S,
              "src/martenrun/wire/codec.py", _SCALE_RUN, files, cpu_us=codec_us),
        Slope("node", "sockets, threads, loop", Driver.REQUESTS_PER_S,
              "src/martenrun/wire/transport.py", "scripts/bench.py path",
              "docs/measurements/path.json", cpu_us=drivers_us,
              note="what a real process takes beyond logic and encoding"),
    ]  # fmt: skip


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


def _cache(measurements: Path) -> list[Slope]:
    name = "routing-index.json"
    lines = [
        result for result in read_lines(measurements / name, IndexResult) if result.kind == "arrays"
    ]
    stored_ns = median_of(lines, lambda result: result.stored_ns_per_event)
    removed_ns = median_of(lines, lambda result: result.removed_ns_per_event)
    run = "martenrun bench index --json"
    files = f"docs/measurements/{name}"
    mechanism = "src/martenrun/routing/prefix_index.py"
    return [
        Slope("node", "cache events", Driver.CACHE_EVENTS_PER_S, mechanism, run, files,
              cpu_us=(stored_ns + removed_ns) / 2 / NANOSECONDS_PER_MICROSECOND,
              note="index only; reading and decoding the feeds is not measured"),
        Slope("node", "believed blocks", Driver.BLOCKS, mechanism, run, files,
              state_bytes=median_of(lines, lambda result: result.bytes_per_block)),
    ]  # fmt: skip


def _agent(scale: list[ScaleResult], measurements: Path) -> list[Slope]:
    """The agents' side: not control of a node, but the path that carries the tokens."""
    streams = read_result(measurements / "streams.json", StreamsResult)
    good = [step for step in streams.steps if step.is_good]
    best = max(good, key=lambda step: step.events_per_s)
    cpu_us = best.cpu_part * 1_000_000 / best.events_per_s
    return [
        Slope("agents, all", "tokens carried", Driver.TOKENS_PER_S,
              "src/martenrun/edge/forward.py", "scripts/bench.py streams",
              "docs/measurements/streams.json", cpu_us=cpu_us,
              note=f"{best.events_per_s:.0f} tokens/s a process before quality falls"),
    ]  # fmt: skip
