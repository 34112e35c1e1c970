"""The routing benchmark in virtual time: nodes, engines and faults of a deployment.

A question goes from its agent to its home node, which ranks the runners with its policy and
asks the owner of the best one for a slot; a full runner's questions wait there in turn.  The
engine then computes the uncached blocks and streams.  Same seed, same run.
"""

import functools
import random
from collections.abc import Callable
from dataclasses import dataclass, field

import numpy

from martenrun.bench.routing_engine import LruBlocks, SimulatedEngine
from martenrun.bench.routing_figures import RoutingCounts, RoutingFigures
from martenrun.bench.routing_node import FeedBatch, SimulatedNode, incarnation_of
from martenrun.bench.routing_policies import make_policy
from martenrun.bench.routing_workload import TOKENS_PER_BLOCK, PlannedRequest, Workload
from martenrun.constants import BLOCK_HASH_BYTES, DEFAULT_BLOCK_BYTES
from martenrun.deployments.model import Deployment
from martenrun.identity.rendezvous import ranked
from martenrun.routing.policy import RunnerChoice
from martenrun.simulation.scheduler import Scheduler
from martenrun.standins.engine.model import TimeModel
from martenrun.wire.messages import AttemptReport, DecideRequest

WARM_UP_S = 10.0
LOAD_REPORT_INTERVAL_S = 0.5
LOAD_REPORT_LAG_S = 0.5
NODE_DOWN_S = 0.5
_RETRY_S = 0.1


@dataclass(slots=True, eq=False)
class _Active:
    """A request on its way; ``attempt`` makes calls that come too late find out."""

    plan: PlannedRequest
    question: DecideRequest
    attempt: int = 0
    excluded: set[str] = field(default_factory=set)
    has_first_token: bool = False
    is_over: bool = False


@dataclass(slots=True, eq=False)
class _Attempt:
    """One try at an engine."""

    request: _Active
    home: SimulatedNode
    choice: RunnerChoice
    engine: SimulatedEngine
    incarnation: int
    is_running: bool = False
    is_over: bool = False
    cached_blocks: int = 0
    first_token_s: float = 0.0


class RoutingSimulation:
    """One run of the benchmark.

    Args:
        load: factor on the deployment's request rates.
        feeds: ``owner`` if only a runner's owner reads its cache events, ``all`` if all nodes do.
    """

    def __init__(
        self,
        deployment: Deployment,
        policy: str,
        seed: int,
        load: float = 1.0,
        feeds: str = "owner",
    ) -> None:
        self._deployment = deployment
        self._policy = policy
        self._seed = seed
        self._load = load
        self._feeds = feeds
        self._scheduler = Scheduler()
        # One generator a kind of fault, so that every policy meets the same crashes.
        self._crash_rng = random.Random(f"crashes {seed}")
        self._restart_rng = random.Random(f"restarts {seed}")
        self._event_rng = random.Random(f"events {seed}")
        self._counts = RoutingCounts(WARM_UP_S)
        self._engines: dict[str, SimulatedEngine] = {}
        self._attempts: dict[str, list[_Attempt]] = {}
        self._feed_free_at: dict[str, float] = {}
        self._make_engines()
        zones = deployment.zones
        self._nodes = [
            self._make_node(f"node-{number}", zones[number % len(zones)])
            for number in range(deployment.nodes)
        ]

    def run(self, duration_s: float) -> RoutingFigures:
        """Run the load for a while and return what was counted."""
        for pool in self._deployment.pools:
            scaled = pool.model_copy(update={"requests_per_s": pool.requests_per_s * self._load})
            rng = random.Random(f"load {pool.model} {self._seed}")
            for plan in Workload(self._deployment, scaled, rng).requests(duration_s):
                self._scheduler.after(plan.at, functools.partial(self._arrive, plan))
        for engine in self._engines.values():
            self._scheduler.after(
                self._event_rng.random(), functools.partial(self._publish, engine)
            )
        self._scheduler.after(0.0, self._report_loads)
        faults = self._deployment.faults
        self._plan(self._crash_rng, faults.engine_crash_every_s, self._crash_one)
        self._plan(self._restart_rng, faults.node_restart_every_s, self._restart_one)
        self._scheduler.run_until(duration_s + self._deployment.deadline_s)
        counts = self._counts
        return RoutingFigures(
            self._deployment.name,
            self._policy,
            self._seed,
            self._load,
            self._feeds,
            counts.requests,
            round(counts.cached_blocks / counts.prompt_blocks, 4),
            round(counts.wasted_blocks / counts.prompt_blocks, 4),
            counts.quantile_s(0.5),
            counts.quantile_s(0.95),
            counts.quantile_s(0.99),
            counts.refused,
            counts.restarted,
        )

    def _make_engines(self) -> None:
        node_names = [f"node-{number}" for number in range(self._deployment.nodes)]
        for pool in self._deployment.pools:
            for number in range(pool.runners):
                name = f"{pool.model}-{number}"
                zone = self._deployment.zones[number % len(self._deployment.zones)]
                owner = node_names.index(ranked(name.encode(), node_names)[0])
                cache = LruBlocks(pool.cache_blocks)
                engine = SimulatedEngine(name, zone, pool, owner, TimeModel(), cache)
                self._engines[name] = engine
                self._attempts[name] = []

    def _make_node(self, name: str, zone: str) -> SimulatedNode:
        rng = random.Random(f"{name} {self._seed} {self._scheduler.now}")
        node = SimulatedNode(name, zone, make_policy(self._policy, self._engines, rng))
        node.learn_of(list(self._engines.values()))
        return node

    def _link_s(self, zone: str, other: str) -> float:
        return 0.0 if zone == other else self._deployment.between_zones_s

    def _client_link_s(self, zone: str, other: str) -> float:
        return self._deployment.to_client_s + self._link_s(zone, other)

    # From the agent to the grant.

    def _arrive(self, plan: PlannedRequest) -> None:
        if plan.at >= WARM_UP_S:
            self._counts.requests += 1
        question = DecideRequest(
            plan.request_id, plan.tenant, plan.model, "v1", plan.chain, plan.prompt_bytes
        )
        question.zone = plan.zone
        self._ask(_Active(plan, question))

    def _ask(self, request: _Active) -> None:
        if self._is_late(request):
            return
        request.attempt += 1
        request.question.attempt = request.attempt
        question = request.question
        key = f"{question.tenant}\0{question.model}\0".encode()
        key += question.chain[:BLOCK_HASH_BYTES]
        live = {node.name: node for node in self._nodes if node.is_live}
        home = live[ranked(key, live)[0]]
        delay_s = self._client_link_s(request.plan.zone, home.zone)
        self._scheduler.after(delay_s, lambda: self._decide(request, home))

    def _is_late(self, request: _Active) -> bool:
        if self._scheduler.now < request.plan.at + self._deployment.deadline_s:
            return False
        if not request.is_over and not request.has_first_token:
            self._counts.refused += request.plan.at >= WARM_UP_S
        request.is_over = True
        return True

    def _decide(self, request: _Active, home: SimulatedNode) -> None:
        runners = home.usable(request.plan.model, request.excluded)
        if not home.is_live or not runners:
            request.excluded.clear()
            self._scheduler.after(_RETRY_S, lambda: self._ask(request))
            return
        choice = home.policy.route(request.question, runners, self._scheduler.now)
        engine = self._engines[choice.runner.name]
        attempt = _Attempt(request, home, choice, engine, engine.incarnation)
        owner = self._nodes[engine.owner]
        hop_s = self._link_s(home.zone, owner.zone)
        self._scheduler.after(hop_s, lambda: self._reserve(attempt, hop_s))

    def _reserve(self, attempt: _Attempt, hop_s: float) -> None:
        engine = attempt.engine
        if incarnation_of(engine) != attempt.choice.runner.incarnation:
            self._again(attempt)
            return
        attempt.incarnation = engine.incarnation
        self._attempts[engine.name].append(attempt)
        engine.take_slot(lambda: self._slot_taken(attempt, hop_s))
        wait_s = attempt.request.plan.at + self._deployment.deadline_s - self._scheduler.now
        self._scheduler.after(max(0.0, wait_s), lambda: self._give_up(attempt))

    def _give_up(self, attempt: _Attempt) -> None:
        """Refuse a question that still waits for its slot at its deadline."""
        if not attempt.is_running and not attempt.is_over:
            attempt.is_over = True
            self._is_late(attempt.request)

    def _slot_taken(self, attempt: _Attempt, hop_s: float) -> None:
        if attempt.is_over:
            attempt.engine.free_slot()
            return
        attempt.is_running = True
        engine, request = attempt.engine, attempt.request
        load = engine.slots_used + len(engine.waiting)
        self._scheduler.after(hop_s, lambda: self._take_grant(attempt, load))
        delay_s = hop_s + self._client_link_s(attempt.home.zone, request.plan.zone)
        delay_s += self._client_link_s(request.plan.zone, engine.zone)
        self._scheduler.after(delay_s, lambda: self._start(attempt))

    def _take_grant(self, attempt: _Attempt, load: int) -> None:
        home, question = attempt.home, attempt.request.question
        attempt.choice.runner.in_flight += 1
        home.take_load(attempt.engine.name, load, self._scheduler.now)
        home.policy.granted(question, attempt.choice, self._scheduler.now)

    # At the engine.

    def _start(self, attempt: _Attempt) -> None:
        if attempt.is_over:
            return
        engine, plan = attempt.engine, attempt.request.plan
        prompt_blocks = plan.prompt_bytes / DEFAULT_BLOCK_BYTES
        attempt.cached_blocks = engine.cache.leading(plan.hashes)
        best = max(
            other.cache.leading(plan.hashes)
            for other in self._engines.values()
            if other.is_up and other.pool.model == plan.model
        )
        self._counts.count_prefill(plan.at, prompt_blocks, attempt.cached_blocks, best)
        engine.running += 1
        prefill_s = engine.times.prefill_s(prompt_blocks - attempt.cached_blocks, engine.running)
        attempt.first_token_s = prefill_s
        self._scheduler.after(prefill_s, lambda: self._first_token(attempt))

    def _first_token(self, attempt: _Attempt) -> None:
        if attempt.is_over:
            return
        engine, request = attempt.engine, attempt.request
        engine.cache.insert(request.plan.hashes)
        if not request.has_first_token:
            request.has_first_token = True
            link_s = self._client_link_s(engine.zone, request.plan.zone)
            waited_s = self._scheduler.now + link_s - request.plan.at
            self._counts.count_first_token(request.plan.at, waited_s)
        decode_s = request.plan.output_tokens * engine.times.decode_s(engine.running)
        self._scheduler.after(decode_s, lambda: self._end(attempt))

    def _end(self, attempt: _Attempt) -> None:
        if attempt.is_over:
            return
        self._attempts[attempt.engine.name].remove(attempt)
        attempt.engine.running -= 1
        attempt.engine.free_slot()
        self._report(attempt, "complete")

    def _report(self, attempt: _Attempt, outcome: str) -> None:
        attempt.is_over = True
        attempt.choice.runner.in_flight -= 1
        plan = attempt.request.plan
        report = AttemptReport(
            plan.request_id,
            attempt.request.attempt,
            attempt.engine.name,
            outcome,
            int(plan.prompt_bytes / DEFAULT_BLOCK_BYTES * TOKENS_PER_BLOCK),
            attempt.cached_blocks * TOKENS_PER_BLOCK,
            plan.output_tokens,
            attempt.first_token_s,
        )
        attempt.home.policy.observe(report, self._scheduler.now)

    def _again(self, attempt: _Attempt) -> None:
        """Ask once more after an attempt that an engine's end took away."""
        attempt.is_over = True
        request = attempt.request
        if request.plan.at >= WARM_UP_S:
            self._counts.restarted += 1
        request.excluded.add(attempt.engine.name)
        self._ask(request)

    # Faults, events and reports.

    def _plan(self, rng: random.Random, mean_s: float, call: Callable[[], None]) -> None:
        self._scheduler.after(rng.expovariate(1.0 / mean_s), call)

    def _crash_one(self) -> None:
        faults = self._deployment.faults
        engine = self._crash_rng.choice(list(self._engines.values()))
        self._plan(self._crash_rng, faults.engine_crash_every_s, self._crash_one)
        if not engine.is_up:
            return
        engine.crash()
        for attempt in self._attempts[engine.name]:
            if attempt.is_over:
                continue
            if attempt.is_running:
                self._report(attempt, "broken")
            self._again(attempt)
        self._attempts[engine.name].clear()
        self._scheduler.after(faults.notice_s, lambda: self._notice(engine))
        self._scheduler.after(faults.engine_down_s, lambda: self._come_back(engine))

    def _come_back(self, engine: SimulatedEngine) -> None:
        engine.come_back()
        self._scheduler.after(self._deployment.faults.notice_s, lambda: self._notice(engine))

    def _notice(self, engine: SimulatedEngine) -> None:
        for node in self._nodes:
            runner = node.runners[engine.name]
            runner.incarnation = incarnation_of(engine)

    def _restart_one(self) -> None:
        mean_s = self._deployment.faults.node_restart_every_s
        self._plan(self._restart_rng, mean_s, self._restart_one)
        number = self._restart_rng.randrange(len(self._nodes))
        old = self._nodes[number]
        old.is_live = False
        self._scheduler.after(NODE_DOWN_S, lambda: self._replace_node(number))

    def _replace_node(self, number: int) -> None:
        old = self._nodes[number]
        self._nodes[number] = self._make_node(old.name, old.zone)

    def _publish(self, engine: SimulatedEngine) -> None:
        """Publish what the cache stored and removed since the last time."""
        faults = self._deployment.faults
        self._scheduler.after(faults.event_interval_s, lambda: self._publish(engine))
        cache = engine.cache
        changed = dict.fromkeys(cache.stored + cache.removed)
        cache.stored, cache.removed = [], []
        if not changed or not engine.is_up:
            return
        if self._event_rng.random() < faults.event_loss:
            engine.lost_events = True
            return
        stored = [block for block in changed if block in cache]
        removed = [block for block in changed if block not in cache]
        batch = FeedBatch(
            engine.name,
            incarnation_of(engine),
            numpy.array(stored, "<i8"),
            numpy.array(removed, "<i8"),
            engine.lost_events,
        )
        engine.lost_events = False
        lag_s = faults.event_lag_s * (0.5 + 0.5 * self._event_rng.random())
        due = max(self._feed_free_at.get(engine.name, 0.0), self._scheduler.now + lag_s)
        self._feed_free_at[engine.name] = due
        self._scheduler.after(due - self._scheduler.now, lambda: self._deliver(engine, batch))

    def _deliver(self, engine: SimulatedEngine, batch: FeedBatch) -> None:
        readers = self._nodes if self._feeds == "all" else [self._nodes[engine.owner]]
        for node in readers:
            node.take_feed(batch, self._scheduler.now)

    def _report_loads(self) -> None:
        self._scheduler.after(LOAD_REPORT_INTERVAL_S, self._report_loads)
        loads = [(engine.name, engine.running) for engine in self._engines.values()]
        self._scheduler.after(LOAD_REPORT_LAG_S, lambda: self._take_loads(loads))

    def _take_loads(self, loads: list[tuple[str, int]]) -> None:
        for node in self._nodes:
            for name, running in loads:
                node.take_load(name, running, self._scheduler.now)
