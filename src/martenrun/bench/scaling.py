"""``martenrun bench scaling``: pools whose demand shifts, with and without moves, in virtual time.

Real node logic, simulated engines and callers.  One pool is busy at first; then its demand falls
and the other's rises beyond its own runners, and later both go back.

See also: :mod:`martenrun.simulation.pool_world`, :mod:`martenrun.bench.scaling_demand`.
"""

import statistics
from dataclasses import dataclass

import click
import msgspec

from martenrun.bench.scaling_demand import DemandCost, measure_demand
from martenrun.scaling.limits import ScalingLimits
from martenrun.simulation.pool_callers import PoolCallers, Request, Service
from martenrun.simulation.pool_world import PoolSetup, PoolWorld

READERS, DESK = "vine-reader", "souk-desk"
RUNNERS = {READERS: 8, DESK: 4}
SLOTS = 2
LOAD_S = 60.0
"""Time of one load of weights, in seconds."""

SERVICE = Service(prefill_s=4.0, output_s=4.0, deadline_s=30.0, prefixes=8)
SHIFT_S, RETURN_S, END_S = 600.0, 2_400.0, 4_200.0
"""When demand shifts, when it goes back and when the run ends, in virtual seconds."""

FIRST_RATES = {READERS: 2.5, DESK: 0.8}
SHIFTED_RATES = {READERS: 0.7, DESK: 2.7}
"""Requests per second; a runner serves about 0.45."""

LIMITS = ScalingLimits(load_s=LOAD_S)
"""The product's own limits."""

SAMPLE_S = 5.0
RELIEF_WINDOW_S = 60.0
RELIEF_WAIT_S = 2.0
"""A pool is relieved when its requests of a window wait less than this in the mean, in seconds."""


@dataclass(frozen=True, slots=True)
class ScalingResult:
    """One run.

    Attributes:
        refused_share, wait_p95_s: by pool, over the whole run.
        shift_to_relief_s: from the shift until the pool that lacks runners is relieved to the
            end of the shift; below 0 if it never is.
        idle_share: mean share of all slots that no request used, loading engines included.
        moves: assignments that the system made.
        loading_runner_s: time that runners spent out of service, in seconds.
    """

    seed: int
    is_scaled: bool
    requests: int
    refused_share: dict[str, float]
    wait_p50_s: dict[str, float]
    wait_p95_s: dict[str, float]
    shift_to_relief_s: float
    idle_share: float
    moves: int
    loading_runner_s: float


@dataclass(frozen=True, slots=True)
class ScalingFigures:
    """All runs, and the cost of the exchange of demand."""

    runs: list[ScalingResult]
    demand: DemandCost


def measure_scaling(
    seed: int, is_scaled: bool, end_s: float = END_S, limits: ScalingLimits = LIMITS
) -> ScalingResult:
    """Run the pattern once."""
    world = PoolWorld(
        [_pool(name, count, limits if is_scaled else None) for name, count in RUNNERS.items()],
        seed,
        nodes=4,
        slots=SLOTS,
        load_s=LOAD_S,
    )
    callers = PoolCallers(world, SERVICE, seed + 1_000)
    for name in RUNNERS:
        callers.load(name, lambda now, name=name: _rate(name, now), end_s)  # type: ignore[misc]
    idle: list[float] = []
    loading_s = 0.0
    goals: dict[str, object] = {}
    moves = 0
    while world.scheduler.now < end_s:
        world.run(SAMPLE_S)
        engines = world.engines.values()
        idle.append(1.0 - sum(len(engine.running) for engine in engines) / (SLOTS * len(engines)))
        loading_s += SAMPLE_S * len(world.loading())
        present = {name: item["pool"] for name, item in world.assignments().items()}
        moves += sum(goals.get(name) != pool for name, pool in present.items())
        goals.update(present)
    world.run(SERVICE.deadline_s)
    requests = list(callers.requests.values())
    return ScalingResult(
        seed,
        is_scaled,
        len(requests),
        {name: _refused_share(requests, name) for name in RUNNERS},
        {name: _wait_s(requests, name, 0.5) for name in RUNNERS},
        {name: _wait_s(requests, name, 0.95) for name in RUNNERS},
        _relief_s(requests),
        round(statistics.mean(idle), 3),
        moves,
        round(loading_s, 1),
    )


def _pool(name: str, runners: int, limits: ScalingLimits | None) -> PoolSetup:
    fields: dict[str, object] = {"floor": 1}
    if limits is not None:
        total = sum(RUNNERS.values())
        bounds = {"minimum_runners": 2, "maximum_runners": total - 2}
        fields |= {**bounds, "scaling": msgspec.to_builtins(limits)}
    return PoolSetup(name, runners, fields=fields)


def _rate(pool: str, now: float) -> float:
    return (SHIFTED_RATES if SHIFT_S <= now < RETURN_S else FIRST_RATES)[pool]


def _refused_share(requests: list[Request], pool: str) -> float:
    refused = [bool(request.refused) for request in requests if request.pool == pool]
    return round(sum(refused) / max(1, len(refused)), 4)


def _waits(requests: list[Request], pool: str, since_s: float, until_s: float) -> list[float]:
    """Return the waits of a pool's requests; a refused one has waited for its deadline."""
    return [
        SERVICE.deadline_s if request.started_at is None else request.started_at - request.asked_at
        for request in requests
        if request.pool == pool and since_s <= request.asked_at < until_s
    ]


def _wait_s(requests: list[Request], pool: str, share: float) -> float:
    waits = sorted(_waits(requests, pool, 0.0, float("inf")))
    return round(waits[int(share * (len(waits) - 1))], 2) if waits else 0.0


def _relief_s(requests: list[Request]) -> float:
    """Return the time from the shift to the last window that was not relieved."""
    relieved_at = SHIFT_S
    start_s = SHIFT_S
    while start_s < RETURN_S:
        waits = _waits(requests, DESK, start_s, start_s + RELIEF_WINDOW_S)
        if waits and statistics.mean(waits) >= RELIEF_WAIT_S:
            relieved_at = start_s + RELIEF_WINDOW_S
        start_s += RELIEF_WINDOW_S
    return -1.0 if relieved_at >= RETURN_S else relieved_at - SHIFT_S


@click.command("scaling")
@click.option("--seed", "seeds", multiple=True, default=(1, 2, 3), show_default=True, type=int)
@click.option("--nodes", default=370, show_default=True, help="Nodes of the demand exchange.")
@click.option("--json", "as_json", is_flag=True, help="Print one JSON line.")
def scaling(seeds: tuple[int, ...], nodes: int, as_json: bool) -> None:
    """Waits, refusals and moves while demand shifts; cost of the demand exchange."""
    runs = [measure_scaling(seed, is_scaled) for seed in seeds for is_scaled in (False, True)]
    data = msgspec.json.encode(ScalingFigures(runs, measure_demand(nodes)))
    click.echo(data if as_json else msgspec.json.format(data))
