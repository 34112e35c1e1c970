"""Measure how long a retired key is still let in, at every edge of a deployment on loopback.

Real processes: nodes and agents in two zones.  Each round publishes a key, waits until every
edge lets it in, retires it, and asks every edge again and again until all refuse it.
"""

import argparse
import hashlib
import statistics
import time

import urllib3
from deployment import Deployment


def status_at(edge: str, key: str) -> int:
    """Return the status with which an edge answers a key."""
    headers = {"Authorization": f"Bearer {key}"}
    url = f"http://{edge}/v1/models"
    return urllib3.request("GET", url, headers=headers, retries=False, timeout=5.0).status


def seconds_until(edges: list[str], key: str, status: int) -> dict[str, float]:
    """Ask every edge until it answers with a status; returns the time that each took."""
    started = time.monotonic()
    left, taken = set(edges), {}
    while left:
        for edge in sorted(left):
            if status_at(edge, key) == status:
                taken[edge] = time.monotonic() - started
                left.discard(edge)
        time.sleep(0.01)
    return taken


def main() -> None:
    """Print the slowest edge of each round, and the median and worst over all."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--nodes", type=int, default=3)
    parser.add_argument("--agents", type=int, default=3)
    parser.add_argument("--rounds", type=int, default=20)
    arguments = parser.parse_args()
    deployment = Deployment()
    try:
        deployment.start_platform()
        deployment.start_nodes([f"zone-{index % 2}" for index in range(arguments.nodes)])
        deployment.start_agents([f"zone-{index % 2}" for index in range(arguments.agents)])
        deployment.wait_ready(deployment.apply("tenants", "growers", {}))
        edges = [*deployment.node_edges, *deployment.agent_edges]
        slowest = []
        for number in range(arguments.rounds):
            key = f"key-{number}"
            digest = hashlib.sha256(key.encode()).hexdigest()
            document: dict[str, object] = {"tenant": "growers", "key_sha256": digest}
            version = deployment.apply("keys", key, document)
            seconds_until(edges, key, 200)
            deployment.apply("keys", key, {**document, "retired": True}, version)
            taken = seconds_until(edges, key, 401)
            edge = max(taken, key=lambda each: taken[each])
            slowest.append(taken[edge])
            role = "agent" if edge in deployment.agent_edges else "node"
            nodes_s = max(taken[each] for each in deployment.node_edges)
            print(f"round {number}: {taken[edge]:.2f} s ({role}); nodes {nodes_s:.2f} s")
        print(f"median {statistics.median(slowest):.2f} s, worst {max(slowest):.2f} s")
    finally:
        deployment.stop()


if __name__ == "__main__":
    main()
