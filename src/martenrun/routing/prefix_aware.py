"""The product's policy: the runner with the least expected time to the first token.

Expected time = wait for a slot + prefill of the blocks believed uncached + zone distance.
Candidates are the believed holders of any part of the prompt, the runner on which this home
has placed the prompt's prefix (:mod:`martenrun.routing.placement`), and two random ones (so
that no single idle-looking runner draws everything).

A hot prefix widens by itself: once the wait at its holders exceeds the prefill elsewhere, the
next request goes elsewhere and makes a new holder.  It shrinks by itself: with less load the
preferred holder is always best and other copies are evicted.
"""

import random
from collections.abc import Sequence
from dataclasses import dataclass

from martenrun.backends.engine import AttemptOutcome
from martenrun.constants import DEFAULT_BLOCK_BYTES
from martenrun.identity.chain import block_count
from martenrun.routing.beliefs import BeliefBook, RunnerRun
from martenrun.routing.first_token_model import FirstTokenModel
from martenrun.routing.hot_prefixes import MINIMUM_COMPUTED_BLOCKS, Computation, HotPrefixes
from martenrun.routing.placement import Placement
from martenrun.routing.policy import NOT_CANDIDATE_S, RankingPolicy, RunnerChoice, RunnerState
from martenrun.wire.messages import AttemptReport, DecideRequest

OTHER_ZONE_S = 0.004
"""Time that a request and its first token lose between two zones, in seconds."""

LOAD_HALF_LIFE_S = 1.5
"""Age at which a foreign load counts half, in seconds."""

RANDOM_CANDIDATES = 2

PRESSURE_S = 10.0
"""Lifetime of blocks at which a prefill is held to cost double, for what it will evict."""

BUSY_SHARE = 0.8
"""Share of slots in use from which the holders of a hot prefix are too few."""

COPY_USE_S = 3.0
"""Time over which the uses of a new copy of a hot prefix are counted, in seconds."""

MAXIMUM_USES = 16.0
"""Most uses that share the prefill of a new copy."""

SHARED_BLOCKS = 3.0
"""More uncached blocks than this are taken for a missing prefix, fewer for a question."""

MAXIMUM_CHOICES = 8
"""Choices returned for one question."""

MAXIMUM_RANKED = 4_096
"""Ranked questions remembered for corrections; the oldest is forgotten first."""

_NOT_PREFERRED = 1.5
"""Factor on the prefill at runners where the prefix is not placed, so that prefixes settle."""


@dataclass(slots=True)
class _GrantedWork:
    """An attempt that has been granted and has not ended."""

    runner: str
    model: str
    chain: bytes
    prompt_blocks: float
    believed_blocks: int
    load: float
    granted_at: float


@dataclass(frozen=True, slots=True)
class _RankedQuestion:
    """The choices that a question got, and when."""

    choices: list[RunnerChoice]
    at: float


class PrefixAwarePolicy(RankingPolicy):
    """Ranks runners by expected time to the first token; see the module.

    Args:
        beliefs: what is believed about caches.
        rng: draws the random candidates.
        block_bytes: length of a block in bytes of prompt text.
    """

    def __init__(
        self, beliefs: BeliefBook, rng: random.Random, block_bytes: int = DEFAULT_BLOCK_BYTES
    ) -> None:
        self.beliefs = beliefs
        self._rng = rng
        self._block_bytes = block_bytes
        self._hot = HotPrefixes()
        self._models: dict[str, FirstTokenModel] = {}
        self._granted: dict[tuple[str, int], _GrantedWork] = {}
        self._ranked: dict[tuple[str, int], _RankedQuestion] = {}
        self.placement = Placement()

    def rank(
        self, question: DecideRequest, runners: Sequence[RunnerState], now: float
    ) -> list[RunnerChoice]:
        """See :meth:`martenrun.routing.policy.RoutingPolicy.rank`."""
        identify = self.beliefs.identify
        runs = [
            identify(runner.name, runner.incarnation, runner.weights_version) for runner in runners
        ]
        believed = self.beliefs.leading_at(runs, question.chain, now)
        computations = self._hot.computations(question.chain, now)
        for computation in computations:
            for index, run in enumerate(runs):
                if run.runner == computation.runner:
                    believed[index] = min(believed[index], computation.blocks_before)
        loads = [load_of(runner, now) for runner in runners]
        uses = 1.0
        if not computations and _holders_are_busy(runners, loads, believed):
            rate = self._hot.rate(question.chain, now)
            uses = max(1.0, min(MAXIMUM_USES, rate * COPY_USE_S))
        preferred = self._preferred(question.chain, runs, believed, now)
        costs = self._costs(question, runners, runs, loads, believed, preferred, uses)
        drawn = self._rng.choices(range(len(runs)), k=RANDOM_CANDIDATES) if runs else []
        for index, blocks in enumerate(believed):
            if not blocks and index != preferred and index not in drawn:
                costs[index] += NOT_CANDIDATE_S
        order = sorted(range(len(runs)), key=costs.__getitem__)
        choices = [
            RunnerChoice(
                runners[index],
                believed[index],
                costs[index],
                runners[index].incarnation,
                runners[index].weights_version,
            )
            for index in order[:MAXIMUM_CHOICES]
        ]
        self._remember(question, _RankedQuestion(choices, now))
        return choices

    def corrected(self, question: DecideRequest, runner: str, cached_blocks: int) -> None:
        """See :meth:`martenrun.routing.policy.RoutingPolicy.corrected`."""
        ranked = self._ranked.get((question.request_id, question.attempt))
        if ranked is None:
            return
        for choice in ranked.choices:
            if choice.runner.name == runner:
                believed = choice.believed_blocks
                self.beliefs.corrected(runner, question.chain, believed, cached_blocks, ranked.at)

    def told_placed(self, runner: str, blocks: int, now: float) -> None:
        """See :meth:`martenrun.routing.policy.RoutingPolicy.told_placed`."""
        self.placement.told(runner, blocks, now)

    def granted(self, question: DecideRequest, choice: RunnerChoice, now: float) -> None:
        """See :meth:`martenrun.routing.policy.RoutingPolicy.granted`."""
        self._ranked.pop((question.request_id, question.attempt), None)
        runner = choice.runner
        self.beliefs.identify(runner.name, runner.incarnation, runner.weights_version)
        chain = question.chain
        self._hot.count(chain, now)
        uncached = block_count(chain) - choice.believed_blocks
        if uncached >= MINIMUM_COMPUTED_BLOCKS:
            model = self._model(question.model)
            ready_at = now + model.prefill_s(uncached, load_of(choice.runner, now))
            computation = Computation(choice.runner.name, ready_at, choice.believed_blocks)
            self._hot.started(chain, computation)
        if question.weights_version in ("", runner.weights_version):
            # With other weights the runner caches blocks under other hashes.
            self.beliefs.routed(runner.name, chain, choice.believed_blocks, now)
        self._granted[(question.request_id, question.attempt)] = _GrantedWork(
            choice.runner.name,
            question.model,
            chain,
            question.prompt_bytes / self._block_bytes,
            choice.believed_blocks,
            load_of(choice.runner, now),
            now,
        )

    def observe(self, report: AttemptReport, now: float) -> None:
        """See :meth:`martenrun.routing.policy.RoutingPolicy.observe`."""
        work = self._granted.pop((report.request_id, report.attempt), None)
        if work is None or work.runner != report.runner:
            return
        self._hot.ended(work.chain, work.runner)
        if report.outcome == AttemptOutcome.NOT_RUN:
            self.beliefs.not_run(work.runner, work.chain, work.believed_blocks)
        elif report.outcome == AttemptOutcome.COMPLETE and report.prompt_tokens > 0:
            self._learn(work, report, now)

    def block_prefill_s(self, model: str, runner: RunnerState, now: float) -> float:
        """Return the expected time to compute one block at a runner, in seconds."""
        return self._model(model).prefill_s(1.0, load_of(runner, now))

    def withdrawn(self, request_id: str, attempt: int) -> None:
        """See :meth:`martenrun.routing.policy.RoutingPolicy.withdrawn`."""
        self._granted.pop((request_id, attempt), None)
        self._ranked.pop((request_id, attempt), None)

    def _learn(self, work: _GrantedWork, report: AttemptReport, now: float) -> None:
        cached_share = min(1.0, report.cached_tokens / report.prompt_tokens)
        cached_blocks = cached_share * work.prompt_blocks
        self.beliefs.judged(work.runner, work.believed_blocks, round(cached_blocks))
        if cached_blocks < work.believed_blocks:
            self.beliefs.routed(work.runner, work.chain, 0, now)
        model = self._model(work.model)
        model.observe_service(now - work.granted_at)
        uncached_blocks = work.prompt_blocks - cached_blocks
        model.observe_first_token(uncached_blocks, work.load, report.first_token_s)

    def _remember(self, question: DecideRequest, ranked: _RankedQuestion) -> None:
        self._ranked[(question.request_id, question.attempt)] = ranked
        if len(self._ranked) > MAXIMUM_RANKED:
            del self._ranked[next(iter(self._ranked))]

    def _model(self, name: str) -> FirstTokenModel:
        model = self._models.get(name)
        if model is None:
            model = self._models[name] = FirstTokenModel()
        return model

    def _preferred(
        self, chain: bytes, runs: Sequence[RunnerRun], believed: list[int], now: float
    ) -> int | None:
        """Return the index of the runner on which the prefix is placed, if there is one."""
        if not runs or not chain:
            return None
        names = [run.runner for run in runs]
        return names.index(self.placement.runner_for(chain, names, believed, now))

    def _costs(
        self,
        question: DecideRequest,
        runners: Sequence[RunnerState],
        runs: Sequence[RunnerRun],
        loads: list[float],
        believed: list[int],
        preferred: int | None,
        uses: float,
    ) -> list[float]:
        """Return each runner's expected time to the first token, in seconds.

        The prefill of a prefix that will be used again soon is shared by its uses, so that a
        hot prefix gets another holder before many requests have waited for the first.
        """
        model = self._model(question.model)
        prompt_blocks = question.prompt_bytes / self._block_bytes
        costs = []
        for index, runner in enumerate(runners):
            load = loads[index]
            uncached = max(0.0, prompt_blocks - believed[index])
            cost = model.prefill_s(uncached, load)
            if uncached > SHARED_BLOCKS:
                cost /= uses
            if index != preferred:
                cost *= _NOT_PREFERRED
            cost *= 1.0 + PRESSURE_S / runs[index].lifetime_s
            if load >= runner.slots - 1:
                cost += model.wait_s(load, runner.slots)
            if runner.zone != question.zone:
                cost += OTHER_ZONE_S
            costs.append(cost)
        return costs


def _holders_are_busy(
    runners: Sequence[RunnerState], loads: list[float], believed: list[int]
) -> bool:
    """Whether every runner that holds nearly the most of a prompt has few slots left."""
    enough = max(believed, default=0) - SHARED_BLOCKS
    if enough <= 0:
        return False
    return all(
        loads[index] >= BUSY_SHARE * runner.slots
        for index, runner in enumerate(runners)
        if believed[index] >= enough
    )


def load_of(runner: RunnerState, now: float) -> float:
    """Return the streams believed to run on a runner.

    Own work counts at once; foreign work as reported, discounted by the report's age.
    """
    foreign = runner.reported_running - runner.in_flight_at_report
    if foreign <= 0:
        return runner.in_flight
    age_s = max(0.0, now - runner.reported_at)
    return runner.in_flight + foreign * 0.5 ** (age_s / LOAD_HALF_LIFE_S)
