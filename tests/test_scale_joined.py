"""Hollow nodes beside a real one over loopback: they join, follow changes and notice kills."""

import subprocess
import sys

import pytest
from deployment import CLUSTER_SECRET, Deployment, free_address, wait_until
from joined_hosts import Timeline, shares, start_hosts
from joined_watch import Guard, RealEdges
from scale_joined import spread
from urllib3.exceptions import HTTPError

from martenrun.bench.scale.host import HollowEngines, hollow_machine
from martenrun.bench.scale.platform import MODELS

RUNNERS = 2 * MODELS
"""A zone has a runner of each model: the second zone's belong to its only node, a hollow one.

With runners of the first zone only, which a hollow node shares with the real one, the hollow one
owned none for 1 in 270 draws of the ports.
"""


@pytest.fixture(scope="module")
def cluster():
    deployment, hosts = Deployment(), []
    try:
        deployment.start_platform()
        for machine in map(hollow_machine, range(RUNNERS)):
            deployment.register(machine.name, machine.address, machine.zone, machine.pool)
        deployment.start_nodes(["zone-0"])
        port = int(free_address().rpartition(":")[2])
        start_hosts(deployment, [2, 1], port, 1, hosts.append)
        yield deployment, hosts
    finally:
        if "node-0" in deployment.processes:
            # A planned stop would wait for other nodes, and nobody is left to learn of it.
            deployment.kill("node-0")
        deployment.stop()


def all_last(hosts, name, value):
    timelines = [timeline for host in hosts for timeline in getattr(host, name)]
    return all(timeline.values and timeline.values[-1] == value for timeline in timelines)


def test_hollow_and_real_nodes_join_follow_changes_and_notice_a_killed_host(cluster):
    deployment, hosts = cluster
    edges = RealEdges(deployment)
    stop_asking = edges.watch_members()
    try:
        (real,) = edges.members.values()
        wait_until(lambda: all_last(hosts, "members", 4), "hollow nodes' join", 30)
        wait_until(lambda: real.values[-1:] == [4], "the real node's view", 30)

        revision = deployment.apply("tenants", "growers", {"weight": 2.0})
        wait_until(lambda: all_last(hosts, "revisions", revision), "the change", 30)
        wait_until(lambda: hosts[0].reports[-1][1].owned_runners > 0, "owned runners", 30)
        report = hosts[0].reports[-1][1]
        assert report.stream_bytes > 0 and report.datagram_bytes > 0 and report.rss_bytes > 0

        deployment.kill(hosts[1].name)
        wait_until(lambda: all_last(hosts[:1], "members", 3), "the kill at hollow nodes", 60)
        wait_until(lambda: real.values[-1:] == [3], "the kill at the real node", 60)
        assert hosts[0].process.poll() is None
    finally:
        stop_asking()
        edges.stop()


def test_a_host_whose_starter_is_gone_ends_by_itself():
    port = free_address().rpartition(":")[2]
    options = ["--first-index", "200", "--nodes", "1", "--port", port]
    outside = [
        flag
        for name in ("seed-nodes", "object-api", "machine-list")
        for flag in (f"--{name}", free_address())
    ]
    command = [sys.executable, "-m", "martenrun.cli", "bench", "hollow-host", *options, *outside]
    host = subprocess.Popen(
        [*command, "--cluster-secret", CLUSTER_SECRET],
        stdout=subprocess.PIPE,
        stderr=subprocess.DEVNULL,
    )
    try:
        assert host.stdout.readline().startswith(b"{")
        host.stdout.close()
        assert host.wait(timeout=30) == 0
    finally:
        host.kill()
        host.wait()


@pytest.mark.parametrize("limits", [(-1, 1_000), (1e12, -1)])
def test_a_run_over_its_memory_or_time_is_interrupted(limits):
    guards = []
    with pytest.raises(KeyboardInterrupt):
        # The interrupt may come as soon as the guard's thread has started.
        guards.append(Guard(Deployment(), *limits))
        wait_until(lambda: False, "the interrupt", 30)
    for guard in guards:
        guard.stop()
        assert guard.reason


def test_hollow_runners_are_described_alike_for_a_seed_and_take_no_connections():
    address = hollow_machine(5).address
    assert HollowEngines(3).describe(address) == HollowEngines(3).describe(address)
    with pytest.raises(HTTPError):
        HollowEngines(3).pool(address)
    with pytest.raises(HTTPError):
        HollowEngines(3).describe("127.0.0.1:1")


def test_a_timeline_tells_when_a_value_held_and_forgets_what_had_ended():
    timeline = Timeline()
    for at, value in ((1.0, 7), (2.0, 7), (3.0, 13), (9.0, 7)):
        timeline.note(at, value)
    assert timeline.first_after(0.0, lambda value: value == 7) == 1.0
    assert timeline.first_after(2.5, lambda value: value == 7) == 2.5
    assert timeline.first_after(4.0, lambda value: value == 7) == 9.0
    assert timeline.first_after(4.0, lambda value: value == 8) is None


def test_what_never_happened_is_counted_and_not_mixed_into_the_times():
    result = spread([1.0, None, 3.0])
    assert (result.samples, result.never, result.max) == (3, 1, 3.0)


@pytest.mark.parametrize(("nodes", "hosts"), [(10, 2), (40, 4), (370, 8)])
def test_shares_are_whole_and_uneven(nodes, hosts):
    sizes = shares(nodes, hosts)
    assert sum(sizes) == nodes and len(sizes) == hosts and min(sizes) < max(sizes)
