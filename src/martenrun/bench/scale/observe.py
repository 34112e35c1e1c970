"""Watching a scale run: usage of a phase, and when conditions come true at each node."""

import time
from collections.abc import Callable, Mapping
from dataclasses import dataclass

from martenrun.bench.scale.cluster import HollowNode, ScaleCluster
from martenrun.bench.scale.report import PartCost, Usage
from martenrun.bench.scale.timing import MICROSECONDS_PER_S, CostMeter
from martenrun.wire.codec import decode, encode
from martenrun.wire.messages import ReserveSlot

STEP_S = 0.05
_CODEC_ROUNDS = 20_000
_AGENT_PREFIX = "agent/"


class PhaseMeter:
    """Measures what nodes and agents spend between its creation and :meth:`usage`."""

    def __init__(self, cluster: ScaleCluster) -> None:
        self._cluster = cluster
        self._begin_s = cluster.scheduler.now
        cluster.node_meter.reset()
        cluster.agent_meter.reset()
        self._sent = self._by_process()

    def node_usage(self) -> Usage:
        """Return a node's average usage."""
        return self._usage(self._cluster.node_meter, len(self._cluster.nodes), "node")

    def agent_usage(self) -> Usage:
        """Return an agent's average usage."""
        return self._usage(self._cluster.agent_meter, len(self._cluster.agents), "agent")

    def _usage(self, meter: CostMeter, processes: int, wanted: str) -> Usage:
        elapsed_s = self._cluster.scheduler.now - self._begin_s
        process_seconds = processes * elapsed_s
        sent = [
            after.minus(self._sent.get(name, _Traffic()))
            for name, after in self._by_process().items()
            if role(name) == wanted
        ]

        def per_second(costs: Mapping[str, float]) -> dict[str, float]:
            return {
                name: round(cpu_s * MICROSECONDS_PER_S / process_seconds, 1)
                for name, cpu_s in sorted(costs.items())
            }

        return Usage(
            round(meter.cpu_s() * MICROSECONDS_PER_S / process_seconds, 1),
            round(sum(entry.sent_bytes for entry in sent) / process_seconds, 1),
            round(sum(entry.sent for entry in sent) / process_seconds, 2),
            round(sum(entry.received for entry in sent) / process_seconds, 2),
            per_second(meter.by_part()),
            per_second(meter.by_event()),
            round(max(entry.sent_bytes for entry in sent) / elapsed_s, 1),
            round(max(entry.sent for entry in sent) / elapsed_s, 2),
        )

    def _by_process(self) -> dict[str, "_Traffic"]:
        return {
            name: _Traffic(entry.sent_bytes, entry.sent_messages, entry.received_messages)
            for name, entry in self._cluster.network.traffic.items()
        }


@dataclass(frozen=True)
class _Traffic:
    """Bytes and messages of one process."""

    sent_bytes: int = 0
    sent: int = 0
    received: int = 0

    def minus(self, other: "_Traffic") -> "_Traffic":
        """Return what was added since."""
        return _Traffic(
            self.sent_bytes - other.sent_bytes,
            self.sent - other.sent,
            self.received - other.received,
        )


def role(name: str) -> str:
    """Return the role of the process of a name: agent or node."""
    return "agent" if name.startswith(_AGENT_PREFIX) else "node"


def dearest(meter: CostMeter, count: int) -> list[PartCost]:
    """Return the parts and events that took the most processor time."""
    ordered = sorted(meter.costs.items(), key=lambda item: item[1].cpu_s, reverse=True)
    return [
        PartCost(part, event, cost.calls, round(cost.cpu_s * MICROSECONDS_PER_S / cost.calls, 1))
        for (part, event), cost in ordered[:count]
    ]


def times_until(
    cluster: ScaleCluster, condition: Callable[[HollowNode], bool], limit_s: float
) -> list[float]:
    """Run until every node meets a condition; return each node's time, the limit if never."""
    begin_s = cluster.scheduler.now
    waiting = set(cluster.nodes)
    times: list[float] = []
    while waiting and cluster.scheduler.now < begin_s + limit_s:
        cluster.scheduler.run_until(cluster.scheduler.now + STEP_S)
        met = {name for name in waiting if condition(cluster.nodes[name])}
        times += [cluster.scheduler.now - begin_s] * len(met)
        waiting -= met
    return times + [limit_s] * len(waiting)


def codec_us_per_message() -> float:
    """Measure encoding and decoding of one typical message, in microseconds."""
    message = ReserveSlot(1, "runner-1", "tenant-1", 0, 10_000, 30_000, True, "v1", b"x" * 80)
    started = time.thread_time()
    for _ in range(_CODEC_ROUNDS):
        decode(encode(message))
    return round((time.thread_time() - started) * MICROSECONDS_PER_S / _CODEC_ROUNDS, 2)
