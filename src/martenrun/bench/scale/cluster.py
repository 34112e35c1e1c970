"""Hollow nodes and agents of the scale run, joined by the simulated network.

Every process runs the parts that the real process runs, built by the same factories, and
every message is really encoded and decoded.  Engines and HTTP are left out: an attempt takes
a drawn time and ends.
"""

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from martenrun.agent.parts import AgentParts, agent_parts
from martenrun.backends.engine import AttemptOutcome, AttemptResult
from martenrun.bench.scale.kinds import KindCountingNetwork
from martenrun.bench.scale.platform import (
    MODELS,
    VERSION,
    HollowRunner,
    make_runners,
    model_name,
    region_name,
    zone_name,
)
from martenrun.bench.scale.timing import CostMeter, timed
from martenrun.events import (
    AttemptEnded,
    Event,
    Finish,
    MachinesListed,
    RequestArrived,
    RunAttempt,
    RunnerDescribed,
    SendOrder,
)
from martenrun.node.parts import NodeParts, node_parts
from martenrun.process import Carrier
from martenrun.settings.model import AgentSettings, NodeSettings
from martenrun.simulation.hollow import HollowProcess
from martenrun.simulation.network import LinkFaults
from martenrun.simulation.scheduler import Scheduler
from martenrun.simulation.store import SimulatedStore, StoreFaults
from martenrun.wire.messages import DecideRequest

POLL_S = 0.5
SHORTEST_SERVICE_S = 0.5
LONGEST_SERVICE_S = 3.5
BLOCKS_PER_PROMPT = 10
PREFIXES_PER_TENANT = 4
FIRST_TOKEN_S = 0.1
DEADLINE_S = 30.0
SECRET = "scale-run-secret-0123456789"
UNUSED_ADDRESS = "127.0.0.1:1"


@dataclass
class HollowNode:
    """One node: its process and parts; ``index`` gives its zone and region."""

    index: int
    process: HollowProcess
    parts: NodeParts


@dataclass
class HollowAgent:
    """One agent: its process and parts."""

    process: HollowProcess
    parts: AgentParts


@dataclass
class Outcomes:
    """What callers got; ``decision_s`` are the times from a request to its first grant."""

    asked: int = 0
    whole: int = 0
    refused: int = 0
    decision_s: list[float] = field(default_factory=list)
    asked_at: dict[str, float] = field(default_factory=dict)


class ScaleCluster:
    """A whole deployment in virtual time."""

    def __init__(self, nodes: int, runners: int, agents: int, seed: int) -> None:
        self.rng = random.Random(seed)
        self.scheduler = Scheduler()
        faults = LinkFaults(delay_s=0.001, jitter_s=0.002)
        self.network = KindCountingNetwork(self.scheduler, self.rng, faults)
        self.network.forget_kinds()
        self.store = SimulatedStore(self.scheduler, self.rng, StoreFaults())
        self.runners: dict[str, HollowRunner] = make_runners(runners)
        self._by_name = {runner.machine.name: runner for runner in self.runners.values()}
        self._machines = [runner.machine for runner in self.runners.values()]
        self.node_meter = CostMeter()
        self.agent_meter = CostMeter()
        self.outcomes = Outcomes()
        self._load_turn = 0
        self.addresses = [f"10.0.{index // 250}.{index % 250}:7000" for index in range(nodes)]
        self.nodes: dict[str, HollowNode] = {}
        self.agents: list[HollowAgent] = []
        for index in range(nodes):
            self.start_node(index)
        for index in range(agents):
            self._start_agent(index)

    # Processes.

    def start_node(self, index: int) -> None:
        """Start the node of an index, empty."""
        address = self.addresses[index]
        settings = NodeSettings(
            name=f"node-{index}",
            zone=zone_name(index),
            region=region_name(index),
            cluster_secret=SECRET,
            http_address=UNUSED_ADDRESS,
            seed_nodes=self._seeds(),
            peer_address=address,
            object_api=UNUSED_ADDRESS,
            machine_list=UNUSED_ADDRESS,
        )
        rng = random.Random(self.rng.getrandbits(64))
        parts = node_parts(settings, f"{rng.getrandbits(64):016x}", rng)
        carriers: dict[type, Carrier] = {
            **self.store.carriers(address, lambda event: process.tell(event)),
            SendOrder: lambda _order: None,
        }
        process = HollowProcess(
            address,
            timed(parts.in_order(), self.node_meter),
            self.scheduler,
            self.network,
            carriers,
        )
        self.nodes[address] = HollowNode(index, process, parts)
        self._poll(self.nodes[address])

    def kill_node(self, address: str) -> HollowNode:
        """Kill a node at once."""
        node = self.nodes.pop(address)
        node.process.kill()
        return node

    def _seeds(self) -> list[str]:
        return self.addresses[:: max(1, len(self.addresses) // 12)]

    def _start_agent(self, index: int) -> None:
        name = f"agent/{index}"
        settings = AgentSettings(
            name=name,
            zone=zone_name(index),
            region=region_name(index),
            cluster_secret=SECRET,
            http_address=UNUSED_ADDRESS,
            seed_nodes=self._seeds(),
        )
        rng = random.Random(self.rng.getrandbits(64))
        parts = agent_parts(settings, f"{rng.getrandbits(64):016x}", rng)
        carriers: dict[type, Carrier] = {
            RunAttempt: lambda instruction: self._run(process.tell, instruction),
            Finish: self._finish,
        }
        process = HollowProcess(
            name, timed(parts.in_order(), self.agent_meter), self.scheduler, self.network, carriers
        )
        self.agents.append(HollowAgent(process, parts))

    def _poll(self, node: HollowNode) -> None:
        """Do what the node's drivers do: read the machine list, describe owned runners."""
        if self.nodes.get(node.process.name) is not node:
            return
        if node.parts.machine_feed.must_poll():
            node.process.tell(MachinesListed(self._machines))
        for name in list(node.parts.ownership.owner.owned):
            runner = self._by_name.get(name)
            if runner is not None:
                node.process.tell(RunnerDescribed(name, runner.describe()))
        self.scheduler.after(POLL_S * self.rng.uniform(0.9, 1.1), lambda: self._poll(node))

    # Load.

    def load(self, requests_per_s: float, until_s: float, tenants: list[str]) -> None:
        """Let requests arrive at random agents until a virtual time, or :meth:`stop_load`."""
        turn = self._load_turn

        def arrive() -> None:
            if self.scheduler.now >= until_s or turn != self._load_turn:
                return
            self._ask(self.rng.choice(self.agents), self.rng.choice(tenants))
            self.scheduler.after(self.rng.expovariate(requests_per_s), arrive)

        self.scheduler.after(self.rng.expovariate(requests_per_s), arrive)

    def stop_load(self) -> None:
        """Let no more requests arrive."""
        self._load_turn += 1

    def _ask(self, agent: HollowAgent, tenant: str) -> None:
        self.outcomes.asked += 1
        prefix = random.Random(f"{tenant}-{self.rng.randrange(PREFIXES_PER_TENANT)}")
        question = DecideRequest(
            request_id=f"{self.rng.getrandbits(64):016x}",
            tenant=tenant,
            model=model_name(self.rng.randrange(MODELS)),
            weights_version=VERSION,
            chain=prefix.randbytes(8 * BLOCKS_PER_PROMPT),
            prompt_bytes=4_000 * BLOCKS_PER_PROMPT,
            maximum_output_tokens=200,
            deadline_s=DEADLINE_S,
            zone="zone-0",
        )
        self.outcomes.asked_at[question.request_id] = self.scheduler.now
        agent.process.tell(RequestArrived(question, repeatable=True))

    def _run(self, tell: Callable[[Event], None], instruction: RunAttempt) -> None:
        grant = instruction.grant
        runner = self.runners[grant.address]
        asked_at = self.outcomes.asked_at.pop(instruction.request_id, None)
        if asked_at is not None:
            self.outcomes.decision_s.append(self.scheduler.now - asked_at)
        if not runner.start():
            refused = AttemptResult(AttemptOutcome.NOT_RUN, "no free slot")
            tell(AttemptEnded(instruction.request_id, grant.attempt, refused, 0.0))
            return

        def complete() -> None:
            runner.running -= 1
            result = AttemptResult(AttemptOutcome.COMPLETE, "", b"", 10_000, 0, 200)
            tell(AttemptEnded(instruction.request_id, grant.attempt, result, FIRST_TOKEN_S))

        self.scheduler.after(self.rng.uniform(SHORTEST_SERVICE_S, LONGEST_SERVICE_S), complete)

    def _finish(self, instruction: Finish) -> None:
        if instruction.error is None:
            self.outcomes.whole += 1
        else:
            self.outcomes.refused += 1
