"""The demo: a whole deployment on loopback, a mixed load with long shared prompts, a table.

Exits with 0 only if every stream was whole.  SIGINT (Ctrl-C), SIGTERM and SIGHUP end the demo
and everything it has started.
"""

import concurrent.futures
import random
import signal
import statistics
import sys
from typing import NoReturn

from deployment import STOP_SIGNALS, Deployment

from martenrun.load.client import CompletionCall, CompletionClient, StreamRecord

SEED = 7
REQUESTS = 200
CALLERS = 12
PREFIX_BYTES = 40_000
TENANTS = {"growers": "growers-key", "stallholders": "stallholders-key"}
MODEL = "vine-reader"
WEIGHTS_VERSION = "v1"
STOPPED_STATUS = 130
"""Exit status after a signal, as of a command that Ctrl-C ends."""


def publish(deployment: Deployment) -> None:
    """Publish two tenants, a pool, a policy and a route."""
    for tenant, key in TENANTS.items():
        deployment.apply_tenant(tenant, key)
    deployment.apply("policies", "equal", {"expression": "weight"})
    deployment.apply(
        "pools", "readers", {"model": MODEL, "weights_version": WEIGHTS_VERSION, "policy": "equal"}
    )
    revision = deployment.apply("routes", "readers", {"model": MODEL, "pool": "readers"})
    deployment.wait_ready(revision)


def make_calls(seed: int) -> list[tuple[str, CompletionCall]]:
    """Return (tenant, call) pairs whose prompts share a few long prefixes."""
    rng = random.Random(seed)
    prefixes = ["".join(rng.choices("abcdefgh ", k=PREFIX_BYTES)) for _ in range(6)]
    calls = []
    for index in range(REQUESTS):
        tenant = rng.choice(list(TENANTS))
        prompt = rng.choice(prefixes) + f" question {index}"
        calls.append((tenant, CompletionCall(f"demo-{index}", MODEL, prompt)))
    return calls


def run_load(deployment: Deployment) -> list[StreamRecord]:
    """Send the calls through both agents and return what the callers saw."""
    clients = {
        (tenant, edge): CompletionClient(edge, key)
        for tenant, key in TENANTS.items()
        for edge in deployment.agent_edges
    }
    callers = concurrent.futures.ThreadPoolExecutor(CALLERS)
    try:
        futures = []
        for index, (tenant, call) in enumerate(make_calls(SEED)):
            edge = deployment.agent_edges[index % len(deployment.agent_edges)]
            futures.append(callers.submit(clients[(tenant, edge)].stream, call))
        return [future.result() for future in futures]
    finally:
        # After a signal, the requests that have not begun are given up.
        callers.shutdown(wait=False, cancel_futures=True)


def print_table(records: list[StreamRecord]) -> None:
    """Print the result of the load."""
    whole = [record for record in records if record.whole]
    first = sorted(record.first_token_s for record in whole)
    prompt_tokens = sum(record.prompt_tokens for record in whole)
    cached_tokens = sum(record.cached_tokens for record in whole)
    rows = [
        ("requests", f"{len(records)}"),
        ("whole streams", f"{len(whole)}"),
        ("refused or broken", f"{len(records) - len(whole)}"),
        ("prefix hit rate", f"{cached_tokens / max(1, prompt_tokens):.1%}"),
        ("first token p50", f"{statistics.median(first) * 1000:.0f} ms" if first else "-"),
        ("first token p95", f"{first[int(0.95 * len(first))] * 1000:.0f} ms" if first else "-"),
    ]
    for name, value in rows:
        print(f"{name:<20}{value:>12}")


def interrupt(_number: int, _frame: object) -> NoReturn:
    """End the demo on the first signal; further ones must not cut the ending short."""
    for number in STOP_SIGNALS:
        signal.signal(number, signal.SIG_IGN)
    raise KeyboardInterrupt


def run(deployment: Deployment) -> list[StreamRecord]:
    """Start everything, send the load and return what the callers saw."""
    deployment.start_platform()
    store = deployment.start_weight_store(f"{MODEL}/{WEIGHTS_VERSION}")
    for zone in ("zone-a", "zone-a", "zone-b"):
        deployment.start_engine(zone, "readers", MODEL, "--weight-store", store)
    deployment.start_nodes(["zone-a", "zone-a", "zone-b"], "--weight-store", store)
    deployment.start_agents(["zone-a", "zone-b"])
    publish(deployment)
    return run_load(deployment)


def main() -> int:
    """Run the demo."""
    for number in STOP_SIGNALS:
        signal.signal(number, interrupt)
    deployment = Deployment()
    try:
        records = run(deployment)
    except KeyboardInterrupt:
        print("stopped")
        return STOPPED_STATUS
    finally:
        deployment.stop()
    print_table(records)
    for record in records:
        if not record.whole:
            print(f"{record.request_id}: {record.status} {record.error}", file=sys.stderr)
    return 0 if all(record.whole for record in records) else 1


if __name__ == "__main__":
    sys.exit(main())
