"""The demo of routers on the users' platform: real processes on loopback, stand-ins around them.

Exits with 0 only if every request was served whole and what must not repeat ran once.
"""

import collections
import random
import sys
from concurrent.futures import ThreadPoolExecutor

import attrs
import urllib3
from platform_deployment import MODEL, PlatformDeployment

REQUESTS = 200
CALLERS = 8
SEED = 7
PATHS = {"ask": "/ask/demo", "once": "/once/demo", "pay": "/pay/demo", "slip": "/slip/demo"}


@attrs.frozen
class Outcome:
    """How one request ended: its kind, whether it was whole, how often it ran."""

    kind: str
    is_whole: bool
    runs: int


def ask(deployment: PlatformDeployment, number: int) -> Outcome:
    """Send one request through some router."""
    rng = random.Random(SEED * 100_000 + number)
    kind = rng.choice(list(PATHS))
    request_id = f"demo-{number}"
    router = rng.choice(deployment.routers)
    try:
        answer = deployment.ask(PATHS[kind], request_id, router)
        is_whole = answer.status == 200
    except urllib3.exceptions.HTTPError:
        is_whole = False
    return Outcome(kind, is_whole, len(deployment.runs_of(request_id)))


def main() -> int:
    """Run the demo and print its table."""
    with PlatformDeployment(routers=3) as deployment, ThreadPoolExecutor(CALLERS) as callers:
        first = list(callers.map(lambda n: ask(deployment, n), range(REQUESTS // 2)))
        deployment.store.put("versions", MODEL, {"model": MODEL, "version": 2})
        runners = [runner for runner in deployment.runners if runner.model]
        deployment.wait(lambda: all(runner.weights_version == 2 for runner in runners))
        rest = list(callers.map(lambda n: ask(deployment, n), range(REQUESTS // 2, REQUESTS)))
    outcomes = first + rest
    whole = collections.Counter(item.kind for item in outcomes if item.is_whole)
    print("routers on the users' platform: 3 processes, 4 runners, new weights halfway")
    print(f"{'kind':<6}{'asked':>7}{'whole':>7}{'runs':>7}")
    for kind in PATHS:
        asked = [item for item in outcomes if item.kind == kind]
        print(f"{kind:<6}{len(asked):>7}{whole[kind]:>7}{sum(item.runs for item in asked):>7}")
    is_once = all(item.runs == 1 for item in outcomes if item.kind in ("pay", "once"))
    return 0 if sum(whole.values()) == REQUESTS and is_once else 1


if __name__ == "__main__":
    sys.exit(main())
