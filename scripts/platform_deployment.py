"""A deployment of routers as real processes on loopback, with stand-ins of the platform.

Everything that was started is ended by id on the way out.
"""

import itertools
import os
import shutil
import signal
import subprocess
import sysconfig
import tempfile
import threading
import time
from collections.abc import Callable, Mapping
from pathlib import Path

import urllib3
from faulty_relay import FaultyRelay
from router_run import ROOT, ROUTER, SETTINGS, RouterRun, free_ports, router_command

from martenrun.platform.standins.runner import RunnerStandin
from martenrun.platform.standins.store import StoreStandin

LINKED_ROUTER = ROOT / "scripts" / "linked_router.py"
MODEL = "m"
HOST = "api.example"
KEY = "key-1"
LIMIT_S = 15.0

_BLOCKS = itertools.count()
"""Numbers of the deployments of this process: their addresses must not meet."""

NOTHING_MORE: Mapping[str, str] = {}

LAPSE_S = 0.6
"""How much longer the entry of a crashed runner stays than it is away, in seconds."""

START_S = 1.0
"""How much longer the start may take for each router: all are started at once."""

MAXIMUM_DESCRIPTORS = 1_024
MEMORY_MB = 300

MOST_NAMED = 64
"""Most addresses in one answer of the directory."""


class PlatformDeployment:
    """Routers, the store and runners; use it as a context manager.

    Every router has a loopback address of its own, since the internal port is one for all.

    Args:
        has_relays: whether routers reach the store and runners through relays that can be harmed.
        has_links: whether each router also has relays of its own to the runners; its program must
            then be LINKED_ROUTER or follow the links as that does.
        program: what is started as a router.
        later_program: what routers come back as, or join as, once all have begun.
        environment: variables that it gets beside this process's own.
        maximum_descriptors: descriptors that a router may open.
        memory_mb: memory of a router's machine, in megabytes.
    """

    def __init__(
        self,
        routers: int = 2,
        model_runners: int = 2,
        plain_runners: int = 2,
        has_relays: bool = False,
        program: Path = ROUTER,
        environment: Mapping[str, str] = NOTHING_MORE,
        later_program: Path | None = None,
        has_links: bool = False,
        maximum_descriptors: int = MAXIMUM_DESCRIPTORS,
        memory_mb: int = MEMORY_MB,
    ) -> None:
        self.has_links = has_links
        self._machine_limits = {"max_fds": maximum_descriptors, "memory_mb": memory_mb}
        self.front_by_ip: dict[str, str] = {}
        self._program = program
        self._later_program = later_program or program
        self._environment = environment
        self._has_relays = has_relays
        self.relays: dict[str, FaultyRelay] = {}
        self.broken_entries: dict[str, object] = {}
        self.more_tenants: list[object] = []
        self._timers: list[threading.Timer] = []
        self.folder = tempfile.TemporaryDirectory(prefix="martenrun-")
        self.store = StoreStandin()
        self.runners = [RunnerStandin("llm", MODEL) for _ in range(model_runners)]
        self.runners += [RunnerStandin("ledger", None) for _ in range(plain_runners)]
        self.http = urllib3.PoolManager(retries=False)
        self._has_begun = False
        self._block = next(_BLOCKS) % 200
        self._made = 0
        self._internal = 0
        self._seeds: list[str] = []
        self.routers: list[RouterRun] = []
        for _ in range(routers):
            self.add_router()

    def __enter__(self) -> "PlatformDeployment":
        """Start everything and wait until it serves; what was started is ended if it does not."""
        try:
            self._begin()
        except BaseException as exc:
            try:
                for router in self.routers:
                    exc.add_note(router.describe())
                exc.add_note(f"Router settings and logs were copied to {self._copy_logs()}.")
            finally:
                self.__exit__()
            raise
        return self

    def _copy_logs(self) -> Path:
        """Copy router settings and logs to a folder that is not removed on exit."""
        folder = Path(tempfile.mkdtemp(prefix="martenrun-failed-"))
        shutil.copytree(self.folder.name, folder, dirs_exist_ok=True)
        return folder

    def _begin(self) -> None:
        self.publish(1)
        for runner in self.runners:
            self.list_runner(runner)
        self._has_begun = True
        for router in self.routers:
            self.start(router)
        limit_s = LIMIT_S + START_S * len(self.routers)
        self.wait(lambda: all(self.is_ready(router) for router in self.routers), limit_s)
        most = min(len(self.routers), MOST_NAMED)
        self.wait(lambda: len(self.addresses()) >= most, limit_s)
        self._program = self._later_program

    def __exit__(self, *_exc: object) -> None:
        """End what was started."""
        for timer in self._timers:
            timer.cancel()
        for router in self.routers:
            if router.process is not None and router.process.poll() is None:
                router.process.kill()
                router.process.wait()
        for relay in self.relays.values():
            relay.close()
        for router in self.routers:
            for link in (*router.links.values(), *router.router_links.values()):
                link.close()
        for runner in self.runners:
            runner.close()
        self.store.close()
        self.folder.cleanup()

    def publish(self, version: int, keys: tuple[str, ...] = (KEY,)) -> None:
        """Write a configuration, with ``more_tenants`` beside the first one."""
        routes = [
            self._route("ask", "/ask/", "stream", "llm", resumable=True),
            self._route("once", "/once/", "stream", "llm", resumable=False),
            self._route("pay", "/pay/", "unsafe", "ledger"),
            self._route("slip", "/slip/", "safe", "ledger"),
        ]
        services = [
            {"name": "llm", "engine": {"slots": 8, "kv_capacity_tokens": 100_000}},
            {"name": "ledger"},
        ]
        tenants = [{"name": "growers", "api_keys": list(keys), "priority": 1}, *self.more_tenants]
        spec = {"version": version, "routes": routes, "services": services, "tenants": tenants}
        self.store.put("config", "main", spec)

    @staticmethod
    def _route(name: str, path: str, kind: str, service: str, resumable: bool = False) -> object:
        return {
            "name": name,
            "hostname": HOST,
            "path_prefix": path,
            "kind": kind,
            "timeout_ms": 4000,
            "target_latency_ms": 800,
            "service": service,
            "max_attempts": 2,
            "resumable": resumable,
        }

    def list_runner(self, runner: RunnerStandin) -> None:
        """Write a runner's entry, or what another writer has put in its place."""
        if self._has_relays and runner.instance not in self.relays:
            relay = self.relays[runner.instance] = FaultyRelay(runner.address)
            runner.listed_address = relay.address
        for router in self.routers:
            self._link(router, runner)
        entry = self.broken_entries.get(runner.instance, runner.entry())
        self.store.put("servers", runner.instance, entry)

    def _link(self, router: RouterRun, runner: RunnerStandin) -> None:
        """Give a router a relay of its own to a runner."""
        address = runner.listed_address or runner.address
        if not self.has_links or address in router.links:
            return
        router.links[address] = FaultyRelay(address, router.ip)
        router.write_links()

    def let_crash(
        self, is_deadly: Callable[[bytes], bool], away_s: float, keeps_id: bool = False
    ) -> None:
        """Let model runners crash under some bodies; each is back after some time."""
        model_runners = [runner for runner in self.runners if runner.model is not None]
        for runner in model_runners:
            runner.crashes_on = is_deadly
        self._return_after_crashes(model_runners, away_s, keeps_id)

    def let_plain_runners_return(self, away_s: float) -> None:
        """Let plain runners that crash return with a new id after some time."""
        plain_runners = [runner for runner in self.runners if runner.model is None]
        self._return_after_crashes(plain_runners, away_s, keeps_id=False)

    def _return_after_crashes(
        self, runners: list[RunnerStandin], away_s: float, keeps_id: bool
    ) -> None:
        def come_back(runner: RunnerStandin, before: str) -> None:
            runner.restart_after_crash(keeps_id)
            self.list_runner(runner)
            if not keeps_id:
                self._later(LAPSE_S, self.store.remove, "servers", before)

        def crashed(runner: RunnerStandin) -> None:
            self._later(away_s, come_back, runner, runner.instance)

        for runner in runners:
            runner.on_crash = crashed

    def _later(self, delay_s: float, call: Callable[..., None], *arguments: object) -> None:
        timer = threading.Timer(delay_s, call, arguments)
        timer.daemon = True
        self._timers.append(timer)
        timer.start()

    def start(self, router: RouterRun) -> None:
        """Start a router process; its log is added to, and its settings say if it had others."""
        if router.process is not None:
            text = router.settings.read_text()
            router.settings.write_text(text.replace("bootstrap = true", "bootstrap = false"))
        router.program = self._program
        with router.log.open("ab") as log:
            router.process = subprocess.Popen(
                router_command(router.program),
                stdout=log,
                stderr=log,
                env={
                    **os.environ,
                    "PYTHONPATH": sysconfig.get_path("purelib"),
                    **self._environment,
                    "MARTENRUN_SETTINGS": str(router.settings),
                },
            )

    def stop(self, router: RouterRun, number: int = signal.SIGTERM) -> None:
        """Send a signal to a router that this deployment started."""
        assert router.process is not None
        router.process.send_signal(number)

    def is_ready(self, router: RouterRun) -> bool:
        """Whether a router says that it is ready."""
        try:
            answer = self.http.request("GET", router.url("ready", "/martenrun/readyz"), timeout=1)
        except urllib3.exceptions.HTTPError:
            return False
        return answer.status == 200

    def addresses(self, router: RouterRun | None = None) -> list[str]:
        """Return the addresses that a router's directory tells."""
        asked = router or self.routers[0]
        url = asked.url("directory", "/martenrun/resolve?name=a&region=r&zone=z1")
        try:
            return list(self.http.request("GET", url, timeout=1).json()["addresses"])
        except (urllib3.exceptions.HTTPError, ValueError, KeyError):
            return []

    def ask(
        self,
        path: str,
        request_id: str,
        router: RouterRun | None = None,
        key: str = KEY,
        body: bytes | None = None,
        **changes: str,
    ) -> urllib3.BaseHTTPResponse:
        """Send a request through a router and return the whole answer."""
        headers = {
            "Host": HOST,
            "X-Request-Id": request_id,
            "X-Deadline-Ms": "4000",
            "X-Key": key,
        }
        if path.startswith(("/ask/", "/once/")):
            headers |= {
                "X-Model-Id": MODEL,
                "X-Token-Usage": "1000,20",
                "X-Prefix-Hash": "aa:600,bb:300,cc:100",
            }
        headers |= {name.replace("_", "-"): value for name, value in changes.items()}
        method = "GET" if path.startswith("/slip/") else "POST"
        if body is None and method != "GET":
            body = b"body of " + request_id.encode()
        url = (router or self.routers[0]).url("front", path)
        return self.http.request(method, url, headers=headers, body=body, timeout=6)

    def runs_of(self, request_id: str) -> list[object]:
        """Return every run of a request."""
        return [
            run for runner in self.runners for run in runner.runs if run.request_id == request_id
        ]

    @staticmethod
    def wait(condition: object, limit_s: float = LIMIT_S) -> None:
        """Wait until a condition holds."""
        end = time.monotonic() + limit_s
        while not condition():  # type: ignore[operator]
            if time.monotonic() > end:
                raise TimeoutError("the condition never held")
            time.sleep(0.02)

    def add_router(self) -> RouterRun:
        """Make a router at an address of its own; it is not started yet."""
        self._made += 1
        number = self._made
        ip = f"127.{self._block + number // 250}.{os.getpid() % 200 + 1}.{number % 250 + 1}"
        if not self._seeds:
            self._internal = free_ports(ip, 1)[0]
            first = ip.rpartition(".")[0]
            self._seeds = [f"{first}.{seed + 2}:1" for seed in range(3)]
        router = self._router(number - 1, ip, self._internal, self._seeds)
        self.routers.append(router)
        self.front_by_ip[ip] = router.front
        if self._has_begun:
            for runner in self.runners:
                self._link(router, runner)
        return router

    def _router(self, number: int, ip: str, internal: int, seeds: list[str]) -> RouterRun:
        front, ready, directory = free_ports(ip, 3, taken=internal)
        ports = {"front": front, "ready": ready, "directory": directory, "internal": internal}
        relay = None
        if self._has_relays:
            relay = self.relays[f"store {ip}"] = FaultyRelay(self.store.address)
        folder = Path(self.folder.name)
        settings = folder / f"r{number}.toml"
        name = f"r{number}"
        settings.write_text(
            SETTINGS.format(
                name=name,
                ip=ip,
                seeds=str(seeds).replace("'", '"'),
                store=self.store.address if relay is None else relay.address,
                **self._machine_limits,
                **ports,
            )
        )
        return RouterRun(name, ip, ports, settings, folder / f"{name}.log", relay)
