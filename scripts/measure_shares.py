"""Measures tenants' shares under lasting overload in real processes.

Usage: ``measure_shares.py [--runs N] [FILE]``; without a file the figures are only printed.

Two tenants of weights 1 and 3 keep the same number of callers busy.  Both ask for requests of
the same size, so tokens served are in the ratio of requests served, and 3 to 1 is due.
"""

import argparse
import json
import sys
import threading
import time
from collections import Counter
from dataclasses import asdict, dataclass, field
from pathlib import Path

import urllib3
from deployment import Deployment, ended_on_failure

from martenrun.load.client import CompletionCall, CompletionClient

MODEL = "vine-reader"
WEIGHTS = {"light": 1.0, "heavy": 3.0}
SLOTS = 4
OUTPUT_TOKENS = 16
DECODE_S_PER_TOKEN = 0.02
WARM_UP_S = 15.0
WINDOW_S = 15.0
DEADLINE_S = 30.0
PART_S = 5.0
REFUSED_PAUSE_S = 0.2
JOIN_TIMEOUT_S = 40.0


@dataclass(frozen=True)
class Case:
    """One set-up; ``prefixes`` is the number of different prompts of each tenant."""

    name: str
    nodes: int = 2
    engines: int = 2
    prompt_bytes: int = 200
    prefixes: int = 1
    callers: int = 20


CASES = (
    Case("one node, one engine", nodes=1, engines=1),
    Case("one node, two engines", nodes=1),
    Case("two nodes, short prompts"),
    Case("two nodes, 20 short prompts", prefixes=20),
    Case("two nodes, long shared prompts", prompt_bytes=16_000),
    Case("two nodes, 20 long prompts", prompt_bytes=16_000, prefixes=20),
    Case("two nodes, 60 callers", callers=60),
    Case("three nodes, four engines", nodes=3, engines=4, prefixes=4, callers=40),
)


@dataclass
class Tally:
    """What the callers of a run saw in the window."""

    served: Counter[str] = field(default_factory=Counter)
    not_served: Counter[str] = field(default_factory=Counter)
    tenants: dict[str, str] = field(default_factory=dict)
    served_by_part: Counter[tuple[int, str]] = field(default_factory=Counter)
    prompt_tokens: int = 0
    cached_tokens: int = 0
    lock: threading.Lock = field(default_factory=threading.Lock)


@dataclass(frozen=True)
class Result:
    """Figures of one run; ``ratio`` is served requests of the heavy over the light tenant.

    ``cached_share`` is the part of prompt tokens that engines had cached, ``ratio_by_part`` the
    ratio in each :data:`PART_S` from the load's start.
    """

    ratio: float
    served: dict[str, int]
    not_served: dict[str, int]
    served_by_engine: list[dict[str, int]]
    cached_share: float
    ratio_by_part: list[float]


def start(case: Case) -> Deployment:
    """Start a deployment with both tenants and one route."""
    deployment = Deployment()
    with ended_on_failure(deployment):
        deployment.start_platform()
        flags = [
            *("--slots", str(SLOTS), "--decode-s-per-token", str(DECODE_S_PER_TOKEN)),
            *("--prefill-s-per-block", "0.01", "--slowdown-per-stream", "0"),
        ]
        for _ in range(case.engines):
            deployment.start_engine("zone-a", "readers", MODEL, *flags)
        deployment.start_nodes(["zone-a"] * case.nodes)
        deployment.start_agents(["zone-a"])
        for tenant, weight in WEIGHTS.items():
            deployment.apply_tenant(tenant, f"{tenant}-key", weight)
        deployment.serve_pool("readers", MODEL)
    return deployment


def call(case: Case, edge: str, tenant: str, index: int, tally: Tally, begin: float) -> None:
    """Keep one caller's request in progress until the window's end."""
    client = CompletionClient(edge, f"{tenant}-key")
    prompt = f"{tenant} {index % case.prefixes} ".ljust(case.prompt_bytes, "v")
    end = begin + WINDOW_S
    count = 0
    while time.monotonic() < end:
        count += 1
        request = CompletionCall(
            f"{tenant}.{index}.{count}", MODEL, prompt, OUTPUT_TOKENS, deadline_s=DEADLINE_S
        )
        record = client.stream(request)
        with tally.lock:
            tally.tenants[record.routed_id] = tenant
            part = int((time.monotonic() - begin + WARM_UP_S) / PART_S)
            tally.served_by_part[part, tenant] += record.whole
            if begin <= time.monotonic() < end:
                (tally.served if record.whole else tally.not_served)[tenant] += 1
                tally.prompt_tokens += record.prompt_tokens
                tally.cached_tokens += record.cached_tokens
        if not record.whole:
            time.sleep(REFUSED_PAUSE_S)


def executed(deployment: Deployment) -> list[list[str]]:
    """Return the requests that each engine has run since its start."""
    return [
        urllib3.request("GET", f"http://{engine}/v1/executed", timeout=5.0).json()
        for engine in deployment.engines
    ]


def run(case: Case) -> Result:
    """Run one case."""
    deployment = start(case)
    try:
        tally = Tally()
        begin = time.monotonic() + WARM_UP_S
        edge = deployment.agent_edges[0]
        callers = [
            threading.Thread(target=call, args=(case, edge, tenant, index, tally, begin))
            for tenant in WEIGHTS
            for index in range(case.callers)
        ]
        for caller in callers:
            caller.start()
        time.sleep(max(0.0, begin - time.monotonic()))
        before = executed(deployment)
        time.sleep(WINDOW_S)
        after = executed(deployment)
        for caller in callers:
            caller.join(JOIN_TIMEOUT_S)
    finally:
        deployment.stop()
    ratio = tally.served["heavy"] / max(1, tally.served["light"])
    by_engine = [
        dict(Counter(tally.tenants.get(identity, "unknown") for identity in late[len(early) :]))
        for early, late in zip(before, after, strict=True)
    ]
    parts = [
        tally.served_by_part[part, "heavy"] / max(1, tally.served_by_part[part, "light"])
        for part in range(int((WARM_UP_S + WINDOW_S) / PART_S))
    ]
    cached = tally.cached_tokens / max(1, tally.prompt_tokens)
    return Result(
        round(ratio, 2),
        dict(tally.served),
        dict(tally.not_served),
        by_engine,
        round(cached, 3),
        [round(part, 2) for part in parts],
    )


def main() -> int:
    """Run every case and print or write the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("file", nargs="?")
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--case", type=int, action="append", help="Index of a case.")
    options = parser.parse_args()
    cases = [CASES[index] for index in options.case] if options.case else list(CASES)
    lines = []
    for case in cases:
        results = [asdict(run(case)) for _ in range(options.runs)]
        lines.append(json.dumps({"set_up": asdict(case), "due_ratio": 3.0, "runs": results}))
        print(lines[-1], flush=True)
    if options.file:
        Path(options.file).write_text("[\n" + ",\n".join(lines) + "\n]\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
