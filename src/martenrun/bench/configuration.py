"""Measures how configuration spreads over many hollow nodes and agents in virtual time.

The real decision logic exchanges really encoded messages.  With ideal members every node knows
all others, also those that are cut off or restarting, and the costs are those of configuration
alone.  With gossip each node runs the real membership, whose costs are then in the figures.
"""

import gc
import json
import random
import statistics
import time
import tracemalloc
from dataclasses import asdict, dataclass, field

import click

from martenrun.agent.configuration import AgentConfigurationLogic
from martenrun.configuration.state import ConfigurationState
from martenrun.events import DecisionLogic, Event
from martenrun.membership.gossip import GossipMembership
from martenrun.membership.view import Member, MemberView, StaticMemberView
from martenrun.node.configuration import NodeConfigurationLogic
from martenrun.settings.model import MembershipSettings
from martenrun.simulation.hollow import HollowProcess
from martenrun.simulation.network import LinkFaults, SimulatedNetwork
from martenrun.simulation.scheduler import Scheduler
from martenrun.simulation.store import SimulatedStore, StoreFaults
from martenrun.wire.codec import decode, encode
from martenrun.wire.messages import ConfigurationObject, ConfigurationUpdate

CHANGES_PER_DAY = 28_000
REGIONS = 3
ZONES = 6
WARM_UP_S = 20.0
SETTLING_S = 20.0
"""Time after the last change in which it must be in force everywhere, in seconds."""
HOLLOW_TICK_S = 0.25
GOSSIP_TICK_S = 0.1
"""Tick of nodes with real membership, as in a process, in seconds."""
SEED_NODES = 5
STATE_SAMPLE_OBJECTS = 10_200
"""One tenant and one key for each of 5,100 tenants."""
SAMPLE_CHANGES = 40


@dataclass(frozen=True)
class Scenario:
    """What is simulated."""

    nodes: int
    agents: int
    seed: int
    loss: float
    duration_s: float
    cut_s: float
    objects: int
    gossip: bool = False


@dataclass(frozen=True)
class Spread:
    """Quantiles of times, in seconds."""

    p50_s: float
    p99_s: float
    max_s: float
    samples: int


@dataclass(frozen=True)
class SpreadResult:
    """What one run measured; bytes and messages are per node and second, both directions.

    ``in_force`` counts from the commit, for processes that were not cut off meanwhile;
    ``in_force_after_cut`` counts from the healing of the cut, for those that were.
    """

    scenario: Scenario
    changes: int
    in_force: Spread
    in_force_after_cut: Spread
    never_in_force: int
    node_bytes_per_s: float
    node_bytes_per_s_max: float
    node_messages_per_s: float
    agent_bytes_per_s: float
    store_calls_per_s: float
    restart_copy: Spread
    restart_store_calls_in_first_s: int
    restart_store_calls_per_s: float
    state_bytes_per_object: float
    change_cpu_ms: float
    cpu_ms_per_process_s: float


@dataclass
class _Change:
    version: int
    committed_at: float
    in_force_at: dict[str, float] = field(default_factory=dict)


class _Observed(HollowProcess):
    """A hollow process that notes when a revision is in force."""

    def observe(self, world: "_World", state: ConfigurationState) -> None:
        self._world = world
        self._state = state
        self._seen = 0

    def tell(self, event: Event) -> None:
        super().tell(event)
        if self._state.revision > self._seen:
            self._world.advanced(self.name, self._seen, self._state.revision)
            self._seen = self._state.revision


class _World:
    """The object API, nodes and agents of a scenario."""

    def __init__(self, scenario: Scenario) -> None:
        self.scenario = scenario
        self.scheduler = Scheduler()
        self.rng = random.Random(scenario.seed)
        faults = LinkFaults(delay_s=0.002, jitter_s=0.002, loss=scenario.loss)
        self.network = SimulatedNetwork(self.scheduler, self.rng, faults)
        self.store = SimulatedStore(self.scheduler, self.rng, StoreFaults())
        self.changes: list[_Change] = []
        self.copied_at: dict[str, float] = {}
        self.processes: dict[str, _Observed] = {}
        self.members = [
            Member(f"10.{n // 250}.{n % 250}.1:7000", f"zone-{n % ZONES}", f"region-{n % REGIONS}")
            for n in range(scenario.nodes)
        ]
        self.node_names = [member.address for member in self.members]
        self.agent_names = [f"agent/{n}" for n in range(scenario.agents)]
        for number in range(scenario.objects):
            document = {"weight": 1.0 + number % 7}
            self.store.write("tenants", f"initial-{number}", 0, json.dumps(document).encode())

    def start_nodes(self, run: int) -> None:
        """Start every node, or start it again with nothing."""
        for member in self.members:
            name = member.address
            if name in self.processes:
                self.processes[name].kill()
            members, parts = self._membership(member, run)
            logic = NodeConfigurationLogic(
                name,
                self.node_names[:SEED_NODES],
                members,
                random.Random(f"{self.scenario.seed}/{name}/{run}"),
            )
            self._start(name, logic, parts)

    def _membership(self, member: Member, run: int) -> tuple[MemberView, list[DecisionLogic]]:
        """Return a node's view of the members, and the logic that keeps it."""
        if not self.scenario.gossip:
            return StaticMemberView(member, self.members), []
        rng = random.Random(f"{self.scenario.seed}/{member.address}/members/{run}")
        seeds = self.node_names[:SEED_NODES]
        view = GossipMembership(member, seeds, MembershipSettings(), rng)
        return view, [view]

    def start_agents(self) -> None:
        """Start every agent."""
        for name in self.agent_names:
            rng = random.Random(f"{self.scenario.seed}/{name}")
            self._start(name, AgentConfigurationLogic(self.node_names[:SEED_NODES], rng), [])

    def _start(
        self,
        name: str,
        logic: NodeConfigurationLogic | AgentConfigurationLogic,
        others: list[DecisionLogic],
    ) -> None:
        carriers = self.store.carriers(name, lambda event: self.processes[name].tell(event))
        process = _Observed(
            name,
            [*others, logic],
            self.scheduler,
            self.network,
            carriers,
            tick_interval_s=GOSSIP_TICK_S if self.scenario.gossip else HOLLOW_TICK_S,
        )
        process.observe(self, logic.state)
        self.processes[name] = process

    def advanced(self, name: str, before: int, revision: int) -> None:
        """Note that a process has advanced."""
        if before == 0:
            self.copied_at[name] = self.scheduler.now
        for change in reversed(self.changes):
            if change.version <= before:
                break
            if change.version <= revision:
                change.in_force_at.setdefault(name, self.scheduler.now)

    def publish_until(self, until: float) -> None:
        """Publish changes at random times with the daily rate."""
        due = self.scheduler.now + self.rng.expovariate(CHANGES_PER_DAY / 86_400)
        while due < until:
            self.scheduler.run_until(due)
            name = f"changed-{len(self.changes)}"
            document = json.dumps({"weight": 1.0 + len(self.changes) % 9}).encode()
            # Noted before the commit: the store wakes watchers within the write.
            change = _Change(self.store.store.list_all().revision + 1, due)
            self.changes.append(change)
            version = self.store.write("tenants", name, 0, document)
            assert version == change.version
            due += self.rng.expovariate(CHANGES_PER_DAY / 86_400)
        self.scheduler.run_until(until)


def run(scenario: Scenario) -> SpreadResult:
    """Run a scenario: changes, a region cut for part of it, then a restart of all nodes."""
    cpu_before = time.process_time()
    world = _World(scenario)
    world.start_nodes(run=0)
    world.start_agents()
    world.scheduler.run_until(WARM_UP_S)
    traffic_before, calls_before = _bytes(world), world.store.calls
    messages_before = _messages(world, world.node_names)
    cut = _cut_names(world)
    cut_from = WARM_UP_S + scenario.duration_s / 3
    cut_until = cut_from + scenario.cut_s
    world.publish_until(cut_from)
    world.network.cut([sorted(cut)])
    world.store.unreachable = set(cut)
    world.publish_until(cut_until)
    world.network.heal()
    world.store.unreachable = set()
    world.publish_until(WARM_UP_S + scenario.duration_s)
    seconds = scenario.duration_s
    traffic = {name: _bytes(world)[name] - traffic_before[name] for name in traffic_before}
    node_bytes = [traffic[name] / seconds for name in world.node_names]
    agent_bytes = [traffic[name] / seconds for name in world.agent_names]
    messages = (_messages(world, world.node_names) - messages_before) / seconds / scenario.nodes
    calls = (world.store.calls - calls_before) / seconds
    world.scheduler.run_until(world.scheduler.now + SETTLING_S)
    simulated_s = world.scheduler.now
    cpu_s = time.process_time() - cpu_before
    bytes_per_object, change_cpu_ms = state_costs()
    direct, healed, never = _times(world, cut, cut_from, cut_until)
    restart_copy, first_calls, restart_calls = _restart_all(world)
    return SpreadResult(
        scenario=scenario,
        changes=len(world.changes),
        in_force=_spread(direct),
        in_force_after_cut=_spread(healed),
        never_in_force=never,
        node_bytes_per_s=round(sum(node_bytes) / len(node_bytes), 1),
        node_bytes_per_s_max=round(max(node_bytes), 1),
        node_messages_per_s=round(messages, 2),
        agent_bytes_per_s=round(sum(agent_bytes) / max(1, len(agent_bytes)), 1),
        store_calls_per_s=round(calls, 2),
        restart_copy=restart_copy,
        restart_store_calls_in_first_s=first_calls,
        restart_store_calls_per_s=restart_calls,
        state_bytes_per_object=round(bytes_per_object, 1),
        change_cpu_ms=round(change_cpu_ms, 3),
        cpu_ms_per_process_s=round(1000 * cpu_s / simulated_s / len(world.processes), 3),
    )


def _cut_names(world: _World) -> set[str]:
    nodes = {member.address for member in world.members if member.region == "region-1"}
    return nodes | set(world.agent_names[1::REGIONS])


def _bytes(world: _World) -> dict[str, int]:
    return {
        name: entry.sent_bytes + entry.received_bytes
        for name, entry in world.network.traffic.items()
    }


def _messages(world: _World, names: list[str]) -> int:
    entries = [world.network.traffic[name] for name in names]
    return sum(entry.sent_messages + entry.received_messages for entry in entries)


def _times(
    world: _World, cut: set[str], cut_from: float, cut_until: float
) -> tuple[list[float], list[float], int]:
    direct: list[float] = []
    healed: list[float] = []
    never = 0
    for change in world.changes:
        for name in world.processes:
            at = change.in_force_at.get(name)
            if at is None:
                never += 1
            elif name in cut and cut_from <= at and change.committed_at < cut_until <= at:
                healed.append(at - cut_until)
            else:
                direct.append(at - change.committed_at)
    return direct, healed, never


def _restart_all(world: _World) -> tuple[Spread, int, float]:
    """Restart all nodes at the same moment, with the store up, for 30 seconds."""
    begin, calls = world.scheduler.now, world.store.calls
    world.copied_at.clear()
    world.start_nodes(run=1)
    world.scheduler.run_until(begin + 1.0)
    first_calls = world.store.calls - calls
    world.scheduler.run_until(begin + 30.0)
    rate = round((world.store.calls - calls) / 30.0, 2)
    return _spread([at - begin for at in world.copied_at.values()]), first_calls, rate


def _spread(times: list[float]) -> Spread:
    ordered = sorted(times) or [0.0]
    at = [ordered[min(len(ordered) - 1, int(share * len(ordered)))] for share in (0.5, 0.99)]
    return Spread(round(at[0], 3), round(at[1], 3), round(ordered[-1], 3), len(times))


def state_costs() -> tuple[float, float]:
    """Return memory per object and CPU (ms, median) per change of a state with many objects.

    The objects come as they do from the network, where no text is that of another object.
    """
    encoded = encode(_sample_copy())
    _decoded_copy(encoded)  # Loads what decoding needs.
    tracemalloc.start()
    before, _peak = tracemalloc.get_traced_memory()
    state = ConfigurationState()
    state.apply(_decoded_copy(encoded))
    gc.collect()
    after, _peak = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    times = [_change_cpu_s(state) for _ in range(SAMPLE_CHANGES)]
    return (after - before) / STATE_SAMPLE_OBJECTS, 1000 * statistics.median(times)


def _sample_copy() -> ConfigurationUpdate:
    """Return a copy of a configuration that holds tenants and a key of each."""
    objects = []
    for number in range(STATE_SAMPLE_OBJECTS // 2):
        name = f"tenant-{number}"
        tenant = json.dumps({"weight": 1.0 + number % 9}).encode()
        key = json.dumps({"tenant": name, "key_sha256": f"{number:064x}"}).encode()
        objects.append(ConfigurationObject("tenants", name, 2 * number + 1, False, tenant))
        objects.append(ConfigurationObject("keys", f"{name}-key", 2 * number + 2, False, key))
    return ConfigurationUpdate(0, len(objects), objects)


def _decoded_copy(encoded: bytes) -> ConfigurationUpdate:
    message = decode(encoded)
    assert isinstance(message, ConfigurationUpdate)
    return message


def _change_cpu_s(state: ConfigurationState) -> float:
    revision = state.revision + 1
    changed = ConfigurationObject("tenants", "tenant-5", revision, False, b'{"weight": 2}')
    begin = time.process_time()
    state.apply(ConfigurationUpdate(state.revision, revision, [changed]))
    return time.process_time() - begin


@click.command()
@click.option("--nodes", default=370, show_default=True)
@click.option("--agents", default=None, type=int, help="By default one for each node.")
@click.option("--seed", default=1, show_default=True)
@click.option("--loss", default=0.05, show_default=True, help="Probability per message.")
@click.option("--duration-s", default=300.0, show_default=True, help="Virtual time of changes.")
@click.option("--cut-s", default=60.0, show_default=True, help="How long a region is cut off.")
@click.option("--objects", default=200, show_default=True, help="Objects published before.")
@click.option(
    "--members",
    type=click.Choice(["ideal", "gossip"]),
    default="ideal",
    show_default=True,
    help="Whether nodes know all others, or run the real membership.",
)
@click.option("--json", "as_json", is_flag=True, help="Print one JSON line.")
def configuration(
    agents: int | None, as_json: bool, nodes: int, members: str, **options: float
) -> None:
    """Measure how configuration changes spread over hollow nodes and agents."""
    scenario = Scenario(
        nodes=nodes,
        agents=nodes if agents is None else agents,
        seed=int(options["seed"]),
        loss=options["loss"],
        duration_s=options["duration_s"],
        cut_s=options["cut_s"],
        objects=int(options["objects"]),
        gossip=members == "gossip",
    )
    result = asdict(run(scenario))
    if as_json:
        click.echo(json.dumps(result))
        return
    for name, value in result.items():
        click.echo(f"{name:<34}{value}")
