"""Benchmark of slot ownership: control bytes, CPU, over-granting and recovery, in virtual time.

The nodes run the real decision logic and really encode their messages; engines and agents are
simulated.  CPU is thread time of the decision logic and of the codec on this machine.

See also: :mod:`martenrun.simulation.ownership_cluster`, ``docs/design/ownership.md``.
"""

import collections
import statistics
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass, field
from typing import Any

import click
import msgspec

from martenrun.bench.local_counts import LocalCountsLogic
from martenrun.events import DecisionLogic, Event, Instruction, PeerMessage
from martenrun.membership.view import Member
from martenrun.node.runners import RunnerTable
from martenrun.routing.baselines import ConsistentHashPolicy
from martenrun.simulation.network import SimulatedNetwork
from martenrun.simulation.ownership_cluster import OwnershipCluster
from martenrun.wire.codec import decode, encode
from martenrun.wire.frames import frame_bytes
from martenrun.wire.messages import (
    AttemptReport,
    DecideRequest,
    LeasesVoided,
    Message,
    ReleaseSlots,
    RenewLeases,
    ReserveSlot,
    SlotGranted,
    SlotRefused,
    SlotsQueued,
    WithdrawRequest,
)

SLOTS = 4
SERVICE_S = 2.0
WARM_UP_S = 3.0
CODEC_REPETITIONS = 300
NOTICED_AFTER_S = 2.0
"""When the others see a killed owner go in the recovery run, in seconds."""


class RecordingNetwork(SimulatedNetwork):
    """Counts the messages between nodes and agents by kind."""

    def __init__(self, *arguments: Any) -> None:
        super().__init__(*arguments)
        self.sent: collections.Counter[str] = collections.Counter()
        self.received: collections.Counter[str] = collections.Counter()
        self.samples: dict[str, Message] = {}

    def send(self, sender: str, receiver: str, message: Message) -> None:
        """Count and send."""
        kind = type(message).__name__
        self.samples.setdefault(kind, message)
        self.sent[kind] += not sender.startswith("agent/")
        self.received[kind] += not receiver.startswith("agent/")
        super().send(sender, receiver, message)


HOME_EVENTS = {
    kind.__name__
    for kind in (
        DecideRequest,
        AttemptReport,
        WithdrawRequest,
        SlotGranted,
        SlotsQueued,
        SlotRefused,
        LeasesVoided,
    )
}
OWNER_EVENTS = {kind.__name__ for kind in (ReserveSlot, ReleaseSlots, RenewLeases)}
"""Events that belong to requests; all others (clock, polls) belong to time."""


@dataclass
class CpuTimes:
    """Thread time of single events, in nanoseconds, by kind of event."""

    request_events: set[str]
    by_kind: dict[str, list[int]] = field(default_factory=dict)

    def request_us(self) -> float:
        """Return the time of all events that belong to requests."""
        kinds = self.request_events & self.by_kind.keys()
        return sum(sum(self.by_kind[kind]) for kind in kinds) / 1000

    def background_us(self) -> float:
        """Return the time of the clock and of polled loads and machines."""
        kinds = ("Tick", "RunnerDescribed", "MachinesListed")
        return sum(sum(self.by_kind.get(kind, [])) for kind in kinds) / 1000


@dataclass
class KindTimes:
    """Time of one kind of event, in microseconds."""

    count: int
    median_us: float
    p99_us: float


@dataclass
class OwnershipResult:
    """One run; bytes and messages are what nodes send, per request."""

    policy: str
    nodes: int
    runners: int
    seed: int
    requests: int
    load: float
    refused: int
    rejected_by_engines: int
    first_grant_p50_s: float
    first_grant_p99_s: float
    messages_per_request: float
    bytes_per_request: float
    bytes_with_frames_per_request: float
    bytes_per_request_by_kind: dict[str, float]
    home_us_per_request: float
    owner_us_per_request: float
    codec_us_per_request: float
    background_us_per_node_second: float
    home: dict[str, KindTimes]
    owner: dict[str, KindTimes]


def timed(logic: Any, times: CpuTimes) -> None:
    """Measure the thread time of a part's ``handle`` from now on."""
    handle: Callable[[Event, float], list[Instruction]] = logic.handle

    def measured(event: Event, now: float) -> list[Instruction]:
        started = time.thread_time_ns()
        instructions = handle(event, now)
        spent = time.thread_time_ns() - started
        kind = type(event.message if isinstance(event, PeerMessage) else event).__name__
        times.by_kind.setdefault(kind, []).append(spent)
        return instructions

    logic.handle = measured


def local_counts(
    cluster: OwnershipCluster, member: Member, table: RunnerTable
) -> list[DecisionLogic]:
    """Return the baseline's logic of one node."""
    return [LocalCountsLogic(table, ConsistentHashPolicy(), lambda: cluster.configuration)]


def run(
    nodes: int, runners: int, seed: int, seconds: float, load: float, baseline: bool
) -> OwnershipResult:
    """Run one load and return what it cost; ``load`` is the share of all slots in use."""
    cluster = OwnershipCluster(
        nodes,
        runners,
        seed,
        slots=SLOTS,
        make_logic=local_counts if baseline else None,
        network_class=RecordingNetwork,
        load_lag_s=1.0,
    )
    cluster.scheduler.run_until(WARM_UP_S)
    home, owner = CpuTimes(HOME_EVENTS), CpuTimes(OWNER_EVENTS)
    for node in cluster.nodes.values():
        if node.ownership is not None:
            timed(node.ownership.home, home)
            timed(node.ownership.owner, owner)
    network = cluster.network
    assert isinstance(network, RecordingNetwork)
    before = _node_bytes(cluster)
    network.sent.clear()
    network.received.clear()
    rate = runners * SLOTS / SERVICE_S * load
    ends = WARM_UP_S + seconds
    cluster.load(rate, ends, prefixes=runners * 4, service_s=SERVICE_S)
    cluster.scheduler.run_until(ends + 15 * SERVICE_S)
    requests = list(cluster.requests.values())
    count = len(requests)
    waits = sorted(r.first_grant_s for r in requests if r.first_grant_s is not None)
    sizes = {kind: len(encode(message)) for kind, message in network.samples.items()}
    messages = sum(network.sent.values())
    sent_bytes = _node_bytes(cluster) - before
    frames = sum(frame_bytes(sizes[kind]) * n for kind, n in network.sent.items())
    background_us = home.background_us() + owner.background_us()
    return OwnershipResult(
        "local counts" if baseline else "owners",
        nodes,
        runners,
        seed,
        count,
        load,
        sum(request.refusal is not None for request in requests),
        sum(engine.rejected for engine in cluster.engines.values()),
        round(waits[len(waits) // 2], 4),
        round(waits[len(waits) * 99 // 100], 4),
        round(messages / count, 2),
        round(sent_bytes / count, 1),
        round((sent_bytes + frames) / count, 1),
        {kind: round(sizes[kind] * n / count, 1) for kind, n in network.sent.items() if n},
        round(home.request_us() / count, 1),
        round(owner.request_us() / count, 1),
        round(_codec_us(network) / count, 1),
        round(background_us / nodes / (seconds + 15 * SERVICE_S), 1),
        _summary(home),
        _summary(owner),
    )


def _node_bytes(cluster: OwnershipCluster) -> int:
    traffic = cluster.network.traffic
    return sum(traffic[member.address].sent_bytes for member in cluster.members)


def _codec_us(network: RecordingNetwork) -> float:
    """Return the time that nodes spend on encoding and decoding everything counted."""
    total = 0.0
    for kind, message in network.samples.items():
        data = encode(message)
        started = time.thread_time_ns()
        for _repetition in range(CODEC_REPETITIONS):
            encode(message)
        encoded = time.thread_time_ns()
        for _repetition in range(CODEC_REPETITIONS):
            decode(data)
        decoded = time.thread_time_ns()
        encode_us = (encoded - started) / CODEC_REPETITIONS / 1000
        decode_us = (decoded - encoded) / CODEC_REPETITIONS / 1000
        total += encode_us * network.sent[kind] + decode_us * network.received[kind]
    return total


def _summary(times: CpuTimes) -> dict[str, KindTimes]:
    found: dict[str, KindTimes] = {}
    for kind in sorted(times.request_events & times.by_kind.keys()):
        ordered = sorted(times.by_kind[kind])
        found[kind] = KindTimes(
            len(ordered),
            round(statistics.median(ordered) / 1000, 1),
            round(ordered[len(ordered) * 99 // 100] / 1000, 1),
        )
    return found


@dataclass
class RecoveryResult:
    """What the death of an owner costs; times count from its death, in seconds."""

    nodes: int
    runners: int
    owned_runners: int
    noticed_after_s: float
    first_work_median_s: float
    first_work_max_s: float
    rejected_by_engines: int
    refused: int
    requests: int


def recover(nodes: int, runners: int, seed: int, load: float) -> RecoveryResult:
    """Kill the owner of most runners under load and see when its runners get work again."""
    cluster = OwnershipCluster(nodes, runners, seed, slots=SLOTS, load_lag_s=1.0)
    rate = runners * SLOTS / SERVICE_S * load
    cluster.load(rate, 14.0, prefixes=runners * 4, service_s=SERVICE_S)
    killed_at = 8.0
    cluster.scheduler.run_until(killed_at)
    by_size = {a: len(n.ownership.owner.owned) for a, n in cluster.nodes.items() if n.ownership}
    killed = max(by_size, key=lambda address: by_size[address])
    node = cluster.nodes[killed]
    assert node.ownership is not None
    names = list(node.ownership.owner.owned)
    cluster.kill_node(killed, NOTICED_AFTER_S)
    first_work: dict[str, float] = {}
    # Grants that were on their way when the owner died do not count as recovery.
    now = killed_at + 0.2
    while now < 14.0 and len(first_work) < len(names):
        now += 0.05
        cluster.scheduler.run_until(now)
        for name in names:
            if cluster.engines[name].last_start > killed_at + 0.2:
                first_work.setdefault(name, now - killed_at)
    cluster.scheduler.run_until(40.0)
    requests = cluster.requests.values()
    worked = sorted(first_work.get(name, float("inf")) for name in names)
    return RecoveryResult(
        nodes,
        runners,
        len(names),
        NOTICED_AFTER_S,
        round(statistics.median(worked), 2),
        round(worked[-1], 2),
        sum(engine.rejected for engine in cluster.engines.values()),
        sum(request.refusal is not None for request in requests),
        len(requests),
    )


@click.command()
@click.option("--nodes", default=20, show_default=True, help="Nodes.")
@click.option("--runners", default=640, show_default=True, help="Runners of four slots.")
@click.option("--seed", default=1, show_default=True, help="Seed of the run.")
@click.option("--seconds", default=5.0, show_default=True, help="Virtual seconds of load.")
@click.option("--load", default=0.95, show_default=True, help="Share of the slots in use.")
@click.option("--baseline/--no-baseline", default=True, help="Also run without owners.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON line.")
def ownership(
    nodes: int,
    runners: int,
    seed: int,
    seconds: float,
    load: float,
    baseline: bool,
    as_json: bool,
) -> None:
    """Cost of leasing runners' slots, against nodes that count only their own grants."""
    results: dict[str, Any] = {
        "owners": asdict(run(nodes, runners, seed, seconds, load, baseline=False)),
        "recovery": asdict(recover(nodes, runners, seed, load=0.8)),
    }
    if baseline:
        results["local_counts"] = asdict(run(nodes, runners, seed, seconds, load, baseline=True))
    text = msgspec.json.encode(results)
    click.echo((text if as_json else msgspec.json.format(text)).decode())
