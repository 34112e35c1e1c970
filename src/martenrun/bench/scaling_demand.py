"""Cost of the exchange of pools' demand at size, in virtual time.

Hollow nodes run the real :class:`martenrun.scaling.demand.DemandExchange`; every message is
really encoded.  CPU is process time of the exchange's own handling, without encoding.
"""

import random
import statistics
import time
from collections.abc import Callable
from dataclasses import dataclass

from martenrun.configuration.objects import Document, Kind, Pool
from martenrun.configuration.view import ConfigurationView
from martenrun.events import MachinesListed, PeerMessage, RunnerDescribed, Send, Tick
from martenrun.membership.view import Member, StaticMemberView
from martenrun.node.runners import RunnerTable
from martenrun.ownership.slots import RunnerSlots
from martenrun.platform.engine import RunnerDescription
from martenrun.platform.machine_list import Machine
from martenrun.scaling.demand import DemandExchange
from martenrun.scaling.limits import ScalingLimits
from martenrun.simulation.network import LinkFaults, SimulatedNetwork
from martenrun.simulation.scheduler import Scheduler
from martenrun.wire.frames import frame_bytes
from martenrun.wire.messages import Message

POOLS = 13
ZONES = 6
RUNNERS_PER_NODE = 32
SLOTS = 16
TICK_S = 0.25
WARM_UP_S = 15.0
MEASURED_S = 60.0
FRAME_OVERHEAD_BYTES = frame_bytes(1_000)
"""Length prefix and authenticator that the transport adds to each message."""


@dataclass(frozen=True, slots=True)
class DemandCost:
    """Cost per node; the busiest node decides or adds up for its zone."""

    nodes: int
    runners: int
    pools: int
    zones: int
    sent_bytes_per_s_mean: float
    sent_bytes_per_s_max: float
    received_bytes_per_s_max: float
    messages_per_s_mean: float
    cpu_ms_per_s_mean: float
    cpu_ms_per_s_max: float
    reported_runners: int


class _Run:
    def __init__(self, nodes: int, rng: random.Random) -> None:
        self.scheduler = Scheduler()
        self.network = SimulatedNetwork(self.scheduler, rng, LinkFaults(loss=0.01))
        self.rng = rng
        self.members = [
            Member(f"10.{i // 250}.{i % 250}.1:7000", f"zone-{i % ZONES}") for i in range(nodes)
        ]
        pool = Pool(
            model="model",
            weights_version="v1",
            minimum_runners=1,
            maximum_runners=10_000,
            scaling=ScalingLimits(),
        )
        documents: dict[tuple[Kind, str], Document] = {
            (Kind.POOL, f"pool-{index}"): pool for index in range(POOLS)
        }
        self.view = ConfigurationView.build(1, documents)
        self.cpu_s = [0.0] * nodes
        self.nodes = [self._exchange(index) for index in range(nodes)]
        for index, member in enumerate(self.members):
            self.network.attach(member.address, self._receiver(index))
            self.scheduler.after(rng.random() * TICK_S, self._ticker(index))

    def _exchange(self, index: int) -> DemandExchange:
        member = self.members[index]
        table, owned = RunnerTable(view=lambda: self.view), {}
        machines, described = [], []
        for number in range(RUNNERS_PER_NODE):
            name = f"runner-{index * RUNNERS_PER_NODE + number}"
            pool = f"pool-{self.rng.randrange(POOLS)}"
            machines.append(Machine(name, "engine", "10.0.0.1:80", member.zone, pool))
            running = self.rng.randrange(SLOTS)
            description = RunnerDescription("one", "model", "v1", running, SLOTS, 1_000)
            slots = owned[name] = RunnerSlots(name)
            slots.described_as(description, 0.0)
            described.append(RunnerDescribed(name, description))
        table.handle(MachinesListed(machines), 0.0)
        view = StaticMemberView(member, self.members)
        rng = random.Random(self.rng.random())
        exchange = DemandExchange(view, table, lambda: self.view, lambda: owned, rng)
        for event in described:
            exchange.handle(event, 0.0)
        return exchange

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


def measure_demand(nodes: int, seed: int = 1) -> DemandCost:
    """Run the exchange, the warm-up unmeasured, and return its cost."""
    run = _Run(nodes, random.Random(seed))
    run.scheduler.run_until(WARM_UP_S)
    before = {name: _counts(run.network, name) for name in run.network.traffic}
    run.cpu_s = [0.0] * nodes
    run.scheduler.run_until(WARM_UP_S + MEASURED_S)
    spent = [
        [(now - then) / MEASURED_S for now, then in zip(counts, before[name], strict=True)]
        for name, counts in ((name, _counts(run.network, name)) for name in run.network.traffic)
    ]
    decider = next(node for node in run.nodes if node.is_decider)
    zones = decider.zones(run.scheduler.now).values()
    return DemandCost(
        nodes,
        nodes * RUNNERS_PER_NODE,
        POOLS,
        ZONES,
        round(statistics.mean(sent for sent, _received, _messages in spent), 1),
        round(max(sent for sent, _received, _messages in spent), 1),
        round(max(received for _sent, received, _messages in spent), 1),
        round(statistics.mean(messages for _sent, _received, messages in spent), 2),
        round(1_000 * statistics.mean(run.cpu_s) / MEASURED_S, 4),
        round(1_000 * max(run.cpu_s) / MEASURED_S, 4),
        sum(demand.runners for zone in zones for demand in zone.values()),
    )


def _counts(network: SimulatedNetwork, name: str) -> tuple[int, int, int]:
    traffic = network.traffic[name]
    sent = traffic.sent_bytes + FRAME_OVERHEAD_BYTES * traffic.sent_messages
    received = traffic.received_bytes + FRAME_OVERHEAD_BYTES * traffic.received_messages
    return sent, received, traffic.sent_messages
