"""The phases of a scale run: start, idle, load, changes of configuration, faults."""

import gc
import resource
import time
from collections.abc import Callable, Iterator, Mapping
from contextlib import contextmanager

from martenrun.bench.scale.cluster import HollowNode, Outcomes, ScaleCluster
from martenrun.bench.scale.observe import (
    PhaseMeter,
    codec_us_per_message,
    dearest,
    role,
    times_until,
)
from martenrun.bench.scale.platform import Publisher, region_name, zone_name
from martenrun.bench.scale.report import (
    FaultResult,
    LoadResult,
    ScaleReport,
    Scenario,
    Usage,
    spread,
)
from martenrun.bench.scale.timing import MICROSECONDS_PER_S

START_LIMIT_S = 60.0
CHANGE_LIMIT_S = 30.0
CHANGE_PAUSE_S = 0.5
FAULT_LIMIT_S = 60.0
AFTER_FAULT_S = 5.0
SETTLE_S = 5.0
CUT_S = 20.0
DRAIN_S = 12.0
FAULT_LOAD_PER_NODE_S = 1.0
DEAREST_COUNT = 12
WATCHED_EVENT = "StoreWatched"
KIBIBYTE = 1024
BYTES_PER_GIGABYTE = 1_000_000_000

QUESTION_EVENTS = (
    "DecideRequest",
    "WithdrawRequest",
    "AttemptReport",
    "ReserveSlot",
    "SlotGranted",
    "SlotRefused",
    "SlotsQueued",
    "ReleaseSlots",
    "RenewLeases",
    "LeasesVoided",
)
"""Events that requests cause at homes and owners."""


Progress = Callable[[str], None]
"""Is told one line at the end of each phase."""


def _tell_nobody(_line: str) -> None:
    pass


class ScaleRun:
    """One run of a scenario.

    Args:
        scenario: size, load and faults.
        progress: is told the end of each phase.
    """

    def __init__(self, scenario: Scenario, progress: Progress = _tell_nobody) -> None:
        self._scenario = scenario
        self._progress = progress
        # Before the heap of all nodes together is there, which no real node has.
        self._codec_us = codec_us_per_message()
        self._cluster = ScaleCluster(
            scenario.nodes, scenario.runners, scenario.agents, scenario.seed
        )
        self._publisher = Publisher(self._cluster.store, scenario.tenants, self._cluster.rng)
        self._revision = 0

    def run(self) -> ScaleReport:
        """Run every phase."""
        started = time.monotonic()
        with self._phase("start"), _heap_frozen_after():
            start_s = self._start()
        with self._phase("idle"):
            idle_node, idle_agent = self._idle()
        with self._phase("load"):
            load = self._load(idle_node, idle_agent)
        with self._phase("changes"):
            changes = self._changes()
            watcher_us = self._watcher_cpu_us()
        faults = self._faults() if self._scenario.with_faults else []
        gc.unfreeze()
        peak = _peak_memory_bytes()
        return ScaleReport(
            self._scenario,
            round(start_s, 2),
            self._codec_us,
            idle_node,
            idle_agent,
            load,
            spread(changes),
            watcher_us,
            faults,
            peak,
            round(time.monotonic() - started, 1),
        )

    @contextmanager
    def _phase(self, name: str) -> Iterator[None]:
        """Tell what a phase took; processor time is the simulation's too."""
        virtual_s, cpu_s = self._cluster.scheduler.now, time.process_time()
        yield
        virtual_s = self._cluster.scheduler.now - virtual_s
        cpu_s = time.process_time() - cpu_s
        gigabytes = _peak_memory_bytes() / BYTES_PER_GIGABYTE
        self._progress(
            f"{name}: {virtual_s:.1f} virtual s, {cpu_s:.1f} s of processor time, "
            f"peak memory {gigabytes:.2f} GB"
        )

    def _start(self) -> float:
        """Start everything at once; return when the last node was ready."""
        self._revision = self._publisher.publish_all()
        start_s = max(times_until(self._cluster, self._is_whole, START_LIMIT_S))
        self._advance(SETTLE_S)
        return start_s

    def _is_whole(self, node: HollowNode) -> bool:
        """Whether a node sees all nodes and has the configuration in force."""
        sees_all = len(node.parts.membership.live()) == self._scenario.nodes
        return sees_all and self._is_configured(node)

    def _is_configured(self, node: HollowNode) -> bool:
        return node.parts.view().revision >= self._revision

    def _idle(self) -> tuple[Usage, Usage]:
        meter = PhaseMeter(self._cluster)
        self._advance(self._scenario.phase_s)
        return meter.node_usage(), meter.agent_usage()

    def _load(self, idle_node: Usage, idle_agent: Usage) -> LoadResult:
        cluster = self._cluster
        outcomes = cluster.outcomes = Outcomes()
        meter = PhaseMeter(cluster)
        cluster.network.forget_kinds()
        begin_s = cluster.scheduler.now
        rate = self._scenario.requests_per_node_s * self._scenario.nodes
        cluster.load(rate, begin_s + self._scenario.phase_s, self._publisher.tenants)
        self._advance(self._scenario.phase_s + DRAIN_S)
        elapsed_s = cluster.scheduler.now - begin_s
        node, agent = meter.node_usage(), meter.agent_usage()
        per_node = self._scenario.nodes * elapsed_s / max(1, outcomes.asked)
        per_agent = self._scenario.agents * elapsed_s / max(1, outcomes.asked)
        return LoadResult(
            outcomes.asked,
            outcomes.whole,
            outcomes.refused,
            sum(runner.rejected for runner in cluster.runners.values()),
            spread(outcomes.decision_s),
            round((node.cpu_us_per_s - idle_node.cpu_us_per_s) * per_node, 1),
            round(_question_cpu_us(node.cpu_us_per_s_by_event) * per_node, 1),
            round((agent.cpu_us_per_s - idle_agent.cpu_us_per_s) * per_agent, 1),
            round((node.sent_bytes_per_s - idle_node.sent_bytes_per_s) * per_node, 1),
            round((agent.sent_bytes_per_s - idle_agent.sent_bytes_per_s) * per_agent, 1),
            round((node.sent_messages_per_s - idle_node.sent_messages_per_s) * per_node, 2),
            dearest(cluster.node_meter, DEAREST_COUNT),
            cluster.network.kinds(lambda name: role(name) == "node", max(1, outcomes.asked)),
        )

    def _changes(self) -> list[float]:
        """Publish changes over a lossy network; return when each was in force at each node."""
        self._cluster.network.faults.loss = self._scenario.loss
        self._cluster.node_meter.reset()
        times: list[float] = []
        for _ in range(self._scenario.changes):
            self._revision = self._publisher.publish_change()
            times += times_until(self._cluster, self._is_configured, CHANGE_LIMIT_S)
            self._advance(CHANGE_PAUSE_S)
        return times

    def _watcher_cpu_us(self) -> float:
        """Return what one watcher spent on each change since the meter was reset."""
        nodes = self._cluster.nodes.values()
        watchers = sum(node.parts.configuration.watching.holds_lease for node in nodes)
        spent_s = self._cluster.node_meter.by_event().get(WATCHED_EVENT, 0.0)
        told = watchers * self._scenario.changes
        return round(spent_s * MICROSECONDS_PER_S / told, 1) if told else 0.0

    def _faults(self) -> list[FaultResult]:
        return [self._herd_with_store_down(), self._zone_lost(), self._region_cut()]

    def _herd_with_store_down(self) -> FaultResult:
        """Restart a tenth of the nodes at once while the object API is down."""
        cluster = self._cluster
        cluster.store.faults.down = True
        victims = cluster.addresses[:: max(1, min(10, self._scenario.nodes))]
        indexes = [cluster.kill_node(address).index for address in victims]
        for index in indexes:
            cluster.start_node(index)
        result = self._observe("a tenth restarted, store down", None, self._is_whole)
        cluster.store.faults.down = False
        return result

    def _zone_lost(self) -> FaultResult:
        """Kill every node of one zone; start them again after the others have noticed."""
        lost = [a for i, a in enumerate(self._cluster.addresses) if zone_name(i) == zone_name(1)]
        indexes = [self._cluster.kill_node(address).index for address in lost]
        lost_set = frozenset(lost)

        def has_noticed(node: HollowNode) -> bool:
            return not any(m.address in lost_set for m in node.parts.membership.live())

        def start_again() -> None:
            for index in indexes:
                self._cluster.start_node(index)

        return self._observe(
            "a zone lost and started again", has_noticed, self._is_whole, start_again
        )

    def _region_cut(self) -> FaultResult:
        """Cut one region off for a while, publish a change meanwhile, then heal."""
        cluster = self._cluster
        cut = [a for i, a in enumerate(cluster.addresses) if region_name(i) == region_name(1)]
        cut_set = frozenset(cut)
        cut += [
            agent.process.name
            for index, agent in enumerate(cluster.agents)
            if region_name(index) == region_name(1)
        ]
        cluster.network.cut([cut])
        cluster.store.unreachable = set(cut)

        def has_noticed(node: HollowNode) -> bool:
            own_side = node.process.name in cut_set
            live = node.parts.membership.live()
            return all((member.address in cut_set) == own_side for member in live)

        def heal() -> None:
            self._revision = self._publisher.publish_change()
            self._advance(CUT_S)
            cluster.network.heal()
            cluster.store.unreachable = set()

        return self._observe("a region cut off and healed", has_noticed, self._is_whole, heal)

    def _observe(
        self,
        fault: str,
        has_noticed: Callable[[HollowNode], bool] | None,
        has_recovered: Callable[[HollowNode], bool],
        end_fault: Callable[[], None] | None = None,
    ) -> FaultResult:
        """Keep a light load going through a fault and time what the nodes see."""
        with self._phase(fault):
            return self._observed(fault, has_noticed, has_recovered, end_fault)

    def _observed(
        self,
        fault: str,
        has_noticed: Callable[[HollowNode], bool] | None,
        has_recovered: Callable[[HollowNode], bool],
        end_fault: Callable[[], None] | None,
    ) -> FaultResult:
        cluster = self._cluster
        outcomes = cluster.outcomes = Outcomes()
        rate = FAULT_LOAD_PER_NODE_S * self._scenario.nodes
        cluster.load(rate, cluster.scheduler.now + FAULT_LIMIT_S, self._publisher.tenants)
        noticed: list[float] = []
        if has_noticed is not None:
            noticed = times_until(cluster, has_noticed, FAULT_LIMIT_S)
        if end_fault is not None:
            end_fault()
        recovered = times_until(cluster, has_recovered, FAULT_LIMIT_S)
        self._advance(AFTER_FAULT_S)
        cluster.stop_load()
        self._advance(DRAIN_S)
        return FaultResult(
            fault,
            spread(noticed),
            spread(recovered),
            outcomes.asked,
            outcomes.whole,
            outcomes.refused,
        )

    def _advance(self, seconds: float) -> None:
        scheduler = self._cluster.scheduler
        scheduler.run_until(scheduler.now + seconds)


def _question_cpu_us(by_event: Mapping[str, float]) -> float:
    return sum(by_event.get(event, 0.0) for event in QUESTION_EVENTS)


@contextmanager
def _heap_frozen_after() -> Iterator[None]:
    """Keep the collector of cyclic garbage from walking the started nodes again and again.

    A collection that one real node would make over its own heap would walk those of all.
    """
    gc.disable()
    yield
    gc.collect()
    gc.freeze()
    gc.enable()


def _peak_memory_bytes() -> int:
    return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss * KIBIBYTE
