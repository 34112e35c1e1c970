"""CPU time of running processes, read from their own metrics.

See also: :mod:`martenrun.observability.metrics`.
"""

from dataclasses import dataclass, field

import urllib3

from martenrun.observability.process_cost import PEER_BYTES_METRIC, THREAD_CPU_METRIC

_CPU_METRIC = "process_cpu_seconds_total"


@dataclass
class ProcessCost:
    """What a process has cost so far.

    Attributes:
        cpu_s: processor time, in seconds.
        thread_cpu_s: processor time by thread, in seconds, to 0.01 s a thread.
        peer_bytes: bytes sent in internal messages.
    """

    cpu_s: float = 0.0
    thread_cpu_s: dict[str, float] = field(default_factory=dict)
    peer_bytes: float = 0.0

    def add(self, other: "ProcessCost") -> None:
        """Add what another process has cost."""
        self.cpu_s += other.cpu_s
        self.peer_bytes += other.peer_bytes
        for name, spent in other.thread_cpu_s.items():
            self.thread_cpu_s[name] = self.thread_cpu_s.get(name, 0.0) + spent

    def since(self, earlier: "ProcessCost") -> "ProcessCost":
        """Return what was spent since an earlier reading."""
        threads = {
            name: spent - earlier.thread_cpu_s.get(name, 0.0)
            for name, spent in self.thread_cpu_s.items()
        }
        return ProcessCost(
            self.cpu_s - earlier.cpu_s, threads, self.peer_bytes - earlier.peer_bytes
        )


def read_cost(address: str) -> ProcessCost:
    """Return what the process behind an HTTP edge has cost so far."""
    response = urllib3.request("GET", f"http://{address}/metrics", timeout=5.0, retries=False)
    cost = ProcessCost()
    for line in response.data.decode().splitlines():
        name, _, value = line.rpartition(" ")
        if name == _CPU_METRIC:
            cost.cpu_s = float(value)
        elif name.startswith(f"{THREAD_CPU_METRIC}_total"):
            cost.thread_cpu_s[name.split('"')[1]] = float(value)
        elif name.startswith(f"{PEER_BYTES_METRIC}_total"):
            cost.peer_bytes += float(value)
    return cost


def cpu_s(address: str) -> float:
    """Return the CPU time that the process behind an HTTP edge has used, in seconds."""
    return read_cost(address).cpu_s


def quantile(values: list[float], part: float) -> float:
    """Return the value below which a part of the values lies; 0 for none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else 0.0
