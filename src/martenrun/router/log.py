"""Structured log of a router process: one JSON object per line on standard output.

Writing never blocks: lines are buffered up to a limit while the reader does not read, and lines
that do not fit are counted.  Each kind of event has a budget of lines per second; lines about
failures share a separate budget, so that routine lines cannot displace them.  API keys and prompts
are never logged.
"""

import collections
import os
import time
import traceback

import msgspec

from martenrun.net import clock

LINES_PER_KIND_PER_S = 20
"""Maximum number of lines per second for one kind of event."""

FAILURE_LINES_PER_S = 200
"""Maximum number of lines per second about failures and state changes, over all kinds."""

BUFFERED_BYTES = 262_144
"""Lines are dropped while more bytes than this are waiting to be written."""

Value = str | int | float | bool | None

_ENCODE = msgspec.json.Encoder().encode


class EventLog:
    """Writes the log lines of one process.

    Args:
        output: file descriptor to write to; made non-blocking.
    """

    def __init__(self, output: int = 1) -> None:
        self._output = output
        self._node = ""
        self._second = 0
        self._lines: collections.Counter[str] = collections.Counter()
        self._suppressed: collections.Counter[str] = collections.Counter()
        self._dropped = 0
        self._buffer = bytearray()

    def open(self, node: str) -> None:
        """Set the node's name and make the output non-blocking."""
        self._node = node
        try:
            os.set_blocking(self._output, False)
        except OSError:
            self._output = -1

    def mute(self) -> None:
        """Drop all lines from now on."""
        self._output = -1

    def write(self, event: str, is_failure: bool, fields: dict[str, Value]) -> None:
        """Write one line, unless the budget of its kind is used up."""
        second = int(clock.now())
        if second != self._second:
            self._start_second(second)
        kind = "failure" if is_failure else event
        limit = FAILURE_LINES_PER_S if is_failure else LINES_PER_KIND_PER_S
        self._lines[kind] += 1
        if self._lines[kind] > limit:
            self._suppressed[event] += 1
            return
        self._append(event, fields)
        self.flush()

    def flush(self) -> None:
        """Write as much of the buffer as possible without blocking."""
        if not self._buffer or self._output < 0:
            return
        try:
            written = os.write(self._output, self._buffer)
        except BlockingIOError:
            return
        except OSError:
            self._output = -1
            return
        del self._buffer[:written]

    def _start_second(self, second: int) -> None:
        self._second = second
        self._lines.clear()
        for event, count in self._suppressed.items():
            self._append("lines_left_out", {"kind": event, "count": count})
        self._suppressed.clear()
        if self._dropped and len(self._buffer) < BUFFERED_BYTES // 2:
            self._append("lines_dropped", {"count": self._dropped})
            self._dropped = 0

    def _append(self, event: str, fields: dict[str, Value]) -> None:
        if len(self._buffer) > BUFFERED_BYTES:
            self._dropped += 1
            return
        fields = {name: value for name, value in fields.items() if value is not None}
        head = {
            "at": round(time.time(), 4),
            "steady": round(clock.now(), 4),
            "node": self._node,
            "event": event,
        }
        self._buffer += _ENCODE({**head, **fields}) + b"\n"


EVENT_LOG = EventLog()
"""The log of this process."""


def log_event(event: str, **fields: Value) -> None:
    """Log a routine event."""
    EVENT_LOG.write(event, False, fields)


def log_warning(event: str, **fields: Value) -> None:
    """Log a failing request, a lost dependency or another event that must not be displaced."""
    EVENT_LOG.write(event, True, fields)


def log_exception(event: str, exc: BaseException, **fields: Value) -> None:
    """Log an unexpected exception with the innermost frames of its traceback."""
    place = traceback.extract_tb(exc.__traceback__)[-4:]
    where = " < ".join(f"{frame.name}:{frame.lineno}" for frame in reversed(place))
    log_warning(event, **fields, fault=type(exc).__name__, text=str(exc)[:200], where=where)
