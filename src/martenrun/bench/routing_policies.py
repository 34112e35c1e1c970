"""Policies of the routing benchmark by name, and the oracle."""

import random
from collections.abc import Sequence

from martenrun.bench.routing_engine import SimulatedEngine
from martenrun.constants import DEFAULT_BLOCK_BYTES
from martenrun.identity.chain import as_array
from martenrun.routing.baselines import ConsistentHashPolicy, LeastLoadedPolicy, RoundRobinPolicy
from martenrun.routing.beliefs import BeliefBook
from martenrun.routing.first_token_model import FirstTokenModel
from martenrun.routing.policy import RankingPolicy, RunnerChoice, RunnerState
from martenrun.routing.prefix_aware import OTHER_ZONE_S, PrefixAwarePolicy
from martenrun.wire.messages import DecideRequest

POLICY_NAMES = ("round_robin", "least_loaded", "consistent_hash", "prefix_aware", "oracle")
BASELINE_NAMES = ("round_robin", "least_loaded", "consistent_hash")

_BELIEF_BYTES = 1_000_000


class OraclePolicy(RankingPolicy):
    """Least time to the first token with perfect and instant knowledge; the upper limit."""

    def __init__(self, engines: dict[str, SimulatedEngine]) -> None:
        self._engines = engines
        self._model = FirstTokenModel()

    def rank(
        self, question: DecideRequest, runners: Sequence[RunnerState], now: float
    ) -> list[RunnerChoice]:
        """Return live runners by the time the engine itself would need."""
        hashes: list[int] = as_array(question.chain).tolist()
        choices = []
        for runner in runners:
            engine = self._engines[runner.name]
            cached = engine.cache.leading(hashes)
            uncached = question.prompt_bytes / DEFAULT_BLOCK_BYTES - cached
            load = engine.load
            expected_s = engine.times.prefill_s(uncached, min(load, engine.pool.slots) + 1)
            expected_s += self._model.wait_s(load, engine.pool.slots)
            if engine.zone != question.zone:
                expected_s += OTHER_ZONE_S
            if not engine.is_up:
                expected_s += 1e6
            choices.append(RunnerChoice(runner, cached, expected_s))
        return sorted(choices, key=lambda choice: choice.expected_first_token_s)


def make_policy(
    name: str, engines: dict[str, SimulatedEngine], rng: random.Random
) -> RankingPolicy:
    """Return a new policy of a node; raises KeyError for an unknown name."""
    if name == "prefix_aware":
        return PrefixAwarePolicy(BeliefBook(_BELIEF_BYTES, _BELIEF_BYTES), rng)
    if name == "oracle":
        return OraclePolicy(engines)
    kinds: dict[str, type[RankingPolicy]] = {
        "round_robin": RoundRobinPolicy,
        "least_loaded": LeastLoadedPolicy,
        "consistent_hash": ConsistentHashPolicy,
    }
    return kinds[name]()
