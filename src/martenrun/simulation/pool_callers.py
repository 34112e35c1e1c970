"""Callers of simulated pools: they ask nodes, run at engines for some time and report.

Prefixes are shared: an engine that holds one runs a request faster.
"""

import itertools
import random
from collections.abc import Callable
from dataclasses import dataclass

from martenrun.backends.engine import AttemptOutcome
from martenrun.identity.chain import chain_seed, hash_chain
from martenrun.simulation.pool_world import PoolWorld
from martenrun.wire.messages import (
    AttemptReport,
    DecideRequest,
    Grant,
    Message,
    Queued,
    Refusal,
    WithdrawRequest,
)

TENANT = "growers"
SILENCE_S = 1.5
RETRY_PAUSE_S = 0.1
PROMPT_BLOCKS = 8
BLOCK_BYTES = 4_000
OUTPUT_TOKENS = 100


@dataclass(frozen=True)
class Service:
    """Time that a request holds a slot: prefill, unless its prefix is held, and output."""

    prefill_s: float = 1.0
    output_s: float = 1.0
    deadline_s: float = 20.0
    prefixes: int = 8


@dataclass
class Request:
    """One request; ``wrong_weights`` tells that an engine ran it with others than it asked for."""

    pool: str
    prefix: int
    asked_at: float
    question: DecideRequest
    node: str = ""
    heard_at: float = 0.0
    started_at: float | None = None
    finished_at: float | None = None
    refused: str = ""
    runner: str = ""
    wrong_weights: bool = False

    @property
    def is_over(self) -> bool:
        """Whether it has its final answer."""
        return self.finished_at is not None or bool(self.refused)


class PoolCallers:
    """All callers of a world; ``requests`` holds everything asked so far."""

    def __init__(self, world: PoolWorld, service: Service, seed: int) -> None:
        self.requests: dict[str, Request] = {}
        self._world = world
        self._service = service
        self._rng = random.Random(seed)
        self._numbers = itertools.count()
        world.network.attach("agent/0", self._receive)

    def load(self, pool: str, rate: Callable[[float], float], until_s: float) -> None:
        """Ask at random times with a rate that depends on the time, in requests per second."""

        def arrive() -> None:
            now = self._world.scheduler.now
            if now >= until_s:
                return
            self.ask(pool)
            self._world.scheduler.after(self._rng.expovariate(max(0.01, rate(now))), arrive)

        now = self._world.scheduler.now
        self._world.scheduler.after(self._rng.expovariate(max(0.01, rate(now))), arrive)

    def ask(self, pool: str) -> Request:
        """Ask one question now."""
        setup, now = self._world.pools[pool], self._world.scheduler.now
        prefix = self._rng.randrange(self._service.prefixes)
        text = f"{pool} {prefix} ".encode().ljust(PROMPT_BLOCKS * BLOCK_BYTES, b"n")
        chain = hash_chain(text, chain_seed(TENANT, setup.version), BLOCK_BYTES)
        question = DecideRequest(
            f"{next(self._numbers):016x}",
            TENANT,
            pool,
            setup.version,
            chain,
            len(text),
            OUTPUT_TOKENS,
            deadline_s=self._service.deadline_s,
        )
        request = Request(pool, prefix, now, question)
        self.requests[question.request_id] = request
        self._send(request)
        return request

    def _send(self, request: Request) -> None:
        now = self._world.scheduler.now
        left_s = request.asked_at + self._service.deadline_s - now
        if left_s <= 0:
            request.refused = "deadline"
            return
        nodes = [node for node in self._world.nodes if node.hollow.is_alive]
        request.node = self._rng.choice(nodes).peer
        request.question.attempt += 1
        request.question.deadline_s = left_s
        request.heard_at = now
        self._world.network.send("agent/0", request.node, request.question)
        self._watch(request, request.question.attempt)

    def _watch(self, request: Request, attempt: int) -> None:
        """Ask another node if this one stays silent."""

        def look() -> None:
            is_present = request.question.attempt == attempt and request.started_at is None
            if request.is_over or not is_present:
                return
            if self._world.scheduler.now - request.heard_at < SILENCE_S:
                self._watch(request, attempt)
                return
            withdrawal = WithdrawRequest(request.question.request_id, attempt)
            self._world.network.send("agent/0", request.node, withdrawal)
            self._send(request)

        self._world.scheduler.after(SILENCE_S, look)

    def _receive(self, peer: str, message: Message) -> None:
        if not isinstance(message, Grant | Queued | Refusal):
            return  # A real agent has a copy of the configuration as well.
        request = self.requests[message.request_id]
        is_present = message.attempt == request.question.attempt and request.started_at is None
        if request.is_over or not is_present:
            return
        request.heard_at = self._world.scheduler.now
        if isinstance(message, Refusal):
            request.refused = message.code
        elif isinstance(message, Grant):
            self._run(request, message, peer)

    def _run(self, request: Request, grant: Grant, home: str) -> None:
        world, request_id = self._world, request.question.request_id
        engine = world.engines[grant.runner]
        if not engine.start(request_id, grant.incarnation, grant.weights_version):
            self._report(request, grant, home, AttemptOutcome.NOT_RUN)
            world.scheduler.after(RETRY_PAUSE_S, lambda: self._send(request))
            return
        request.wrong_weights = engine.weights != world.pools[request.pool].weights
        request.started_at, request.runner = world.scheduler.now, grant.runner
        service_s = self._service.output_s
        if request.prefix not in engine.held_prefixes:
            service_s += self._service.prefill_s
        engine.held_prefixes.add(request.prefix)
        incarnation = engine.incarnation

        def finish() -> None:
            engine.finish(request_id, incarnation)
            request.finished_at = world.scheduler.now
            self._report(request, grant, home, AttemptOutcome.COMPLETE)

        world.scheduler.after(service_s, finish)

    def _report(self, request: Request, grant: Grant, home: str, outcome: AttemptOutcome) -> None:
        prompt_tokens = request.question.prompt_bytes // 4
        report = AttemptReport(
            grant.request_id,
            grant.attempt,
            grant.runner,
            outcome.value,
            prompt_tokens,
            0,
            OUTPUT_TOKENS,
            0.1,
        )
        self._world.network.send("agent/0", home, report)
