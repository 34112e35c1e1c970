"""Counters and histograms of a router in the Prometheus text format.

The Prometheus client library takes 22 MB after import, more than the whole router; the format
itself takes a few lines.
"""

import bisect
import contextlib
import os
import resource
from collections.abc import Callable, Iterable

import attrs

from martenrun.net.periodic import FAILED_CALLS

LATENCY_BOUNDS_S = (0.01, 0.025, 0.05, 0.1, 0.2, 0.4, 0.8, 1.6, 3.2, 6.4)
"""Upper bounds of the latency buckets, in seconds."""


@attrs.frozen
class Sample:
    """One gauge value, read when the metrics are requested."""

    name: str
    value: float


class Histogram:
    """Histogram of durations."""

    def __init__(self) -> None:
        self._counts = [0] * (len(LATENCY_BOUNDS_S) + 1)
        self._sum_s = 0.0

    def add(self, seconds: float) -> None:
        """Add one duration."""
        self._counts[bisect.bisect_left(LATENCY_BOUNDS_S, seconds)] += 1
        self._sum_s += seconds

    def lines(self, name: str, labels: str) -> Iterable[str]:
        """Return the histogram's lines in the text format."""
        total = 0
        for bound, count in zip((*map(str, LATENCY_BOUNDS_S), "+Inf"), self._counts, strict=True):
            total += count
            yield f'{name}_bucket{{{labels},le="{bound}"}} {total}'
        yield f"{name}_sum{{{labels}}} {self._sum_s:.3f}"
        yield f"{name}_count{{{labels}}} {total}"


class Metrics:
    """Metrics of one router.

    Args:
        read_samples: returns the gauges, which are read only when the metrics are requested.
    """

    def __init__(self, read_samples: Callable[[], list[Sample]]) -> None:
        self._read_samples = read_samples
        self._counters: dict[tuple[str, str], int] = {}
        self._histograms: dict[tuple[str, str], Histogram] = {}

    def count(self, name: str, **labels: str) -> None:
        """Increment a counter."""
        key = (name, _labels(labels))
        self._counters[key] = self._counters.get(key, 0) + 1

    def time(self, name: str, seconds: float, **labels: str) -> None:
        """Add a duration to a histogram."""
        key = (name, _labels(labels))
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = self._histograms[key] = Histogram()
        histogram.add(seconds)

    def text(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        lines = []
        for (name, labels), value in sorted(self._counters.items()):
            lines.append(f"martenrun_{name}_total{{{labels}}} {value}")
        for task, count in sorted(FAILED_CALLS.items()):
            lines.append(f'martenrun_task_failures_total{{task="{task}"}} {count}')
        for (name, labels), histogram in sorted(self._histograms.items()):
            lines += histogram.lines(f"martenrun_{name}_seconds", labels)
        for sample in [*self._read_samples(), *_process_samples()]:
            lines.append(f"martenrun_{sample.name} {sample.value:g}")
        return ("\n".join(lines) + "\n").encode()


def _labels(labels: dict[str, str]) -> str:
    return ",".join(f'{name}="{value}"' for name, value in labels.items())


def _process_samples() -> list[Sample]:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    samples = [
        Sample("memory_peak_bytes", usage.ru_maxrss * 1024),
        Sample("processor_seconds", usage.ru_utime + usage.ru_stime),
    ]
    with contextlib.suppress(OSError):
        samples.append(Sample("open_descriptors", len(os.listdir("/proc/self/fd"))))
    return samples
