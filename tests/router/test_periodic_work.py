"""Real routers: what raises in one round of periodic work does not end it."""

import re
import socket
import sys
import time
from pathlib import Path

import msgspec
import pytest

from martenrun.router.peer_messages import Gossip, encode

from .gossip_world import router_record
from .test_odd_datagrams import ODD_DATAGRAMS

sys.path.insert(0, str(Path(__file__).resolve().parents[2] / "scripts"))
from platform_deployment import PlatformDeployment

ROUTERS = 4
RAISING_ROUTER = Path(__file__).with_name("raising_router.py")
TOO_LARGE = 2**64


def figure(deployment, router, name):
    """Return a value of a router's metrics; 0 if it has none of that name."""
    text = deployment.http.request("GET", router.url("internal", "/metrics")).data.decode()
    return sum(
        float(value) for value in re.findall(rf"^martenrun_{name}(?:{{.*}})? (.*)$", text, re.M)
    )


def log_lines(router, event):
    """Return the log lines of an event."""
    lines = [line for line in router.log.read_bytes().splitlines() if line.startswith(b"{")]
    return [item for item in map(msgspec.json.decode, lines) if item["event"] == event]


def send_to_all(deployment, *datagrams):
    """Send datagrams to the port at which each router exchanges gossip."""
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sock:
        for router in deployment.routers:
            for data in datagrams:
                sock.sendto(data, (router.ip, router.ports["internal"]))


def assert_periodic_work_goes_on(deployment):
    """Assert that gossip, directory, maintenance and reading go on at every router.

    Gossip that has ended shows after the time in which routers count as dead.
    """
    wait = deployment.wait
    ends_at = time.monotonic() + 6.0
    wait(lambda: time.monotonic() > ends_at)
    for router in deployment.routers:
        assert figure(deployment, router, "routers_alive") == ROUTERS
        assert figure(deployment, router, "oldest_router_alive_seconds") < 2.0
        assert len(deployment.addresses(router)) == ROUTERS
    reloads = [len(log_lines(router, "settings_read")) for router in deployment.routers]
    for router in deployment.routers:
        router.settings.write_text(router.settings.read_text() + "\n# changed\n")
    for router, before in zip(deployment.routers, reloads, strict=True):
        wait(lambda router=router, before=before: len(log_lines(router, "settings_read")) > before)
    deployment.publish(2)
    for router in deployment.routers:
        wait(lambda router=router: figure(deployment, router, "configuration_version") == 2)
        assert deployment.ask("/pay/1", f"after-{router.name}", router).status == 200


UNUSABLE = [
    encode(Gossip([router_record(address, heartbeat=9)])) for address in ("a:b", "127.0.0.1:99999")
]
"""Gossip of routers that can be sent nothing."""


# Guards against gossip of all routers that ends for good after one odd datagram.
@pytest.mark.parametrize(
    "datagrams", [UNUSABLE, list(ODD_DATAGRAMS.values())], ids=["address", "all"]
)
def test_periodic_work_goes_on_after_odd_datagrams(datagrams):
    with PlatformDeployment(ROUTERS, 1, 2) as deployment:
        deployment.wait(lambda: len(deployment.addresses()) == ROUTERS)
        send_to_all(deployment, *datagrams, *datagrams)
        assert_periodic_work_goes_on(deployment)


# Guards against gossip of all routers that ends for good after one odd entry of another writer.
def test_periodic_work_goes_on_after_an_odd_version_of_weights():
    with PlatformDeployment(ROUTERS, 1, 2) as deployment:
        deployment.wait(lambda: len(deployment.addresses()) == ROUTERS)
        deployment.store.put("versions", "other", {"model": "other", "version": TOO_LARGE})
        assert_periodic_work_goes_on(deployment)


# Guards against maintenance that skips its later parts whenever an earlier one raises.
def test_parts_of_maintenance_run_beside_one_that_raises_in_each_round():
    with PlatformDeployment(ROUTERS, 1, 2, program=RAISING_ROUTER) as deployment:
        deployment.wait(lambda: len(deployment.addresses()) == ROUTERS)
        assert_periodic_work_goes_on(deployment)
        for router in deployment.routers:
            assert figure(deployment, router, "task_failures_total") > 10
            assert {item["task"] for item in log_lines(router, "loop_call")} >= {"partitions"}
