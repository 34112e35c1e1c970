"""The joined scale run: hollow nodes beside real nodes, agents and engines, over loopback.

Prints one JSON line.  Everything it started has ended after it, also on Ctrl-C and SIGTERM.

See also: docs/design/scale.md, :mod:`martenrun.bench.scale.host`.
"""

import concurrent.futures
import contextlib
import dataclasses
import itertools
import json
import os
import signal
import statistics
import sys
import time
from collections.abc import Callable
from dataclasses import dataclass

import click
import msgspec
import urllib3
from deployment import Deployment, free_address, wait_until
from joined_hosts import Host, Timeline, shares, start_hosts
from joined_watch import KEY, MODEL, Callers, Guard, PhaseLoad, RealEdges, resident_bytes

from martenrun.bench.process_cost import cpu_s, quantile
from martenrun.bench.scale.host import hollow_machine
from martenrun.bench.scale.platform import MODELS, VERSION, model_name

RUNNERS_PER_NODE = 32
MAXIMUM_RUNNERS = 12_000
MAXIMUM_PROCESSES = 200
MAXIMUM_BYTES = 16e9
REAL_AGENTS = 2
REAL_ENGINES = 2
JOIN_LIMIT_S = 180.0
CHANGE_LIMIT_S = 30.0
KILL_LIMIT_S = 90.0
POLL_S = 0.05
AFTER_KILL_S = 5.0
MICROSECONDS_PER_S = 1_000_000


@dataclass(frozen=True)
class Spread:
    """Times in seconds; ``never`` counts those that did not happen within the limit."""

    samples: int
    p50: float
    p99: float
    max: float
    never: int


@dataclass(frozen=True)
class Cost:
    """A node's cost while nothing changes; processor time includes Python's threads."""

    measured_s: float
    hollow_cpu_us_per_s: float
    hollow_cpu_us_per_s_by_thread: dict[str, float]
    hollow_stream_bytes_per_s: float
    hollow_datagram_bytes_per_s: float
    hollow_rss_slope_bytes: float
    host_rss_bytes: list[int]
    host_nodes: list[int]
    owned_runners: int
    real_node_cpu_us_per_s: list[float]
    real_node_rss_bytes: list[int]


@dataclass(frozen=True)
class JoinedReport:
    """Result of one run."""

    command: str
    seed: int
    nodes: int
    hosts: int
    real_nodes: int
    runners: int
    load_average: list[float]
    cores: int | None
    joined_s: Spread
    cost: Cost
    changed_s: Spread
    killed_nodes: int
    noticed_s: Spread
    load: dict[str, PhaseLoad]
    peak_rss_bytes: int
    duration_s: float


def spread(times: list[float | None]) -> Spread:
    """Summarise times; None is one that never happened."""
    found = [entry for entry in times if entry is not None]
    p50, p99 = round(quantile(found, 0.5), 3), round(quantile(found, 0.99), 3)
    return Spread(len(times), p50, p99, round(max(found, default=0.0), 3), len(times) - len(found))


class JoinedRun:
    """One run; :meth:`run` does all phases, :meth:`stop` ends every process."""

    def __init__(self, nodes: int, hosts: int, real: int, seed: int, idle_s: float) -> None:
        self._nodes = nodes
        self._real = real
        self._seed = seed
        self._idle_s = idle_s
        self._sizes = shares(nodes, hosts)
        self._runners = min(RUNNERS_PER_NODE * nodes, MAXIMUM_RUNNERS)
        self._hosts: list[Host] = []
        self._tenant_version = 0
        self.deployment = Deployment()

    def run(self, guard: Guard, changes: int) -> JoinedReport:
        """Run all phases and return the result."""
        began = time.monotonic()
        load_average = list(os.getloadavg())
        self._start_real()
        edges = RealEdges(self.deployment)
        callers = Callers(self.deployment, self._seed)
        callers.phase = "join"
        joined = self._join(edges)
        callers.phase = "steady"
        cost = self._cost()
        callers.phase = "changes"
        changed = [entry for _ in range(changes) for entry in self._change(edges)]
        callers.phase = "host killed"
        victim = self._hosts[len(self._hosts) // 2]
        noticed = self._kill(victim, edges)
        callers.phase = "after"
        time.sleep(AFTER_KILL_S)
        load = callers.stop()
        edges.stop()
        return JoinedReport(
            command=" ".join(["scripts/scale_joined.py", *sys.argv[1:]]),
            seed=self._seed,
            nodes=self._nodes,
            hosts=len(self._sizes),
            real_nodes=self._real,
            runners=self._runners,
            load_average=load_average,
            cores=os.cpu_count(),
            joined_s=spread(joined),
            cost=cost,
            changed_s=spread(changed),
            killed_nodes=victim.nodes,
            noticed_s=spread(noticed),
            load=load,
            peak_rss_bytes=guard.peak_bytes,
            duration_s=round(time.monotonic() - began, 1),
        )

    def stop(self) -> None:
        """End every process; hollow nodes have nothing to save and are killed."""
        for name in [name for name in self.deployment.processes if name.startswith("host-")]:
            self.deployment.kill(name)
        self.deployment.stop()

    def _start_real(self) -> None:
        deployment = self.deployment
        deployment.start_platform()
        for _ in range(REAL_ENGINES):
            deployment.start_engine("zone-0", "readers", MODEL, "--prefill-s-per-block", "0.002")
        self._register_runners()
        deployment.start_nodes([f"zone-{index % 3}" for index in range(self._real)])
        deployment.start_agents([f"zone-{index}" for index in range(REAL_AGENTS)])
        deployment.apply_tenant("joined", KEY)
        self._tenant_version = deployment.apply("tenants", "changing", {"weight": 1.0})
        for index in range(MODELS):
            self._publish_pool(model_name(index), model_name(index))
        deployment.wait_ready(self._publish_pool("readers", MODEL))

    def _publish_pool(self, pool: str, model: str) -> int:
        self.deployment.apply("pools", pool, {"model": model, "weights_version": VERSION})
        return self.deployment.apply("routes", pool, {"model": model, "pool": pool})

    def _register_runners(self) -> None:
        http = urllib3.PoolManager(maxsize=8, retries=False, timeout=10.0)

        def register(index: int) -> None:
            machine = msgspec.structs.asdict(hollow_machine(index))
            url = f"http://{self.deployment.machines}/v1/machines/{machine['name']}"
            response = http.request("PUT", url, body=json.dumps(machine).encode())
            if response.status != 200:
                raise RuntimeError(f"the machine list refused {machine['name']}")

        with concurrent.futures.ThreadPoolExecutor(8) as threads:
            list(threads.map(register, range(self._runners)))

    def _join(self, edges: RealEdges) -> list[float | None]:
        port = int(free_address().rpartition(":")[2])
        begin = time.monotonic()
        start_hosts(self.deployment, self._sizes, port, self._seed, self._hosts.append)
        stop_asking = edges.watch_members()
        try:
            watched = [*self._hollow_members(), *edges.members.values()]
            members = self._nodes + self._real
            return _times(watched, begin, lambda value: value == members, JOIN_LIMIT_S)
        finally:
            stop_asking()

    def _hollow_members(self) -> list[Timeline]:
        return [timeline for host in self._hosts for timeline in host.members]

    def _cost(self) -> Cost:
        """Let the cluster run and return what a node costs."""
        edges = self.deployment.node_edges
        begin = time.monotonic()
        before = [host.report_at(begin)[1] for host in self._hosts]
        real_before = [cpu_s(edge) for edge in edges]
        time.sleep(self._idle_s)
        elapsed_s = time.monotonic() - begin
        real_cpu_s = [cpu_s(edge) - used for edge, used in zip(edges, real_before, strict=True)]
        after = [host.report_at(time.monotonic())[1] for host in self._hosts]
        changes = list(zip(before, after, strict=True))
        node_seconds = self._nodes * elapsed_s
        rss = [report.rss_bytes for report in after]
        real_pids = [self.deployment.processes[f"node-{i}"].pid for i in range(self._real)]
        cpu = sum(b.cpu_s - a.cpu_s for a, b in changes) * MICROSECONDS_PER_S
        return Cost(
            measured_s=round(elapsed_s, 2),
            hollow_cpu_us_per_s=round(cpu / node_seconds, 1),
            hollow_cpu_us_per_s_by_thread=self._by_thread(begin),
            hollow_stream_bytes_per_s=round(
                sum(b.stream_bytes - a.stream_bytes for a, b in changes) / node_seconds, 1
            ),
            hollow_datagram_bytes_per_s=round(
                sum(b.datagram_bytes - a.datagram_bytes for a, b in changes) / node_seconds, 1
            ),
            hollow_rss_slope_bytes=round(_median_slope(self._sizes, rss)),
            host_rss_bytes=rss,
            host_nodes=self._sizes,
            owned_runners=sum(report.owned_runners for report in after),
            real_node_cpu_us_per_s=[
                round(used * MICROSECONDS_PER_S / elapsed_s, 1) for used in real_cpu_s
            ],
            real_node_rss_bytes=[resident_bytes(pid) for pid in real_pids],
        )

    def _by_thread(self, begin: float) -> dict[str, float]:
        """Return processor time in microseconds per node and second since ``begin``."""
        found: dict[str, float] = {}
        for host in self._hosts:
            told = [(at, report.thread_cpu_s) for at, report in list(host.reports)]
            told = [(at, spent) for at, spent in told if at >= begin and spent]
            (first_at, first), (last_at, last) = told[0], told[-1]
            for name, spent in last.items():
                part = (spent - first.get(name, 0.0)) / max(last_at - first_at, POLL_S)
                found[name] = found.get(name, 0.0) + part
        scale = MICROSECONDS_PER_S / self._nodes
        return {name: round(part * scale, 1) for name, part in sorted(found.items())}

    def _change(self, edges: RealEdges) -> list[float | None]:
        """Change a tenant; return the time from the operator's call, for each process."""
        begin = time.monotonic()
        weight = 1.0 + self._tenant_version % 7
        revision = self._tenant_version = self.deployment.apply(
            "tenants", "changing", {"weight": weight}, self._tenant_version
        )
        hollow = [timeline for host in self._hosts for timeline in host.revisions]
        watched = [*hollow, *edges.revisions.values()]
        return _times(watched, begin, lambda value: value >= revision, CHANGE_LIMIT_S)

    def _kill(self, victim: Host, edges: RealEdges) -> list[float | None]:
        stop_asking = edges.watch_members()
        try:
            begin = time.monotonic()
            self.deployment.kill(victim.name)
            self._hosts.remove(victim)
            watched = [*self._hollow_members(), *edges.members.values()]
            members = self._nodes + self._real - victim.nodes
            return _times(watched, begin, lambda value: value == members, KILL_LIMIT_S)
        finally:
            stop_asking()


def _median_slope(sizes: list[int], values: list[int]) -> float:
    """Return the median of the slopes between all pairs; one odd host does not move it much."""
    points = list(zip(sizes, values, strict=True))
    return statistics.median(
        (b[1] - a[1]) / (b[0] - a[0]) for a, b in itertools.combinations(points, 2) if a[0] != b[0]
    )


def _times(
    watched: list[Timeline], begin: float, condition: Callable[[int], bool], limit_s: float
) -> list[float | None]:
    """Wait until all meet a condition or the limit; return the time of each."""

    def found() -> list[float | None]:
        return [timeline.first_after(begin, condition) for timeline in watched]

    with contextlib.suppress(TimeoutError):
        wait_until(lambda: None not in found(), "the condition", limit_s)
    return [None if at is None else at - begin for at in found()]


def _interrupt(_number: int, _frame: object) -> None:
    raise KeyboardInterrupt


@click.command()
@click.option("--nodes", default=40, show_default=True, type=click.IntRange(2, 1_000))
@click.option("--hosts", default=4, show_default=True, type=click.IntRange(2, 100))
@click.option("--real", default=3, show_default=True, type=click.IntRange(1, 20))
@click.option("--changes", default=10, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--steady-s", default=15.0, show_default=True, help="Time over which costs count.")
@click.option("--limit-s", default=420.0, show_default=True, help="The run stops after this.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON line.")
def main(
    nodes: int,
    hosts: int,
    real: int,
    changes: int,
    seed: int,
    steady_s: float,
    limit_s: float,
    as_json: bool,
) -> None:
    """Join hollow and real processes over loopback and report times and costs."""
    if hosts + real + REAL_AGENTS + REAL_ENGINES + 2 > MAXIMUM_PROCESSES:
        raise click.UsageError(f"more than {MAXIMUM_PROCESSES} processes: use fewer hosts")
    signal.signal(signal.SIGTERM, _interrupt)
    run = JoinedRun(nodes, hosts, real, seed, steady_s)
    guard = Guard(run.deployment, MAXIMUM_BYTES, limit_s)
    try:
        report = run.run(guard, changes)
    except KeyboardInterrupt:
        raise SystemExit(f"stopped: {guard.reason or 'interrupted'}") from None
    finally:
        guard.stop()
        run.stop()
    click.echo(json.dumps(dataclasses.asdict(report), indent=None if as_json else 2))


if __name__ == "__main__":
    main()
