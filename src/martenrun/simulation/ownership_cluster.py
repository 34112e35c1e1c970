"""Nodes with the real ownership logic, simulated engines and agents, in virtual time.

Used by the tests and the benchmark of slot ownership.  Engines refuse work beyond their slots
without running it; agents ask their nodes in rendezvous order, repeat nothing on their own and
record every final answer.

See also: :mod:`martenrun.ownership`, :mod:`martenrun.bench.ownership`.
"""

import collections
import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

from martenrun.backends.engine import AttemptOutcome, RunnerDescription
from martenrun.backends.machine_list import Machine
from martenrun.configuration.objects import Document, Kind, Pool, Route, Tenant
from martenrun.configuration.view import ConfigurationView
from martenrun.events import DecisionLogic, MachinesListed, RunnerDescribed
from martenrun.identity.rendezvous import ranked
from martenrun.membership.view import Member, StaticMemberView
from martenrun.node.runners import RunnerTable
from martenrun.ownership.home import HomeLogic
from martenrun.ownership.logic import OwnershipLogic
from martenrun.ownership.owner import OwnerLogic
from martenrun.ownership.owners import OwnerMap
from martenrun.routing.baselines import ConsistentHashPolicy
from martenrun.simulation.hollow import HollowProcess
from martenrun.simulation.network import LinkFaults, SimulatedNetwork
from martenrun.simulation.scheduler import Scheduler
from martenrun.wire.messages import (
    AttemptReport,
    DecideRequest,
    Grant,
    Message,
    Queued,
    Refusal,
    WithdrawRequest,
)

POOL = "readers"
MODEL = "vine-reader"
TENANT = "growers"
OTHER_TENANT = "stallholders"
VERSION = "v1"
POLL_S = 0.5
NODE_SILENCE_S = 1.0
RETRY_PAUSE_S = 0.05


@dataclass
class SimulatedEngine:
    """An engine with slots; refuses what does not fit or names another incarnation."""

    machine: Machine
    slots: int
    version: str = VERSION
    restarts: int = 0
    running: set[tuple[str, int]] = field(default_factory=set)
    rejected: int = 0
    last_start: float = 0.0
    is_down: bool = False
    reports: collections.deque[tuple[float, int]] = field(default_factory=collections.deque)

    @property
    def incarnation(self) -> str:
        """Identity of the present run."""
        return f"{self.machine.name}-{self.restarts}"

    def restart(self) -> None:
        """Come back empty under the same address."""
        self.restarts += 1
        self.running.clear()
        self.reports.clear()

    def describe(self, now: float, load_lag_s: float) -> RunnerDescription | None:
        """Return the engine's own description; the load is ``load_lag_s`` old."""
        if self.is_down:
            return None
        self.reports.append((now, len(self.running)))
        while len(self.reports) > 1 and self.reports[1][0] <= now - load_lag_s:
            self.reports.popleft()
        running = self.reports[0][1]
        return RunnerDescription(self.incarnation, MODEL, self.version, running, self.slots, 0)

    def start(self, key: tuple[str, int], incarnation: str, now: float) -> bool:
        """Start an attempt if it fits."""
        is_full = len(self.running) >= self.slots
        if self.is_down or is_full or incarnation != self.incarnation:
            self.rejected += 1
            return False
        self.running.add(key)
        self.last_start = now
        return True


@dataclass
class SimulatedNode:
    """One node: its process and logic."""

    member: Member
    view: StaticMemberView
    process: HollowProcess
    table: RunnerTable
    ownership: OwnershipLogic | None


@dataclass
class SimulatedRequest:
    """A request at the agent; ``answers`` counts final answers of its present attempt."""

    question: DecideRequest
    nodes: list[str]
    started_at: float
    deadline: float
    service_s: float
    silent_at: float = 0.0
    finished_at: float | None = None
    refusal: Refusal | None = None
    queued_messages: int = 0
    grants: int = 0
    refused_retries: int = 0
    first_grant_s: float | None = None


MakeNodeLogic = Callable[["OwnershipCluster", Member, RunnerTable], list[DecisionLogic]]
"""Makes a node's decision logic, for baselines."""


class OwnershipCluster:
    """A whole simulated deployment; ``requests`` holds everything asked so far."""

    def __init__(
        self,
        nodes: int,
        runners: int,
        seed: int,
        slots: int = 4,
        faults: LinkFaults | None = None,
        zones: int = 2,
        make_logic: MakeNodeLogic | None = None,
        agents: int = 4,
        network_class: type[SimulatedNetwork] = SimulatedNetwork,
        load_lag_s: float = 0.0,
    ) -> None:
        self._load_lag_s = load_lag_s
        self.rng = random.Random(seed)
        self.scheduler = Scheduler()
        self.network = network_class(self.scheduler, self.rng, faults or LinkFaults())
        self._zones = [f"zone-{index}" for index in range(zones)]
        self._make_logic = make_logic
        self.configuration = _configuration()
        self.engines = {
            f"runner-{index}": SimulatedEngine(self._machine(index), slots)
            for index in range(runners)
        }
        self.listed = [engine.machine for engine in self.engines.values()]
        self.members = [
            Member(f"10.0.{index // 250}.{index % 250}:7000", self._zones[index % zones])
            for index in range(nodes)
        ]
        self.nodes = {member.address: self._node(member) for member in self.members}
        self.requests: dict[str, SimulatedRequest] = {}
        self._numbers = itertools.count()
        self._agents = [f"agent/{index}" for index in range(agents)]
        for agent in self._agents:
            self.network.attach(agent, self._receiver(agent))
        self.scheduler.after(0.0, self._poll)

    # Faults and changes.

    def kill_node(self, address: str, noticed_after_s: float) -> None:
        """Kill a node; the others see it go after a while."""
        self.nodes.pop(address).process.kill()
        self.scheduler.after(noticed_after_s, lambda: self.see_members(self.nodes))

    def start_node(self, member: Member) -> None:
        """Start a node again, empty."""
        self.nodes[member.address] = self._node(member)
        self.see_members(self.nodes)

    def see_members(self, addresses: object) -> None:
        """Let every node see the members of these addresses as alive."""
        assert isinstance(addresses, dict | set | list)
        seen = [member for member in self.members if member.address in addresses]
        for node in self.nodes.values():
            node.view.members = seen

    def change_machine(self, name: str, state: str) -> None:
        """Change a machine's state in the machine list."""
        engine = self.engines[name]
        machine = engine.machine
        engine.machine = Machine(
            machine.name, machine.role, machine.address, machine.zone, machine.pool, state
        )
        self.listed = [known.machine for known in self.engines.values()]

    # Requests.

    def ask(
        self, prefix: int, service_s: float, deadline_s: float = 30.0, tenant: str = TENANT
    ) -> SimulatedRequest:
        """Ask one question now; attempts go on until its final end."""
        request_id = f"{next(self._numbers):016x}"
        chain = prefix.to_bytes(8, "big") * 4
        question = DecideRequest(
            request_id, tenant, MODEL, VERSION, chain, 16_000, 100, 0, deadline_s
        )
        nodes = ranked(chain[:8], [member.address for member in self.members])
        now = self.scheduler.now
        request = SimulatedRequest(question, nodes, now, now + deadline_s, service_s)
        self.requests[request_id] = request
        self._send(request)
        return request

    def load(self, requests_per_s: float, until_s: float, prefixes: int, service_s: float) -> None:
        """Ask questions at random times with a mean rate until a virtual time."""

        def arrive() -> None:
            if self.scheduler.now >= until_s:
                return
            self.ask(self.rng.randrange(prefixes), self.rng.expovariate(1 / service_s))
            self.scheduler.after(self.rng.expovariate(requests_per_s), arrive)

        self.scheduler.after(self.rng.expovariate(requests_per_s), arrive)

    def open_leases(self) -> int:
        """Return the leases held by all owners together."""
        return sum(
            len(slots.leases)
            for node in self.nodes.values()
            if node.ownership is not None
            for slots in node.ownership.owner.owned.values()
        )

    def open_questions(self) -> int:
        """Return the questions open at all homes together."""
        return sum(
            node.ownership.home.open_count
            for node in self.nodes.values()
            if node.ownership is not None
        )

    # The agents' side.

    def _agent(self, request: SimulatedRequest) -> str:
        return self._agents[int(request.question.request_id, 16) % len(self._agents)]

    def _send(self, request: SimulatedRequest) -> None:
        question = request.question
        question.attempt += 1
        question.deadline_s = request.deadline - self.scheduler.now
        self._watch(request)
        self.network.send(self._agent(request), request.nodes[0], question)

    def _watch(self, request: SimulatedRequest) -> None:
        """Ask the next node if this one stays silent."""
        attempt = request.question.attempt
        request.silent_at = self.scheduler.now + NODE_SILENCE_S

        def check() -> None:
            is_present = request.question.attempt == attempt and request.grants < attempt
            if not is_present or request.finished_at is not None:
                return
            if self.scheduler.now < request.silent_at:
                return
            self._withdraw(request)
            if self.scheduler.now >= request.deadline:
                self._finish(request)
                return
            request.nodes.append(request.nodes.pop(0))
            self._send(request)

        self.scheduler.after(NODE_SILENCE_S, check)

    def _withdraw(self, request: SimulatedRequest) -> None:
        message = WithdrawRequest(request.question.request_id, request.question.attempt)
        self.network.send(self._agent(request), request.nodes[0], message)

    def _receiver(self, agent: str) -> Callable[[str, Message], None]:
        def receive(peer: str, message: Message) -> None:
            assert isinstance(message, Grant | Refusal | Queued)
            request = self.requests[message.request_id]
            is_late = message.attempt != request.question.attempt
            if is_late or request.finished_at is not None or request.grants >= message.attempt:
                return
            if isinstance(message, Queued):
                request.queued_messages += 1
                self._watch(request)
            elif isinstance(message, Refusal):
                request.refusal = message
                self._finish(request)
            else:
                request.grants = message.attempt
                if request.first_grant_s is None:
                    request.first_grant_s = self.scheduler.now - request.started_at
                self._run(request, message, peer)

        return receive

    def _run(self, request: SimulatedRequest, grant: Grant, home: str) -> None:
        engine = self.engines[grant.runner]
        key = (request.question.request_id, grant.attempt)
        if engine.start(key, grant.incarnation, self.scheduler.now):
            self.scheduler.after(
                request.service_s, lambda: self._complete(request, grant, home, engine)
            )
            return
        self._report(request, grant, home, AttemptOutcome.NOT_RUN)
        request.refused_retries += 1
        if self.scheduler.now >= request.deadline:
            self._finish(request)
            return
        request.question.excluded_runners.append(grant.runner)
        self.scheduler.after(RETRY_PAUSE_S, lambda: self._send(request))

    def _complete(
        self, request: SimulatedRequest, grant: Grant, home: str, engine: SimulatedEngine
    ) -> None:
        engine.running.discard((request.question.request_id, grant.attempt))
        self._report(request, grant, home, AttemptOutcome.COMPLETE)
        self._finish(request)

    def _report(
        self, request: SimulatedRequest, grant: Grant, home: str, outcome: AttemptOutcome
    ) -> None:
        report = AttemptReport(
            grant.request_id, grant.attempt, grant.runner, outcome.value, 4_000, 0, 100, 0.1
        )
        self.network.send(self._agent(request), home, report)

    def _finish(self, request: SimulatedRequest) -> None:
        assert request.finished_at is None, "a second final answer"
        request.finished_at = self.scheduler.now

    # Nodes.

    def _machine(self, index: int) -> Machine:
        zone = self._zones[index % len(self._zones)]
        return Machine(f"runner-{index}", "engine", f"10.1.{index}:80", zone, POOL)

    def _node(self, member: Member) -> SimulatedNode:
        table = RunnerTable()
        view = StaticMemberView(member, self.members)
        ownership: OwnershipLogic | None = None
        parts: list[DecisionLogic] = [table]
        if self._make_logic is not None:
            parts += self._make_logic(self, member, table)
        else:
            ownership = self._ownership(member, view, table)
            parts.append(ownership)
        process = HollowProcess(member.address, parts, self.scheduler, self.network, {})
        process.tell(MachinesListed(self.listed))
        return SimulatedNode(member, view, process, table, ownership)

    def _ownership(
        self, member: Member, view: StaticMemberView, table: RunnerTable
    ) -> OwnershipLogic:
        owners = OwnerMap(view)
        home = HomeLogic(
            owners,
            table,
            ConsistentHashPolicy(),
            lambda: self.configuration,
            member.zone,
            random.Random(self.rng.getrandbits(32)),
        )
        return OwnershipLogic(member.address, home, OwnerLogic(owners, table))

    def _poll(self) -> None:
        """Each node reads the machine list and describes its runners: its own ones only."""
        now = self.scheduler.now
        reports = {
            name: engine.describe(now, self._load_lag_s) for name, engine in self.engines.items()
        }
        for node in self.nodes.values():
            node.process.tell(MachinesListed(self.listed))
            described = self.engines if node.ownership is None else node.ownership.owner.owned
            for name in list(described):
                node.process.tell(RunnerDescribed(name, reports[name]))
        self.scheduler.after(POLL_S, self._poll)


def _configuration() -> ConfigurationView:
    tenant = Tenant(
        requests_per_s=1e6, tokens_per_s=1e9, concurrent_streams=10**6, queue_length=10**6
    )
    documents: dict[tuple[Kind, str], Document] = {
        (Kind.TENANT, TENANT): tenant,
        (Kind.TENANT, OTHER_TENANT): tenant,
        (Kind.POOL, POOL): Pool(model=MODEL, weights_version=VERSION),
        (Kind.ROUTE, POOL): Route(model=MODEL, pool=POOL),
    }
    return ConfigurationView.build(1, documents)
