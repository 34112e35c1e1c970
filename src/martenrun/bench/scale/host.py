"""A process that holds many hollow nodes, joined with real processes over loopback sockets.

Each hollow node is a :class:`martenrun.node.core.NodeCore`: the real decision logic on its own
loop, clock and transport, listening on its own loopback address.  It has no HTTP edge, and
hollow runners are described from a table.  One line of JSON (:class:`HostReport`) is printed
when something watched has changed, and at least every second.

See also: scripts/scale_joined.py, docs/design/scale.md.
"""

import os
import random
import re
import resource
import signal
import sys
import threading
from dataclasses import dataclass
from pathlib import Path

import click
import msgspec
import urllib3
from absl import logging
from urllib3.exceptions import HTTPError

from martenrun.backends.engine import EngineConnections, RunnerDescription
from martenrun.backends.machine_list import Machine, MachineList
from martenrun.bench.scale.platform import (
    MODELS,
    SLOTS,
    VERSION,
    model_name,
    region_name,
    zone_name,
)
from martenrun.cli.run import run_until_signal
from martenrun.errors import MartenrunError
from martenrun.events import SendOrder
from martenrun.node.core import NodeCore
from martenrun.node.feeds import PolledEngines
from martenrun.node.polls import NodePolls
from martenrun.process import Poller
from martenrun.settings.model import NodeSettings

SAMPLE_S = 0.05
"""Time between two looks at the nodes: the resolution of what is reported, in seconds."""

REPORT_S = 1.0
"""Longest time between two reports, in seconds."""

MACHINE_POLL_S = 1.0
RUNNER_POLL_S = 0.5
_HOLLOW_RUNNERS = "127.255."
_UNUSED_ADDRESS = "127.0.0.1:1"
_ADDRESSES_PER_NET = 250


def node_address(index: int, port: int) -> str:
    """Return the loopback address of the hollow node of an index."""
    return f"127.1.{index // _ADDRESSES_PER_NET}.{1 + index % _ADDRESSES_PER_NET}:{port}"


def hollow_machine(index: int) -> Machine:
    """Return the machine of a hollow runner; nothing listens on its address."""
    host = f"{_HOLLOW_RUNNERS}{index // _ADDRESSES_PER_NET}.{1 + index % _ADDRESSES_PER_NET}"
    # Zones change slower than models, so that every zone has every model.
    zone, model = zone_name(index // MODELS), model_name(index)
    return Machine(f"hollow-runner-{index}", "engine", f"{host}:1", zone, model)


class HostReport(msgspec.Struct):
    """What a host tells of its hollow nodes, in the order of their indices.

    Attributes:
        revisions: revision of the configuration in force.
        members: live members that each node sees, itself included.
        owned_runners: runners that all the nodes together own.
        cpu_s: processor time of the process so far, in seconds.
        rss_bytes: memory of the process.
        stream_bytes, datagram_bytes: sent by all the nodes so far.
        thread_cpu_s: processor time so far by what threads do, in seconds, to 0.01 s a thread;
            only in reports that are due after ``REPORT_S``.
    """

    revisions: list[int]
    members: list[int]
    owned_runners: int
    cpu_s: float
    rss_bytes: int
    stream_bytes: int
    datagram_bytes: int
    thread_cpu_s: dict[str, float] = {}


class HollowEngines(EngineConnections):
    """Describes hollow runners from a seeded table; real engines are asked as ever."""

    def __init__(self, seed: int) -> None:
        super().__init__()
        self._seed = seed
        self._table: dict[str, RunnerDescription] = {}

    def describe(self, address: str) -> RunnerDescription:
        """Return an engine's description; raises HTTPError if a real one does not answer."""
        if not address.startswith(_HOLLOW_RUNNERS):
            return super().describe(address)
        if address not in self._table:
            running = random.Random(f"{self._seed}-{address}").randrange(SLOTS)
            self._table[address] = RunnerDescription(
                f"{address}-1", "hollow", VERSION, running, SLOTS, 0
            )
        return self._table[address]

    def pool(self, address: str) -> urllib3.HTTPConnectionPool:
        """Return the connections to a real engine; raises HTTPError for a hollow one."""
        if address.startswith(_HOLLOW_RUNNERS):
            raise HTTPError("a hollow runner takes no connections")
        return super().pool(address)


@dataclass(frozen=True)
class HostPlan:
    """Which hollow nodes a host holds, and what they join."""

    first_index: int
    nodes: int
    port: int
    seed_nodes: tuple[str, ...]
    object_api: str
    machine_list: str
    cluster_secret: str
    seed: int

    def settings(self, index: int) -> NodeSettings:
        """Return the settings of the node of an index."""
        return NodeSettings(
            name=f"hollow-{index}",
            zone=zone_name(index),
            region=region_name(index),
            cluster_secret=self.cluster_secret,
            http_address=_UNUSED_ADDRESS,
            seed_nodes=list(self.seed_nodes),
            peer_address=node_address(index, self.port),
            object_api=self.object_api,
            machine_list=self.machine_list,
        )


class HollowHost:
    """The hollow nodes of one process and the threads that poll for all of them."""

    def __init__(self, plan: HostPlan) -> None:
        engines = HollowEngines(plan.seed)
        # One client: an unchanged list is then held once, not once for each node.
        machine_list = MachineList(plan.machine_list)
        self._cores: list[NodeCore] = []
        self._polls: list[NodePolls] = []
        for index in range(plan.first_index, plan.first_index + plan.nodes):
            rng = random.Random(f"{plan.seed}-{index}")
            core = NodeCore(plan.settings(index), f"{rng.getrandbits(64):016x}", rng)
            core.start_loop({SendOrder: lambda _order: None})
            self._cores.append(core)
            polls = NodePolls(core.parts, machine_list, engines, PolledEngines(), core.tell)
            self._polls.append(polls)
        self._pollers = [
            Poller("machine-list", self._list_machines, MACHINE_POLL_S),
            Poller("runners", self._follow_engines, RUNNER_POLL_S),
        ]
        self._stopping = threading.Event()
        self._reporter = threading.Thread(target=self._report, name="reporter", daemon=True)

    def start(self) -> None:
        """Start every node."""
        for core in self._cores:
            core.start()
        for poller in self._pollers:
            poller.start()
        self._reporter.start()

    def stop(self) -> None:
        """Stop every node."""
        self._stopping.set()
        for poller in self._pollers:
            poller.stop()
        for core in self._cores:
            core.stop()

    def report(self) -> HostReport:
        """Return what the nodes see and what they have cost so far."""
        usage = resource.getrusage(resource.RUSAGE_SELF)
        return HostReport(
            revisions=[core.parts.configuration.state.revision for core in self._cores],
            members=[len(core.parts.membership.live()) for core in self._cores],
            owned_runners=sum(len(core.parts.ownership.owner.owned) for core in self._cores),
            cpu_s=usage.ru_utime + usage.ru_stime,
            rss_bytes=_resident_bytes(),
            stream_bytes=sum(core.transport.sent_stream_bytes for core in self._cores),
            datagram_bytes=sum(core.transport.sent_datagram_bytes for core in self._cores),
        )

    def _list_machines(self) -> None:
        for polls in self._polls:
            try:
                polls.list_machines()
            except MartenrunError as error:
                logging.log_every_n_seconds(logging.WARNING, "machine list: %s", 5, error)

    def _follow_engines(self) -> None:
        for polls in self._polls:
            polls.follow_engines()

    def _report(self) -> None:
        watched: tuple[list[int], list[int]] = ([], [])
        quiet_s = REPORT_S
        while not self._stopping.wait(SAMPLE_S):
            found = self.report()
            quiet_s += SAMPLE_S
            if quiet_s >= REPORT_S:
                found.thread_cpu_s = _thread_cpu_s()
            elif (found.revisions, found.members) == watched:
                continue
            watched, quiet_s = (found.revisions, found.members), 0.0
            try:
                sys.stdout.buffer.write(msgspec.json.encode(found) + b"\n")
                sys.stdout.buffer.flush()
            except OSError:
                # Whoever started this process is gone.
                os.kill(os.getpid(), signal.SIGTERM)
                return


def _thread_cpu_s() -> dict[str, float]:
    """Return the processor time of the live threads, by name without its number."""
    found: dict[str, float] = {}
    for thread in threading.enumerate():
        try:
            stat = Path(f"/proc/self/task/{thread.native_id}/stat").read_text()
        except OSError:
            continue
        # Fields after the name in brackets, which may hold spaces: state is the third of all.
        user, system = stat.rpartition(")")[2].split()[11:13]
        name = re.sub(r"[-_ ]*\(?\d.*", "", thread.name)
        spent = (int(user) + int(system)) / os.sysconf("SC_CLK_TCK")
        found[name] = found.get(name, 0.0) + spent
    return found


def _resident_bytes() -> int:
    pages = int(Path("/proc/self/statm").read_text().split()[1])
    return pages * resource.getpagesize()


@click.command("hollow-host")
@click.option("--first-index", required=True, type=click.IntRange(0, 10_000))
@click.option("--nodes", required=True, type=click.IntRange(1, 200))
@click.option("--port", required=True, type=click.IntRange(1024, 65_535), help="Of every node.")
@click.option("--seed-nodes", required=True, multiple=True, help="IP:port; may be repeated.")
@click.option("--object-api", required=True, help="IP:port")
@click.option("--machine-list", required=True, help="IP:port")
@click.option("--cluster-secret", required=True)
@click.option("--seed", default=1, show_default=True)
def hollow_host(
    first_index: int,
    nodes: int,
    port: int,
    seed_nodes: tuple[str, ...],
    object_api: str,
    machine_list: str,
    cluster_secret: str,
    seed: int,
) -> None:
    """Hold hollow nodes in one process until a signal; prints a line of JSON on every change."""
    plan = HostPlan(
        first_index, nodes, port, seed_nodes, object_api, machine_list, cluster_secret, seed
    )
    run_until_signal(HollowHost(plan), f"hollow-host-{first_index}")
