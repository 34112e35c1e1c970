"""Responses without end are broken off early, and their requests are served elsewhere.

Guards against routers whose memory grows until the machine ends them (FAULT): header fields without
end took 240 MB, one header line 175 MB.
"""

import re
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest
from platform_deployment import PlatformDeployment

from .endless_runner import EndlessRunner

REQUESTS = 12
ROUNDS = 6
MAXIMUM_TAKEN = 10_000_000
"""Bytes that a router may read of a response before it closes the connection."""

MAXIMUM_GROWTH_KB = 60_000
STREAM_KINDS = ["event", "comments"]
BUFFERED_KINDS = [
    "header fields",
    "header line",
    "interim responses",
    "extra responses",
    "body until close",
    "body of announced length",
    "chunked body",
    "chunk extension",
    "trailer fields",
]


def peak_memory_kb(router):
    status = Path(f"/proc/{router.process.pid}/status").read_text()
    return int(re.search(r"VmHWM:\s+(\d+) kB", status)[1])


def call_all(deployment, path):
    """Send requests side by side and return their statuses."""

    def call(number):
        return deployment.ask(path, f"call-{number}").status

    with ThreadPoolExecutor(REQUESTS) as pool:
        return list(pool.map(call, range(REQUESTS)))


@pytest.mark.parametrize("kind", [*BUFFERED_KINDS, *STREAM_KINDS])
def test_a_response_without_end_is_broken_off_and_its_request_served_elsewhere(kind):
    service, model, path = (
        ("llm", "m", "/ask/x") if kind in STREAM_KINDS else ("ledger", None, "/slip/x")
    )
    runner = EndlessRunner(service, model, kind)
    statuses = []
    try:
        with PlatformDeployment(routers=1, model_runners=1, plain_runners=1) as deployment:
            router = deployment.routers[0]
            for _ in range(ROUNDS):
                # Arrivals fill the retry budget, whose slack is not granted after a start.
                call_all(deployment, path)
            before_kb = peak_memory_kb(router)
            deployment.store.put("servers", runner.instance, runner.entry())
            for _ in range(ROUNDS):
                statuses += call_all(deployment, path)
                deployment.wait(lambda: not runner.is_sending)
            growth_kb = peak_memory_kb(router) - before_kb
    finally:
        runner.close()
    assert runner.sent and max(runner.sent) < MAXIMUM_TAKEN
    assert growth_kb < MAXIMUM_GROWTH_KB
    # 502 is the response where the retry budget does not allow another attempt.
    assert set(statuses) <= {200, 502}
    assert statuses.count(200) > len(statuses) - len(runner.sent)
