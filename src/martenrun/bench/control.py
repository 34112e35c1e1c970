"""What a decision costs real nodes: processor time by thread, and bytes on the wire.

Agents' real transports ask questions at a steady rate, many in progress at a time, and report
each attempt's end a while after its grant; nothing is sent to engines.  Idle cost is measured
first and taken off.

See also: scripts/bench.py, which starts the deployment.
"""

import collections
import functools
import random
import time
from dataclasses import dataclass, field, replace

import click
import msgspec

from martenrun.backends.engine import AttemptOutcome
from martenrun.bench.path import print_result
from martenrun.bench.process_cost import ProcessCost, quantile, read_cost
from martenrun.constants import BLOCK_HASH_BYTES, DEFAULT_BLOCK_BYTES
from martenrun.wire.keys import cluster_keys
from martenrun.wire.messages import AttemptReport, DecideRequest, Grant, Message, Queued
from martenrun.wire.transport import PeerTransport

AGENTS = 8
CHAIN_BLOCKS = 10
OWN_BLOCKS = 2
"""Blocks at the end of a chain that no other question has."""

PREFIXES = 60
HOLD_S = 0.1
"""Time from a grant to the report of the attempt's end, in seconds."""

SETTLE_S = 2.0
_DEADLINE_S = 10.0
_LONGEST_SLEEP_S = 0.002
_US_PER_S = 1e6
_MS_PER_S = 1e3


class ControlStep(msgspec.Struct):
    """One rate's figures; times and bytes are per request, the idle cost taken off.

    Attributes:
        rate: questions a node and second.
        cpu_us: processor time of all nodes.
        thread_cpu_us: the same by thread.
        asked_bytes: sent by agents.
        node_bytes: sent by nodes, to agents and to each other.
    """

    rate: float
    requests: int
    granted: int
    refused: int
    unanswered: int
    answer_ms_p50: float
    answer_ms_p99: float
    cpu_us: float
    thread_cpu_us: dict[str, float]
    asked_bytes: float
    node_bytes: float


class ControlResult(msgspec.Struct):
    """Figures of all rates; idle ones are of one node, in milliseconds and bytes a second."""

    nodes: int
    seconds: float
    idle_cpu_ms_per_s: float
    idle_thread_cpu_ms_per_s: dict[str, float]
    idle_bytes_per_s: float
    steps: list[ControlStep]


@dataclass
class _Answers:
    """What came back in one step; filled by the transports' threads."""

    asked_at: dict[str, float] = field(default_factory=dict)
    times_s: list[float] = field(default_factory=list)
    granted: int = 0
    refused: int = 0
    reports: collections.deque[tuple[float, PeerTransport, str, AttemptReport]] = field(
        default_factory=collections.deque
    )


class _Agents:
    """Agents' ends of the internal protocol, without callers and engines."""

    def __init__(self, secret: str, question: DecideRequest, seed: int) -> None:
        self._question = question
        self._rng = random.Random(seed)
        shared_bytes = BLOCK_HASH_BYTES * (CHAIN_BLOCKS - OWN_BLOCKS)
        self._prefixes = [self._rng.randbytes(shared_bytes) for _ in range(PREFIXES)]
        self._count = 0
        self.answers = _Answers()
        self._transports: list[PeerTransport] = []
        for index in range(AGENTS):
            name = f"agent/bench-{index}"
            receive = functools.partial(self._take, index)
            self._transports.append(PeerTransport(name, cluster_keys(secret), receive))

    def start(self) -> None:
        for transport in self._transports:
            transport.start()

    def stop(self) -> None:
        for transport in self._transports:
            transport.stop()

    @property
    def sent_bytes(self) -> int:
        return sum(transport.sent_stream_bytes for transport in self._transports)

    def run(self, nodes: list[str], rate: float, seconds: float) -> int:
        """Ask at a steady rate; returns the number of questions."""
        started = time.monotonic()
        asked = 0
        while (now := time.monotonic()) < started + seconds:
            while asked < (now - started) * rate:
                self._ask(nodes)
                asked += 1
            self._report(now)
            time.sleep(min(_LONGEST_SLEEP_S, 1.0 / rate))
        time.sleep(2 * HOLD_S)
        self._report(time.monotonic() + HOLD_S)
        return asked

    def _ask(self, nodes: list[str]) -> None:
        self._count += 1
        prefix = self._rng.randrange(PREFIXES)
        request_id = f"{self._count:016x}"
        asked = replace(
            self._question,
            request_id=request_id,
            chain=self._prefixes[prefix] + self._rng.randbytes(BLOCK_HASH_BYTES * OWN_BLOCKS),
            prompt_bytes=CHAIN_BLOCKS * DEFAULT_BLOCK_BYTES,
        )
        self.answers.asked_at[request_id] = time.monotonic()
        self._transports[self._count % AGENTS].send(nodes[prefix % len(nodes)], asked)

    def _take(self, index: int, peer: str, message: Message) -> None:
        answers, now = self.answers, time.monotonic()
        if isinstance(message, Queued) or not hasattr(message, "request_id"):
            return
        asked_at = answers.asked_at.pop(message.request_id, None)
        if asked_at is None:
            return
        answers.times_s.append(now - asked_at)
        if not isinstance(message, Grant):
            answers.refused += 1
            return
        answers.granted += 1
        report = AttemptReport(
            message.request_id,
            message.attempt,
            message.runner,
            AttemptOutcome.COMPLETE.value,
            CHAIN_BLOCKS * DEFAULT_BLOCK_BYTES // 4,
            message.believed_blocks * DEFAULT_BLOCK_BYTES // 4,
            16,
            0.02,
        )
        answers.reports.append((now + HOLD_S, self._transports[index], peer, report))

    def _report(self, now: float) -> None:
        reports = self.answers.reports
        while reports and reports[0][0] <= now:
            _due_at, transport, peer, report = reports.popleft()
            transport.send(peer, report)


def measure(
    agents: _Agents, nodes: list[tuple[str, str]], rates: list[float], seconds: float
) -> ControlResult:
    """Measure idle nodes, then each rate.

    Args:
        agents: the asking side; it is started.
        nodes: peer address and HTTP edge of each node.
        rates: questions a node and second.
        seconds: time measured at each rate.
    """
    peers, edges = [peer for peer, _edge in nodes], [edge for _peer, edge in nodes]
    agents.run(peers, 20.0, SETTLE_S)
    time.sleep(SETTLE_S)
    idle = _Meter(edges)
    time.sleep(seconds)
    idle_cost = idle.spent()
    steps = [_step(agents, peers, edges, rate, seconds, idle_cost) for rate in rates]
    per_node_s = len(nodes) * seconds
    return ControlResult(
        len(nodes),
        seconds,
        round(idle_cost.cpu_s / per_node_s * _MS_PER_S, 2),
        _scaled(idle_cost.thread_cpu_s, _MS_PER_S / per_node_s),
        round(idle_cost.peer_bytes / per_node_s, 1),
        steps,
    )


class _Meter:
    """What all nodes together spend from now on."""

    def __init__(self, edges: list[str]) -> None:
        self._edges = edges
        self._before = [read_cost(edge) for edge in edges]
        self._started = time.monotonic()

    @property
    def seconds(self) -> float:
        return time.monotonic() - self._started

    def spent(self) -> ProcessCost:
        total = ProcessCost()
        for edge, before in zip(self._edges, self._before, strict=True):
            total.add(read_cost(edge).since(before))
        return total


def _step(
    agents: _Agents,
    peers: list[str],
    edges: list[str],
    rate: float,
    seconds: float,
    idle: ProcessCost,
) -> ControlStep:
    answers = agents.answers = _Answers()
    asked_bytes = agents.sent_bytes
    meter = _Meter(edges)
    requests = agents.run(peers, rate * len(peers), seconds)
    idle_part = meter.seconds / seconds
    cost = meter.spent()
    threads = {
        name: spent - idle_part * idle.thread_cpu_s.get(name, 0.0)
        for name, spent in cost.thread_cpu_s.items()
    }
    return ControlStep(
        rate,
        requests,
        answers.granted,
        answers.refused,
        len(answers.asked_at),
        round(quantile(answers.times_s, 0.5) * _MS_PER_S, 2),
        round(quantile(answers.times_s, 0.99) * _MS_PER_S, 2),
        round((cost.cpu_s - idle_part * idle.cpu_s) / requests * _US_PER_S, 1),
        _scaled(threads, _US_PER_S / requests),
        round((agents.sent_bytes - asked_bytes) / requests, 1),
        round((cost.peer_bytes - idle_part * idle.peer_bytes) / requests, 1),
    )


def _scaled(values: dict[str, float], factor: float) -> dict[str, float]:
    """Return values times a factor, largest first."""
    ordered = sorted(values.items(), key=lambda item: -item[1])
    return {name: round(value * factor, 1) for name, value in ordered}


@click.command("control")
@click.option(
    "--node",
    "nodes",
    multiple=True,
    required=True,
    nargs=2,
    help="IP:port of a node's internal protocol, and of its HTTP edge.",
)
@click.option("--cluster-secret", required=True)
@click.option("--tenant", required=True)
@click.option("--model", required=True)
@click.option("--zone", default="zone-a", show_default=True)
@click.option("--rate", "rates", multiple=True, type=float, default=(60.0, 200.0))
@click.option("--seconds", default=10.0, show_default=True, help="Time measured at each rate.")
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print JSON.")
def control(
    nodes: tuple[tuple[str, str], ...],
    cluster_secret: str,
    tenant: str,
    model: str,
    zone: str,
    rates: tuple[float, ...],
    seconds: float,
    seed: int,
    as_json: bool,
) -> None:
    """Measure what a decision costs real nodes (see scripts/bench.py)."""
    question = DecideRequest(
        tenant=tenant,
        model=model,
        weights_version="v1",
        maximum_output_tokens=16,
        deadline_s=_DEADLINE_S,
        zone=zone,
        attempt=1,
    )
    agents = _Agents(cluster_secret, question, seed)
    agents.start()
    try:
        result = measure(agents, list(nodes), list(rates), seconds)
    finally:
        agents.stop()
    print_result(result, as_json)
