"""Prometheus view of what a process's own threads and its internal messages cost.

The threads' names tell what they do: the loop decides, the transport carries messages.

See also: :mod:`martenrun.bench.control`, ``docs/design/node-cost.md``.
"""

import os
import re
import threading
from collections.abc import Iterable
from pathlib import Path

from prometheus_client.core import CounterMetricFamily, Metric
from prometheus_client.registry import Collector

from martenrun.wire.transport import PeerTransport

THREAD_CPU_METRIC = "martenrun:thread_cpu_seconds"
PEER_BYTES_METRIC = "martenrun:peer_bytes"

_NUMBER = re.compile(r"[-_ ]*\(?\d.*")
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def thread_cpu_s() -> dict[str, float]:
    """Return the processor time of this process's Python threads so far, by name, in seconds.

    Threads that differ by a number only are added up; the resolution is 0.01 s a thread.
    """
    spent: dict[str, float] = {}
    for thread in threading.enumerate():
        try:
            stat = Path(f"/proc/self/task/{thread.native_id}/stat").read_text(encoding="ascii")
        except OSError:
            continue  # It has ended since.
        # Fields after the name in brackets, which may hold spaces.
        user, system = stat.rpartition(")")[2].split()[11:13]
        name = _NUMBER.sub("", thread.name)
        spent[name] = spent.get(name, 0.0) + (int(user) + int(system)) / _TICKS_PER_S
    return spent


class ProcessCostCollector(Collector):
    """Reads the process's cost when it is scraped."""

    def __init__(self, transport: PeerTransport) -> None:
        self._transport = transport

    def collect(self) -> Iterable[Metric]:
        """Return processor time by thread and bytes of internal messages by way."""
        threads = CounterMetricFamily(
            THREAD_CPU_METRIC, "Processor time of running threads, by name.", labels=["thread"]
        )
        for name, spent_s in thread_cpu_s().items():
            threads.add_metric([name], spent_s)
        peers = CounterMetricFamily(
            PEER_BYTES_METRIC, "Bytes of internal messages sent, by way.", labels=["way"]
        )
        peers.add_metric(["stream"], self._transport.sent_stream_bytes)
        peers.add_metric(["datagram"], self._transport.sent_datagram_bytes)
        return [threads, peers]
