"""A simulated engine: batching time model, prefix cache, crashes and freezes.

See also: :mod:`martenrun.simulation.stream`, one connection that carries one attempt.
"""

from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass

import msgspec

from martenrun.backends.engine import RunnerDescription
from martenrun.backends.engine_orders import EngineOrder, OrderOutcome
from martenrun.constants import BLOCK_HASH_BYTES, ENGINE_CONNECT_TIMEOUT_S
from martenrun.identity.chain import chain_seed, hash_chain
from martenrun.identity.prompt import canonical_completion_text
from martenrun.routing.prefix_index import RunnerIdentity
from martenrun.simulation.feed import SimulatedFeed
from martenrun.simulation.scheduler import Scheduler
from martenrun.simulation.stream import EngineStream, StreamReader, refuse_unreachable
from martenrun.simulation.weights import LoadStep, SimulatedWeights

PREFILL_S_PER_BLOCK = 0.01
DECODE_S_PER_TOKEN = 0.02
CONNECTION_DELAY_S = 0.001


class EngineBody(msgspec.Struct):
    """Fields of the body of an attempt that the engine reads."""

    prompt: str
    max_tokens: int
    cache_salt: str = ""
    request_id: str = ""
    resume_from: int = 0


@dataclass(frozen=True, slots=True)
class CachedBlock:
    """Which request wrote a block into a cache, and where."""

    request_id: str
    weights_version: str
    incarnation: str


@dataclass(frozen=True, slots=True)
class Execution:
    """The start of one execution, as the engine knows it; ``chain`` is concatenated hashes.

    ``received_s`` is when its machine got the attempt; a paused engine runs it later.
    """

    engine: str
    received_s: float
    incarnation: str
    expected: RunnerIdentity
    weights_version: str
    body: EngineBody
    chain: bytes
    reused: tuple[CachedBlock, ...]


class SimulatedEngine:
    """One engine machine over all its incarnations.

    Args:
        observe: is told every execution as it begins.
        observe_load: is told every step of a load of weights.
    """

    def __init__(
        self,
        name: str,
        address: str,
        scheduler: Scheduler,
        observe: Callable[[Execution], None],
        observe_load: Callable[[LoadStep], None] = lambda _step: None,
        slots: int = 8,
        cache_blocks: int = 64,
        block_bytes: int = 64,
    ) -> None:
        self.name = name
        self.address = address
        self.model = "model"
        self.is_up = True
        self.slots = slots
        self._scheduler = scheduler
        self._observe = observe
        self._observe_load = observe_load
        self._cache_blocks = cache_blocks
        self._block_bytes = block_bytes
        self._runs = 1
        self._cache: OrderedDict[bytes, CachedBlock] = OrderedDict()
        self._streams: list[EngineStream] = []
        self._running = 0
        self._waiting: list[Callable[[], None]] | None = None
        self._begin_run()

    @property
    def incarnation(self) -> str:
        """Identity of the present run."""
        return f"{self.name}.{self._runs}"

    @property
    def running(self) -> int:
        """Executions in progress."""
        return self._running

    @property
    def answers(self) -> bool:
        """Whether the process runs and is not paused."""
        return self.is_up and self._waiting is None

    def describe(self) -> RunnerDescription | None:
        """Return the engine's own description, or None if it does not answer."""
        if not self.answers:
            return None
        return RunnerDescription(
            self.incarnation,
            self.model,
            self.weights.version,
            self._running,
            self.slots,
            len(self._cache),
            state=self.weights.state,
            target_version=self.weights.target_version,
            fence=self.weights.fence,
        )

    def connect(
        self,
        expected: RunnerIdentity,
        body: bytes,
        reader: StreamReader,
        is_cut: Callable[[], bool] = lambda: False,
    ) -> EngineStream:
        """Open a connection and send an attempt on it; ``is_cut`` tells of its link."""
        stream = EngineStream(reader, self._scheduler, is_cut)
        if is_cut():
            refuse_unreachable(stream, self._scheduler, ENGINE_CONNECT_TIMEOUT_S)
            return stream
        request = msgspec.json.decode(body, type=EngineBody)
        self._scheduler.after(CONNECTION_DELAY_S, lambda: self._receive(expected, request, stream))
        return stream

    def take_order(self, order: EngineOrder) -> OrderOutcome:
        """Take an order; a paused engine takes it when it goes on, unseen by who sent it."""
        if not self.is_up:
            return OrderOutcome.UNKNOWN
        if self._waiting is not None:
            self._waiting.append(lambda: _ignored(self.weights.take(order)))
            return OrderOutcome.UNKNOWN
        return self.weights.take(order)

    def crash(self) -> None:
        """End the process at once; connections are reset and the cache is lost."""
        if self.is_up:
            self.weights.end()
        self.is_up = False
        self._waiting = None
        streams, self._streams = self._streams, []
        for stream in streams:
            stream.is_cancelled = True
            stream.cut()

    def restart(self) -> None:
        """Come back empty under the same address, unless it is up."""
        if self.is_up:
            return
        self._runs += 1
        self._running = 0
        self._cache.clear()
        self._begin_run()
        self.is_up = True

    def _begin_run(self) -> None:
        run = self._runs
        self.feed = SimulatedFeed(self._scheduler, self.incarnation)
        self.weights = SimulatedWeights(
            self.name,
            self.incarnation,
            lambda: self._running == 0,
            lambda delay_s, call: self._later(delay_s, run, call),
            self._clear_cache,
            self._observe_load,
        )

    def _clear_cache(self) -> None:
        removed = list(self._cache)
        self._cache.clear()
        self.feed.write([], removed)

    def freeze(self) -> None:
        """Pause; connections stay open and silent."""
        if self._waiting is None and self.is_up:
            self._waiting = []

    def thaw(self) -> None:
        """Go on with what waited."""
        waiting, self._waiting = self._waiting or [], None
        for call in waiting:
            call()

    def cut_connections(self) -> None:
        """Break every connection while the executions go on."""
        for stream in self._streams:
            stream.cut()

    def _receive(self, expected: RunnerIdentity, body: EngineBody, stream: EngineStream) -> None:
        received_s = self._scheduler.now
        if self._waiting is not None:
            self._waiting.append(lambda: self._accept(expected, body, stream, received_s))
        else:
            self._accept(expected, body, stream, received_s)

    def _accept(
        self,
        expected: RunnerIdentity,
        body: EngineBody,
        stream: EngineStream,
        received_s: float,
    ) -> None:
        if stream.reader is None:
            return
        refusal = self._refusal(expected)
        if refusal:
            stream.refuse(refusal)
            return
        self._execute(expected, body, stream, received_s)

    def _refusal(self, expected: RunnerIdentity) -> str:
        if not self.is_up:
            return "connection refused"
        if expected.incarnation != self.incarnation:
            return "another incarnation"
        if self._running >= self.slots:
            return "no free slot"
        return self.weights.refusal(expected.weights_version)

    def _execute(
        self,
        expected: RunnerIdentity,
        body: EngineBody,
        stream: EngineStream,
        received_s: float,
    ) -> None:
        own = CachedBlock(body.request_id, self.weights.version, self.incarnation)
        text = canonical_completion_text(body.prompt)
        seed = chain_seed(body.cache_salt, self.weights.version)
        chain = hash_chain(text, seed, self._block_bytes)
        blocks = _blocks(chain)
        reused = self._match(blocks)
        stream.matched_blocks = len(reused)
        stream.next_token = body.resume_from
        self._running += 1
        self._streams.append(stream)
        self._observe(
            Execution(
                self.name,
                received_s,
                own.incarnation,
                expected,
                own.weights_version,
                body,
                chain,
                reused,
            )
        )
        prefill_s = PREFILL_S_PER_BLOCK * (len(blocks) - len(reused))
        run = self._runs
        self._later(prefill_s, run, lambda: self._prefilled(blocks, own, body, stream))

    def _prefilled(
        self, blocks: list[bytes], own: CachedBlock, body: EngineBody, stream: EngineStream
    ) -> None:
        stored = [block for block in blocks if block not in self._cache]
        for block in blocks:
            self._cache.setdefault(block, own)
            self._cache.move_to_end(block)
        removed: list[bytes] = []
        while len(self._cache) > self._cache_blocks:
            removed.append(self._cache.popitem(last=False)[0])
        self.feed.write(stored, removed)
        self._decode(body, stream)

    def _decode(self, body: EngineBody, stream: EngineStream) -> None:
        if stream.is_cancelled or stream.next_token >= body.max_tokens:
            self._finish(stream)
            return
        stream.send_token(body.prompt)
        stream.next_token += 1
        self._later(DECODE_S_PER_TOKEN, self._runs, lambda: self._decode(body, stream))

    def _finish(self, stream: EngineStream) -> None:
        self._running -= 1
        self._streams.remove(stream)
        stream.end()
        self.weights.look()

    def _match(self, blocks: list[bytes]) -> tuple[CachedBlock, ...]:
        reused: list[CachedBlock] = []
        for block in blocks:
            origin = self._cache.get(block)
            if origin is None:
                break
            self._cache.move_to_end(block)
            reused.append(origin)
        return tuple(reused)

    def _later(self, delay_s: float, run: int, call: Callable[[], None]) -> None:
        """Make a call later, unless this run of the engine has ended by then."""

        def due() -> None:
            if run != self._runs or not self.is_up:
                return
            if self._waiting is not None:
                self._waiting.append(due)
                return
            call()

        self._scheduler.after(delay_s, due)


def _ignored(_outcome: OrderOutcome) -> None:
    """Drop an answer that nobody waits for."""


def _blocks(chain: bytes) -> list[bytes]:
    return [
        chain[start : start + BLOCK_HASH_BYTES] for start in range(0, len(chain), BLOCK_HASH_BYTES)
    ]
