"""Watching one request from its arrival to its end: metrics and one log line.

See also: :mod:`martenrun.observability.logs`, :mod:`martenrun.observability.metrics`.
"""

import time

from absl import logging

from martenrun.errors import MartenrunError
from martenrun.observability.logs import Field, Value, log_event
from martenrun.observability.metrics import EdgeMetrics
from martenrun.wire.messages import DecideRequest

CODE_OK = "ok"
CODE_CALLER_GONE = "caller_gone"


class RequestObservation:
    """One request at an edge; its end is counted once, whoever tells it first."""

    def __init__(self, metrics: EdgeMetrics) -> None:
        self._metrics = metrics
        self._started = time.monotonic()
        self._first_output = 0.0
        self._is_over = False
        self._fields: dict[Field, Value] = {}
        metrics.running.inc()

    def identified(self, question: DecideRequest, caller_id: str) -> None:
        """Take in who asks for what."""
        self._fields = {
            Field.REQUEST_ID: question.request_id,
            Field.CALLER_ID: caller_id,
            Field.TENANT: question.tenant,
            Field.MODEL: question.model,
        }

    def first_output(self) -> None:
        """The caller gets its first output."""
        self._first_output = time.monotonic() - self._started
        self._metrics.first_token.observe(self._first_output)

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
        duration_s = time.monotonic() - self._started
        times: dict[Field, Value] = {
            Field.FIRST_TOKEN_MS: self._first_output * 1_000,
            Field.DURATION_MS: duration_s * 1_000,
        }
        level = logging.DEBUG if code == CODE_OK else logging.INFO
        log_event(level, "request_ended", self._fields | {Field.CODE: code} | fields | times)
