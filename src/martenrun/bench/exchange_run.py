"""Hollow nodes that exchange sums with each other, over a simulated network in virtual time.

Each node runs one real exchange; every message is really encoded.

See also: :mod:`martenrun.bench.usage_exchange`, :mod:`martenrun.bench.scaling_demand`.
"""

import random
import time
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Generic, TypeVar

from martenrun.events import DecisionLogic, PeerMessage, Send, Tick
from martenrun.membership.view import Member
from martenrun.simulation.network import LinkFaults, SimulatedNetwork
from martenrun.simulation.scheduler import Scheduler
from martenrun.wire.frames import frame_bytes
from martenrun.wire.messages import Message

Exchange = TypeVar("Exchange", bound=DecisionLogic)

TICK_S = 0.25
"""Coarser than a process's tick; an exchange only compares times on a tick."""

FRAME_OVERHEAD_BYTES = frame_bytes(1_000)
"""Length and tag that the transport adds to each message, taken as one of 128 bytes or more."""


@dataclass(frozen=True, slots=True)
class TrafficRate:
    """What one node sent and received, for each second."""

    sent_bytes: float
    received_bytes: float
    messages: float


class ExchangeRun(Generic[Exchange]):
    """Nodes in zones, each with one exchange.

    Attributes:
        nodes: the exchange of each node.
        cpu_s: process time of each node's own handling, without encoding.
    """

    def __init__(self, nodes: int, zones: int, loss: float, rng: random.Random) -> None:
        self.scheduler = Scheduler()
        self.network = SimulatedNetwork(self.scheduler, rng, LinkFaults(loss=loss))
        self.members = [
            Member(f"10.{i // 250}.{i % 250}.1:7000", f"zone-{i % zones}") for i in range(nodes)
        ]
        self.rng = rng
        self.nodes: Sequence[Exchange] = []
        self.cpu_s = [0.0] * nodes

    def start(self, exchanges: Sequence[Exchange]) -> None:
        """Attach each node's exchange to the network and to the clock."""
        self.nodes = exchanges
        for index, member in enumerate(self.members):
            self.network.attach(member.address, self._receiver(index))
            self.scheduler.after(self.rng.random() * TICK_S, self._ticker(index))

    def measure(self, warm_up_s: float, measured_s: float) -> list[TrafficRate]:
        """Run the warm-up and then the measured time; returns each node's traffic in that."""
        self.scheduler.run_until(warm_up_s)
        before = {name: self._traffic(name) for name in self.network.traffic}
        self.cpu_s = [0.0] * len(self.nodes)
        self.scheduler.run_until(warm_up_s + measured_s)
        return [
            TrafficRate(
                *(
                    (now - then) / measured_s
                    for now, then in zip(self._traffic(name), before[name], strict=True)
                )
            )
            for name in self.network.traffic
        ]

    def _traffic(self, name: str) -> tuple[int, int, int]:
        traffic = self.network.traffic[name]
        sent = traffic.sent_bytes + FRAME_OVERHEAD_BYTES * traffic.sent_messages
        received = traffic.received_bytes + FRAME_OVERHEAD_BYTES * traffic.received_messages
        return sent, received, traffic.sent_messages

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
        self.cpu_s[index] += time.process_time() - started
        own = self.members[index].address
        for instruction in instructions:
            assert isinstance(instruction, Send)
            if instruction.peer == own:
                # A process's messages to itself skip the network.
                self._handle(index, PeerMessage(own, instruction.message))
            else:
                self.network.send(own, instruction.peer, instruction.message)
