"""Kept-cache stores end to end: real processes of nodes, agents, engines and a store."""

import pytest
import urllib3
from deployment import Deployment, free_address, wait_until

from martenrun.load.client import CompletionCall, CompletionClient

MODEL = "vine-reader"
BLOCKS = 20
PROMPT = "season " * (BLOCKS * 4_000 // 7)


def kept_blocks(store):
    return urllib3.request("GET", f"http://{store}/v1/blocks").json()["blocks"]


@pytest.fixture
def deployment():
    running, store = Deployment(), free_address()
    running.store = store
    try:
        running.start_platform()
        running.run("store", "standin", "kv-store", "--address", store)
        flags = ("--prefill-s-per-block", "0.02", "--kv-store", store, "--event-lag-s", "0.0")
        running.start_engine("zone-a", "readers", MODEL, *flags)
        running.start_nodes(["zone-a"])
        running.start_agents(["zone-a"])
        running.apply_tenant("growers", "growers-key")
        pool = {
            "model": MODEL,
            "weights_version": "v1",
            "kept_cache": {"name": "cellar-memory", "minimum_uses": 2},
        }
        running.apply("pools", "readers", pool)
        route = {"model": MODEL, "pool": "readers"}
        running.wait_ready(running.apply("routes", "readers", route))
        yield running
    finally:
        running.stop()


def ask(client, ending):
    """Return the cached tokens of the first whole answer; a restarted engine is known late."""
    answers = []

    def is_answered():
        call = CompletionCall(f"{ending}-{len(answers)}", MODEL, PROMPT + ending, 4)
        answers.append(client.stream(call))
        return answers[-1].whole

    wait_until(is_answered, "an answer", 10.0)
    return answers[-1].cached_tokens


def test_a_crashed_engine_gets_prefixes_from_the_store_and_computes_them_without_it(deployment):
    client = CompletionClient(deployment.agent_edges[0], "growers-key")
    assert ask(client, "one") == 0
    assert ask(client, "two") >= (BLOCKS - 1) * 1_000
    wait_until(lambda: kept_blocks(deployment.store) >= BLOCKS - 1, "the export", 10.0)
    engine = deployment.engines[0]
    urllib3.request("POST", f"http://{engine}/faults", body=b'{"crash": true}')
    front = CompletionClient(deployment.node_edges[0], "growers-key")
    assert ask(front, "three") >= (BLOCKS - 1) * 1_000
    urllib3.request("POST", f"http://{engine}/faults", body=b'{"crash": true}')
    deployment.kill("store")
    assert ask(client, "four") == 0
    shown = urllib3.request("GET", f"http://{deployment.node_edges[0]}/metrics").data.decode()
    for count in (f'imported_blocks_total{{pool="readers"}} {BLOCKS - 1}.0', "exports_total"):
        assert f"martenrun:kept_cache_{count}" in shown
