"""Calls that are repeated at intervals, and calls that must not keep others from being made.

Code that schedules its next round at the end of a round stops for good at the first exception.
All periodic work therefore runs as a :class:`PeriodicCall`.
"""

import collections
from collections.abc import Callable
from typing import Any, Protocol

from martenrun.router.log import log_exception

FALLBACK_INTERVAL_S = 1.0
"""Interval used if an interval cannot be computed and none was before, in seconds."""

FAILED_CALLS: collections.Counter[str] = collections.Counter()
"""Number of exceptions in this process, by the name of the call that raised them."""


class Timer(Protocol):
    """A scheduled call."""

    def cancel(self) -> None:
        """Cancel the call."""


class Scheduler(Protocol):
    """The required part of the event loop."""

    def call_later(self, delay_s: float, call: Callable[[], None]) -> Timer:
        """Schedule a call after a delay in seconds."""


def call_safely(name: str, call: Callable[..., object], *arguments: Any) -> bool:
    """Make a call; log and count its exception, if any.

    Returns:
        Whether the call returned without an exception.
    """
    try:
        call(*arguments)
    except Exception as exc:
        record_failure(name, exc)
        return False
    return True


def record_failure(name: str, exc: Exception) -> None:
    """Log and count an exception that a call has raised."""
    FAILED_CALLS[name] += 1
    log_exception("loop_call", exc, task=name)


class PeriodicCall:
    """Repeats a call until stopped, whatever one round of it raises.

    The interval counts from the end of a round to the begin of the next one.

    Args:
        loop: schedules the rounds.
        name: names the work in logs and metrics.
        interval_s: the interval in seconds, or a function that returns it after each round.
        call: makes one round.
    """

    def __init__(
        self,
        loop: Scheduler,
        name: str,
        interval_s: float | Callable[[], float],
        call: Callable[[], object],
    ) -> None:
        self._loop = loop
        self._name = name
        self._interval_s = interval_s
        self._call = call
        self._last_interval_s = FALLBACK_INTERVAL_S
        self._is_started = False
        self._timer: Timer | None = None

    def start(self) -> None:
        """Make the first round now, unless already started."""
        if not self._is_started:
            self._is_started = True
            self._run()

    def start_later(self, delay_s: float | None = None) -> None:
        """Make the next round after a delay, unless one is scheduled.

        Args:
            delay_s: the delay in seconds; by default the interval.
        """
        self._is_started = True
        if self._timer is None:
            delay_s = self._next_interval_s() if delay_s is None else delay_s
            self._timer = self._loop.call_later(delay_s, self._run)

    def stop(self) -> None:
        """Make no further round until started again."""
        self._is_started = False
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _run(self) -> None:
        self._timer = None
        call_safely(self._name, self._call)
        if self._is_started:
            self.start_later()

    def _next_interval_s(self) -> float:
        if not callable(self._interval_s):
            return self._interval_s
        try:
            self._last_interval_s = self._interval_s()
        except Exception as exc:
            record_failure(self._name, exc)
        return self._last_interval_s
