"""Measures membership over many hollow nodes in virtual time, with real encoded messages.

CPU times hold the simulated network and clock too, so they are upper bounds.
"""

import functools
import json
import statistics
import time
from collections.abc import Callable
from dataclasses import asdict, dataclass

import click

from martenrun.events import LeaveRequested
from martenrun.membership.record import MemberStatus
from martenrun.simulation.members import ZONES, MemberCluster
from martenrun.simulation.network import LinkFaults

LIMIT_S = 180.0
"""Longest virtual time waited for anything."""
HERD_SHARE = 0.1
HERD_DOWN_S = 2.0
"""How long a restarting node is away, in seconds."""
CUT_S = 30.0
"""How long a cut goes on after both sides have noticed it."""
RESTART_SETTLE_S = 15.0
"""Time given to the news of a restart, in seconds."""
SETTLE_S = 20.0
STEP_S = 0.25
"""Resolution of the times to notice, in seconds."""


@dataclass(frozen=True)
class Cost:
    """What a node spends, per second; only what it sends is counted.

    ``busiest_bytes`` are of the node that sent most.
    """

    sent_bytes: float
    sent_messages: float
    cpu_us: float
    busiest_bytes: float
    worst_second_bytes: float
    worst_second_busiest_bytes: float


@dataclass(frozen=True)
class Restart:
    """What the restart of one node costs each node, above the cost without changes.

    Attributes:
        restarts: nodes that were restarted one after another; the figures are their mean.
    """

    restarts: int
    sent_bytes: float
    sent_messages: float
    cpu_us: float


@dataclass(frozen=True)
class Quantiles:
    """Quantiles of times, in seconds."""

    p50_s: float
    p99_s: float
    max_s: float
    samples: int


@dataclass(frozen=True)
class Result:
    """Everything measured for one size; times in virtual seconds."""

    nodes: int
    seed: int
    loss: float
    start_s: float
    idle: Cost
    false_suspicions_per_node_hour: float
    false_deaths: int
    notice_death: Quantiles
    notice_leaving: Quantiles
    herd_restart_s: float
    herd: Cost
    restart: Restart
    zone_lost_s: float
    zone: Cost
    zone_back_s: float
    region_cut_s: float
    cut: Cost
    region_heal_s: float
    heal: Cost


Action = Callable[[], float | None]
Removal = Callable[[str], None]


@dataclass
class WorstSecond:
    """The greatest bytes of any virtual second: of the mean and of the busiest node."""

    mean_bytes: float = 0.0
    busiest_bytes: int = 0


class SecondMeter:
    """Looks at what nodes send in each virtual second, until it is stopped."""

    def __init__(self, cluster: MemberCluster) -> None:
        self._cluster = cluster
        self._worst = WorstSecond()
        self._is_running = True
        self._before = self._sent()
        cluster.scheduler.after(1.0, self._look)

    def stop(self) -> WorstSecond:
        """Return the worst whole second so far."""
        self._is_running = False
        return self._worst

    def _look(self) -> None:
        if not self._is_running:
            return
        now = self._sent()
        sent = [total - self._before.get(name, 0) for name, total in now.items()]
        self._before = now
        self._worst.mean_bytes = max(self._worst.mean_bytes, statistics.fmean(sent))
        self._worst.busiest_bytes = max(self._worst.busiest_bytes, max(sent))
        self._cluster.scheduler.after(1.0, self._look)

    def _sent(self) -> dict[str, int]:
        return {name: t.sent_bytes for name, t in self._cluster.network.traffic.items()}


class MembershipBench:
    """One run over a cluster of ``nodes`` hollow nodes."""

    def __init__(
        self, nodes: int, seed: int, loss: float, deaths: int, restarts: int, idle_s: float
    ) -> None:
        self._seed = seed
        self._loss = loss
        self._deaths = deaths
        self._restarts = restarts
        self._idle_s = idle_s
        self._cluster = MemberCluster(nodes, seed, LinkFaults(loss=loss))

    def run(self) -> Result:
        """Run every scenario, one after another."""
        cluster = self._cluster
        cluster.run(1.0)
        start_s = self._until_agreed()
        cluster.run(SETTLE_S)
        idle, suspicions, false_deaths = self._idle()
        notice_death = self._notice(self._kill)
        notice_leaving = self._notice(self._leave)
        herd_restart_s, herd = self._costed(self._herd)
        restart = self._restart(idle)
        zone_lost_s, zone = self._costed(self._lose_zone)
        zone_back_s = self._zone_back()
        region_cut_s, cut = self._costed(self._cut_region)
        cluster.run(CUT_S)
        region_heal_s, heal = self._costed(self._heal)
        return Result(
            nodes=len(cluster.addresses),
            seed=self._seed,
            loss=self._loss,
            start_s=start_s,
            idle=idle,
            false_suspicions_per_node_hour=suspicions,
            false_deaths=false_deaths,
            notice_death=notice_death,
            notice_leaving=notice_leaving,
            herd_restart_s=herd_restart_s,
            herd=herd,
            restart=restart,
            zone_lost_s=zone_lost_s,
            zone=zone,
            zone_back_s=zone_back_s,
            region_cut_s=region_cut_s,
            cut=cut,
            region_heal_s=region_heal_s,
            heal=heal,
        )

    def _until_agreed(self) -> float:
        return self._cluster.run_until(self._cluster.agrees, LIMIT_S, STEP_S)

    def _idle(self) -> tuple[Cost, float, int]:
        """Return the cost without changes, false suspicions per node and hour, false deaths."""
        cluster = self._cluster
        suspected: set[tuple[str, str]] = set()
        suspicions = deaths = 0

        def look() -> None:
            nonlocal suspected, suspicions, deaths
            present = set()
            for viewer, view in cluster.views.items():
                for address, status in view.statuses().items():
                    if status is MemberStatus.SUSPECTED:
                        present.add((viewer, address))
                    deaths += status is MemberStatus.DEAD
            # A suspicion is counted once, however many nodes hear of it.
            known = {address for _viewer, address in suspected}
            suspicions += len({address for _viewer, address in present} - known)
            suspected = present

        _none, cost = self._costed(lambda: cluster.run(self._idle_s))
        before = cluster.scheduler.now
        while cluster.scheduler.now < before + self._idle_s:
            cluster.run(STEP_S)
            look()
        node_hours = len(cluster.views) * self._idle_s / 3600
        return cost, round(suspicions / node_hours, 3), deaths

    def _costed(self, action: Action) -> tuple[float, Cost]:
        """Return an action's own result, and each node's mean cost per virtual second."""
        traffic = self._cluster.network.traffic
        before = {name: (t.sent_bytes, t.sent_messages) for name, t in traffic.items()}
        seconds = SecondMeter(self._cluster)
        virtual, cpu = self._cluster.scheduler.now, time.process_time()
        result = action()
        cpu_s = time.process_time() - cpu
        worst = seconds.stop()
        node_s = (self._cluster.scheduler.now - virtual) * len(before)
        sent_bytes = sum(t.sent_bytes - before[name][0] for name, t in traffic.items())
        messages = sum(t.sent_messages - before[name][1] for name, t in traffic.items())
        cost = Cost(
            round(sent_bytes / node_s, 1),
            round(messages / node_s, 2),
            round(cpu_s / node_s * 1e6, 1),
            round(
                max(t.sent_bytes - before[name][0] for name, t in traffic.items())
                / (self._cluster.scheduler.now - virtual),
                1,
            ),
            round(worst.mean_bytes, 1),
            worst.busiest_bytes,
        )
        return result or 0.0, cost

    def _notice(self, remove: Removal) -> Quantiles:
        """Remove nodes one after another; time until each other node does not use it."""
        cluster = self._cluster
        times: list[float] = []
        for _ in range(self._deaths):
            address = cluster.rng.choice(cluster.addresses[ZONES:])
            remove(address)
            waiting = set(cluster.views) - {address}
            started = cluster.scheduler.now
            while waiting and cluster.scheduler.now - started < LIMIT_S:
                cluster.run(STEP_S)
                noticed = {a for a in waiting if address not in cluster.live_seen_by(a)}
                times += [cluster.scheduler.now - started] * len(noticed)
                waiting -= noticed
            times += [LIMIT_S] * len(waiting)
            if address in cluster.views:
                cluster.kill(address)
            cluster.start(address)
            self._until_agreed()
        return _quantiles(times)

    def _kill(self, address: str) -> None:
        self._cluster.kill(address)

    def _leave(self, address: str) -> None:
        self._cluster.processes[address].tell(LeaveRequested())

    def _herd(self) -> float:
        cluster = self._cluster
        count = max(1, round(HERD_SHARE * len(cluster.addresses)))
        for address in cluster.rng.sample(cluster.addresses, count):
            cluster.kill(address)
            cluster.scheduler.after(HERD_DOWN_S, functools.partial(cluster.start, address))
        cluster.run(HERD_DOWN_S)
        return self._until_agreed()

    def _restart(self, idle: Cost) -> Restart:
        """Restart nodes one after another; return what one restart costs each node."""
        cluster = self._cluster
        cluster.run(SETTLE_S)
        begin_s = cluster.scheduler.now

        def restarts() -> None:
            for address in cluster.rng.sample(cluster.addresses[ZONES:], self._restarts):
                cluster.kill(address)
                cluster.run(HERD_DOWN_S)
                cluster.start(address)
                cluster.run(RESTART_SETTLE_S)

        _none, cost = self._costed(restarts)
        seconds = (cluster.scheduler.now - begin_s) / self._restarts
        return Restart(
            self._restarts,
            round((cost.sent_bytes - idle.sent_bytes) * seconds, 1),
            round((cost.sent_messages - idle.sent_messages) * seconds, 2),
            round((cost.cpu_us - idle.cpu_us) * seconds, 1),
        )

    def _lose_zone(self) -> float:
        for address in self._cluster.in_zone(ZONES - 1):
            self._cluster.kill(address)
        return self._until_agreed()

    def _zone_back(self) -> float:
        for address in self._cluster.in_zone(ZONES - 1):
            self._cluster.start(address)
        return self._until_agreed()

    def _cut_region(self) -> float:
        """Cut a region off; returns when both sides saw exactly themselves."""
        cluster = self._cluster
        region = set(cluster.in_region(1))
        rest = set(cluster.addresses) - region
        cluster.network.cut([sorted(region)])

        def parted() -> bool:
            return all(
                cluster.live_seen_by(address) == (region if address in region else rest)
                for address in cluster.addresses
            )

        return cluster.run_until(parted, LIMIT_S, STEP_S)

    def _heal(self) -> float:
        self._cluster.network.heal()
        return self._until_agreed()


def _quantiles(times: list[float]) -> Quantiles:
    cuts = statistics.quantiles(times, n=100, method="inclusive")
    return Quantiles(round(cuts[49], 2), round(cuts[98], 2), round(max(times), 2), len(times))


@click.command()
@click.option("--nodes", default=40, show_default=True, help="Hollow nodes; at least 12.")
@click.option("--seed", default=1, show_default=True, help="Of all random choices.")
@click.option("--loss", default=0.0, show_default=True, help="Probability of a lost message.")
@click.option("--deaths", default=3, show_default=True, help="Nodes killed, and nodes that leave.")
@click.option("--restarts", default=6, show_default=True, help="Nodes restarted one after another.")
@click.option("--idle-s", default=30.0, show_default=True, help="Virtual seconds without change.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON line.")
def membership(
    nodes: int, seed: int, loss: float, deaths: int, restarts: int, idle_s: float, as_json: bool
) -> None:
    """Measure failure detection between nodes: its cost and how fast it notices."""
    result = asdict(MembershipBench(nodes, seed, loss, deaths, restarts, idle_s).run())
    if as_json:
        click.echo(json.dumps(result))
        return
    for name, value in result.items():
        click.echo(f"{name:32} {value}")
