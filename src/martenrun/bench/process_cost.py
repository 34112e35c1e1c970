"""CPU time of running processes, read from their own metrics.

See also: :mod:`martenrun.observability.metrics`.
"""

import urllib3

_CPU_METRIC = "process_cpu_seconds_total"


def cpu_s(address: str) -> float:
    """Return the CPU time that the process behind an HTTP edge has used, in seconds."""
    response = urllib3.request("GET", f"http://{address}/metrics", timeout=5.0, retries=False)
    for line in response.data.decode().splitlines():
        if line.startswith(_CPU_METRIC):
            return float(line.split()[1])
    raise RuntimeError(f"{address} shows no {_CPU_METRIC}")


def quantile(values: list[float], part: float) -> float:
    """Return the value below which a part of the values lies; 0 for none."""
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(part * len(ordered)))] if ordered else 0.0
