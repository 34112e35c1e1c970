"""``martenrun bench usage-exchange``: its cost and accuracy at size, in virtual time.

Hollow nodes run the real :class:`martenrun.sharing.usage.UsageExchange` over a simulated
network that really encodes every message.

See also: :mod:`martenrun.bench.sharing`.
"""

import gc
import random
import resource
import statistics
import time
from collections.abc import Callable
from dataclasses import dataclass
from itertools import accumulate
from pathlib import Path

import click
import msgspec

from martenrun.events import PeerMessage, Send, Tick
from martenrun.membership.view import Member, StaticMemberView
from martenrun.sharing.usage import UsageExchange
from martenrun.simulation.network import LinkFaults, SimulatedNetwork
from martenrun.simulation.scheduler import Scheduler
from martenrun.wire.frames import frame_bytes
from martenrun.wire.messages import Message

WORK_INTERVAL_S = 0.5
TICK_S = 0.25
"""Coarser than a process's tick; the exchange only compares times on a tick."""

TOKENS_PER_REQUEST = 300.0
FRAME_OVERHEAD_BYTES = frame_bytes(1_000)
"""Length and tag that the transport adds to each message, taken as one of 128 bytes or more."""

COMPARED_TENANTS = 20
"""Largest tenants whose sums are compared with the truth."""


@dataclass(frozen=True, slots=True)
class ExchangeResult:
    """Cost per node and error of the sums of the largest tenants.

    ``cpu_ms_per_s`` is process time of the exchange's own handling, without encoding;
    ``error`` is the relative difference from the true decayed sum, over nodes and tenants;
    ``state_bytes_mean`` is what the process grew by in the warm-up, for each node.
    """

    nodes: int
    tenants: int
    zones: int
    loss: float
    seed: int
    sent_bytes_per_s_mean: float
    sent_bytes_per_s_max: float
    received_bytes_per_s_max: float
    messages_per_s_mean: float
    cpu_ms_per_s_mean: float
    error_p50: float
    error_p95: float
    state_bytes_mean: float


class _ExchangeRun:
    def __init__(
        self, nodes: int, tenants: int, zones: int, loss: float, rng: random.Random
    ) -> None:
        self.scheduler = Scheduler()
        self.network = SimulatedNetwork(self.scheduler, rng, LinkFaults(loss=loss))
        self.members = [
            Member(f"10.{i // 250}.{i % 250}.1:7000", f"zone-{i % zones}") for i in range(nodes)
        ]
        self.nodes = [
            UsageExchange(StaticMemberView(member, self.members), random.Random(rng.random()))
            for member in self.members
        ]
        self.names = [f"tenant-{number}" for number in range(tenants)]
        self.cumulative = list(accumulate(1.0 / (rank + 1) for rank in range(tenants)))
        self.rng = rng
        self.cpu_s = 0.0
        for index, member in enumerate(self.members):
            self.network.attach(member.address, self._receiver(index))
            self.scheduler.after(rng.random() * TICK_S, self._ticker(index))

    def work(self, requests_per_node_s: float) -> None:
        """Let every node serve requests of tenants drawn by a Zipf law."""
        count = round(requests_per_node_s * WORK_INTERVAL_S)
        for node in self.nodes:
            for name in self.rng.choices(self.names, cum_weights=self.cumulative, k=count):
                node.served(name, TOKENS_PER_REQUEST, self.scheduler.now)
                node.demanded(name, TOKENS_PER_REQUEST, self.scheduler.now)
        self.scheduler.after(WORK_INTERVAL_S, lambda: self.work(requests_per_node_s))

    def errors(self) -> list[float]:
        """Return relative errors of the largest tenants' sums at every node."""
        found: list[float] = []
        now = self.scheduler.now
        for name in self.names[:COMPARED_TENANTS]:
            usages = [node.usage(name, now) for node in self.nodes]
            truth = sum(usage.own_usage for usage in usages)
            found += [abs(usage.all_usage - truth) / truth for usage in usages if truth > 0]
        return found

    def _receiver(self, index: int) -> Callable[[str, Message], None]:
        return lambda peer, message: self._handle(index, PeerMessage(peer, message))

    def _ticker(self, index: int) -> Callable[[], None]:
        def tick() -> None:
            self._handle(index, Tick())
            self.scheduler.after(TICK_S, tick)

        return tick

    def _handle(self, index: int, event: Tick | PeerMessage) -> None:
        started = time.process_time()
        instructions = self.nodes[index].handle(event, self.scheduler.now)
        self.cpu_s += time.process_time() - started
        own = self.members[index].address
        for instruction in instructions:
            assert isinstance(instruction, Send)
            if instruction.peer == own:
                # A process's messages to itself skip the network.
                self._handle(index, PeerMessage(own, instruction.message))
            else:
                self.network.send(own, instruction.peer, instruction.message)


def run_exchange(
    nodes: int,
    tenants: int,
    zones: int = 6,
    loss: float = 0.01,
    requests_per_node_s: float = 62.0,
    warm_up_s: float = 60.0,
    measured_s: float = 20.0,
    seed: int = 0,
) -> ExchangeResult:
    """Run the exchange, the warm-up unmeasured, and return its cost and accuracy."""
    run = _ExchangeRun(nodes, tenants, zones, loss, random.Random(seed))
    begin_bytes = _resident_bytes()
    run.work(requests_per_node_s)
    run.scheduler.run_until(warm_up_s)
    gc.collect()
    state_bytes = _resident_bytes() - begin_bytes
    before = {name: _bytes(run.network, name) for name in run.network.traffic}
    run.cpu_s = 0.0
    run.scheduler.run_until(warm_up_s + measured_s)
    after = {name: _bytes(run.network, name) for name in run.network.traffic}
    sent = [(after[name][0] - before[name][0]) / measured_s for name in after]
    received = [(after[name][1] - before[name][1]) / measured_s for name in after]
    messages = [(after[name][2] - before[name][2]) / measured_s for name in after]
    errors = sorted(run.errors())
    return ExchangeResult(
        nodes,
        tenants,
        zones,
        loss,
        seed,
        round(statistics.mean(sent), 1),
        round(max(sent), 1),
        round(max(received), 1),
        round(statistics.mean(messages), 2),
        round(run.cpu_s * 1_000 / nodes / measured_s, 3),
        round(errors[len(errors) // 2], 4),
        round(errors[int(len(errors) * 0.95)], 4),
        round(state_bytes / nodes),
    )


def _resident_bytes() -> int:
    pages = Path("/proc/self/statm").read_text(encoding="ascii").split()[1]
    return int(pages) * resource.getpagesize()


def _bytes(network: SimulatedNetwork, name: str) -> tuple[int, int, int]:
    traffic = network.traffic[name]
    sent = traffic.sent_bytes + FRAME_OVERHEAD_BYTES * traffic.sent_messages
    received = traffic.received_bytes + FRAME_OVERHEAD_BYTES * traffic.received_messages
    return sent, received, traffic.sent_messages


@click.command("usage-exchange")
@click.option("--nodes", default=370, show_default=True, type=click.IntRange(1, 1_000))
@click.option("--tenants", default=5_100, show_default=True, type=click.IntRange(1, 20_000))
@click.option("--zones", default=6, show_default=True, type=click.IntRange(1, 32))
@click.option("--loss", default=0.01, show_default=True, help="Probability per message.")
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON line.")
def usage_exchange(
    nodes: int, tenants: int, zones: int, loss: float, seed: int, as_json: bool
) -> None:
    """Bytes, messages, CPU and error of the exchange of usage between nodes."""
    data = msgspec.json.encode(run_exchange(nodes, tenants, zones, loss, seed=seed))
    click.echo(data if as_json else msgspec.json.format(data))
