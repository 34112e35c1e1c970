"""One run of the stand-in engine: everything that a crash loses."""

import secrets
import threading
import time
from collections.abc import Callable, Iterator

from martenrun.identity.chain import chain_seed, hash_chain
from martenrun.standins.engine.cache import PrefixCache
from martenrun.standins.engine.events import CacheEventFeed
from martenrun.standins.engine.faults import ConnectionCutError
from martenrun.standins.engine.imports import BeforePrefill, import_nothing
from martenrun.standins.engine.messages import Completion, PromptDetails
from martenrun.standins.engine.refusals import RefusalCode, RefusedError
from martenrun.standins.engine.scheduler import Batch, LoadReport
from martenrun.standins.engine.settings import EngineSettings
from martenrun.standins.engine.tokens import BYTES_PER_TOKEN, TokenSequence
from martenrun.standins.engine.weights import Weights


class Incarnation:
    """State of one run: batch, prefix cache, event feed, weights.

    Args:
        settings: name the model of this run.
        begin_model: ends this run and begins one with a version of another model.
    """

    def __init__(
        self, settings: EngineSettings, begin_model: Callable[["Incarnation", str, str], None]
    ) -> None:
        self.name = secrets.token_hex(4)
        self.is_dead = threading.Event()
        self.batch = Batch(settings.slots, settings.queue_depth)
        self.load_report = LoadReport(settings.load_lag_s)
        self.feed = CacheEventFeed(self.name, settings.feed)
        self.cached = PrefixCache(settings.cache_blocks)
        self.weights = Weights(
            settings,
            self.batch,
            self.clear_cache,
            self.is_dead,
            lambda model, version: begin_model(self, model, version),
        )
        self.cancelled: set[str] = set()
        self._settings = settings
        self._lock = threading.Lock()

    def enter(self, completion: Completion, expected_version: str) -> "Generation":
        """Take a slot for a request; raises RefusedError, and then nothing was run."""
        request_id = completion.body.request_id

        def refusal() -> RefusedError | None:
            if self.is_dead.is_set():
                raise ConnectionCutError
            if request_id in self.cancelled:
                return RefusedError(RefusalCode.CANCELLED, "cancelled while it waited")
            return self.weights.refusal(expected_version)

        self.batch.enter(completion.body.priority, refusal)
        try:
            tokens = self._checked_tokens(completion)
        except RefusedError:
            self.batch.leave()
            raise
        self._record_load()
        return Generation(self, completion, tokens)

    def _checked_tokens(self, completion: Completion) -> TokenSequence:
        body = completion.body
        tokens = TokenSequence(completion.text, self.weights.version)
        if body.resume_text != tokens.text(body.resume_from):
            message = "resume_text is not the text of the first resume_from tokens"
            raise RefusedError(RefusalCode.RESUME_MISMATCH, message)
        return tokens

    def leave(self) -> None:
        """Give a slot back."""
        self.batch.leave()
        self._record_load()

    def match(self, chain: bytes) -> int:
        """Return how many leading blocks of a chain are cached."""
        with self._lock:
            return self.cached.match(chain)

    def store(self, chain: bytes) -> None:
        """Cache every block of a chain and publish what changed."""
        with self._lock:
            self.cached.insert(chain)
            self.feed.add(*self.cached.take_events(), time.monotonic())

    def clear_cache(self) -> None:
        """Forget every block, as when other weights are loaded."""
        with self._lock:
            self.cached.clear()
            self.feed.add(*self.cached.take_events(), time.monotonic())

    def chain(self, text: bytes, salt: str, version: str) -> bytes:
        """Return the block-hash chain of a prompt."""
        return hash_chain(text, chain_seed(salt, version), self._settings.block_bytes)

    def pause(self, time_s: float) -> None:
        """Work for some time; raises ConnectionCutError when the engine crashes meanwhile."""
        if self.is_dead.wait(time_s):
            raise ConnectionCutError

    def _record_load(self) -> None:
        self.load_report.record(self.batch.load, time.monotonic())

    @property
    def settings(self) -> EngineSettings:
        """What the engine was started with."""
        return self._settings


class Generation:
    """A request that holds a slot; iterate over its tokens, then close it.

    Attributes:
        details: tokens of the prompt found in the cache; known after the first token.
        before_prefill: imports blocks of the prompt's chain.
    """

    def __init__(self, engine: Incarnation, completion: Completion, tokens: TokenSequence) -> None:
        self._engine = engine
        self._completion = completion
        self._tokens = tokens
        self._version = engine.weights.version
        self.details = PromptDetails(0)
        self.before_prefill: BeforePrefill = import_nothing

    def run(self) -> Iterator[str]:
        """Yield output tokens, paced by the time model; the slot is given back at the end."""
        body = self._completion.body
        try:
            self._prefill()
            for index in range(body.resume_from, body.max_tokens):
                if body.request_id in self._engine.cancelled:
                    raise ConnectionCutError
                times = self._engine.settings.times
                self._engine.pause(times.decode_s(self._engine.batch.load.running))
                yield self._tokens.token(index)
        finally:
            self._engine.leave()

    def _prefill(self) -> None:
        settings = self._engine.settings
        body = self._completion.body
        text = self._completion.text
        chain = self._engine.chain(text, body.cache_salt, self._version)
        imported = self.before_prefill(chain)
        matched = self._engine.match(chain)
        prefilled_bytes = len(text) + len(body.resume_text.encode())
        uncached = prefilled_bytes / settings.block_bytes - matched
        running = self._engine.batch.load.running
        self._engine.pause(settings.times.prefill_s(uncached, running))
        self._engine.store(chain)
        self.details.cached_tokens = matched * settings.block_bytes // BYTES_PER_TOKEN
        if imported is not None:
            self.details.import_held_blocks = imported.held_blocks
            self.details.imported_blocks = imported.blocks
            self.details.import_ms = imported.duration_ms
