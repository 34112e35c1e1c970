"""Measures how soon a killed node is back while the object API is down.

Usage: ``measure_restart.py [ROUNDS]``; prints one JSON line.  Three nodes and one agent are up,
the object API is killed, then one node after the other is killed and started again.  Times run
from just before the process is started: to the first 200 of ``/readyz`` and to the end of the
first request answered with 200 by the node's own front.  Bytecode is kept in a directory of its
own, as in an installation that compiles what it installs: compiling at each start takes time, and
leaves memory that is not given back.  ``bytecode_is_cached`` tells whether that was so.
"""

import importlib.util
import json
import os
import statistics
import subprocess
import sys
import tempfile
import time
from collections.abc import Callable
from pathlib import Path

import urllib3
from bench import KEY, MODEL
from deployment import START_TIMEOUT_S, Deployment, answers, ended_on_failure

ROUNDS = 6
NODES = 3
POLL_S = 0.005
_IMPORTS = (
    "import martenrun.cli.main, martenrun.cli.libraries as libraries;"
    "libraries.limit_native_threads();"
    "import martenrun.cli.processes, martenrun.node.process, martenrun.node.front"
)


def start() -> Deployment:
    """Start a platform, an engine, three nodes and one agent, and publish a route."""
    deployment = Deployment()
    with ended_on_failure(deployment):
        deployment.start_platform()
        deployment.start_engine("zone-a", "readers", MODEL)
        deployment.start_nodes(["zone-a"] * NODES)
        deployment.start_agents(["zone-a"])
        deployment.apply_tenant("growers", KEY)
        deployment.serve_pool("readers", MODEL)
    return deployment


def seconds_until(condition: Callable[[], bool], started: float) -> float:
    """Return the time from ``started`` until a condition holds, in seconds."""
    while not condition():
        if time.monotonic() > started + START_TIMEOUT_S:
            raise TimeoutError("the node did not come back")
        time.sleep(POLL_S)
    return time.monotonic() - started


def completes(edge: str) -> bool:
    """Return whether an edge answers one short completion with 200."""
    try:
        response = urllib3.request(
            "POST",
            f"http://{edge}/v1/completions",
            json={"model": MODEL, "prompt": "grapes", "max_tokens": 1},
            headers={"Authorization": f"Bearer {KEY}"},
            retries=False,
            timeout=5.0,
        )
    except urllib3.exceptions.HTTPError:
        return False
    return response.status == 200


def resident_bytes(process: int, field: str = "VmRSS") -> int:
    """Return the memory of a process that is resident, in bytes; ``RssFile`` is that of files."""
    status = Path(f"/proc/{process}/status").read_text(encoding="ascii")
    line = next(line for line in status.splitlines() if line.startswith(f"{field}:"))
    return int(line.split()[1]) * 1024


def keep_bytecode_in(directory: str) -> None:
    """Have this process and those it starts keep their bytecode in a directory."""
    os.environ["PYTHONPYCACHEPREFIX"] = sys.pycache_prefix = directory
    os.environ.pop("PYTHONDONTWRITEBYTECODE", None)


def bytecode_is_cached() -> bool:
    """Return whether a start finds the node's modules compiled."""
    spec = importlib.util.find_spec("martenrun.process")
    return spec is not None and spec.cached is not None and Path(spec.cached).exists()


def import_cpu_s() -> float:
    """Return the processor time a fresh interpreter takes to import a node, in seconds."""
    code = f"import time; {_IMPORTS}; print(time.process_time())"
    done = subprocess.run([sys.executable, "-c", code], capture_output=True, check=True)
    return float(done.stdout)


def measure(deployment: Deployment, rounds: int) -> dict[str, list[float]]:
    """Restart nodes in turn with the object API down; return the samples by name."""
    deployment.kill("objects")
    names = ("ready_s", "first_answer_s", "rss_mib", "file_rss_mib", "agent_rss_mib")
    samples: dict[str, list[float]] = {name: [] for name in names}
    for index in range(rounds):
        node = index % NODES
        edge = deployment.node_edges[node]
        deployment.kill(f"node-{node}")
        started = time.monotonic()
        deployment.start_node(node, "zone-a")
        ready_s = seconds_until(lambda edge=edge: answers(edge, "/readyz"), started)
        samples["ready_s"].append(ready_s)
        answer_s = seconds_until(lambda edge=edge: completes(edge), started)
        samples["first_answer_s"].append(answer_s)
        process = deployment.processes[f"node-{node}"].pid
        samples["rss_mib"].append(resident_bytes(process) / 2**20)
        samples["file_rss_mib"].append(resident_bytes(process, "RssFile") / 2**20)
        agent = deployment.processes["agent-0"].pid
        samples["agent_rss_mib"].append(resident_bytes(agent) / 2**20)
    return samples


def spread(values: list[float]) -> dict[str, float]:
    """Return median, least and greatest of samples."""
    return {
        "median": round(statistics.median(values), 3),
        "least": round(min(values), 3),
        "greatest": round(max(values), 3),
    }


def measured(rounds: int) -> dict[str, object]:
    """Start a deployment, measure it and return the result."""
    import_cpu_s()  # Compiles.
    imports = [import_cpu_s() for _ in range(5)]
    deployment = start()
    try:
        samples = measure(deployment, rounds)
    finally:
        deployment.stop()
    return {
        "rounds": rounds,
        "bytecode_is_cached": bytecode_is_cached(),
        "load_average": [round(value, 1) for value in os.getloadavg()[:2]],
        "import_cpu_s": spread(imports),
        **{name: spread(values) for name, values in samples.items()},
    }


def main() -> None:
    """Measure and print."""
    rounds = int(sys.argv[1]) if len(sys.argv) > 1 else ROUNDS
    with tempfile.TemporaryDirectory(prefix="martenrun-bytecode-") as directory:
        keep_bytecode_in(directory)
        print(json.dumps(measured(rounds)))


if __name__ == "__main__":
    main()
