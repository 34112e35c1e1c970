"""Tests that a greedy tenant gets its rate over all routers and that other tenants lose nothing.

Each router sees few of a tenant's requests, while all routers together see four times its limit.
Real routers run with stand-in runners; arrivals are counted at the runners, over all routers and
over a restart of all of them.
"""

import itertools
import random
import threading
import time
from concurrent.futures import ThreadPoolExecutor

import pytest
import urllib3
from click.testing import CliRunner
from platform_deployment import PlatformDeployment

from martenrun.cli.main import main

TOKENS = 1_020
"""Units of one request of these callers, including the longest response."""

RATE = 10 * TOKENS
WINDOW_S = 8.0
ALLOWED = (RATE * WINDOW_S + RATE) * 1.1 + 4_000
ROUTERS = 6


def tenant(name):
    limit = {"rate_per_s": RATE, "burst": RATE, "unit": "token_count", "plain_tokens": 200}
    return {"name": name, "api_keys": [f"key-{name}"], **limit}


class Tenants:
    """Callers of several tenants, each with a fixed request rate, at random routers."""

    def __init__(self, deployment, rates_per_s):
        self._deployment = deployment
        self._rng = random.Random(7)
        self._numbers = itertools.count()
        self._stopped = threading.Event()
        self.responses = {name: [] for name in rates_per_s}
        self._pool = ThreadPoolExecutor(32)
        self._threads = [
            threading.Thread(target=self._call_repeatedly, args=item, daemon=True)
            for item in rates_per_s.items()
        ]
        for thread in self._threads:
            thread.start()

    def _call_repeatedly(self, name, per_s):
        while not self._stopped.wait(1.0 / per_s):
            self._pool.submit(self._call, name, next(self._numbers))

    def _call(self, name, number):
        router = self._rng.choice(self._deployment.routers)
        sent_at = time.monotonic()
        try:
            response = self._deployment.ask("/once/x", f"{name}-{number}", router, f"key-{name}")
            duration_s = time.monotonic() - sent_at
            retry_after = response.headers.get("Retry-After")
            self.responses[name].append((response.status, duration_s, retry_after, number))
        except (urllib3.exceptions.HTTPError, OSError):
            self.responses[name].append((0, time.monotonic() - sent_at, None, number))

    def stop(self):
        self._stopped.set()
        for thread in self._threads:
            thread.join()
        self._pool.shutdown()

    def statuses(self, name):
        return [status for status, *_ in self.responses[name]]

    def statuses_by_request(self, name):
        return [(f"{name}-{number}", status) for status, _, _, number in self.responses[name]]


def most_in_window(deployment, name):
    """Return the most tokens of a tenant whose runs began within one window."""
    runs = [run for runner in deployment.runners for run in runner.runs]
    times = sorted(run.at for run in runs if run.request_id.startswith(f"{name}-"))
    return TOKENS * max(sum(at <= t <= at + WINDOW_S for t in times) for at in times)


def log_lines(deployment, request_ids):
    """Return the routers' log lines about some requests."""
    lines = [line for r in deployment.routers for line in r.log.read_text().splitlines()]
    return [line for line in lines if any(f'"{name}"' in line for name in request_ids)]


@pytest.fixture(scope="module")
def deployment():
    with PlatformDeployment(routers=ROUTERS, model_runners=4) as running:
        running.more_tenants = [tenant("greedy"), tenant("modest"), tenant("restarted")]
        running.publish(2)
        running.wait(lambda: is_known(running, "restarted"))
        yield running


def is_known(deployment, name):
    """Whether all routers know a tenant's key."""
    return all(
        deployment.ask("/once/x", f"first-{name}-{n}", router, f"key-{name}").status != 401
        for n, router in enumerate(deployment.routers)
    )


def test_greedy_tenant_gets_its_rate_and_modest_tenant_is_not_refused(deployment):
    callers = Tenants(deployment, {"greedy": 40, "modest": 6})
    deployment.wait(lambda: len(callers.responses["greedy"]) >= 40 * 10)
    callers.stop()
    assert most_in_window(deployment, "greedy") <= ALLOWED
    assert most_in_window(deployment, "greedy") >= 0.9 * RATE * WINDOW_S
    refused = [number for number, status in callers.statuses_by_request("modest") if status != 200]
    assert refused == [], log_lines(deployment, refused)
    assert set(callers.statuses("greedy")) == {200, 429}
    refused = [response for response in callers.responses["greedy"] if response[0] == 429]
    assert all(0 < float(retry_after) <= WINDOW_S for _, _, retry_after, _ in refused)
    assert sorted(duration_s for _, duration_s, *_ in refused)[len(refused) // 2] < 0.1


def test_operators_see_accounts_and_reasons_of_refusals(deployment):
    callers = Tenants(deployment, {"greedy": 40})
    deployment.wait(lambda: 429 in callers.statuses("greedy"))
    callers.stop()
    addresses = [r.url("internal", "").removeprefix("http://") for r in deployment.routers]
    listed = CliRunner().invoke(main, ["quotas", *addresses, "--tenant", "greedy"]).output
    assert len(listed.splitlines()) >= 2 and f"{RATE} a second" in listed
    logs = [str(router.log) for router in deployment.routers]

    def refused():
        lines = [
            line for router in deployment.routers for line in router.log.read_text().split("\n")
        ]
        return next((line for line in lines if "over_limit" in line), None)

    deployment.wait(refused)
    number = refused().split('"request":"')[1].split('"')[0]
    explained = CliRunner().invoke(main, ["explain", number, *logs]).output
    assert "quota_asked" in explained and "is_granted=False" in explained
    none = CliRunner().invoke(main, ["quotas", "127.0.0.1:1"])
    assert none.exit_code == 1 and "internal ports" in none.output


def test_restart_of_all_routers_loses_no_grants(deployment):
    callers = Tenants(deployment, {"restarted": 40})
    deployment.wait(lambda: len(callers.responses["restarted"]) >= 40 * 6)
    for router in deployment.routers:
        router.process.kill()
        router.process.wait()
        deployment.start(router)
    deployment.wait(lambda: all(deployment.is_ready(r) for r in deployment.routers))
    count = len(callers.responses["restarted"])
    deployment.wait(lambda: len(callers.responses["restarted"]) >= count + 40 * 5)
    callers.stop()
    assert most_in_window(deployment, "restarted") <= ALLOWED
