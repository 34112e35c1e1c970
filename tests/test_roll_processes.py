"""A roll of new weights through a pool of real processes while callers stream."""

import concurrent.futures
import itertools
import threading

import pytest
import urllib3
from deployment import Deployment, answers, free_address, wait_until

from martenrun.load.client import CompletionCall, CompletionClient

MODEL = "vine-reader"
ENGINES = 3
ROLL_TIMEOUT_S = 60.0


@pytest.fixture
def deployment():
    running = Deployment()
    try:
        running.start_platform()
        store = free_address()
        flags = [f for v in ("v1", "v2") for f in ("--publish", f"{MODEL}/{v}")]
        running.run("weights", "standin", "weights", "--address", store, "--load-s", "0.5", *flags)
        wait_until(lambda: answers(store, "/v1/loads"), "weight store", ROLL_TIMEOUT_S)
        running.weight_store = store
        for _ in range(ENGINES):
            running.start_engine("zone-a", "readers", MODEL, "--weight-store", store)
        running.start_nodes(["zone-a", "zone-a"])
        running.start_agents(["zone-a"])
        running.apply_tenant("growers", "growers-key")
        running.pool_version = running.apply("pools", "readers", pool("v1"))
        running.wait_ready(running.apply("routes", "readers", {"model": MODEL, "pool": "readers"}))
        yield running
    finally:
        running.stop()


def pool(version):
    return {"model": MODEL, "weights_version": version, "floor": ENGINES - 2}


def get(address, path):
    return urllib3.request("GET", f"http://{address}{path}", timeout=5.0).json()


def test_a_roll_cuts_off_no_stream_and_loads_two_at_a_time(deployment):
    client = CompletionClient(deployment.agent_edges[0], "growers-key")
    names = (f"roll-{index}" for index in itertools.count())

    def rolled():
        states = [get(address, "/v1/runner") for address in deployment.engines]
        return all((s["weights_version"], s["state"]) == ("v2", "serving") for s in states)

    def stream_until_rolled():
        records = []
        while not done.is_set():
            records.append(client.stream(CompletionCall(next(names), MODEL, "p" * 9_000)))
        return records

    done = threading.Event()
    with concurrent.futures.ThreadPoolExecutor(4) as callers:
        futures = [callers.submit(stream_until_rolled) for _ in range(4)]
        try:
            deployment.apply("pools", "readers", pool("v2"), deployment.pool_version)
            wait_until(rolled, "the roll", ROLL_TIMEOUT_S)
        finally:
            done.set()
        records = [record for future in futures for record in future.result()]
    loads = get(deployment.weight_store, "/v1/loads")
    assert (loads["finished"], loads["most"]) == (ENGINES, 2)
    assert records
    broken = [r for r in records if not r.whole and '"ran":"no"' not in r.error]
    assert broken == []
    assert sum(record.whole for record in records) >= 0.9 * len(records)
