"""A small deployment of real processes on loopback, for the demo, tests and benchmarks.

The product itself starts no processes; this script does, and ends exactly those it started.
"""

import contextlib
import hashlib
import json
import random
import signal
import socket
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass, field

import urllib3

from martenrun.standins.machines import Machine, put_machine

ADMIN_KEY = "demo-admin-key"
CLUSTER_SECRET = "demo-cluster-secret-0123456789"
START_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 10.0
STOP_SIGNALS = (signal.SIGINT, signal.SIGTERM, signal.SIGHUP)
_ADMIN_DIGEST = hashlib.sha256(ADMIN_KEY.encode()).hexdigest()


_SERVER_PORTS = range(20_000, 32_768)
"""Ports below those that Linux gives to outgoing connections.

Such a connection, also one that has ended a minute ago, would keep a server from its port while
it is stopped and started again.
"""


_given_ports: set[int] = set()


def free_address() -> str:
    """Return a loopback address whose port is free now, another one at each call."""
    while True:
        port = random.SystemRandom().choice(_SERVER_PORTS)
        if port in _given_ports:
            continue
        with socket.socket() as probe, contextlib.suppress(OSError):
            probe.bind(("127.0.0.1", port))
            _given_ports.add(port)
            return f"127.0.0.1:{port}"


def wait_until(condition: Callable[[], bool], what: str, timeout_s: float) -> None:
    """Wait for a condition; raises TimeoutError naming ``what``."""
    until = time.monotonic() + timeout_s
    while not condition():
        if time.monotonic() > until:
            raise TimeoutError(f"{what} did not happen within {timeout_s} s")
        time.sleep(0.02)


def answers(address: str, path: str) -> bool:
    """Return whether a GET is answered with 200."""
    try:
        response = urllib3.request("GET", f"http://{address}{path}", retries=False, timeout=1.0)
    except urllib3.exceptions.HTTPError:
        return False
    return response.status == 200


@contextlib.contextmanager
def signals_held() -> Iterator[None]:
    """Hold a signal to stop back until the block's end; it is then raised again.

    A signal between a process's start and its entry in the deployment would leave it running.
    """
    if threading.current_thread() is not threading.main_thread():
        # Signals are handled on the main thread only, so none comes between here.
        yield
        return
    held: list[int] = []
    handlers = {
        number: signal.signal(number, lambda came, _frame: held.append(came)) or signal.SIG_DFL
        for number in STOP_SIGNALS
    }
    try:
        yield
    finally:
        for number, handler in handlers.items():
            signal.signal(number, handler)
        for number in held[:1]:
            signal.raise_signal(number)


@contextlib.contextmanager
def ended_on_failure(deployment: "Deployment") -> Iterator[None]:
    """End a deployment's processes if its set-up fails or is interrupted."""
    try:
        yield
    except BaseException:
        deployment.stop()
        raise


@dataclass
class Deployment:
    """Processes by name, and the addresses callers and operators need."""

    processes: dict[str, subprocess.Popen[bytes]] = field(default_factory=dict)
    objects: str = field(default_factory=free_address)
    machines: str = field(default_factory=free_address)
    node_peers: list[str] = field(default_factory=list)
    node_edges: list[str] = field(default_factory=list)
    agent_edges: list[str] = field(default_factory=list)
    engines: list[str] = field(default_factory=list)
    quiet: bool = True

    def run(self, name: str, *arguments: str) -> None:
        """Start ``martenrun`` with arguments as a process called ``name``."""
        output = subprocess.DEVNULL if self.quiet else None
        command = [sys.executable, "-m", "martenrun.cli", *arguments]
        with signals_held():
            self.processes[name] = subprocess.Popen(command, stdout=output, stderr=output)

    def start_platform(self) -> None:
        """Start the object API and the machine list."""
        self.run("objects", "standin", "objects", "--address", self.objects)
        self.run("machines", "standin", "machines", "--address", self.machines)
        wait_until(lambda: answers(self.objects, "/v1/objects"), "object API", START_TIMEOUT_S)
        wait_until(lambda: answers(self.machines, "/v1/machines"), "machines", START_TIMEOUT_S)

    def start_weight_store(self, *published: str) -> str:
        """Start a weight store that has some ``MODEL/VERSION`` and return its address."""
        address = free_address()
        flags = [flag for weights in published for flag in ("--publish", weights)]
        self.run("weights", "standin", "weights", "--address", address, *flags)
        wait_until(lambda: answers(address, "/v1/loads"), "weight store", START_TIMEOUT_S)
        return address

    def start_engine(self, zone: str, pool: str, model: str, *flags: str) -> str:
        """Start an engine, register it in the machine list and return its name."""
        address = free_address()
        name = f"engine-{len(self.engines)}"
        self.engines.append(address)
        self.run(name, "standin", "engine", "--address", address, "--model", model, *flags)
        wait_until(lambda: answers(address, "/v1/runner"), name, START_TIMEOUT_S)
        self.register(name, address, zone, pool)
        return name

    def register(self, name: str, address: str, zone: str, pool: str, state: str = "live") -> None:
        """Put an engine into the machine list."""
        put_machine(self.machines, Machine(name, "engine", address, zone, pool, state))

    def start_nodes(self, zones: list[str], *flags: str, peers: Sequence[str] = ()) -> None:
        """Start one node in each of the zones, all knowing each other, at ``peers`` if given."""
        first = len(self.node_peers)
        self.node_peers += peers or [free_address() for _ in zones]
        self.node_edges += [free_address() for _ in zones]
        for index, zone in enumerate(zones, start=first):
            self.start_node(index, zone, *flags)
        for edge in self.node_edges[first:]:
            wait_until(lambda edge=edge: answers(edge, "/healthz"), "node", START_TIMEOUT_S)

    def start_node(self, index: int, zone: str, *flags: str) -> None:
        """Start the node of an index at its addresses; it does not wait for it."""
        seeds = [flag for peer in self.node_peers for flag in ("--seed-nodes", peer)]
        self.run(
            f"node-{index}",
            "node",
            *("--name", f"node-{index}", "--zone", zone, "--cluster-secret", CLUSTER_SECRET),
            *("--peer-address", self.node_peers[index]),
            *("--http-address", self.node_edges[index]),
            *("--object-api", self.objects_of(index), "--machine-list", self.machines),
            *("--bootstrap-key-sha256", _ADMIN_DIGEST),
            *seeds,
            *flags,
        )

    def objects_of(self, index: int) -> str:
        """Return the address at which the node of an index finds the object API."""
        return self.objects

    def start_agents(self, zones: list[str], *flags: str) -> None:
        """Start one agent in each of the zones."""
        for zone in zones:
            address = free_address()
            name = f"agent-{len(self.agent_edges)}"
            self.agent_edges.append(address)
            seeds = [flag for peer in self.node_peers for flag in ("--seed-nodes", peer)]
            self.run(
                name,
                "agent",
                *("--name", name, "--zone", zone, "--cluster-secret", CLUSTER_SECRET),
                *("--http-address", address),
                *seeds,
                *flags,
            )
            wait_until(lambda edge=address: answers(edge, "/healthz"), name, START_TIMEOUT_S)

    def apply(self, kind: str, name: str, document: dict[str, object], version: int = 0) -> int:
        """Publish an object through the administration API; returns its version."""
        response = urllib3.request(
            "PUT",
            f"http://{self.node_edges[0]}/admin/v1/{kind}/{name}",
            body=json.dumps(document).encode(),
            headers={"Authorization": f"Bearer {ADMIN_KEY}", "If-Match": str(version)},
            timeout=10.0,
            retries=False,
        )
        if response.status != 200:
            raise RuntimeError(f"{kind}/{name} was refused: {response.data.decode()}")
        return int(response.json()["version"])

    def apply_tenant(self, tenant: str, key: str, weight: float = 1.0, **fields: object) -> None:
        """Publish a tenant and a caller's key for it."""
        self.apply("tenants", tenant, {"weight": weight, **fields})
        digest = hashlib.sha256(key.encode()).hexdigest()
        self.apply("keys", f"{tenant}-key", {"tenant": tenant, "key_sha256": digest})

    def serve_pool(self, pool: str, model: str, **fields: object) -> None:
        """Publish a pool and a route of a model for all tenants; wait until both are in force."""
        self.apply("pools", pool, {"model": model, "weights_version": "v1", **fields})
        self.wait_ready(self.apply("routes", pool, {"model": model, "pool": pool}))

    def wait_ready(self, revision: int) -> None:
        """Wait until every edge has a configuration revision in force."""

        def in_force(edge: str) -> bool:
            try:
                url = f"http://{edge}/readyz"
                response = urllib3.request("GET", url, retries=False, timeout=1.0)
            except urllib3.exceptions.HTTPError:
                return False
            return response.status == 200 and int(response.json()["revision"]) >= revision

        for edge in [*self.node_edges, *self.agent_edges]:
            wait_until(lambda edge=edge: in_force(edge), "configuration", START_TIMEOUT_S)

    def kill(self, name: str) -> None:
        """Kill one process at once."""
        self.processes[name].kill()
        self.processes[name].wait()

    def stop(self) -> None:
        """End every process this deployment started."""
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGTERM)
        for process in self.processes.values():
            try:
                process.wait(timeout=STOP_TIMEOUT_S)
            except subprocess.TimeoutExpired:
                process.kill()
                process.wait()
        self.processes.clear()
