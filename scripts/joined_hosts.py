"""Hollow-host processes of the joined scale run, and what their nodes told, by time."""

import bisect
import itertools
import subprocess
import sys
import threading
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field

import msgspec
from deployment import CLUSTER_SECRET, Deployment

from martenrun.bench.scale.host import HostReport


@dataclass
class Timeline:
    """Values of one number that was watched, each with when it was first seen."""

    seen_at: list[float] = field(default_factory=list)
    values: list[int] = field(default_factory=list)

    def note(self, now: float, value: int) -> None:
        """Add what was seen now."""
        if not self.values or self.values[-1] != value:
            self.seen_at.append(now)
            self.values.append(value)

    def first_after(self, begin: float, condition: Callable[[int], bool]) -> float | None:
        """Return when the value met a condition at or after a time; None if never."""
        for index, value in enumerate(self.values):
            if condition(value):
                until = self.seen_at[index + 1] if index + 1 < len(self.seen_at) else None
                if until is None or until > begin:
                    return max(begin, self.seen_at[index])
        return None


class Host:
    """One hollow-host process; a thread reads its reports."""

    def __init__(self, process: subprocess.Popen[bytes], name: str, nodes: int) -> None:
        self.process = process
        self.name = name
        self.nodes = nodes
        self.revisions = [Timeline() for _ in range(nodes)]
        self.members = [Timeline() for _ in range(nodes)]
        self.reports: list[tuple[float, HostReport]] = []
        threading.Thread(target=self._read, name=name, daemon=True).start()

    def report_at(self, moment: float) -> tuple[float, HostReport]:
        """Return the first report at or after a time, or the last one."""
        index = bisect.bisect_left([at for at, _ in self.reports], moment)
        return self.reports[min(index, len(self.reports) - 1)]

    def _read(self) -> None:
        assert self.process.stdout is not None
        for line in self.process.stdout:
            try:
                report = msgspec.json.decode(line, type=HostReport)
            except msgspec.DecodeError:
                # A line cut short by a kill.
                continue
            now = time.monotonic()
            self.reports.append((now, report))
            for timeline, value in zip(self.revisions, report.revisions, strict=True):
                timeline.note(now, value)
            for timeline, value in zip(self.members, report.members, strict=True):
                timeline.note(now, value)


def shares(nodes: int, hosts: int) -> list[int]:
    """Split nodes over hosts unevenly, so that memory can be fitted against host size."""
    weights = [0.6 + 0.8 * (index + 0.5) / hosts for index in range(hosts)]
    bounds = [round(nodes * sum(weights[:count]) / sum(weights)) for count in range(hosts + 1)]
    return [after - before for before, after in itertools.pairwise(bounds)]


def start_hosts(
    deployment: Deployment, sizes: Sequence[int], port: int, seed: int, add: Callable[[Host], None]
) -> None:
    """Start a process for each size; ``add`` gets each one at once.

    The deployment ends them with its other processes.
    """
    first = 0
    for number, size in enumerate(sizes):
        name = f"host-{number}"
        command = [
            *(sys.executable, "-m", "martenrun.cli", "bench", "hollow-host"),
            *("--first-index", str(first), "--nodes", str(size), "--port", str(port)),
            *("--object-api", deployment.objects, "--machine-list", deployment.machines),
            *("--cluster-secret", CLUSTER_SECRET, "--seed", str(seed)),
            *(flag for peer in deployment.node_peers for flag in ("--seed-nodes", peer)),
        ]
        process = subprocess.Popen(command, stdout=subprocess.PIPE, stderr=subprocess.DEVNULL)
        deployment.processes[name] = process
        add(Host(process, name, size))
        first += size
