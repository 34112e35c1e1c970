"""Measures what callers see when one node of three is killed under load, in real processes.

Usage: ``measure_node_kill.py [--runs N] [--owned N] [FILE]``; without a file the figures are only
printed.  With ``--owned`` the killed node owns so many of the three engines; else it is left to
the ports, and told.

Closed-loop callers keep three engines busy through two agents.  Three in ten requests are not
repeatable and carry an idempotency key; a keyed request without a whole stream is sent again
with its key, once.  One node is killed at half-time and started again later.
"""

import argparse
import json
import random
import statistics
import sys
import threading
import time
from collections import Counter
from dataclasses import asdict, dataclass, field, replace
from pathlib import Path

import urllib3
from deployment import Deployment, answers, ended_on_failure, free_address

from martenrun.identity.hashing import best_columns, name_hashes
from martenrun.load.client import CompletionCall, CompletionClient, StreamRecord

MODEL = "vine-reader"
TENANT = "growers"
KEY = "growers-key"
NODES = ENGINES = 3
AGENTS = 2
SLOTS = 8
CALLERS = 18
PREFIXES = 12
PREFIX_BYTES = 12_000
OUTPUT_TOKENS = 8
KEYED_SHARE = 0.3
KILLED = 1
WARM_UP_S = 6
BEFORE_S = 10
DOWN_S = 10
AFTER_RESTART_S = 8
DEADLINE_S = 10.0
AIM_FACTOR = 1.1
CALM_WINDOWS = 3
RESTART_TIMEOUT_S = 20.0
CODE_LENGTH = 160


@dataclass(frozen=True)
class Call:
    """One finished call; ``started_s`` counts from the load's start."""

    identity: str
    is_keyed: bool
    started_s: float
    record: StreamRecord


@dataclass
class Log:
    """All finished calls."""

    calls: list[Call] = field(default_factory=list)
    lock: threading.Lock = field(default_factory=threading.Lock)

    def add(self, call: Call) -> None:
        """Add a call."""
        with self.lock:
            self.calls.append(call)


@dataclass(frozen=True)
class Result:
    """Figures of one run; times in seconds, windows of one second from the load's start.

    Attributes:
        owned_by_killed: engines whose owner the killed node was.
        lost: streams that were not whole, by what the caller saw.
        lost_after_repeat: keyed requests still without an answer after their one repetition.
        doubled_keyed: keyed requests that engines executed more than once.
        doubled_repeatable: the same of repeatable ones, where it is allowed.
        executed_without_answer: executions of calls that saw no answer begin, or the restarted
            node's own first answer.
        back_after_s: whole seconds after the kill from which p95 stays for three windows
            within 10% of the median before it; None if it never does.
        calm_windows_over_aim: part of the windows before the kill that are themselves over it.
    """

    owned_by_killed: int
    calls: int
    whole: int
    lost: dict[str, int]
    lost_after_repeat: int
    doubled_keyed: int
    doubled_repeatable: int
    executed_without_answer: int
    median_p95_before_s: float
    calm_windows_over_aim: float
    worst_p95_after_s: float
    back_after_s: int | None
    calls_slower_than_1s_after: int
    restart_healthy_s: float
    restart_ready_s: float
    restart_first_answer_s: float
    p95_by_second_s: list[float]
    kill_at_s: int = WARM_UP_S + BEFORE_S
    restart_at_s: int = WARM_UP_S + BEFORE_S + DOWN_S


def owned_by_killed(peers: list[str]) -> int:
    """Return how many engines the node that is killed owns, by rendezvous hashing."""
    members = sorted(peers)
    engines = name_hashes([f"engine-{index}" for index in range(ENGINES)])
    owners = best_columns(engines, name_hashes(members)).tolist()
    return sum(members[owner] == peers[KILLED] for owner in owners)


def drawn_peers(owned: int | None) -> list[str]:
    """Return nodes' addresses by which the killed one owns so many engines, if that is said."""
    while True:
        peers = [free_address() for _ in range(NODES)]
        if owned is None or owned_by_killed(peers) == owned:
            return peers


def start(owned: int | None) -> Deployment:
    """Start the deployment and publish a tenant, a pool and a route."""
    deployment = Deployment()
    with ended_on_failure(deployment):
        deployment.start_platform()
        flags = ["--slots", str(SLOTS), "--decode-s-per-token", "0.02"]
        flags += ["--prefill-s-per-block", "0.01", "--slowdown-per-stream", "0"]
        for _ in range(ENGINES):
            deployment.start_engine("zone-a", "readers", MODEL, *flags)
        deployment.start_nodes(["zone-a"] * NODES, peers=drawn_peers(owned))
        deployment.start_agents(["zone-a"] * AGENTS)
        deployment.apply_tenant(TENANT, KEY)
        deployment.serve_pool("readers", MODEL)
    return deployment


def keep_calling(index: int, edge: str, log: Log, begin: float, stop: threading.Event) -> None:
    """Keep one request in progress until stopped."""
    rng = random.Random(index)
    client = CompletionClient(edge, KEY)
    count = 0
    while not stop.is_set():
        count += 1
        is_keyed = rng.random() < KEYED_SHARE
        identity = f"caller-{index}.{count}"
        prompt = f"prefix {rng.randrange(PREFIXES)} ".ljust(PREFIX_BYTES, "v") + identity
        call = CompletionCall(identity, MODEL, prompt, OUTPUT_TOKENS, deadline_s=DEADLINE_S)
        if is_keyed:
            call = replace(call, repeatable=False, idempotency_key=identity)
        record = send(client, call, log, begin)
        if is_keyed and not record.whole:
            send(client, replace(call, request_id=f"{identity}.again"), log, begin)


def send(client: CompletionClient, call: CompletionCall, log: Log, begin: float) -> StreamRecord:
    """Send one call and log it."""
    started_s = time.monotonic() - begin
    record = client.stream(call)
    log.add(Call(call.request_id, bool(call.idempotency_key), started_s, record))
    return record


def restart(deployment: Deployment) -> tuple[float, float, float]:
    """Start the killed node; return the seconds to health, readiness and its first answer."""
    began = time.monotonic()
    edge = deployment.node_edges[KILLED]
    deployment.start_node(KILLED, "zone-a")

    def wait(condition: str) -> float:
        while time.monotonic() < began + RESTART_TIMEOUT_S:
            if answers(edge, condition):
                return time.monotonic() - began
            time.sleep(0.01)
        return RESTART_TIMEOUT_S

    healthy_s, ready_s = wait("/healthz"), wait("/readyz")
    client = CompletionClient(edge, KEY)
    count = 0
    while time.monotonic() < began + RESTART_TIMEOUT_S:
        count += 1
        if client.stream(CompletionCall(f"restarted.{count}", MODEL, "hello", 1)).whole:
            return healthy_s, ready_s, time.monotonic() - began
        time.sleep(0.01)
    return healthy_s, ready_s, RESTART_TIMEOUT_S


def executions(deployment: Deployment) -> Counter[str]:
    """Return how often engines have executed each request, by its identity in the system."""
    counts: Counter[str] = Counter()
    for engine in deployment.engines:
        url = f"http://{engine}/v1/executed"
        counts.update(urllib3.request("GET", url, timeout=5.0).json())
    return counts


def run(owned: int | None) -> Result:
    """Run once."""
    deployment = start(owned)
    log, stop = Log(), threading.Event()
    callers: list[threading.Thread] = []
    try:
        begin = time.monotonic()
        for index in range(CALLERS):
            edge = deployment.agent_edges[index % AGENTS]
            caller = threading.Thread(target=keep_calling, args=(index, edge, log, begin, stop))
            callers.append(caller)
            caller.start()
        time.sleep(WARM_UP_S + BEFORE_S)
        deployment.kill(f"node-{KILLED}")
        time.sleep(max(0.0, begin + Result.restart_at_s - time.monotonic()))
        times = restart(deployment)
        time.sleep(max(0.0, begin + Result.restart_at_s + AFTER_RESTART_S - time.monotonic()))
        stop.set()
        for caller in callers:
            caller.join(2 * DEADLINE_S)
        owned = owned_by_killed(deployment.node_peers)
        return judged(log.calls, executions(deployment), times, owned)
    finally:
        stop.set()
        deployment.stop()


def judged(
    calls: list[Call],
    executed: Counter[str],
    restart_s: tuple[float, float, float],
    owned: int,
) -> Result:
    """Return the figures of a run."""
    keyed, repeatable = Counter[str](), Counter[str]()
    known = {call.record.routed_id: call for call in calls}
    for routed_id, count in executed.items():
        if routed_id in known:
            call = known[routed_id]
            identity = call.identity.removesuffix(".again")
            (keyed if call.is_keyed else repeatable)[identity] += count
    p95 = p95_by_second(calls)
    kill_at = Result.kill_at_s
    before, after = p95[WARM_UP_S:kill_at], p95[kill_at:]
    median = statistics.median(before)
    lost = [call for call in calls if not call.record.whole]
    return Result(
        owned_by_killed=owned,
        calls=len(calls),
        whole=len(calls) - len(lost),
        lost=dict(Counter(seen(call.record) for call in lost)),
        lost_after_repeat=sum(call.identity.endswith(".again") for call in lost),
        doubled_keyed=sum(count > 1 for count in keyed.values()),
        doubled_repeatable=sum(count > 1 for count in repeatable.values()),
        executed_without_answer=len(executed.keys() - known.keys()),
        median_p95_before_s=round(median, 4),
        calm_windows_over_aim=sum(value > AIM_FACTOR * median for value in before) / len(before),
        worst_p95_after_s=round(max(after), 4),
        back_after_s=back_after(after, AIM_FACTOR * median),
        calls_slower_than_1s_after=sum(
            call.record.first_token_s > 1.0 and call.started_s > kill_at - 1 for call in calls
        ),
        restart_healthy_s=round(restart_s[0], 2),
        restart_ready_s=round(restart_s[1], 2),
        restart_first_answer_s=round(restart_s[2], 2),
        p95_by_second_s=[round(value, 4) for value in p95],
    )


def p95_by_second(calls: list[Call]) -> list[float]:
    """Return the 95th percentile of the time to first token by the second of the start."""
    windows: dict[int, list[float]] = {}
    for call in calls:
        if call.record.first_token_s:
            windows.setdefault(int(call.started_s), []).append(call.record.first_token_s)
    seconds = range(Result.restart_at_s + AFTER_RESTART_S)
    return [percentile_95(windows.get(second, [])) for second in seconds]


def percentile_95(values: list[float]) -> float:
    """Return the 95th percentile; infinity if nothing was answered."""
    return sorted(values)[int(0.95 * len(values))] if values else float("inf")


def back_after(after: list[float], aim_s: float) -> int | None:
    """Return the first second from which enough windows in a row meet the aim."""
    for second in range(len(after) - CALM_WINDOWS + 1):
        if max(after[second : second + CALM_WINDOWS]) <= aim_s:
            return second
    return None


def seen(record: StreamRecord) -> str:
    """Return what a caller saw of a failed call."""
    place = "within the stream" if record.status == 200 else f"status {record.status}"
    return f"{place}: {record.error[:CODE_LENGTH]}"


def main() -> int:
    """Run and print or write the figures."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("file", nargs="?")
    parser.add_argument("--runs", type=int, default=1)
    parser.add_argument("--owned", type=int, choices=range(ENGINES + 1))
    options = parser.parse_args()
    lines = []
    for _ in range(options.runs):
        lines.append(json.dumps(asdict(run(options.owned))))
        print(lines[-1], flush=True)
    if options.file:
        Path(options.file).write_text("[\n" + ",\n".join(lines) + "\n]\n")
    return 0


if __name__ == "__main__":
    sys.exit(main())
