"""Watching one request from its arrival to its end: metrics and one log line.

See also: :mod:`martenrun.observability.logs`, :mod:`martenrun.observability.metrics`.
"""

import time

from absl import logging

from martenrun.backends.engine import AttemptOutcome, AttemptResult
from martenrun.constants import BLOCK_HASH_BYTES
from martenrun.errors import MartenrunError
from martenrun.observability.logs import Field, Value, log_event
from martenrun.observability.metrics import EdgeMetrics, PairSeries
from martenrun.wire.messages import DecideRequest

CODE_OK = "ok"
CODE_CALLER_GONE = "caller_gone"


class RequestObservation:
    """One request at an edge; its end is counted once, whoever tells it first."""

    def __init__(self, metrics: EdgeMetrics) -> None:
        self._metrics = metrics
        self._started = time.monotonic()
        self._first_output = 0.0
        self._tokens = 0
        self._last_token = 0.0
        self._asked_at = 0.0
        self._is_over = False
        self._fields: dict[Field, Value] = {}
        self._series: PairSeries | None = None
        self._known_share = 0.0
        metrics.running.inc()

    def named(self, caller_id: str) -> None:
        """Take in the caller's own name for the request, which may still be refused."""
        self._fields = {Field.CALLER_ID: caller_id}

    def identified(self, question: DecideRequest, caller_id: str, pool: str) -> None:
        """Take in who asks for what."""
        self._fields = {
            Field.REQUEST_ID: question.request_id,
            Field.CALLER_ID: caller_id,
            Field.TENANT: question.tenant,
            Field.MODEL: question.model,
        }
        self._series = self._metrics.pair(question.tenant, pool)
        blocks = len(question.chain) // BLOCK_HASH_BYTES
        self._known_share = self._metrics.recent_blocks.leading(question.chain) / max(1, blocks)
        self._asked_at = time.monotonic()

    def attempt_started(self, is_first: bool, has_output: bool) -> None:
        """An engine was granted; the request goes there now."""
        if self._series is None:
            return
        self._series.queue_wait.observe(time.monotonic() - self._asked_at)
        if has_output:
            self._series.resumed.inc()
        elif not is_first:
            self._series.retries.inc()

    def attempt_ended(self, result: AttemptResult, has_resumed: bool) -> None:
        """An attempt ended; usage counts once, for answers that one engine gave whole."""
        self._asked_at = time.monotonic()
        if self._series is None or result.outcome is not AttemptOutcome.COMPLETE or has_resumed:
            return
        self._series.prompt_tokens.inc(result.prompt_tokens)
        self._series.cached_tokens.inc(result.cached_tokens)
        self._series.output_tokens.inc(result.output_tokens)
        known_tokens = self._known_share * result.prompt_tokens
        self._series.recomputed_tokens.inc(max(0.0, known_tokens - result.cached_tokens))

    def first_output(self, is_stream: bool) -> None:
        """The caller gets its first output; what is not streamed has no first token."""
        self._first_output = time.monotonic() - self._started
        if is_stream and self._series is not None:
            self._series.first_token.observe(self._first_output)

    def output(self, tokens: int) -> None:
        """The caller gets an event of its stream, which then has so many tokens."""
        if tokens <= self._tokens:
            return
        now = time.monotonic()
        if self._tokens and self._series is not None:
            self._series.between_tokens.observe(now - self._last_token)
        self._tokens = tokens
        self._last_token = now

    def whole(self) -> None:
        """The caller got a whole answer."""
        self._end(CODE_OK, {})

    def failed(self, error: MartenrunError) -> None:
        """The caller got a typed error."""
        self._end(error.code, {Field.RAN: error.ran.value})

    def caller_gone(self) -> None:
        """The caller left before the end."""
        self._end(CODE_CALLER_GONE, {})

    def _end(self, code: str, fields: dict[Field, Value]) -> None:
        if self._is_over:
            return
        self._is_over = True
        self._metrics.running.dec()
        self._metrics.ended.labels(code).inc()
        if self._series is not None:
            self._series.ended(code)
        duration_s = time.monotonic() - self._started
        times: dict[Field, Value] = {
            Field.FIRST_TOKEN_MS: self._first_output * 1_000,
            Field.DURATION_MS: duration_s * 1_000,
        }
        level = logging.DEBUG if code == CODE_OK else logging.INFO
        log_event(level, "request_ended", self._fields | {Field.CODE: code} | fields | times)
