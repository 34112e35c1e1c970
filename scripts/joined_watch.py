"""Watching of the joined scale run: real edges, the callers' load, and the machine's limits."""

import _thread
import random
import threading
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from pathlib import Path

import urllib3
from deployment import ADMIN_KEY, Deployment
from joined_hosts import Timeline

from martenrun.bench.process_cost import quantile
from martenrun.load.client import CompletionCall, CompletionClient, StreamRecord

MODEL = "vine-reader"
KEY = "joined-key"
PAGE_BYTES = 4096
PREFIX_BYTES = 20_000
PREFIXES = 6
_EDGE_POLL_S = 0.05
_STATUS_POLL_S = 0.5
_CALLERS_PER_AGENT = 2
_CALLER_PAUSE_S = 0.4


def resident_bytes(pid: int) -> int:
    """Return a process's memory; 0 if it has ended."""
    try:
        return int(Path(f"/proc/{pid}/statm").read_text().split()[1]) * PAGE_BYTES
    except OSError:
        return 0


class Repeated:
    """A thread that calls something again and again until it is stopped."""

    def __init__(self, call: Callable[[], None], pause_s: float) -> None:
        self._call = call
        self._pause_s = pause_s
        self._stopping = threading.Event()
        self._thread = threading.Thread(target=self._run, daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Stop and wait for the present call."""
        self._stopping.set()
        self._thread.join()

    def _run(self) -> None:
        while not self._stopping.is_set():
            self._call()
            self._stopping.wait(self._pause_s)


class Guard:
    """Interrupts the run when it takes too much memory or time; ``reason`` then says which."""

    def __init__(self, deployment: Deployment, limit_bytes: float, limit_s: float) -> None:
        self.reason = ""
        self.peak_bytes = 0
        self._deployment = deployment
        self._limit_bytes = limit_bytes
        self._limit_s = limit_s
        self._until = time.monotonic() + limit_s
        self._repeated = Repeated(self._check, 1.0)

    def stop(self) -> None:
        """Stop guarding."""
        self._repeated.stop()

    def _check(self) -> None:
        processes = list(self._deployment.processes.values())
        used_bytes = sum(resident_bytes(process.pid) for process in processes)
        self.peak_bytes = max(self.peak_bytes, used_bytes)
        if self.reason:
            return
        if used_bytes > self._limit_bytes:
            self.reason = f"{used_bytes} bytes of memory are over the limit"
        elif time.monotonic() > self._until:
            self.reason = f"not done after {self._limit_s} s"
        if self.reason:
            _thread.interrupt_main()


class RealEdges:
    """Revisions in force at real nodes and agents, and the members real nodes see."""

    def __init__(self, deployment: Deployment) -> None:
        self._deployment = deployment
        edges = [*deployment.node_edges, *deployment.agent_edges]
        self.revisions = {edge: Timeline() for edge in edges}
        self.members = {edge: Timeline() for edge in deployment.node_edges}
        self._repeated = [
            Repeated(lambda edge=edge: self._read_revision(edge), _EDGE_POLL_S) for edge in edges
        ]

    def stop(self) -> None:
        """Stop watching."""
        for repeated in self._repeated:
            repeated.stop()

    def watch_members(self) -> Callable[[], None]:
        """Ask real nodes for their members, which costs messages, until the result is called."""
        asking = [
            Repeated(lambda edge=edge: self._read_members(edge), _STATUS_POLL_S)
            for edge in self.members
        ]

        def stop() -> None:
            for repeated in asking:
                repeated.stop()

        return stop

    def _read_revision(self, edge: str) -> None:
        found = _get(f"http://{edge}/readyz")
        if found is not None:
            self.revisions[edge].note(time.monotonic(), int(found["revision"]))

    def _read_members(self, edge: str) -> None:
        found = _get(f"http://{edge}/admin/v1/status")
        if found is not None:
            count = len(found["nodes"]) + len(found["silent_nodes"])
            self.members[edge].note(time.monotonic(), count)


def _get(url: str) -> dict | None:
    headers = {"Authorization": f"Bearer {ADMIN_KEY}"}
    try:
        response = urllib3.request("GET", url, headers=headers, retries=False, timeout=5.0)
    except urllib3.exceptions.HTTPError:
        return None
    return response.json() if response.status == 200 else None


@dataclass
class PhaseLoad:
    """What callers got in one phase; ``errors`` holds the first few failures."""

    asked: int = 0
    whole: int = 0
    refused: int = 0
    broken: int = 0
    first_token_p50_s: float = 0.0
    first_token_p95_s: float = 0.0
    errors: list[str] = field(default_factory=list)


class Callers:
    """Steady callers of the real agents; each request counts in the phase it began in."""

    def __init__(self, deployment: Deployment, seed: int) -> None:
        self.phase = "before"
        self._records: list[tuple[str, StreamRecord]] = []
        self._rng = random.Random(seed)
        self._prefixes = [
            "".join(self._rng.choices("abcdefgh ", k=PREFIX_BYTES)) for _ in range(PREFIXES)
        ]
        self._asked = 0
        clients = [CompletionClient(edge, KEY) for edge in deployment.agent_edges]
        self._callers = [
            Repeated(lambda client=client: self._ask(client), _CALLER_PAUSE_S)
            for client in clients
            for _ in range(_CALLERS_PER_AGENT)
        ]

    def stop(self) -> dict[str, PhaseLoad]:
        """Wait for the last answers and return the result of each phase."""
        for caller in self._callers:
            caller.stop()
        phases = list(dict.fromkeys(phase for phase, _ in self._records))
        return {phase: self._load(phase) for phase in phases}

    def _ask(self, client: CompletionClient) -> None:
        phase = self.phase
        self._asked += 1
        prompt = f"{self._rng.choice(self._prefixes)} question {self._rng.getrandbits(64):x}"
        request_id = f"joined-{self._rng.getrandbits(64):x}"
        record = client.stream(CompletionCall(request_id, MODEL, prompt))
        self._records.append((phase, record))

    def _load(self, phase: str) -> PhaseLoad:
        records = [record for name, record in self._records if name == phase]
        whole = [record for record in records if record.whole]
        failed = [record for record in records if not record.whole]
        refused = [record for record in failed if record.status not in (0, 200)]
        first = [record.first_token_s for record in whole]
        return PhaseLoad(
            len(records),
            len(whole),
            len(refused),
            len(failed) - len(refused),
            round(quantile(first, 0.5), 4),
            round(quantile(first, 0.95), 4),
            [f"{record.status} {record.error[:200]}" for record in failed[:5]],
        )
