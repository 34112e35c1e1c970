"""``martenrun bench sharing``: shares, waits and refusals under overload, in virtual time.

Compares the product's sharing (``global``) with the same fair queue at each node alone
(``per-node``) and with ``fifo``.  Same seed, same line, except for the CPU times.

See also: :mod:`martenrun.bench.sharing_model`, docs/design/sharing.md.
"""

import random
import statistics
import time
from collections.abc import Sequence
from dataclasses import dataclass

import click
import msgspec

from martenrun.bench.sharing_model import SharingRun, TenantModel, Window, tenants_of
from martenrun.sharing.fair_queue import FairQueue, QueueEntry
from martenrun.sharing.max_min import max_min_shares

DISCIPLINES = ("fifo", "per-node", "global")
WARM_UP_S = 60.0
WINDOW_S = 30.0
OVERLOAD = 2.0
AIM = 0.05
"""Largest relative distance of a tenant's tokens from its share in a window."""

_TIMED_OPERATIONS = 50_000


@dataclass(frozen=True, slots=True)
class DisciplineResult:
    """One discipline over all windows.

    Errors are relative distances from the weighted max-min share of a window's tokens; steady
    tenants are those that do not offer in bursts.  ``served_least`` is the least served part
    of a share.  ``returns_admitted`` is the part of refused callers that were admitted when
    they came back at the time told in Retry-After.
    """

    discipline: str
    steady_error_p50: float
    steady_error_p95: float
    steady_error_max: float
    steady_within_aim: float
    bursty_error_max: float
    large_error_max: float
    served_least: float
    tenants_without_service: int
    wait_p50_s: float
    wait_p95_s: float
    refused_part: float
    returns: int
    returns_admitted: float


@dataclass(frozen=True, slots=True)
class QueueCost:
    """Process time of the fair queue's operations, in microseconds."""

    tenants: int
    waiting: int
    push_us: float
    pop_us: float


@dataclass(frozen=True, slots=True)
class SharingResult:
    """What the command prints."""

    command: str
    tenants: int
    nodes: int
    seed: int
    overload: float
    windows: int
    disciplines: list[DisciplineResult]
    queue_costs: list[QueueCost]


def run_discipline(
    discipline: str, tenants: Sequence[TenantModel], nodes: int, windows: int, seed: int
) -> DisciplineResult:
    """Run one discipline: a warm-up, then windows."""
    run = SharingRun(discipline, list(tenants), nodes, OVERLOAD, seed)
    run.run_window(WARM_UP_S)
    measured = [run.run_window(WINDOW_S) for _ in range(windows)]
    ratios = {
        tenant.name: [_ratio(window, tenant, tenants) for window in measured] for tenant in tenants
    }
    steady = sorted(_errors(ratios, [t for t in tenants if not t.is_bursty]))
    bursty = _errors(ratios, [t for t in tenants if t.is_bursty])
    large = _errors(ratios, list(tenants)[:3])
    waits = sorted(wait for window in measured for wait in window.waits_s)
    refused = sum(sum(window.refused_requests.values()) for window in measured)
    returns = sum(window.returns for window in measured)
    admitted = sum(window.returns_admitted for window in measured)
    return DisciplineResult(
        discipline,
        round(statistics.median(steady), 4),
        round(_percentile(steady, 0.95), 4),
        round(steady[-1], 4),
        round(sum(error <= AIM for error in steady) / len(steady), 4),
        round(max(bursty, default=0.0), 4),
        round(max(large), 4),
        round(min(min(values) for values in ratios.values()), 4),
        sum(min(values) <= 0 for values in ratios.values()),
        round(statistics.median(waits), 3),
        round(_percentile(waits, 0.95), 3),
        round(refused / (refused + len(waits)), 4),
        returns,
        round(admitted / max(1, returns), 4),
    )


def queue_cost(tenants: int, waiting: int) -> QueueCost:
    """Time pushes and pops of a queue that keeps about ``waiting`` entries."""
    rng = random.Random(1)
    total = waiting + _TIMED_OPERATIONS
    entries = [
        QueueEntry(f"r{i}", 1, f"t{rng.randrange(tenants)}", 0, rng.randrange(100, 5_000), 1e9)
        for i in range(total)
    ]
    queue = FairQueue()
    for entry in entries[:waiting]:
        queue.push(entry, 0.0)
    started = time.process_time()
    for number, entry in enumerate(entries[waiting:]):
        queue.push(entry, number / 1_000)
    pushed = time.process_time()
    for number in range(_TIMED_OPERATIONS):
        queue.pop(100.0 + number / 1_000)
    popped = time.process_time()
    scale = 1e6 / _TIMED_OPERATIONS
    push_us, pop_us = (pushed - started) * scale, (popped - pushed) * scale
    return QueueCost(tenants, waiting, round(push_us, 2), round(pop_us, 2))


def _ratio(window: Window, tenant: TenantModel, tenants: Sequence[TenantModel]) -> float:
    """Return served tokens over the tenant's share of what was served in the window."""
    capacity = sum(window.served.values())
    demands = {other.name: float(window.offered[other.name]) for other in tenants}
    shares = max_min_shares(capacity, demands, {other.name: other.weight for other in tenants})
    share = shares[tenant.name]
    return window.served[tenant.name] / share if share > 0 else 1.0


def _errors(ratios: dict[str, list[float]], tenants: Sequence[TenantModel]) -> list[float]:
    return [abs(ratio - 1.0) for tenant in tenants for ratio in ratios[tenant.name]]


def _percentile(ordered: Sequence[float], part: float) -> float:
    return ordered[min(len(ordered) - 1, int(len(ordered) * part))]


@click.command("sharing")
@click.option("--tenants", default=24, show_default=True, type=click.IntRange(9, 10_000))
@click.option("--nodes", default=12, show_default=True, type=click.IntRange(2, 400))
@click.option("--seed", default=1, show_default=True)
@click.option("--windows", default=4, show_default=True, type=click.IntRange(1, 20))
@click.option("--json", "as_json", is_flag=True, help="Print one JSON line.")
def sharing(tenants: int, nodes: int, seed: int, windows: int, as_json: bool) -> None:
    """Shares, waits and refusals under twofold overload, against baselines."""
    models = tenants_of(tenants)
    result = SharingResult(
        f"martenrun bench sharing --tenants {tenants} --nodes {nodes} --seed {seed}"
        f" --windows {windows} --json",
        tenants,
        nodes,
        seed,
        OVERLOAD,
        windows,
        [run_discipline(name, models, nodes, windows, seed) for name in DISCIPLINES],
        [queue_cost(10, 1_000), queue_cost(5_100, 20_000)],
    )
    if as_json:
        click.echo(msgspec.json.encode(result))
        return
    for line in result.disciplines:
        click.echo(msgspec.json.format(msgspec.json.encode(line)))
