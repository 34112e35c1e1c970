"""An operator moves a runner between two pools of real processes while callers stream."""

import concurrent.futures
import itertools
import threading

import pytest
import urllib3
from click.testing import CliRunner
from deployment import ADMIN_KEY, Deployment, answers, free_address, wait_until

from martenrun.cli.main import main
from martenrun.load.client import CompletionCall, CompletionClient

MODELS = {"readers": "vine-reader", "desk": "souk-desk"}
TIMEOUT_S = 60.0


@pytest.fixture
def deployment():
    running = Deployment()
    try:
        running.start_platform()
        store = free_address()
        flags = [f for model in MODELS.values() for f in ("--publish", f"{model}/v1")]
        running.run("weights", "standin", "weights", "--address", store, "--load-s", "0.5", *flags)
        wait_until(lambda: answers(store, "/v1/loads"), "weight store", TIMEOUT_S)
        for pool in ("readers", "readers", "desk"):
            running.start_engine("zone-a", pool, MODELS[pool], "--weight-store", store)
        running.start_nodes(["zone-a", "zone-a"])
        running.start_agents(["zone-a"])
        running.apply_tenant("growers", "growers-key")
        for pool, model in MODELS.items():
            running.apply("pools", pool, {"model": model, "weights_version": "v1", "floor": 1})
            revision = running.apply("routes", pool, {"model": model, "pool": pool})
        running.wait_ready(revision)
        yield running
    finally:
        running.stop()


def admin(deployment, *arguments):
    node = ("--node", deployment.node_edges[0], "--key", ADMIN_KEY)
    return CliRunner().invoke(main, ["admin", *node, *arguments])


def describe(deployment, index):
    address = deployment.engines[index]
    return urllib3.request("GET", f"http://{address}/v1/runner", timeout=5.0).json()


def test_an_operator_moves_a_runner_and_sends_it_back(deployment):
    names = (f"move-{index}" for index in itertools.count())
    done = threading.Event()

    def stream(model):
        client = CompletionClient(deployment.agent_edges[0], "growers-key")
        records = []
        while not done.is_set():
            records.append(client.stream(CompletionCall(next(names), model, "p" * 9_000)))
        return records

    def has_arrived(model):
        known = describe(deployment, 0)
        if (known["model"], known["state"]) != (model, "serving"):
            return False
        status = admin(deployment, "status")
        return status.exit_code == 0 and "moving:" not in status.output

    with concurrent.futures.ThreadPoolExecutor(4) as callers:
        futures = [callers.submit(stream, model) for model in MODELS.values() for _ in range(2)]
        try:
            moved = admin(deployment, "assign", "engine-0", "desk", "--reason", "market day")
            assert moved.exit_code == 0, moved.output
            wait_until(lambda: "market day" in admin(deployment, "status").output, "it shows", 30.0)
            wait_until(lambda: has_arrived("souk-desk"), "the move", TIMEOUT_S)
            refused = admin(deployment, "assign", "engine-1", "desk")
            assert "would keep 0 runners; its floor is 1" in refused.output
            assert admin(deployment, "assign", "engine-0", "--back").exit_code == 0
            wait_until(lambda: has_arrived("vine-reader"), "the way back", TIMEOUT_S)
        finally:
            done.set()
        records = [record for future in futures for record in future.result()]
    broken = [r for r in records if not r.whole and '"ran":"no"' not in r.error]
    assert broken == []
    assert sum(record.whole for record in records) >= 0.9 * len(records)
