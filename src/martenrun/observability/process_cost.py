"""Prometheus view of what a process's own threads and its internal messages cost.

The threads' names tell what they do: the loop decides, the transport carries messages.

See also: :mod:`martenrun.bench.control`, ``docs/design/node-cost.md``.
"""

import re
import threading
import time
from collections.abc import Iterable

from prometheus_client.core import CounterMetricFamily, Metric
from prometheus_client.registry import Collector

from martenrun.wire.transport import PeerTransport

THREAD_CPU_METRIC = "martenrun:thread_cpu_seconds"
PEER_BYTES_METRIC = "martenrun:peer_bytes"

THREAD_CLOCK = 6
"""Low three bits of the id of a thread's processor clock on Linux (man clock_getcpuclockid).

They stand for "one thread" (4) and "time as scheduled" (2).
"""

_NUMBER = re.compile(r"[-_ ]*\(?\d.*")


class ThreadTimes:
    """Processor times of this process's Python threads.

    A call that waits for the system hands the interpreter to another thread, and a busy one keeps
    it for 5 ms; the clocks of threads are read without that.
    """

    def read(self) -> dict[str, float]:
        """Return the processor time so far by name, in seconds.

        Threads that differ by a number only are added up.
        """
        spent: dict[str, float] = {}
        for thread in threading.enumerate():
            thread_id = thread.native_id
            time_s = None if thread_id is None else _thread_time_s(thread_id)
            if time_s is not None:
                kind = _NUMBER.sub("", thread.name)
                spent[kind] = spent.get(kind, 0.0) + time_s
        return spent


def _thread_time_s(thread_id: int) -> float | None:
    """Return a thread's processor time in seconds, or None if it has ended."""
    try:
        return time.clock_gettime(~thread_id << 3 | THREAD_CLOCK)
    except OSError:
        return None


class ProcessCostCollector(Collector):
    """Reads the process's cost when it is scraped."""

    def __init__(self, transport: PeerTransport) -> None:
        self._transport = transport
        self._thread_times = ThreadTimes()

    def collect(self) -> Iterable[Metric]:
        """Return processor time by thread and bytes of internal messages by way."""
        threads = CounterMetricFamily(
            THREAD_CPU_METRIC, "Processor time of running threads, by name.", labels=["thread"]
        )
        for name, spent_s in self._thread_times.read().items():
            threads.add_metric([name], spent_s)
        peers = CounterMetricFamily(
            PEER_BYTES_METRIC, "Bytes of internal messages sent, by way.", labels=["way"]
        )
        peers.add_metric(["stream"], self._transport.sent_stream_bytes)
        peers.add_metric(["datagram"], self._transport.sent_datagram_bytes)
        return [threads, peers]
