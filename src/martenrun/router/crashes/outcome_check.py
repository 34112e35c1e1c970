"""Checks whether a runner outlived a response that it ended by closing its connection.

Such a response, without length and chunks, ends in the same way if its runner crashes, leaves, or
closes its connections shortly before its process ends.  It counts as complete only on evidence
that is newer than its end: a report of the same start that was requested some time after it.

- A report requested sooner proves nothing, as the process may be about to end.  It still shows a
  crash early: if none is received and connections are refused, or if it names another start.
- An accepted connection proves nothing: the kernel accepts connections also while the process is
  suspended or exits.
- A lost report proves nothing either way, so it is requested again.

Draining runners serve on for some time and are checked like all others.
"""

import enum
from collections.abc import Callable

from martenrun.net.loop import Loop
from martenrun.router.instance_check import is_of_other_start
from martenrun.router.messages import RunnerReport
from martenrun.router.runner_state import RunnerState

STREAM_CONFIRMATION_S = 0.25
"""How long after the end of a stream the report that confirms it is requested, in seconds.

The caller has received all events by then.
"""

BUFFERED_CONFIRMATION_S = 0.075
"""The same for a buffered response, which the caller receives only then, in seconds."""

OUTCOME_RETRY_DELAYS_S = (0.05, 0.1, 0.2)
"""Delays before an inconclusive check is repeated, in seconds."""

RequestReport = Callable[[RunnerState, Callable[[RunnerReport | None], None]], None]
"""Requests a runner's report and passes it on, None if no readable one is received."""

Probe = Callable[[Loop, str, Callable[[bool | None], None]], object]
"""Opens a connection and passes on whether it was refused, None if inconclusive."""


class RunnerOutcome(enum.Enum):
    """What became of a runner whose response ended with its connection.

    Attributes:
        ALIVE: it outlived the response.
        CRASHED: it has exited without notice.
        UNKNOWN: nothing proves that it outlived the response.
    """

    ALIVE = "alive"
    CRASHED = "crashed"
    UNKNOWN = "unknown"


class OutcomeCheck:
    """Checks one response, which has just ended.

    Args:
        confirmation_s: how long after the end the confirming report is requested, in seconds.
        on_outcome: called once with the outcome, after ``confirmation_s`` if the runner is alive,
            and within the sum of OUTCOME_RETRY_DELAYS_S, ``confirmation_s`` and the time of the
            reports and probes otherwise.
    """

    def __init__(
        self,
        loop: Loop,
        state: RunnerState,
        request_report: RequestReport,
        probe: Probe,
        confirmation_s: float,
        on_outcome: Callable[[RunnerOutcome], None],
    ) -> None:
        self._loop = loop
        self._state = state
        self._request_report = request_report
        self._probe = probe
        self._on_outcome = on_outcome
        self._is_confirming = False
        self._delays = iter(OUTCOME_RETRY_DELAYS_S)
        self._confirm_at = loop.now() + confirmation_s

    def start(self) -> None:
        """Request the first report; each later one confirms it if enough time has passed."""
        self._is_confirming = self._is_confirming or self._loop.now() >= self._confirm_at
        self._request_report(self._state, self._on_report)

    def _confirm(self) -> None:
        self._is_confirming = True
        self.start()

    def _on_report(self, report: RunnerReport | None) -> None:
        if report is None:
            self._probe(self._loop, self._state.runner.address, self._on_probed)
        elif is_of_other_start(report, self._state.runner):
            self._on_outcome(RunnerOutcome.CRASHED)
        elif self._is_confirming:
            self._on_outcome(RunnerOutcome.ALIVE)
        else:
            wait_s = max(0.0, self._confirm_at - self._loop.now())
            self._loop.call_later(wait_s, self._confirm)

    def _on_probed(self, refused: bool | None) -> None:
        if refused and self._state.is_draining:
            # It may have exited as announced, after its last response or before the end of it.
            self._on_outcome(RunnerOutcome.UNKNOWN)
        elif refused:
            self._on_outcome(RunnerOutcome.CRASHED)
        elif (delay_s := next(self._delays, None)) is not None:
            self._loop.call_later(delay_s, self.start)
        else:
            self._on_outcome(RunnerOutcome.UNKNOWN)
