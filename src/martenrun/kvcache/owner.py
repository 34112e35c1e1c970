"""An owner's part of kept-cache stores: exports of its runners, once and within the rate.

See also: :mod:`martenrun.kvcache.home`, :class:`martenrun.kvcache.workers.ExportWorkers`.
"""

from collections.abc import Callable, Mapping

from martenrun.backends.kv_transfers import BlockTransfer
from martenrun.events import Event, ExportEnded, Instruction, PeerMessage, Send, SendExport, Tick
from martenrun.kvcache.counts import CountsByPool
from martenrun.kvcache.exports import ExportQueue, ExportWanted
from martenrun.kvcache.limits import StoreLimits
from martenrun.routing.policy import RunnerState
from martenrun.wire.messages import ExportPrefix, PrefixExported


class KvCacheOwner:
    """Exports that homes want of the runners that this node owns.

    Args:
        runners: all runners by name.
        owns: whether this node owns a runner.
        limits_of: returns the limits of a pool's store, None for a pool without one.
        counts: is added to.
    """

    handles = frozenset({ExportPrefix, ExportEnded, Tick})

    def __init__(
        self,
        runners: Mapping[str, RunnerState],
        owns: Callable[[str], bool],
        limits_of: Callable[[str], StoreLimits | None],
        counts: CountsByPool,
    ) -> None:
        self._runners = runners
        self._owns = owns
        self._limits_of = limits_of
        self._counts = counts
        self._queues: dict[str, ExportQueue] = {}
        self._homes: dict[tuple[str, bytes], str] = {}

    def handle(self, event: Event, now: float) -> list[Instruction]:
        """Take in an event; see :class:`martenrun.events.DecisionLogic`."""
        match event:
            case PeerMessage(home, ExportPrefix() as wanted):
                self._wanted(home, wanted)
            case ExportEnded(runner, transfer, blocks):
                return self._ended(runner, transfer, blocks)
            case Tick() if self._queues:
                return self._due(now)
        return []

    def _wanted(self, home: str, wanted: ExportPrefix) -> None:
        runner = self._runners.get(wanted.runner)
        if runner is None or not self._owns(wanted.runner):
            return
        limits = self._limits_of(runner.pool)
        if limits is None:
            return
        queue = self._queues.get(runner.pool)
        if queue is None:
            queue = self._queues[runner.pool] = ExportQueue()
        queue.limit(limits, self._owned_share(runner.pool))
        kept = queue.wanted(
            ExportWanted(
                wanted.runner,
                wanted.incarnation,
                wanted.weights_version,
                wanted.chain,
                wanted.new_blocks,
                wanted.uses,
            )
        )
        if kept:
            self._homes[(wanted.runner, wanted.chain)] = home

    def _owned_share(self, pool: str) -> float:
        names = [runner.name for runner in self._runners.values() if runner.pool == pool]
        return sum(self._owns(name) for name in names) / max(1, len(names))

    def _due(self, now: float) -> list[Instruction]:
        instructions: list[Instruction] = []
        for pool, queue in list(self._queues.items()):
            if self._limits_of(pool) is None:
                del self._queues[pool]
                continue
            for export in queue.due(now):
                runner = self._runners.get(export.runner)
                if runner is None or runner.incarnation != export.incarnation:
                    queue.restarted(export.runner)
                    self._homes.pop((export.runner, export.chain), None)
                    continue
                transfer = BlockTransfer(export.incarnation, export.weights_version, export.chain)
                self._counts.of(pool).exports += 1
                instructions.append(SendExport(export.runner, runner.address, transfer))
        if not any(queue.has_work for queue in self._queues.values()):
            self._homes.clear()
        return instructions

    def _ended(self, runner: str, transfer: BlockTransfer, blocks: int) -> list[Instruction]:
        for pool, queue in self._queues.items():
            if queue.ended(runner):
                counts = self._counts.of(pool)
                counts.exported_blocks += blocks
                counts.failed_exports += not blocks
        home = self._homes.pop((runner, transfer.chain), "")
        if not home or not blocks:
            return []
        kept = transfer.leading(blocks)
        return [Send(home, PrefixExported(runner, transfer.weights_version, kept))]
