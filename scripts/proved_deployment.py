"""The deployment whose histories are checked: it can be disturbed, watched and restored."""

import contextlib
import json
import signal
import subprocess
import sys
import threading
from dataclasses import dataclass, field
from pathlib import Path
from typing import IO

import msgspec
import urllib3
from deployment import (
    CLUSTER_SECRET,
    START_TIMEOUT_S,
    Deployment,
    answers,
    free_address,
    wait_until,
)
from faulty_relay import FaultyRelay

from martenrun.load.client import CompletionCall, CompletionClient
from martenrun.proof.history import Executed
from martenrun.proof.process_records import WEIGHTS_VERSION, execution_record, prompt_of
from martenrun.proof.process_schedule import (
    AGENTS,
    ENGINES,
    NODES,
    RELAYED_AGENT,
    RELAYED_ENGINE,
    RELAYED_NODE,
    TENANTS,
)
from martenrun.standins.engine.executions import ExecutionReport

MODEL = "vine-reader"
POOL = "readers"
ZONE = "zone-a"
_PROBE_TOKENS = 2
_PROBE_DEADLINE_S = 2.0
_ENGINE_FLAGS = (
    *("--decode-s-per-token", "0.01", "--prefill-s-per-block", "0.01"),
    "--print-executions",
)
_ENTRY = ("-m", "martenrun.cli")
_TOKEN_GAP_TIMEOUT_S = "0.5"


@dataclass
class ProvedDeployment(Deployment):
    """Three nodes, two agents and three engines, with relays on some of their links.

    One engine is reached through a relay, one node reaches the object API through one, and one
    agent each node, unless ``entries`` has that agent.

    Attributes:
        entries: arguments after ``python`` that run the command line of a process, by its
            name; a test gives another one to take a guard out.
        executions: what the engines reported, in order of arrival.
        frozen: names of the processes that are paused.
    """

    entries: dict[str, tuple[str, ...]] = field(default_factory=dict)
    executions: list[Executed] = field(default_factory=list)
    frozen: set[str] = field(default_factory=set)
    revision: int = 0
    engine_relay: FaultyRelay | None = None
    objects_relay: FaultyRelay | None = None
    node_relays: list[FaultyRelay] = field(default_factory=list)
    _commands: dict[str, list[str]] = field(default_factory=dict)

    def start(self) -> None:
        """Start everything at once and wait until it serves."""
        self.engines = [free_address() for _ in range(ENGINES)]
        self.node_peers = [free_address() for _ in range(NODES)]
        self.node_edges = [free_address() for _ in range(NODES)]
        self.agent_edges = [free_address() for _ in range(AGENTS)]
        self.objects_relay = FaultyRelay(self.objects)
        self.engine_relay = FaultyRelay(self.engines[RELAYED_ENGINE])
        self.node_relays = [FaultyRelay(peer) for peer in self.node_peers]
        self.entries.setdefault(f"agent-{RELAYED_AGENT}", self._relayed_entry())
        self.run("objects", "standin", "objects", "--address", self.objects)
        self.run("machines", "standin", "machines", "--address", self.machines)
        for index, address in enumerate(self.engines):
            command = ("standin", "engine", "--address", address, "--model", MODEL)
            self.run(f"engine-{index}", *command, *_ENGINE_FLAGS)
        for index in range(NODES):
            self.start_node(index, ZONE)
        for index in range(AGENTS):
            self._start_agent(index)
        self._wait_started()
        for index in range(ENGINES):
            self.mark(f"engine-{index}", "live")
        for tenant in TENANTS:
            self.apply_tenant(tenant, key_of(tenant))
        self.apply("pools", POOL, {"model": MODEL, "weights_version": WEIGHTS_VERSION})
        self.revision = self.apply("routes", POOL, {"model": MODEL, "pool": POOL})
        self.restore()

    def _relayed_entry(self) -> tuple[str, ...]:
        pairs = zip(self.node_peers, self.node_relays, strict=True)
        addresses = {peer: relay.address for peer, relay in pairs}
        return (str(Path(__file__).with_name("relayed_agent.py")), json.dumps(addresses))

    def _relays(self) -> list[FaultyRelay]:
        relays = [self.engine_relay, self.objects_relay, *self.node_relays]
        return [relay for relay in relays if relay is not None]

    def _start_agent(self, index: int) -> None:
        seeds = [flag for peer in self.node_peers for flag in ("--seed-nodes", peer)]
        self.run(
            f"agent-{index}",
            "agent",
            *("--name", f"agent-{index}", "--zone", ZONE, "--cluster-secret", CLUSTER_SECRET),
            *("--http-address", self.agent_edges[index]),
            *("--token-gap-timeout-s", _TOKEN_GAP_TIMEOUT_S),
            *seeds,
        )

    def _wait_started(self) -> None:
        paths = {self.objects: "/v1/objects", self.machines: "/v1/machines"}
        paths |= dict.fromkeys(self.engines, "/v1/runner")
        paths |= dict.fromkeys([*self.node_edges, *self.agent_edges], "/healthz")
        for address, path in paths.items():
            wait_until(lambda at=address, path=path: answers(at, path), path, START_TIMEOUT_S)

    def run(self, name: str, *arguments: str) -> None:
        """Start a process; an engine's reports of executions are read."""
        command = [sys.executable, *self.entries.get(name, _ENTRY), *arguments]
        is_engine = name.startswith("engine-")
        output = subprocess.PIPE if is_engine else subprocess.DEVNULL
        process = subprocess.Popen(command, stdout=output, stderr=subprocess.DEVNULL)
        self.processes[name] = process
        self._commands[name] = list(arguments)
        if process.stdout is not None:
            reader = threading.Thread(target=self._read, args=(name, process.stdout), daemon=True)
            reader.start()

    def _read(self, engine: str, output: IO[bytes]) -> None:
        with output:
            for line in output:
                with contextlib.suppress(msgspec.DecodeError):
                    report = msgspec.json.decode(line, type=ExecutionReport)
                    self.executions.append(execution_record(engine, report))

    def objects_of(self, index: int) -> str:
        """Return the object API's address for a node; one node goes through the relay."""
        if index == RELAYED_NODE and self.objects_relay is not None:
            return self.objects_relay.address
        return self.objects

    def mark(self, engine: str, state: str) -> None:
        """Change an engine's state in the machine list."""
        index = int(engine.rpartition("-")[2])
        address = self.engines[index]
        if index == RELAYED_ENGINE and self.engine_relay is not None:
            address = self.engine_relay.address
        self.register(engine, address, ZONE, POOL, state)

    def restart(self, name: str) -> None:
        """Start a process that has ended once more, and wait until it answers."""
        self.start_again(name)
        self.wait_answers(name)

    def start_again(self, name: str) -> None:
        """Start a process that has ended once more."""
        self.run(name, *self._commands[name])

    def wait_answers(self, name: str) -> None:
        """Wait until a process answers."""
        path = "/v1/runner" if name.startswith("engine-") else "/healthz"
        wait_until(lambda: answers(self.address_of(name), path), name, START_TIMEOUT_S)

    def address_of(self, name: str) -> str:
        """Return the HTTP address of a node, agent or engine."""
        role, _, index = name.rpartition("-")
        addresses = {"node": self.node_edges, "agent": self.agent_edges, "engine": self.engines}
        return addresses[role][int(index)]

    def nodes(self) -> list[str]:
        """Return the names of all nodes."""
        return [f"node-{index}" for index in range(len(self.node_edges))]

    def edges(self) -> list[str]:
        """Return the names of all processes that take callers' requests."""
        return [*self.nodes(), *(f"agent-{index}" for index in range(len(self.agent_edges)))]

    def freeze(self, name: str) -> None:
        """Pause a process."""
        self.frozen.add(name)
        self.processes[name].send_signal(signal.SIGSTOP)

    def thaw(self, name: str) -> None:
        """Let a paused process go on."""
        self.processes[name].send_signal(signal.SIGCONT)
        self.frozen.discard(name)

    def set_object_faults(self, **faults: object) -> None:
        """Replace the faults of the object API."""
        url = f"http://{self.objects}/faults"
        urllib3.request("POST", url, body=json.dumps(faults).encode(), timeout=5.0)

    def restore(self) -> None:
        """Take every fault back and wait until each edge serves and each engine is idle."""
        for name in list(self.frozen):
            self.thaw(name)
        self.set_object_faults()
        for relay in self._relays():
            relay.restore()
        for name, process in list(self.processes.items()):
            if process.poll() is not None:
                self.restart(name)
        self.wait_ready(self.revision)
        for name in self.edges():
            wait_until(lambda name=name: self._serves(name), f"{name} serving", START_TIMEOUT_S)
        wait_until(self._is_idle, "idle engines", START_TIMEOUT_S)

    def _serves(self, edge: str) -> bool:
        client = CompletionClient(self.address_of(edge), key_of(TENANTS[0]))
        call = CompletionCall(
            "probe", MODEL, prompt_of("probe"), _PROBE_TOKENS, deadline_s=_PROBE_DEADLINE_S
        )
        return client.stream(call).whole

    def _is_idle(self) -> bool:
        for address in self.engines:
            try:
                url = f"http://{address}/v1/runner"
                response = urllib3.request("GET", url, retries=False, timeout=1.0)
            except urllib3.exceptions.HTTPError:
                return False
            if response.json()["running"]:
                return False
        return True

    def stop(self) -> None:
        """End every process and relay that this deployment started."""
        for name in list(self.frozen):
            self.thaw(name)
        super().stop()
        for relay in self._relays():
            relay.close()


def key_of(tenant: str) -> str:
    """Return the caller's key of a tenant."""
    return f"{tenant}-key"
