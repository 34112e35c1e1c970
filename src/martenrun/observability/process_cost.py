"""Prometheus view of what a process's own threads and its internal messages cost.

The threads' names tell what they do: the loop decides, the transport carries messages.

See also: :mod:`martenrun.bench.control`, ``docs/design/node-cost.md``.
"""

import os
import re
import threading
from collections.abc import Iterable
from io import FileIO

from prometheus_client.core import CounterMetricFamily, Metric
from prometheus_client.registry import Collector

from martenrun.wire.transport import PeerTransport

THREAD_CPU_METRIC = "martenrun:thread_cpu_seconds"
PEER_BYTES_METRIC = "martenrun:peer_bytes"

LONGEST_STAT = 1_024
"""Bytes read of what the system tells of a thread."""

_NUMBER = re.compile(r"[-_ ]*\(?\d.*")
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


class ThreadTimes:
    """Processor times of this process's Python threads.

    Every call into the system hands the interpreter to another thread, and a busy one keeps it for
    5 ms.  The files that tell the times stay open, so that a reading takes one call a thread.
    """

    def __init__(self) -> None:
        self._files: dict[int, FileIO] = {}
        self._lock = threading.Lock()

    def read(self) -> dict[str, float]:
        """Return the processor time so far by name, in seconds.

        Threads that differ by a number only are added up; the resolution is 0.01 s a thread.
        Readings at the same time wait for each other: they share the files.
        """
        with self._lock:
            return self._read()

    def _read(self) -> dict[str, float]:
        spent: dict[str, float] = {}
        threads = {thread.native_id: thread.name for thread in threading.enumerate()}
        for ended in self._files.keys() - threads.keys():
            self._files.pop(ended).close()
        for thread_id, name in threads.items():
            ticks = None if thread_id is None else self._ticks(thread_id)
            if ticks is not None:
                kind = _NUMBER.sub("", name)
                spent[kind] = spent.get(kind, 0.0) + ticks / _TICKS_PER_S
        return spent

    def _ticks(self, thread_id: int) -> int | None:
        """Return a thread's processor time in ticks, or None if it has ended."""
        try:
            file = self._files.get(thread_id)
            if file is None:
                file = self._files[thread_id] = FileIO(f"/proc/self/task/{thread_id}/stat")
            stat = os.pread(file.fileno(), LONGEST_STAT, 0).decode("ascii", "replace")
        except OSError:
            ended = self._files.pop(thread_id, None)
            if ended is not None:
                ended.close()
            return None
        # Fields after the name in brackets, which may hold spaces.
        user, system = stat.rpartition(")")[2].split()[11:13]
        return int(user) + int(system)


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
