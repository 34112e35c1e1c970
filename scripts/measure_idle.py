"""Measures the processor time and memory of real nodes that have nothing to do.

Usage: ``measure_idle.py [SECONDS]``; prints one JSON line.  Three nodes and six engines.
"""

import json
import os
import sys
import time
from pathlib import Path

from bench import MODEL
from deployment import Deployment
from measure_restart import NODES, resident_bytes, spread

ENGINES = 6
SETTLE_S = 5.0
DURATION_S = 10.0
_USER_TICKS_FIELD = 13
_TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def start() -> Deployment:
    """Start a platform, engines and nodes, and publish a pool."""
    deployment = Deployment()
    try:
        deployment.start_platform()
        for _ in range(ENGINES):
            deployment.start_engine("zone-a", "readers", MODEL)
        deployment.start_nodes(["zone-a"] * NODES)
        pool = {"model": MODEL, "weights_version": "v1"}
        deployment.wait_ready(deployment.apply("pools", "readers", pool))
    except BaseException:
        deployment.stop()
        raise
    return deployment


def cpu_s(process: int) -> float:
    """Return the processor time a process has taken so far, in seconds."""
    text = Path(f"/proc/{process}/stat").read_text(encoding="ascii")
    fields = text.rpartition(")")[2].split()
    user, system = fields[_USER_TICKS_FIELD - 2 : _USER_TICKS_FIELD]
    return (int(user) + int(system)) / _TICKS_PER_S


def main() -> None:
    """Measure and print."""
    duration_s = float(sys.argv[1]) if len(sys.argv) > 1 else DURATION_S
    deployment = start()
    try:
        nodes = [deployment.processes[f"node-{index}"].pid for index in range(NODES)]
        time.sleep(SETTLE_S)
        begin = [cpu_s(node) for node in nodes]
        time.sleep(duration_s)
        spent = [cpu_s(node) - before for node, before in zip(nodes, begin, strict=True)]
        memory = [resident_bytes(node) / 2**20 for node in nodes]
    finally:
        deployment.stop()
    cpu_ms_per_s = [1000 * seconds / duration_s for seconds in spent]
    result = {"cpu_ms_per_s": spread(cpu_ms_per_s), "rss_mib": spread(memory)}
    print(json.dumps({"nodes": NODES, "engines": ENGINES, "duration_s": duration_s, **result}))


if __name__ == "__main__":
    main()
