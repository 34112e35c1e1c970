"""The routing benchmark in virtual time: nodes, engines and faults of a deployment.

A question goes from its agent to its home node, which ranks the runners with its policy and
asks the owner of the best one for a slot; a full runner's questions wait there in turn.  The
engine then computes the uncached blocks and streams.  Same seed, same run.
"""

import functools
import random

from martenrun.bench.routing_attempts import ActiveRequest, RoutedAttempt, open_question
from martenrun.bench.routing_causes import FORGOTTEN_S, LATE_S, LateCause, LateRequest
from martenrun.bench.routing_engine import LruBlocks, SimulatedEngine
from martenrun.bench.routing_faults import RoutingFaults
from martenrun.bench.routing_feeds import RoutingFeeds
from martenrun.bench.routing_figures import RoutingCounts, RoutingFigures
from martenrun.bench.routing_node import SimulatedNode, incarnation_of
from martenrun.bench.routing_policies import make_policy
from martenrun.bench.routing_store import StoreTraffic, make_stores
from martenrun.bench.routing_workload import TOKENS_PER_BLOCK, PlannedRequest, Workload
from martenrun.constants import BLOCK_HASH_BYTES, DEFAULT_BLOCK_BYTES
from martenrun.deployments.model import Deployment
from martenrun.identity.rendezvous import ranked
from martenrun.ownership.questions import OpenQuestion
from martenrun.ownership.reasons import Reason
from martenrun.routing.policy import RunnerChoice
from martenrun.simulation.scheduler import Scheduler
from martenrun.standins.engine.model import TimeModel
from martenrun.wire.messages import AttemptReport, DecideRequest, PrefixesServed

WARM_UP_S = 10.0
_RETRY_S = 0.1


class RoutingSimulation:
    """One run of the benchmark.

    Args:
        load: factor on the deployment's request rates.
        store: ``off``, ``on`` or ``faulty``: whether pools use their kept-cache stores.
        feeds: ``owner`` if only a runner's owner reads its cache events, ``all`` if all nodes do.
    """

    def __init__(
        self,
        deployment: Deployment,
        policy: str,
        seed: int,
        load: float = 1.0,
        feeds: str = "owner",
        store: str = "off",
    ) -> None:
        self._deployment = deployment
        self._policy = policy
        self._seed = seed
        self._load = load
        self._feeds = feeds
        self._store = store
        self._scheduler = Scheduler()
        self._counts = RoutingCounts(WARM_UP_S)
        self._engines: dict[str, SimulatedEngine] = {}
        self._attempts: dict[str, list[RoutedAttempt]] = {}
        self._make_engines()
        zones = deployment.zones
        self._nodes = [
            self._make_node(f"node-{number}", zones[number % len(zones)])
            for number in range(deployment.nodes)
        ]
        self._stores = StoreTraffic(
            self._scheduler,
            make_stores(deployment, store, seed, self._scheduler),
            self._engines,
            self._nodes,
        )
        faults, parts = deployment.faults, (self._engines, self._nodes)
        self._events = RoutingFeeds(self._scheduler, faults, seed, *parts, feeds == "all")
        self._faults = RoutingFaults(
            self._scheduler, faults, seed, *parts, self._crash, self._make_node, self._events.replay
        )

    def run(self, duration_s: float) -> RoutingFigures:
        """Run the load for a while and return what was counted."""
        for pool in self._deployment.pools:
            scaled = pool.model_copy(update={"requests_per_s": pool.requests_per_s * self._load})
            rng = random.Random(f"load {pool.model} {self._seed}")
            for plan in Workload(self._deployment, scaled, rng).requests(duration_s):
                self._scheduler.after(plan.at, functools.partial(self._arrive, plan))
        self._events.begin()
        self._faults.begin()
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
            counts.causes.counts,
            self._store,
            round(counts.imported_blocks / counts.prompt_blocks, 4),
            self._stores.exported_blocks,
            round(counts.share_error, 4),
            len(self._nodes),
            len(self._engines),
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
        policy = make_policy(self._policy, self._engines, rng)
        node = SimulatedNode(name, zone, policy, started_at=self._scheduler.now)
        node.learn_of(list(self._engines.values()))
        return node

    def _link_s(self, zone: str, other: str) -> float:
        return 0.0 if zone == other else self._deployment.between_zones_s

    def _client_link_s(self, zone: str, other: str) -> float:
        return self._deployment.to_client_s + self._link_s(zone, other)

    # From the agent to the grant.

    def _arrive(self, plan: PlannedRequest) -> None:
        self._counts.count_arrival(plan.at, plan.tenant, plan.prompt_bytes)
        question = DecideRequest(
            plan.request_id, plan.tenant, plan.model, "v1", plan.chain, plan.prompt_bytes
        )
        question.zone = plan.zone
        self._ask(ActiveRequest(plan, question))

    def _ask(self, request: ActiveRequest) -> None:
        if self._is_late(request):
            return
        request.attempt += 1
        request.question.attempt = request.attempt
        question = request.question
        key = f"{question.tenant}\0{question.model}\0".encode()
        key += question.chain[:BLOCK_HASH_BYTES]
        live = {node.name: node for node in self._nodes if node.is_live}
        if not live:
            self._scheduler.after(_RETRY_S, lambda: self._ask(request))
            return
        home = live[ranked(key, live)[0]]
        delay_s = self._client_link_s(request.plan.zone, home.zone)
        self._scheduler.after(delay_s, lambda: self._decide(request, home))

    def _is_late(self, request: ActiveRequest) -> bool:
        if self._scheduler.now < request.plan.at + self._deployment.deadline_s:
            return False
        if not request.is_over and not request.has_first_token:
            self._counts.refused += request.plan.at >= WARM_UP_S
        request.is_over = True
        return True

    def _decide(self, request: ActiveRequest, home: SimulatedNode) -> None:
        runners = home.usable(request.plan.model, request.excluded)
        if not home.is_live or not runners:
            request.excluded.clear()
            self._scheduler.after(_RETRY_S, lambda: self._ask(request))
            return
        if not home.has_asked:
            self._ask_served(home)
        ranked_choices = home.policy.rank(request.question, runners, self._scheduler.now)
        opened = open_question(request, home, ranked_choices, self._deployment.deadline_s)
        self._ask_owner(request, home, ranked_choices, opened)

    def _ask_owner(
        self,
        request: ActiveRequest,
        home: SimulatedNode,
        ranked_choices: list[RunnerChoice],
        opened: OpenQuestion | None,
    ) -> None:
        """Ask an owner for a slot."""
        found = opened.next_choice(lambda runner: True) if opened is not None else None
        choice, may_queue = found or (ranked_choices[0], True)
        engine = self._engines[choice.runner.name]
        attempt = RoutedAttempt(request, home, choice, engine, engine.incarnation, ranked_choices)
        attempt.opened = None if may_queue else opened
        owner = self._nodes[engine.owner]
        hop_s = self._link_s(home.zone, owner.zone)
        self._scheduler.after(hop_s, lambda: self._reserve(attempt, hop_s))

    def _refused(self, attempt: RoutedAttempt, opened: OpenQuestion, load: int) -> None:
        """Let a home go on after a runner without a free slot."""
        if not attempt.home.is_live:
            self._again(attempt)
            return
        self._take_load(attempt, load)
        opened.refused_by_owner(attempt.engine.name, Reason.FULL)
        self._ask_owner(attempt.request, attempt.home, attempt.ranked, opened)

    def _reserve(self, attempt: RoutedAttempt, hop_s: float) -> None:
        engine, opened = attempt.engine, attempt.opened
        if incarnation_of(engine) != attempt.choice.runner.incarnation:
            self._again(attempt)
            return
        if opened is not None and engine.slots_used >= engine.pool.slots:
            load = engine.load
            self._scheduler.after(hop_s, lambda: self._refused(attempt, opened, load))
            return
        attempt.incarnation = engine.incarnation
        self._attempts[engine.name].append(attempt)
        engine.take_slot(lambda: self._slot_taken(attempt, hop_s))
        if not attempt.is_running and attempt.home.is_product:
            load = engine.load
            self._scheduler.after(hop_s, lambda: self._take_load(attempt, load))
        wait_s = attempt.request.plan.at + self._deployment.deadline_s - self._scheduler.now
        self._scheduler.after(max(0.0, wait_s), lambda: self._give_up(attempt))

    def _ask_served(self, home: SimulatedNode) -> None:
        """Let a home ask all nodes, with its first question, what they granted to it."""
        home.has_asked = True
        for owner in self._nodes:
            if owner.is_live and owner is not home:
                there_and_back_s = 2 * self._link_s(home.zone, owner.zone)
                for message in owner.served.of_home(home.name, self._scheduler.now):
                    told = functools.partial(self._take_served, home, message)
                    self._scheduler.after(there_and_back_s, told)

    def _take_served(self, home: SimulatedNode, message: PrefixesServed) -> None:
        home.told_served(message, self._scheduler.now)

    def _give_up(self, attempt: RoutedAttempt) -> None:
        """Refuse a question that still waits for its slot at its deadline."""
        if not attempt.is_running and not attempt.is_over:
            attempt.is_over = True
            self._is_late(attempt.request)

    def _slot_taken(self, attempt: RoutedAttempt, hop_s: float) -> None:
        if attempt.is_over:
            attempt.engine.free_slot()
            return
        attempt.is_running = True
        attempt.waited_s = self._scheduler.now - attempt.request.plan.at
        engine, request = attempt.engine, attempt.request
        served = self._nodes[engine.owner].served
        run, now = incarnation_of(engine), self._scheduler.now
        chain, blocks = request.question.chain, len(request.plan.hashes)
        served.granted(attempt.home.name, engine.name, run, chain, blocks, now)
        load, placed = engine.load, served.blocks_on(engine.name, now)
        self._scheduler.after(hop_s, lambda: self._take_grant(attempt, load, placed))
        delay_s = hop_s + self._client_link_s(attempt.home.zone, request.plan.zone)
        delay_s += self._client_link_s(request.plan.zone, engine.zone)
        self._scheduler.after(delay_s, lambda: self._start(attempt))

    def _take_grant(self, attempt: RoutedAttempt, load: int, placed: int) -> None:
        home, question = attempt.home, attempt.request.question
        attempt.choice.runner.in_flight += 1
        attempt.import_plan = self._stores.plan(home, question, attempt.choice)
        self._take_load(attempt, load)
        home.policy.told_placed(attempt.engine.name, placed, self._scheduler.now)
        home.policy.granted(question, attempt.choice, self._scheduler.now)

    def _take_load(self, attempt: RoutedAttempt, load: int) -> None:
        """Let a home learn the load of a runner from its owner's answer."""
        attempt.home.take_load(attempt.engine.name, load, self._scheduler.now)

    # At the engine.

    def _start(self, attempt: RoutedAttempt) -> None:
        """Let the prompt arrive at its engine, which imports first if it is told to."""
        plan = attempt.import_plan
        if attempt.is_over or plan is None:
            self._prefill(attempt)
            return
        hashes = attempt.request.plan.hashes
        held = attempt.engine.cache.leading(hashes)

        def imported() -> None:
            if not attempt.is_over:
                blocks = max(0, attempt.engine.cache.leading(hashes) - held)
                attempt.imported_blocks = blocks
                self._counts.count_import(attempt.request.plan.at, blocks)
            self._prefill(attempt)

        self._stores.fetch(attempt.home, attempt.engine, plan, imported)

    def _prefill(self, attempt: RoutedAttempt) -> None:
        if attempt.is_over:
            return
        engine, plan = attempt.engine, attempt.request.plan
        prompt_blocks = plan.prompt_bytes / DEFAULT_BLOCK_BYTES
        attempt.cached_blocks = engine.cache.leading(plan.hashes)
        self._find_best(attempt)
        best = attempt.best_blocks
        self._counts.count_prefill(plan.at, prompt_blocks, attempt.cached_blocks, best)
        engine.running += 1
        prefill_s = engine.times.prefill_s(prompt_blocks - attempt.cached_blocks, engine.running)
        attempt.first_token_s = prefill_s
        self._scheduler.after(prefill_s, lambda: self._first_token(attempt))

    def _find_best(self, attempt: RoutedAttempt) -> None:
        """Take down the most leading blocks at any live runner, and what the home believed."""
        plan = attempt.request.plan
        leading = {
            engine.name: engine.cache.leading(plan.hashes)
            for engine in self._engines.values()
            if engine.is_up and engine.pool.model == plan.model
        }
        attempt.best_blocks = max(leading.values())
        attempt.best_believed = max(
            choice.believed_blocks if leading.get(choice.runner.name, 0) else 0
            for choice in attempt.ranked
        )

    def _first_token(self, attempt: RoutedAttempt) -> None:
        if attempt.is_over:
            return
        engine, request = attempt.engine, attempt.request
        if not request.has_first_token:
            self._count_first_token(attempt)
        removed_before = len(engine.cache.removed)
        engine.cache.insert(request.plan.hashes)
        self._counts.causes.lost(engine.cache.removed[removed_before:], LateCause.EVICTED)
        decode_s = request.plan.output_tokens * engine.times.decode_s(engine.running)
        self._scheduler.after(decode_s, lambda: self._end(attempt))

    def _count_first_token(self, attempt: RoutedAttempt) -> None:
        request, plan = attempt.request, attempt.request.plan
        request.has_first_token = True
        link_s = self._client_link_s(attempt.engine.zone, plan.zone)
        waited_s = self._scheduler.now + link_s - plan.at
        self._counts.count_first_token(plan.at, waited_s, plan.tenant, plan.prompt_bytes)
        if plan.at >= WARM_UP_S and waited_s > LATE_S:
            late = LateRequest(
                plan.hashes,
                request.attempt,
                attempt.waited_s / waited_s,
                attempt.cached_blocks,
                attempt.imported_blocks,
                attempt.best_blocks,
                attempt.best_believed,
                0.0 < attempt.home.started_at > self._scheduler.now - FORGOTTEN_S,
            )
            self._counts.causes.count(late)

    def _end(self, attempt: RoutedAttempt) -> None:
        if attempt.is_over:
            return
        self._attempts[attempt.engine.name].remove(attempt)
        attempt.engine.running -= 1
        attempt.engine.free_slot()
        self._report(attempt, "complete")
        self._stores.used(attempt.home, attempt.request.question, attempt.engine)

    def _report(self, attempt: RoutedAttempt, outcome: str) -> None:
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

    def _crash(self, engine: SimulatedEngine) -> None:
        self._counts.causes.crashed(engine)
        engine.crash()
        for attempt in self._attempts[engine.name]:
            if attempt.is_over:
                continue
            if attempt.is_running:
                self._report(attempt, "broken")
            self._again(attempt)
        self._attempts[engine.name].clear()

    def _again(self, attempt: RoutedAttempt) -> None:
        """Ask once more after an attempt that an engine's end took away."""
        attempt.is_over = True
        request = attempt.request
        if request.plan.at >= WARM_UP_S:
            self._counts.restarted += 1
        request.excluded.add(attempt.engine.name)
        self._ask(request)
