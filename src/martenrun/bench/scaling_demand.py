"""Cost of the exchange of pools' demand at size, in virtual time.

Hollow nodes run the real :class:`martenrun.scaling.demand.DemandExchange`; every message is
really encoded.  CPU is process time of the exchange's own handling, without encoding.
"""

import random
import statistics
from dataclasses import dataclass

from martenrun.backends.engine import RunnerDescription
from martenrun.backends.machine_list import Machine
from martenrun.bench.exchange_run import ExchangeRun
from martenrun.configuration.objects import Document, Kind, Pool
from martenrun.configuration.view import ConfigurationView
from martenrun.events import MachinesListed, RunnerDescribed
from martenrun.membership.view import StaticMemberView
from martenrun.node.runners import RunnerTable
from martenrun.ownership.slots import RunnerSlots
from martenrun.scaling.demand import DemandExchange
from martenrun.scaling.limits import ScalingLimits

POOLS = 13
ZONES = 6
RUNNERS_PER_NODE = 32
SLOTS = 16
WARM_UP_S = 15.0
MEASURED_S = 60.0
LOSS = 0.01
"""Probability that a message is lost."""


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


class _DemandRun(ExchangeRun[DemandExchange]):
    def __init__(self, nodes: int, rng: random.Random) -> None:
        super().__init__(nodes, ZONES, LOSS, rng)
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
        self.start([self._exchange(index) for index in range(nodes)])

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


def measure_demand(nodes: int, seed: int = 1) -> DemandCost:
    """Run the exchange, the warm-up unmeasured, and return its cost."""
    run = _DemandRun(nodes, random.Random(seed))
    rates = run.measure(WARM_UP_S, MEASURED_S)
    decider = next(node for node in run.nodes if node.is_decider)
    zones = decider.zones(run.scheduler.now).values()
    return DemandCost(
        nodes,
        nodes * RUNNERS_PER_NODE,
        POOLS,
        ZONES,
        round(statistics.mean(rate.sent_bytes for rate in rates), 1),
        round(max(rate.sent_bytes for rate in rates), 1),
        round(max(rate.received_bytes for rate in rates), 1),
        round(statistics.mean(rate.messages for rate in rates), 2),
        round(1_000 * statistics.mean(run.cpu_s) / MEASURED_S, 4),
        round(1_000 * max(run.cpu_s) / MEASURED_S, 4),
        sum(demand.runners for zone in zones for demand in zone.values()),
    )
