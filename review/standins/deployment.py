"""A small deployment on loopback: routers by the deploy file's command, and stand-ins."""

import asyncio
import contextlib
import json
import os
import random
import signal
import socket
import sys
import tempfile
import time
import tomllib
from dataclasses import dataclass, field
from pathlib import Path

from standins.http1 import head_bytes
from standins.store import Store

ROOT = Path(__file__).resolve().parent.parent.parent
READY_LIMIT_S = 20.0

LIMIT_S = 110.0
"""Longest time that a case may take, in seconds."""

SETTINGS = """
node_name = "{name}"
role = "router"
machine_class = "front"
serves = ["front", "control", "directory"]
ip = "{ip}"
zone = "z1"
region = "r1"
internal_ports = [{internal}, {internal}]
seeds = {seeds}
bootstrap = {is_first}
discovery = "platform"
entry = "directory"
heartbeat_ms = 1200
[zones]
z1 = "r1"
z2 = "r1"
[listen_addrs]
front = "{ip}:{front}"
ready = "{ip}:{ready}"
control = "{ip}:{control}"
directory = "{ip}:{directory}"
[limits]
cpu_share = 0.537
cores = 2
memory_mb = 300
max_fds = 4100
link_mbps = 1000.0
disk_mb = 0
[fault_tolerance]
machines = 2
zones = 0
regions = 0
[bounds]
seed_lag_s = 3
addr_reuse_s = 2
contact_ms = 3000
ack_timeout_ms = 4000
catch_up_s = 4
drain_ms = 2000
grace_s = 8
loss_slack_ms = 200
config_apply_ms = 2000
rollback_slack_ms = 250
skew_bound_ms = 5000
revoke_strict = true
revoke_ms = 5000
budget_ratio = 0.2
budget_window_s = 10
budget_slack = 54
recovery_s = 12
transit_ms = 120
retry_after_s = 10
fencing_enforced = true
lease_ms = 3000
thaw_ms = 300
version_ms = 8000
version_all_ms = 11000
ttl_max_s = 5
[platform]
address = "{store}"
form = "objects"
writes_per_s = 400
reads_per_s = 2000
history_s = 20
value_bytes = 1048576
ttl_min_ms = 1000
"""


class CannotRunError(Exception):
    """The case could not be set up; this says nothing about the rule."""


class Record:
    """Collects what was sent, answered and run, and writes it in order of time."""

    def __init__(self) -> None:
        self.lines: list[dict] = []
        self._began_at = time.monotonic()

    def add(self, who: str, step: str, request_id: str = "-", **fields: object) -> None:
        """Add a step seen by this process."""
        line = {"at": time.monotonic(), "who": who, "step": step, "id": request_id}
        self.lines.append(line | fields)

    def steps(self, step: str) -> list[dict]:
        """Return all lines of one step."""
        return [line for line in self.lines if line["step"] == step]

    def write(self, path: Path, verdict: str) -> None:
        """Write the record; times are seconds since the beginning."""
        with path.open("w") as file:
            for line in sorted(self.lines, key=lambda item: item["at"]):
                rest = {key: value for key, value in line.items() if key != "at"}
                file.write(f"{line['at'] - self._began_at:9.4f} {json.dumps(rest)}\n")
            file.write(verdict + "\n")


@dataclass
class RouterRun:
    """One router process."""

    name: str
    ip: str
    ports: dict[str, int]
    settings: Path
    process: asyncio.subprocess.Process | None = None


@dataclass
class RunnerRun:
    """One runner process."""

    instance: str
    process: asyncio.subprocess.Process
    address: str = ""
    is_up: asyncio.Event = field(default_factory=asyncio.Event)

    async def tell(self, command: str) -> None:
        """Send a command to the stand-in."""
        assert self.process.stdin is not None
        self.process.stdin.write(command.encode() + b"\n")
        await self.process.stdin.drain()


@dataclass
class Answer:
    """What a client saw of one request: whole answers only are complete."""

    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    is_complete: bool = False


def free_ports(ip: str, count: int) -> list[int]:
    """Return free ports of a loopback address."""
    sockets = [socket.socket() for _ in range(count)]
    for sock in sockets:
        sock.bind((ip, 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


class Deployment:
    """Everything that a case starts; all of it is ended on the way out."""

    def __init__(self, routers: int, record: Record) -> None:
        self.record = record
        self.store = Store()
        self.runners: list[RunnerRun] = []
        self.routers: list[RouterRun] = []
        self._folder = tempfile.TemporaryDirectory(prefix="review-")
        self._tasks: set[asyncio.Task] = set()
        self._count = routers

    async def __aenter__(self) -> "Deployment":
        """Start the store; SIGTERM ends the case and all that it started."""
        task = asyncio.current_task()
        assert task is not None
        asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, task.cancel)
        await self.store.start()
        return self

    async def __aexit__(self, *_exc: object) -> None:
        """End all processes by their ids."""
        processes = [item.process for item in [*self.routers, *self.runners]]
        for process in processes:
            if process is not None and process.returncode is None:
                process.kill()
                await process.wait()
        for task in self._tasks:
            task.cancel()
        self._folder.cleanup()

    # Starting

    async def start_routers(self) -> None:
        """Start all routers and wait until each is ready and told by the directory."""
        block = f"127.{random.randint(10, 200)}.{os.getpid() % 250}"
        internal = free_ports(f"{block}.1", 1)[0]
        for number in range(1, self._count + 1):
            ip = f"{block}.{number}"
            names = ("front", "ready", "control", "directory")
            ports = dict(zip(names, free_ports(ip, len(names)), strict=True))
            ports["internal"] = internal
            settings = Path(self._folder.name) / f"router-{number}.toml"
            self.routers.append(RouterRun(f"router-{number}", ip, ports, settings))
        for router in self.routers:
            await self.start_router(router, is_first=True)
        await self.wait_ready(self.routers)

    async def start_router(self, router: RouterRun, is_first: bool = False) -> None:
        """Start one router by the command of the deploy file."""
        seeds = [f"{item.ip}:{item.ports['control']}" for item in self.routers[:3]]
        text = SETTINGS.format(
            name=router.name,
            ip=router.ip,
            seeds=json.dumps(seeds),
            store=self.store.address,
            is_first="true" if is_first else "false",
            **router.ports,
        )
        router.settings.write_text(text)
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = deploy["roles"]["router"]["run"].split(" ")
        kept = {name: os.environ[name] for name in ("PATH", "HOME", "LANG") if name in os.environ}
        environment = {
            **kept,
            "MARTENRUN_SETTINGS": str(router.settings),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
        }
        with (Path(self._folder.name) / f"{router.name}.log").open("ab") as log:
            router.process = await asyncio.create_subprocess_exec(
                *command, cwd=ROOT, env=environment, stdout=log, stderr=log
            )
        self.record.add(router.name, "started")

    async def wait_ready(self, routers: list[RouterRun]) -> None:
        """Wait until routers are ready and their directories tell all of them."""
        ends_at = time.monotonic() + READY_LIMIT_S
        for router in routers:
            while not await self._is_ready(router):
                if time.monotonic() > ends_at:
                    raise CannotRunError(f"{router.name} is not ready")
                await asyncio.sleep(0.1)

    async def _is_ready(self, router: RouterRun) -> bool:
        ready = await self.call(router, "ready", "/martenrun/readyz")
        path = "/martenrun/resolve?name=api.example&region=r1&zone=z1"
        told = await self.call(router, "directory", path)
        if ready.status != 200 or told.status != 200:
            return False
        return len(json.loads(told.body)["addresses"]) >= len(self.routers)

    async def start_runner(self, **options: object) -> RunnerRun:
        """Start a runner and wait for its address."""
        program = Path(__file__).with_name("runner.py")
        text = json.dumps({"store": self.store.address, **options})
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(program),
            text,
            stdin=asyncio.subprocess.PIPE,
            stdout=asyncio.subprocess.PIPE,
        )
        runner = RunnerRun(str(options["instance"]), process)
        self.runners.append(runner)
        task = asyncio.get_running_loop().create_task(self._collect(runner))
        self._tasks.add(task)
        try:
            await asyncio.wait_for(runner.is_up.wait(), READY_LIMIT_S)
        except TimeoutError as exc:
            raise CannotRunError(f"{runner.instance} does not start") from exc
        return runner

    async def _collect(self, runner: RunnerRun) -> None:
        assert runner.process.stdout is not None
        while line := await runner.process.stdout.readline():
            step = json.loads(line)
            self.record.lines.append(step)
            if step["step"] == "address":
                runner.address = step["address"]
                runner.is_up.set()

    def signal(self, run: RouterRun | RunnerRun, number: signal.Signals) -> None:
        """Send a signal to a process that this deployment started."""
        assert run.process is not None
        name = run.name if isinstance(run, RouterRun) else run.instance
        self.record.add(name, "signal", signal=number.name)
        run.process.send_signal(number)

    # Clients

    async def call(self, router: RouterRun, port: str, path: str) -> Answer:
        """Make a call that is no request of a client."""
        fields = {"Host": "api.example", "Connection": "close"}
        data = head_bytes(f"GET {path} HTTP/1.1", fields)
        return await exchange(router.ip, router.ports[port], data, 1.0)

    async def ask(
        self,
        router: RouterRun,
        method: str,
        path: str,
        request_id: str,
        deadline_ms: int,
        body: bytes = b"",
        **headers: str,
    ) -> Answer:
        """Send a client's request on a new connection; the answer is recorded."""
        fields = {
            "Host": "api.example",
            "X-Request-Id": request_id,
            "X-Deadline-Ms": str(deadline_ms),
            "X-Key": "key-1",
            **{name.replace("_", "-"): value for name, value in headers.items()},
        }
        if method != "GET":
            fields["Content-Length"] = str(len(body))
        data = head_bytes(f"{method} {path} HTTP/1.1", fields) + body
        self.record.add("client", "sends", request_id, router=router.name, path=path)
        answer = await exchange(router.ip, router.ports["front"], data, deadline_ms / 1000.0)
        self.record.add(
            "client",
            "gets",
            request_id,
            status=answer.status,
            is_complete=answer.is_complete,
            stamp=answer.headers.get("x-response-stamp"),
            bytes=len(answer.body),
        )
        return answer


async def exchange(ip: str, port: int, data: bytes, limit_s: float) -> Answer:
    """Send bytes on a new connection and read one answer, as far as it comes."""
    answer = Answer()
    try:
        reader, writer = await asyncio.wait_for(asyncio.open_connection(ip, port), 1.0)
    except (OSError, TimeoutError):
        return answer
    writer.write(data)
    with contextlib.suppress(TimeoutError, ConnectionError, asyncio.IncompleteReadError):
        await asyncio.wait_for(_read_answer(reader, answer), limit_s)
    writer.close()
    return answer


async def _read_answer(reader: asyncio.StreamReader, answer: Answer) -> None:
    line = await reader.readuntil(b"\r\n")
    answer.status = int(line.split()[1])
    while (line := await reader.readuntil(b"\r\n")) != b"\r\n":
        name, _, value = line.decode("latin-1").partition(":")
        answer.headers[name.strip().lower()] = value.strip()
    if "chunked" not in answer.headers.get("transfer-encoding", ""):
        length = int(answer.headers.get("content-length", "0"))
        answer.body = await reader.readexactly(length)
        answer.is_complete = True
        return
    while True:
        size = int((await reader.readuntil(b"\r\n")).strip(), 16)
        answer.body += (await reader.readexactly(size + 2))[:size]
        if size == 0:
            answer.is_complete = True
            return
