"""Real processes: the system moves a runner by demand, and an operator moves it back by hand."""

import concurrent.futures
import itertools
import json
import threading

import pytest
import urllib3
from click.testing import CliRunner
from deployment import ADMIN_KEY, Deployment, answers, free_address, wait_until

from martenrun.cli.main import main
from martenrun.load.client import CompletionCall, CompletionClient

MODELS = {"readers": "vine-reader", "desk": "souk-desk"}
LIMITS = {"wait_s": 0.1, "pressure_s": 1, "load_s": 0, "room_s": 1}
BOUNDS = {"floor": 1, "minimum_runners": 1, "maximum_runners": 2}
DESK_CALLERS = 6
TIMEOUT_S = 60.0


@pytest.fixture
def deployment():
    running = Deployment()
    try:
        running.start_platform()
        store = free_address()
        flags = [f for model in MODELS.values() for f in ("--publish", f"{model}/v1")]
        running.run("weights", "standin", "weights", "--address", store, "--load-s", "0.2", *flags)
        wait_until(lambda: answers(store, "/v1/loads"), "weight store", TIMEOUT_S)
        for pool in ("readers", "readers", "desk"):
            flags = ("--weight-store", store, "--slots", "2")
            running.start_engine("zone-a", pool, MODELS[pool], *flags)
        running.start_nodes(["zone-a"])
        running.start_agents(["zone-a"])
        running.apply_tenant("growers", "growers-key")
        for pool, model in MODELS.items():
            running.serve_pool(pool, model, scaling=LIMITS, **BOUNDS)
        yield running
    finally:
        running.stop()


def admin(deployment, *arguments):
    node = ("--node", deployment.node_edges[0], "--key", ADMIN_KEY)
    return CliRunner().invoke(main, ["admin", *node, *arguments])


def assignments(deployment):
    lines = admin(deployment, "list", "assignments").output.splitlines()
    return {item["name"]: item["document"] for item in map(json.loads, lines)}


def serving(deployment, model):
    """Return the engines that serve a model, by their numbers."""
    found = []
    for index, address in enumerate(deployment.engines):
        known = urllib3.request("GET", f"http://{address}/v1/runner", timeout=5.0).json()
        if (known["model"], known["state"]) == (model, "serving"):
            found.append(index)
    return found


def test_a_runner_moves_by_demand_and_back_by_hand(deployment):
    names = (f"move-{index}" for index in itertools.count())
    done = threading.Event()

    def stream(model):
        client = CompletionClient(deployment.agent_edges[0], "growers-key")
        records = []
        while not done.is_set():
            records.append(client.stream(CompletionCall(next(names), model, "p" * 9_000)))
        return records

    def has_arrived(runner, pool):
        assignment = assignments(deployment).get(runner, {})
        return (assignment.get("pool"), assignment.get("arrived")) == (pool, True)

    models = [MODELS["readers"], *[MODELS["desk"]] * DESK_CALLERS]
    with concurrent.futures.ThreadPoolExecutor(len(models)) as callers:
        futures = [callers.submit(stream, model) for model in models]
        try:
            wait_until(lambda: assignments(deployment), "the decision", TIMEOUT_S)
            runner, assignment = next(iter(assignments(deployment).items()))
            assert (assignment["made_by"], assignment["pool"]) == ("scaling", "desk")
            wait_until(lambda: has_arrived(runner, "desk"), "the move", TIMEOUT_S)
            assert len(serving(deployment, "souk-desk")) == 2
            other = next(f"engine-{index}" for index in (0, 1) if f"engine-{index}" != runner)
            refused = admin(deployment, "assign", other, "desk")
            assert "would keep 0 runners; its floor is 1" in refused.output
            moved = admin(deployment, "assign", runner, "readers", "--reason", "harvest")
            assert moved.exit_code == 0, moved.output
            wait_until(lambda: "harvest" in admin(deployment, "status").output, "it shows", 30.0)
            wait_until(lambda: has_arrived(runner, "readers"), "the way back", TIMEOUT_S)
        finally:
            done.set()
        records = [record for future in futures for record in future.result()]
    assert serving(deployment, "vine-reader") == [0, 1]
    broken = [r for r in records if not r.whole and '"ran":"no"' not in r.error]
    assert broken == []
    assert sum(record.whole for record in records) >= 0.9 * len(records)
