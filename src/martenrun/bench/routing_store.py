"""Simulated kept-cache stores of the routing benchmark and the decisions about them."""

import random
from collections.abc import Callable
from dataclasses import dataclass

from martenrun.bench.routing_engine import LruBlocks, SimulatedEngine
from martenrun.bench.routing_node import WEIGHTS_VERSION, SimulatedNode, incarnation_of
from martenrun.constants import BLOCK_HASH_BYTES
from martenrun.deployments.model import Deployment, StoreShape
from martenrun.identity.chain import as_array
from martenrun.kvcache.exports import ExportQueue, ExportWanted, ExportWishes
from martenrun.kvcache.imports import ImportEnd, ImportPlan, ImportPolicy
from martenrun.kvcache.limits import StoreLimits
from martenrun.routing.policy import RunnerChoice
from martenrun.routing.prefix_aware import PrefixAwarePolicy
from martenrun.simulation.scheduler import Scheduler
from martenrun.wire.messages import DecideRequest

EXPORT_TICK_S = 0.1
SLOW_FACTOR = 10.0
"""How much slower a store is in a fault that does not take it down."""

_NEVER_S = 1e9


class SimulatedStore:
    """One store: bounded blocks, a link that transfers share, and faults in turn.

    The faults are: down, slow, and everything evicted.
    """

    def __init__(self, shape: StoreShape, scheduler: Scheduler, seed: int, faulty: bool) -> None:
        self.shape = shape
        self._scheduler = scheduler
        self._rng = random.Random(f"store {shape.name} {seed}")
        self._blocks = LruBlocks(shape.capacity_blocks)
        self._active = 0
        self._is_down = False
        self._slowdown = 1.0
        self.exported_blocks = 0
        if faulty:
            self._plan_fault(0)

    def _plan_fault(self, number: int) -> None:
        delay_s = self._rng.expovariate(1.0 / self.shape.fault_every_s)
        self._scheduler.after(delay_s, lambda: self._fail(number))

    def _fail(self, number: int) -> None:
        kind = number % 3
        if kind == 0:
            self._is_down = True
        elif kind == 1:
            self._slowdown = SLOW_FACTOR
        else:
            self._blocks = LruBlocks(self.shape.capacity_blocks)
        self._scheduler.after(self.shape.fault_s, lambda: self._recover(number))

    def _recover(self, number: int) -> None:
        self._is_down, self._slowdown = False, 1.0
        self._plan_fault(number + 1)

    def _duration_s(self, blocks: int) -> float:
        if self._is_down:
            return _NEVER_S
        block_s = self.shape.block_bytes / self.shape.link_bytes_per_s
        busy = 1 + self._active
        return self._slowdown * (self.shape.set_up_s + blocks * block_s * busy)

    def _transfer(self, blocks: int, longest_s: float, ended: Callable[[], None]) -> float:
        """Occupy the link for a transfer and return its duration, ``longest_s`` at most."""
        duration_s = min(longest_s, self._duration_s(blocks))
        self._active += 1

        def end() -> None:
            self._active -= 1
            ended()

        self._scheduler.after(duration_s, end)
        return duration_s

    def keep(self, hashes: list[int], ended: Callable[[bool], None]) -> None:
        """Store blocks; ``ended`` is told whether they are kept."""
        is_kept = not self._is_down
        new_blocks = sum(block not in self._blocks for block in hashes)

        def end() -> None:
            if is_kept:
                self._blocks.insert(hashes)
                self.exported_blocks += new_blocks
            ended(is_kept)

        self._transfer(new_blocks, EXPORT_TICK_S if self._is_down else _NEVER_S, end)

    def fetch(
        self,
        hashes: list[int],
        held: int,
        wait_s: float,
        ended: Callable[[int | None, float], None],
    ) -> None:
        """Send kept leading blocks after the first ``held``; None if it takes too long."""
        kept = self._blocks.leading(hashes)
        blocks = max(0, kept - held)
        is_late = self._duration_s(blocks) > wait_s
        if not is_late:
            self._blocks.insert(hashes[:kept])
        duration_s = 0.0

        def end() -> None:
            ended(None if is_late else kept, duration_s)

        duration_s = self._transfer(blocks, wait_s, end)


@dataclass(slots=True)
class _HomePart:
    imports: ImportPolicy
    wishes: ExportWishes


class StoreTraffic:
    """The stores of a run, with the decisions of every node about them."""

    def __init__(
        self,
        scheduler: Scheduler,
        stores: dict[str, SimulatedStore],
        engines: dict[str, SimulatedEngine],
        nodes: list[SimulatedNode],
    ) -> None:
        self._scheduler = scheduler
        self._stores = stores
        self._engines = engines
        self._nodes = nodes
        self._homes: dict[tuple[SimulatedNode, str], _HomePart] = {}
        self._owners: dict[tuple[SimulatedNode, str], ExportQueue] = {}
        self._owner_homes: dict[ExportWanted, SimulatedNode] = {}
        if stores:
            self._tick()

    @property
    def exported_blocks(self) -> int:
        """Blocks that all stores have taken in."""
        return sum(store.exported_blocks for store in self._stores.values())

    def plan(
        self, home: SimulatedNode, question: DecideRequest, choice: RunnerChoice
    ) -> ImportPlan | None:
        """Return the import that a home orders with a grant."""
        part = self._home(home, question.model)
        if part is None or not isinstance(home.policy, PrefixAwarePolicy):
            return None
        now = self._scheduler.now
        block_s = home.policy.block_prefill_s(question.model, choice.runner, now)
        return part.imports.plan(question.chain, choice.believed_blocks, block_s, now)

    def fetch(
        self,
        home: SimulatedNode,
        engine: SimulatedEngine,
        plan: ImportPlan,
        ended: Callable[[], None],
    ) -> None:
        """Carry out an import at an engine, and let the home learn from it."""
        hashes: list[int] = as_array(plan.chain).tolist()
        held = engine.cache.leading(hashes)
        incarnation = engine.incarnation
        if len(hashes) - held < plan.least_blocks:
            ended()
            return

        def end(blocks: int | None, duration_s: float) -> None:
            if engine.incarnation == incarnation and engine.is_up:
                engine.cache.insert(hashes[: blocks or 0])
            part = self._home(home, engine.pool.model)
            if part is not None:
                import_end = ImportEnd(plan, blocks, duration_s)
                part.imports.ended(import_end, held, self._scheduler.now)
            ended()

        self._stores[engine.pool.model].fetch(hashes, held, plan.wait_s, end)

    def used(self, home: SimulatedNode, question: DecideRequest, engine: SimulatedEngine) -> None:
        """Count a use that has ended well; its prefix may be worth an export."""
        part = self._home(home, question.model)
        if part is None or not engine.is_up:
            return
        now, run = self._scheduler.now, incarnation_of(engine)
        wanted = part.wishes.used(question.chain, engine.name, run, WEIGHTS_VERSION, now)
        if wanted is not None:
            self._owner(engine).wanted(wanted)
            self._owner_homes[wanted] = home

    def _home(self, home: SimulatedNode, model: str) -> _HomePart | None:
        store = self._stores.get(model)
        if store is None:
            return None
        part = self._homes.get((home, model))
        if part is None:
            limits = limits_of(store.shape)
            imports = ImportPolicy(limits)
            part = _HomePart(imports, ExportWishes(limits, imports.contents))
            self._homes[(home, model)] = part
        return part

    def _owner(self, engine: SimulatedEngine) -> ExportQueue:
        key = (self._nodes[engine.owner], engine.pool.model)
        queue = self._owners.get(key)
        if queue is None:
            runners = [each for each in self._engines.values() if each.pool is engine.pool]
            share = sum(each.owner == engine.owner for each in runners) / len(runners)
            limits = limits_of(self._stores[engine.pool.model].shape)
            queue = self._owners[key] = ExportQueue()
            queue.limit(limits, share)
        return queue

    def _tick(self) -> None:
        self._scheduler.after(EXPORT_TICK_S, self._tick)
        for (node, model), queue in self._owners.items():
            if node.is_live:
                for wanted in queue.due(self._scheduler.now):
                    self._export(model, queue, wanted)

    def _export(self, model: str, queue: ExportQueue, wanted: ExportWanted) -> None:
        engine = self._engines[wanted.runner]
        home = self._owner_homes.pop(wanted, None)
        hashes: list[int] = as_array(wanted.chain).tolist()
        held = engine.cache.leading(hashes)
        if incarnation_of(engine) != wanted.incarnation or not held:
            queue.ended(wanted.runner)
            return

        def end(is_kept: bool) -> None:
            queue.ended(wanted.runner)
            part = None if home is None else self._home(home, model)
            if is_kept and part is not None:
                part.imports.contents.exported(wanted.chain[: held * BLOCK_HASH_BYTES])

        self._stores[model].keep(hashes[:held], end)


def limits_of(shape: StoreShape) -> StoreLimits:
    """Return the limits that a pool's configuration gives its store."""
    return StoreLimits(
        name=shape.name,
        block_bytes=shape.block_bytes,
        export_bytes_per_s=shape.export_bytes_per_s,
    )


def make_stores(
    deployment: Deployment, kind: str, seed: int, scheduler: Scheduler
) -> dict[str, SimulatedStore]:
    """Return the pools' stores by model; ``kind`` is ``off``, ``on`` or ``faulty``."""
    if kind == "off":
        return {}
    return {
        pool.model: SimulatedStore(pool.store, scheduler, seed, kind == "faulty")
        for pool in deployment.pools
        if pool.store is not None
    }
