"""A home's decisions about kept-cache stores, around the logic that grants slots.

Each grant of a pool with a store says what the runner may import; each report of an import
teaches its cost; each use that ended well may make an export due, which the runner's owner is
asked for.  What was learned of a pool ends with its weights version or its store's limits.

See also: :mod:`martenrun.kvcache.owner`.
"""

from collections.abc import Callable, Mapping
from dataclasses import dataclass

from martenrun.backends.engine import AttemptOutcome
from martenrun.events import (
    DecisionLogic,
    Event,
    Instruction,
    PeerMessage,
    QuestionCleared,
    Send,
    Tell,
)
from martenrun.kvcache.counts import CountsByPool, StoreCounts
from martenrun.kvcache.exports import ExportWanted, ExportWishes
from martenrun.kvcache.imports import ImportEnd, ImportPlan, ImportPolicy
from martenrun.kvcache.limits import StoreLimits
from martenrun.routing.policy import RunnerState
from martenrun.wire.messages import (
    AttemptReport,
    DecideRequest,
    ExportPrefix,
    Grant,
    PrefixExported,
    WithdrawRequest,
)

MAXIMUM_QUESTIONS = 4_096
"""Questions remembered until their report; the oldest is forgotten first."""

BlockPrefill = Callable[[str, RunnerState, float], float]
"""Expected time to compute one block: (model, runner, now) -> seconds."""


@dataclass(slots=True)
class _Question:
    """A question until its report; ``grant`` and ``plan`` once it is granted."""

    asked: DecideRequest
    grant: Grant | None = None
    plan: ImportPlan | None = None


class _PoolPart:
    """What one home knows of one pool's store, for one weights version."""

    def __init__(self, limits: StoreLimits, weights_version: str) -> None:
        self.limits = limits
        self.weights_version = weights_version
        self.imports = ImportPolicy(limits)
        self.wishes = ExportWishes(limits, self.imports.contents)


class KvCacheHome:
    """Adds imports to the grants of ``inner`` and asks owners for exports.

    Args:
        inner: the logic that answers questions.
        runners: all runners by name.
        limits_of: returns the limits of a pool's store, None for a pool without one.
        block_prefill_s: what computing a block is expected to take.
        owner_of: returns the address of a runner's owner.
        counts: is added to.
    """

    def __init__(
        self,
        inner: DecisionLogic,
        runners: Mapping[str, RunnerState],
        limits_of: Callable[[str], StoreLimits | None],
        block_prefill_s: BlockPrefill,
        owner_of: Callable[[str], str],
        counts: CountsByPool,
    ) -> None:
        self._inner = inner
        kinds: frozenset[type] = getattr(inner, "handles", frozenset())
        self.handles = kinds | {PrefixExported}
        self._runners = runners
        self._limits_of = limits_of
        self._block_prefill_s = block_prefill_s
        self._owner_of = owner_of
        self._counts = counts
        self._questions: dict[str, _Question] = {}
        self._pools: dict[str, _PoolPart] = {}

    def handle(self, event: Event, now: float) -> list[Instruction]:
        """Take in an event; see :class:`martenrun.events.DecisionLogic`."""
        own: list[Instruction] = []
        match event:
            case PeerMessage(_, PrefixExported() as exported):
                self._exported(exported)
                return []
            case PeerMessage(_, DecideRequest() as asked) | QuestionCleared(_, asked):
                self._asked(asked)
            case PeerMessage(_, AttemptReport() as report):
                own = self._reported(report, now)
            case PeerMessage(_, WithdrawRequest(request_id)):
                self._questions.pop(request_id, None)
        instructions = self._inner.handle(event, now)
        for instruction in instructions:
            match instruction:
                case Send(_, Grant() as grant) | Tell(PeerMessage(_, Grant() as grant)):
                    self._granted(grant, now)
        return [*instructions, *own]

    def _asked(self, asked: DecideRequest) -> None:
        self._questions[asked.request_id] = _Question(asked)
        if len(self._questions) > MAXIMUM_QUESTIONS:
            del self._questions[next(iter(self._questions))]

    def _granted(self, grant: Grant, now: float) -> None:
        question = self._questions.get(grant.request_id)
        runner = self._runners.get(grant.runner)
        if question is None or runner is None:
            return
        question.grant = grant
        part = self._part(runner.pool, grant.weights_version)
        if part is None:
            return
        block_s = self._block_prefill_s(question.asked.model, runner, now)
        chain = question.asked.chain
        plan = part.imports.plan(chain, grant.believed_blocks, block_s, now)
        if plan is not None:
            question.plan = plan
            self._counts.of(runner.pool).offers += 1
            grant.import_blocks = plan.blocks
            grant.import_least_blocks = plan.least_blocks
            grant.import_wait_ms = max(1, int(plan.wait_s * 1000))

    def _reported(self, report: AttemptReport, now: float) -> list[Instruction]:
        question = self._questions.pop(report.request_id, None)
        if question is None or question.grant is None:
            return []
        grant, runner = question.grant, self._runners.get(report.runner)
        if runner is None or (grant.attempt, grant.runner) != (report.attempt, report.runner):
            return []
        part = self._part(runner.pool, grant.weights_version)
        if part is None or report.outcome != AttemptOutcome.COMPLETE.value:
            return []
        if question.plan is not None and report.import_ms:
            part.imports.ended(_import_end(question.plan, report), report.import_held_blocks, now)
            self._count(self._counts.of(runner.pool), report)
        run, version = grant.incarnation, grant.weights_version
        wanted = part.wishes.used(question.asked.chain, grant.runner, run, version, now)
        return [] if wanted is None else [Send(self._owner_of(grant.runner), _message(wanted))]

    @staticmethod
    def _count(counts: StoreCounts, report: AttemptReport) -> None:
        counts.imports += 1
        if report.imported_blocks < 0:
            counts.failed_imports += 1
        else:
            counts.imported_blocks += report.imported_blocks

    def _exported(self, exported: PrefixExported) -> None:
        runner = self._runners.get(exported.runner)
        part = None if runner is None else self._pools.get(runner.pool)
        if part is not None and part.weights_version == exported.weights_version:
            part.imports.contents.exported(exported.chain)

    def _part(self, pool: str, weights_version: str) -> _PoolPart | None:
        limits = self._limits_of(pool)
        if limits is None:
            self._pools.pop(pool, None)
            return None
        part = self._pools.get(pool)
        if part is None or (part.limits, part.weights_version) != (limits, weights_version):
            part = self._pools[pool] = _PoolPart(limits, weights_version)
        return part


def _import_end(plan: ImportPlan, report: AttemptReport) -> ImportEnd:
    blocks = None
    if report.imported_blocks >= 0:
        blocks = report.import_held_blocks + report.imported_blocks
    return ImportEnd(plan, blocks, report.import_ms / 1000)


def _message(wanted: ExportWanted) -> ExportPrefix:
    return ExportPrefix(
        wanted.runner,
        wanted.incarnation,
        wanted.weights_version,
        wanted.chain,
        wanted.new_blocks,
        wanted.uses,
    )
