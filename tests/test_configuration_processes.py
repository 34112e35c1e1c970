"""Configuration with real processes: status, drains, and restarts with the store down."""

import json

import pytest
from click.testing import CliRunner
from deployment import ADMIN_KEY, Deployment, wait_until

from martenrun.cli.main import main
from martenrun.load.client import CompletionCall, CompletionClient

MODEL = "vine-reader"
KEY = "growers-key"


@pytest.fixture(scope="module")
def deployment():
    running = Deployment()
    try:
        running.start_platform()
        running.start_engine("zone-a", "readers", MODEL, "--prefill-s-per-block", "0.001")
        running.start_nodes(["zone-a", "zone-a"])
        running.start_agents(["zone-a"])
        running.apply_tenant("growers", KEY)
        running.serve_pool("readers", MODEL)
        yield running
    finally:
        running.stop()


def admin(deployment, *arguments, exit_code=0):
    command = ["admin", "--node", deployment.node_edges[0], "--key", ADMIN_KEY, *arguments]
    result = CliRunner().invoke(main, command)
    assert result.exit_code == exit_code, result.output
    return result.output


def complete(deployment, request_id):
    client = CompletionClient(deployment.agent_edges[0], KEY)
    return client.stream(CompletionCall(request_id, MODEL, "is it ripe?"))


def test_the_status_shows_all_nodes_the_agent_and_the_watchers(deployment):
    def status():
        return json.loads(admin(deployment, "status", "--json"))

    wait_until(lambda: len(status()["watchers"]) == 2, "two watchers", 20)
    wait_until(lambda: len(status()["agents"]) == 1, "the agent's revision", 20)
    newest = status()["newest_revision"]
    # An agent tells its revision with its next question.
    wait_until(lambda: status()["slowest_revision"] == newest, "the agent's next question", 20)
    found = status()
    assert {entry["name"] for entry in found["nodes"]} == set(deployment.node_peers)
    assert found["newest_revision"] == newest > 0
    assert found["silent_nodes"] == []
    assert "watcher:" in admin(deployment, "status")


def test_a_change_is_validated_and_lists_are_printed_by_the_command(deployment, tmp_path):
    file = tmp_path / "tenant.json"
    file.write_text('{"weight": 2}')
    assert "would create it; nothing was changed" in admin(
        deployment, "validate", "tenants", "sellers", str(file)
    )
    conflict = admin(deployment, "validate", "tenants", "growers", str(file), exit_code=3)
    assert "present version:" in conflict
    names = [json.loads(line)["name"] for line in admin(deployment, "list", "tenants").splitlines()]
    assert names == ["growers"]
    command = ["admin", "--node", deployment.agent_edges[0], "--key", ADMIN_KEY, "list", "tenants"]
    result = CliRunner().invoke(main, command)
    assert result.exit_code == 1
    assert "agents have no administration API" in result.output


def test_a_drained_runner_gets_no_new_work_until_the_drain_ends(deployment):
    admin(deployment, "drain", "engine-0", "--reason", "new cable")
    wait_until(lambda: complete(deployment, "drained").status >= 400, "the drain", 10)
    assert "draining: runner engine-0" in admin(deployment, "status")
    assert "present version" in admin(deployment, "drain", "engine-0", exit_code=3)
    admin(deployment, "drain", "engine-0", "--stop")
    wait_until(lambda: complete(deployment, "again").whole, "work after the drain", 10)


def test_a_drained_node_leaves(deployment):
    def nodes():
        return {
            entry["name"] for entry in json.loads(admin(deployment, "status", "--json"))["nodes"]
        }

    admin(deployment, "drain", "node-1", "--role", "node")
    wait_until(lambda: nodes() == {deployment.node_peers[0]}, "the node's leaving", 20)
    assert "draining: node node-1" in admin(deployment, "status")
    admin(deployment, "drain", "node-1", "--stop")


def test_a_new_key_works_and_a_retired_one_does_not(deployment):
    token = admin(deployment, "new-key", "second", "--tenant", "growers").strip()
    client = CompletionClient(deployment.agent_edges[0], token)

    def status():
        return client.stream(CompletionCall("key", MODEL, "is it ripe?")).status

    wait_until(lambda: status() == 200, "the new key", 10)
    admin(deployment, "retire-key", "second")
    wait_until(lambda: status() == 401, "the key's end", 10)


def test_all_nodes_restart_with_the_store_down_and_serve_from_the_agents_copy(deployment):
    deployment.kill("objects")
    for index in range(len(deployment.node_peers)):
        deployment.kill(f"node-{index}")
    for index in range(len(deployment.node_peers)):
        deployment.start_node(index, "zone-a")
    deployment.wait_ready(1)
    wait_until(lambda: complete(deployment, "restarted").whole, "a whole stream", 20)
    refusal = admin(deployment, "list", "tenants", exit_code=1)
    assert "store_unavailable" in refusal
